//! Input files: resources for `apply` and specifications for `submit`.
//!
//! A resource document is one JSON object or an array of them:
//!
//! ```json
//! {"kind": "team", "name": "intake", "resource": {"share": 3}, "revision": 12}
//! ```
//!
//! `revision` is optional and makes the change conditional. The form that `get --json` prints is accepted too: it has no
//! `kind`, and its resource is `{"team": {"share": 3}}`.

use std::fs;
use std::io::{self, Read};

use serde::Deserialize;
use serde_json::{Value, json};
use shallotpost_protocol::identity::{Revision, is_name};
use shallotpost_protocol::resource::{Kind, Resource};
use shallotpost_protocol::work::Specification;

use crate::error::Error;

/// A resource to apply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// Its name.
    pub name: String,
    /// Its content.
    pub resource: Resource,
    /// Revision that it must have; `None` for any.
    pub revision: Option<Revision>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    kind: Option<String>,
    name: String,
    resource: Value,
    revision: Option<Revision>,
}

/// Reads a text; `-` is standard input.
///
/// # Errors
///
/// The file cannot be read.
pub fn read(path: &str) -> Result<String, Error> {
    let text = match path {
        "-" => io::read_to_string(io::stdin().lock().by_ref()),
        path => fs::read_to_string(path),
    };
    text.map_err(|source| Error::File { path: path.to_owned(), source })
}

/// Parses resource documents. The path is for messages only.
///
/// # Errors
///
/// Every fault of every document.
pub fn resources(path: &str, text: &str) -> Result<Vec<Document>, Error> {
    let fault = |faults| Error::Document { path: path.to_owned(), faults };
    let values = match serde_json::from_str(text) {
        Ok(Value::Array(values)) => values,
        Ok(value) => vec![value],
        Err(error) => return Err(fault(vec![format!("not JSON ({error})")])),
    };
    let (mut documents, mut faults) = (Vec::new(), Vec::new());
    for (index, value) in values.into_iter().enumerate() {
        match resource(value) {
            Ok(document) => documents.push(document),
            Err(text) => faults.push(format!("$[{index}]: {text}")),
        }
    }
    if faults.is_empty() { Ok(documents) } else { Err(fault(faults)) }
}

fn resource(value: Value) -> Result<Document, String> {
    let raw: Raw = serde_json::from_value(value).map_err(|error| error.to_string())?;
    if !is_name(&raw.name) {
        return Err(format!("{:?} is not a name", raw.name));
    }
    let content = match &raw.kind {
        Some(kind) => {
            kind.parse::<Kind>().map_err(|_| unknown_kind(kind))?;
            json!({ kind: raw.resource })
        }
        None => raw.resource,
    };
    let resource = serde_json::from_value(content)
        .map_err(|error| format!("resource of {}: {error}", raw.name))?;
    Ok(Document { name: raw.name, resource, revision: raw.revision })
}

/// Message for a kind that does not exist.
pub fn unknown_kind(kind: &str) -> String {
    format!("{kind:?} is not a kind; the kinds are team, key, data_centre, queue and policy")
}

/// Parses a specification. The path is for messages only.
///
/// # Errors
///
/// The fault.
pub fn specification(path: &str, text: &str) -> Result<Specification, Error> {
    serde_json::from_str(text)
        .map_err(|error| Error::Document { path: path.to_owned(), faults: vec![error.to_string()] })
}
