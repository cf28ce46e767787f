//! `key grant`: generates a secret, uploads its digest and shows the key once.

use std::time::{Duration, UNIX_EPOCH};

use getopts::Options;
use serde_json::json;
use shallotpost_protocol::resource::{Key, Resource, Right};

use crate::change::{self, Changed, Condition};
use crate::command::{Command, Context};
use crate::error::Error;
use crate::secret::Secret;

pub const COMMAND: Command = Command {
    name: "key grant",
    arguments: "<name>",
    summary: "grant a key and show it once",
    example: "shallotpost key grant intake-1 --team intake",
    options,
    argument_counts: (1, 1),
    run,
};

fn options(options: &mut Options) {
    options.optopt("", "team", "the key submits, reads and cancels the work of this team", "TEAM");
    options.optflag("", "operator", "the key allows every request, for every team");
    options.optopt("", "expires-in", "time until the key expires", "SECONDS");
}

fn run(context: &mut Context) -> Result<(), Error> {
    let name = context.name(0)?;
    let right = match (context.name_option("team")?, context.matches.opt_present("operator")) {
        (Some(team), false) => Right::Team(team),
        (None, true) => Right::Operator,
        _ => return Err(context.usage("give either --team or --operator")),
    };
    let expires_in = context.seconds("expires-in")?;
    let expires = expires_in.map(|expires_in| unix_ms_after(context, expires_in));
    let (secret, changed) = grant(context, &name, right, expires)?;
    show_key(context, &name, secret, &changed)
}

/// Generates a secret and uploads its digest as a new key. Fails with a conflict if a key of this name exists.
pub(super) fn grant(
    context: &Context,
    name: &str,
    right: Right,
    expires_unix_ms: Option<u64>,
) -> Result<(Secret, Changed), Error> {
    let secret = Secret::generate()?;
    let resource = Resource::Key(Key { right, digest: secret.digest(), expires_unix_ms });
    let changed = change::put(&context.client, name, &resource, Condition::at(0))?;
    Ok((secret, changed))
}

/// Prints the key. It cannot be shown again.
pub(super) fn show_key(
    context: &mut Context,
    name: &str,
    secret: Secret,
    changed: &Changed,
) -> Result<(), Error> {
    let key = secret.into_key(name);
    let text = format!("{}key: {key}\nStore it now; it cannot be shown again.\n", changed.text());
    context.show(&json!({ "key": key, "changed": changed }), &text)
}

/// Returns the current time plus `after`, in milliseconds since the Unix epoch.
pub(super) fn unix_ms_after(context: &Context, after: Duration) -> u64 {
    let now = context.environment.now.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.saturating_add(after).as_millis()).unwrap_or(u64::MAX)
}
