//! Keys and their secrets. The types implement neither `Debug` nor `Display`, so that no secret ends up in a message.

use std::fs;
use std::io;

use rand::TryRngCore;
use rand::rngs::OsRng;
use shallotpost_protocol::key;

/// Random bytes of a generated secret, which is written as hexadecimal digits.
const SECRET_BYTES: usize = 32;

/// The key that the tool presents to entry hosts.
#[derive(Clone)]
pub struct Key(String);

impl Key {
    /// Parses a key of the form `<name>.<secret>`, ignoring surrounding white space. Returns `None` if the text has another
    /// form.
    pub fn parse(text: &str) -> Option<Key> {
        let text = text.trim();
        let printable = text.bytes().all(|byte| byte.is_ascii_graphic());
        (printable && key::split(text).is_some()).then(|| Key(text.to_owned()))
    }

    /// Reads a key from a file. Returns `Ok(None)` if the content is not a key.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read.
    pub fn read(path: &str) -> io::Result<Option<Key>> {
        Ok(Key::parse(&fs::read_to_string(path)?))
    }

    /// Returns the value of the `Authorization` header.
    pub fn header(&self) -> String {
        format!("Bearer {}", self.0)
    }
}

/// A generated secret that has not been shown yet.
pub struct Secret(String);

impl Secret {
    /// Generates a secret with the random number generator of the operating system.
    ///
    /// # Errors
    ///
    /// Returns an error if the random number generator fails.
    pub fn generate() -> io::Result<Secret> {
        random_hex(SECRET_BYTES).map(Secret)
    }

    /// Returns the digest that is uploaded instead of the secret.
    pub fn digest(&self) -> String {
        key::digest(self.0.as_bytes())
    }

    /// Returns the key `<name>.<secret>` and consumes the secret, so that it can be shown only once.
    pub fn into_key(self, name: &str) -> String {
        format!("{name}.{}", self.0)
    }
}

/// Returns random hexadecimal digits, two for each byte, from the random number generator of the operating system.
///
/// # Errors
///
/// Returns an error if the random number generator fails.
pub fn random_hex(bytes: usize) -> io::Result<String> {
    let mut buffer = vec![0; bytes];
    OsRng.try_fill_bytes(&mut buffer).map_err(io::Error::other)?;
    Ok(buffer.iter().map(|byte| format!("{byte:02x}")).collect())
}
