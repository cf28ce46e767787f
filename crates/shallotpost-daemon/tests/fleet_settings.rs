//! Settings of a fleet's entry host: the template is accepted, and each fault is reported with its remedy.

use std::time::Duration;

use shallotpost_daemon::fleet::settings::parse;
use shallotpost_fleet::host::Freshness;

const TEMPLATE: &str = include_str!("../../../deploy/settings.json.template");

const SETTINGS_BOUND: &str =
    "{{#bounds.config_apply_ms}}\"settings_ms\": {{.}},{{/bounds.config_apply_ms}}";

const CANCELLATIONS_BOUND: &str =
    "{{#bounds.cancel_ms}}\"cancellations_ms\": {{.}},{{/bounds.cancel_ms}}";

const DRAINS_BOUND: &str = "{{bounds.drain_ms}}{{^bounds.drain_ms}}2000{{/bounds.drain_ms}}";

/// Returns the template with the values that the platform fills in.
fn filled_template() -> String {
    let bounds = [
        (SETTINGS_BOUND, "\"settings_ms\": 4000,"),
        (CANCELLATIONS_BOUND, "\"cancellations_ms\": 5000,"),
        (DRAINS_BOUND, "4500"),
    ];
    fill(bounds)
}

/// Returns the template with these values for the optional bounds.
fn fill(bounds: [(&str, &str); 3]) -> String {
    let template = bounds.iter().fold(TEMPLATE.to_owned(), |text, (name, value)| {
        assert!(text.contains(name), "{name}");
        text.replace(name, value)
    });
    let values = [
        ("{{node|json}}", "\"front-kochi-1\""),
        ("{{zone|json}}", "\"kochi\""),
        ("{{listen.front|json}}", "\"10.1.0.5:8686\""),
        ("{{listen.ready|json}}", "\"10.1.0.5:8689\""),
        ("{{ip}}", "10.1.0.5"),
        ("{{internal_ports.0}}", "7180"),
        ("{{internal_ports.1}}", "7195"),
        ("{{limits.cpu_share}}", "0.25"),
        ("{{#advice}}", ""),
        ("{{/advice}}", ""),
        ("{{.}}", "10.200.1.9:8683"),
        ("{{platform.address|json}}", "\"10.200.1.7:8683\""),
        ("{{bounds.max_hold_ms}}", "10000"),
        ("{{bounds.stop_timeout_ms}}", "200"),
        ("{{bounds.status_s}}", "120"),
        ("{{bounds.grace_s}}", "6"),
    ];
    values.iter().fold(template, |text, (name, value)| text.replace(name, value))
}

/// Guards against a template that the daemon rejects.
#[test]
fn template() {
    let settings = parse(&filled_template()).expect("the template is accepted");
    assert_eq!(settings.host, "front-kochi-1");
    assert_eq!(settings.peer_address.port(), 7180);
    assert!(settings.platform.approval.is_some());
    assert_eq!(settings.bounds.bounds().lease_max, Duration::from_secs(6), "leases are bounded");
}

/// Guards against bounds that do not reach the host, and against a platform that names none.
#[test]
fn freshness() {
    let bounds = parse(&filled_template()).expect("accepted").freshness.freshness();
    let times = [bounds.settings, bounds.cancellations, bounds.drains];
    assert_eq!(times, [4000, 5000, 4500].map(Duration::from_millis));
    let text = fill([(SETTINGS_BOUND, ""), (CANCELLATIONS_BOUND, ""), (DRAINS_BOUND, "2000")]);
    let bounds = parse(&text).expect("accepted").freshness.freshness();
    assert_eq!(bounds, Freshness::default());
}

/// The approval service is optional.
#[test]
fn no_approval() {
    let text = filled_template().replace("\"approval\": \"10.200.1.9:8683\",", "");
    let settings = parse(&text).expect("the field is optional");
    assert_eq!(settings.platform.approval, None);
}

/// Each fault is reported with its remedy, and several faults are reported at once.
#[test]
fn faults() {
    let cases = [
        ("\"front-kochi-1\"", "\"\"", "Give each host a name"),
        ("10.1.0.5:7195", "10.1.0.5:7180", "a port of its own"),
        ("\"hold_max_ms\": 10000", "\"hold_max_ms\": 100", "Use the platform's figure"),
        ("\"settings_ms\": 4000", "\"settings_ms\": 900", "Use the platform's figure"),
        ("\"drains_ms\": 4500", "\"drains_ms\": 0", "freshness.drains_ms is below 1000 ms"),
        ("\"processors\": 0.25", "\"processors\": 0", "Use the share of a core"),
        ("\"log_lines_per_second\": 200", "\"log_lines_per_second\": 0", "Use 1 or more"),
        ("\"host\"", "\"hots\"", "settings.json.template"),
        ("\"10.200.1.7:8683\"", "\"store.example\"", "settings.json.template"),
        ("{", "", "settings.json.template"),
    ];
    for (from, to, remedy) in cases {
        let text = filled_template().replacen(from, to, 1);
        let faults = parse(&text).expect_err("a fault").to_string();
        assert!(faults.contains(remedy), "{from}: {faults}");
    }
    let text = filled_template().replace("\"front-kochi-1\"", "\"\"").replace("7195", "7180");
    assert_eq!(parse(&text).expect_err("two faults").to_string().lines().count(), 2);
}
