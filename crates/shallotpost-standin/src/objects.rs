//! In-memory object store.

use std::collections::BTreeMap;
use std::io::{self, Read};
use std::sync::Arc;

use shallotpost_protocol::key::digest;
use shallotpost_protocol::work::Object;

/// Bytes per read from the caller.
const CHUNK_BYTES: usize = 64 << 10;

#[derive(Clone, Debug)]
pub struct StoredObject {
    pub object: Object,
    pub content: Arc<Vec<u8>>,
}

/// Why an object was not stored.
#[derive(Debug, thiserror::Error)]
pub enum ReceiveError {
    #[error("the stream failed: {0}")]
    Stream(#[from] io::Error),
    #[error("received {actual} bytes instead of the declared {declared}")]
    Length { declared: u64, actual: u64 },
    #[error("the received content has the digest {actual}, not the declared one")]
    Digest { actual: String },
}

/// Objects by name.
#[derive(Clone, Debug, Default)]
pub struct Objects {
    objects: BTreeMap<String, StoredObject>,
}

impl Objects {
    pub fn get(&self, name: &str) -> Option<StoredObject> {
        self.objects.get(name).cloned()
    }

    /// Stores an object; one with the same name is replaced.
    pub fn put(&mut self, stored: StoredObject) {
        self.objects.insert(stored.object.name.clone(), stored);
    }
}

/// Reads an object to the end of `stream`, and checks its length and digest if they are declared.
///
/// # Errors
///
/// Returns an error if the stream fails, or if the length or the digest differs from the declared one.
pub fn receive(
    name: &str,
    stream: &mut dyn Read,
    declared_length: Option<u64>,
    declared_digest: Option<&str>,
) -> Result<StoredObject, ReceiveError> {
    let mut content = Vec::new();
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        match stream.read(&mut chunk)? {
            0 => break,
            length => content.extend_from_slice(&chunk[..length]),
        }
    }
    let actual = content.len() as u64;
    if let Some(declared) = declared_length.filter(|declared| *declared != actual) {
        return Err(ReceiveError::Length { declared, actual });
    }
    let digest = digest(&content);
    if declared_digest.is_some_and(|declared| declared != digest) {
        return Err(ReceiveError::Digest { actual: digest });
    }
    let object = Object { name: name.to_owned(), length: actual, digest };
    Ok(StoredObject { object, content: Arc::new(content) })
}
