//! Requests that crash the targets that run them.
//!
//! A request with [`POISON_BREAK_COUNT`] breaks is refused until its mark expires. In the host daemon
//! ([`Suspects::judge`]) each refusal extends the mark, so that it expires only once the request no longer arrives. It is
//! remembered after that: if the request comes again, one host sends it to one target, and the others go on refusing
//! it until they learn the result.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use egret_model::{Fingerprint, SuspectMark};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of broken connections after which a request is refused as poison.
pub const POISON_BREAK_COUNT: u8 = 2;
/// How long a broken connection counts against a request.
pub const MARK_TTL: Duration = Duration::from_secs(60);

/// How long a request that did not run alone counts as a suspect after a first broken connection.
///
/// A target that crashes also breaks the connections of innocent requests. They must
/// not be kept from its other replica for long; a request that crashes the next target
/// too is caught then.
pub const SHARED_SUSPECT_TTL: Duration = Duration::from_millis(2500);

/// How long an expired mark is remembered after the request last arrived at this host.
///
/// A request that comes once a minute comes to each of ten hosts every ten minutes on average; with one hour of memory some hosts
/// forgot it in between.
pub const MARK_MEMORY: Duration = Duration::from_secs(24 * 3600);

/// By how much another host's mark has to outlast the own one to extend it.
///
/// A mark loses the time that its message takes, so that hosts which extend marks by less than this would keep a mark alive that
/// no request extends.
const EXTENSION_MIN: Duration = Duration::from_secs(15);

/// How much newer than a successful probe another host's mark has to be to count: more than its message took.
const MESSAGE_DELAY_MAX: Duration = Duration::from_secs(2);

/// The time between two probes of a request grows by this factor with each that failed, from [`MARK_TTL`].
const PROBE_BACKOFF_FACTOR: u32 = 8;

/// The most probes that may fail; the request is refused from then on while it is remembered.
const FAILED_PROBES_MAX: u32 = 3;

/// The most marks that are kept.
const MARKS_MAX: usize = 4096;
/// The most requests that are remembered as answered by a target.
const PROVEN_MAX: usize = 1024;

/// What is to be done with a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// It is not known to crash targets.
    Run,
    /// It is refused.
    Refuse,
    /// It is sent to one target, to learn whether it still crashes targets.
    Probe,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    fingerprint: Fingerprint,
    /// Zero if a probe showed that the request does not crash targets.
    breaks: u8,
    /// When the breaks expire.
    until: Instant,
    /// Until when the request must not reach the last live replica.
    suspect_until: Instant,
    /// When the last break or the successful probe was recorded, at the host that saw it.
    happened_at: Instant,
    /// When this host learned it.
    learned_at: Instant,
    /// When the request last arrived here, or broke a connection.
    arrived_at: Instant,
    /// When the last probe of this host began.
    probed_at: Option<Instant>,
    failed_probes: u32,
}

impl Entry {
    fn new(now: Instant, fingerprint: Fingerprint, breaks: u8) -> Self {
        Self {
            fingerprint,
            breaks,
            until: now + MARK_TTL,
            suspect_until: now + MARK_TTL,
            happened_at: now,
            learned_at: now,
            arrived_at: now,
            probed_at: None,
            failed_probes: 0,
        }
    }

    /// Returns whether the mark has expired, but is remembered.
    fn is_dormant(&self, now: Instant, memory: Duration) -> bool {
        let is_remembered = now < self.until.max(self.arrived_at) + memory;
        self.breaks >= POISON_BREAK_COUNT && now >= self.until && is_remembered
    }

    /// Returns whether a probe may begin.
    fn may_probe(&self, now: Instant) -> bool {
        let pause = MARK_TTL * PROBE_BACKOFF_FACTOR.pow(self.failed_probes);
        self.failed_probes < FAILED_PROBES_MAX && self.probed_at.is_none_or(|at| now >= at + pause)
    }

    fn export_mark(&self, now: Instant) -> Option<SuspectMark> {
        let left_ms = |until: Instant| until.saturating_duration_since(now).as_millis() as u32;
        let expires_in_ms = left_ms(self.until);
        let suspect_ms = left_ms(self.suspect_until);
        let Self { fingerprint, breaks, .. } = *self;
        (expires_in_ms > 0).then_some(SuspectMark { fingerprint, breaks, expires_in_ms, suspect_ms })
    }
}

/// The requests that broke connections while a target ran them.
///
/// The table is bounded; when it is full, the mark that expires first is dropped: first those that have expired and are only
/// remembered, the oldest of them first.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    marks: Vec<Entry>,
    /// How long expired marks are remembered.
    memory: Duration,
    /// Where the next export of marks begins, if not all fit.
    export_from: usize,
    /// A ring buffer of the requests that targets answered last.
    proven: Vec<Fingerprint>,
    proven_next: usize,
}

impl Suspects {
    /// Creates an empty table that remembers expired marks for some time, so that refusals extend marks and their end is probed.
    #[must_use]
    pub fn remembering(memory: Duration) -> Self {
        Self { memory, ..Self::default() }
    }

