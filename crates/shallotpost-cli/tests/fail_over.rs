//! Tests of failover between entry hosts: after which answers the next host is tried, and which requests may be repeated.
#![allow(clippy::unwrap_used)]

mod fake;

use fake::{Answer, CLOSED, Fake, code, propagation, run};
use shallotpost_cli::error::{
    EXIT_CONFLICT, EXIT_KEY, EXIT_NOT_FOUND, EXIT_REQUEST, EXIT_RETRY_LATER, EXIT_TIMED_OUT,
    EXIT_UNKNOWN,
};
use shallotpost_protocol::interface::{Overview, Reply};
use shallotpost_protocol::problem::{Kind, Problem};
use shallotpost_protocol::resource::{Entry, Resource};

const SUBMIT: &str = "submit --team intake --id day-17 -- true";

fn accepted(repeated: bool) -> Answer {
    Answer::Reply(Reply::Accepted {
        work: "intake/day-17".parse().unwrap(),
        shard: "kochi/0".parse().unwrap(),
        repeated,
    })
}

/// Kind of the refusal by the first host, whether the next host is tried, and the exit code if there is no other host.
const REFUSALS: [(Kind, bool, u8); 16] = [
    (Kind::Malformed, false, EXIT_REQUEST),
    (Kind::TooLarge, false, EXIT_REQUEST),
    (Kind::Unauthorized, false, EXIT_KEY),
    (Kind::Forbidden, false, EXIT_KEY),
    (Kind::NotFound, false, EXIT_NOT_FOUND),
    (Kind::Conflict, false, EXIT_CONFLICT),
    (Kind::IdReused, false, EXIT_CONFLICT),
    (Kind::NeverRunnable, false, EXIT_REQUEST),
    (Kind::Expired, false, EXIT_REQUEST),
    (Kind::Overloaded, true, EXIT_RETRY_LATER),
    (Kind::Unavailable, true, EXIT_RETRY_LATER),
    (Kind::StaleConfiguration, true, EXIT_RETRY_LATER),
    (Kind::Draining, true, EXIT_RETRY_LATER),
    (Kind::RevisionTooOld, false, EXIT_CONFLICT),
    (Kind::Unknown, true, EXIT_UNKNOWN),
    (Kind::TimedOut, false, EXIT_TIMED_OUT),
];

#[test]
fn refusals_map_to_exit_codes_and_fail_over_by_kind() {
    for (kind, tries_next_host, expected) in REFUSALS {
        let alone = Fake::start([Answer::refuse(kind)]);
        let (result, _) = run(&[&alone.url()], SUBMIT);
        assert_eq!(code(&result), expected, "{kind}");

        let (first, second) = (Fake::start([Answer::refuse(kind)]), Fake::start([accepted(false)]));
        let (result, _) = run(&[&first.url(), &second.url()], SUBMIT);
        assert_eq!(second.requests().len(), usize::from(tries_next_host), "{kind}");
        assert_eq!(code(&result), if tries_next_host { 0 } else { expected }, "{kind}");
    }
}

#[test]
fn closed_host_is_skipped() {
    let fake = Fake::start([accepted(false)]);
    let (result, out) = run(&[CLOSED, &fake.url()], SUBMIT);
    assert_eq!(code(&result), 0, "{result:?}");
    assert_eq!(out, "intake/day-17 accepted, home shard kochi/0\n");
    let (result, _) = run(&[CLOSED, CLOSED], SUBMIT);
    assert_eq!(code(&result), EXIT_RETRY_LATER, "nothing was sent: {result:?}");
}

/// Guards against a retry with another id, which would run the work twice.
#[test]
fn repeated_submission_is_the_same_to_the_byte() {
    let (first, second) = (Fake::start([Answer::truncated()]), Fake::start([accepted(true)]));
    let line = "submit --team intake --start-within 60 -- true";
    let (result, out) = run(&[&first.url(), &second.url()], line);
    assert_eq!(code(&result), 0, "{result:?}");
    assert!(out.contains("already admitted before"), "{out}");
    let (one, two) = (first.requests(), second.requests());
    assert_eq!((one.len(), two.len()), (1, 1));
    assert_eq!(one[0].body, two[0].body);
    let id = one[0].json()["id"].as_str().unwrap().to_owned();
    assert_eq!(id.len(), 24, "the id is generated before the first attempt");
    let other = Fake::start([accepted(false)]);
    let _ = run(&[&other.url()], line);
    assert_ne!(other.requests()[0].json()["id"], id, "each run generates its own id");
}

