//! Cancellations that the store carries out late; the test answers the calls to the store itself. Guards against one that meets
//! another job.

mod support;

use std::time::Duration;

use shallotpost_fleet::configuration::Queue;
use shallotpost_fleet::host::{Freshness, Host, Settings};
use shallotpost_fleet::job::JobId;
use shallotpost_fleet::message::encode;
use shallotpost_fleet::port::{
    Action, Answer, CallId, Content, Input, Output, Request, StoreRequest, Table,
};
use shallotpost_fleet::scheduler::{Bounds, cancellation_key, job_key};
use support::store::Store;
use support::{UNIX_MS, configuration, job, ms, step};

const ID: JobId = 0x1000;

/// A host whose calls to the store are answered at once, except for cancellations.
struct TestHost {
    host: Host,
    store: Store,
    now: Duration,
    cancellations: Vec<(CallId, StoreRequest)>,
    answers: Vec<Answer>,
}

impl TestHost {
    fn deliver(&mut self, input: Input) {
        for output in self.host.handle(self.now, UNIX_MS, input) {
            match output {
                Output::Answer { answer, .. } => self.answers.push(answer),
                Output::Store { call, request, .. } => self.call(call, request),
                _ => {}
            }
        }
    }

    fn call(&mut self, call: CallId, request: StoreRequest) {
        match &request {
            StoreRequest::Feed { .. } => {}
            StoreRequest::Transact { writes, .. }
                if writes.iter().any(|(_, key, _)| *key == cancellation_key(ID)) =>
            {
                self.cancellations.push((call, request));
            }
            _ => {
                let result = self.store.call(&request);
                self.deliver(Input::Store { call, result });
            }
        }
    }

    fn put_job(&mut self) {
        let Queue { name, policy, .. } = configuration().queues.remove(0);
        let job = shallotpost_fleet::job::Job {
            queue: name,
            team: Some("a".to_owned()),
            policy,
            ..job(vec![step(1, 300)])
        };
        let bytes = encode(&job).expect("a job can be encoded");
        self.store.put(Table::Jobs, &job_key(ID), Content::Bytes(bytes));
    }
}

fn host() -> TestHost {
    let settings = Settings {
        host: "a".to_owned(),
        data_centre: "kochi".to_owned(),
        address: "a:1".to_owned(),
        processors_milli: 250,
        incarnation: 1,
        bounds: Bounds {
            lease_max: ms(6000),
            hold_max: ms(10_000),
            stop_timeout: ms(200),
            retention: Duration::from_secs(120),
        },
        freshness: Freshness::default(),
    };
    let mut store = Store::default();
    let content = Content::Configuration(Box::new(configuration()));
    store.put(Table::Operator, "config", content);
    TestHost {
        host: Host::new(settings),
        store,
        now: Duration::ZERO,
        cancellations: Vec::new(),
        answers: Vec::new(),
    }
}

/// A cancellation without an answer was carried out when the job had been deleted and submitted again, and cancelled that one.
#[test]
fn job_submitted_again() {
    let mut test_host = host();
    test_host.put_job();
    test_host.deliver(Input::Tick);
    let body = Request {
        host: "fleet.example".to_owned(),
        path: format!("/batch/{}", job_key(ID)),
        key: Some("key-a".to_owned()),
        action: Action::Cancel,
        timeout: Duration::from_secs(3),
    };
    test_host.deliver(Input::Request { request: 1, body });
    let (call, late) = test_host.cancellations.pop().expect("a cancellation");
    test_host.store.delete(Table::Jobs, &job_key(ID));
    assert!(test_host.store.call(&late).is_err(), "there is no job to cancel");
    test_host.put_job();
    let result = test_host.store.call(&late);
    assert!(!test_host.store.has(Table::Jobs, &cancellation_key(ID)), "the cancellation");
    // The job that is there now is cancelled by another attempt, as its caller has asked.
    test_host.deliver(Input::Store { call, result });
    test_host.now += Duration::from_millis(200);
    test_host.deliver(Input::Tick);
    let (call, again) = test_host.cancellations.pop().expect("another attempt");
    let result = test_host.store.call(&again);
    test_host.deliver(Input::Store { call, result });
    assert_eq!(test_host.answers, [Answer::Cancelled]);
}
