//! `cancel`: cancels work.

use shallotpost_protocol::interface::Reply;
use ureq::http::Method;

use super::no_options;
use crate::client::{Call, Effect};
use crate::command::{Command, Context};
use crate::error::Error;

pub const COMMAND: Command = Command {
    name: "cancel",
    arguments: "<team>/<id>",
    summary: "cancel work; `wait` tells when its tasks have stopped",
    example: "shallotpost cancel intake/day-17",
    options: no_options,
    argument_counts: (1, 1),
    run,
};

fn run(context: &mut Context) -> Result<(), Error> {
    let work = context.work_id(0)?;
    let check = format!("shallotpost status {work}");
    let path = format!("/v1/work/{work}/cancel");
    let reply =
        context.client.send(&Call::change(Method::POST, path, Effect::Idempotent, check))?;
    match &reply {
        Reply::Cancelling => {
            context.show(&reply, &format!("{work}: the cancellation is recorded\n"))
        }
        _ => Err(Error::UnexpectedReply { expected: "a recorded cancellation" }),
    }
}
