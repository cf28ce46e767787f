//! Shared parts of the commands on jobs of a fleet.

use getopts::Options;
use serde_json::Value;
use ureq::http::Method;

use crate::command::Context;
use crate::error::Error;

/// Adds the option for the team's key, which has another form than the keys of the `/v1` interface.
pub(super) fn options(options: &mut Options) {
    options.optopt("", "team-key", "key of the team; none for open queues", "KEY");
}

/// Sends a request about the job that the first argument names, `/<queue>/<id>`, and returns the reply.
///
/// # Errors
///
/// Returns a usage error if the path is malformed, and otherwise the errors of `Client::send_job`.
pub(super) fn send(context: &Context, method: &Method, body: &[u8]) -> Result<Value, Error> {
    let path = context.argument(0);
    if !path.starts_with('/') {
        return Err(context.usage(format!("{path:?} is not a path of the form /<queue>/<id>")));
    }
    let key = context.matches.opt_str("team-key");
    let check = format!("shallotpost job state {path}");
    context.client.send_job(method, path, key.as_deref(), body, &check)
}
