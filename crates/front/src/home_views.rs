//! The targets within the homes of requests.

use std::sync::Arc;

use egret_routes::{Homes, RegionMap};

use crate::target_set::TargetSet;

/// How many different homes are kept at most; a configuration with more has them computed again.
const VIEWS_MAX: usize = 64;

/// The targets of one set that lie within homes, for each of the homes that requests had.
///
/// Computed when a request with these homes comes first, and dropped when the set is replaced.
#[derive(Debug, Default)]
pub(crate) struct HomeViews {
    all: Arc<TargetSet>,
    views: Vec<(Homes, Arc<TargetSet>)>,
}

impl HomeViews {
    /// Returns the targets of `all` in data centres whose region the homes allow.
    pub(crate) fn view(
        &mut self,
        all: &Arc<TargetSet>,
        homes: &Homes,
        regions: &RegionMap,
    ) -> Arc<TargetSet> {
        if !Arc::ptr_eq(&self.all, all) || self.views.len() >= VIEWS_MAX {
            *self = Self { all: Arc::clone(all), views: Vec::new() };
        }
        if let Some((_, view)) = self.views.iter().find(|(known, _)| known == homes) {
            return Arc::clone(view);
        }
        let view = all.in_data_centres(|data_centre| homes.allows(regions.region_of(data_centre)));
        let view = Arc::new(view);
        self.views.push((homes.clone(), Arc::clone(&view)));
        view
    }
}
