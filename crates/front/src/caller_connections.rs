//! The open connections of callers, and the eviction of some of them when memory or descriptors are short.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use egret_events::{Code, log_event};
use egret_policy::{Shortage, choose_evicted};
use egret_routes::CallerLimits;
use hyper::HeaderMap;
use tokio::time::timeout;

use crate::{
    caller_connection::read_buffer_bytes,
    clock::now,
    connection_limit::ConnectionPool,
    core::{Core, lock},
    memory_account::{Charge, MemoryUse},
    shortage_log::ShortageLog,
    timed_io::ActivityCell,
};

/// How long a body, a message or a new connection waits for memory until it is refused. Another host waits 60 ms
/// for the acceptance of its message, and a refusal should be prompt.
const ROOM_WAIT_MAX: Duration = Duration::from_millis(40);
/// How long to wait for what one evicted connection releases before the next one is evicted.
const RELEASE_WAIT: Duration = Duration::from_millis(5);
/// How many connections the host and each other one have between them, about.
const HOST_CONNECTIONS: usize = 2;
/// The host's descriptors divided by this stay free for files, the internal servers, and connections that are
/// being opened.
const RESERVED_FDS_DIVISOR: usize = 8;
/// Callers may always have the host's descriptors divided by this; below it the connections to targets are not
/// counted, which takes time with each new connection.
const CALLERS_FDS_MIN_DIVISOR: usize = 8;
/// A head up to this size is an ordinary one, in bytes.
const ORDINARY_HEAD_BYTES: usize = 2 << 10;
/// Each part of a gather holds its request's headers and their encoded form.
const PART_HEADS: usize = 2;
/// What the task of one part holds until the part is there, in bytes: 3,984 were measured in a debug build.
const PART_TASK_BYTES: usize = 4 << 10;
/// What a connection needs besides the buffer of its head, in bytes: its task, its write buffer, and the parsed
/// headers.
const CONNECTION_BYTES: usize = 8192;
/// The memory of callers' connections divided by this is kept free for new ones.
const CONNECTION_RESERVE_DIVISOR: usize = 16;
/// So many evicted connections may be about to end before another one is evicted for a new connection.
const ENDING_MAX: usize = 16;
/// The minimum time between two evictions for memory. Bodies that wait for memory at the same time would evict
/// one connection each, also where the first of them makes room for all.
const MEMORY_EVICTION_INTERVAL: Duration = Duration::from_millis(2);

/// What the log lines of a shortage count.
const EVICTED: &str = "connections or requests";

/// The open connections of callers.
#[derive(Debug, Default)]
pub(crate) struct CallerConnections {
    open: Mutex<Vec<ActivityCell>>,
    memory_evicted_at: Mutex<Option<Instant>>,
    memory_log: ShortageLog,
    connection_log: ShortageLog,
}

/// Lists a connection as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    core: Arc<Core>,
    activity: ActivityCell,
}

impl OpenConnection {
    pub(crate) fn new(core: &Arc<Core>, activity: &ActivityCell) -> Self {
        lock(&core.callers.open).push(activity.clone());
        Self { core: Arc::clone(core), activity: activity.clone() }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut open = lock(&self.core.callers.open);
        if let Some(at) = open.iter().position(|known| known.is_same(&self.activity)) {
            open.swap_remove(at);
        }
    }
}

impl CallerConnections {
    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        lock(&self.open).len()
    }

    /// Evicts one connection; returns `false` if none may be evicted now.
    fn evict(&self, shortage: Shortage, address_percent: usize) -> bool {
        if shortage == Shortage::Memory {
            let now = now();
            let mut evicted_at = lock(&self.memory_evicted_at);
            let is_recent = |at: Instant| now.saturating_duration_since(at) < MEMORY_EVICTION_INTERVAL;
            if evicted_at.is_some_and(is_recent) {
                return false;
            }
            *evicted_at = Some(now);
        }
        let open = lock(&self.open);
        let candidates = open.iter().filter_map(|activity| Some((activity, activity.load()?)));
        let evicted = choose_evicted(now(), shortage, address_percent, candidates);
        evicted.inspect(|activity| activity.evict()).is_some()
    }

    /// Returns how many evicted connections are about to end; those whose request is running are not.
    fn ending(&self) -> usize {
        let is_ending = |activity: &&ActivityCell| activity.is_evicted() && !activity.is_running();
        lock(&self.open).iter().filter(is_ending).count()
    }

    fn note_shortage(&self, shortage: Shortage) {
        match shortage {
            Shortage::Memory => self.memory_log.note(Code::MemoryShort, EVICTED),
            Shortage::Connections => self.connection_log.note(Code::ConnectionsShort, EVICTED),
        }
    }
}

