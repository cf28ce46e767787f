//! Commands on jobs of a fleet: requests, texts, and exit codes of each status.
#![allow(clippy::unwrap_used)]

mod fake;

use fake::{Answer, CLOSED, Directory, Fake, code, run};
use shallotpost_cli::error::{
    EXIT_KEY, EXIT_LATER, EXIT_NOT_FOUND, EXIT_REQUEST, EXIT_UNKNOWN, EXIT_USAGE,
};

const PATH: &str = "/lohu930/5c0e7a21d94b36f8";

fn raw(status: u16, body: &str) -> Answer {
    Answer::Raw(status, body.as_bytes().to_vec())
}

/// A submission sends the file as it is, with the team's key, and goes to the next host where the first is closed.
#[test]
fn submission() {
    let fake = Fake::start([raw(200, "{}")]);
    let directory = Directory::new("job-commands");
    let file = directory.file("job.json", br#"{"steps":[{"count":1}]}"#);
    let line = format!("job submit --team-key k1 {PATH} {file}");
    let (result, text) = run(&[CLOSED, &fake.url()], &line);
    assert_eq!(code(&result), 0);
    assert_eq!(text, format!("{PATH}: accepted\n"));
    let seen = &fake.seen()[0];
    assert_eq!(seen.line(), format!("POST {PATH}"));
    assert_eq!(seen.json()["steps"][0]["count"], 1);
    assert!(seen.headers.contains(&("authorization".to_owned(), "Token k1".to_owned())));
}

/// States, counts and cancellations are shown as text.
#[test]
fn texts() {
    let fake = Fake::start([
        raw(200, r#"{"state":"running"}"#),
        raw(200, r#"{"waiting":3}"#),
        raw(200, "{}"),
    ]);
    let url = fake.url();
    let (_, state) = run(&[&url], &format!("job state {PATH}"));
    assert_eq!(state, format!("{PATH}: running\n"));
    let (_, count) = run(&[&url], "job state /lohu930/");
    assert_eq!(count, "/lohu930/: 3 waiting\n");
    let (_, cancelled) = run(&[&url], &format!("job cancel {PATH}"));
    assert!(cancelled.contains("recorded"), "{cancelled}");
}

/// A refusal, an unknown outcome and a wrong command line have exit codes of their own.
#[test]
fn exit_codes() {
    let cases = [
        (raw(400, r#"{"error":"steps"}"#), EXIT_REQUEST),
        (raw(401, r#"{"error":"unknown key"}"#), EXIT_KEY),
        (raw(410, r#"{"error":"no such job"}"#), EXIT_NOT_FOUND),
        (raw(503, r#"{"error":"later"}"#), EXIT_LATER),
        (raw(504, r#"{"error":"unknown"}"#), EXIT_UNKNOWN),
        (raw(200, "{"), EXIT_UNKNOWN),
    ];
    for (answer, expected) in cases {
        let fake = Fake::start([answer]);
        let (result, _) = run(&[&fake.url()], &format!("job cancel {PATH}"));
        assert_eq!(code(&result), expected);
    }
    let (result, _) = run(&[CLOSED], "job state lohu930");
    assert_eq!(code(&result), EXIT_USAGE);
}
