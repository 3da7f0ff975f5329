//! Ranges of the store's history in which single changes are unknown.

use crate::StorePosition;

/// Gaps that are kept apart; beyond it the two oldest become one. It is more than the restarts and
/// losses of history that occur among the hosts while one host lags behind.
const GAPS_MAX: usize = 8;

/// Ranges of the store's history of which only the resulting state is known.
///
/// A full read returns the present entries, not those written and deleted before it. A host that
/// learned of a change within such a gap needs the whole registry to detect its deletion.
#[derive(Clone, Debug, Default)]
pub(crate) struct HistoryGaps {
    /// The start (exclusive) and the end (inclusive) of each gap, the latest last.
    gaps: Vec<(StorePosition, StorePosition)>,
}

impl HistoryGaps {
    /// Records that single changes between two positions are unknown.
    pub(crate) fn add(&mut self, after: StorePosition, until: StorePosition) {
        self.gaps.push((after, until));
        if self.gaps.len() > GAPS_MAX {
            let (after, until) = self.gaps.remove(0);
            let next = &mut self.gaps[0];
            *next = (next.0.min(after), next.1.max(until));
        }
    }

    /// Returns whether a gap ends after `synced`.
    pub(crate) fn extend_beyond(&self, synced: StorePosition) -> bool {
        self.gaps.iter().any(|&(_, until)| synced < until)
    }

    /// Returns whether a gap may hide deletions from a host that knows every change up to `synced`
    /// and some changes up to `changed`.
    pub(crate) fn may_hide_changes(&self, synced: StorePosition, changed: StorePosition) -> bool {
        self.gaps.iter().any(|&(after, until)| synced < until && synced.max(changed) > after)
    }
}
