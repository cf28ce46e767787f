//! Reads fields of a JSON object and records faults with their JSON paths.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use serde_json::{Map, Value};
use shallotpost_protocol::identity::{NAME_LENGTH_MAX, is_name};
use shallotpost_protocol::port::Level;

use super::{DURATION_MAX, Fault};

/// Length of a SHA-256 digest, in hexadecimal digits.
const DIGEST_HEX_DIGITS: usize = 64;

#[derive(Default)]
pub(super) struct Faults(pub(super) Vec<Fault>);

impl Faults {
    pub(super) fn add(
        &mut self,
        path: &str,
        found: impl Into<String>,
        expected: &str,
        remedy: &str,
    ) {
        self.0.push(Fault {
            path: path.to_owned(),
            found: found.into(),
            expected: expected.to_owned(),
            remedy: remedy.to_owned(),
        });
    }
}

/// A JSON object whose fields are taken one by one. `finish` records a fault for each field that was not taken.
#[derive(Default)]
pub(super) struct Object<'a> {
    path: String,
    fields: Option<&'a Map<String, Value>>,
    taken: BTreeSet<&'static str>,
}

impl<'a> Object<'a> {
    pub(super) fn new(path: String, value: &'a Value, faults: &mut Faults) -> Option<Object<'a>> {
        match value {
            Value::Object(fields) => {
                Some(Object { path, fields: Some(fields), taken: BTreeSet::new() })
            }
            other => {
                faults.add(
                    &path,
                    describe_value(other),
                    "an object",
                    "Write its fields in braces.",
                );
                None
            }
        }
    }

    pub(super) fn path_of(&self, field: &str) -> String {
        format!("{}.{field}", self.path)
    }

    pub(super) fn take(&mut self, field: &'static str) -> Option<&'a Value> {
        self.taken.insert(field);
        self.fields.and_then(|fields| fields.get(field))
    }

    pub(super) fn section(
        &mut self,
        field: &'static str,
        required: bool,
        faults: &mut Faults,
    ) -> Option<Object<'a>> {
        let path = self.path_of(field);
        match self.take(field) {
            Some(value) => Object::new(path, value, faults),
            None if required => {
                faults.add(&path, "the field is missing", "an object", "Add it.");
                None
            }
            None => None,
        }
    }

    /// Takes a required string for which `is_valid` returns true. After a fault, the result is empty.
    pub(super) fn text(
        &mut self,
        field: &'static str,
        expected: &str,
        remedy: &str,
        is_valid: impl Fn(&str) -> bool,
        faults: &mut Faults,
    ) -> String {
        let path = self.path_of(field);
        match self.take(field) {
            Some(Value::String(text)) if is_valid(text) => return text.clone(),
            Some(other) => faults.add(&path, describe_value(other), expected, remedy),
            None => faults.add(&path, "the field is missing", expected, remedy),
        }
        String::new()
    }

    pub(super) fn name(&mut self, field: &'static str, faults: &mut Faults) -> String {
        let expected = format!(
            "1 to {NAME_LENGTH_MAX} letters, digits, '-', '_' or '.', not starting with a dot"
        );
        self.text(field, &expected, "Use the name that the deployment gives it.", is_name, faults)
    }

    pub(super) fn address(&mut self, field: &'static str, faults: &mut Faults) -> String {
        self.text(
            field,
            "<ip>:<port> that other hosts can connect to, with a port other than 0",
            "Write the IP address itself, for example 10.0.0.1:8080; names are not resolved.",
            is_address,
            faults,
        )
    }

    pub(super) fn url(&mut self, field: &'static str, faults: &mut Faults) -> String {
        let text = self.text(
            field,
            "http://<ip>:<port>, with an optional path",
            "Write the IP address itself, for example http://10.0.0.20:9000.",
            is_url,
            faults,
        );
        text.trim_end_matches('/').to_owned()
    }

    pub(super) fn digest(&mut self, field: &'static str, faults: &mut Faults) -> Option<String> {
        let path = self.path_of(field);
        let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        match self.take(field) {
            None | Some(Value::Null) => None,
            Some(Value::String(text))
                if text.len() == DIGEST_HEX_DIGITS && text.bytes().all(is_digit) =>
            {
                Some(text.clone())
            }
            Some(_) => {
                // The message does not contain the text, because an operator may have entered the secret itself.
                faults.add(
                    &path,
                    "the value is not a digest",
                    "64 lower-case hexadecimal digits, the SHA-256 digest of the secret",
                    "Compute it with `printf %s SECRET | sha256sum`; never write the secret here.",
                );
                None
            }
        }
    }

    pub(super) fn choice<T: FromStr>(
        &mut self,
        field: &'static str,
        default: T,
        names: &[&str],
        faults: &mut Faults,
    ) -> T {
        let path = self.path_of(field);
        let Some(value) = self.take(field) else { return default };
        match value.as_str().and_then(|text| text.parse().ok()) {
            Some(choice) => choice,
            None => {
                let expected = format!("one of {}", names.join(", "));
                faults.add(&path, describe_value(value), &expected, "Choose one of the names.");
                default
            }
        }
    }

    pub(super) fn duration(
        &mut self,
        field: &'static str,
        default: Duration,
        faults: &mut Faults,
    ) -> Duration {
        let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        let maximum = u64::try_from(DURATION_MAX.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(self.count(field, default, maximum, faults))
    }

    pub(super) fn count(
        &mut self,
        field: &'static str,
        default: u64,
        maximum: u64,
        faults: &mut Faults,
    ) -> u64 {
        let path = self.path_of(field);
        let Some(value) = self.take(field) else { return default };
        match value.as_u64() {
            Some(count) if (1..=maximum).contains(&count) => count,
            _ => {
                let expected = format!("a whole number from 1 to {maximum}");
                let remedy = if field.ends_with("_ms") {
                    "Give the duration in milliseconds."
                } else {
                    "Choose a number in the range."
                };
                faults.add(&path, describe_value(value), &expected, remedy);
                default
            }
        }
    }

    pub(super) fn finish(self, faults: &mut Faults) {
        let known = self.taken.iter().copied().collect::<Vec<_>>().join(", ");
        let unknown = |field: &&String| !self.taken.contains(field.as_str());
        for field in self.fields.into_iter().flat_map(Map::keys).filter(unknown) {
            faults.add(
                &format!("{}.{field}", self.path),
                "the field is not known",
                &format!("one of {known}"),
                "Correct the spelling or remove the field.",
            );
        }
    }
}

/// A [`Level`] that is parsed from its name.
pub(super) struct LevelName(pub(super) Level);

impl FromStr for LevelName {
    type Err = ();

    fn from_str(text: &str) -> Result<LevelName, ()> {
        match text {
            "error" => Ok(LevelName(Level::Error)),
            "warn" => Ok(LevelName(Level::Warn)),
            "info" => Ok(LevelName(Level::Info)),
            "debug" => Ok(LevelName(Level::Debug)),
            _ => Err(()),
        }
    }
}

pub(super) fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>()
        .is_ok_and(|address| address.port() != 0 && !address.ip().is_unspecified())
}

pub(super) fn is_url(text: &str) -> bool {
    let Some(rest) = text.strip_prefix("http://") else { return false };
    let (address, path) = rest.split_once('/').unwrap_or((rest, ""));
    is_address(address)
        && path.bytes().all(|byte| byte.is_ascii_graphic() && !b"?#".contains(&byte))
}

pub(super) fn format_milliseconds(duration: Duration) -> String {
    format!("{} ms", duration.as_millis())
}

/// Describes a value in a fault message. Long values are truncated to keep the message readable.
pub(super) fn describe_value(value: &Value) -> String {
    const LENGTH_MAX: usize = 60;
    let text = value.to_string();
    match text.char_indices().nth(LENGTH_MAX) {
        Some((end, _)) => format!("the value is {}...", &text[..end]),
        None => format!("the value is {text}"),
    }
}
