//! The regions of data centres.

use std::sync::Arc;

/// The region of each data centre, as the settings of a host give it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegionMap {
    /// Pairs of data centre and region, sorted by data centre.
    regions: Vec<(Arc<str>, Arc<str>)>,
}

impl RegionMap {
    /// Creates the map of pairs of data centre and region.
    ///
    /// A data centre with two different regions counts as one whose region is not known: to take
    /// either could let a request leave its homes.
    #[must_use]
    pub fn new(pairs: impl IntoIterator<Item = (Arc<str>, Arc<str>)>) -> Self {
        let mut all: Vec<_> = pairs.into_iter().collect();
        all.sort_unstable();
        all.dedup();
        let of_one = all.chunk_by(|(a, _), (b, _)| a == b);
        Self { regions: of_one.filter(|pairs| pairs.len() == 1).flatten().cloned().collect() }
    }

    /// Returns the region of a data centre, if it is known.
    #[must_use]
    pub fn region_of(&self, data_centre: &str) -> Option<&str> {
        let at = self.regions.binary_search_by(|(name, _)| (**name).cmp(data_centre)).ok()?;
        Some(&self.regions[at].1)
    }
}
