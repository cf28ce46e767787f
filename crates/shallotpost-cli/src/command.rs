//! Parses the command line, dispatches to the command and prints help.

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use getopts::{Matches, Options};
use serde::Serialize;
use shallotpost_protocol::identity::{WorkId, is_name};
use shallotpost_protocol::resource::Kind;

use crate::client::Client;
use crate::commands;
use crate::document;
use crate::error::Error;
use crate::secret::Key;
use crate::{Environment, KEY_VARIABLE, SERVERS_VARIABLE};

pub struct Command {
    /// One or two words.
    pub name: &'static str,
    /// Placeholders of the arguments, for the usage line.
    pub arguments: &'static str,
    /// What the command does, in one line of the help.
    pub summary: &'static str,
    /// A complete command line, for the help.
    pub example: &'static str,
    /// Adds the options of this command to the global ones.
    pub options: fn(&mut Options),
    /// Minimum and maximum number of arguments.
    pub argument_counts: (usize, usize),
    pub run: fn(&mut Context) -> Result<(), Error>,
}

/// The input, output and client of a running command.
pub struct Context<'a> {
    pub command: &'static str,
    /// Parsed options and arguments, without the global options before the command.
    pub matches: Matches,
    pub client: Client,
    pub environment: &'a Environment,
    json: bool,
    out: &'a mut dyn Write,
}

impl Context<'_> {
    /// Prints `reply` as one line of JSON if `--json` is given, and `text` otherwise.
    ///
    /// # Errors
    ///
    /// Returns an error if the output cannot be written.
    pub fn show<T: Serialize>(&mut self, reply: &T, text: &str) -> Result<(), Error> {
        if self.json {
            serde_json::to_writer(&mut *self.out, reply).map_err(std::io::Error::from)?;
            writeln!(self.out)?;
        } else {
            self.out.write_all(text.as_bytes())?;
        }
        self.out.flush()?;
        Ok(())
    }

    /// Returns the output, for content that is neither JSON nor text.
    pub fn out(&mut self) -> &mut dyn Write {
        &mut *self.out
    }

    /// Pauses if an entry host ended a long poll in less than half of its wait, so that the next poll does not follow at
    /// once and overload the host.
    pub fn pause_after_early_reply(&self, started: Instant, wait: Duration) {
        if started.elapsed() < wait / 2 {
            thread::sleep(self.environment.poll_interval);
        }
    }

    /// Returns a usage error for this command.
    pub fn usage(&self, message: impl Into<String>) -> Error {
        Error::usage(self.command, message)
    }

    /// Returns the argument at `index`, or an empty string if an optional argument is absent.
    pub fn argument(&self, index: usize) -> &str {
        self.matches.free.get(index).map_or("", String::as_str)
    }

    /// Parses the argument at `index` as a name.
    ///
    /// # Errors
    ///
    /// Returns a usage error if it is not a name.
    pub fn name(&self, index: usize) -> Result<String, Error> {
        let text = self.argument(index);
        if is_name(text) { Ok(text.to_owned()) } else { Err(self.invalid_name(text)) }
    }

    /// Parses an option as a name.
    ///
    /// # Errors
    ///
    /// Returns a usage error if it is not a name.
    pub fn name_option(&self, option: &str) -> Result<Option<String>, Error> {
        match self.matches.opt_str(option) {
            Some(text) if !is_name(&text) => Err(self.invalid_name(&text)),
            text => Ok(text),
        }
    }

    fn invalid_name(&self, text: &str) -> Error {
        self.usage(format!(
            "{text:?} is not a name: 1 to 64 letters, digits, '-', '_' or '.', not starting with a dot"
        ))
    }

    /// Parses the argument at `index` as a work id, `<team>/<id>`.
    ///
    /// # Errors
    ///
    /// Returns a usage error if it is not a work id.
    pub fn work_id(&self, index: usize) -> Result<WorkId, Error> {
        self.argument(index).parse().map_err(|_| {
            self.usage(format!(
                "{:?} is not a work id of the form <team>/<id>",
                self.argument(index)
            ))
        })
    }

    /// Parses the argument at `index` as a kind of resource.
    ///
    /// # Errors
    ///
    /// Returns a usage error if it is not a kind.
    pub fn kind(&self, index: usize) -> Result<Kind, Error> {
        let text = self.argument(index);
        text.parse().map_err(|_| self.usage(document::unknown_kind(text)))
    }

    /// Parses an option as a whole number.
    ///
    /// # Errors
    ///
    /// Returns a usage error if it is not a whole number.
    pub fn number(&self, option: &str) -> Result<Option<u64>, Error> {
        let Some(text) = self.matches.opt_str(option) else { return Ok(None) };
        match text.parse() {
            Ok(number) => Ok(Some(number)),
            Err(_) => Err(self.usage(format!("--{option} {text:?} is not a whole number"))),
        }
    }

    /// Parses an option as a whole number of seconds.
    ///
    /// # Errors
    ///
    /// Returns a usage error if it is not a whole number.
    pub fn seconds(&self, option: &str) -> Result<Option<Duration>, Error> {
        Ok(self.number(option)?.map(Duration::from_secs))
    }
}

