//! Paths and query parameters.

use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

use shallotpost_protocol::interface::{PAGE_LIMIT_MAX, WAIT_MAX};
use shallotpost_protocol::problem::{Kind, Problem};

/// Number of entries in a page if the request has no `limit`.
pub const PAGE_LIMIT_DEFAULT: usize = 100;

/// Wait if the request has no `wait_ms`.
pub const WAIT_DEFAULT: Duration = Duration::from_secs(30);

/// Query parameters that have not been taken yet. All must be taken, because an unknown parameter is an error.
pub struct Query {
    parameters: BTreeMap<String, String>,
}

impl Query {
    /// Parses the part of the URL after `?`.
    ///
    /// # Errors
    ///
    /// Fails if a percent escape is invalid or a parameter is repeated.
    pub fn parse(text: &str) -> Result<Query, Problem> {
        let mut parameters = BTreeMap::new();
        for pair in text.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let name = decode(name)?;
            if parameters.insert(name.clone(), decode(value)?).is_some() {
                return Err(malformed(format!("query parameter {name:?} is repeated")));
            }
        }
        Ok(Query { parameters })
    }

    /// Takes a text parameter; empty if it is missing.
    pub fn text(&mut self, name: &str) -> String {
        self.parameters.remove(name).unwrap_or_default()
    }

    /// Takes and parses a parameter; `None` if it is missing.
    ///
    /// # Errors
    ///
    /// Fails if the value cannot be parsed.
    pub fn value<T: FromStr>(&mut self, name: &str) -> Result<Option<T>, Problem> {
        let Some(text) = self.parameters.remove(name) else { return Ok(None) };
        let parsed = text.parse().ok();
        match parsed {
            Some(value) => Ok(Some(value)),
            None => {
                Err(malformed(format!("query parameter {name:?} has the invalid value {text:?}")))
            }
        }
    }

    /// Takes `limit`, by default [`PAGE_LIMIT_DEFAULT`].
    ///
    /// # Errors
    ///
    /// Fails if the value is not from 1 to [`PAGE_LIMIT_MAX`].
    pub fn limit(&mut self) -> Result<usize, Problem> {
        match self.value("limit")?.unwrap_or(PAGE_LIMIT_DEFAULT) {
            limit @ 1..=PAGE_LIMIT_MAX => Ok(limit),
            limit => Err(malformed(format!("limit {limit} is not between 1 and {PAGE_LIMIT_MAX}"))),
        }
    }

    /// Takes `wait_ms`, by default [`WAIT_DEFAULT`].
    ///
    /// # Errors
    ///
    /// Fails if the value is not a number or exceeds [`WAIT_MAX`].
    pub fn wait(&mut self) -> Result<Duration, Problem> {
        let wait = self.value("wait_ms")?.map_or(WAIT_DEFAULT, Duration::from_millis);
        match wait <= WAIT_MAX {
            true => Ok(wait),
            false => Err(malformed(format!("wait_ms is longer than {} ms", WAIT_MAX.as_millis()))),
        }
    }

    /// Checks that all parameters were taken.
    ///
    /// # Errors
    ///
    /// Fails if a parameter is left.
    pub fn finish(self) -> Result<(), Problem> {
        match self.parameters.into_keys().next() {
            Some(name) => Err(malformed(format!("query parameter {name:?} is unknown"))),
            None => Ok(()),
        }
    }
}

/// Returns the decoded segments of a path.
///
/// # Errors
///
/// Fails if a percent escape is invalid.
pub fn segments(path: &str) -> Result<Vec<String>, Problem> {
    path.trim_start_matches('/').split('/').map(decode).collect()
}

/// Decodes percent escapes.
///
/// # Errors
///
/// Fails if an escape is invalid or the result is not UTF-8.
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

pub fn malformed(message: impl Into<String>) -> Problem {
    Problem::new(Kind::Malformed, message)
}
