//! Guards against requests for a team other than the key's, and against keys that stay valid after withdrawal or
//! expiry.

mod support;

use shallotpost_control::prelude::*;
use shallotpost_protocol::interface::{Call, Request};
use shallotpost_protocol::key;
use shallotpost_protocol::resource::Kind;
use support::service_harness::{ServiceHarness, batch_job, snapshot, snapshot_without};

fn router(settings: &Settings) -> ServiceHarness {
    let mut harness = ServiceHarness::new(ServiceName::Router, settings);
    harness.handle(Message::Snapshot(snapshot()));
    harness.handle(Message::ConfigurationLease { until: harness.at(6000) });
    harness
}

fn submit(harness: &mut ServiceHarness, key: &str) -> Result<(), ProblemKind> {
    let call = Call { key: key.to_owned(), request: Request::Submit(batch_job("rice", "one")) };
    outcome(harness, call)
}

/// `Ok` if the request reached a service, otherwise the kind of the refusal.
fn outcome(harness: &mut ServiceHarness, call: Call) -> Result<(), ProblemKind> {
    harness.handle(Message::Request { request: 1, call });
    let passed = harness
        .take_messages()
        .iter()
        .any(|(_, message)| matches!(message, Message::AuthenticatedRequest { .. }));
    let answers = harness.take_answers();
    match answers.as_slice() {
        [(1, Err(problem))] if !passed => Err(problem.kind),
        [] if passed => Ok(()),
        other => panic!("neither passed nor refused once: {other:?}"),
    }
}

#[test]
fn presented_keys() {
    let cases: &[(&str, Result<(), ProblemKind>)] = &[
        ("rice-key.rice", Ok(())),
        ("admin.root", Ok(())),
        ("", Err(ProblemKind::Unauthorized)),
        ("rice-key", Err(ProblemKind::Unauthorized)),
        ("rice-key.", Err(ProblemKind::Unauthorized)),
        (".rice", Err(ProblemKind::Unauthorized)),
        ("rice-key.jute", Err(ProblemKind::Unauthorized)),
        ("jute-key.rice", Err(ProblemKind::Unauthorized)),
        ("nobody.rice", Err(ProblemKind::Unauthorized)),
        ("old-key.rice", Err(ProblemKind::Unauthorized)),
    ];
    for (presented, expected) in cases {
        let mut harness = router(&Settings::new("a", "east"));
        assert_eq!(submit(&mut harness, presented), *expected, "key {presented:?}");
    }
}

#[test]
fn withdrawn_key() {
    let mut harness = router(&Settings::new("a", "east"));
    assert_eq!(submit(&mut harness, "rice-key.rice"), Ok(()));
    harness.handle(Message::Snapshot(snapshot_without(Kind::Key, "rice-key")));
    assert_eq!(submit(&mut harness, "rice-key.rice"), Err(ProblemKind::Unauthorized));
}

#[test]
fn lapsed_configuration() {
    let mut harness = router(&Settings::new("a", "east"));
    harness.advance_to(5999);
    assert_eq!(submit(&mut harness, "rice-key.rice"), Ok(()));
    harness.advance_to(6000);
    assert_eq!(submit(&mut harness, "rice-key.rice"), Err(ProblemKind::StaleConfiguration));
}

#[test]
fn bootstrap_key() {
    let digest = Some(key::digest(b"first"));
    let settings = Settings { bootstrap_digest: digest, ..Settings::new("a", "east") };
    let mut harness = router(&settings);
    assert_eq!(submit(&mut harness, "bootstrap.first"), Err(ProblemKind::Unauthorized));
    harness.handle(Message::Snapshot(snapshot_without(Kind::Key, "admin")));
    assert_eq!(submit(&mut harness, "bootstrap.first"), Ok(()));
    assert_eq!(submit(&mut harness, "bootstrap.second"), Err(ProblemKind::Unauthorized));
}

#[test]
fn rights_of_teams() {
    let list =
        |team: &str| Request::List { team: team.to_owned(), after: String::new(), limit: 10 };
    let object = |name: &str| Request::Object { name: name.to_owned(), write: true };
    let get = |kind: Kind, name: &str| Request::Get { kind, name: name.to_owned() };
    let forbidden = [
        list("jute"),
        object("jute/photo"),
        object("photo"),
        get(Kind::Team, "jute"),
        get(Kind::Key, "rice-key"),
        Request::Audit { from: 0, limit: 10 },
        Request::Watch { from: 0, wait: Duration::ZERO },
        Request::Overview,
    ];
    for request in forbidden {
        let mut harness = router(&Settings::new("a", "east"));
        let call = Call { key: "rice-key.rice".to_owned(), request: request.clone() };
        assert_eq!(outcome(&mut harness, call), Err(ProblemKind::Forbidden), "{request:?}");
    }
    let mut harness = router(&Settings::new("a", "east"));
    let call = Call { key: "rice-key.rice".to_owned(), request: get(Kind::Team, "rice") };
    assert_eq!(outcome(&mut harness, call), Ok(()));
}
