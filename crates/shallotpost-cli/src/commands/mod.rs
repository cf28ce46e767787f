//! The commands of the tool.

pub mod apply;
pub mod audit;
pub mod cancel;
pub mod delete;
pub mod drain;
pub mod explain;
pub mod force;
pub mod get;
mod job;
pub mod job_cancel;
pub mod job_state;
pub mod job_submit;
pub mod key_grant;
pub mod key_rotate;
pub mod key_withdraw;
pub mod list;
pub mod object_get;
pub mod object_put;
pub mod overview;
pub mod restore;
pub mod status;
pub mod submit;
pub mod wait;
pub mod watch;

use getopts::Options;

use crate::command::Command;

/// All commands, in the order in which the help lists them.
pub const ALL: [&Command; 23] = [
    &submit::COMMAND,
    &wait::COMMAND,
    &status::COMMAND,
    &explain::COMMAND,
    &cancel::COMMAND,
    &object_put::COMMAND,
    &object_get::COMMAND,
    &apply::COMMAND,
    &get::COMMAND,
    &list::COMMAND,
    &delete::COMMAND,
    &watch::COMMAND,
    &force::COMMAND,
    &audit::COMMAND,
    &overview::COMMAND,
    &drain::COMMAND,
    &restore::COMMAND,
    &key_grant::COMMAND,
    &key_withdraw::COMMAND,
    &key_rotate::COMMAND,
    &job_submit::COMMAND,
    &job_state::COMMAND,
    &job_cancel::COMMAND,
];

/// Adds no options, for commands that have only the global ones.
fn no_options(_options: &mut Options) {}
