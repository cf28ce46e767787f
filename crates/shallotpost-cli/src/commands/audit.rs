//! `audit`: shows accepted and refused changes.

use getopts::Options;
use shallotpost_protocol::interface::{PAGE_LIMIT_MAX, Reply};

use crate::client::Call;
use crate::command::{Command, Context};
use crate::error::Error;
use crate::output;

pub const COMMAND: Command = Command {
    name: "audit",
    arguments: "",
    summary: "show who changed what, and refused changes",
    example: "shallotpost audit --from 100 --limit 50",
    options,
    argument_counts: (0, 0),
    run,
};

fn options(options: &mut Options) {
    options.optopt("", "from", "revision to start after (default 0)", "N");
    options.optopt("", "limit", "maximum number of changes (default and maximum 500)", "N");
}

fn run(context: &mut Context) -> Result<(), Error> {
    let from = context.number("from")?.unwrap_or(0);
    let limit = context.number("limit")?.unwrap_or(PAGE_LIMIT_MAX as u64);
    let call = Call::get("/v1/audit").query("from", from).query("limit", limit);
    let reply = context.client.send(&call)?;
    let Reply::Audit { changes, refused } = &reply else {
        return Err(Error::UnexpectedReply { expected: "a page of the audit trail" });
    };
    let text =
        format!("accepted:\n{}\nrefused:\n{}", output::changes(changes), output::refused(refused));
    context.show(&reply, &text)
}
