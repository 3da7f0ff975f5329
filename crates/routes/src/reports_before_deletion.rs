//! Replicas that only a restored backup of the store lists.

use crate::Replica;

/// The last reports of replicas whose entries were deleted before the store was restored from a
/// backup that still lists them, sorted by identifier.
///
/// The backup predates the deletion, so such a replica receives no requests until it reports
/// again.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportsBeforeDeletion {
    reports: Vec<Replica>,
}

impl ReportsBeforeDeletion {
    /// Records the last report before a deletion.
    pub(crate) fn add(&mut self, report: Replica) {
        match self.find(&report.id) {
            Ok(at) => self.reports[at] = report,
            Err(at) => self.reports.insert(at, report),
        }
    }

    /// Removes the report of an identifier.
    pub(crate) fn remove(&mut self, id: &str) {
        if let Ok(at) = self.find(id) {
            self.reports.remove(at);
        }
    }

    /// Returns whether a replica has not reported since its deletion.
    pub(crate) fn contains(&self, replica: &Replica) -> bool {
        self.find(&replica.id).is_ok_and(|at| !self.reports[at].is_older_than(replica))
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.reports.binary_search_by(|report| (*report.id).cmp(id))
    }
}
