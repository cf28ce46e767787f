//! Keys of teams and operators.
//!
//! A key has the form `<name>.<secret>`. Only the SHA-256 digest of the secret is stored.

use std::fmt::Write;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Returns the hexadecimal SHA-256 digest of `bytes`.
pub fn digest(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().fold(String::with_capacity(64), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Splits a key at its last dot into name and secret. Returns `None` if either is missing or empty.
pub fn split(presented: &str) -> Option<(&str, &str)> {
    presented.rsplit_once('.').filter(|(name, secret)| !name.is_empty() && !secret.is_empty())
}

/// Returns whether `secret` has the stored digest. The digests are compared in constant time.
pub fn matches(secret: &str, stored_digest: &str) -> bool {
    digest(secret.as_bytes()).as_bytes().ct_eq(stored_digest.as_bytes()).into()
}
