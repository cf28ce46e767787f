//! Guards against a docs/interface.md that differs from the types: its examples must parse, and it must list every kind
//! of problem with status, remedy and exit code, and the defaults of policies.
#![allow(clippy::unwrap_used)]

use serde::de::DeserializeOwned;
use serde_json::Value;
use shallotpost_cli::error::problem_code;
use shallotpost_protocol::interface::Reply;
use shallotpost_protocol::problem::{Kind, Problem};
use shallotpost_protocol::resource::{Policy, Resource};
use shallotpost_protocol::work::Specification;

const PAGE: &str = include_str!("../../../docs/interface.md");

/// Returns the cells of the table row whose first cell is `first`, in the section with this heading.
fn table_row(heading: &str, first: &str) -> Vec<&'static str> {
    let start = format!("| `{first}` |");
    let section = PAGE.split(heading).nth(1).unwrap();
    let row = section.lines().find(|line| line.starts_with(&start));
    row.unwrap_or_else(|| panic!("no row for {first}")).split('|').map(str::trim).collect()
}

#[test]
fn every_example_is_a_value_of_the_interface() {
    fn parses<T: DeserializeOwned>(text: &str) -> bool {
        serde_json::from_str::<T>(text).is_ok()
    }
    let examples: Vec<&str> =
        PAGE.split("```json\n").skip(1).map(|part| part.split("```").next().unwrap()).collect();
    assert_eq!(examples.len(), 10);
    for example in examples {
        let known = parses::<Specification>(example)
            || parses::<Resource>(example)
            || parses::<Reply>(example)
            || parses::<Problem>(example);
        assert!(known, "{example}");
    }
}

#[test]
fn every_problem_kind_is_listed_with_status_remedy_and_exit_code() {
    let kinds = [
        Kind::Malformed,
        Kind::TooLarge,
        Kind::Unauthorized,
        Kind::Forbidden,
        Kind::NotFound,
        Kind::Conflict,
        Kind::IdReused,
        Kind::NeverRunnable,
        Kind::Expired,
        Kind::Overloaded,
        Kind::Unavailable,
        Kind::StaleConfiguration,
        Kind::Draining,
        Kind::RevisionTooOld,
        Kind::Unknown,
        Kind::TimedOut,
    ];
    for kind in kinds {
        let row = table_row("\n## 5. Problems", &kind.to_string());
        assert_eq!(row[2], kind.status().to_string(), "{kind}");
        assert_eq!(row[4], kind.remedy(), "{kind}");
        let code = format!("| {} |", problem_code(kind));
        let exit = PAGE.lines().find(|line| line.starts_with(&code)).unwrap();
        assert!(exit.contains(&format!("`{kind}`")), "{kind} not in {exit}");
    }
}

#[test]
fn policy_defaults_are_those_of_the_type() {
    let Value::Object(fields) = serde_json::to_value(Policy::default()).unwrap() else {
        panic!("an object");
    };
    for (field, value) in fields {
        assert_eq!(
            table_row("\n### 3.2 Resources", &field)[3].replace('`', ""),
            value.to_string(),
            "{field}"
        );
    }
}
