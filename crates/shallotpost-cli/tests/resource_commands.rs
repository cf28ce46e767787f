//! Tests of the commands on resources: apply, drain and restore, paging, watch and force.
#![allow(clippy::unwrap_used)]

mod fake;

use std::time::{Duration, Instant};

use fake::{Answer, CLOSED, Directory, Fake, code, propagation, run};
use serde_json::json;
use shallotpost_cli::error::{EXIT_CONFLICT, EXIT_TIMED_OUT, EXIT_USAGE};
use shallotpost_cli::{Environment, execute};
use shallotpost_protocol::interface::Reply;
use shallotpost_protocol::problem::Kind as ProblemKind;
use shallotpost_protocol::resource::{
    Availability, Change, DataCentre, Entry, Kind, Queue, Resource,
};

fn queue(name: &str) -> Entry {
    let resource = Resource::Queue(Queue { team: "intake".to_owned(), open: true });
    Entry { name: name.to_owned(), revision: 7, resource }
}

fn page(names: &[&str], more: bool) -> Answer {
    let entries = names.iter().map(|name| queue(name)).collect();
    Answer::Reply(Reply::Entries { entries, revision: 9, more })
}

fn data_centre(availability: Availability) -> Resource {
    Resource::DataCentre(DataCentre { availability, shards: 3 })
}

#[test]
fn apply_sends_both_forms_in_order() {
    let directory = Directory::new("apply");
    let entry = serde_json::to_value(queue("night")).unwrap();
    let plain =
        json!({ "kind": "data_centre", "name": "kochi", "resource": { "availability": "active" } });
    let file = directory.file("all.json", json!([plain, entry]).to_string().as_bytes());
    let fake = Fake::start([
        Answer::changed(8),
        Answer::Reply(Reply::Changed { revision: 9, propagation: propagation(9, false) }),
    ]);
    let (result, out) = run(&[&fake.url()], &format!("apply -f {file}"));
    assert_eq!(code(&result), 0, "{result:?}");
    assert_eq!(
        fake.lines(),
        ["PUT /v1/resources/data_centre/kochi", "PUT /v1/resources/queue/night?revision=7"]
    );
    let body = json!({ "data_centre": { "availability": "active", "shards": 1 } });
    assert_eq!(fake.requests()[0].json(), body);
    assert_eq!(
        out,
        "data_centre/kochi: revision 8: in force\n\
         queue/night: revision 9: pending, waits for thrissur\n"
    );
}

#[test]
fn dry_run_is_sent_to_the_host() {
    let directory = Directory::new("dry-run");
    let file = directory.file("queue.json", &serde_json::to_vec(&queue("night")).unwrap());
    let fake = Fake::start([Answer::changed(8)]);
    let (result, out) = run(&[&fake.url()], &format!("apply --dry-run -f {file}"));
    assert_eq!((code(&result), out.as_str()), (0, "queue/night: would be changed\n"));
    assert_eq!(fake.lines(), ["PUT /v1/resources/queue/night?revision=7&dry_run=true"]);
}

/// Guards against a file that is partly applied although a later document is invalid.
#[test]
fn invalid_documents_are_listed_and_nothing_is_sent() {
    let directory = Directory::new("faulty");
    let file = directory.file(
        "all.json",
        br#"[{"kind":"queue","name":"a","resource":{"team":"t"}},
             {"kind":"tribe","name":"b","resource":{}},
             {"kind":"team","name":"c","resource":{"shares":1}},
             {"kind":"team","name":"../d","resource":{"share":1}}]"#,
    );
    let fake = Fake::start([Answer::changed(8)]);
    let (result, _) = run(&[&fake.url()], &format!("apply -f {file}"));
    assert_eq!(code(&result), EXIT_USAGE);
    let text = result.unwrap_err().to_string();
    for part in ["$[1]: \"tribe\"", "$[2]: resource of c: unknown field `shares`", "$[3]: \"../d\""]
    {
        assert!(text.contains(part), "{part} in {text}");
    }
    assert!(!text.contains("$[0]"), "{text}");
    assert_eq!(fake.requests().len(), 0);
}

/// Guards against a failure that hides which documents were applied before it.
#[test]
fn apply_names_what_was_done_before_a_failure() {
    let directory = Directory::new("partial");
    let all = serde_json::to_vec(&[queue("a"), queue("b"), queue("c")]).unwrap();
    let file = directory.file("all.json", &all);
    let fake = Fake::start([Answer::changed(8), Answer::refuse(ProblemKind::Conflict)]);
    let (result, out) = run(&[&fake.url()], &format!("apply -f {file}"));
    assert_eq!((code(&result), out.as_str()), (EXIT_CONFLICT, ""));
    assert!(result.unwrap_err().to_string().contains("(done before: queue/a)"));
    assert_eq!(fake.requests().len(), 2, "the third document is not sent");
}

/// Guards against a change of availability that resets the number of shards, or overwrites a concurrent change.
#[test]
fn drain_and_restore_keep_the_rest_of_the_data_centre() {
    for (command, before, after) in
        [("drain", Availability::Active, "drained"), ("restore", Availability::Drained, "active")]
    {
        let entry = Entry { name: "kochi".to_owned(), revision: 5, resource: data_centre(before) };
        let fake = Fake::start([Answer::Reply(Reply::Entry(entry)), Answer::changed(6)]);
        let (result, _) = run(&[&fake.url()], &format!("{command} kochi"));
        assert_eq!(code(&result), 0, "{result:?}");
        assert_eq!(fake.lines()[1], "PUT /v1/resources/data_centre/kochi?revision=5");
        let body = json!({ "data_centre": { "availability": after, "shards": 3 } });
        assert_eq!(fake.requests()[1].json(), body);
    }
    let fake = Fake::start([Answer::refuse(ProblemKind::NotFound), Answer::changed(1)]);
    let (result, _) = run(&[&fake.url()], "drain kochi");
    assert_eq!(code(&result), 0, "{result:?}");
    assert_eq!(fake.lines()[1], "PUT /v1/resources/data_centre/kochi?revision=0");
}

