//! Tests of key commands: a generated secret is shown once and never sent, and rotation keeps both keys valid for the
//! overlap.
#![allow(clippy::unwrap_used)]

mod fake;

use fake::{Answer, Fake, KEY, code, run};
use serde_json::json;
use shallotpost_cli::error::{EXIT_CONFLICT, EXIT_RETRY_LATER, EXIT_UNKNOWN};
use shallotpost_protocol::interface::Reply;
use shallotpost_protocol::key;
use shallotpost_protocol::problem::Kind;
use shallotpost_protocol::resource::{Entry, Key, Resource, Right};

/// Returns the key after `key: ` in the output for people.
fn shown_key(out: &str) -> &str {
    out.lines().find_map(|line| line.strip_prefix("key: ")).unwrap()
}

/// Asserts that no request contains the secret in its body, URL or headers.
fn assert_not_sent(fake: &Fake, secret: &str) {
    assert!(!fake.requests().is_empty());
    let recorded = format!("{:?}", fake.requests());
    let bodies: Vec<u8> = fake.requests().into_iter().flat_map(|request| request.body).collect();
    assert!(!recorded.contains(secret) && !String::from_utf8(bodies).unwrap().contains(secret));
}

#[test]
fn grant_shows_the_key_once_and_uploads_its_digest() {
    let cases = [("--team intake", json!({ "team": "intake" })), ("--operator", json!("operator"))];
    for (option, right) in cases {
        let fake = Fake::start([Answer::changed(9)]);
        let (result, out) = run(&[&fake.url()], &format!("key grant intake-1 {option}"));
        assert_eq!(code(&result), 0, "{result:?}");
        let (name, secret) = key::split(shown_key(&out)).unwrap();
        assert_eq!((name, secret.len()), ("intake-1", 64));
        assert_eq!(out.matches(secret).count(), 1, "{out}");
        assert_not_sent(&fake, secret);
        assert_eq!(fake.lines(), ["PUT /v1/resources/key/intake-1?revision=0"]);
        let digest = key::digest(secret.as_bytes());
        let body = json!({ "key": { "right": right, "digest": digest, "expires_unix_ms": null } });
        assert_eq!(fake.requests()[0].json(), body);
    }
}

#[test]
fn secrets_differ_and_json_holds_the_key_once() {
    let fake = Fake::start([Answer::changed(9), Answer::changed(10)]);
    let (_, first) = run(&[&fake.url()], "--json key grant a --operator --expires-in 60");
    let (_, second) = run(&[&fake.url()], "--json key grant a --operator");
    let key = |out: &str| {
        let value: serde_json::Value = serde_json::from_str(out).unwrap();
        value["key"].as_str().unwrap().to_owned()
    };
    assert_ne!(key(&first), key(&second));
    assert_eq!(first.matches(&key(&first)).count(), 1);
    let body = fake.requests()[0].json();
    assert_eq!(body["key"]["expires_unix_ms"], 1_700_000_060_000_u64);
}

/// Guards against a key that is shown although it may not exist, and against an error that contains the presented key.
#[test]
fn failed_grant_shows_nothing() {
    let other = Resource::Key(Key {
        right: Right::Operator,
        digest: key::digest(b"another"),
        expires_unix_ms: None,
    });
    let entry = Entry { name: "a".to_owned(), revision: 3, resource: other };
    let cases = [
        (vec![Answer::refuse(Kind::Conflict)], EXIT_CONFLICT),
        (vec![Answer::refuse(Kind::Unavailable)], EXIT_RETRY_LATER),
        (vec![Answer::truncated(), Answer::Reply(Reply::Entry(entry))], EXIT_UNKNOWN),
    ];
    for (script, expected) in cases {
        let fake = Fake::start(script);
        let (result, out) = run(&[&fake.url()], "key grant a --operator");
        assert_eq!((code(&result), out.as_str()), (expected, ""), "{result:?}");
        let error = result.unwrap_err();
        let text = format!("{error:?} {} {}", error.render(false), error.render(true));
        assert!(!text.contains(KEY) && !text.contains("correct-horse"), "{text}");
    }
}

fn old_key(expires_unix_ms: Option<u64>) -> Answer {
    Answer::Reply(Reply::Entry(Entry {
        name: "intake-1".to_owned(),
        revision: 4,
        resource: Resource::Key(Key {
            right: Right::Team("intake".to_owned()),
            digest: key::digest(b"old"),
            expires_unix_ms,
        }),
    }))
}

/// Guards against a rotation that expires the old key first, extends its life, or does not grant the successor the same
/// right. Each case holds the expiry of the old key, the options, its expiry after the rotation, and the successor.
#[test]
fn rotation_grants_the_successor_before_the_old_key_expires() {
    const NOW: u64 = 1_700_000_000_000;
    let cases = [
        (None, "--overlap 3600", NOW + 3_600_000, "intake-2"),
        (None, "--to next", NOW + 86_400_000, "next"),
        (Some(NOW + 5), "--overlap 3600", NOW + 5, "intake-2"),
    ];
    for (earlier, option, expires, successor) in cases {
        let fake = Fake::start([old_key(earlier), Answer::changed(9), Answer::changed(10)]);
        let (result, out) = run(&[&fake.url()], &format!("key rotate intake-1 {option}"));
        assert_eq!(code(&result), 0, "{result:?}");
        let lines = [
            "GET /v1/resources/key/intake-1".to_owned(),
            format!("PUT /v1/resources/key/{successor}?revision=0"),
            "PUT /v1/resources/key/intake-1?revision=4".to_owned(),
        ];
        assert_eq!(fake.lines(), lines);
        let (new, old) = (fake.requests()[1].json(), fake.requests()[2].json());
        assert_eq!(new["key"]["right"], json!({ "team": "intake" }));
        assert_eq!(new["key"]["expires_unix_ms"], json!(null));
        assert_eq!(old["key"]["digest"], key::digest(b"old"));
        assert_eq!(old["key"]["expires_unix_ms"], expires);
        let (name, secret) = key::split(shown_key(&out)).unwrap();
        assert_eq!(name, successor);
        assert_eq!(out.matches(secret).count(), 1);
        assert_not_sent(&fake, secret);
    }
}

/// Guards against a new key that is never shown because the next step fails.
#[test]
fn rotation_that_fails_half_way_shows_the_new_key() {
    let script = [old_key(None), Answer::changed(9), Answer::refuse(Kind::Conflict)];
    let fake = Fake::start(script);
    let (result, out) = run(&[&fake.url()], "key rotate intake-1");
    assert_eq!(code(&result), EXIT_CONFLICT);
    assert!(shown_key(&out).starts_with("intake-2."), "{out}");
    let text = result.unwrap_err().to_string();
    assert!(text.contains("key intake-1 does not expire yet"), "{text}");
}

#[test]
fn withdrawal_deletes_the_key() {
    let fake = Fake::start([Answer::changed(11)]);
    let (result, out) = run(&[&fake.url()], "key withdraw intake-1");
    assert_eq!(code(&result), 0, "{result:?}");
    assert_eq!(out, "key/intake-1: revision 11: in force\n");
    assert_eq!(fake.lines(), ["DELETE /v1/resources/key/intake-1"]);
}
