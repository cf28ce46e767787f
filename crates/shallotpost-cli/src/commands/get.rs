//! `get`: shows one resource.

use super::no_options;
use crate::change;
use crate::command::{Command, Context};
use crate::error::Error;
use crate::output;

pub const COMMAND: Command = Command {
    name: "get",
    arguments: "<kind> <name>",
    summary: "show one resource; with --json in a form that `apply` takes",
    example: "shallotpost get team intake --json > intake.json",
    options: no_options,
    argument_counts: (2, 2),
    run,
};

fn run(context: &mut Context) -> Result<(), Error> {
    let (kind, name) = (context.kind(0)?, context.name(1)?);
    let entry = change::read(&context.client, kind, &name)?;
    context.show(&entry, &output::entries(std::slice::from_ref(&entry)))
}
