//! `force`: shows whether a change is in force everywhere, or waits until it is.

use std::thread;
use std::time::{Duration, Instant};

use getopts::Options;
use shallotpost_protocol::interface::Reply;
use shallotpost_protocol::problem::{Kind, Problem};

use crate::change;
use crate::command::{Command, Context};
use crate::error::Error;
use crate::output;

pub const COMMAND: Command = Command {
    name: "force",
    arguments: "<revision>",
    summary: "show whether a change is in force everywhere, or wait until it is",
    example: "shallotpost force 121 --for 10",
    options,
    argument_counts: (1, 1),
    run,
};

fn options(options: &mut Options) {
    options.optopt("", "for", "wait up to this long until it is in force", "SECONDS");
}

fn run(context: &mut Context) -> Result<(), Error> {
    let text = context.argument(0);
    let revision =
        text.parse().map_err(|_| context.usage(format!("{text:?} is not a revision")))?;
    let wait = context.seconds("for")?;
    let start = Instant::now();
    let mut propagation = change::propagation(&context.client, revision)?;
    while !propagation.in_force && start.elapsed() < wait.unwrap_or(Duration::ZERO) {
        thread::sleep(context.environment.poll_interval);
        propagation = change::propagation(&context.client, revision)?;
    }
    let text = format!("{}\n", output::propagation(&propagation));
    context.show(&Reply::Propagation(propagation.clone()), &text)?;
    match wait {
        Some(_) if !propagation.in_force => Err(Error::Problem {
            server: String::new(),
            problem: Problem::new(Kind::TimedOut, format!("revision {revision} is still pending")),
        }),
        _ => Ok(()),
    }
}
