//! Keys of teams and operators.
//!
//! A key reads `<name>.<secret>`. Only the SHA-256 digest of the secret is stored.

use std::fmt::Write;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Hexadecimal SHA-256 digest of `bytes`.
pub fn digest(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().fold(String::with_capacity(64), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Splits a presented key into its name and its secret.
pub fn split(presented: &str) -> Option<(&str, &str)> {
    presented.rsplit_once('.').filter(|(name, secret)| !name.is_empty() && !secret.is_empty())
}

/// Compares the digest of `secret` with the stored one in constant time.
pub fn matches(secret: &str, stored_digest: &str) -> bool {
    digest(secret.as_bytes()).as_bytes().ct_eq(stored_digest.as_bytes()).into()
}
