//! The route table, one version of the configuration.

use egret_model::{Version, record};

use crate::{Backend, CallerHomes, CallerLimits, Homes, Route, Service};

record! {
    /// One immutable version of the configuration.
    pub struct RouteTable {
        version: Version,
        /// Sorted by host and prefix.
        routes: Vec<Route>,
        /// Sorted by name.
        services: Vec<Service>,
        limits: CallerLimits,
        /// The client accounts with homes, sorted by name; `None` in a message of a build that knows no
        /// homes, which leaves out those of routes, too.
        #[serde(default)]
        callers: Option<Vec<CallerHomes>>,
    }
}

impl RouteTable {
    /// Builds a table from routes and services in any order.
    #[must_use]
    pub fn new(
        version: Version,
        mut routes: Vec<Route>,
        mut services: Vec<Service>,
        limits: CallerLimits,
    ) -> Self {
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        services.sort_by(|a, b| a.name.cmp(&b.name));
        Self { version, routes, services, limits, callers: Some(Vec::new()) }
    }

    /// Adds the homes of client accounts, in any order.
    #[must_use]
    pub fn with_callers(mut self, mut callers: Vec<CallerHomes>) -> Self {
        callers.sort_by(|a, b| a.name.cmp(&b.name));
        self.callers = Some(callers);
        self
    }

    /// Returns the version.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the limits on callers.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns all routes, sorted by host and prefix.
    #[must_use]
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns the route of `host` with the longest prefix of `path`; a query string is ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let path = path.split('?').next().unwrap_or_default();
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.into_iter().find_map(|end| self.route_at(host, &path[..end]))
    }

    /// Finds a route by its name.
    #[must_use]
    pub fn find_by_name(&self, name: &str) -> Option<&Route> {
        self.routes.iter().find(|route| *route.name == *name)
    }

    /// Returns whether a build that knows homes decoded the configuration, so that none is left out.
    #[must_use]
    pub fn states_homes(&self) -> bool {
        self.callers.is_some()
    }

    /// Returns whether any route or client account has homes.
    #[must_use]
    pub fn has_homes(&self) -> bool {
        self.callers.as_ref().is_some_and(|callers| !callers.is_empty())
            || self.routes.iter().any(|route| !route.homes.is_unrestricted())
    }

    /// Returns the homes of a request on a route that names these client accounts.
    pub fn homes<'a>(&self, route: &Route, callers: impl Iterator<Item = &'a str>) -> Homes {
        let of_caller =
            |name: &'a str| self.callers.iter().flatten().filter(move |caller| *caller.name == *name);
        callers
            .flat_map(of_caller)
            .fold(route.homes.clone(), |homes, caller| homes.intersection(&caller.homes))
    }

    /// Returns all services, sorted by name.
    #[must_use]
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Returns whether replicas of any service tolerate only a limited rate while they warm up.
    #[must_use]
    pub fn limits_warm_up(&self) -> bool {
        self.services.iter().any(|service| service.warm_up.is_some())
    }

    /// Returns whether a service is a shard of any route.
    #[must_use]
    pub fn is_shard(&self, service: &str) -> bool {
        self.routes.iter().any(|route| match &route.backend {
            Backend::Gather(plan) => plan.shards.iter().any(|shard| **shard == *service),
            Backend::One(_) | Backend::Split(_) => false,
        })
    }

    /// Finds a service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self.services.binary_search_by(|service| (*service.name).cmp(name)).ok()?;
        Some(&self.services[at])
    }

    fn route_at(&self, host: &str, prefix: &str) -> Option<&Route> {
        let at = self.routes.binary_search_by(|route| (&*route.host, &*route.prefix).cmp(&(host, prefix)));
        Some(&self.routes[at.ok()?])
    }
}
