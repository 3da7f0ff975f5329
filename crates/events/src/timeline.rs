//! Merging the journals of all processes.

use egret_model::QueryId;

use crate::Event;

/// Chooses the events of a time line; an empty filter keeps all.
#[derive(Clone, Debug, Default)]
pub struct EventFilter {
    /// Keeps the events of one query.
    pub query: Option<QueryId>,
    /// Keeps the events with one number.
    pub number: Option<u16>,
    /// Keeps the events of processes on one host.
    pub host: Option<String>,
}

impl EventFilter {
    /// Tells whether an event passes.
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
/// Events with equal stamps are ordered by process, so that every run over the
/// same journals prints the same line.
#[must_use]
pub fn merge_journals(journals: impl IntoIterator<Item = Vec<Event>>) -> Vec<Event> {
    let mut line: Vec<Event> = journals.into_iter().flatten().collect();
    line.sort_by(|a, b| a.stamp.cmp(&b.stamp).then_with(|| a.process.cmp(&b.process)));
    line
}
