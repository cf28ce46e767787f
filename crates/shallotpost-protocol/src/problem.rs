//! Error type of all interfaces.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// Kind of a problem. The text form is the `snake_case` name.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// The request cannot be parsed or a field is out of range.
    Malformed,
    /// The body exceeds the size limit.
    TooLarge,
    /// The key is missing, unknown, withdrawn or wrong.
    Unauthorized,
    /// The key is valid but lacks the permission.
    Forbidden,
    /// The named object does not exist.
    NotFound,
    /// Another change was committed first. The message contains the current revision.
    Conflict,
    /// The id is already used for other work.
    IdReused,
    /// No worker is large enough for a task of this size.
    NeverRunnable,
    /// The deadline has passed.
    Expired,
    /// A queue or budget is full.
    Overloaded,
    /// A required service or host cannot be reached at present.
    Unavailable,
    /// The configuration lease has lapsed, so this host must not act on its configuration.
    StaleConfiguration,
    /// The entry host is shutting down.
    Draining,
    /// The requested revision is older than the oldest change that is kept.
    RevisionTooOld,
    /// The outcome is not known: the request may have taken effect.
    Unknown,
    /// The wait timed out before the work ended.
    TimedOut,
}

impl Kind {
    /// Returns the HTTP status code of this kind.
    pub fn status(self) -> u16 {
        match self {
            Kind::Malformed | Kind::NeverRunnable | Kind::Expired => 400,
            Kind::TooLarge => 413,
            Kind::Unauthorized => 401,
            Kind::Forbidden => 403,
            Kind::NotFound => 404,
            Kind::Conflict | Kind::IdReused => 409,
            Kind::RevisionTooOld => 410,
            Kind::Overloaded => 429,
            Kind::Unavailable | Kind::StaleConfiguration | Kind::Draining => 503,
            Kind::Unknown | Kind::TimedOut => 504,
        }
    }

    /// Returns advice for the user on how to resolve the problem.
    pub fn remedy(self) -> &'static str {
        match self {
            Kind::Malformed => {
                "Correct the request; docs/interface.md lists the fields and their ranges."
            }
            Kind::TooLarge => {
                "Upload the data with `shallotpost object put` and name the object in the submission."
            }
            Kind::Unauthorized => {
                "Present a valid key; an operator grants one with `shallotpost key grant`."
            }
            Kind::Forbidden => {
                "Use a key of the right team, or an operator's key for administration."
            }
            Kind::NotFound => "Check the name with `shallotpost list`.",
            Kind::Conflict => {
                "Read the resource again and repeat the change with its current revision."
            }
            Kind::IdReused => "Choose another id, or submit the same specification as before.",
            Kind::NeverRunnable => "Lower the size to the nearest capacity named in the message.",
            Kind::Expired => "Submit again with a deadline in the future.",
            Kind::Overloaded => "Retry later with jitter, or through another entry host.",
            Kind::Unavailable => "Retry later with the same id, or through another entry host.",
            Kind::StaleConfiguration => "Retry through an entry host that reaches the platform.",
            Kind::Draining => "Retry through another entry host.",
            Kind::RevisionTooOld => {
                "List the resources again and watch from the revision of that list."
            }
            Kind::Unknown => "Ask for the status of the same id before anything is repeated.",
            Kind::TimedOut => "Wait again with the same id; the work goes on.",
        }
    }
}

/// A refused or failed request, and advice on how to resolve it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{kind}: {message} {remedy}")]
pub struct Problem {
    /// Machine-readable kind.
    pub kind: Kind,
    /// Human-readable description. It must not contain secrets.
    pub message: String,
    /// Human-readable advice, from [`Kind::remedy`].
    pub remedy: String,
    /// True only if the work was certainly not started and will not be started by this request.
    #[serde(default)]
    pub not_run: bool,
}

impl Problem {
    /// Creates a problem with the remedy of `kind`. It does not state whether the work was run.
    pub fn new(kind: Kind, message: impl Into<String>) -> Problem {
        Problem { kind, message: message.into(), remedy: kind.remedy().to_owned(), not_run: false }
    }

    /// Creates a problem that states that the work was certainly not run.
    pub fn not_run(kind: Kind, message: impl Into<String>) -> Problem {
        Problem { not_run: true, ..Problem::new(kind, message) }
    }
}
