//! The memory that a client may use for the responses it reads.

use std::{any::Any, fmt::Debug};

/// Bounds the memory of the responses that a client reads, together with what else the process holds.
pub trait MemoryReserve: Debug + Send + Sync + 'static {
    /// Reserves memory until the returned value is dropped; `None` if there is none.
    fn reserve(&self, bytes: usize) -> Option<Box<dyn Any + Send>>;
}
