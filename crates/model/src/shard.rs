//! The qualified name of a shard.

use std::fmt;

use crate::{NameError, ServiceName, ShardName};

record! {
    /// Identifies a shard by its service and its name within the service.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    pub struct ShardId {
        /// The service that owns the shard.
        pub service: ServiceName,
        /// The shard's name within its service.
        pub shard: ShardName,
    }
}

impl ShardId {
    /// Validates both names and combines them.
    ///
    /// # Errors
    /// Fails if either name is not valid.
    pub fn new(service: impl AsRef<str>, shard: impl AsRef<str>) -> Result<Self, NameError> {
        Ok(Self { service: ServiceName::new(service)?, shard: ShardName::new(shard)? })
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.shard)
    }
}
