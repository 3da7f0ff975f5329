//! Runs of replicas that announced in their responses that they leave.

use crate::{Replica, ReplicaRun};

/// Leaving runs that are kept, at most; several times the number of replicas in a fleet.
const LEAVING_RUNS_MAX: usize = 8192;

/// Runs of replicas that announced in their responses that they leave, sorted by identifier.
///
/// A run never returns to service, whatever the store lists under its identifier, so the
/// announcement is kept apart from the store's entries. Only the latest run of each identifier is
/// kept.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeavingRuns {
    runs: Vec<ReplicaRun>,
}

impl LeavingRuns {
    /// Adds a run; returns whether it is later than the one known for its identifier.
    pub(crate) fn add(&mut self, run: ReplicaRun) -> bool {
        match self.find(&run.id) {
            Ok(at) if self.runs[at].started_at_ms >= run.started_at_ms => false,
            Ok(at) => {
                self.runs[at] = run;
                true
            }
            Err(at) => {
                self.runs.insert(at, run);
                true
            }
        }
    }

    /// Returns whether the replica's present run is leaving.
    pub(crate) fn contains(&self, replica: &Replica) -> bool {
        self.find(&replica.id).is_ok_and(|at| self.runs[at].started_at_ms == replica.started_at_ms)
    }

    /// Keeps only runs for which `is_needed` returns true once there are too many, and never more
    /// than [`LEAVING_RUNS_MAX`].
    pub(crate) fn limit(&mut self, is_needed: impl Fn(&ReplicaRun) -> bool) {
        if self.runs.len() > LEAVING_RUNS_MAX {
            self.runs.retain(is_needed);
            self.runs.truncate(LEAVING_RUNS_MAX);
        }
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.runs.binary_search_by(|run| (*run.id).cmp(id))
    }
}
