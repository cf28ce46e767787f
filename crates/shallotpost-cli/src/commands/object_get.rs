//! `object get`: downloads an object.

use std::fs::{self, File};
use std::io::{self, Read, Write};

use getopts::Options;
use serde_json::json;
use sha2::{Digest, Sha256};

use super::object_put::hexadecimal;
use crate::command::{Command, Context};
use crate::error::Error;

/// Bytes per read, as in the object streams of the entry hosts.
const CHUNK_BYTES: usize = 64 << 10;

pub const COMMAND: Command = Command {
    name: "object get",
    arguments: "<team>/<name> <file>",
    summary: "download an object to a file, - for standard output",
    example: "shallotpost object get intake/day-17.result result.csv --digest <sha256>",
    options,
    argument_counts: (2, 2),
    run,
};

fn options(options: &mut Options) {
    options.optopt("", "digest", "fail unless the content has this SHA-256 digest", "SHA256");
}

fn run(context: &mut Context) -> Result<(), Error> {
    let name = context.work_id(0)?.to_string();
    let path = context.argument(1).to_owned();
    let expected = context.matches.opt_str("digest");
    let reader = context.client.download(&format!("/v1/objects/{name}"))?;
    if path == "-" {
        let copied = copy(reader, context.out(), expected.as_deref());
        return copied.map(|_| ()).map_err(|source| Error::File { path: name, source });
    }
    // The file is renamed when it is complete, so that a partial download is never taken for the whole object.
    let part = format!("{path}.part");
    let result = File::create(&part)
        .and_then(|mut file| copy(reader, &mut file, expected.as_deref()))
        .and_then(|copied| fs::rename(&part, &path).map(|()| copied));
    match result {
        Ok((length, digest)) => {
            let reply = json!({ "name": name, "length": length, "digest": digest });
            context.show(&reply, &format!("{path}: {length} bytes, sha256 {digest}\n"))
        }
        Err(source) => {
            let _ = fs::remove_file(&part);
            Err(Error::File { path, source })
        }
    }
}

/// Copies the content and returns its length and digest. Fails if the stream ends early or the digest is not `expected`.
fn copy(
    mut reader: Box<dyn Read>,
    target: &mut dyn Write,
    expected: Option<&str>,
) -> io::Result<(u64, String)> {
    let mut hasher = Sha256::new();
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut length = 0;
    loop {
        let count = reader.read(&mut chunk)?;
        if count == 0 {
            break;
        }
        hasher.update(&chunk[..count]);
        target.write_all(&chunk[..count])?;
        length += count as u64;
    }
    target.flush()?;
    let digest = hexadecimal(&hasher.finalize());
    match expected {
        Some(expected) if !expected.eq_ignore_ascii_case(&digest) => {
            let text = format!("the object has the digest {digest} instead of {expected}");
            Err(io::Error::new(io::ErrorKind::InvalidData, text))
        }
        _ => Ok((length, digest)),
    }
}