/// Parses the command line and runs the command.
///
/// # Errors
///
/// Returns a usage error if the command line is invalid, or the failure of the command.
pub fn dispatch(
    arguments: &[String],
    environment: &Environment,
    out: &mut dyn Write,
) -> Result<(), Error> {
    let mut leading = global_options();
    leading.parsing_style(getopts::ParsingStyle::StopAtFirstFree);
    let global_matches =
        leading.parse(arguments).map_err(|error| Error::usage("", error.to_string()))?;
    let Some((command, rest)) = find(&global_matches.free)? else {
        out.write_all(help(&global_matches.free).as_bytes())?;
        let help_requested = global_matches.opt_present("help") || !global_matches.free.is_empty();
        return if help_requested { Ok(()) } else { Err(Error::usage("", "no command is given")) };
    };
    let mut options = global_options();
    (command.options)(&mut options);
    let matches =
        options.parse(rest).map_err(|error| Error::usage(command.name, error.to_string()))?;
    if global_matches.opt_present("help") || matches.opt_present("help") {
        out.write_all(command_help(command, &options).as_bytes())?;
        return Ok(());
    }
    let (minimum, maximum) = command.argument_counts;
    if !(minimum..=maximum).contains(&matches.free.len()) {
        let message = format!("expected arguments: {}", command.arguments);
        return Err(Error::usage(command.name, message));
    }
    let client = client(command, &[&global_matches, &matches], environment)?;
    let json = global_matches.opt_present("json") || matches.opt_present("json");
    let mut context = Context { command: command.name, matches, client, environment, json, out };
    (command.run)(&mut context)
}

/// Splits the positional arguments into the command and its own arguments.
///
/// Returns `None` if there are none, or if the first one is `help`.
///
/// # Errors
///
/// Returns a usage error if there is no such command.
fn find(free: &[String]) -> Result<Option<(&'static Command, &[String])>, Error> {
    let Some(first) = free.first() else { return Ok(None) };
    if first == "help" {
        return Ok(None);
    }
    let words = |count: usize| free.get(..count).map(|words| words.join(" "));
    for count in [2, 1] {
        let named = |command: &&&Command| Some(command.name) == words(count).as_deref();
        if let Some(command) = commands::ALL.iter().find(named) {
            return Ok(Some((command, &free[count..])));
        }
    }
    let prefix = format!("{first} ");
    let subcommands: Vec<&str> = commands::ALL
        .iter()
        .map(|command| command.name)
        .filter(|name| name.starts_with(&prefix))
        .collect();
    let message = if subcommands.is_empty() {
        format!("there is no command {first:?}")
    } else {
        format!("{first:?} needs a second word: {}", subcommands.join(", "))
    };
    Err(Error::usage("", message))
}