impl Core {
    /// Logs a limit on bodies that is too great for this host's memory, so that the greatest bodies are
    /// refused even without load.
    pub(crate) fn check_body_limit(&self, limits: CallerLimits) {
        let most = self.memory.body_bytes_max();
        if limits.body_bytes > most {
            let detail = format!(
                "max_body_bytes is {}, but bodies of more than {most} bytes may be refused: raise limits.memory_mb",
                limits.body_bytes
            );
            log_event(Code::BodyLimitTooHigh, "", &detail);
        }
    }

    /// Returns whether callers should give up connections that targets and other hosts need.
    pub(crate) fn is_short_of_descriptors(&self) -> bool {
        let callers = self.callers.count();
        if callers < self.options.fds_max / CALLERS_FDS_MIN_DIVISOR {
            return false;
        }
        let targets = self.targets.load().totals(now()).connections;
        let used = callers + targets + HOST_CONNECTIONS * self.known_hosts();
        used > self.options.fds_max - self.options.fds_max / RESERVED_FDS_DIVISOR
    }

    /// Charges the copies of a request's head that a gather holds, one for each shard; returns `None` if
    /// there is no memory for them.
    pub(crate) fn charge_parts(&self, shards: usize, headers: &HeaderMap) -> Option<Charge> {
        let head: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        let purpose = if head > ORDINARY_HEAD_BYTES { MemoryUse::LargeBodies } else { MemoryUse::Parts };
        self.memory.charge(purpose, shards * PART_HEADS * head)
    }

    /// Charges the tasks that ask targets for the parts of a gather; returns `None` if there is no memory for them.
    pub(crate) async fn charge_part_tasks(&self, shards: usize) -> Option<Charge> {
        let mut charge = None;
        let charge_tasks = || {
            charge = self.memory.charge(MemoryUse::Parts, shards * PART_TASK_BYTES);
            charge.is_some()
        };
        self.make_room(None, charge_tasks).await;
        charge
    }

    /// Returns the limits of callers' requests.
    pub(crate) fn caller_limits(&self) -> CallerLimits {
        self.table.load().as_ref().map_or_else(CallerLimits::default, |table| table.limits())
    }

    /// Returns what a caller's connection is charged, in bytes.
    fn caller_connection_bytes(&self) -> usize {
        read_buffer_bytes(self.caller_limits()) + CONNECTION_BYTES
    }

    /// Evicts one connection to relieve a shortage.
    pub(crate) fn evict_connection(&self, shortage: Shortage) -> bool {
        let has_evicted = self.callers.evict(shortage, self.options.caller_address_percent);
        if has_evicted {
            self.callers.note_shortage(shortage);
            self.instruments.eviction(shortage);
        }
        has_evicted
    }

    /// Repeats `charge` until it succeeds, and evicts large requests meanwhile; returns `false` if it fails
    /// for [`ROOM_WAIT_MAX`] or if `own` is evicted itself.
    ///
    /// Nothing is read from the connection that waits, so its peer is slowed down.
    pub(crate) async fn make_room(
        &self,
        own: Option<&ActivityCell>,
        mut charge: impl FnMut() -> bool,
    ) -> bool {
        let until = now() + ROOM_WAIT_MAX;
        loop {
            if charge() {
                return true;
            }
            if now() >= until || own.is_some_and(ActivityCell::is_evicted) {
                self.instruments.refusal_for_memory();
                self.callers.note_shortage(Shortage::Memory);
                return false;
            }
            self.evict_connection(Shortage::Memory);
            if own.is_some_and(ActivityCell::is_evicted) {
                continue;
            }
            // Elapsed: a release between the attempt and this wait was missed.
            let _ = timeout(RELEASE_WAIT, self.memory.released()).await;
        }
    }
}

impl ConnectionPool for Arc<Core> {
    fn charge(&self) -> Option<Charge> {
        self.connection_memory.charge(MemoryUse::Ordinary, self.caller_connection_bytes())
    }

    fn is_nearly_full(&self) -> bool {
        let reserve = self.connection_memory.limit() / CONNECTION_RESERVE_DIVISOR;
        !self.connection_memory.has_room(MemoryUse::Ordinary, reserve)
    }

    fn is_short_of_descriptors(&self) -> bool {
        Core::is_short_of_descriptors(self)
    }

    fn evict(&self) -> bool {
        let ending = self.callers.ending();
        ending >= ENDING_MAX || self.evict_connection(Shortage::Connections) || ending > 0
    }
}
