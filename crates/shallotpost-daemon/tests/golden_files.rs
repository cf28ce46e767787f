//! Guards against a version that cannot read a settings file of an earlier version or reads it differently, and against log
//! lines that the log readers of an earlier version cannot parse.

use std::path::Path;
use std::time::{Duration, UNIX_EPOCH};

use shallotpost_control::settings::{Fencing, Seed};
use shallotpost_daemon::fleet::settings as fleet;
use shallotpost_daemon::logs::format_line;
use shallotpost_daemon::settings::{
    Leases, Limits, Log as LogSettings, Platform, Settings, Timeouts, check, parse,
};
use shallotpost_protocol::port::{Level, Log};

const DIGEST: &str = "8a9aef524929f3da603e4b2d50edea8030557f8c0705ba57da807b87eeaece60";

fn seed(host: &str, data_centre: &str, peer_address: &str) -> Seed {
    Seed {
        host: host.to_owned(),
        data_centre: data_centre.to_owned(),
        peer_address: peer_address.to_owned(),
    }
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Settings with the defaults of all optional fields.
fn short() -> Settings {
    Settings {
        host: "kochi-1".to_owned(),
        data_centre: "kochi".to_owned(),
        http_address: "10.1.0.11:8180".to_owned(),
        peer_address: "10.1.0.11:8181".to_owned(),
        platform: Platform {
            table: "http://10.1.0.2:9000/table".to_owned(),
            objects: "http://10.1.0.2:9001/objects".to_owned(),
            list: "http://10.1.0.2:9002/list".to_owned(),
        },
        seeds: Vec::new(),
        bootstrap_digest: None,
        fencing: Fencing::Epoch,
        leases: Leases { ownership: millis(3000), task: millis(8000), configuration: millis(6000) },
        timeouts: Timeouts {
            table: millis(2000),
            worker: millis(2000),
            sync_wait: millis(1000),
            objects: millis(10_000),
            stop_bound: millis(30_000),
        },
        limits: Limits { admission_queue: 10_000, open_requests: 4096 },
        log: LogSettings { level: Level::Info, repeat_limit: 10, repeat_interval: millis(10_000) },
    }
}

#[test]
fn shipped_example() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/settings.json");
    let expected = Settings {
        http_address: "10.1.0.11:8080".to_owned(),
        peer_address: "10.1.0.11:8081".to_owned(),
        seeds: vec![
            seed("kochi-2", "kochi", "10.1.0.12:8081"),
            seed("kozhikode-1", "kozhikode", "10.2.0.11:8081"),
            seed("thrissur-1", "thrissur", "10.3.0.11:8081"),
        ],
        bootstrap_digest: Some(DIGEST.to_owned()),
        ..short()
    };
    assert_eq!(check(&path), Ok(expected));
}

/// Every key has a value other than its default.
#[test]
fn every_key() {
    let expected = Settings {
        platform: Platform { list: "http://10.1.0.2:9002".to_owned(), ..short().platform },
        seeds: vec![seed("thrissur-1", "thrissur", "10.3.0.11:8181")],
        bootstrap_digest: Some(DIGEST.to_owned()),
        fencing: Fencing::None,
        leases: Leases { ownership: millis(3100), task: millis(8200), configuration: millis(6300) },
        timeouts: Timeouts {
            table: millis(2010),
            worker: millis(2020),
            sync_wait: millis(1030),
            objects: millis(10_040),
            stop_bound: millis(30_050),
        },
        limits: Limits { admission_queue: 9000, open_requests: 4000 },
        log: LogSettings { level: Level::Debug, repeat_limit: 11, repeat_interval: millis(10_060) },
        ..short()
    };
    assert_eq!(parse(include_str!("golden/settings.json")), Ok(expected));
}

#[test]
fn optional_keys_left_out() {
    assert_eq!(parse(include_str!("golden/settings_short.json")), Ok(short()));
}

#[test]
fn choices() {
    let file = include_str!("golden/settings.json");
    let levels = [
        ("error", Level::Error),
        ("warn", Level::Warn),
        ("info", Level::Info),
        ("debug", Level::Debug),
    ];
    for (name, level) in levels {
        let text = file.replace("\"level\": \"debug\"", &format!("\"level\": \"{name}\""));
        assert_eq!(parse(&text).map(|settings| settings.log.level), Ok(level));
    }
    for (name, fencing) in [("epoch", Fencing::Epoch), ("none", Fencing::None)] {
        let text = file.replace("\"none\"", &format!("\"{name}\""));
        assert_eq!(parse(&text).map(|settings| settings.fencing), Ok(fencing));
    }
}

#[test]
fn fleet_settings() {
    let address = |text: &str| text.parse().expect("an address");
    let mut expected = fleet::Settings {
        host: "front-kochi-1".to_owned(),
        data_centre: "kochi".to_owned(),
        callers_address: address("10.1.0.5:8686"),
        readiness_address: address("10.1.0.5:8689"),
        peer_address: address("10.1.0.5:7180"),
        metrics_address: address("10.1.0.5:7195"),
        platform: fleet::Platform {
            store: address("10.200.1.7:8683"),
            approval: Some(address("10.200.1.9:8683")),
        },
        bounds: fleet::PlatformBounds {
            lease_max: millis(10_000),
            stop_timeout: millis(200),
            retention_seconds: 120,
            grace_seconds: 6,
        },
        freshness: fleet::FreshnessBounds::default(),
        processors: 0.25,
        log_lines_per_second: 200,
    };
    let file = include_str!("golden/fleet_settings.json");
    assert_eq!(fleet::parse(file).expect("accepted"), expected);
    let text = file.replace("\"approval\": \"10.200.1.9:8683\",", "");
    expected.platform.approval = None;
    assert_eq!(fleet::parse(&text).expect("accepted"), expected);
}

#[test]
fn log_lines() {
    let time = UNIX_EPOCH + millis(1_700_000_000_123);
    let log = |level, fields| Log { level, event: "worker_silent", fields };
    let fields = || vec![("worker", "w\"1\n\u{e9}".to_owned()), ("attempt", "2".to_owned())];
    let lines = [
        format_line(&log(Level::Error, fields()), 0, time),
        format_line(&log(Level::Warn, fields()), 7, time),
        format_line(&log(Level::Info, Vec::new()), 0, time),
        format_line(&log(Level::Debug, Vec::new()), 1, time),
    ];
    let text = format!("[\n{}\n]\n", lines.join(",\n"));
    assert_eq!(text, include_str!("golden/log_lines.json"));
}
