//! Golden files of the settings of a fleet's entry host. Guards against a version that cannot read a settings file of an
//! earlier version, or interprets a key differently.

use std::net::SocketAddr;
use std::time::Duration;

use shallotpost_daemon::fleet::settings::{
    FreshnessBounds, Platform, PlatformBounds, Settings, parse,
};

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

fn settings(approval: Option<SocketAddr>) -> Settings {
    Settings {
        host: "front-kochi-1".to_owned(),
        data_centre: "kochi".to_owned(),
        callers_address: address("10.1.0.5:8686"),
        readiness_address: address("10.1.0.5:8689"),
        peer_address: address("10.1.0.5:7180"),
        metrics_address: address("10.1.0.5:7195"),
        platform: Platform { store: address("10.200.1.7:8683"), approval },
        bounds: PlatformBounds {
            lease_max: Duration::from_secs(10),
            stop_timeout: Duration::from_millis(200),
            retention_seconds: 120,
            grace_seconds: 6,
        },
        freshness: FreshnessBounds::default(),
        processors: 0.25,
        log_lines_per_second: 200,
    }
}

/// Settings are only read, never written, so the decoded value is compared.
#[test]
fn fleet_settings() {
    let full = parse(include_str!("golden/fleet_settings.json")).expect("it is accepted");
    assert_eq!(full, settings(Some(address("10.200.1.9:8683"))));
    let short = parse(include_str!("golden/fleet_settings_without_approval.json"))
        .expect("the approval service is optional");
    assert_eq!(short, settings(None));
}
