//! Validated names that are cheap to clone.

use std::{borrow::Borrow, fmt, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};

use crate::NameError;

const NAME_MAX_BYTES: usize = 64;

fn check(name: &str) -> Result<(), NameError> {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'-' | b'_' | b'.');
    let valid = !name.is_empty() && name.len() <= NAME_MAX_BYTES && name.bytes().all(allowed);
    if valid { Ok(()) } else { Err(NameError { name: name.chars().take(NAME_MAX_BYTES).collect() }) }
}

macro_rules! names {
    ($($(#[$meta:meta])* $name:ident;)+) => {$(
        $(#[$meta])*
        ///
        /// Clones share the text. Names are ordered by their bytes.
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates a name.
            ///
            /// # Errors
            /// Fails if the text is not 1 to 64 of `a-z`, `0-9`, `-`, `_` and `.`.
            pub fn new(name: impl AsRef<str>) -> Result<Self, NameError> {
                check(name.as_ref())?;
                Ok(Self(Arc::from(name.as_ref())))
            }

            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl std::str::FromStr for $name {
            type Err = NameError;

            fn from_str(name: &str) -> Result<Self, NameError> {
                Self::new(name)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let name = String::deserialize(deserializer)?;
                Self::new(name).map_err(D::Error::custom)
            }
        }
    )+};
}

names! {
    /// The name of a service, as in its declaration.
    ServiceName;
    /// The name of a group of services that are queried together.
    GroupName;
    /// The name of a shard, unique within its service.
    ShardName;
    /// The name of a replica, unique within its service.
    ReplicaName;
    /// The name of a host.
    HostName;
    /// The name of a data centre.
    DataCentre;
    /// The name of a class of work.
    ClassName;
    /// The name of a block: services whose connections one relay owns together.
    BlockName;
}
