//! `key withdraw`: deletes a key.

use shallotpost_protocol::resource::Kind;

use super::no_options;
use crate::change::{self, Condition};
use crate::command::{Command, Context};
use crate::error::Error;

pub const COMMAND: Command = Command {
    name: "key withdraw",
    arguments: "<name>",
    summary: "withdraw a key; it stops working once the change is in force",
    example: "shallotpost key withdraw intake-1",
    options: no_options,
    argument_counts: (1, 1),
    run,
};

fn run(context: &mut Context) -> Result<(), Error> {
    let name = context.name(0)?;
    let changed = change::delete(&context.client, Kind::Key, &name, Condition::default())?;
    context.show(&changed, &changed.text())
}
