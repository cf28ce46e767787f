//! Responses longer than one buffer are not delayed by TCP's delayed acknowledgements.
#![allow(clippy::unwrap_used)]

mod support;

use std::thread;

use shallotpost_protocol::port::Effect;
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::table::{Request, Write};
use support::{Fixture, TEST_TIMEOUT, agent};

/// Half of the delayed acknowledgement of 40 ms.
const LIMIT: Duration = Duration::from_millis(20);

fn fastest(mut trip: impl FnMut()) -> Duration {
    let time = |_| {
        let started = Instant::now();
        trip();
        started.elapsed()
    };
    (0..20).map(time).min().unwrap()
}

/// Guards against responses that are written in two parts. Each such round trip takes 40 ms, so the fastest one is
/// checked.
#[test]
fn answers_are_written_at_once() {
    let fixture = Fixture::start();
    let table = |request| {
        fixture.edge.execute(Effect::Table { call: 1, request, timeout: TEST_TIMEOUT });
        fixture.event();
    };
    let agent = agent();
    for length in [1500, 6000] {
        let value = Some("x".repeat(length));
        let writes = vec![Write { key: "a".to_owned(), value }];
        table(Request::Transact { checks: Vec::new(), writes });
        let read = fastest(|| table(Request::Read { keys: vec!["a".to_owned()] }));
        assert!(read < LIMIT, "table, {length} bytes: {read:?}");
        let call = fastest(|| {
            thread::scope(|scope| {
                let client = scope.spawn(|| {
                    let mut response = agent.get(fixture.url("/v1/status")).call().unwrap();
                    response.body_mut().read_to_vec().unwrap()
                });
                let (request, _) = fixture.request();
                let message = "x".repeat(length);
                fixture.answer(request, Err(Problem::new(ProblemKind::NotFound, message)));
                assert!(client.join().unwrap().len() > length);
            });
        });
        assert!(call < LIMIT, "interface, {length} bytes: {call:?}");
    }
}
