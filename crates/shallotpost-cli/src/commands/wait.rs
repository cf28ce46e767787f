//! `wait`: waits until work ended.

use std::time::{Duration, Instant};

use getopts::Options;
use shallotpost_protocol::interface::Reply;
use shallotpost_protocol::problem::Kind;
use shallotpost_protocol::work::Ending;

use crate::client::Call;
use crate::command::{Command, Context};
use crate::error::Error;
use crate::output;

/// Longest wait of one request; shorter than what proxies and balancers usually cut.
const POLL: Duration = Duration::from_secs(30);

/// Wait without `--for`.
const WAIT_DEFAULT: Duration = Duration::from_secs(60);

/// The command.
pub const COMMAND: Command = Command {
    name: "wait",
    arguments: "<team>/<id>",
    summary: "wait until work ended and show its outcome",
    example: "shallotpost wait intake/day-17 --for 3600",
    options,
    counts: (1, 1),
    run,
};

fn options(options: &mut Options) {
    options.optopt("", "for", "longest wait in seconds (default 60)", "SECONDS");
}

fn run(context: &mut Context) -> Result<(), Error> {
    let work = context.work(0)?;
    let wait = context.seconds("for")?.unwrap_or(WAIT_DEFAULT);
    let start = Instant::now();
    loop {
        let left = wait.saturating_sub(start.elapsed());
        let (poll, started) = (left.min(POLL), Instant::now());
        let call = Call::get(format!("/v1/work/{work}/wait")).waiting(poll);
        match context.client.send(&call) {
            Err(Error::Problem { problem, .. })
                if problem.kind == Kind::TimedOut && !left.is_zero() =>
            {
                context.pause_after(started, poll);
            }
            Err(error) => return Err(error),
            Ok(reply) => {
                let Reply::Outcome(outcome) = &reply else {
                    return Err(Error::Reply { expected: "an outcome" });
                };
                context.show(&reply, &output::outcome(outcome))?;
                return match outcome.ending {
                    Ending::Succeeded => Ok(()),
                    _ => Err(Error::Ended { work: work.to_string(), outcome: outcome.clone() }),
                };
            }
        }
    }
}
