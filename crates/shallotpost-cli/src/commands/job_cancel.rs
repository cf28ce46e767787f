//! `job cancel`: cancels a job of a fleet.

use ureq::http::Method;

use super::job;
use crate::command::{Command, Context};
use crate::error::Error;

pub const COMMAND: Command = Command {
    name: "job cancel",
    arguments: "/<queue>/<id>",
    summary: "cancel a job of a fleet; its tasks are stopped within seconds",
    example: "shallotpost job cancel --team-key 3hh2b9 /lohu930/5c0e7a21d94b36f8",
    options: job::options,
    argument_counts: (1, 1),
    run,
};

fn run(context: &mut Context) -> Result<(), Error> {
    let answer = job::send(context, &Method::DELETE, &[])?;
    let text = format!("{}: the cancellation is recorded\n", context.argument(0));
    context.show(&answer, &text)
}
