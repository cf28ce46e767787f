//! Settings file. Guards against faults that are not reported in one run, and against an invalid shipped example.

use std::path::Path;
use std::time::Duration;

use serde_json::{Value, json};
use shallotpost_control::settings::{Fencing, Settings};
use shallotpost_daemon::settings::{Fault, check, format_faults, parse};

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/settings.json");

fn example() -> Value {
    let text = std::fs::read_to_string(EXAMPLE).expect("the example is in the repository");
    serde_json::from_str(&text).expect("the example is JSON")
}

/// Replaces the value at `pointer` in the document; `None` removes it.
fn set_value(document: &mut Value, pointer: &str, value: Option<Value>) {
    let (parent, field) = pointer.rsplit_once('/').expect("a pointer has a slash");
    let parent = document.pointer_mut(parent).expect("the parent exists");
    match (parent, value) {
        (Value::Object(fields), Some(value)) => drop(fields.insert(field.to_owned(), value)),
        (Value::Object(fields), None) => drop(fields.remove(field)),
        (Value::Array(items), Some(value)) => {
            items[field.parse::<usize>().expect("an index")] = value;
        }
        _ => panic!("{pointer} cannot be changed"),
    }
}

/// Pointer, new value, JSON path of the expected fault, and part of its text.
fn cases() -> Vec<(&'static str, Option<Value>, &'static str, &'static str)> {
    vec![
        ("/host", None, "$.host", "missing"),
        ("/data_centre", Some(json!(".kochi")), "$.data_centre", "not starting with a dot"),
        ("/http_address", Some(json!("localhost:8080")), "$.http_address", "<ip>:<port>"),
        ("/peer_address", Some(json!("0.0.0.0:8081")), "$.peer_address", "can connect to"),
        ("/platform/table", Some(json!("https://10.1.0.2:9000")), "$.platform.table", "http://"),
        ("/platform/objects", None, "$.platform.objects", "missing"),
        ("/platform/list", Some(json!("http://10.1.0.2:0/")), "$.platform.list", "http://"),
        ("/platform/tabel", Some(json!("x")), "$.platform.tabel", "one of list, objects, table"),
        ("/seeds/1", Some(json!(7)), "$.seeds[1]", "an object"),
        (
            "/seeds/3/peer_address",
            Some(json!("10.2.0.11:8081")),
            "$.seeds[3].peer_address",
            "listed twice",
        ),
        ("/bootstrap_digest", Some(json!("hunter2")), "$.bootstrap_digest", "sha256sum"),
        ("/worker_fencing", Some(json!("maybe")), "$.worker_fencing", "epoch, none"),
        (
            "/leases/ownership_lease_ms",
            Some(json!(2999)),
            "$.leases.ownership_lease_ms",
            "at least 3000 ms",
        ),
        (
            "/leases/configuration_lease_ms",
            Some(json!(2000)),
            "$.leases.configuration_lease_ms",
            "more than 2000 ms",
        ),
        ("/leases/task_lease_ms", Some(json!(5000)), "$.leases.task_lease_ms", "claimed"),
        ("/timeouts/table_timeout_ms", Some(json!(0)), "$.timeouts.table_timeout_ms", "from 1 to"),
        (
            "/timeouts/sync_wait_ms",
            Some(json!(2001)),
            "$.timeouts.sync_wait_ms",
            "half of task_lease_ms",
        ),
        ("/timeouts/stop_bound_ms", Some(json!(4000)), "$.timeouts.stop_bound_ms", "open calls"),
        ("/limits/admission_queue", Some(json!(-1)), "$.limits.admission_queue", "whole number"),
        ("/log/level", Some(json!("loud")), "$.log.level", "error, warn, info, debug"),
        ("/log/repeat_interval", Some(json!(10)), "$.log.repeat_interval", "not known"),
    ]
}

fn has(faults: &[Fault], path: &str, text: &str) -> bool {
    faults.iter().any(|fault| fault.path == path && fault.to_string().contains(text))
}

#[test]
fn example_loads_with_the_default_values() {
    let settings = check(Path::new(EXAMPLE)).expect("the example has no fault");
    let control = settings.control(7, 9);
    let expected = Settings {
        incarnation: 7,
        random_seed: 9,
        http_address: "10.1.0.11:8080".to_owned(),
        peer_address: "10.1.0.11:8081".to_owned(),
        seeds: settings.seeds.clone(),
        bootstrap_digest: settings.bootstrap_digest.clone(),
        ..Settings::new("kochi-1", "kochi")
    };
    assert_eq!(control, expected);
    // The example lists every host; this host is not its own peer.
    let hosts: Vec<_> = settings.seeds.iter().map(|seed| seed.host.as_str()).collect();
    assert_eq!(hosts, ["kochi-2", "kozhikode-1", "thrissur-1"]);
}

/// Guards against optional sections that become required and against defaults that differ from the example.
#[test]
fn optional_sections_have_the_values_of_the_example() {
    let mut document = example();
    for section in ["/leases", "/timeouts", "/limits", "/log", "/worker_fencing"] {
        set_value(&mut document, section, None);
    }
    let without = parse(&document.to_string()).expect("optional sections may be left out");
    assert_eq!(without, check(Path::new(EXAMPLE)).expect("the example has no fault"));
}

