//! Runs of replicas that said in their answers that they leave.

use crate::{Replica, ReplicaRun};

/// Runs that are remembered, at most; a fleet's replicas several times over.
const RUNS_MAX: usize = 8192;

/// Runs of replicas that said in their answers that they leave, sorted by identifier.
///
/// A run never takes the word back, whatever the store lists under its identifier, so it is
/// kept beside the store's entries. Of each identifier the latest run is remembered.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeavingRuns {
    runs: Vec<ReplicaRun>,
}

impl LeavingRuns {
    /// Adds a run; returns whether it was not known.
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

    /// Tells whether a replica's run leaves.
    pub(crate) fn contains(&self, replica: &Replica) -> bool {
        self.find(&replica.id).is_ok_and(|at| self.runs[at].started_at_ms == replica.started_at_ms)
    }

    /// Forgets runs of which `is_needed` says so, where too many are remembered.
    pub(crate) fn limit(&mut self, is_needed: impl Fn(&ReplicaRun) -> bool) {
        if self.runs.len() > RUNS_MAX {
            self.runs.retain(is_needed);
            self.runs.truncate(RUNS_MAX);
        }
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.runs.binary_search_by(|run| (*run.id).cmp(id))
    }
}
