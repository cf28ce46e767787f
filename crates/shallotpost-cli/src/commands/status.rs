//! `status`: shows the status of work, or the overview if there is no argument.

use shallotpost_protocol::interface::Reply;

use super::{no_options, overview};
use crate::client::Call;
use crate::command::{Command, Context};
use crate::error::Error;
use crate::output;

pub const COMMAND: Command = Command {
    name: "status",
    arguments: "[<team>/<id>]",
    summary: "show the status of work, or of the fleet",
    example: "shallotpost status intake/day-17",
    options: no_options,
    argument_counts: (0, 1),
    run,
};

fn run(context: &mut Context) -> Result<(), Error> {
    if context.matches.free.is_empty() {
        return overview::show(context);
    }
    let work = context.work_id(0)?;
    let reply = context.client.send(&Call::get(format!("/v1/work/{work}")))?;
    match &reply {
        Reply::Status(status) => context.show(&reply, &output::status(status)),
        _ => Err(Error::UnexpectedReply { expected: "a status" }),
    }
}
