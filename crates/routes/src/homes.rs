//! The regions in which a request must stay.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The regions in which a request must stay, or no restriction.
///
/// Cheap to clone. See docs/design/homes.md.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Homes(
    /// Sorted; `None` is no restriction, an empty list allows no region.
    Option<Arc<[Arc<str>]>>,
);

impl Homes {
    /// Creates the homes that a configuration lists; an empty list is no restriction.
    #[must_use]
    pub fn new(regions: Vec<Arc<str>>) -> Self {
        if regions.is_empty() { Self::default() } else { Self::only(regions) }
    }

    fn only(mut regions: Vec<Arc<str>>) -> Self {
        regions.sort_unstable();
        regions.dedup();
        Self(Some(regions.into()))
    }

    /// Returns the regions, sorted; `None` if there is no restriction.
    #[must_use]
    pub fn regions(&self) -> Option<&[Arc<str>]> {
        self.0.as_deref()
    }

    /// Returns whether a request may go anywhere.
    #[must_use]
    pub fn is_unrestricted(&self) -> bool {
        self.0.is_none()
    }

    /// Returns whether no region is allowed, so that the request can be served nowhere.
    #[must_use]
    pub fn is_nowhere(&self) -> bool {
        self.regions().is_some_and(<[Arc<str>]>::is_empty)
    }

    /// Returns whether a request may go to a region; `None` is a region that is not known, which is
    /// outside of every home.
    #[must_use]
    pub fn allows(&self, region: Option<&str>) -> bool {
        let Some(regions) = self.regions() else { return true };
        region.is_some_and(|region| regions.binary_search_by(|home| (**home).cmp(region)).is_ok())
    }

    /// Returns the homes to which both sets restrict a request.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        match (self.regions(), other.regions()) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(regions), Some(_)) => {
                Self::only(regions.iter().filter(|region| other.allows(Some(region))).cloned().collect())
            }
        }
    }
}