/// Guards against a value that is read but not passed to the kernel.
#[test]
fn every_value_reaches_the_services() {
    let mut document = example();
    document["leases"] = json!({
        "ownership_lease_ms": 4000, "task_lease_ms": 9001, "configuration_lease_ms": 7002
    });
    document["timeouts"] = json!({
        "table_timeout_ms": 1003, "worker_timeout_ms": 1004, "sync_wait_ms": 1005,
        "objects_timeout_ms": 1006, "stop_bound_ms": 20007
    });
    document["limits"] = json!({ "admission_queue": 8, "open_requests": 9 });
    document["worker_fencing"] = json!("none");
    let settings = parse(&document.to_string()).expect("the values are in range");
    let control = settings.control(1, 1);
    let seen = [
        control.ownership_lease,
        control.task_lease,
        control.configuration_lease,
        control.table_timeout,
        control.worker_timeout,
        control.sync_wait,
        settings.timeouts.objects,
        control.stop_bound,
    ];
    let expected = [4000, 9001, 7002, 1003, 1004, 1005, 1006, 20007].map(Duration::from_millis);
    assert_eq!(seen, expected);
    assert_eq!((control.admission_queue_limit, settings.limits.open_requests), (8, 9));
    assert_eq!(control.fencing, Fencing::None);
    assert_eq!(settings.platform.table, "http://10.1.0.2:9000/table");
}

#[test]
fn each_fault_is_named_alone() {
    for (pointer, value, path, text) in cases() {
        let mut document = example();
        set_value(&mut document, pointer, value);
        let faults = parse(&document.to_string()).expect_err(path);
        assert!(has(&faults, path, text), "{path} with {text:?} not in {faults:#?}");
        // A task lease of 5 s is too short for a takeover and also for the default timeouts of `sync`.
        let expected = if pointer == "/leases/task_lease_ms" { 2 } else { 1 };
        assert_eq!(faults.len(), expected, "one fault causes no other: {faults:#?}");
    }
}

#[test]
fn all_faults_are_listed_in_one_run() {
    let mut document = example();
    for (pointer, value, _, _) in cases() {
        set_value(&mut document, pointer, value);
    }
    let faults = parse(&document.to_string()).expect_err("the document is faulty");
    for (_, _, path, text) in cases() {
        assert!(has(&faults, path, text), "{path} with {text:?} not in {faults:#?}");
    }
    assert_eq!(faults.len(), cases().len(), "no fault is listed twice: {faults:#?}");
    let text = format_faults(Path::new("a.json"), &faults);
    assert_eq!(text.lines().count(), cases().len() + 1);
    assert!(text.starts_with(&format!("a.json: {} faults\n", cases().len())), "{text}");
}

/// Guards against lease rules that are off by one millisecond. The takeover bound includes the factor 1.02.
#[test]
fn lease_bounds_are_exact() {
    // Ownership lease, task lease, configuration lease, valid.
    let cases = [
        (3000, 6000, 2001, true),
        (3000, 5999, 2001, true),
        (3000, 5560, 2001, false),
        (4000, 6580, 2001, false),
        (4000, 6581, 2001, true),
        (3000, 8000, 2000, false),
        (2999, 8000, 6000, false),
    ];
    for (ownership, task, configuration, valid) in cases {
        let mut document = example();
        document["timeouts"] = json!({ "sync_wait_ms": 500, "worker_timeout_ms": 500 });
        document["leases"] = json!({
            "ownership_lease_ms": ownership, "task_lease_ms": task,
            "configuration_lease_ms": configuration
        });
        let result = parse(&document.to_string());
        assert_eq!(result.is_ok(), valid, "{ownership} {task} {configuration}: {result:?}");
    }
}

/// An operator may paste the secret instead of its digest; the message must not repeat it.
#[test]
fn secret_in_place_of_a_digest_is_not_repeated() {
    let mut document = example();
    set_value(&mut document, "/bootstrap_digest", Some(json!("hunter2")));
    let faults = parse(&document.to_string()).expect_err("not a digest");
    assert!(!format_faults(Path::new("a.json"), &faults).contains("hunter2"));
}

/// Guards against a table timeout with which one lost response loses the ownership lease.
#[test]
fn table_timeout_is_below_the_ownership_lease() {
    for (timeout, valid) in [(2999, true), (3000, false)] {
        let mut document = example();
        document["timeouts"] = json!({ "table_timeout_ms": timeout });
        let result = parse(&document.to_string());
        assert_eq!(result.is_ok(), valid, "{timeout}: {result:?}");
        let fault = |faults: Vec<Fault>| has(&faults, "$.timeouts.table_timeout_ms", "3000 ms");
        assert_eq!(result.err().is_some_and(fault), !valid, "{timeout}");
    }
}

#[test]
fn own_seed_must_agree_with_the_settings() {
    let mut document = example();
    set_value(&mut document, "/seeds/0/peer_address", Some(json!("10.1.0.99:8081")));
    let faults = parse(&document.to_string()).expect_err("the own entry differs");
    assert!(has(&faults, "$.seeds[0]", "kochi-1"), "{faults:#?}");
}

#[test]
fn unreadable_files_are_one_fault() {
    let missing = check(Path::new("/nonexistent/settings.json")).expect_err("no such file");
    assert!(has(&missing, "$", "cannot be read"), "{missing:#?}");
    let broken = parse("{\"host\": }").expect_err("not JSON");
    assert!(has(&broken, "$", "line 1 column 10"), "{broken:#?}");
    let array = parse("[]").expect_err("not an object");
    assert!(has(&array, "$", "an object"), "{array:#?}");
}
