//! The hash that identifies a published value by its content.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};

const HASH_BYTES: usize = 16;

/// A content hash: the first 128 bits of BLAKE3.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ContentHash([u8; HASH_BYTES]);

impl ContentHash {
    /// Hashes the content of a value.
    #[must_use]
    pub fn of(bytes: impl AsRef<[u8]>) -> Self {
        let full = blake3::hash(bytes.as_ref());
        let mut truncated = [0; HASH_BYTES];
        truncated.copy_from_slice(&full.as_bytes()[..HASH_BYTES]);
        Self(truncated)
    }
}

impl fmt::Display for ContentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for ContentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl Serialize for ContentHash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ContentHash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let number = u128::from_str_radix(&text, 16).map_err(D::Error::custom)?;
        Ok(Self(number.to_be_bytes()))
    }
}