/// Guards against a truncated or missing answer that is taken for a refusal.
#[test]
fn closed_connection_after_the_request_is_a_lost_reply() {
    let answers: [&'static [u8]; 3] = [
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 100\r\n\r\n{\"kind\":\"draining\"",
    ];
    for answer in answers {
        let (url, thread) = fake::answer_and_close(answer);
        let (result, _) = run(&[&url], SUBMIT);
        thread.join().unwrap();
        assert_eq!(code(&result), EXIT_UNKNOWN, "{answer:?}: {result:?}");
    }
}

/// Guards against a `not run` of the second host that is reported although the first attempt may have taken effect.
#[test]
fn not_run_of_a_second_host_does_not_cover_a_lost_first_attempt() {
    let refusal = Problem::not_run(Kind::Draining, "stopping");
    let (first, second) =
        (Fake::start([Answer::truncated()]), Fake::start([Answer::Problem(refusal.clone())]));
    let (result, _) = run(&[&first.url(), &second.url()], SUBMIT);
    assert_eq!(code(&result), EXIT_UNKNOWN);
    let text = result.unwrap_err().render(false);
    assert!(!text.contains("not run"), "{text}");
    assert!(text.contains("shallotpost status intake/day-17"), "{text}");

    let alone = Fake::start([Answer::Problem(refusal)]);
    let text = run(&[CLOSED, &alone.url()], SUBMIT).0.unwrap_err().render(false);
    assert!(text.contains("not run: the work was certainly not started"), "{text}");
}

/// Guards against an unknown outcome after `id_reused`, which shows that the first attempt was not admitted either.
#[test]
fn reused_id_is_definitive_after_a_lost_first_attempt() {
    let (first, second) =
        (Fake::start([Answer::truncated()]), Fake::start([Answer::refuse(Kind::IdReused)]));
    let (result, _) = run(&[&first.url(), &second.url()], SUBMIT);
    assert_eq!(code(&result), EXIT_CONFLICT, "{result:?}");
}

/// Guards against a read that is not retried after a lost reply, or is reported as an unknown outcome.
#[test]
fn reads_are_retried_after_a_lost_reply() {
    let (first, second) = (
        Fake::start([Answer::truncated()]),
        Fake::start([Answer::Reply(Reply::Overview(Overview::default()))]),
    );
    let (result, _) = run(&[&first.url(), &second.url()], "overview");
    assert_eq!(code(&result), 0, "{result:?}");
    let garbled = Fake::start([Answer::Raw(502, b"<html>".to_vec())]);
    let (result, _) = run(&[&garbled.url()], "overview");
    assert_eq!(code(&result), EXIT_RETRY_LATER, "the outcome of a read is never unknown");
}

fn team(share: u32) -> Resource {
    serde_json::from_str(&format!("{{\"team\":{{\"share\":{share}}}}}")).unwrap()
}

fn entry(share: u32) -> Answer {
    Answer::Reply(Reply::Entry(Entry {
        name: "intake".to_owned(),
        revision: 12,
        resource: team(share),
    }))
}

/// Guards against an unconditional change that is sent again after a lost reply, which could undo a later change.
/// Each case holds the answers of the first host, the requests that it must receive, and the exit code.
#[test]
fn lost_change_is_read_back_and_not_repeated_without_a_condition() {
    let put = "PUT /v1/resources/team/intake";
    let read = "GET /v1/resources/team/intake";
    let in_force = Answer::Reply(Reply::Propagation(propagation(12, true)));
    let cases = [
        (
            vec![Answer::truncated(), entry(3), in_force.clone()],
            vec![put, read, "GET /v1/force/12"],
            0,
        ),
        (vec![Answer::truncated(), entry(2)], vec![put, read], EXIT_UNKNOWN),
        (vec![Answer::refuse(Kind::Unknown), entry(2)], vec![put, read], EXIT_UNKNOWN),
        (vec![Answer::truncated(), Answer::refuse(Kind::NotFound)], vec![put, read], EXIT_UNKNOWN),
        (vec![Answer::refuse(Kind::Conflict)], vec![put], EXIT_CONFLICT),
    ];
    let directory = fake::Directory::new("read-back");
    for (number, (script, lines, expected)) in cases.into_iter().enumerate() {
        let file = directory
            .file("team.json", br#"{"kind":"team","name":"intake","resource":{"share":3}}"#);
        let fake = Fake::start(script);
        let second = Fake::start([Answer::changed(13)]);
        let (result, out) = run(&[&fake.url(), &second.url()], &format!("apply -f {file}"));
        assert_eq!(code(&result), expected, "case {number}: {result:?}");
        assert_eq!(fake.lines(), lines, "case {number}");
        assert!(second.lines().iter().all(|line| !line.starts_with("PUT")), "case {number}");
        assert_eq!(out.contains("found by reading back"), expected == 0, "case {number}: {out}");
    }
}

/// Guards against a conditional change that is reported as a conflict although its own first attempt caused the
/// conflict: the resource is read back.
#[test]
fn lost_conditional_change_is_repeated() {
    let directory = fake::Directory::new("conditional");
    let file = directory
        .file("team.json", br#"{"name":"intake","revision":11,"resource":{"team":{"share":3}}}"#);
    let first = Fake::start([
        Answer::truncated(),
        entry(3),
        Answer::Reply(Reply::Propagation(propagation(12, false))),
    ]);
    let second = Fake::start([Answer::refuse(Kind::Conflict)]);
    let (result, out) = run(&[&first.url(), &second.url()], &format!("apply -f {file}"));
    assert_eq!(code(&result), 0, "{result:?}");
    assert!(out.contains("revision 12: pending, waits for thrissur"), "{out}");
    assert_eq!(second.lines(), ["PUT /v1/resources/team/intake?revision=11"]);
}

/// Guards against a deletion with a lost reply that is reported without reading the resource back.
#[test]
fn lost_deletion_is_read_back() {
    let cases = [
        (vec![Answer::truncated(), Answer::refuse(Kind::NotFound)], 0),
        (vec![Answer::truncated(), entry(3)], EXIT_UNKNOWN),
    ];
    for (script, expected) in cases {
        let fake = Fake::start(script);
        let (result, _) = run(&[&fake.url()], "delete team intake");
        assert_eq!(code(&result), expected, "{result:?}");
        assert_eq!(
            fake.lines(),
            ["DELETE /v1/resources/team/intake", "GET /v1/resources/team/intake"]
        );
    }
}
