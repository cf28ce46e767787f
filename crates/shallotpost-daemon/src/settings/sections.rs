//! Reads the sections of the settings file and records their faults.

use std::time::Duration;

use serde_json::Value;
use shallotpost_control::settings as control;
use shallotpost_control::settings::{Fencing, Seed};
use shallotpost_protocol::port::Level;

use super::object::{Faults, LevelName, Object, describe_value};
use super::rules::{check_addresses, check_leases, check_timeouts};
use super::{LIMIT_MAX, Leases, Limits, Log, Platform, Settings, Timeouts};

/// Reads the whole document and records every fault. The result is valid only if no fault was recorded.
pub(super) fn read_document(document: &Value, faults: &mut Faults) -> Option<Settings> {
    let mut root = Object::new("$".to_owned(), document, faults)?;
    let host = root.name("host", faults);
    let data_centre = root.name("data_centre", faults);
    let http_address = root.address("http_address", faults);
    let peer_address = root.address("peer_address", faults);
    let platform = platform(&mut root, faults);
    let seeds = seeds(&mut root, faults);
    let bootstrap_digest = root.digest("bootstrap_digest", faults);
    let fencing = root.choice("worker_fencing", Fencing::Epoch, &["epoch", "none"], faults);
    let leases = leases(&mut root, faults);
    let timeouts = timeouts(&mut root, faults);
    let limits = limits(&mut root, faults);
    let log = log(&mut root, faults);
    root.finish(faults);

    let mut settings = Settings {
        host,
        data_centre,
        http_address,
        peer_address,
        platform,
        seeds: Vec::new(),
        bootstrap_digest,
        fencing,
        leases,
        timeouts,
        limits,
        log,
    };
    check_addresses(&settings, &seeds, faults);
    let is_other = |seed: &Seed| seed.host != settings.host;
    settings.seeds = seeds.into_iter().flatten().filter(is_other).collect();
    check_leases(&settings, faults);
    check_timeouts(&settings, faults);
    Some(settings)
}

pub(super) fn platform(root: &mut Object, faults: &mut Faults) -> Platform {
    let Some(mut object) = root.section("platform", true, faults) else {
        return Platform { table: String::new(), objects: String::new(), list: String::new() };
    };
    let platform = Platform {
        table: object.url("table", faults),
        objects: object.url("objects", faults),
        list: object.url("list", faults),
    };
    object.finish(faults);
    platform
}

/// Reads the seeds. An unreadable entry is `None`, so that later faults have the correct index.
pub(super) fn seeds(root: &mut Object, faults: &mut Faults) -> Vec<Option<Seed>> {
    let path = root.path_of("seeds");
    let entries = match root.take("seeds") {
        None => return Vec::new(),
        Some(Value::Array(entries)) => entries,
        Some(other) => {
            faults.add(
                &path,
                describe_value(other),
                "an array of entry hosts",
                "List the other entry hosts.",
            );
            return Vec::new();
        }
    };
    let mut seeds = Vec::new();
    for (index, entry) in entries.iter().enumerate() {
        let Some(mut object) = Object::new(format!("{path}[{index}]"), entry, faults) else {
            seeds.push(None);
            continue;
        };
        seeds.push(Some(Seed {
            host: object.name("host", faults),
            data_centre: object.name("data_centre", faults),
            peer_address: object.address("peer_address", faults),
        }));
        object.finish(faults);
    }
    seeds
}

pub(super) fn leases(root: &mut Object, faults: &mut Faults) -> Leases {
    let defaults = control::Settings::new("", "");
    let mut object = root.section("leases", false, faults).unwrap_or_default();
    let leases = Leases {
        ownership: object.duration("ownership_lease_ms", defaults.ownership_lease, faults),
        task: object.duration("task_lease_ms", defaults.task_lease, faults),
        configuration: object.duration(
            "configuration_lease_ms",
            defaults.configuration_lease,
            faults,
        ),
    };
    object.finish(faults);
    leases
}

pub(super) fn timeouts(root: &mut Object, faults: &mut Faults) -> Timeouts {
    let defaults = control::Settings::new("", "");
    let mut object = root.section("timeouts", false, faults).unwrap_or_default();
    let timeouts = Timeouts {
        table: object.duration("table_timeout_ms", defaults.table_timeout, faults),
        worker: object.duration("worker_timeout_ms", defaults.worker_timeout, faults),
        sync_wait: object.duration("sync_wait_ms", defaults.sync_wait, faults),
        objects: object.duration("objects_timeout_ms", Duration::from_secs(10), faults),
        stop_bound: object.duration("stop_bound_ms", defaults.stop_bound, faults),
    };
    object.finish(faults);
    timeouts
}

pub(super) fn limits(root: &mut Object, faults: &mut Faults) -> Limits {
    let defaults = control::Settings::new("", "");
    let mut object = root.section("limits", false, faults).unwrap_or_default();
    let admission_queue = defaults.admission_queue_limit as u64;
    let limits = Limits {
        admission_queue: object.count("admission_queue", admission_queue, LIMIT_MAX, faults)
            as usize,
        open_requests: object.count("open_requests", 4096, LIMIT_MAX, faults) as usize,
    };
    object.finish(faults);
    limits
}

pub(super) fn log(root: &mut Object, faults: &mut Faults) -> Log {
    let mut object = root.section("log", false, faults).unwrap_or_default();
    let names = ["error", "warn", "info", "debug"];
    let level = object.choice("level", LevelName(Level::Info), &names, faults);
    let log = Log {
        level: level.0,
        repeat_limit: object.count("repeat_limit", 10, 10_000, faults) as u32,
        repeat_interval: object.duration("repeat_interval_ms", Duration::from_secs(10), faults),
    };
    object.finish(faults);
    log
}
