//! `key rotate`: grants a successor of a key and lets the old one expire after an overlap.

use std::time::Duration;

use getopts::Options;
use shallotpost_protocol::resource::{Key, Kind, Resource};

use super::key_grant;
use crate::change::{self, Condition};
use crate::command::{Command, Context};
use crate::error::Error;

const DEFAULT_OVERLAP: Duration = Duration::from_secs(24 * 3600);

pub const COMMAND: Command = Command {
    name: "key rotate",
    arguments: "<name>",
    summary: "grant a successor of a key; the old one expires after an overlap",
    example: "shallotpost key rotate intake-1 --overlap 3600",
    options,
    argument_counts: (1, 1),
    run,
};

fn options(options: &mut Options) {
    options.optopt(
        "",
        "to",
        "name of the successor (default: the number at the end of the name plus 1, or -2)",
        "NAME",
    );
    options.optopt("", "overlap", "time during which both keys work (default 86400)", "SECONDS");
}

fn run(context: &mut Context) -> Result<(), Error> {
    let name = context.name(0)?;
    let successor = context.name_option("to")?.unwrap_or_else(|| successor(&name));
    let overlap = context.seconds("overlap")?.unwrap_or(DEFAULT_OVERLAP);
    let entry = change::read(&context.client, Kind::Key, &name)?;
    let Resource::Key(old) = entry.resource else {
        return Err(Error::UnexpectedReply { expected: "a key" });
    };
    let (secret, changed) = key_grant::grant(context, &successor, old.right.clone(), None)?;
    // The new key already works and cannot be shown again, so it is shown before the next step, which may fail.
    key_grant::show_key(context, &successor, secret, &changed)?;
    let overlap_end = key_grant::unix_ms_after(context, overlap);
    let expires = old.expires_unix_ms.map_or(overlap_end, |earlier| earlier.min(overlap_end));
    let resource = Resource::Key(Key { expires_unix_ms: Some(expires), ..old });
    match change::put(&context.client, &name, &resource, Condition::at(entry.revision)) {
        Ok(changed) => context.show(&changed, &changed.text()),
        Err(error) => {
            let done = format!("key {successor} granted; key {name} does not expire yet");
            Err(Error::Partial { done, source: Box::new(error) })
        }
    }
}

/// Returns the name with the number at its end incremented, or `<name>-2` if it ends without a number.
fn successor(name: &str) -> String {
    let numbered = name
        .rsplit_once('-')
        .and_then(|(base, number)| Some((base, number.parse::<u64>().ok()?.checked_add(1)?)));
    match numbered {
        Some((base, next)) => format!("{base}-{next}"),
        None => format!("{name}-2"),
    }
}
