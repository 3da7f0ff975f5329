//! Requests that break the targets that run them.

use std::time::{Duration, Instant};

use egret_model::{Fingerprint, SuspectMark};

/// Broken connections after which a request is refused.
pub const POISON_BREAK_COUNT: u8 = 2;
/// For how long a break is held against a request.
pub const MARK_TTL: Duration = Duration::from_secs(60);

/// For how long a first break is held against a request that did not run alone.
///
/// A target that is lost takes innocent requests with it. They must not miss its
/// other replica for long, and a request that breaks the next one too is caught then.
pub const SHARED_SUSPECT_TTL: Duration = Duration::from_millis(2500);

const MARKS_MAX: usize = 4096;
const PROVEN_MAX: usize = 1024;

#[derive(Clone, Copy, Debug)]
struct Marked {
    fingerprint: Fingerprint,
    breaks: u8,
    until: Instant,
    suspect_until: Instant,
}

impl Marked {
    fn export_mark(&self, now: Instant) -> Option<SuspectMark> {
        let left_ms = |until: Instant| until.saturating_duration_since(now).as_millis() as u32;
        let expires_in_ms = left_ms(self.until);
        let suspect_ms = left_ms(self.suspect_until);
        let Self { fingerprint, breaks, .. } = *self;
        (expires_in_ms > 0).then_some(SuspectMark { fingerprint, breaks, expires_in_ms, suspect_ms })
    }
}

/// Remembers which requests broke connections while a target ran them.
///
/// The table is bounded; when full, the mark that would end first makes room.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    marks: Vec<Marked>,
    proven: Vec<Fingerprint>,
    proven_next: usize,
}

impl Suspects {
    /// Returns the connections that a request is known to have broken.
    #[must_use]
    pub fn breaks(&self, now: Instant, fingerprint: Fingerprint) -> u8 {
        let Ok(at) = self.find(fingerprint) else { return 0 };
        if now < self.marks[at].until { self.marks[at].breaks } else { 0 }
    }

    /// Adds one broken connection and returns the sum.
    ///
    /// `alone` says that no other request ran at the target, so that this one is
    /// the likely cause. The first break of a request that shared the target is
    /// still remembered as a break, but makes it a suspect only for a short time.
    pub fn record_break(&mut self, now: Instant, fingerprint: Fingerprint, alone: bool) -> u8 {
        let breaks = self.breaks(now, fingerprint).saturating_add(1);
        let is_shared = !alone && breaks == 1;
        let suspect_until = now + if is_shared { SHARED_SUSPECT_TTL } else { MARK_TTL };
        self.insert(now, Marked { fingerprint, breaks, until: now + MARK_TTL, suspect_until });
        breaks
    }

    /// Returns the mark of a request, to tell other processes.
    #[must_use]
    pub fn export_mark(&self, now: Instant, fingerprint: Fingerprint) -> Option<SuspectMark> {
        let at = self.find(fingerprint).ok()?;
        self.marks[at].export_mark(now)
    }

    /// Returns the marks that last longest, at most `max`, to tell other processes.
    #[must_use]
    pub fn export_marks(&self, now: Instant, max: usize) -> Vec<SuspectMark> {
        let mut told: Vec<SuspectMark> =
            self.marks.iter().filter_map(|marked| marked.export_mark(now)).collect();
        told.sort_by_key(|mark| std::cmp::Reverse(mark.expires_in_ms));
        told.truncate(max);
        told
    }

    /// Remembers a request that a target answered; the oldest one makes room.
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

    /// Tells whether a target answered the request lately.
    #[must_use]
    pub fn is_proven(&self, fingerprint: Fingerprint) -> bool {
        self.proven.contains(&fingerprint)
    }

    /// Tells whether a request must not reach the last live replica.
    #[must_use]
    pub fn is_suspect(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        self.find(fingerprint).is_ok_and(|at| now < self.marks[at].suspect_until)
    }

    /// Takes in what another process knows, where it is more; it ends when it ends there.
    pub fn merge_mark(&mut self, now: Instant, mark: SuspectMark) {
        let SuspectMark { fingerprint, breaks, expires_in_ms, suspect_ms } = mark;
        if breaks <= self.breaks(now, fingerprint) {
            return;
        }
        let after = |ms: u32| now + Duration::from_millis(u64::from(ms)).min(MARK_TTL);
        let marked =
            Marked { fingerprint, breaks, until: after(expires_in_ms), suspect_until: after(suspect_ms) };
        self.insert(now, marked);
    }

    fn insert(&mut self, now: Instant, marked: Marked) {
        let fingerprint = marked.fingerprint;
        match self.find(fingerprint) {
            Ok(at) => self.marks[at] = marked,
            Err(_) => {
                self.make_room(now);
                let at = self.find(fingerprint).unwrap_or_else(|at| at);
                self.marks.insert(at, marked);
            }
        }
    }

    /// Tells whether a request is refused.
    #[must_use]
    pub fn is_poison(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        self.breaks(now, fingerprint) >= POISON_BREAK_COUNT
    }

    /// Returns how long the mark of a request still lasts.
    #[must_use]
    pub fn mark_ttl(&self, now: Instant, fingerprint: Fingerprint) -> Duration {
        self.find(fingerprint)
            .map_or(Duration::ZERO, |at| self.marks[at].until.saturating_duration_since(now))
    }

    fn find(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.marks.binary_search_by_key(&fingerprint, |marked| marked.fingerprint)
    }

    fn make_room(&mut self, now: Instant) {
        if self.marks.len() < MARKS_MAX {
            return;
        }
        self.marks.retain(|marked| now < marked.until);
        if self.marks.len() == MARKS_MAX
            && let Some(at) = (0..self.marks.len()).min_by_key(|&at| self.marks[at].until)
        {
            self.marks.remove(at);
        }
    }
}
