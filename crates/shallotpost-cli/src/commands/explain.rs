//! `explain`: shows why work waits.

use shallotpost_protocol::interface::Reply;

use super::no_options;
use crate::client::Call;
use crate::command::{Command, Context};
use crate::error::Error;
use crate::output;

pub const COMMAND: Command = Command {
    name: "explain",
    arguments: "<team>/<id>",
    summary: "show why work waits and what would let it start",
    example: "shallotpost explain intake/day-17",
    options: no_options,
    argument_counts: (1, 1),
    run,
};

fn run(context: &mut Context) -> Result<(), Error> {
    let work = context.work_id(0)?;
    let reply = context.client.send(&Call::get(format!("/v1/work/{work}/explain")))?;
    match &reply {
        Reply::Explanation(explanation) => context.show(&reply, &output::explanation(explanation)),
        _ => Err(Error::UnexpectedReply { expected: "an explanation" }),
    }
}
