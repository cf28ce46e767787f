//! Serializes a `Duration` as whole milliseconds, for `#[serde(with = "millis")]`.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer};

/// Writes whole milliseconds, saturating at `u64::MAX`.
///
/// # Errors
///
/// Returns the error of the serializer.
pub fn serialize<S: Serializer>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}

/// Reads whole milliseconds.
///
/// # Errors
///
/// Returns the error of the deserializer if the value is not an unsigned integer.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    u64::deserialize(deserializer).map(Duration::from_millis)
}

/// Serializes an `Option<Duration>`, for `#[serde(with = "millis::option")]`.
pub mod option {
    use super::{Deserialize, Deserializer, Duration, Serializer};

    /// Writes whole milliseconds, saturating at `u64::MAX`, or none.
    ///
    /// # Errors
    ///
    /// Returns the error of the serializer.
    pub fn serialize<S: Serializer>(
        duration: &Option<Duration>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        match duration {
            Some(duration) => {
                serializer.serialize_some(&u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
            }
            None => serializer.serialize_none(),
        }
    }

    /// Reads whole milliseconds, or none.
    ///
    /// # Errors
    ///
    /// Returns the error of the deserializer if the value is neither an unsigned integer nor none.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<Duration>, D::Error> {
        Ok(Option::<u64>::deserialize(deserializer)?.map(Duration::from_millis))
    }
}
