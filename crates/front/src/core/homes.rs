//! The homes of requests, and the targets and gatherers within them.

use std::sync::Arc;

use arc_swap::{ArcSwap, Guard};
use egret_routes::{Homes, Route, RouteTable};

use super::{Core, lock};
use crate::{caller_request::CallerRequest, home_views::HomeViews, target_set::TargetSet};

impl Core {
    /// Returns the regions in which a request on a route must stay.
    pub(crate) fn homes_of(&self, table: &RouteTable, route: Option<&Route>, req: &CallerRequest) -> Homes {
        let Some(route) = route else { return Homes::default() };
        let names = req.headers.get_all(&self.options.headers.caller);
        let names = names.iter().filter_map(|name| std::str::from_utf8(name.as_bytes()).ok());
        table.homes(route, names.flat_map(|names| names.split(',')).map(str::trim))
    }

    /// Returns the targets to which a request with these homes may be sent.
    pub(crate) fn targets_within(&self, homes: &Homes) -> Guard<Arc<TargetSet>> {
        self.within(&self.targets, |(targets, _)| targets, homes)
    }

    /// Returns the gatherers to which a request with these homes may be sent.
    ///
    /// The region of the caller is not known, so only gatherers within the homes get its body.
    pub(crate) fn gatherers_within(&self, homes: &Homes) -> Guard<Arc<TargetSet>> {
        self.within(&self.gatherers, |(_, gatherers)| gatherers, homes)
    }

    fn within(
        &self,
        all: &ArcSwap<TargetSet>,
        views: impl FnOnce(&mut (HomeViews, HomeViews)) -> &mut HomeViews,
        homes: &Homes,
    ) -> Guard<Arc<TargetSet>> {
        let all = all.load();
        if homes.is_unrestricted() {
            return all;
        }
        Guard::from_inner(views(&mut lock(&self.home_views)).view(&all, homes, &self.options.regions))
    }
}
