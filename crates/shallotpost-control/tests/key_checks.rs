//! Guards against work that is taken for another team than the key's, and against keys that work after they must not.

mod support;

use shallotpost_control::prelude::*;
use shallotpost_protocol::interface::{Call, Request};
use shallotpost_protocol::key;
use shallotpost_protocol::resource::Kind;
use support::requests::{Bench, batch, snapshot, without};

fn router(settings: &Settings) -> Bench {
    let mut bench = Bench::new(ServiceName::Router, settings);
    bench.handle(Message::Snapshot(snapshot()));
    bench.handle(Message::ConfigurationLease { until: bench.at(6000) });
    bench
}

fn submit(bench: &mut Bench, key: &str) -> Result<(), ProblemKind> {
    let call = Call { key: key.to_owned(), request: Request::Submit(batch("rice", "one")) };
    outcome(bench, call)
}

/// `Ok` where the request reached a service, else the kind of the refusal.
fn outcome(bench: &mut Bench, call: Call) -> Result<(), ProblemKind> {
    bench.handle(Message::Request { request: 1, call });
    let passed = bench
        .take_messages()
        .iter()
        .any(|(_, message)| matches!(message, Message::AuthenticatedRequest { .. }));
    let answers = bench.take_answers();
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
        let mut bench = router(&Settings::new("a", "east"));
        assert_eq!(submit(&mut bench, presented), *expected, "key {presented:?}");
    }
}

#[test]
fn withdrawn_key() {
    let mut bench = router(&Settings::new("a", "east"));
    assert_eq!(submit(&mut bench, "rice-key.rice"), Ok(()));
    bench.handle(Message::Snapshot(without(Kind::Key, "rice-key")));
    assert_eq!(submit(&mut bench, "rice-key.rice"), Err(ProblemKind::Unauthorized));
}

#[test]
fn lapsed_configuration() {
    let mut bench = router(&Settings::new("a", "east"));
    bench.advance_to(5999);
    assert_eq!(submit(&mut bench, "rice-key.rice"), Ok(()));
    bench.advance_to(6000);
    assert_eq!(submit(&mut bench, "rice-key.rice"), Err(ProblemKind::StaleConfiguration));
}

#[test]
fn bootstrap_key() {
    let digest = Some(key::digest(b"first"));
    let settings = Settings { bootstrap_digest: digest, ..Settings::new("a", "east") };
    let mut bench = router(&settings);
    assert_eq!(submit(&mut bench, "bootstrap.first"), Err(ProblemKind::Unauthorized));
    bench.handle(Message::Snapshot(without(Kind::Key, "admin")));
    assert_eq!(submit(&mut bench, "bootstrap.first"), Ok(()));
    assert_eq!(submit(&mut bench, "bootstrap.second"), Err(ProblemKind::Unauthorized));
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
        let mut bench = router(&Settings::new("a", "east"));
        let call = Call { key: "rice-key.rice".to_owned(), request: request.clone() };
        assert_eq!(outcome(&mut bench, call), Err(ProblemKind::Forbidden), "{request:?}");
    }
    let mut bench = router(&Settings::new("a", "east"));
    let call = Call { key: "rice-key.rice".to_owned(), request: get(Kind::Team, "rice") };
    assert_eq!(outcome(&mut bench, call), Ok(()));
}
