//! The memory limit of targets' answers, for the whole process.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;

/// The memory that is left for targets' answers; clones share it.
///
/// A limit for each answer alone is not enough, as a gather holds hundreds of them.
#[derive(Clone, Debug)]
pub(crate) struct AnswerMemory(Arc<AtomicUsize>);

impl AnswerMemory {
    /// Sets the limit, in bytes.
    pub(crate) fn new(bytes: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Creates the buffer of one answer.
    pub(crate) fn begin(&self) -> AnswerBuffer {
        AnswerBuffer { bytes: Vec::new(), reserved: 0, memory: self.clone() }
    }

    fn reserve(&self, bytes: usize) -> bool {
        let reserved =
            self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(bytes));
        reserved.is_ok()
    }

    fn release(&self, bytes: usize) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// The body of an answer; its memory is released once its bytes are dropped.
#[derive(Debug)]
pub(crate) struct AnswerBuffer {
    bytes: Vec<u8>,
    reserved: usize,
    memory: AnswerMemory,
}

impl AnswerBuffer {
    /// Adds bytes; returns `false` if the memory limit is reached.
    pub(crate) fn add(&mut self, data: &[u8]) -> bool {
        if !self.memory.reserve(data.len()) {
            return false;
        }
        self.reserved += data.len();
        self.bytes.extend_from_slice(data);
        true
    }

    /// Returns the bytes, whose memory stays reserved until they are dropped.
    pub(crate) fn freeze(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for AnswerBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for AnswerBuffer {
    fn drop(&mut self) {
        self.memory.release(self.reserved);
    }
}
