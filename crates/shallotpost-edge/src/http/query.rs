//! Paths and query parameters.

use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

use shallotpost_protocol::interface::{PAGE_LIMIT_MAX, WAIT_MAX};
use shallotpost_protocol::problem::{Kind, Problem};

/// Entries of a page where the caller names no limit.
pub const PAGE_LIMIT_DEFAULT: usize = 100;

/// Wait where the caller names none.
pub const WAIT_DEFAULT: Duration = Duration::from_secs(30);

/// Query parameters that were not yet taken. All must be taken: an unknown one is an error.
pub struct Query {
    parameters: BTreeMap<String, String>,
}

impl Query {
    /// Parses the part of the URL after `?`.
    pub fn parse(text: &str) -> Result<Query, Problem> {
        let mut parameters = BTreeMap::new();
        for pair in text.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let name = decode(name)?;
            if parameters.insert(name.clone(), decode(value)?).is_some() {
                return Err(malformed(format!("query parameter {name:?} is given twice")));
            }
        }
        Ok(Query { parameters })
    }

    /// Takes a text; empty where it is missing.
    pub fn text(&mut self, name: &str) -> String {
        self.parameters.remove(name).unwrap_or_default()
    }

    /// Takes and parses a value.
    pub fn value<T: FromStr>(&mut self, name: &str) -> Result<Option<T>, Problem> {
        let Some(text) = self.parameters.remove(name) else { return Ok(None) };
        let parsed = text.parse().ok();
        match parsed {
            Some(value) => Ok(Some(value)),
            None => Err(malformed(format!("query parameter {name:?} cannot be {text:?}"))),
        }
    }

    /// Takes `limit`.
    pub fn limit(&mut self) -> Result<usize, Problem> {
        match self.value("limit")?.unwrap_or(PAGE_LIMIT_DEFAULT) {
            limit @ 1..=PAGE_LIMIT_MAX => Ok(limit),
            limit => Err(malformed(format!("limit {limit} is not from 1 to {PAGE_LIMIT_MAX}"))),
        }
    }

    /// Takes `wait_ms`.
    pub fn wait(&mut self) -> Result<Duration, Problem> {
        let wait = self.value("wait_ms")?.map_or(WAIT_DEFAULT, Duration::from_millis);
        match wait <= WAIT_MAX {
            true => Ok(wait),
            false => Err(malformed(format!("wait_ms is longer than {} ms", WAIT_MAX.as_millis()))),
        }
    }

    /// Fails where a parameter is left.
    pub fn finish(self) -> Result<(), Problem> {
        match self.parameters.into_keys().next() {
            Some(name) => Err(malformed(format!("query parameter {name:?} is unknown"))),
            None => Ok(()),
        }
    }
}

/// Decoded segments of a path.
pub fn segments(path: &str) -> Result<Vec<String>, Problem> {
    path.trim_start_matches('/').split('/').map(decode).collect()
}

/// Decodes percent escapes.
pub fn decode(text: &str) -> Result<String, Problem> {
    let invalid = || malformed(format!("{text:?} has an invalid percent escape"));
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        if *first != b'%' {
            bytes.push(*first);
            rest = tail;
            continue;
        }
        let digits = tail.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
        let hexadecimal = digits.filter(|text| text.bytes().all(|byte| byte.is_ascii_hexdigit()));
        let byte = hexadecimal.and_then(|text| u8::from_str_radix(text, 16).ok());
        bytes.push(byte.ok_or_else(invalid)?);
        rest = &tail[2..];
    }
    String::from_utf8(bytes).map_err(|_| invalid())
}

/// A problem of the caller's making.
pub fn malformed(message: impl Into<String>) -> Problem {
    Problem::new(Kind::Malformed, message)
}
