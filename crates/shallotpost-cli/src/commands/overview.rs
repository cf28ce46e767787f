//! `overview`: shows entry hosts, shards, what is cut off and what is pending.

use shallotpost_protocol::interface::Reply;

use super::no_options;
use crate::client::Call;
use crate::command::{Command, Context};
use crate::error::Error;
use crate::output;

pub const COMMAND: Command = Command {
    name: "overview",
    arguments: "",
    summary: "show entry hosts, shards, what is cut off and what is pending",
    example: "shallotpost overview",
    options: no_options,
    argument_counts: (0, 0),
    run: show,
};

/// Prints the overview; also used by `status` without an argument.
///
/// # Errors
///
/// Returns the errors of `Client::send`, or an error if the output cannot be written.
pub fn show(context: &mut Context) -> Result<(), Error> {
    let reply = context.client.send(&Call::get("/v1/status"))?;
    match &reply {
        Reply::Overview(overview) => context.show(&reply, &output::overview(overview)),
        _ => Err(Error::UnexpectedReply { expected: "an overview" }),
    }
}
