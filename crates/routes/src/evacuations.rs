//! The data centres whose replicas must get no requests.

use std::sync::Arc;

use egret_model::record;

use crate::{EvacuationChange, StorePosition};

record! {
    /// The data centres whose replicas must get no requests, as of one position of the store.
    ///
    /// The operator evacuates a data centre by an entry in the store and takes that back by deleting
    /// it. The set is small, so hosts always gossip all of it, and the set with the greater position
    /// replaces the other: a host never returns to an older one. See docs/PLATFORM.md.
    #[derive(Default, Eq)]
    pub struct Evacuations {
        /// The position up to which every change is included.
        as_of: StorePosition,
        /// Sorted.
        data_centres: Vec<Arc<str>>,
    }
}

impl Evacuations {
    /// Returns the position up to which every change is included.
    #[must_use]
    pub fn as_of(&self) -> StorePosition {
        self.as_of
    }

    /// Returns the evacuated data centres, sorted.
    #[must_use]
    pub fn data_centres(&self) -> &[Arc<str>] {
        &self.data_centres
    }

    /// Returns whether a data centre is evacuated.
    #[must_use]
    pub fn contains(&self, data_centre: &str) -> bool {
        self.find(data_centre).is_ok()
    }

    /// Applies a read of everything at `read_at`, which lists the evacuated data centres; returns
    /// whether the set differs afterwards.
    pub fn apply_full_read(&mut self, read_at: StorePosition, listed: &[EvacuationChange]) -> bool {
        let mut data_centres: Vec<Arc<str>> = listed
            .iter()
            .filter(|entry| entry.is_evacuated)
            .map(|entry| Arc::clone(&entry.data_centre))
            .collect();
        data_centres.sort_unstable();
        data_centres.dedup();
        self.merge(Self { as_of: read_at, data_centres })
    }

    /// Applies the changes, in order, that follow a position which this set includes, up to
    /// `read_at`; returns whether the set differs afterwards.
    pub fn apply_changes(&mut self, read_at: StorePosition, changes: &[EvacuationChange]) -> bool {
        let mut next = Self { as_of: read_at, ..self.clone() };
        for change in changes.iter().filter(|change| change.position > self.as_of) {
            match (next.find(&change.data_centre), change.is_evacuated) {
                (Err(at), true) => next.data_centres.insert(at, Arc::clone(&change.data_centre)),
                (Ok(at), false) => {
                    next.data_centres.remove(at);
                }
                (Ok(_), true) | (Err(_), false) => {}
            }
        }
        self.merge(next)
    }

    /// Takes over another host's set if it is of a greater position; returns whether the set differs
    /// afterwards.
    ///
    /// A set whose epoch is implausibly far ahead is ignored.
    pub fn merge(&mut self, other: Self) -> bool {
        if other.as_of <= self.as_of || !self.as_of.accepts_epoch(other.as_of.epoch) {
            return false;
        }
        let differs = self.data_centres != other.data_centres;
        *self = other;
        differs
    }

    fn find(&self, data_centre: &str) -> Result<usize, usize> {
        self.data_centres.binary_search_by(|known| (**known).cmp(data_centre))
    }
}
