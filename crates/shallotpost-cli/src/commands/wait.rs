//! `wait`: waits until work has ended and shows its outcome.

use std::time::{Duration, Instant};

use getopts::Options;
use shallotpost_protocol::interface::Reply;
use shallotpost_protocol::problem::Kind;
use shallotpost_protocol::work::Ending;

use crate::client::Call;
use crate::command::{Command, Context};
use crate::error::Error;
use crate::output;

/// Maximum wait of one request, shorter than the usual timeouts of proxies and load balancers.
const MAX_POLL_WAIT: Duration = Duration::from_secs(30);

const DEFAULT_WAIT: Duration = Duration::from_secs(60);

pub const COMMAND: Command = Command {
    name: "wait",
    arguments: "<team>/<id>",
    summary: "wait until work has ended and show its outcome",
    example: "shallotpost wait intake/day-17 --for 3600",
    options,
    argument_counts: (1, 1),
    run,
};

fn options(options: &mut Options) {
    options.optopt("", "for", "longest wait in seconds (default 60)", "SECONDS");
}

fn run(context: &mut Context) -> Result<(), Error> {
    let work = context.work_id(0)?;
    let wait = context.seconds("for")?.unwrap_or(DEFAULT_WAIT);
    let start = Instant::now();
    loop {
        let remaining = wait.saturating_sub(start.elapsed());
        let (poll_wait, started) = (remaining.min(MAX_POLL_WAIT), Instant::now());
        let call = Call::get(format!("/v1/work/{work}/wait")).waiting(poll_wait);
        match context.client.send(&call) {
            Err(Error::Problem { problem, .. })
                if problem.kind == Kind::TimedOut && !remaining.is_zero() =>
            {
                context.pause_after_early_reply(started, poll_wait);
            }
            Err(error) => return Err(error),
            Ok(reply) => {
                let Reply::Outcome(outcome) = &reply else {
                    return Err(Error::UnexpectedReply { expected: "an outcome" });
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
