//! A buffer whose memory is charged as it grows.

use bytes::Bytes;

use crate::memory_account::{Charge, MemoryUse};

/// The smallest capacity of a buffer, in bytes.
const CAPACITY_MIN: usize = 512;

/// Bytes whose memory is charged until they are dropped.
///
/// The buffer grows with the bytes that arrive, whatever length was announced.
#[derive(Debug)]
pub(crate) struct ChargedBuffer {
    bytes: Vec<u8>,
    bytes_max: usize,
    charge: Charge,
    purpose: MemoryUse,
}

impl ChargedBuffer {
    /// Creates an empty buffer for at most `bytes_max` bytes, whose memory is added to `charge`.
    pub(crate) fn new(bytes_max: usize, charge: Charge, purpose: MemoryUse) -> Self {
        Self { bytes: Vec::new(), bytes_max, charge, purpose }
    }

    /// Adds bytes; returns `false` and adds none if their memory cannot be charged.
    pub(crate) fn add(&mut self, data: &[u8]) -> bool {
        let needed = self.bytes.len() + data.len();
        if needed > self.bytes.capacity() {
            let ahead = (2 * self.bytes.capacity()).clamp(CAPACITY_MIN, self.bytes_max.max(CAPACITY_MIN));
            let capacity = needed.max(ahead);
            // Both the old and the new buffer are held while the bytes move.
            let old = self.bytes.capacity();
            if !self.charge_more(capacity, capacity) {
                return false;
            }
            self.bytes.reserve_exact(capacity - self.bytes.len());
            self.charge.release(old);
        }
        self.bytes.extend_from_slice(data);
        true
    }

    /// Sets for how many bytes the buffer is meant, once that is known.
    pub(crate) fn set_bytes_max(&mut self, bytes_max: usize) {
        self.bytes_max = bytes_max;
    }

    /// Removes the first bytes; a buffer that is empty then releases its memory.
    pub(crate) fn consume(&mut self, bytes: usize) {
        self.bytes.drain(..bytes);
        if self.bytes.is_empty() {
            self.bytes = Vec::new();
            self.charge.release_all();
        }
    }

    /// Charges the memory of a copy of the bytes, which is released with them.
    pub(crate) fn charge_copy(&mut self) -> bool {
        self.charge_more(self.bytes.len(), self.bytes.len())
    }

    fn charge_more(&mut self, more: usize, size: usize) -> bool {
        self.charge.extend(self.purpose.for_size(size), more)
    }

    /// Returns the number of bytes.
    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the bytes, whose memory stays charged until they are dropped.
    pub(crate) fn freeze(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for ChargedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests {
    use crate::memory_account::{MemoryAccount, MemoryUse};

    /// Replies follow each other in one buffer, which must not stay charged between them.
    #[test]
    fn a_buffer_whose_bytes_are_consumed_is_released() {
        let account = MemoryAccount::new(1 << 20);
        let mut buffer = account.buffer(MemoryUse::Answers, 1 << 18);
        assert!(buffer.add(&[1; 3000]) && buffer.add(&[2; 3000]));
        buffer.consume(3000);
        assert_eq!(buffer.as_ref(), [2; 3000]);
        assert!(account.charged() >= 3000);
        buffer.consume(3000);
        assert_eq!(account.charged(), 0);
    }
}
