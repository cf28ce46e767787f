//! Tests of the commands on work: specification, wait, tables, JSON output and the exit code of the process.
#![allow(clippy::unwrap_used)]

mod fake;

use std::process::Command;

use fake::{Answer, Directory, Fake, code, run};
use serde_json::{Value, json};
use shallotpost_cli::error::{
    EXIT_ENDED, EXIT_GENERAL, EXIT_KEY, EXIT_TIMED_OUT, EXIT_UNKNOWN, EXIT_USAGE,
};
use shallotpost_cli::output;
use shallotpost_protocol::interface::{HostState, Overview, Reply, ShardState};
use shallotpost_protocol::problem::Kind;
use shallotpost_protocol::resource::Propagation;
use shallotpost_protocol::work::{
    Class, Ending, Explanation, Object, Outcome, Phase, State, Status, TaskStatus,
};

fn outcome(ending: Ending) -> Outcome {
    let object = Object { name: "intake/r".to_owned(), length: 5, digest: "ab".to_owned() };
    Outcome { ending, detail: "why".to_owned(), not_run: false, results: vec![(0, object)] }
}

fn status() -> Status {
    let work: shallotpost_protocol::identity::WorkId = "intake/day-17".parse().unwrap();
    let task = shallotpost_protocol::identity::Task { work: work.clone(), index: 1 };
    let worker = Some("worker-4".to_owned());
    Status {
        work,
        class: Class::Gang { parts: 2 },
        shard: "kochi/0".parse().unwrap(),
        state: State::Admitted,
        tasks: vec![TaskStatus { task, phase: Phase::Running, worker, attempt: 2 }],
    }
}

