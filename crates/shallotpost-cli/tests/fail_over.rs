//! Fail-over between entry hosts: which answers are passed on, and which request may be sent again.
#![allow(clippy::unwrap_used)]

mod fake;

use fake::{Answer, CLOSED, Fake, code, force, run};
use shallotpost_cli::error::{
    EXIT_CONFLICT, EXIT_KEY, EXIT_LATER, EXIT_NOT_FOUND, EXIT_REQUEST, EXIT_TIMED_OUT, EXIT_UNKNOWN,
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

/// First answer of a refusing host, whether the next host is asked, and the exit code if no other host is there.
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
    (Kind::Overloaded, true, EXIT_LATER),
    (Kind::Unavailable, true, EXIT_LATER),
    (Kind::StaleConfiguration, true, EXIT_LATER),
    (Kind::Draining, true, EXIT_LATER),
    (Kind::RevisionTooOld, false, EXIT_CONFLICT),
    (Kind::Unknown, true, EXIT_UNKNOWN),
    (Kind::TimedOut, false, EXIT_TIMED_OUT),
];

#[test]
fn refusals_map_to_exit_codes_and_are_passed_on_by_kind() {
    for (kind, passed_on, expected) in REFUSALS {
        let alone = Fake::start([Answer::refuse(kind)]);
        let (result, _) = run(&[&alone.url()], SUBMIT);
        assert_eq!(code(&result), expected, "{kind}");

        let (first, second) = (Fake::start([Answer::refuse(kind)]), Fake::start([accepted(false)]));
        let (result, _) = run(&[&first.url(), &second.url()], SUBMIT);
        assert_eq!(second.seen().len(), usize::from(passed_on), "{kind}");
        assert_eq!(code(&result), if passed_on { 0 } else { expected }, "{kind}");
    }
}

#[test]
fn closed_host_is_passed_over() {
    let fake = Fake::start([accepted(false)]);
    let (result, out) = run(&[CLOSED, &fake.url()], SUBMIT);
    assert_eq!(code(&result), 0, "{result:?}");
    assert_eq!(out, "intake/day-17 accepted, home shard kochi/0\n");
    let (result, _) = run(&[CLOSED, CLOSED], SUBMIT);
    assert_eq!(code(&result), EXIT_LATER, "nothing was sent: {result:?}");
}

/// Guards against a second id for one submission, which would run the work twice.
#[test]
fn repeated_submission_is_the_same_to_the_byte() {
    let (first, second) = (Fake::start([Answer::lost()]), Fake::start([accepted(true)]));
    let line = "submit --team intake --start-within 60 -- true";
    let (result, out) = run(&[&first.url(), &second.url()], line);
    assert_eq!(code(&result), 0, "{result:?}");
    assert!(out.contains("already admitted before"), "{out}");
    let (one, two) = (first.seen(), second.seen());
    assert_eq!((one.len(), two.len()), (1, 1));
    assert_eq!(one[0].body, two[0].body);
    let id = one[0].json()["id"].as_str().unwrap().to_owned();
    assert_eq!(id.len(), 24, "the id is drawn before the first try");
    let other = Fake::start([accepted(false)]);
    let _ = run(&[&other.url()], line);
    assert_ne!(other.seen()[0].json()["id"], id, "each run draws its own id");
}

