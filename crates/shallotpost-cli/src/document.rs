//! Reads input files: resource documents for `apply` and specifications for `submit`.
//!
//! A resource document is one JSON object or an array of them:
//!
//! ```json
//! {"kind": "team", "name": "intake", "resource": {"share": 3}, "revision": 12}
//! ```
//!
//! `revision` is optional and makes the change conditional. The output of `get --json` is accepted too: it has no `kind`,
//! and its resource is `{"team": {"share": 3}}`.

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
    pub name: String,
    pub resource: Resource,
    /// Revision that the resource must have before the change; `None` accepts any.
    pub revision: Option<Revision>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawDocument {
    kind: Option<String>,
    name: String,
    resource: Value,
    revision: Option<Revision>,
}

/// Reads a text file; the path `-` stands for standard input.
///
/// # Errors
///
/// Returns an error if the file cannot be read.
pub fn read(path: &str) -> Result<String, Error> {
    let text = match path {
        "-" => io::read_to_string(io::stdin().lock().by_ref()),
        path => fs::read_to_string(path),
    };
    text.map_err(|source| Error::File { path: path.to_owned(), source })
}

/// Parses resource documents. The path is only used in error messages.
///
/// # Errors
///
/// Returns one error that lists every invalid document.
pub fn resources(path: &str, text: &str) -> Result<Vec<Document>, Error> {
    let invalid = |faults| Error::Document { path: path.to_owned(), faults };
    let values = match serde_json::from_str(text) {
        Ok(Value::Array(values)) => values,
        Ok(value) => vec![value],
        Err(error) => return Err(invalid(vec![format!("not JSON ({error})")])),
    };
    let (mut documents, mut faults) = (Vec::new(), Vec::new());
    for (index, value) in values.into_iter().enumerate() {
        match resource(value) {
            Ok(document) => documents.push(document),
            Err(text) => faults.push(format!("$[{index}]: {text}")),
        }
    }
    if faults.is_empty() { Ok(documents) } else { Err(invalid(faults)) }
}

fn resource(value: Value) -> Result<Document, String> {
    let raw: RawDocument = serde_json::from_value(value).map_err(|error| error.to_string())?;
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

/// Returns the error message for a kind that does not exist.
pub fn unknown_kind(kind: &str) -> String {
    format!("{kind:?} is not a kind; the kinds are team, key, data_centre, queue and policy")
}

/// Parses a specification. The path is only used in error messages.
///
/// # Errors
///
/// Returns an error if the text is not a valid specification.
pub fn specification(path: &str, text: &str) -> Result<Specification, Error> {
    serde_json::from_str(text)
        .map_err(|error| Error::Document { path: path.to_owned(), faults: vec![error.to_string()] })
}
