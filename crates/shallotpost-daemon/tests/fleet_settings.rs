//! Settings of a fleet's entry host: the template is accepted, and each fault is reported with its remedy.

use std::time::Duration;

use shallotpost_daemon::fleet::settings::parse;

const TEMPLATE: &str = include_str!("../../../deploy/settings.json.template");

/// Returns the template with the values that the platform fills in.
fn filled_template() -> String {
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
    values.iter().fold(TEMPLATE.to_owned(), |text, (name, value)| text.replace(name, value))
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
