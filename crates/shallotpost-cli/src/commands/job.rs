//! What the commands on jobs of a fleet share.

use getopts::Options;
use serde_json::Value;
use ureq::http::Method;

use crate::command::Context;
use crate::error::Error;

/// Adds the option for the team's key, which has another form than keys of the product's own interface.
pub(super) fn options(options: &mut Options) {
    options.optopt("", "team-key", "key of the team; none for open queues", "KEY");
}

/// Sends a request on the job that the first argument names, `/<queue>/<id>`, and returns the answer.
///
/// # Errors
///
/// The path is malformed, or the entry hosts refused the request or gave no answer.
pub(super) fn call(context: &Context, method: &Method, body: &[u8]) -> Result<Value, Error> {
    let path = context.argument(0);
    if !path.starts_with('/') {
        return Err(context.usage(format!("{path:?} is not a path of the form /<queue>/<id>")));
    }
    let key = context.matches.opt_str("team-key");
    let check = format!("shallotpost job state {path}");
    context.client.send_job(method, path, key.as_deref(), body, &check)
}
