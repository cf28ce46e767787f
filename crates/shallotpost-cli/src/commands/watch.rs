//! `watch`: prints configuration changes as they are made.

use std::time::{Duration, Instant};

use getopts::Options;
use shallotpost_protocol::interface::Reply;
use shallotpost_protocol::problem::Kind;

use crate::client::Call;
use crate::command::{Command, Context};
use crate::error::Error;
use crate::output;

/// Wait of one request.
const POLL_WAIT: Duration = Duration::from_secs(30);

pub const COMMAND: Command = Command {
    name: "watch",
    arguments: "",
    summary: "print configuration changes as they are made",
    example: "shallotpost watch --from 120 --json",
    options,
    argument_counts: (0, 0),
    run,
};

fn options(options: &mut Options) {
    options.optopt("", "from", "revision to start after (default: the current one)", "N");
    options.optopt("", "count", "stop after this many changes", "N");
}

fn run(context: &mut Context) -> Result<(), Error> {
    let mut from = match context.number("from")? {
        Some(from) => from,
        None => current_revision(context)?,
    };
    let mut remaining = context.number("count")?.unwrap_or(u64::MAX);
    while remaining > 0 {
        let started = Instant::now();
        let call = Call::get("/v1/watch").query("from", from).waiting(POLL_WAIT);
        let (changes, next) = match context.client.send(&call) {
            Ok(Reply::Changes { changes, next }) => (changes, next),
            Err(Error::Problem { problem, .. }) if problem.kind == Kind::TimedOut => {
                context.pause_after_early_reply(started, POLL_WAIT);
                continue;
            }
            Err(error) => return Err(error),
            Ok(_) => return Err(Error::UnexpectedReply { expected: "a page of changes" }),
        };
        if changes.is_empty() {
            context.pause_after_early_reply(started, POLL_WAIT);
        }
        let shown = usize::try_from(remaining).unwrap_or(usize::MAX).min(changes.len());
        for change in &changes[..shown] {
            context.show(change, &output::changes(std::slice::from_ref(change)))?;
        }
        remaining -= shown as u64;
        // A host that lags may reply with a lower revision. The watch never goes back, so that no change is repeated.
        from = from.max(next);
    }
    Ok(())
}

fn current_revision(context: &Context) -> Result<u64, Error> {
    match context.client.send(&Call::get("/v1/status"))? {
        Reply::Overview(overview) => Ok(overview.revision),
        _ => Err(Error::UnexpectedReply { expected: "an overview" }),
    }
}
