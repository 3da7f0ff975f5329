//! The snapshots that the services hold, as relays reported them.

use std::time::{Duration, Instant};

use egret_model::{ServiceName, SnapshotShards};

/// How long a report is used; after that, the declared snapshots count again.
const REPORT_TTL: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct SnapshotReport {
    service: ServiceName,
    held: Vec<SnapshotShards>,
    at: Instant,
}

/// The last report of each service, sorted by name.
#[derive(Debug, Default)]
pub(crate) struct SnapshotReports {
    reports: Vec<SnapshotReport>,
}

impl SnapshotReports {
    pub(crate) fn record(&mut self, now: Instant, service: &ServiceName, held: Vec<SnapshotShards>) {
        match self.find(service) {
            Ok(at) => (self.reports[at].held, self.reports[at].at) = (held, now),
            Err(at) => self.reports.insert(at, SnapshotReport { service: service.clone(), held, at: now }),
        }
    }

    /// Returns the snapshots that a service held at its last report, if that is recent.
    pub(crate) fn held(&self, now: Instant, service: &ServiceName) -> Option<Vec<SnapshotShards>> {
        let report = &self.reports[self.find(service).ok()?];
        let fresh = now.saturating_duration_since(report.at) < REPORT_TTL;
        fresh.then(|| report.held.clone())
    }

    /// Drops services that are no longer declared.
    pub(crate) fn retain(&mut self, declared: impl Fn(&ServiceName) -> bool) {
        self.reports.retain(|report| declared(&report.service));
    }

    fn find(&self, service: &ServiceName) -> Result<usize, usize> {
        self.reports.binary_search_by(|report| report.service.cmp(service))
    }
}
