//! Tests of the platform and its workers in one process, over HTTP.
#![allow(clippy::unwrap_used)]

use std::time::Instant;

use serde_json::{Value, json};
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::worker_list::Worker;
use shallotpost_standin::list::List;
use shallotpost_standin::settings::{Fleet, Settings};

fn settings(lag: u64) -> Settings {
    let worker = |number: u32| {
        json!({
            "worker": format!("w{number}"), "address": "127.0.0.1:0", "data_centre": "kochi", "rack": "r1",
            "capacity": {"processors_milli": 1000, "memory_mib": 10, "accelerators": 0, "slots": 1},
        })
    };
    let workers = [worker(1), worker(2)];
    serde_json::from_value(json!({
        "platform": "127.0.0.1:0", "list_lag_ms": lag, "workers": workers,
    }))
    .unwrap()
}

fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder().http_status_as_error(false).proxy(None);
    config.timeout_global(Some(Duration::from_secs(20))).build().into()
}

fn post(address: &str, path: &str, body: &Value) -> (u16, String) {
    let request = agent().post(format!("http://{address}{path}"));
    let mut response = request.send(body.to_string()).unwrap();
    (response.status().as_u16(), response.body_mut().read_to_string().unwrap())
}

fn list(fleet: &Fleet) -> Vec<Worker> {
    let url = format!("http://{}/list", fleet.platform.address());
    let body = agent().get(url).call().unwrap().body_mut().read_to_vec().unwrap();
    serde_json::from_slice(&body).unwrap()
}

/// Guards against workers that are listed under addresses they do not listen on, and against faults without an effect.
#[test]
fn listed_workers_answer() {
    let fleet = Fleet::start(&settings(0)).unwrap();
    let listed = list(&fleet);
    assert_eq!(listed.iter().map(|entry| entry.worker.as_str()).collect::<Vec<_>>(), ["w1", "w2"]);
    let claim = json!({"claim": {"shard": "kochi/0", "epoch": 1, "lease_ms": 60000}});
    let sync = json!({"sync": {"epoch": 1, "lease_ms": 60000, "acknowledged": [], "wait_ms": 0}});
    for entry in &listed {
        assert_eq!(post(&entry.address, "/", &claim).0, 200);
    }
    let address = listed[0].address.as_str();
    assert_eq!(post(address, "/fault", &json!({"leaving": true})).0, 200);
    let state: Value = serde_json::from_str(&post(address, "/", &sync).1).unwrap();
    assert_eq!(state["state"]["leaving"], json!(true));
    assert_eq!(list(&fleet).iter().map(|entry| entry.leaving).collect::<Vec<_>>(), [true, false]);
    assert_eq!(post(address, "/fault", &json!({"restart": true})).0, 200);
    assert_eq!(post(address, "/", &sync).1, json!({"refused": "not_claimed"}).to_string());
    assert_eq!(post(address, "/fault", &json!({"colour": 1})).0, 400);
    assert_eq!(post(address, "/", &json!({"claim": 1})).0, 400);
    assert_eq!(post(address, "/table", &claim).0, 404);
}

/// Guards against a stand-in that is down and cannot be brought up again.
#[test]
fn a_stand_in_that_is_down_accepts_faults() {
    let fleet = Fleet::start(&settings(0)).unwrap();
    let address = fleet.platform.address().to_string();
    let read = json!({"read": {"keys": []}});
    assert_eq!(post(&address, "/fault", &json!({"down": true})).0, 200);
    assert!(agent().post(format!("http://{address}/table")).send(read.to_string()).is_err());
    assert_eq!(post(&address, "/fault", &json!({"down": false})).0, 200);
    assert_eq!(post(&address, "/table", &read).0, 200);
}

/// Guards against a list that shows changes too early or never.
#[test]
fn list_changes_appear_after_the_lag() {
    let start = Instant::now();
    let mut list = List::new(start);
    list.set_lag(Duration::from_secs(2));
    let entry = |name: &str| Worker {
        worker: name.to_owned(),
        address: String::new(),
        data_centre: String::new(),
        rack: String::new(),
        capacity: Size::ZERO,
        leaving: false,
    };
    let at = |seconds| start + Duration::from_secs(seconds);
    list.update(at(10), |workers| workers.push(entry("a")));
    list.update(at(11), |workers| workers.push(entry("b")));
    for (seconds, expected) in [(10, 0), (11, 0), (12, 1), (13, 2), (20, 2)] {
        assert_eq!(list.read(at(seconds)).len(), expected, "after {seconds} s");
    }
}
