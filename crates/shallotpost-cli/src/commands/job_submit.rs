//! `job submit`: submits a job of steps to a queue of a fleet.

use std::fs;

use serde_json::Value;
use ureq::http::Method;

use super::job;
use crate::command::{Command, Context};
use crate::error::Error;

pub const COMMAND: Command = Command {
    name: "job submit",
    arguments: "/<queue>/<id> <file>",
    summary: "submit a job of steps to a queue of a fleet; repeating it with the same id is safe",
    example: "shallotpost job submit --team-key 3hh2b9 /lohu930/5c0e7a21d94b36f8 job.json",
    options: job::options,
    argument_counts: (2, 2),
    run,
};

fn run(context: &mut Context) -> Result<(), Error> {
    let path = context.argument(1).to_owned();
    let body = fs::read(&path).map_err(|source| Error::File { path: path.clone(), source })?;
    if let Err(error) = serde_json::from_slice::<Value>(&body) {
        return Err(Error::Document { path, faults: vec![error.to_string()] });
    }
    let answer = job::send(context, &Method::POST, &body)?;
    let text = format!("{}: accepted\n", context.argument(0));
    context.show(&answer, &text)
}
