//! Translates HTTP requests into kernel [`Request`]s.

use serde::de::DeserializeOwned;
use shallotpost_protocol::identity::{WorkId, is_name};
use shallotpost_protocol::interface::Request;
use shallotpost_protocol::problem::{Kind, Problem};
use shallotpost_protocol::resource::{self, Resource};
use tiny_http::Method;

use crate::http::query::{Query, malformed, segments};

/// What happens with the kernel's reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplyAction {
    /// The reply is the response.
    Plain,
    /// The reply is the response; nothing was changed.
    DryRun,
    /// The reply permits the upload; the request body is stored under this name.
    Upload(String),
    /// The reply permits the download; the object with this name is sent.
    Download(String),
    /// The reply is part of a stream of changes.
    Stream,
}

/// Destination of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// `GET /healthz`: answered by the edge itself.
    Health,
    /// `GET /metrics`: answered by the [`MetricsRenderer`](crate::http::MetricsRenderer).
    Metrics,
    /// Answered by the kernel.
    Kernel(Box<Request>, ReplyAction),
}

/// Reads the request body; called only for routes that need it.
pub type ReadBody<'a> = &'a mut dyn FnMut() -> Result<Vec<u8>, Problem>;

/// Finds the route of a request.
///
/// # Errors
///
/// Returns the problem to respond with if there is no such route, a parameter or the body is invalid, or the body
/// cannot be read.
pub fn route(method: &Method, url: &str, body: ReadBody<'_>) -> Result<Route, Problem> {
    let (path, query) = url.split_once('?').unwrap_or((url, ""));
    let segments = segments(path)?;
    let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
    let mut query = Query::parse(query)?;
    let route = match (method, segments.as_slice()) {
        (Method::Get, ["healthz"]) => Route::Health,
        (Method::Get, ["metrics"]) => Route::Metrics,
        (Method::Get, ["readyz"]) => kernel_route(Request::Ready),
        (Method::Get, ["v1", "status"]) => kernel_route(Request::Overview),
        (_, ["v1", "work", rest @ ..]) => work(method, rest, &mut query, body)?,
        (_, ["v1", "objects", team, name]) => object(method, team, name)?,
        (_, ["v1", "resources", rest @ ..]) => resources(method, rest, &mut query, body)?,
        (Method::Get, ["v1", "watch"]) => watch(&mut query)?,
        (Method::Get, ["v1", "force", revision]) => {
            let revision = revision.parse();
            kernel_route(Request::Propagation(
                revision.map_err(|_| malformed("the revision is not a number"))?,
            ))
        }
        (Method::Get, ["v1", "workers"]) => {
            let after = query.text("after");
            kernel_route(Request::Workers { after, limit: query.limit()? })
        }
        (Method::Get, ["v1", "audit"]) => {
            let from = query.value("from")?.unwrap_or(0);
            kernel_route(Request::Audit { from, limit: query.limit()? })
        }
        _ => return Err(route_not_found(method, path)),
    };
    query.finish()?;
    Ok(route)
}

fn kernel_route(request: Request) -> Route {
    Route::Kernel(Box::new(request), ReplyAction::Plain)
}

fn route_not_found(method: &Method, path: &str) -> Problem {
    Problem::new(Kind::NotFound, format!("{method} {path:?} is not a route of the API."))
}

fn work(
    method: &Method,
    rest: &[&str],
    query: &mut Query,
    body: ReadBody<'_>,
) -> Result<Route, Problem> {
    let request = match (method, rest) {
        (Method::Post, []) => Request::Submit(parse_json(&body()?).map_err(mark_not_run)?),
        (Method::Get, [team]) => {
            let (team, after) = (parse_name(team)?, query.text("after"));
            Request::List { team, after, limit: query.limit()? }
        }
        (Method::Get, [team, id]) => Request::Status(work_id(team, id)?),
        (Method::Get, [team, id, "wait"]) => {
            Request::Wait { work: work_id(team, id)?, wait: query.wait()? }
        }
        (Method::Get, [team, id, "explain"]) => Request::Explain(work_id(team, id)?),
        (Method::Post, [team, id, "cancel"]) => Request::Cancel(work_id(team, id)?),
        _ => return Err(route_not_found(method, &format!("/v1/work/{}", rest.join("/")))),
    };
    Ok(kernel_route(request))
}

