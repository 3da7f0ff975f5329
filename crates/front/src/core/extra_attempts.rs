//! The budgets for extra attempts: hedges and retries, by service.

use std::{sync::Arc, time::Instant};

use egret_policy::RetryBudget;

use super::{Core, get_or_insert, lock};

impl Core {
    /// Returns the extra attempts that remain in the budget with the fewest; infinity without budgets.
    pub(crate) fn lowest_extra_attempt_budget(&self) -> f64 {
        lock(&self.budgets).iter().map(|budget| budget.value.tokens()).fold(f64::INFINITY, f64::min)
    }

    /// Credits the budget for extra attempts at a service with the first attempt of a request.
    pub(crate) fn credit_extra_attempt_budget(&self, now: Instant, service: &Arc<str>, is_shard: bool) {
        let hosts = self.hosts_sharing_limits(is_shard);
        self.with_budget(now, service, hosts, |budget| budget.earn(hosts));
    }

    /// Takes one extra attempt (a hedge or a retry) at a service out of its budget; returns whether
    /// the budget allowed it.
    pub(crate) fn try_spend_extra_attempt_budget(
        &self,
        now: Instant,
        service: &Arc<str>,
        is_shard: bool,
    ) -> bool {
        let hosts = self.hosts_sharing_limits(is_shard);
        self.with_budget(now, service, hosts, |budget| budget.spend(now, hosts))
    }

    fn with_budget<R>(
        &self,
        now: Instant,
        service: &Arc<str>,
        hosts: usize,
        act: impl FnOnce(&mut RetryBudget) -> R,
    ) -> R {
        let create = || RetryBudget::new(now, self.options.retry_limits, hosts);
        act(get_or_insert(&mut lock(&self.budgets), service, create))
    }
}
