//! Causal order, the journal's limit and the catalogue of events.

use egret_events::{Clock, Code, EventFilter, JOURNAL_EVENTS_MAX, Journal, merge_journals};
use egret_model::QueryId;
use quickcheck::{Gen, QuickCheck};

/// Processes with wrong clocks send each other messages; every cause is sorted before its effect.
fn causes_precede_effects(clocks: Vec<u64>, messages: Vec<(u8, u8)>) -> bool {
    let clocks: Vec<u64> = if clocks.is_empty() { vec![1, 1_000_000] } else { clocks };
    let journals: Vec<Journal> = clocks
        .iter()
        .enumerate()
        .map(|(number, &micros)| {
            Journal::new(format!("p{number}@h"), Clock::with_source(move || micros >> 8))
        })
        .collect();
    for (number, (from, to)) in messages.iter().enumerate() {
        let from = &journals[usize::from(*from) % journals.len()];
        let to = &journals[usize::from(*to) % journals.len()];
        let sent = from.record(Code::ScatterSent, QueryId(number as u128), "");
        to.clock().observe(sent);
        to.record(Code::ScatterReceived, QueryId(number as u128), "");
    }
    let timeline = merge_journals(journals.iter().map(Journal::events));
    (0..messages.len()).all(|number| {
        let at =
            |code| timeline.iter().position(|e| e.code == code && e.query == Some(QueryId(number as u128)));
        at(Code::ScatterSent) < at(Code::ScatterReceived)
    })
}

#[test]
fn a_cause_precedes_its_effect_whatever_the_clocks_read() {
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(40, 11)).tests(300);
    check.quickcheck(causes_precede_effects as fn(Vec<u64>, Vec<(u8, u8)>) -> bool);
}

#[test]
fn a_journal_is_bounded_and_filters_select_events() {
    let journal = Journal::new("relay@host-1", Clock::new());
    for number in 0..JOURNAL_EVENTS_MAX as u128 + 10 {
        journal.record(Code::TargetSent, QueryId(number), "");
    }
    let events = journal.events();
    assert_eq!(events.len(), JOURNAL_EVENTS_MAX);
    let one = EventFilter { query: Some(QueryId(20)), ..EventFilter::default() };
    assert_eq!(events.iter().filter(|event| one.matches(event)).count(), 1);
    let host = EventFilter { host: Some("host-2".to_owned()), ..EventFilter::default() };
    assert_eq!(events.iter().filter(|event| host.matches(event)).count(), 0);
}

/// docs/EVENTS.md and the code must list the same events with the same texts.
#[test]
fn the_catalogue_lists_every_event() {
    let catalogue =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/EVENTS.md")).unwrap();
    let rows: Vec<&str> = catalogue.lines().filter(|line| line.starts_with("| E")).collect();
    for code in Code::all() {
        let start = format!("| {code} | {} |", code.text());
        assert!(rows.iter().any(|row| row.starts_with(&start)), "docs/EVENTS.md lacks {start}");
    }
    assert_eq!(rows.len(), Code::all().len(), "docs/EVENTS.md lists events that do not exist");
}
