//! `apply`: creates or replaces resources from a file.

use getopts::Options;

use crate::change::{self, Changed, Condition};
use crate::command::{Command, Context};
use crate::document;
use crate::error::Error;

pub const COMMAND: Command = Command {
    name: "apply",
    arguments: "",
    summary: "create or replace resources from a file",
    example: "shallotpost apply -f teams.json --dry-run",
    options,
    argument_counts: (0, 0),
    run,
};

fn options(options: &mut Options) {
    options.optopt("f", "file", "one JSON document or an array, - for standard input", "FILE");
    options.optflag("", "dry-run", "check everything and change nothing");
}

fn run(context: &mut Context) -> Result<(), Error> {
    let path = context.matches.opt_str("file").ok_or_else(|| context.usage("-f is required"))?;
    let documents = document::resources(&path, &document::read(&path)?)?;
    let dry_run = context.matches.opt_present("dry-run");
    let mut done: Vec<Changed> = Vec::new();
    for document in &documents {
        let condition = Condition { revision: document.revision, dry_run };
        match change::put(&context.client, &document.name, &document.resource, condition) {
            Ok(changed) => done.push(changed),
            Err(error) => return Err(partial(&done, error)),
        }
    }
    let text: String = done.iter().map(Changed::text).collect();
    context.show(&done, &text)
}

/// Adds the changes that took effect before the error.
fn partial(done: &[Changed], error: Error) -> Error {
    if done.is_empty() {
        return error;
    }
    let names: Vec<String> =
        done.iter().map(|changed| format!("{}/{}", changed.kind, changed.name)).collect();
    Error::Partial { done: names.join(", "), source: Box::new(error) }
}
