//! Keys and their secrets. No secret has a `Debug` or `Display` form.

use std::fs;
use std::io;

use rand::TryRngCore;
use rand::rngs::OsRng;
use shallotpost_protocol::key;

/// Length of a drawn secret in random bytes; it is written as hexadecimal digits.
const SECRET_BYTES: usize = 32;

/// The key that the tool presents.
#[derive(Clone)]
pub struct Key(String);

impl Key {
    /// A key of the form `<name>.<secret>`; surrounding white space is removed.
    pub fn parse(text: &str) -> Option<Key> {
        let text = text.trim();
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        (visible && key::split(text).is_some()).then(|| Key(text.to_owned()))
    }

    /// Reads a key from a file.
    ///
    /// # Errors
    ///
    /// The file cannot be read; `Ok(None)` where it holds no key.
    pub fn read(path: &str) -> io::Result<Option<Key>> {
        Ok(Key::parse(&fs::read_to_string(path)?))
    }

    /// Value of the `Authorization` header.
    pub fn header(&self) -> String {
        format!("Bearer {}", self.0)
    }
}

/// A drawn secret that has not been shown yet.
pub struct Secret(String);

impl Secret {
    /// Draws a secret from the random source of the operating system.
    ///
    /// # Errors
    ///
    /// The random source does not work.
    pub fn draw() -> io::Result<Secret> {
        random_digits(SECRET_BYTES).map(Secret)
    }

    /// Digest that is uploaded in its place.
    pub fn digest(&self) -> String {
        key::digest(self.0.as_bytes())
    }

    /// The key as it is shown once; the secret is gone afterwards.
    pub fn reveal(self, name: &str) -> String {
        format!("{name}.{}", self.0)
    }
}

/// Random hexadecimal digits from the random source of the operating system, two for each byte.
///
/// # Errors
///
/// The random source does not work.
pub fn random_digits(bytes: usize) -> io::Result<String> {
    let mut buffer = vec![0; bytes];
    OsRng.try_fill_bytes(&mut buffer).map_err(io::Error::other)?;
    Ok(buffer.iter().map(|byte| format!("{byte:02x}")).collect())
}
