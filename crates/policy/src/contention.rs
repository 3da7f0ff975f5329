//! Services that recently refused work for lack of slots.

use std::time::{Duration, Instant};

use egret_model::ServiceName;

/// How long a service counts as contended after a refusal.
const CONTENTION_TTL: Duration = Duration::from_millis(1000);

#[derive(Clone, Debug)]
struct Refusing {
    service: ServiceName,
    at: Instant,
}

/// The services that recently refused work because of overload.
///
/// Where one of a query's services is contended, an entry first asks the relays whether
/// they would refuse the query; see docs/DESIGN.md, "Preflight".
///
/// ```
/// use std::time::{Duration, Instant};
/// use egret_policy::Contention;
///
/// let (now, service) = (Instant::now(), "field-desk-00".parse().unwrap());
/// let mut contention = Contention::default();
/// contention.record_refusal(now, &service);
/// assert!(contention.is_contended(now, &service));
/// assert!(!contention.is_contended(now + Duration::from_secs(2), &service));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Contention {
    refusing: Vec<Refusing>,
}

impl Contention {
    /// Records that a service refused work for lack of slots.
    pub fn record_refusal(&mut self, now: Instant, service: &ServiceName) {
        match self.find(service) {
            Ok(at) => self.refusing[at].at = now,
            Err(at) => self.refusing.insert(at, Refusing { service: service.clone(), at: now }),
        }
    }

    /// Tells whether a service refused work recently.
    #[must_use]
    pub fn is_contended(&self, now: Instant, service: &ServiceName) -> bool {
        let is_recent = |at: usize| now.saturating_duration_since(self.refusing[at].at) < CONTENTION_TTL;
        self.find(service).is_ok_and(is_recent)
    }

    /// Drops services that are no longer declared.
    pub fn retain(&mut self, declared: impl Fn(&ServiceName) -> bool) {
        self.refusing.retain(|refusing| declared(&refusing.service));
    }

    fn find(&self, service: &ServiceName) -> Result<usize, usize> {
        self.refusing.binary_search_by(|refusing| refusing.service.cmp(service))
    }
}
