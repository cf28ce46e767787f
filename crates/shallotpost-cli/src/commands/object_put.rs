//! `object put`: uploads a file to the object store.

use std::fs::File;
use std::io::{self, Read};

use sha2::{Digest, Sha256};
use shallotpost_protocol::work::Object;

use super::no_options;
use crate::command::{Command, Context};
use crate::error::Error;

/// Bytes per read, as in the object streams of the entry hosts.
const CHUNK_BYTES: usize = 64 << 10;

pub const COMMAND: Command = Command {
    name: "object put",
    arguments: "<team>/<name> <file>",
    summary: "upload a file, for example as the input of work",
    example: "shallotpost object put intake/day-17.csv day.csv --json > input.json",
    options: no_options,
    argument_counts: (2, 2),
    run,
};

fn run(context: &mut Context) -> Result<(), Error> {
    let name = context.work_id(0)?.to_string();
    let path = context.argument(1).to_owned();
    let file_error = |source| Error::File { path: path.clone(), source };
    let (length, digest) = length_and_digest(&path).map_err(file_error)?;
    let check = format!("shallotpost object get {name} --digest {digest} -");
    let url = format!("/v1/objects/{name}");
    context.client.upload(&url, length, &check, || Ok(File::open(&path)?.take(length)))?;
    let object = Object { name, length, digest };
    let text = format!("{}: {length} bytes, sha256 {}\n", object.name, object.digest);
    context.show(&object, &text)
}

/// Returns the length and the SHA-256 digest of a file.
fn length_and_digest(path: &str) -> io::Result<(u64, String)> {
    let mut file = File::open(path)?;
    let mut hasher = Sha256::new();
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut length = 0;
    loop {
        let count = file.read(&mut chunk)?;
        if count == 0 {
            break;
        }
        hasher.update(&chunk[..count]);
        length += count as u64;
    }
    Ok((length, hexadecimal(&hasher.finalize())))
}

/// Formats bytes as lower-case hexadecimal digits.
pub(super) fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
