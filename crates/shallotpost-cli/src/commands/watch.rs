//! `watch`: prints configuration changes as they are made.

use std::time::{Duration, Instant};

use getopts::Options;
use shallotpost_protocol::interface::Reply;
use shallotpost_protocol::problem::Kind;

use crate::client::Call;
use crate::command::{Command, Context};
use crate::error::Error;
use crate::output;

/// Longest wait of one request.
const POLL: Duration = Duration::from_secs(30);

/// The command.
pub const COMMAND: Command = Command {
    name: "watch",
    arguments: "",
    summary: "print configuration changes as they are made",
    example: "shallotpost watch --from 120 --json",
    options,
    counts: (0, 0),
    run,
};

fn options(options: &mut Options) {
    options.optopt("", "from", "revision to start after (default: the current one)", "N");
    options.optopt("", "count", "end after this many changes", "N");
}

fn run(context: &mut Context) -> Result<(), Error> {
    let mut from = match context.number("from")? {
        Some(from) => from,
        None => current(context)?,
    };
    let mut left = context.number("count")?.unwrap_or(u64::MAX);
    while left > 0 {
        let started = Instant::now();
        let call = Call::get("/v1/watch").query("from", from).waiting(POLL);
        let (changes, next) = match context.client.send(&call) {
            Ok(Reply::Changes { changes, next }) => (changes, next),
            Err(Error::Problem { problem, .. }) if problem.kind == Kind::TimedOut => {
                context.pause_after(started, POLL);
                continue;
            }
            Err(error) => return Err(error),
            Ok(_) => return Err(Error::Reply { expected: "a page of changes" }),
        };
        if changes.is_empty() {
            context.pause_after(started, POLL);
        }
        let shown = usize::try_from(left).unwrap_or(usize::MAX).min(changes.len());
        for change in &changes[..shown] {
            context.show(change, &output::changes(std::slice::from_ref(change)))?;
        }
        left -= shown as u64;
        // A host that lags may answer with a lower revision; the watch never goes back.
        from = from.max(next);
    }
    Ok(())
}

fn current(context: &Context) -> Result<u64, Error> {
    match context.client.send(&Call::get("/v1/status"))? {
        Reply::Overview(overview) => Ok(overview.revision),
        _ => Err(Error::Reply { expected: "an overview" }),
    }
}
