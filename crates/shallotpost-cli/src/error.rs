//! The error type of the tool, with help for people and exit codes for programs.

use std::fmt::Write;
use std::io;

use serde_json::json;
use shallotpost_protocol::problem::{Kind, Problem};
use shallotpost_protocol::work::{Ending, Outcome};

/// Exit code: input, output or an answer that cannot be read.
pub const EXIT_GENERAL: u8 = 1;
/// Exit code: wrong command line or file.
pub const EXIT_USAGE: u8 = 2;
/// Exit code: the request can never succeed as it is.
pub const EXIT_REQUEST: u8 = 3;
/// Exit code: the key is missing, wrong or lacks the right.
pub const EXIT_KEY: u8 = 4;
/// Exit code: the named thing does not exist.
pub const EXIT_NOT_FOUND: u8 = 5;
/// Exit code: another change or submission came first.
pub const EXIT_CONFLICT: u8 = 6;
/// Exit code: nothing was done; a later try may succeed.
pub const EXIT_LATER: u8 = 7;
/// Exit code: the request may have taken effect.
pub const EXIT_UNKNOWN: u8 = 8;
/// Exit code: the wait ended first.
pub const EXIT_TIMED_OUT: u8 = 9;
/// Exit code: the work ended without success.
pub const EXIT_ENDED: u8 = 10;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is wrong.
    #[error("{message}")]
    Usage {
        /// What is wrong.
        message: String,
        /// Command whose help applies; empty for the whole tool.
        command: String,
    },
    /// A file cannot be read or written.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// Cause.
        source: io::Error,
    },
    /// A file has wrong content; all faults are listed.
    #[error("{path}: {}", faults.join("; "))]
    Document {
        /// The file.
        path: String,
        /// The faults.
        faults: Vec<String>,
    },
    /// An entry host refused the request.
    #[error("{}: {}", problem.kind, problem.message)]
    Problem {
        /// The entry host.
        server: String,
        /// Its answer.
        problem: Problem,
    },
    /// No entry host took the request; it had no effect.
    #[error("no entry host took the request: {}", attempts.join("; "))]
    Unreachable {
        /// What happened at each entry host.
        attempts: Vec<String>,
    },
    /// The request may have taken effect.
    #[error("the outcome is not known: {}", attempts.join("; "))]
    Ambiguous {
        /// What happened at each entry host.
        attempts: Vec<String>,
        /// Command that tells the outcome.
        check: String,
    },
    /// An entry host sent an answer of another kind.
    #[error("the entry host sent an unexpected answer instead of {expected}")]
    Reply {
        /// What was expected.
        expected: &'static str,
    },
    /// The work ended without success.
    #[error("{work} ended: {}: {}", outcome.ending, outcome.detail)]
    Ended {
        /// The work.
        work: String,
        /// Its outcome.
        outcome: Outcome,
    },
    /// A later step of a command failed.
    #[error("{source} (done before: {done})")]
    Partial {
        /// What took effect.
        done: String,
        /// Failure of the later step.
        source: Box<Error>,
    },
    /// The output cannot be written.
    #[error("the output cannot be written: {0}")]
    Output(#[from] io::Error),
}

impl Error {
    /// A wrong command line of `command`.
    pub fn usage(command: &str, message: impl Into<String>) -> Error {
        Error::Usage { message: message.into(), command: command.to_owned() }
    }

    /// Exit code of the process; docs/interface.md lists the codes.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Usage { .. } | Error::Document { .. } => EXIT_USAGE,
            Error::File { .. } | Error::Reply { .. } | Error::Output(_) => EXIT_GENERAL,
            Error::Problem { problem, .. } => problem_code(problem.kind),
            Error::Unreachable { .. } => EXIT_LATER,
            Error::Ambiguous { .. } => EXIT_UNKNOWN,
            Error::Ended { outcome, .. } if outcome.ending == Ending::Unknown => EXIT_UNKNOWN,
            Error::Ended { .. } => EXIT_ENDED,
            Error::Partial { source, .. } => source.exit_code(),
        }
    }

    /// What the reader can do about it.
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
                format!("Run `{check}` before anything is repeated.")
            }
            Error::Reply { .. } => {
                "Use the tool of the same release as the entry hosts.".to_owned()
            }
            Error::Ended { outcome, .. } if outcome.not_run => {
                "No task was started; submit it again under a new id.".to_owned()
            }
            Error::Ended { .. } => {
                "Some of it may have run; check its effects before it is submitted again."
                    .to_owned()
            }
            Error::Partial { source, .. } => source.help(),
            Error::Output(_) => "Check the receiver of the output.".to_owned(),
        }
    }

    /// Text for standard error: a line with the failure and one with help, or one JSON object.
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

/// Exit code of a problem kind.
pub fn problem_code(kind: Kind) -> u8 {
    match kind {
        Kind::Malformed | Kind::TooLarge | Kind::NeverRunnable | Kind::Expired => EXIT_REQUEST,
        Kind::Unauthorized | Kind::Forbidden => EXIT_KEY,
        Kind::NotFound => EXIT_NOT_FOUND,
        Kind::Conflict | Kind::IdReused | Kind::RevisionTooOld => EXIT_CONFLICT,
        Kind::Overloaded | Kind::Unavailable | Kind::StaleConfiguration | Kind::Draining => {
            EXIT_LATER
        }
        Kind::Unknown => EXIT_UNKNOWN,
        Kind::TimedOut => EXIT_TIMED_OUT,
    }
}
