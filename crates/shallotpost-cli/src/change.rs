//! Changes of resources, with the outcome of an ambiguous one resolved by reading back.

use serde::Serialize;
use shallotpost_protocol::identity::Revision;
use shallotpost_protocol::interface::Reply;
use shallotpost_protocol::problem::Kind as ProblemKind;
use shallotpost_protocol::resource::{Entry, Kind, Propagation, Resource};
use ureq::http::Method;

use crate::client::{Call, Client, Effect};
use crate::error::Error;
use crate::output;

/// A change that took effect (or would, for a dry run).
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Changed {
    /// Kind of the resource.
    pub kind: Kind,
    /// Its name.
    pub name: String,
    /// Revision of the change; `None` where the deletion was found by reading back.
    pub revision: Option<Revision>,
    /// Whether it is in force; `None` where that is not known.
    pub force: Option<Propagation>,
    /// Whether the reply was lost and the change was found by reading the resource.
    pub read_back: bool,
    /// Whether nothing was changed.
    pub dry_run: bool,
}

impl Changed {
    /// One line for people.
    pub fn text(&self) -> String {
        let subject = format!("{}/{}", self.kind, self.name);
        if self.dry_run {
            return format!("{subject}: would be changed\n");
        }
        let note = if self.read_back { " (reply lost, found by reading back)" } else { "" };
        match &self.force {
            Some(force) => format!("{subject}: {}{note}\n", output::force(force)),
            None => format!("{subject}: changed{note}\n"),
        }
    }
}

/// Condition and mode of a change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Condition {
    /// Revision that the resource must have: `None` for any, 0 for none at all.
    pub revision: Option<Revision>,
    /// Checks everything and changes nothing.
    pub dry_run: bool,
}

impl Condition {
    /// The resource must have this revision.
    pub fn at(revision: Revision) -> Condition {
        Condition { revision: Some(revision), dry_run: false }
    }

    /// With a revision, a repeat meets a conflict instead of undoing a change that came in between.
    fn effect(self) -> Effect {
        match self {
            Condition { dry_run: true, .. } => Effect::Read,
            Condition { revision: Some(_), .. } => Effect::Repeatable,
            Condition { revision: None, .. } => Effect::Once,
        }
    }
}

/// Creates or replaces a resource.
///
/// # Errors
///
/// `Ambiguous` where the reply was lost and reading back does not show the content.
pub fn put(
    client: &Client,
    name: &str,
    resource: &Resource,
    condition: Condition,
) -> Result<Changed, Error> {
    let kind = resource.kind();
    let call = call(Method::PUT, kind, name, condition).json(resource);
    match client.send(&call) {
        Err(error @ Error::Ambiguous { .. }) => match read(client, kind, name) {
            Ok(entry) if entry.resource == *resource => Ok(found(client, kind, &entry)),
            _ => Err(error),
        },
        result => changed(kind, name, condition, result?),
    }
}

/// Deletes a resource.
///
/// # Errors
///
/// `Ambiguous` where the reply was lost and the resource is still there.
pub fn delete(
    client: &Client,
    kind: Kind,
    name: &str,
    condition: Condition,
) -> Result<Changed, Error> {
    match client.send(&call(Method::DELETE, kind, name, condition)) {
        Err(error @ Error::Ambiguous { .. }) => match read(client, kind, name) {
            Err(Error::Problem { problem, .. }) if problem.kind == ProblemKind::NotFound => {
                Ok(Changed {
                    kind,
                    name: name.to_owned(),
                    revision: None,
                    force: None,
                    read_back: true,
                    dry_run: false,
                })
            }
            _ => Err(error),
        },
        result => changed(kind, name, condition, result?),
    }
}

/// Reads a resource.
///
/// # Errors
///
/// The refusal, or no entry host took the request.
pub fn read(client: &Client, kind: Kind, name: &str) -> Result<Entry, Error> {
    match client.send(&Call::get(path(kind, name)))? {
        Reply::Entry(entry) => Ok(entry),
        _ => Err(Error::Reply { expected: "a resource" }),
    }
}

/// Whether a revision is in force.
///
/// # Errors
///
/// The refusal, or no entry host took the request.
pub fn force(client: &Client, revision: Revision) -> Result<Propagation, Error> {
    match client.send(&Call::get(format!("/v1/force/{revision}")))? {
        Reply::Propagation(force) => Ok(force),
        _ => Err(Error::Reply { expected: "the state of a revision" }),
    }
}

fn path(kind: Kind, name: &str) -> String {
    format!("/v1/resources/{kind}/{name}")
}

fn call(method: Method, kind: Kind, name: &str, condition: Condition) -> Call {
    let check = format!("shallotpost get {kind} {name}");
    let mut call = Call::change(method, path(kind, name), condition.effect(), check);
    if let Some(revision) = condition.revision {
        call = call.query("revision", revision);
    }
    if condition.dry_run {
        call = call.query("dry_run", true);
    }
    call
}

fn changed(kind: Kind, name: &str, condition: Condition, reply: Reply) -> Result<Changed, Error> {
    match reply {
        Reply::Changed { revision, propagation } => Ok(Changed {
            kind,
            name: name.to_owned(),
            revision: Some(revision),
            force: Some(propagation),
            read_back: false,
            dry_run: condition.dry_run,
        }),
        _ => Err(Error::Reply { expected: "the revision of a change" }),
    }
}

fn found(client: &Client, kind: Kind, entry: &Entry) -> Changed {
    Changed {
        kind,
        name: entry.name.clone(),
        revision: Some(entry.revision),
        force: force(client, entry.revision).ok(),
        read_back: true,
        dry_run: false,
    }
}
