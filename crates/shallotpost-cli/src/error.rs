//! The error type of the tool, with a hint for people and an exit code for programs.

use std::fmt::Write;
use std::io;

use serde_json::json;
use shallotpost_protocol::problem::{Kind, Problem};
use shallotpost_protocol::work::{Ending, Outcome};

/// Exit code: a file or output error, or a reply of an unexpected kind.
pub const EXIT_GENERAL: u8 = 1;
/// Exit code: invalid command line or input file.
pub const EXIT_USAGE: u8 = 2;
/// Exit code: the request can never succeed unchanged.
pub const EXIT_REQUEST: u8 = 3;
/// Exit code: the key is missing or wrong, or lacks the right for the request.
pub const EXIT_KEY: u8 = 4;
/// Exit code: the named object does not exist.
pub const EXIT_NOT_FOUND: u8 = 5;
/// Exit code: the request conflicts with an earlier change or submission.
pub const EXIT_CONFLICT: u8 = 6;
/// Exit code: the request had no effect and may succeed if it is retried later.
pub const EXIT_RETRY_LATER: u8 = 7;
/// Exit code: the outcome is unknown; the request may have taken effect.
pub const EXIT_UNKNOWN: u8 = 8;
/// Exit code: the wait timed out.
pub const EXIT_TIMED_OUT: u8 = 9;
/// Exit code: the work ended without success.
pub const EXIT_ENDED: u8 = 10;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is invalid.
    #[error("{message}")]
    Usage {
        message: String,
        /// Command whose help applies; empty for that of the whole tool.
        command: String,
    },
    /// A file cannot be read or written.
    #[error("{path}: {source}")]
    File { path: String, source: io::Error },
    /// A file has invalid content.
    #[error("{path}: {}", faults.join("; "))]
    Document {
        path: String,
        /// Every fault that was found, not just the first.
        faults: Vec<String>,
    },
    /// An entry host refused the request.
    #[error("{}: {}", problem.kind, problem.message)]
    Problem {
        /// URL of the entry host; empty where the tool itself reports the problem.
        server: String,
        problem: Problem,
    },
    /// No entry host accepted the request; it had no effect.
    #[error("no entry host accepted the request: {}", attempts.join("; "))]
    Unreachable {
        /// The failure at each entry host, in the order in which they were tried.
        attempts: Vec<String>,
    },
    /// The request may have taken effect.
    #[error("the outcome is unknown: {}", attempts.join("; "))]
    Ambiguous {
        /// The failure at each entry host, in the order in which they were tried.
        attempts: Vec<String>,
        /// Command line that shows the outcome.
        check: String,
    },
    /// An entry host sent a reply of another kind than the request calls for.
    #[error("the entry host sent an unexpected reply instead of {expected}")]
    UnexpectedReply { expected: &'static str },
    /// The work ended without success.
    #[error("{work} ended: {}: {}", outcome.ending, outcome.detail)]
    Ended { work: String, outcome: Outcome },
    /// A step of a command failed after earlier steps took effect.
    #[error("{source} (done before: {done})")]
    Partial {
        /// The steps that took effect.
        done: String,
        source: Box<Error>,
    },
    /// The output cannot be written.
    #[error("the output cannot be written: {0}")]
    Output(#[from] io::Error),
}

impl Error {
    /// Returns an [`Error::Usage`] for `command`.
    pub fn usage(command: &str, message: impl Into<String>) -> Error {
        Error::Usage { message: message.into(), command: command.to_owned() }
    }

    /// Returns the exit code of the process; docs/interface.md lists the codes.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Usage { .. } | Error::Document { .. } => EXIT_USAGE,
            Error::File { .. } | Error::UnexpectedReply { .. } | Error::Output(_) => EXIT_GENERAL,
            Error::Problem { problem, .. } => problem_code(problem.kind),
            Error::Unreachable { .. } => EXIT_RETRY_LATER,
            Error::Ambiguous { .. } => EXIT_UNKNOWN,
            Error::Ended { outcome, .. } if outcome.ending == Ending::Unknown => EXIT_UNKNOWN,
            Error::Ended { .. } => EXIT_ENDED,
            Error::Partial { source, .. } => source.exit_code(),
        }
    }

    /// Returns a hint on how to resolve the error.
    pub fn help(&self) -> String {
        match self {
            Error::Usage { command, .. } if command.is_empty() => {
                "Run `shallotpost --help` for the commands.".to_owned()
            }
            Error::Usage { command, .. } => {
                format!("Run `shallotpost {command} --help` for its options and an example.")
            }
            Error::File { .. } => "Check the path and its permissions.".to_owned(),
            Error::Document { .. } => {
                "Correct the file; docs/interface.md lists the fields and their ranges.".to_owned()
            }
            Error::Problem { problem, .. } => problem.remedy.clone(),
            Error::Unreachable { .. } => {
                "Check the URLs in --server or SHALLOTPOST_SERVERS, and retry later.".to_owned()
            }
            Error::Ambiguous { check, .. } => {
                format!("Run `{check}` to see the outcome before you repeat the request.")
            }
            Error::UnexpectedReply { .. } => {
                "Use the release of this tool that matches the entry hosts.".to_owned()
            }
            Error::Ended { outcome, .. } if outcome.not_run => {
                "No task was started; submit it again under a new id.".to_owned()
            }
            Error::Ended { .. } => {
                "Some tasks may have run; check their effects before you submit the work again."
                    .to_owned()
            }
            Error::Partial { source, .. } => source.help(),
            Error::Output(_) => "Check the file or program that receives the output.".to_owned(),
        }
    }

    /// Returns the text for standard error: a line with the failure and one with the hint, or one JSON object.
    pub fn render(&self, json: bool) -> String {
        if json {
            let kind = self.kind().map(|kind| kind.to_string());
            return json!({
                "error": self.to_string(),
                "kind": kind,
                "not_run": self.not_run(),
                "help": self.help(),
                "exit_code": self.exit_code(),
            })
            .to_string();
        }
        let mut text = format!("error: {self}");
        if self.not_run() {
            text.push_str("\nnot run: the work was certainly not started");
        }
        let _ = write!(text, "\nhelp: {}", self.help());
        text
    }

    fn kind(&self) -> Option<Kind> {
        match self {
            Error::Problem { problem, .. } => Some(problem.kind),
            Error::Ambiguous { .. } => Some(Kind::Unknown),
            Error::Unreachable { .. } => Some(Kind::Unavailable),
            Error::Partial { source, .. } => source.kind(),
            _ => None,
        }
    }

    fn not_run(&self) -> bool {
        match self {
            Error::Problem { problem, .. } => problem.not_run,
            Error::Ended { outcome, .. } => outcome.not_run,
            _ => false,
        }
    }
}

/// Returns the exit code for a kind of problem.
pub fn problem_code(kind: Kind) -> u8 {
    match kind {
        Kind::Malformed | Kind::TooLarge | Kind::NeverRunnable | Kind::Expired => EXIT_REQUEST,
        Kind::Unauthorized | Kind::Forbidden => EXIT_KEY,
        Kind::NotFound => EXIT_NOT_FOUND,
        Kind::Conflict | Kind::IdReused | Kind::RevisionTooOld => EXIT_CONFLICT,
        Kind::Overloaded | Kind::Unavailable | Kind::StaleConfiguration | Kind::Draining => {
            EXIT_RETRY_LATER
        }
        Kind::Unknown => EXIT_UNKNOWN,
        Kind::TimedOut => EXIT_TIMED_OUT,
    }
}