/// Guards against an option that is missing from the specification, or arrives in another field.
#[test]
fn flags_make_the_whole_specification() {
    let fake = Fake::start([]);
    let line = "submit --id a --team t --class gang --tasks 4 --processors 0.25 --memory 512 \
                --accelerators 2 --slots 3 --run-time-ms 9000 --start-within 60 --attempts 5 --once \
                --data-centre kochi --data-centre thrissur --queue q -- run --fast x";
    let _ = run(&[&fake.url()], &line.split_whitespace().collect::<Vec<_>>().join(" "));
    let expected = json!({
        "id": "a", "team": "t", "class": { "gang": { "parts": 4 } },
        "size": { "processors_milli": 250, "memory_mib": 512, "accelerators": 2, "slots": 3 },
        "command": ["run", "--fast", "x"], "run_time_ms": 9000, "idempotent": false,
        "deadline_unix_ms": 1_700_000_060_000_u64, "data_centres": ["kochi", "thrissur"],
        "queue": "q", "input": null, "attempts": 5
    });
    assert_eq!(fake.requests()[0].line(), "POST /v1/work");
    assert_eq!(fake.requests()[0].json(), expected);

    let directory = Directory::new("specification");
    let file = directory.file("spec.json", expected.to_string().as_bytes());
    let fake = Fake::start([]);
    let _ = run(&[&fake.url()], &format!("submit -f {file}"));
    assert_eq!(fake.requests()[0].json(), expected);
    let wrong = directory.file("wrong.json", br#"{"id":"a","size":{}}"#);
    assert_eq!(code(&run(&[&fake.url()], &format!("submit -f {wrong}")).0), EXIT_USAGE);
}

/// Guards against rounding in the conversion from decimal cores to thousandths.
#[test]
fn processors_are_exact_thousandths() {
    for (text, milli) in [("2", 2000), ("0.5", 500), ("1.005", 1005), ("12.34", 12_340)] {
        let fake = Fake::start([]);
        let _ = run(&[&fake.url()], &format!("submit --team t --processors {text} -- true"));
        assert_eq!(fake.requests()[0].json()["size"]["processors_milli"], milli, "{text}");
    }
}

#[test]
fn exit_code_of_wait_depends_on_the_ending() {
    for (ending, expected) in [
        (Ending::Succeeded, 0),
        (Ending::Failed, EXIT_ENDED),
        (Ending::Cancelled, EXIT_ENDED),
        (Ending::NeverRunnable, EXIT_ENDED),
        (Ending::Expired, EXIT_ENDED),
        (Ending::Unknown, EXIT_UNKNOWN),
    ] {
        // A wait that times out before the work ends is repeated.
        let script =
            [Answer::refuse(Kind::TimedOut), Answer::Reply(Reply::Outcome(outcome(ending)))];
        let fake = Fake::start(script);
        let (result, out) = run(&[&fake.url()], "wait intake/day-17 --for 3600");
        assert_eq!(code(&result), expected, "{ending}");
        let text = format!(
            "ending: {ending}\ndetail: why\nnot run: no\nresult of task 0: intake/r (5 bytes, sha256 ab)\n"
        );
        assert_eq!(out, text);
        let line = "GET /v1/work/intake/day-17/wait?wait_ms=30000";
        assert_eq!(fake.lines(), [line, line]);
    }
    let fake = Fake::start([Answer::refuse(Kind::TimedOut)]);
    let (result, _) = run(&[&fake.url()], "wait intake/day-17 --for 0");
    assert_eq!(code(&result), EXIT_TIMED_OUT);
    assert_eq!(fake.lines(), ["GET /v1/work/intake/day-17/wait?wait_ms=0"]);
}

fn overview() -> Overview {
    let host = |host: &str, data_centre: &str, reachable| HostState {
        host: host.to_owned(),
        data_centre: data_centre.to_owned(),
        reachable,
        draining: false,
        revision: 12,
    };
    let shard = |shard: &str, owner: Option<&str>, silent_workers| ShardState {
        shard: shard.parse().unwrap(),
        owner: owner.map(str::to_owned),
        epoch: 3,
        waiting: 4,
        running: 5,
        workers: 6,
        silent_workers,
    };
    Overview {
        hosts: vec![
            host("kochi-1", "kochi", true),
            host("kochi-2", "kochi", false),
            host("thrissur-1", "thrissur", false),
        ],
        shards: vec![shard("kochi/0", Some("kochi-1"), 1), shard("thrissur/0", None, 0)],
        revision: 12,
        pending: vec![Propagation {
            revision: 12,
            in_force: false,
            waiting_for: vec!["thrissur".to_owned()],
        }],
        table_reachable: false,
    }
}

const OVERVIEW: &str = "\
configuration revision 12

HOST        DATA CENTRE  REACHABLE  DRAINING  REVISION
kochi-1     kochi        yes        no        12
kochi-2     kochi        no         no        12
thrissur-1  thrissur     no         no        12

SHARD       OWNER    EPOCH  WAITING  RUNNING  WORKERS  SILENT
kochi/0     kochi-1  3      4        5        6        1
thrissur/0  -        3      4        5        6        0

cut off:
  table service: new submissions and changes are refused
  data centre kochi: no answer from kochi-2
  data centre thrissur: no entry host answers
  shard kochi/0: 1 of 6 workers do not answer
  shard thrissur/0: no owner

pending:
  revision 12: pending, waits for thrissur
";

const STATUS: &str = "\
WORK           CLASS      SHARD    STATE     TASKS
intake/day-17  gang of 2  kochi/0  admitted  1

TASK  PHASE    WORKER    ATTEMPT
1     running  worker-4  2
";

#[test]
fn tables_show_every_field_and_json_is_the_reply() {
    let explanation = Explanation {
        work: "intake/day-17".parse().unwrap(),
        phase: Phase::Waiting,
        reasons: vec!["cap".to_owned(), "share".to_owned()],
        remedies: vec!["raise it".to_owned()],
    };
    let explained = "intake/day-17: waiting\nreason: cap\nreason: share\nremedy: raise it\n";
    let cases = [
        ("overview", Reply::Overview(overview()), OVERVIEW, "GET /v1/status"),
        ("status", Reply::Overview(overview()), OVERVIEW, "GET /v1/status"),
        ("status intake/day-17", Reply::Status(status()), STATUS, "GET /v1/work/intake/day-17"),
        (
            "explain intake/day-17",
            Reply::Explanation(explanation),
            explained,
            "GET /v1/work/intake/day-17/explain",
        ),
        (
            "cancel intake/day-17",
            Reply::Cancelling,
            "intake/day-17: the cancellation is recorded\n",
            "POST /v1/work/intake/day-17/cancel",
        ),
        (
            "list work intake",
            Reply::Work { entries: vec![status()], more: false },
            "WORK           CLASS      SHARD    STATE     TASKS\n\
             intake/day-17  gang of 2  kochi/0  admitted  1\n",
            "GET /v1/work/intake?after=&limit=500",
        ),
        (
            "audit --from 3",
            Reply::Audit { changes: vec![], refused: vec![] },
            "accepted:\nnone\n\nrefused:\nnone\n",
            "GET /v1/audit?from=3&limit=500",
        ),
    ];
    for (line, reply, text, request) in cases {
        let fake = Fake::start([Answer::Reply(reply.clone()), Answer::Reply(reply.clone())]);
        let (result, out) = run(&[&fake.url()], line);
        assert_eq!((code(&result), out.as_str()), (0, text), "{line}");
        let (_, out) = run(&[&fake.url()], &format!("--json {line}"));
        let value: Reply = serde_json::from_str(&out).unwrap();
        assert_eq!(value, reply, "{line}");
        assert_eq!(out.lines().count(), 1, "one document a line");
        assert_eq!(fake.lines(), [request, request]);
        // A reply of another kind is an error, not an empty table.
        let other = Fake::start([Answer::Reply(Reply::Ready)]);
        assert_eq!(code(&run(&[&other.url()], line).0), EXIT_GENERAL, "{line}");
    }
}

#[test]
fn healthy_fleet_has_nothing_cut_off() {
    let mut overview = overview();
    overview.table_reachable = true;
    overview.hosts.iter_mut().for_each(|host| host.reachable = true);
    overview.shards.iter_mut().for_each(|shard| {
        shard.owner = Some("kochi-1".to_owned());
        shard.silent_workers = 0;
    });
    assert_eq!(output::cut_off(&overview), Vec::<String>::new());
}

/// Guards against wrong dates around leap days.
#[test]
fn times_are_calendar_dates() {
    for (unix_ms, text) in [
        (0, "1970-01-01T00:00:00.000Z"),
        (951_782_400_000, "2000-02-29T00:00:00.000Z"),
        (1_709_251_199_999, "2024-02-29T23:59:59.999Z"),
        (1_709_251_200_000, "2024-03-01T00:00:00.000Z"),
        (1_735_689_599_001, "2024-12-31T23:59:59.001Z"),
        (4_107_542_400_000, "2100-03-01T00:00:00.000Z"),
    ] {
        assert_eq!(output::time(unix_ms), text);
    }
}

/// Guards against output or messages on the wrong stream, and against a wrong exit code of the process.
#[test]
fn process_exits_with_the_code_of_the_failure() {
    let refusing = Fake::start([Answer::refuse(Kind::Forbidden), Answer::refuse(Kind::Forbidden)]);
    let fine = Fake::start([Answer::Reply(Reply::Overview(overview()))]);
    let program = |server: &str, words: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_shallotpost"));
        let output = command.env("SHALLOTPOST_SERVERS", server).args(words).output().unwrap();
        let text = |bytes| String::from_utf8(bytes).unwrap();
        (output.status.code().unwrap(), text(output.stdout), text(output.stderr))
    };
    assert_eq!(program(&fine.url(), &["overview"]), (0, OVERVIEW.to_owned(), String::new()));
    let (exit, out, message) = program(&refusing.url(), &["overview"]);
    assert_eq!((exit, out.as_str()), (i32::from(EXIT_KEY), ""));
    let remedy = Kind::Forbidden.remedy();
    assert_eq!(message, format!("error: forbidden: refused by the fake\nhelp: {remedy}\n"));
    let (_, _, message) = program(&refusing.url(), &["overview", "--json"]);
    let value: Value = serde_json::from_str(&message).unwrap();
    assert_eq!(value["kind"], "forbidden");
    assert_eq!(value["exit_code"], EXIT_KEY);
    assert_eq!(program("", &["overview"]).0, i32::from(EXIT_USAGE));
}
