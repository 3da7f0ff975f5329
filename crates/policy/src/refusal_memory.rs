//! Which gatherers refused a gather a moment ago.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// How long a refusal is remembered: a gatherer that refuses is at its limit, which a few gathers that end change.
const REFUSAL_TTL: Duration = Duration::from_millis(100);
/// The most refusals that are remembered.
const REFUSALS_MAX: usize = 256;

/// The last refusal of a gather with this priority and objective by a gatherer.
#[derive(Clone, Debug)]
struct Refusal {
    gatherer: Arc<str>,
    priority: u32,
    objective: Duration,
    refused_at: Instant,
}

/// The gatherers that refused a moment ago, which a refused gather is not sent to again.
///
/// A gather that one gatherer refused is sent to another one, as limits and demand differ between them. While all
/// gatherers refuse, such second requests would only cost them processor time.
#[derive(Clone, Debug, Default)]
pub struct RefusalMemory {
    /// Sorted by gatherer, priority and objective.
    refusals: Vec<Refusal>,
}

impl RefusalMemory {
    /// Records that a gatherer refused a gather with this priority and objective.
    pub fn record(&mut self, now: Instant, gatherer: &Arc<str>, priority: u32, objective: Duration) {
        if let Ok(at) = self.find(gatherer, priority, objective) {
            self.refusals[at].refused_at = now;
            return;
        }
        self.refusals.retain(|refusal| is_recent(now, refusal));
        if self.refusals.len() == REFUSALS_MAX {
            let oldest = (0..REFUSALS_MAX).min_by_key(|&at| self.refusals[at].refused_at);
            oldest.into_iter().for_each(|at| drop(self.refusals.remove(at)));
        }
        let at = self.find(gatherer, priority, objective).unwrap_or_else(|at| at);
        let gatherer = Arc::clone(gatherer);
        self.refusals.insert(at, Refusal { gatherer, priority, objective, refused_at: now });
    }

    /// Returns the gatherers that refused a gather with this priority and objective a moment ago.
    pub fn refusers(
        &self,
        now: Instant,
        priority: u32,
        objective: Duration,
    ) -> impl Iterator<Item = &Arc<str>> {
        let is_same = move |refusal: &&Refusal| {
            refusal.priority == priority && refusal.objective == objective && is_recent(now, refusal)
        };
        self.refusals.iter().filter(is_same).map(|refusal| &refusal.gatherer)
    }

    /// Returns the number of refusals that are held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.refusals.len()
    }

    /// Returns whether no refusal is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.refusals.is_empty()
    }

    fn find(&self, gatherer: &str, priority: u32, objective: Duration) -> Result<usize, usize> {
        let key = (gatherer, priority, objective);
        self.refusals.binary_search_by(|held| (&*held.gatherer, held.priority, held.objective).cmp(&key))
    }
}

fn is_recent(now: Instant, refusal: &Refusal) -> bool {
    now.saturating_duration_since(refusal.refused_at) < REFUSAL_TTL
}