fn object(method: &Method, team: &str, object: &str) -> Result<Route, Problem> {
    let path = format!("{}/{}", parse_name(team)?, parse_name(object)?);
    let (write, action) = match method {
        Method::Put => (true, ReplyAction::Upload(path.clone())),
        Method::Get => (false, ReplyAction::Download(path.clone())),
        _ => return Err(route_not_found(method, &format!("/v1/objects/{path}"))),
    };
    Ok(Route::Kernel(Box::new(Request::Object { name: path, write }), action))
}

fn resources(
    method: &Method,
    rest: &[&str],
    query: &mut Query,
    body: ReadBody<'_>,
) -> Result<Route, Problem> {
    let (request, dry_run) = match (method, rest) {
        (Method::Get, [kind]) => {
            let (kind, prefix, after) =
                (parse_kind(kind)?, query.text("prefix"), query.text("after"));
            (Request::Resources { kind, prefix, after, limit: query.limit()? }, false)
        }
        (Method::Get, [kind, resource]) => {
            (Request::Get { kind: parse_kind(kind)?, name: parse_name(resource)? }, false)
        }
        (Method::Put, [kind, resource]) => {
            let (kind, name) = (parse_kind(kind)?, parse_name(resource)?);
            let (revision, dry_run) = (query.value("revision")?, dry_run(query)?);
            let resource: Resource = parse_json(&body()?)?;
            if resource.kind() != kind {
                let message = format!("the body contains a {}, not a {kind}", resource.kind());
                return Err(malformed(message));
            }
            (Request::Put { name, resource, revision, dry_run }, dry_run)
        }
        (Method::Delete, [kind, resource]) => {
            let (kind, name) = (parse_kind(kind)?, parse_name(resource)?);
            let (revision, dry_run) = (query.value("revision")?, dry_run(query)?);
            (Request::Delete { kind, name, revision, dry_run }, dry_run)
        }
        _ => return Err(route_not_found(method, &format!("/v1/resources/{}", rest.join("/")))),
    };
    Ok(Route::Kernel(
        Box::new(request),
        if dry_run { ReplyAction::DryRun } else { ReplyAction::Plain },
    ))
}

fn watch(query: &mut Query) -> Result<Route, Problem> {
    let request = Request::Watch { from: query.value("from")?.unwrap_or(0), wait: query.wait()? };
    let action = match query.value::<u8>("stream")? {
        None | Some(0) => ReplyAction::Plain,
        Some(1) => ReplyAction::Stream,
        Some(_) => return Err(malformed("stream is neither 0 nor 1")),
    };
    Ok(Route::Kernel(Box::new(request), action))
}

fn dry_run(query: &mut Query) -> Result<bool, Problem> {
    Ok(query.value("dry_run")?.unwrap_or(false))
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Problem> {
    serde_json::from_slice(body).map_err(|error| malformed(format!("the body is invalid: {error}")))
}

/// No host admits a body that is not a specification, so the work of such a submission was certainly not run.
fn mark_not_run(problem: Problem) -> Problem {
    Problem { not_run: true, ..problem }
}

fn parse_kind(text: &str) -> Result<resource::Kind, Problem> {
    let unknown = || Problem::new(Kind::NotFound, format!("{text:?} is not a resource kind."));
    text.parse().map_err(|_| unknown())
}

fn parse_name(text: &str) -> Result<String, Problem> {
    match is_name(text) {
        true => Ok(text.to_owned()),
        false => Err(malformed(format!("{text:?} is not a valid name"))),
    }
}

fn work_id(team: &str, id: &str) -> Result<WorkId, Problem> {
    Ok(WorkId { team: parse_name(team)?, name: parse_name(id)? })
}
