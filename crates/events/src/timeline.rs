//! Merging and filtering the journals of several processes.

use egret_model::QueryId;

use crate::Event;

/// Selects the events of a timeline; the default filter matches all.
#[derive(Clone, Debug, Default)]
pub struct EventFilter {
    /// Matches only events of this query.
    pub query: Option<QueryId>,
    /// Matches only events with this number.
    pub number: Option<u16>,
    /// Matches only events of processes on this host.
    pub host: Option<String>,
}

impl EventFilter {
    /// Returns whether an event meets all conditions.
    #[must_use]
    pub fn matches(&self, event: &Event) -> bool {
        let host = event.process.rsplit('@').next().unwrap_or_default();
        self.query.is_none_or(|query| event.query == Some(query))
            && self.number.is_none_or(|number| event.code.number() == number)
            && self.host.as_deref().is_none_or(|wanted| host == wanted)
    }
}

/// Merges the events of several processes into causal order.
///
/// Events with equal stamps are ordered by process, so that the same journals
/// always give the same timeline.
#[must_use]
pub fn merge_journals(journals: impl IntoIterator<Item = Vec<Event>>) -> Vec<Event> {
    let mut timeline: Vec<Event> = journals.into_iter().flatten().collect();
    timeline.sort_by(|a, b| a.stamp.cmp(&b.stamp).then_with(|| a.process.cmp(&b.process)));
    timeline
}