fn global_options() -> Options {
    let mut options = Options::new();
    options.optmulti(
        "",
        "server",
        "base URL of an entry host; may be repeated, tried in order",
        "URL",
    );
    options.optopt(
        "",
        "key",
        "key, <name>.<secret>; visible to other users of this machine",
        "KEY",
    );
    options.optopt("", "key-file", "file that holds the key", "FILE");
    options.optflag("", "json", "print the output and errors as JSON");
    options.optflag("h", "help", "print help");
    options
}

fn client(
    command: &Command,
    matches: &[&Matches],
    environment: &Environment,
) -> Result<Client, Error> {
    let usage = |message: String| Error::usage(command.name, message);
    let from_options: Vec<String> =
        matches.iter().flat_map(|matches| matches.opt_strs("server")).collect();
    let from_variable = || environment.servers.iter().flat_map(|text| text.split(','));
    let urls: Vec<String> = match from_options.is_empty() {
        true => from_variable().map(|url| url.trim().to_owned()).collect(),
        false => from_options,
    };
    let mut servers = Vec::new();
    for url in urls.iter().filter(|url| !url.is_empty()) {
        let address = url.strip_prefix("http://").map(|rest| rest.trim_end_matches('/'));
        match address {
            Some(address) if !address.is_empty() && !address.contains(['/', '?', '#', '@']) => {
                servers.push(format!("http://{address}"));
            }
            _ => return Err(usage(format!("{url:?} is not a URL of the form http://<ip>:<port>"))),
        }
    }
    if servers.is_empty() {
        return Err(usage(format!("no entry host is given; use --server or {SERVERS_VARIABLE}")));
    }
    Ok(Client::new(servers, key(command, matches, environment)?))
}

/// Returns the key from `--key`, `--key-file` or else the environment. Error messages never contain it, since they may end
/// up in logs.
fn key(
    command: &Command,
    matches: &[&Matches],
    environment: &Environment,
) -> Result<Option<Key>, Error> {
    let option = |name: &str| matches.iter().find_map(|matches| matches.opt_str(name));
    let malformed = |origin: &str| {
        Error::usage(command.name, format!("{origin} is not a key of the form <name>.<secret>"))
    };
    match (option("key"), option("key-file"), &environment.key) {
        (Some(_), Some(_), _) => {
            Err(Error::usage(command.name, "--key and --key-file exclude each other"))
        }
        (Some(text), None, _) => Key::parse(&text).map(Some).ok_or_else(|| malformed("--key")),
        (None, Some(path), _) => match Key::read(&path) {
            Ok(Some(key)) => Ok(Some(key)),
            Ok(None) => Err(malformed(&format!("the content of {path}"))),
            Err(source) => Err(Error::File { path, source }),
        },
        (None, None, Some(text)) => {
            Key::parse(text).map(Some).ok_or_else(|| malformed(KEY_VARIABLE))
        }
        (None, None, None) => Ok(None),
    }
}

/// Returns the help of the command that follows the word `help`, or else of the whole tool.
fn help(free: &[String]) -> String {
    if let Ok(Some((command, _))) = find(free.get(1..).unwrap_or_default()) {
        let mut options = global_options();
        (command.options)(&mut options);
        return command_help(command, &options);
    }
    let width = commands::ALL.iter().map(|command| command.name.len()).max().unwrap_or(0);
    let list: String = commands::ALL
        .iter()
        .map(|command| format!("    {:width$}  {}\n", command.name, command.summary))
        .collect();
    let brief = format!(
        "Usage: shallotpost [options] <command> [arguments]\n\nCommands:\n{list}\n\
         `shallotpost <command> --help` shows the options of a command and an example.\n\
         {SERVERS_VARIABLE} holds URLs of entry hosts, separated by commas; {KEY_VARIABLE} holds the key."
    );
    global_options().usage(&brief)
}

fn command_help(command: &Command, options: &Options) -> String {
    let brief = format!(
        "{}\n\nUsage: shallotpost {} [options] {}\n\nExample:\n    {}",
        command.summary, command.name, command.arguments, command.example
    );
    options.usage(&brief)
}
