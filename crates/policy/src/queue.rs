//! The queue of work that waits for a slot.

use egret_model::Fingerprint;

use crate::{Work, WorkId};

/// One start from the queue in this many goes to the last class.
const LAST_CLASS_EVERY: u32 = 16;

/// A queue ordered by class rank, then deadline, then arrival.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkQueue {
    waiting: Vec<Work>,
    starts: u32,
}

impl WorkQueue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of waiting pieces of work that would be served before this one.
    pub(crate) fn position(&self, work: &Work) -> usize {
        self.waiting.partition_point(|other| sort_key(other) < sort_key(work))
    }

    pub(crate) fn insert(&mut self, work: Work) -> usize {
        let at = self.position(&work);
        self.waiting.insert(at, work);
        at
    }

    pub(crate) fn remove(&mut self, id: WorkId) -> Option<Work> {
        let at = self.waiting.iter().position(|work| work.id == id)?;
        Some(self.waiting.remove(at))
    }

    pub(crate) fn pop_last(&mut self) -> Option<Work> {
        self.waiting.pop()
    }

    /// Removes and returns the next work that `can_run` allows.
    ///
    /// Classes are served in strict order, except for a small share that goes to
    /// the last class, so that it makes progress under sustained overload.
    pub(crate) fn take(&mut self, can_run: impl Fn(&Work) -> bool) -> Option<Work> {
        let first = self.waiting.iter().position(&can_run)?;
        self.starts = self.starts.wrapping_add(1);
        let at = if self.starts.is_multiple_of(LAST_CLASS_EVERY) {
            self.first_of_last_rank(&can_run)
        } else {
            first
        };
        Some(self.waiting.remove(at))
    }

    /// Lifts the limit of one replica at a time from waiting work of a request that a target has answered.
    pub(crate) fn mark_proven(&mut self, fingerprint: Fingerprint) {
        let matches = |work: &&mut Work| work.unproven == Some(fingerprint);
        self.waiting.iter_mut().filter(matches).for_each(|work| work.unproven = None);
    }

    /// Removes the work for which `keep` returns false; its first argument is the position among kept work.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(usize, &Work) -> bool) {
        let mut position = 0;
        self.waiting.retain(|work| {
            let kept = keep(position, work);
            position += usize::from(kept);
            kept
        });
    }

    fn first_of_last_rank(&self, can_run: impl Fn(&Work) -> bool) -> usize {
        let last = self.waiting.iter().rposition(&can_run).unwrap_or(0);
        let rank = self.waiting[last].rank;
        self.waiting.iter().position(|work| work.rank == rank && can_run(work)).unwrap_or(last)
    }
}

fn sort_key(work: &Work) -> (u8, std::time::Instant, WorkId) {
    (work.rank, work.deadline, work.id)
}
