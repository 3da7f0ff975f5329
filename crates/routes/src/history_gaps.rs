//! Stretches of the store's history of which only the outcome is known.

use crate::StorePosition;

/// Stretches that are kept apart; more than hosts restart or lose the history while one lags.
const GAPS_MAX: usize = 8;

/// Stretches of the store's history of which only the outcome is known.
///
/// A whole read tells what is listed, not what was written and deleted before it. A host that
/// heard of something within such a stretch needs the whole registry to learn that it is gone.
#[derive(Clone, Debug, Default)]
pub(crate) struct HistoryGaps {
    /// Where each begins, after which nothing is known, and where it ends; the latest last.
    gaps: Vec<(StorePosition, StorePosition)>,
}

impl HistoryGaps {
    /// Notes that only the outcome is known of what happened between two positions.
    pub(crate) fn add(&mut self, after: StorePosition, until: StorePosition) {
        self.gaps.push((after, until));
        if self.gaps.len() > GAPS_MAX {
            let (after, until) = self.gaps.remove(0);
            let next = &mut self.gaps[0];
            *next = (next.0.min(after), next.1.max(until));
        }
    }

    /// Tells whether a part of the history after a position is not known change by change.
    pub(crate) fn extend_beyond(&self, synced: StorePosition) -> bool {
        self.gaps.iter().any(|&(_, until)| synced < until)
    }

    /// Tells whether something may be lacking of what a host knows that is complete up to
    /// `synced` and has heard of changes up to `changed`.
    pub(crate) fn may_hide_changes(&self, synced: StorePosition, changed: StorePosition) -> bool {
        self.gaps.iter().any(|&(after, until)| synced < until && synced.max(changed) > after)
    }
}
