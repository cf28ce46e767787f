//! Creates, replaces and deletes resources. After an ambiguous failure the resource is read back to learn the outcome.

use serde::Serialize;
use shallotpost_protocol::identity::Revision;
use shallotpost_protocol::interface::Reply;
use shallotpost_protocol::problem::Kind as ProblemKind;
use shallotpost_protocol::resource::{Entry, Kind, Propagation, Resource};
use ureq::http::Method;

use crate::client::{Call, Client, Effect};
use crate::error::Error;
use crate::output;

/// The result of a change that took effect, or of a dry run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Changed {
    pub kind: Kind,
    pub name: String,
    /// Revision of the change; `None` for a deletion that was found by reading back.
    pub revision: Option<Revision>,
    /// Whether the change is in force; `None` if that is not known.
    #[serde(rename = "force")]
    pub propagation: Option<Propagation>,
    /// Whether the reply was lost and the change was found by reading the resource.
    pub read_back: bool,
    /// Whether the change was only checked and not made.
    pub dry_run: bool,
}

impl Changed {
    /// Returns the output line for people.
    pub fn text(&self) -> String {
        let subject = format!("{}/{}", self.kind, self.name);
        if self.dry_run {
            return format!("{subject}: would be changed\n");
        }
        let note = if self.read_back { " (reply lost, found by reading back)" } else { "" };
        match &self.propagation {
            Some(propagation) => format!("{subject}: {}{note}\n", output::propagation(propagation)),
            None => format!("{subject}: changed{note}\n"),
        }
    }
}

/// The precondition of a change, and whether it is a dry run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Condition {
    /// Revision that the resource must have; `None` accepts any, 0 requires that the resource does not exist.
    pub revision: Option<Revision>,
    /// Whether to check the change without making it.
    pub dry_run: bool,
}

impl Condition {
    /// Returns the condition that the resource has this revision.
    pub fn at(revision: Revision) -> Condition {
        Condition { revision: Some(revision), dry_run: false }
    }

    /// Returns the effect of repeating the change. With a revision, a repeat fails with a conflict instead of undoing a
    /// change that was made in between.
    fn effect(self) -> Effect {
        match self {
            Condition { dry_run: true, .. } => Effect::ReadOnly,
            Condition { revision: Some(_), .. } => Effect::Idempotent,
            Condition { revision: None, .. } => Effect::NotIdempotent,
        }
    }
}

/// Creates or replaces a resource.
///
/// # Errors
///
/// Returns `Ambiguous` if the reply was lost and the resource that is read back has other content, and otherwise the
/// errors of [`Client::send`].
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
            Ok(entry) if entry.resource == *resource => Ok(from_read_back(client, kind, &entry)),
            _ => Err(error),
        },
        result => from_reply(kind, name, condition, result?),
    }
}

/// Deletes a resource.
///
/// # Errors
///
/// Returns `Ambiguous` if the reply was lost and the resource still exists, and otherwise the errors of [`Client::send`].
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
                    propagation: None,
                    read_back: true,
                    dry_run: false,
                })
            }
            _ => Err(error),
        },
        result => from_reply(kind, name, condition, result?),
    }
}

/// Reads a resource.
///
/// # Errors
///
/// Returns the errors of [`Client::send`].
pub fn read(client: &Client, kind: Kind, name: &str) -> Result<Entry, Error> {
    match client.send(&Call::get(path(kind, name)))? {
        Reply::Entry(entry) => Ok(entry),
        _ => Err(Error::UnexpectedReply { expected: "a resource" }),
    }
}

/// Reads whether a revision is in force.
///
/// # Errors
///
/// Returns the errors of [`Client::send`].
pub fn propagation(client: &Client, revision: Revision) -> Result<Propagation, Error> {
    match client.send(&Call::get(format!("/v1/force/{revision}")))? {
        Reply::Propagation(propagation) => Ok(propagation),
        _ => Err(Error::UnexpectedReply { expected: "the state of a revision" }),
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

fn from_reply(
    kind: Kind,
    name: &str,
    condition: Condition,
    reply: Reply,
) -> Result<Changed, Error> {
    match reply {
        Reply::Changed { revision, propagation } => Ok(Changed {
            kind,
            name: name.to_owned(),
            revision: Some(revision),
            propagation: Some(propagation),
            read_back: false,
            dry_run: condition.dry_run,
        }),
        _ => Err(Error::UnexpectedReply { expected: "the revision of a change" }),
    }
}

fn from_read_back(client: &Client, kind: Kind, entry: &Entry) -> Changed {
    Changed {
        kind,
        name: entry.name.clone(),
        revision: Some(entry.revision),
        propagation: propagation(client, entry.revision).ok(),
        read_back: true,
        dry_run: false,
    }
}
