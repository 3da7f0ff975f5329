//! A shard's full name.

use std::fmt;

use crate::{NameError, ServiceName, ShardName};

record! {
    /// A shard, named by its service and its name there.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    pub struct ShardId {
        /// The service that owns the shard.
        pub service: ServiceName,
        /// The shard's name in its service.
        pub shard: ShardName,
    }
}

impl ShardId {
    /// Checks both names and joins them.
    ///
    /// # Errors
    /// Fails where either name is not valid.
    pub fn new(service: impl AsRef<str>, shard: impl AsRef<str>) -> Result<Self, NameError> {
        Ok(Self { service: ServiceName::new(service)?, shard: ShardName::new(shard)? })
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.shard)
    }
}
