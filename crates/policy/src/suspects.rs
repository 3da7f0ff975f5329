//! Requests that crash the targets that run them.

use std::time::{Duration, Instant};

use egret_model::{Fingerprint, SuspectMark};

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

/// The most marks that are kept.
const MARKS_MAX: usize = 4096;
/// The most requests that are remembered as answered by a target.
const PROVEN_MAX: usize = 1024;

#[derive(Clone, Copy, Debug)]
struct Entry {
    fingerprint: Fingerprint,
    breaks: u8,
    /// When the breaks expire.
    until: Instant,
    /// Until when the request must not reach the last live replica.
    suspect_until: Instant,
}

impl Entry {
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
/// The table is bounded; when it is full, the mark that expires first is dropped.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    marks: Vec<Entry>,
    /// A ring buffer of the requests that targets answered last.
    proven: Vec<Fingerprint>,
    proven_next: usize,
}

impl Suspects {
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
        let breaks = self.breaks(now, fingerprint).saturating_add(1);
        let is_shared = !alone && breaks == 1;
        let suspect_until = now + if is_shared { SHARED_SUSPECT_TTL } else { MARK_TTL };
        self.insert(now, Entry { fingerprint, breaks, until: now + MARK_TTL, suspect_until });
        breaks
    }

    /// Returns the mark of a request, to send to other processes.
    #[must_use]
    pub fn export_mark(&self, now: Instant, fingerprint: Fingerprint) -> Option<SuspectMark> {
        let at = self.find(fingerprint).ok()?;
        self.marks[at].export_mark(now)
    }

    /// Returns at most `max` marks, those that expire last, to send to other processes.
    #[must_use]
    pub fn export_marks(&self, now: Instant, max: usize) -> Vec<SuspectMark> {
        let mut marks: Vec<SuspectMark> =
            self.marks.iter().filter_map(|entry| entry.export_mark(now)).collect();
        marks.sort_by_key(|mark| std::cmp::Reverse(mark.expires_in_ms));
        marks.truncate(max);
        marks
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

    /// Merges a mark from another process where it has more breaks; it expires here when it does there.
    pub fn merge_mark(&mut self, now: Instant, mark: SuspectMark) {
        let SuspectMark { fingerprint, breaks, expires_in_ms, suspect_ms } = mark;
        if breaks <= self.breaks(now, fingerprint) {
            return;
        }
        let after = |ms: u32| now + Duration::from_millis(u64::from(ms)).min(MARK_TTL);
        let entry =
            Entry { fingerprint, breaks, until: after(expires_in_ms), suspect_until: after(suspect_ms) };
        self.insert(now, entry);
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
        self.marks.retain(|entry| now < entry.until);
        if self.marks.len() == MARKS_MAX
            && let Some(at) = (0..self.marks.len()).min_by_key(|&at| self.marks[at].until)
        {
            self.marks.remove(at);
        }
    }
}
