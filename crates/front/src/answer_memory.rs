//! Memory for targets' answers, bounded for the whole process.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;

/// Memory for targets' answers that are held at a time, bounded for the whole process.
///
/// A bound for each answer alone would not do: a gather holds hundreds of them.
#[derive(Clone, Debug)]
pub(crate) struct AnswerMemory(Arc<AtomicUsize>);

impl AnswerMemory {
    /// Creates memory of so many bytes.
    pub(crate) fn new(bytes: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Starts an answer.
    pub(crate) fn begin(&self) -> HeldAnswer {
        HeldAnswer { bytes: Vec::new(), reserved: 0, memory: self.clone() }
    }

    fn take(&self, bytes: usize) -> bool {
        let taken = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(bytes));
        taken.is_ok()
    }

    fn give_back(&self, bytes: usize) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// The body of an answer; its memory is free again once its bytes are dropped.
#[derive(Debug)]
pub(crate) struct HeldAnswer {
    bytes: Vec<u8>,
    reserved: usize,
    memory: AnswerMemory,
}

impl HeldAnswer {
    /// Adds bytes; returns whether there was room for them.
    pub(crate) fn add(&mut self, data: &[u8]) -> bool {
        if !self.memory.take(data.len()) {
            return false;
        }
        self.reserved += data.len();
        self.bytes.extend_from_slice(data);
        true
    }

    /// Returns the bytes, which keep their memory until they are dropped.
    pub(crate) fn freeze(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for HeldAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldAnswer {
    fn drop(&mut self) {
        self.memory.give_back(self.reserved);
    }
}
