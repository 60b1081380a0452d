use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use uuid::{Uuid, Variant};

/// An idempotency key: a UUID of version 7 (RFC 9562).
///
/// Keys sort by their time first, which makes expiry a range at the front of
/// an ordered map.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "u128", into = "u128")]
pub struct Key(u128);

/// Why a string or number is not a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The string is not a UUID.
    #[error("the key is not a UUID; send a UUIDv7 such as 0190163d-8694-739b-aea5-966c26f8ad91")]
    NotUuid,
    /// The UUID has another version or variant.
    #[error("the key is a UUID of another version; send a UUIDv7 (RFC 9562)")]
    NotVersion7,
}

impl Key {
    /// Width of the random part below the 48-bit time.
    const TIME_SHIFT: u32 = 80;

    /// The key's time in milliseconds since the Unix epoch.
    pub fn time_ms(self) -> u64 {
        u64::try_from(self.0 >> Self::TIME_SHIFT).expect("the time of a UUIDv7 has 48 bits")
    }

    /// The smallest value that a key of the given time can have, for range
    /// bounds. It has no version bits and is not a key that a caller can send.
    pub(super) fn lower_bound(time_ms: u64) -> Self {
        Self(u128::from(time_ms.min((1 << 48) - 1)) << Self::TIME_SHIFT)
    }
}

impl TryFrom<u128> for Key {
    type Error = KeyError;

    fn try_from(value: u128) -> Result<Self, KeyError> {
        let uuid = Uuid::from_u128(value);
        if uuid.get_version_num() != 7 || uuid.get_variant() != Variant::RFC4122 {
            return Err(KeyError::NotVersion7);
        }
        Ok(Self(value))
    }
}

impl From<Key> for u128 {
    fn from(key: Key) -> u128 {
        key.0
    }
}

impl FromStr for Key {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let uuid = Uuid::parse_str(text).map_err(|_| KeyError::NotUuid)?;
        Self::try_from(uuid.as_u128())
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        Uuid::from_u128(self.0).fmt(f)
    }
}
