//! The body of a response while it is read.

use std::{any::Any, sync::Arc};

use bytes::{Bytes, BytesMut};

use crate::MemoryReserve;

/// The least memory that is reserved for a body, in bytes; most responses need no more.
const RESERVED_BYTES_MIN: usize = 4 << 10;
/// While the buffer grows, the old and the new one are held; later, the body and what is decoded from it.
const COPIES: usize = 2;

/// Why bytes cannot be added to a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyFull {
    /// The body is over its limit.
    TooLarge,
    /// There is no memory for it now.
    NoMemory,
}

/// The body of a response, whose memory is reserved as it arrives and stays so until the bytes are dropped.
pub(crate) struct ResponseBody {
    bytes: BytesMut,
    bytes_max: usize,
    memory: Option<Arc<dyn MemoryReserve>>,
    /// For how many bytes of the body memory is reserved.
    reserved_for: usize,
    reserved: Vec<Box<dyn Any + Send>>,
}

impl ResponseBody {
    pub(crate) fn new(bytes_max: usize, memory: Option<Arc<dyn MemoryReserve>>) -> Self {
        Self { bytes: BytesMut::new(), bytes_max, memory, reserved_for: 0, reserved: Vec::new() }
    }

    /// Adds bytes that arrived.
    ///
    /// # Errors
    /// Fails without adding any if the body becomes too large or there is no memory.
    pub(crate) fn add(&mut self, data: &[u8]) -> Result<(), BodyFull> {
        let length = self.bytes.len() + data.len();
        if length > self.bytes_max {
            return Err(BodyFull::TooLarge);
        }
        if let Some(memory) = &self.memory
            && length > self.reserved_for
        {
            let wanted = length.max(2 * self.reserved_for).max(RESERVED_BYTES_MIN);
            let more = COPIES * (wanted - self.reserved_for);
            self.reserved.push(memory.reserve(more).ok_or(BodyFull::NoMemory)?);
            self.reserved_for = wanted;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Returns the bytes.
    pub(crate) fn freeze(self) -> Bytes {
        if self.reserved.is_empty() {
            return self.bytes.freeze();
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for ResponseBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
