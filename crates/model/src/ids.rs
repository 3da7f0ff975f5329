//! Identifiers and the text forms in which callers and operators see them.

use std::{fmt, str::FromStr};

use derive_more::Display;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};

use crate::ParseIdError;

macro_rules! hex_ids {
    ($($(#[$meta:meta])* $name:ident($int:ty, $format:literal);)+) => {$(
        $(#[$meta])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $int);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, $format, self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, $format, self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                <$int>::from_str_radix(text, 16)
                    .map(Self)
                    .map_err(|_| ParseIdError { text: text.chars().take(64).collect() })
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                String::deserialize(deserializer)?.parse().map_err(D::Error::custom)
            }
        }
    )+};
}

hex_ids! {
    /// Identifies one query across all processes.
    QueryId(u128, "{:032x}");
    /// Identifies one run of a process; drawn at random when the process starts.
    Incarnation(u64, "{:016x}");
    /// A hash of a request's content, equal for equal requests.
    Fingerprint(u64, "{:016x}");
}

impl Fingerprint {
    /// Hashes the parts of a request that determine what a target does with it.
    #[must_use]
    pub fn of(class: &str, body: &str) -> Self {
        let seed = xxhash_rust::xxh3::xxh3_64(class.as_bytes());
        Self(xxhash_rust::xxh3::xxh3_64_with_seed(body.as_bytes(), seed))
    }
}

macro_rules! numeric_ids {
    ($($(#[$meta:meta])* $name:ident;)+) => {$(
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);
    )+};
}

numeric_ids! {
    /// Identifies one version of the index; a greater one is newer.
    SnapshotId;
    /// Identifies one assignment of shards to replicas.
    PlacementId;
    /// Identifies one version of the collected configuration; a greater one is newer.
    Version;
}