    /// Returns the number of connections that a request is known to have broken.
    #[must_use]
    pub fn breaks(&self, now: Instant, fingerprint: Fingerprint) -> u8 {
        let Ok(at) = self.find(fingerprint) else { return 0 };
        if now < self.marks[at].until { self.marks[at].breaks } else { 0 }
    }

    /// Records a broken connection and returns how many there are now.
    ///
    /// `alone` says that no other request ran at the target, so that this one is
    /// the likely cause. The first break of a request that shared the target still
    /// counts as a break, but makes it a suspect only for a short time.
    pub fn record_break(&mut self, now: Instant, fingerprint: Fingerprint, alone: bool) -> u8 {
        let probed =
            self.find(fingerprint).ok().map(|at| self.marks[at]).filter(|entry| entry.probed_at.is_some());
        let known = self.breaks(now, fingerprint).max(probed.map_or(0, |entry| entry.breaks));
        let breaks = known.saturating_add(1);
        let is_shared = !alone && breaks == 1;
        let suspect_until = now + if is_shared { SHARED_SUSPECT_TTL } else { MARK_TTL };
        let failed_probes = probed.map_or(0, |entry| entry.failed_probes);
        let probed_at = probed.and_then(|entry| entry.probed_at);
        self.insert(
            now,
            Entry { suspect_until, probed_at, failed_probes, ..Entry::new(now, fingerprint, breaks) },
        );
        breaks
    }

    /// Decides what is to be done with a request that arrives; refusing it extends its mark.
    ///
    /// `is_prober` tells whether this host is the one that probes the request ([`suspect_prober`]).
    pub fn judge(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        is_prober: impl FnOnce() -> bool,
    ) -> SuspectVerdict {
        let verdict = self.verdict(now, fingerprint, is_prober);
        let Ok(at) = self.find(fingerprint) else { return verdict };
        let entry = &mut self.marks[at];
        if verdict != SuspectVerdict::Run {
            entry.arrived_at = now;
        }
        if verdict == SuspectVerdict::Refuse && entry.breaks >= POISON_BREAK_COUNT && now < entry.until {
            entry.until = now + MARK_TTL;
        }
        if verdict == SuspectVerdict::Probe {
            entry.probed_at = Some(now);
            // Counted when it begins: the end of a probe whose caller gives up is not seen.
            entry.failed_probes = (entry.failed_probes + 1).min(FAILED_PROBES_MAX);
        }
        verdict
    }

    /// Returns what [`Self::judge`] would decide, without recording that the request arrived.
    pub fn verdict(
        &self,
        now: Instant,
        fingerprint: Fingerprint,
        is_prober: impl FnOnce() -> bool,
    ) -> SuspectVerdict {
        let Ok(at) = self.find(fingerprint) else { return SuspectVerdict::Run };
        let entry = &self.marks[at];
        if entry.breaks >= POISON_BREAK_COUNT && now < entry.until {
            return SuspectVerdict::Refuse;
        }
        if !entry.is_dormant(now, self.memory) {
            return SuspectVerdict::Run;
        }
        if entry.may_probe(now) && is_prober() { SuspectVerdict::Probe } else { SuspectVerdict::Refuse }
    }

    /// Records that a target answered the probe of a request: it is no longer refused, neither here nor at the hosts that
    /// the mark is passed on to.
    pub fn absolve(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.insert(now, Entry { suspect_until: now, ..Entry::new(now, fingerprint, 0) });
    }

    /// Returns the mark of a request, to send to other processes.
    #[must_use]
    pub fn export_mark(&self, now: Instant, fingerprint: Fingerprint) -> Option<SuspectMark> {
        let at = self.find(fingerprint).ok()?;
        self.marks[at].export_mark(now)
    }

    /// Returns at most `max` marks to send to other processes.
    ///
    /// If there are more, half of them are those that this host learned last, and the others take turns.
    #[must_use]
    pub fn export_marks(&mut self, now: Instant, max: usize) -> Vec<SuspectMark> {
        let mut live: Vec<&Entry> = self.marks.iter().filter(|entry| now < entry.until).collect();
        live.sort_by_key(|entry| std::cmp::Reverse((entry.learned_at, entry.until)));
        if live.len() > max {
            let older = live.split_off(max / 2);
            let from = self.export_from % older.len();
            live.extend(older.iter().cycle().skip(from).take(max - max / 2));
            self.export_from = from + max - max / 2;
        }
        live.into_iter().filter_map(|entry| entry.export_mark(now)).collect()
    }

    /// Records that a target answered a request; when full, the oldest record is dropped.
    pub fn mark_proven(&mut self, fingerprint: Fingerprint) {
        if self.is_proven(fingerprint) {
            return;
        }
        if self.proven.len() < PROVEN_MAX {
            self.proven.push(fingerprint);
        } else {
            self.proven[self.proven_next] = fingerprint;
            self.proven_next = (self.proven_next + 1) % PROVEN_MAX;
        }
    }

