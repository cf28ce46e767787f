//! `list`: shows all resources of a kind, a team's work, or the workers.

use getopts::Options;
use shallotpost_protocol::identity::TeamId;
use shallotpost_protocol::interface::{PAGE_LIMIT_MAX, Reply};
use shallotpost_protocol::resource::Kind;

use crate::client::Call;
use crate::command::{Command, Context};
use crate::error::Error;
use crate::output;

pub const COMMAND: Command = Command {
    name: "list",
    arguments: "<kind> | work <team> | workers",
    summary: "list resources of a kind, a team's work that has not ended, or the workers",
    example: "shallotpost list work intake",
    options,
    argument_counts: (1, 2),
    run,
};

fn options(options: &mut Options) {
    options.optopt("", "prefix", "only resources whose names start with this", "TEXT");
}

fn run(context: &mut Context) -> Result<(), Error> {
    match (context.argument(0), context.matches.free.len()) {
        ("work", 2) => {
            let team = context.name(1)?;
            list_work(context, &team)
        }
        ("workers", 1) => list_workers(context),
        ("work", _) => Err(context.usage("`list work` needs a team")),
        (_, 1) => {
            let kind = context.kind(0)?;
            list_resources(context, kind)
        }
        _ => Err(context.usage("a kind takes no further argument; use --prefix")),
    }
}

fn list_resources(context: &mut Context, kind: Kind) -> Result<(), Error> {
    let prefix = context.name_option("prefix")?.unwrap_or_default();
    let (mut all, mut cursor) = (Vec::new(), String::new());
    let revision = loop {
        let call = page(format!("/v1/resources/{kind}"), &cursor).query("prefix", &prefix);
        let Reply::Entries { entries, revision, more } = context.client.send(&call)? else {
            return Err(Error::UnexpectedReply { expected: "a page of resources" });
        };
        all.extend(entries);
        match all.last() {
            Some(last) if more && last.name > cursor => cursor = last.name.clone(),
            _ => break revision,
        }
    };
    let text = output::entries(&all);
    context.show(&Reply::Entries { entries: all, revision, more: false }, &text)
}

fn list_work(context: &mut Context, team: &TeamId) -> Result<(), Error> {
    let (mut all, mut cursor) = (Vec::new(), String::new());
    loop {
        let call = page(format!("/v1/work/{team}"), &cursor);
        let Reply::Work { entries, more } = context.client.send(&call)? else {
            return Err(Error::UnexpectedReply { expected: "a page of work" });
        };
        all.extend(entries);
        match all.last() {
            Some(last) if more && last.work.name > cursor => cursor = last.work.name.clone(),
            _ => break,
        }
    }
    let text = output::work(&all);
    context.show(&Reply::Work { entries: all, more: false }, &text)
}

fn list_workers(context: &mut Context) -> Result<(), Error> {
    let (mut all, mut cursor) = (Vec::new(), String::new());
    loop {
        let call = page("/v1/workers".to_owned(), &cursor);
        let Reply::Workers { entries, more } = context.client.send(&call)? else {
            return Err(Error::UnexpectedReply { expected: "a page of workers" });
        };
        all.extend(entries);
        match all.last() {
            Some(last) if more && last.worker > cursor => cursor = last.worker.clone(),
            _ => break,
        }
    }
    let text = output::workers(&all);
    context.show(&Reply::Workers { entries: all, more: false }, &text)
}

fn page(path: String, cursor: &str) -> Call {
    Call::get(path).query("after", cursor).query("limit", PAGE_LIMIT_MAX)
}