/// Guards against an answer that is cut off or missing being taken for a refusal.
#[test]
fn closed_connection_after_the_request_is_a_lost_reply() {
    let answers: [&'static [u8]; 3] = [
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 100\r\n\r\n{\"kind\":\"draining\"",
    ];
    for answer in answers {
        let (url, thread) = fake::closing(answer);
        let (result, _) = run(&[&url], SUBMIT);
        thread.join().unwrap();
        assert_eq!(code(&result), EXIT_UNKNOWN, "{answer:?}: {result:?}");
    }
}

/// The refusal of a second host, true as it is for its own request, does not cover the first, lost one.
#[test]
fn not_run_of_a_second_host_does_not_cover_a_lost_first_try() {
    let refusal = Problem::not_run(Kind::Draining, "stopping");
    let (first, second) =
        (Fake::start([Answer::lost()]), Fake::start([Answer::Problem(refusal.clone())]));
    let (result, _) = run(&[&first.url(), &second.url()], SUBMIT);
    assert_eq!(code(&result), EXIT_UNKNOWN);
    let text = result.unwrap_err().render(false);
    assert!(!text.contains("not run"), "{text}");
    assert!(text.contains("shallotpost status intake/day-17"), "{text}");

    let alone = Fake::start([Answer::Problem(refusal)]);
    let text = run(&[CLOSED, &alone.url()], SUBMIT).0.unwrap_err().render(false);
    assert!(text.contains("not run: the work was certainly not started"), "{text}");
}

/// A reused id settles that the lost first try was not admitted either.
#[test]
fn reused_id_is_definite_after_a_lost_first_try() {
    let (first, second) =
        (Fake::start([Answer::lost()]), Fake::start([Answer::refuse(Kind::IdReused)]));
    let (result, _) = run(&[&first.url(), &second.url()], SUBMIT);
    assert_eq!(code(&result), EXIT_CONFLICT, "{result:?}");
}

#[test]
fn lost_replies_of_reads_are_asked_again() {
    let (first, second) = (
        Fake::start([Answer::lost()]),
        Fake::start([Answer::Reply(Reply::Overview(Overview::default()))]),
    );
    let (result, _) = run(&[&first.url(), &second.url()], "overview");
    assert_eq!(code(&result), 0, "{result:?}");
    let garbled = Fake::start([Answer::Raw(502, b"<html>".to_vec())]);
    let (result, _) = run(&[&garbled.url()], "overview");
    assert_eq!(code(&result), EXIT_LATER, "a read has no effect to be unsure of");
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

/// Answers of the only host, requests that it must see, and the exit code.
#[test]
fn lost_change_is_read_back_and_not_repeated_without_a_condition() {
    let put = "PUT /v1/resources/team/intake";
    let read = "GET /v1/resources/team/intake";
    let in_force = Answer::Reply(Reply::Propagation(force(12, true)));
    let cases = [
        (vec![Answer::lost(), entry(3), in_force.clone()], vec![put, read, "GET /v1/force/12"], 0),
        (vec![Answer::lost(), entry(2)], vec![put, read], EXIT_UNKNOWN),
        (vec![Answer::refuse(Kind::Unknown), entry(2)], vec![put, read], EXIT_UNKNOWN),
        (vec![Answer::lost(), Answer::refuse(Kind::NotFound)], vec![put, read], EXIT_UNKNOWN),
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

/// With a revision the change is sent again; the conflict of the second try is resolved by reading back.
#[test]
fn lost_conditional_change_is_repeated() {
    let directory = fake::Directory::new("conditional");
    let file = directory
        .file("team.json", br#"{"name":"intake","revision":11,"resource":{"team":{"share":3}}}"#);
    let first = Fake::start([
        Answer::lost(),
        entry(3),
        Answer::Reply(Reply::Propagation(force(12, false))),
    ]);
    let second = Fake::start([Answer::refuse(Kind::Conflict)]);
    let (result, out) = run(&[&first.url(), &second.url()], &format!("apply -f {file}"));
    assert_eq!(code(&result), 0, "{result:?}");
    assert!(out.contains("revision 12: pending, waits for thrissur"), "{out}");
    assert_eq!(second.lines(), ["PUT /v1/resources/team/intake?revision=11"]);
}

#[test]
fn lost_deletion_is_read_back() {
    let cases = [
        (vec![Answer::lost(), Answer::refuse(Kind::NotFound)], 0),
        (vec![Answer::lost(), entry(3)], EXIT_UNKNOWN),
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
