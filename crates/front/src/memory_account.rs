//! The account of the memory that traffic may take up in this process.

use std::{
    ops::Range,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use tokio::sync::Notify;

/// The account's limit is the memory of the host divided by this. The rest is for the program, the
/// registry, what the allocator keeps after memory is freed, and buffers that are not charged.
const MEMORY_DIVISOR: usize = 2;
/// Connections of callers take at most the account's limit divided by this, so that open connections leave
/// room for requests.
const CONNECTIONS_DIVISOR: usize = 4;
/// A message to the control listener takes at most the account's limit divided by this, but may have at
/// least 1 MiB: it names all hosts, and answers, which are larger, are limited apart.
const CONTROL_MESSAGE_DIVISOR: usize = 4;
const CONTROL_MESSAGE_BYTES: Range<usize> = 1 << 20..64 << 20;
/// A body up to this size is an ordinary one and may use the reserved share, in bytes.
const ORDINARY_BODY_BYTES: usize = 16 << 10;
/// The smallest capacity of a buffer, in bytes.
const CAPACITY_MIN: usize = 512;

/// What memory is charged for. Each use may fill the account only up to a share of its limit; the rest is
/// reserved for the uses after it, so that no flood of one kind stops the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemoryUse {
    /// Bodies of callers beyond the ordinary size, and copies of them for other hosts.
    LargeBodies,
    /// Messages of other hosts.
    Messages,
    /// Copies of a gather's head, one for each shard.
    Parts,
    /// Answers of targets, until they are written to callers.
    Answers,
    /// Bodies of an ordinary size, and buffers of connections.
    Ordinary,
}

impl MemoryUse {
    /// Returns up to which percentage of the account's limit memory is charged for this use.
    fn percent(self) -> usize {
        match self {
            Self::LargeBodies => 50,
            Self::Messages | Self::Parts => 60,
            Self::Answers => 65,
            Self::Ordinary => 100,
        }
    }
}

#[derive(Debug)]
struct Account {
    limit: usize,
    charged: AtomicUsize,
    released: Notify,
    /// The account of which this one is a part; all is charged to both.
    whole: Option<MemoryAccount>,
}

/// The memory that traffic may take up; clones share it.
///
/// Memory is charged before bytes are held, and released when they are dropped.
#[derive(Clone, Debug)]
pub(crate) struct MemoryAccount(Arc<Account>);

impl MemoryAccount {
    /// Creates the account of a host with this much memory, in bytes.
    pub(crate) fn new(memory_bytes: usize) -> Self {
        Self::with_limit(memory_bytes / MEMORY_DIVISOR, None)
    }

    /// Creates the part of this account that callers' connections may take up.
    pub(crate) fn connections(&self) -> Self {
        Self::with_limit(self.0.limit / CONNECTIONS_DIVISOR, Some(self.clone()))
    }

    fn with_limit(limit: usize, whole: Option<Self>) -> Self {
        Self(Arc::new(Account { limit, charged: AtomicUsize::new(0), released: Notify::new(), whole }))
    }

    fn add(&self, purpose: MemoryUse, bytes: usize) -> bool {
        let account = &self.0;
        let most = account.limit / 100 * purpose.percent();
        let add = |charged: usize| charged.checked_add(bytes).filter(|sum| *sum <= most);
        if account.charged.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_err() {
            return false;
        }
        let is_added = account.whole.as_ref().is_none_or(|whole| whole.add(purpose, bytes));
        if !is_added {
            // Nothing became free, so nobody is woken: each waiter would try again and evict a connection.
            account.charged.fetch_sub(bytes, Ordering::Relaxed);
        }
        is_added
    }

    fn subtract(&self, bytes: usize) {
        self.0.charged.fetch_sub(bytes, Ordering::Relaxed);
        self.0.released.notify_waiters();
        if let Some(whole) = &self.0.whole {
            whole.subtract(bytes);
        }
    }

    /// Charges memory; returns `None` if the share of this use is full.
    pub(crate) fn charge(&self, purpose: MemoryUse, bytes: usize) -> Option<Charge> {
        let mut charge = Charge { bytes: 0, account: self.clone() };
        charge.extend(purpose, bytes).then_some(charge)
    }

    /// Charges memory that is bounded otherwise, also beyond the limit.
    pub(crate) fn charge_always(&self, bytes: usize) -> Charge {
        self.0.charged.fetch_add(bytes, Ordering::Relaxed);
        Charge { bytes, account: self.clone() }
    }

    /// Returns whether memory could be charged for this use now.
    pub(crate) fn has_room(&self, purpose: MemoryUse, bytes: usize) -> bool {
        self.charged() + bytes <= self.0.limit / 100 * purpose.percent()
    }

