//! Which services lately refused work for lack of slots.

use std::time::{Duration, Instant};

use egret_model::ServiceName;

/// For how long a refusal says that the next one is likely.
const CONTENDED_FOR: Duration = Duration::from_millis(1000);

#[derive(Clone, Debug)]
struct Refusing {
    service: ServiceName,
    at: Instant,
}

/// Remembers the services that refused work as overloaded.
///
/// An entry asks first whether a query will be taken where one of its services is
/// contended; see docs/DESIGN.md, "Preflight".
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
    /// Notes that a service refused work for lack of slots.
    pub fn record_refusal(&mut self, now: Instant, service: &ServiceName) {
        match self.find(service) {
            Ok(at) => self.refusing[at].at = now,
            Err(at) => self.refusing.insert(at, Refusing { service: service.clone(), at: now }),
        }
    }

    /// Tells whether a service refused work lately.
    #[must_use]
    pub fn is_contended(&self, now: Instant, service: &ServiceName) -> bool {
        let lasts = |at: usize| now.saturating_duration_since(self.refusing[at].at) < CONTENDED_FOR;
        self.find(service).is_ok_and(lasts)
    }

    /// Forgets services that are no longer declared.
    pub fn retain(&mut self, declared: impl Fn(&ServiceName) -> bool) {
        self.refusing.retain(|refusing| declared(&refusing.service));
    }

    fn find(&self, service: &ServiceName) -> Result<usize, usize> {
        self.refusing.binary_search_by(|refusing| refusing.service.cmp(service))
    }
}
