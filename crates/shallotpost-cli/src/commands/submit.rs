//! `submit`: submits work. Its id is fixed before the first attempt, so that retries submit the same work.

use std::time::Duration;

use getopts::Options;
use shallotpost_protocol::interface::Reply;
use shallotpost_protocol::size::Size;
use shallotpost_protocol::work::{Class, Object, Specification};
use ureq::http::Method;

use crate::client::{Call, Effect};
use crate::command::{Command, Context};
use crate::document;
use crate::error::Error;
use crate::secret::random_hex;

/// Random bytes of a generated id, enough that the ids of a team do not collide.
const ID_BYTES: usize = 12;

pub const COMMAND: Command = Command {
    name: "submit",
    arguments: "[-- <command> ...]",
    summary: "submit work from a file or from flags",
    example: "shallotpost submit --team intake --class batch --processors 2 --memory 4096 -- sort day.csv",
    options,
    argument_counts: (0, usize::MAX),
    run,
};

fn options(options: &mut Options) {
    options.optopt("f", "file", "specification in JSON, - for standard input", "FILE");
    options.optopt("", "id", "id of the work; generated at random if it is left out", "ID");
    options.optopt("", "team", "team that the work belongs to", "TEAM");
    options.optopt("", "class", "batch (default), urgent, service or gang", "CLASS");
    options.optopt("", "tasks", "replicas of a service or parts of a gang", "N");
    options.optopt("", "processors", "cores for each task, up to three decimals", "CORES");
    options.optopt("", "memory", "memory for each task in MiB", "MIB");
    options.optopt("", "accelerators", "accelerators for each task", "N");
    options.optopt("", "slots", "slots for each task (default 1)", "N");
    options.optopt("", "run-time-ms", "estimated run time in milliseconds", "MS");
    options.optopt("", "start-within", "do not start the work after this time", "SECONDS");
    options.optopt(
        "",
        "attempts",
        "maximum number of starts of a task that fails (default 3)",
        "N",
    );
    options.optflag(
        "",
        "once",
        "not idempotent: never start a task again if it may have started before",
    );
    options.optmulti("", "data-centre", "data centre that may run it; may be repeated", "NAME");
    options.optopt("", "queue", "queue to submit to", "NAME");
    options.optopt("", "input", "JSON that `object put --json` printed", "FILE");
}

fn run(context: &mut Context) -> Result<(), Error> {
    let specification = match context.matches.opt_str("file") {
        Some(path) => from_file(context, &path)?,
        None => from_flags(context)?,
    };
    let work = specification.work_id();
    let check = format!("shallotpost status {work}");
    let call = Call::change(Method::POST, "/v1/work".to_owned(), Effect::Idempotent, check)
        .json(&specification);
    let reply = context.client.send(&call)?;
    let Reply::Accepted { work, shard, repeated } = &reply else {
        return Err(Error::UnexpectedReply { expected: "an acceptance" });
    };
    let note = if *repeated { " (already admitted before)" } else { "" };
    context.show(&reply, &format!("{work} accepted, home shard {shard}{note}\n"))
}

/// Options that describe work. They exclude `--file`, which describes it completely.
const SPECIFICATION_OPTIONS: [&str; 15] = [
    "id",
    "team",
    "class",
    "tasks",
    "processors",
    "memory",
    "accelerators",
    "slots",
    "run-time-ms",
    "start-within",
    "attempts",
    "once",
    "data-centre",
    "queue",
    "input",
];

fn from_file(context: &Context, path: &str) -> Result<Specification, Error> {
    if let Some(option) =
        SPECIFICATION_OPTIONS.iter().find(|option| context.matches.opt_present(option))
    {
        return Err(context.usage(format!("--{option} and --file exclude each other")));
    }
    if !context.matches.free.is_empty() {
        return Err(context.usage("a command and --file exclude each other"));
    }
    document::specification(path, &document::read(path)?)
}

fn from_flags(context: &Context) -> Result<Specification, Error> {
    let team = context
        .name_option("team")?
        .ok_or_else(|| context.usage("--team or --file is required"))?;
    let id = match context.name_option("id")? {
        Some(id) => id,
        None => random_hex(ID_BYTES)?,
    };
    if context.matches.free.is_empty() {
        return Err(context.usage("the command of the work is missing; write it after --"));
    }
    let deadline = context.seconds("start-within")?.map(|within| {
        let unix = context.environment.now.duration_since(std::time::UNIX_EPOCH);
        u64::try_from((unix.unwrap_or_default() + within).as_millis()).unwrap_or(u64::MAX)
    });
    Ok(Specification {
        id,
        team,
        class: class(context)?,
        size: Size {
            processors_milli: processors(context)?,
            memory_mib: context.number("memory")?.unwrap_or(0),
            accelerators: context.number("accelerators")?.unwrap_or(0),
            slots: context.number("slots")?.unwrap_or(1),
        },
        command: context.matches.free.clone(),
        run_time: context.number("run-time-ms")?.map(Duration::from_millis),
        idempotent: !context.matches.opt_present("once"),
        deadline_unix_ms: deadline,
        data_centres: context.matches.opt_strs("data-centre"),
        queue: context.name_option("queue")?,
        input: input(context)?,
        attempts: match context.number("attempts")? {
            Some(attempts) => u32::try_from(attempts)
                .map_err(|_| context.usage(format!("--attempts {attempts} is too large")))?,
            None => 3,
        },
    })
}

fn class(context: &Context) -> Result<Class, Error> {
    let name = context.matches.opt_str("class");
    let name = name.as_deref().unwrap_or("batch");
    let tasks = match context.number("tasks")? {
        Some(tasks) => Some(
            u32::try_from(tasks)
                .map_err(|_| context.usage(format!("--tasks {tasks} is too large")))?,
        ),
        None => None,
    };
    match (name, tasks) {
        ("batch", None) => Ok(Class::Batch),
        ("urgent", None) => Ok(Class::Urgent),
        ("service", Some(replicas)) => Ok(Class::Service { replicas }),
        ("gang", Some(parts)) => Ok(Class::Gang { parts }),
        ("service" | "gang", None) => Err(context.usage(format!("--class {name} needs --tasks"))),
        ("batch" | "urgent", Some(_)) => {
            Err(context.usage(format!("--class {name} has one task; leave --tasks out")))
        }
        _ => {
            Err(context
                .usage(format!("{name:?} is not a class; use batch, urgent, service or gang")))
        }
    }
}

/// Parses `--processors`, a decimal number of cores, and returns thousandths of a core.
fn processors(context: &Context) -> Result<u64, Error> {
    const DECIMALS: usize = 3;
    let Some(text) = context.matches.opt_str("processors") else { return Ok(0) };
    let (whole, decimals) = text.split_once('.').unwrap_or((&text, "0"));
    let padded = format!("{decimals:0<DECIMALS$}");
    let digits = |text: &str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let valid = digits(whole) && digits(decimals) && decimals.len() <= DECIMALS;
    let milli = || whole.parse::<u64>().ok()?.checked_mul(1000)?.checked_add(padded.parse().ok()?);
    valid.then(milli).flatten().ok_or_else(|| {
        context.usage(format!("--processors {text:?} is not a number of cores, such as 2 or 0.25"))
    })
}

fn input(context: &Context) -> Result<Option<Object>, Error> {
    let Some(path) = context.matches.opt_str("input") else { return Ok(None) };
    let invalid = |error: serde_json::Error| Error::Document {
        path: path.clone(),
        faults: vec![error.to_string()],
    };
    serde_json::from_str(&document::read(&path)?).map(Some).map_err(invalid)
}
