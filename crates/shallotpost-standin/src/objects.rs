//! In-memory object store.

use std::collections::BTreeMap;
use std::io::{self, Read};
use std::sync::Arc;

use shallotpost_protocol::key::digest;
use shallotpost_protocol::work::Object;

/// Bytes read from a caller at once.
const CHUNK: usize = 64 << 10;

/// A stored object.
#[derive(Clone, Debug)]
pub struct Stored {
    /// Name, length and digest.
    pub object: Object,
    /// Content.
    pub content: Arc<Vec<u8>>,
}

/// Why an object was not stored.
#[derive(Debug, thiserror::Error)]
pub enum Refusal {
    /// The stream broke.
    #[error("the stream broke: {0}")]
    Broken(#[from] io::Error),
    /// The stream ended early.
    #[error("{actual} of {declared} bytes came")]
    Short {
        /// Declared length.
        declared: u64,
        /// Received length.
        actual: u64,
    },
    /// The content does not have the declared digest.
    #[error("the digest is {actual}")]
    Digest {
        /// Digest of the received content.
        actual: String,
    },
}

/// Objects by name.
#[derive(Clone, Debug, Default)]
pub struct Objects {
    objects: BTreeMap<String, Stored>,
}

impl Objects {
    /// The object with this name.
    pub fn get(&self, name: &str) -> Option<Stored> {
        self.objects.get(name).cloned()
    }

    /// Stores a received object.
    pub fn put(&mut self, stored: Stored) {
        self.objects.insert(stored.object.name.clone(), stored);
    }
}

/// Reads a stream in chunks, and checks its length and digest where they are declared.
pub fn receive(
    name: &str,
    stream: &mut dyn Read,
    declared_length: Option<u64>,
    declared_digest: Option<&str>,
) -> Result<Stored, Refusal> {
    let mut content = Vec::new();
    let mut chunk = vec![0; CHUNK];
    loop {
        match stream.read(&mut chunk)? {
            0 => break,
            length => content.extend_from_slice(&chunk[..length]),
        }
    }
    let actual = content.len() as u64;
    if let Some(declared) = declared_length.filter(|declared| *declared != actual) {
        return Err(Refusal::Short { declared, actual });
    }
    let digest = digest(&content);
    if declared_digest.is_some_and(|declared| declared != digest) {
        return Err(Refusal::Digest { actual: digest });
    }
    let object = Object { name: name.to_owned(), length: actual, digest };
    Ok(Stored { object, content: Arc::new(content) })
}
