//! What relays reported about the snapshots of their services.

use std::time::{Duration, Instant};

use egret_model::{ServiceName, SnapshotShards};

/// After this, a report says nothing any more and the declaration counts.
const REPORT_LASTS: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Reported {
    service: ServiceName,
    held: Vec<SnapshotShards>,
    at: Instant,
}

/// The last report of each service, sorted by name.
#[derive(Debug, Default)]
pub(crate) struct SnapshotReports {
    reports: Vec<Reported>,
}

impl SnapshotReports {
    pub(crate) fn learn(&mut self, now: Instant, service: &ServiceName, held: Vec<SnapshotShards>) {
        match self.find(service) {
            Ok(at) => (self.reports[at].held, self.reports[at].at) = (held, now),
            Err(at) => self.reports.insert(at, Reported { service: service.clone(), held, at: now }),
        }
    }

    pub(crate) fn held(&self, now: Instant, service: &ServiceName) -> Option<Vec<SnapshotShards>> {
        let report = &self.reports[self.find(service).ok()?];
        let fresh = now.saturating_duration_since(report.at) < REPORT_LASTS;
        fresh.then(|| report.held.clone())
    }

    /// Forgets services that are no longer declared.
    pub(crate) fn retain(&mut self, declared: impl Fn(&ServiceName) -> bool) {
        self.reports.retain(|report| declared(&report.service));
    }

    fn find(&self, service: &ServiceName) -> Result<usize, usize> {
        self.reports.binary_search_by(|report| report.service.cmp(service))
    }
}
