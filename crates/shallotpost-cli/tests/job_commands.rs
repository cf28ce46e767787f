//! Tests of the commands on jobs of a fleet: requests, output, and the exit code for each status.
#![allow(clippy::unwrap_used)]

mod fake;

use fake::{Answer, CLOSED, Directory, Fake, code, run};
use shallotpost_cli::error::{
    EXIT_KEY, EXIT_NOT_FOUND, EXIT_REQUEST, EXIT_RETRY_LATER, EXIT_UNKNOWN, EXIT_USAGE,
};

const PATH: &str = "/lohu930/5c0e7a21d94b36f8";

fn raw(status: u16, body: &str) -> Answer {
    Answer::Raw(status, body.as_bytes().to_vec())
}

/// Guards against a submission that changes the file, lacks the team's key, or does not fail over to the next host.
#[test]
fn submission_sends_file_and_team_key() {
    let fake = Fake::start([raw(200, "{}")]);
    let directory = Directory::new("job-commands");
    let file = directory.file("job.json", br#"{"steps":[{"count":1}]}"#);
    let line = format!("job submit --team-key k1 {PATH} {file}");
    let (result, text) = run(&[CLOSED, &fake.url()], &line);
    assert_eq!(code(&result), 0);
    assert_eq!(text, format!("{PATH}: accepted\n"));
    let request = &fake.requests()[0];
    assert_eq!(request.line(), format!("POST {PATH}"));
    assert_eq!(request.json()["steps"][0]["count"], 1);
    assert!(request.headers.contains(&("authorization".to_owned(), "Token k1".to_owned())));
}

#[test]
fn states_counts_and_cancellations_are_shown_as_text() {
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

/// Guards against a refusal that looks like an unknown outcome, and the reverse.
#[test]
fn exit_codes_follow_the_status() {
    let cases = [
        (raw(400, r#"{"error":"steps"}"#), EXIT_REQUEST),
        (raw(401, r#"{"error":"unknown key"}"#), EXIT_KEY),
        (raw(410, r#"{"error":"no such job"}"#), EXIT_NOT_FOUND),
        (raw(503, r#"{"error":"later"}"#), EXIT_RETRY_LATER),
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
