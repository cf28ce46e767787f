//! Library of the command-line tool `shallotpost`. Each command has its own module in [`commands`].

pub mod change;
pub mod client;
pub mod command;
pub mod commands;
pub mod document;
pub mod error;
pub mod output;
pub mod secret;

use std::env;
use std::io::Write;
use std::time::{Duration, SystemTime};

pub use error::Error;

/// Environment variable that holds the URLs of the entry hosts, separated by commas.
pub const SERVERS_VARIABLE: &str = "SHALLOTPOST_SERVERS";

/// Environment variable that holds the key, `<name>.<secret>`.
pub const KEY_VARIABLE: &str = "SHALLOTPOST_KEY";

/// The inputs of the tool from its process environment. Tests replace them.
#[derive(Clone)]
pub struct Environment {
    /// Value of [`SERVERS_VARIABLE`].
    pub servers: Option<String>,
    /// Value of [`KEY_VARIABLE`].
    pub key: Option<String>,
    /// Current time, from which deadlines and expiry times are computed.
    pub now: SystemTime,
    /// Pause between two polls where there is no long poll, and after a long poll that ended early.
    pub poll_interval: Duration,
}

impl Environment {
    /// Reads the environment of this process.
    pub fn from_process() -> Environment {
        Environment {
            servers: env::var(SERVERS_VARIABLE).ok(),
            key: env::var(KEY_VARIABLE).ok(),
            now: SystemTime::now(),
            poll_interval: Duration::from_millis(500),
        }
    }
}

/// Runs one command line, without the program name, and writes its output to `out`.
///
/// # Errors
///
/// Returns the failure of the command; [`Error::exit_code`] maps it to the exit code.
pub fn execute(
    arguments: &[String],
    environment: &Environment,
    out: &mut dyn Write,
) -> Result<(), Error> {
    command::dispatch(arguments, environment, out)
}
