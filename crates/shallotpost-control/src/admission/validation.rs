//! Checks of a submission that need no table access.

use shallotpost_protocol::identity::is_name;
use shallotpost_protocol::resource::{Kind, Right};
use shallotpost_protocol::work::{Class, Specification, TASKS_MAX};

use crate::configuration::Snapshot;
use crate::prelude::*;

const COMMAND_WORDS_MAX: usize = 256;

/// Maximum number of attempts that a submission may request.
const ATTEMPTS_MAX: Attempt = 100;

/// Checks the rights of the key and every field of the specification.
///
/// # Errors
/// Returns the first fault found. If no admitted specification can have this fault, the problem states that the work
/// was not run.
pub fn check(
    snapshot: &Snapshot,
    identity: &Identity,
    specification: &Specification,
    unix_ms: u64,
) -> Result<(), Problem> {
    check_team(snapshot, identity, specification)?;
    check_fields(specification)?;
    check_data_centres(snapshot, specification)?;
    match specification.deadline_unix_ms {
        // A repeated submission can arrive after the deadline although the first one was admitted in time, so this
        // problem does not state that the work was not run.
        Some(deadline) if deadline <= unix_ms => {
            let message = format!("The deadline {deadline} has passed; it is {unix_ms} now.");
            Err(Problem::new(ProblemKind::Expired, message))
        }
        _ => Ok(()),
    }
}

fn check_team(
    snapshot: &Snapshot,
    identity: &Identity,
    specification: &Specification,
) -> Result<(), Problem> {
    let team = &specification.team;
    if snapshot.team(team).is_none() {
        return Err(Problem::new(
            ProblemKind::NotFound,
            format!("The team {team:?} does not exist."),
        ));
    }
    let is_own = match &identity.right {
        Right::Operator => true,
        Right::Team(own) => own == team,
    };
    match &specification.queue {
        None if is_own => Ok(()),
        None => Err(forbidden(identity, team)),
        Some(name) => match snapshot.queue(name) {
            None => Err(Problem::new(
                ProblemKind::NotFound,
                format!("The queue {name:?} does not exist."),
            )),
            Some(queue) if queue.team != *team => {
                let message = format!(
                    "The queue {name:?} belongs to the team {:?}, not to {team:?}.",
                    queue.team
                );
                Err(Problem::not_run(ProblemKind::Malformed, message))
            }
            Some(queue) if queue.open || is_own => Ok(()),
            Some(_) => Err(forbidden(identity, team)),
        },
    }
}

fn forbidden(identity: &Identity, team: &str) -> Problem {
    let message = format!("The key {:?} may not submit for the team {team:?}.", identity.key);
    Problem::not_run(ProblemKind::Forbidden, message)
}

fn check_fields(specification: &Specification) -> Result<(), Problem> {
    let tasks = specification.class.tasks();
    let fault = match specification {
        Specification { id, .. } if !is_name(id) => {
            "`id` must be 1 to 64 letters, digits, `-`, `_` or `.`, and must not start with a dot."
                .to_owned()
        }
        Specification { command, .. }
            if command.is_empty() || command.len() > COMMAND_WORDS_MAX =>
        {
            format!("`command` must have 1 to {COMMAND_WORDS_MAX} words.")
        }
        Specification { size, .. } if size.slots != 1 => "`size.slots` must be 1.".to_owned(),
        Specification { size, .. } if size.processors_milli == 0 => {
            "`size.processors_milli` must be at least 1.".to_owned()
        }
        Specification { attempts, .. } if !(1..=ATTEMPTS_MAX).contains(attempts) => {
            format!("`attempts` must be 1 to {ATTEMPTS_MAX}.")
        }
        Specification { class: Class::Service { .. }, idempotent: false, .. } => {
            "A service must be idempotent, because its replicas are replaced when they fail."
                .to_owned()
        }
        _ if !(1..=TASKS_MAX).contains(&tasks) => {
            format!("The number of tasks must be 1 to {TASKS_MAX}.")
        }
        _ => return Ok(()),
    };
    Err(Problem::not_run(ProblemKind::Malformed, fault))
}

fn check_data_centres(snapshot: &Snapshot, specification: &Specification) -> Result<(), Problem> {
    let unknown =
        specification.data_centres.iter().find(|name| snapshot.data_centre(name).is_none());
    match unknown {
        Some(name) => {
            let known: Vec<&str> = snapshot.names(Kind::DataCentre).collect();
            let message = format!("The data centre {name:?} does not exist; known are {known:?}.");
            Err(Problem::new(ProblemKind::NotFound, message))
        }
        None => Ok(()),
    }
}
