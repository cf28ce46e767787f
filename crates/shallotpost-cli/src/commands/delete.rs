//! `delete`: deletes a resource.

use getopts::Options;

use crate::change::{self, Condition};
use crate::command::{Command, Context};
use crate::error::Error;

pub const COMMAND: Command = Command {
    name: "delete",
    arguments: "<kind> <name>",
    summary: "delete a resource",
    example: "shallotpost delete queue night --revision 12",
    options,
    argument_counts: (2, 2),
    run,
};

fn options(options: &mut Options) {
    options.optopt("", "revision", "fail unless the resource has this revision", "N");
    options.optflag("", "dry-run", "check everything and change nothing");
}

fn run(context: &mut Context) -> Result<(), Error> {
    let (kind, name) = (context.kind(0)?, context.name(1)?);
    let condition = Condition {
        revision: context.number("revision")?,
        dry_run: context.matches.opt_present("dry-run"),
    };
    let changed = change::delete(&context.client, kind, &name, condition)?;
    context.show(&changed, &changed.text())
}