    /// Creates an empty buffer whose capacity is charged as it grows.
    ///
    /// It is meant for at most `bytes_max` bytes, and reserves no more capacity than that ahead.
    pub(crate) fn buffer(&self, purpose: MemoryUse, bytes_max: usize) -> ChargedBuffer {
        let charge = Charge { bytes: 0, account: self.clone() };
        ChargedBuffer { bytes: Vec::new(), bytes_max, charge, purpose }
    }

    /// Charges the memory of bytes until they are dropped; returns `None` if the share of this use is full.
    pub(crate) fn hold(&self, purpose: MemoryUse, bytes: Bytes) -> Option<Bytes> {
        let charge = self.charge(purpose, bytes.len())?;
        Some(Bytes::from_owner(HeldBytes { bytes, _charge: charge }))
    }

    /// Waits until memory is released.
    pub(crate) async fn released(&self) {
        self.0.released.notified().await;
    }

    /// Returns the charged memory, in bytes.
    pub(crate) fn charged(&self) -> usize {
        self.0.charged.load(Ordering::Relaxed)
    }

    /// Returns the size of the greatest body that is taken without load, with its copy, in bytes.
    pub(crate) fn body_bytes_max(&self) -> usize {
        self.0.limit / 100 * MemoryUse::LargeBodies.percent() / 2
    }

    /// Returns the limit of a message to the control listener, in bytes.
    pub(crate) fn message_bytes_max(&self) -> usize {
        (self.0.limit / CONTROL_MESSAGE_DIVISOR).clamp(CONTROL_MESSAGE_BYTES.start, CONTROL_MESSAGE_BYTES.end)
    }

    /// Returns the limit, in bytes.
    pub(crate) fn limit(&self) -> usize {
        self.0.limit
    }
}

/// Memory that is charged until this is dropped.
#[derive(Debug)]
pub(crate) struct Charge {
    bytes: usize,
    account: MemoryAccount,
}

impl Charge {
    /// Charges more memory; returns `false` and changes nothing if the share of this use is full.
    pub(crate) fn extend(&mut self, purpose: MemoryUse, bytes: usize) -> bool {
        let is_charged = self.account.add(purpose, bytes);
        if is_charged {
            self.bytes += bytes;
        }
        is_charged
    }
}

impl Charge {
    /// Releases a part of the memory.
    fn release(&mut self, bytes: usize) {
        if bytes > 0 {
            self.bytes -= bytes;
            self.account.subtract(bytes);
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.release(self.bytes);
    }
}

/// Bytes that were made elsewhere, with the charge of their memory.
struct HeldBytes {
    bytes: Bytes,
    _charge: Charge,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

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

    /// Charges the memory of a copy of the bytes, which is released with them.
    pub(crate) fn charge_copy(&mut self) -> bool {
        self.charge_more(self.bytes.len(), self.bytes.len())
    }

    fn charge_more(&mut self, more: usize, size: usize) -> bool {
        let is_ordinary = self.purpose == MemoryUse::LargeBodies && size <= ORDINARY_BODY_BYTES;
        self.charge.extend(if is_ordinary { MemoryUse::Ordinary } else { self.purpose }, more)
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
    use super::*;

    #[test]
    fn memory_is_charged_until_the_bytes_are_dropped() {
        let account = MemoryAccount::new(1 << 20);
        let mut buffer = account.buffer(MemoryUse::LargeBodies, 1 << 18);
        assert!(buffer.add(&[1; 1000]));
        assert_eq!(account.charged(), 1000);
        let bytes = buffer.freeze();
        let copy = bytes.clone();
        drop(bytes);
        assert_eq!(account.charged(), 1000);
        drop(copy);
        assert_eq!(account.charged(), 0);
    }

    /// A flood of large bodies must leave room for ordinary ones.
    #[test]
    fn large_bodies_cannot_take_the_share_of_ordinary_ones() {
        let account = MemoryAccount::new(1 << 20);
        let chunk = [0; 32 << 10];
        let mut large = Vec::new();
        loop {
            let mut buffer = account.buffer(MemoryUse::LargeBodies, 1 << 18);
            if !buffer.add(&chunk) {
                break;
            }
            large.push(buffer);
        }
        assert!(account.charged() <= account.limit() / 2);
        assert!(account.buffer(MemoryUse::LargeBodies, 1 << 18).add(&[0; 1000]));
    }
    /// A flood of connections must leave room for large bodies, and its end must give back all.
    #[test]
    fn connections_take_a_quarter_of_the_account_at_most() {
        let account = MemoryAccount::new(1 << 20);
        let connections = account.connections();
        let charge = || connections.charge(MemoryUse::Ordinary, 24 << 10);
        let open: Vec<Charge> = std::iter::from_fn(charge).collect();
        assert!(account.charged() > account.limit() / 5 && account.charged() <= account.limit() / 4);
        assert_eq!(account.charged(), connections.charged());
        drop(open);
        assert_eq!((account.charged(), connections.charged()), (0, 0));
    }
}
