//! `drain`: takes a data centre out of service.

use shallotpost_protocol::problem::Kind as ProblemKind;
use shallotpost_protocol::resource::{Availability, DataCentre, Kind, Resource};

use super::no_options;
use crate::change::{self, Condition};
use crate::command::{Command, Context};
use crate::error::Error;

pub const COMMAND: Command = Command {
    name: "drain",
    arguments: "<data centre>",
    summary: "take a data centre out of service: it starts no more tasks",
    example: "shallotpost drain kochi",
    options: no_options,
    argument_counts: (1, 1),
    run,
};

fn run(context: &mut Context) -> Result<(), Error> {
    set_availability(context, Availability::Drained)
}

/// Sets the availability of a data centre and keeps its other fields. Fails with a conflict if the data centre is changed
/// in between.
pub(super) fn set_availability(
    context: &mut Context,
    availability: Availability,
) -> Result<(), Error> {
    let name = context.name(0)?;
    let (mut data_centre, revision) = match change::read(&context.client, Kind::DataCentre, &name) {
        Ok(entry) => match entry.resource {
            Resource::DataCentre(data_centre) => (data_centre, entry.revision),
            _ => return Err(Error::UnexpectedReply { expected: "a data centre" }),
        },
        // A data centre without a resource is active and has one shard.
        Err(Error::Problem { problem, .. }) if problem.kind == ProblemKind::NotFound => {
            (DataCentre { availability: Availability::Active, shards: 1 }, 0)
        }
        Err(error) => return Err(error),
    };
    data_centre.availability = availability;
    let resource = Resource::DataCentre(data_centre);
    let changed = change::put(&context.client, &name, &resource, Condition::at(revision))?;
    context.show(&changed, &changed.text())
}
