//! `job state`: shows the state of a job of a fleet, or the number of waiting jobs of a queue.

use ureq::http::Method;

use super::job;
use crate::command::{Command, Context};
use crate::error::Error;

pub const COMMAND: Command = Command {
    name: "job state",
    arguments: "/<queue>/[<id>]",
    summary: "show the state of a job of a fleet, or how many jobs of a queue wait",
    example: "shallotpost job state --team-key 3hh2b9 /lohu930/5c0e7a21d94b36f8",
    options: job::options,
    argument_counts: (1, 1),
    run,
};

fn run(context: &mut Context) -> Result<(), Error> {
    let answer = job::send(context, &Method::GET, &[])?;
    let path = context.argument(0);
    let text = match (answer["state"].as_str(), answer["waiting"].as_u64()) {
        (Some(state), _) => format!("{path}: {state}\n"),
        (None, Some(jobs)) => format!("{path}: {jobs} waiting\n"),
        (None, None) => return Err(Error::UnexpectedReply { expected: "a state" }),
    };
    context.show(&answer, &text)
}
