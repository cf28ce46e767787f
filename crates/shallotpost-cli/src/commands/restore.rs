//! `restore`: returns a data centre to service.

use shallotpost_protocol::resource::Availability;

use super::{drain, no_options};
use crate::command::{Command, Context};
use crate::error::Error;

pub const COMMAND: Command = Command {
    name: "restore",
    arguments: "<data centre>",
    summary: "return a data centre to service; it gets work at a bounded rate",
    example: "shallotpost restore kochi",
    options: no_options,
    argument_counts: (1, 1),
    run,
};

fn run(context: &mut Context) -> Result<(), Error> {
    drain::set_availability(context, Availability::Active)
}
