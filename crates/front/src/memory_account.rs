//! The account of the memory that traffic may take up in this process.

use std::{
    any::Any,
    ops::Range,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use egret_events::Code;
use egret_node::MemoryReserve;
use tokio::sync::Notify;

use crate::{charged_buffer::ChargedBuffer, shortage_log::ShortageLog};

/// The account's limit is the memory of the host divided by this. The rest is for the program, the
/// registry, what the allocator keeps after memory is freed, and buffers that are not charged.
const MEMORY_DIVISOR: usize = 2;
/// Connections of callers take at most the account's limit divided by this, so that open connections leave
/// room for requests.
const CONNECTIONS_DIVISOR: usize = 4;
/// Connections to targets and gatherers are charged up to the account's limit divided by this. A host may have
/// thousands of them; those beyond it count on the other half of the memory, so that they leave room for requests.
const TARGET_CONNECTIONS_DIVISOR: usize = 5;
/// What an open connection to a target or a gatherer holds, in bytes: its read and write buffers and its task.
const TARGET_CONNECTION_BYTES: usize = 16 << 10;
/// A message to the control listener takes at most the account's limit divided by this, but may have at
/// least 1 MiB: it names all hosts, and answers, which are larger, are limited apart.
const CONTROL_MESSAGE_DIVISOR: usize = 4;
const CONTROL_MESSAGE_BYTES: Range<usize> = 1 << 20..64 << 20;

/// Bodies and replies up to this size are ordinary ones and may use the reserved share, in bytes.
const ORDINARY_BYTES: usize = 16 << 10;

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
    /// Answers of targets until they are written to callers, and parts until they are merged.
    Answers,
    /// Replies of other hosts to gathers, forwarded requests and gossip.
    Replies,
    /// Bodies of an ordinary size, and buffers of connections.
    Ordinary,
}

impl MemoryUse {
    /// Returns up to which percentage of the account's limit memory is charged for this use.
    fn percent(self) -> usize {
        match self {
            Self::LargeBodies => 50,
            Self::Messages | Self::Parts => 60,
            Self::Answers | Self::Replies => 65,
            Self::Ordinary => 100,
        }
    }

    /// Returns the use that something of this size counts as. Small bodies and replies are those of ordinary requests:
    /// a refusal by another host, or its gossip, must not be lost to a flood of large ones.
    pub(crate) fn for_size(self, bytes: usize) -> Self {
        match self {
            Self::LargeBodies | Self::Replies if bytes <= ORDINARY_BYTES => Self::Ordinary,
            other => other,
        }
    }
}

#[derive(Debug)]
struct Account {
    limit: usize,
    charged: AtomicUsize,
    released: Notify,
    lost_answers: ShortageLog,
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

    /// Creates the part of this account that connections to targets and gatherers may take up.
    pub(crate) fn target_connections(&self) -> Self {
        Self::with_limit(self.0.limit / TARGET_CONNECTIONS_DIVISOR, Some(self.clone()))
    }

    fn with_limit(limit: usize, whole: Option<Self>) -> Self {
        Self(Arc::new(Account {
            limit,
            charged: AtomicUsize::new(0),
            released: Notify::new(),
            lost_answers: ShortageLog::default(),
            whole,
        }))
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
        self.add_always(bytes);
        Charge { bytes, account: self.clone() }
    }

    fn add_always(&self, bytes: usize) {
        self.0.charged.fetch_add(bytes, Ordering::Relaxed);
        if let Some(whole) = &self.0.whole {
            whole.add_always(bytes);
        }
    }

    /// Charges a connection to a target or a gatherer to this part of the account; `None` if the part is full.
    ///
    /// A connection is opened in both cases: a failure would count as that of the target.
    pub(crate) fn charge_target_connection(&self) -> Option<Charge> {
        let has_room = self.has_room(MemoryUse::Ordinary, TARGET_CONNECTION_BYTES);
        has_room.then(|| self.charge_always(TARGET_CONNECTION_BYTES))
    }

    /// Logs that an answer of another host was dropped as it could not be charged.
    pub(crate) fn note_lost_answer(&self) {
        self.0.lost_answers.note(Code::AnswerWithoutMemory, "answers");
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
        ChargedBuffer::new(bytes_max, charge, purpose)
    }

    /// Charges the memory of bytes until they are dropped; returns `None` if the share of this use is full.
    pub(crate) fn hold(&self, purpose: MemoryUse, bytes: Bytes) -> Option<Bytes> {
        Some(self.charge(purpose, bytes.len())?.hold(bytes))
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
    /// Releases the charge when the bytes are dropped.
    pub(crate) fn hold(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(HeldBytes { bytes, _charge: self })
    }

    /// Releases all of the memory.
    pub(crate) fn release_all(&mut self) {
        self.release(self.bytes);
    }

    /// Releases a part of the memory.
    pub(crate) fn release(&mut self, bytes: usize) {
        if bytes > 0 {
            self.bytes -= bytes;
            self.account.subtract(bytes);
        }
    }
}

impl MemoryReserve for MemoryAccount {
    fn reserve(&self, bytes: usize) -> Option<Box<dyn Any + Send>> {
        Some(Box::new(self.charge(MemoryUse::Replies.for_size(bytes), bytes)?))
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
    /// Connections to thousands of targets must neither fail nor take the room of requests.
    #[test]
    fn connections_to_targets_are_charged_up_to_a_fifth_of_the_account() {
        let account = MemoryAccount::new(1 << 20);
        let connections = account.target_connections();
        let open: Vec<_> = (0..100).map(|_| connections.charge_target_connection()).collect();
        assert!(account.charged() > account.limit() / 8 && account.charged() <= account.limit() / 5);
        drop(open);
        assert_eq!((account.charged(), connections.charged()), (0, 0));
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