#[test]
fn list_reads_all_pages() {
    let fake = Fake::start([page(&["a", "b"], true), page(&["c"], false)]);
    let (result, out) = run(&[&fake.url()], "list queue --prefix x");
    assert_eq!(code(&result), 0, "{result:?}");
    assert_eq!(
        fake.lines(),
        [
            "GET /v1/resources/queue?after=&limit=500&prefix=x",
            "GET /v1/resources/queue?after=b&limit=500&prefix=x"
        ]
    );
    let expected = "NAME  REVISION  CONTENT\n\
                    a     7         team intake, open to all\n\
                    b     7         team intake, open to all\n\
                    c     7         team intake, open to all\n";
    assert_eq!(out, expected);
    let fake = Fake::start([page(&[], false)]);
    assert_eq!(run(&[&fake.url()], "list queue").1, "none\n");
}

/// Guards against an endless loop when a host repeats a page.
#[test]
fn list_ends_when_a_page_makes_no_progress() {
    let fake = Fake::start([page(&["a"], true), page(&["a"], true), page(&["a"], true)]);
    let (result, _) = run(&[&fake.url()], "list queue");
    assert_eq!((code(&result), fake.requests().len()), (0, 2), "{result:?}");
}

fn change(revision: u64) -> Change {
    Change {
        revision,
        who: "ops".to_owned(),
        host: "kochi-1".to_owned(),
        at_unix_ms: 951_868_799_123,
        kind: Kind::DataCentre,
        name: "kochi".to_owned(),
        before: Some(data_centre(Availability::Active)),
        after: Some(data_centre(Availability::Drained)),
    }
}

fn changes(revisions: &[u64], next: u64) -> Answer {
    let changes = revisions.iter().map(|revision| change(*revision)).collect();
    Answer::Reply(Reply::Changes { changes, next })
}

/// Guards against a watch that goes back and repeats changes when a host that lags replies with a lower revision, as in
/// the second answer.
#[test]
fn watch_continues_from_the_highest_revision() {
    let script = [
        changes(&[4], 4),
        changes(&[], 2),
        Answer::refuse(ProblemKind::TimedOut),
        changes(&[5, 6], 6),
    ];
    let fake = Fake::start(script);
    let (result, out) = run(&[&fake.url()], "watch --from 3 --count 2");
    assert_eq!(code(&result), 0, "{result:?}");
    let froms: Vec<String> = fake.lines();
    let expected = [3, 4, 4, 4].map(|from| format!("GET /v1/watch?from={from}&wait_ms=30000"));
    assert_eq!(froms, expected);
    let lines: Vec<&str> = out.lines().filter(|line| !line.starts_with("REVISION")).collect();
    assert_eq!(lines.len(), 2);
    let text = "4         2000-02-29T23:59:59.123Z  ops  kochi-1  data_centre/kochi  \
                active, shards 3 -> drained (starts no tasks), shards 3";
    assert_eq!(lines[0], text);
}

#[test]
fn force_waits_until_the_change_is_in_force() {
    let pending = || Answer::Reply(Reply::Propagation(propagation(9, false)));
    let in_force = Answer::Reply(Reply::Propagation(propagation(9, true)));
    let fake = Fake::start([pending(), pending(), in_force]);
    let (result, out) = run(&[&fake.url()], "force 9 --for 60");
    assert_eq!((code(&result), out.as_str()), (0, "revision 9: in force\n"));

    let fake = Fake::start([pending()]);
    let (result, out) = run(&[&fake.url()], "force 9");
    assert_eq!((code(&result), out.as_str()), (0, "revision 9: pending, waits for thrissur\n"));

    let fake = Fake::start([pending()]);
    let (result, _) = run(&[&fake.url()], "force 9 --for 0");
    assert_eq!(code(&result), EXIT_TIMED_OUT);
    let (result, _) = run(&[CLOSED], "force 9");
    assert_eq!(code(&result), 7);
}

/// Guards against a flood of requests to a host that ends long polls at once. Only the minimum pause is checked.
#[test]
fn early_end_of_a_long_poll_is_followed_by_a_pause() {
    const PAUSE: Duration = Duration::from_millis(20);
    let early = || Answer::refuse(ProblemKind::TimedOut);
    let cases = [
        ("watch --from 3 --count 1", vec![early(), changes(&[], 3), changes(&[4], 4)], 2),
        ("wait intake/day-17 --for 60", vec![early(), Answer::refuse(ProblemKind::NotFound)], 1),
    ];
    for (line, script, pauses) in cases {
        let fake = Fake::start(script);
        let arguments: Vec<String> = line.split(' ').map(str::to_owned).collect();
        let environment = Environment { poll_interval: PAUSE, ..fake::environment(&[&fake.url()]) };
        let start = Instant::now();
        let _ = execute(&arguments, &environment, &mut Vec::new());
        assert!(start.elapsed() >= PAUSE * pauses, "{line}: {:?}", start.elapsed());
        assert_eq!(fake.requests().len(), pauses as usize + 1, "{line}");
    }
}
