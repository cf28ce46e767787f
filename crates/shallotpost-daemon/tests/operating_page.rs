//! Guards against a docs/operating.md that lacks a setting, its default or a metric.

use std::collections::BTreeSet;

use serde_json::Value;

const PAGE: &str = include_str!("../../../docs/operating.md");
const EXAMPLE: &str = include_str!("../examples/settings.json");
const METRICS_TEST: &str = include_str!("metrics_text.rs");

/// Returns the paths and values of all fields. An array is a single field.
fn fields(prefix: &str, value: &Value) -> Vec<(String, Value)> {
    let Value::Object(object) = value else { return vec![(prefix.to_owned(), value.clone())] };
    let path =
        |name: &str| if prefix.is_empty() { name.into() } else { format!("{prefix}.{name}") };
    object.iter().flat_map(|(name, value)| fields(&path(name), value)).collect()
}

#[test]
fn every_setting_is_listed_with_its_default() {
    let example: Value = serde_json::from_str(EXAMPLE).expect("the example is JSON");
    for (path, value) in fields("", &example) {
        let name = if path == "seeds" { "seeds[]" } else { &path };
        let start = format!("| `{name}` |");
        let row = PAGE.lines().find(|line| line.starts_with(&start));
        let row = row.unwrap_or_else(|| panic!("no row for {path}"));
        let default = row.split('|').nth(3).map(|cell| cell.trim().replace('`', ""));
        // The example has the default values in its optional sections.
        if value.is_number() || path == "log.level" || path == "worker_fencing" {
            let text = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            assert_eq!(default, Some(text), "{path}");
        }
    }
}

/// The metrics test names every metric. The page must list exactly the same metrics.
#[test]
fn every_metric_is_listed() {
    let suffixes = ["_bucket", "_count", "_sum"];
    let tested: BTreeSet<&str> = METRICS_TEST
        .split("shallotpost_")
        .skip(1)
        .filter_map(|part| part.split(['{', ' ', '"', ':']).next())
        .filter(|name| !["daemon", "protocol"].contains(name))
        .map(|name| suffixes.iter().find_map(|end| name.strip_suffix(end)).unwrap_or(name))
        .collect();
    let section = PAGE.split("## 5. Metrics").nth(1).and_then(|rest| rest.split("\n## ").next());
    let listed: BTreeSet<&str> = section
        .unwrap_or_default()
        .lines()
        .filter(|line| line.starts_with("| `"))
        .filter_map(|line| line.split('|').nth(1))
        .flat_map(|cell| cell.split('`').skip(1).step_by(2))
        .collect();
    assert_eq!(listed, tested);
}