    /// Tells whether a target answered the request recently.
    #[must_use]
    pub fn is_proven(&self, fingerprint: Fingerprint) -> bool {
        self.proven.contains(&fingerprint)
    }

    /// Tells whether a request must not reach the last live replica.
    #[must_use]
    pub fn is_suspect(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        self.find(fingerprint).is_ok_and(|at| now < self.marks[at].suspect_until)
    }

    /// Merges a mark from another process.
    ///
    /// It replaces the own one if it has more breaks, or if it tells of a successful probe after the last break; it extends the own
    /// one if it expires much later, as the other process has refused the request since.
    pub fn merge_mark(&mut self, now: Instant, mark: SuspectMark) {
        let SuspectMark { fingerprint, breaks, expires_in_ms, suspect_ms } = mark;
        let left = |ms: u32| Duration::from_millis(u64::from(ms)).min(MARK_TTL);
        // What is left of the part of the mark that refusals do not extend tells its age.
        let age = MARK_TTL - left(if breaks == 0 { expires_in_ms } else { suspect_ms });
        let entry = Entry {
            until: now + left(expires_in_ms),
            suspect_until: now + left(suspect_ms),
            happened_at: now.checked_sub(age).unwrap_or(now),
            ..Entry::new(now, fingerprint, breaks)
        };
        let Ok(at) = self.find(fingerprint) else { return self.insert(now, entry) };
        let known = &mut self.marks[at];
        if breaks == 0 {
            if known.breaks > 0 && entry.happened_at > known.happened_at {
                *known = entry;
            }
            return;
        }
        let is_absolved = known.breaks == 0 && now < known.until;
        if is_absolved && entry.happened_at <= known.happened_at + MESSAGE_DELAY_MAX {
            return;
        }
        let is_live = now < known.until;
        let known_breaks = if is_live || known.is_dormant(now, self.memory) { known.breaks } else { 0 };
        if breaks > known_breaks {
            // A break so long after the last one is that of a probe: nobody else sends the request.
            let is_probe =
                known_breaks >= POISON_BREAK_COUNT && entry.happened_at > known.happened_at + MARK_TTL / 2;
            let failed_probes = (known.failed_probes + u32::from(is_probe)).min(FAILED_PROBES_MAX);
            let probed_at = if is_probe { Some(entry.happened_at) } else { known.probed_at };
            *known = Entry { until: entry.until.max(known.until), probed_at, failed_probes, ..entry };
        } else if !self.memory.is_zero() && breaks >= POISON_BREAK_COUNT {
            let extended_from = if is_live { known.until + EXTENSION_MIN } else { now };
            if entry.until > extended_from {
                known.until = entry.until;
            }
        }
    }

    /// Records that targets answered a request completely. A request that crashes the targets that run it is never answered, so a mark
    /// that it has is of crashes that it happened to be present at.
    pub fn record_answer(&mut self, now: Instant, fingerprint: Fingerprint) {
        let is_marked = self.find(fingerprint).is_ok_and(|at| self.marks[at].breaks > 0);
        if is_marked {
            self.absolve(now, fingerprint);
        }
    }

    fn insert(&mut self, now: Instant, entry: Entry) {
        let fingerprint = entry.fingerprint;
        match self.find(fingerprint) {
            Ok(at) => self.marks[at] = entry,
            Err(_) => {
                self.make_room(now);
                let at = self.find(fingerprint).unwrap_or_else(|at| at);
                self.marks.insert(at, entry);
            }
        }
    }

    /// Tells whether a request is refused, as it broke too many connections.
    #[must_use]
    pub fn is_poison(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        self.breaks(now, fingerprint) >= POISON_BREAK_COUNT
    }

    /// Returns the time until the mark of a request expires; zero where it has none.
    #[must_use]
    pub fn mark_ttl(&self, now: Instant, fingerprint: Fingerprint) -> Duration {
        self.find(fingerprint)
            .map_or(Duration::ZERO, |at| self.marks[at].until.saturating_duration_since(now))
    }

    fn find(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.marks.binary_search_by_key(&fingerprint, |entry| entry.fingerprint)
    }

    fn make_room(&mut self, now: Instant) {
        if self.marks.len() < MARKS_MAX {
            return;
        }
        let is_needed = |entry: &Entry| now < entry.until || entry.is_dormant(now, self.memory);
        self.marks.retain(is_needed);
        if self.marks.len() == MARKS_MAX
            && let Some(at) = (0..self.marks.len()).min_by_key(|&at| self.marks[at].until)
        {
            self.marks.remove(at);
        }
    }
}

/// Returns the host that probes a request whose mark has expired, by rendezvous hashing over the hosts that reach targets.
#[must_use]
pub fn suspect_prober(fingerprint: Fingerprint, hosts: &[SocketAddr]) -> Option<SocketAddr> {
    hosts
        .iter()
        .copied()
        .max_by_key(|host| (xxh3_64_with_seed(host.to_string().as_bytes(), fingerprint.0), *host))
}
