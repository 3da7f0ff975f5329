//! Replicas that only a copy of the store lists.

use crate::Replica;

/// The last reports of replicas whose entries were deleted before the store came back from a copy
/// that lists them, sorted by identifier.
///
/// The copy says what was true before the deletion, so such a replica gets no work until it
/// reports again.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportsBeforeDeletion {
    reports: Vec<Replica>,
}

impl ReportsBeforeDeletion {
    /// Notes the last report before a deletion.
    pub(crate) fn add(&mut self, report: Replica) {
        match self.find(&report.id) {
            Ok(at) => self.reports[at] = report,
            Err(at) => self.reports.insert(at, report),
        }
    }

    /// Forgets what was noted of an identifier.
    pub(crate) fn remove(&mut self, id: &str) {
        if let Ok(at) = self.find(id) {
            self.reports.remove(at);
        }
    }

    /// Tells whether a replica said nothing after its deletion.
    pub(crate) fn contains(&self, replica: &Replica) -> bool {
        self.find(&replica.id).is_ok_and(|at| !self.reports[at].is_older_than(replica))
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.reports.binary_search_by(|report| (*report.id).cmp(id))
    }
}
