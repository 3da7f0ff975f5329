//! Parsing of the names of mechanisms that can be disabled.

use egret_front::{DisabledMechanisms, Mechanism};

#[test]
fn names_are_separated_by_commas() {
    let disabled: DisabledMechanisms = "push, second-copies,".parse().unwrap();
    assert!(disabled.contains(Mechanism::GossipPush) && disabled.contains(Mechanism::Hedging));
    assert!(!disabled.contains(Mechanism::Gatherers));
    assert!(!"".parse::<DisabledMechanisms>().unwrap().contains(Mechanism::GossipPush));
}

#[test]
fn the_error_for_an_unknown_name_lists_the_known_names() {
    let error = "push,hedges".parse::<DisabledMechanisms>().unwrap_err().to_string();
    assert!(error.contains("no mechanism hedges") && error.contains("second-copies"), "{error}");
}
