//! The names of mechanisms that can be switched off.

use egret_front::{DisabledMechanisms, Mechanism};

#[test]
fn names_are_separated_by_commas() {
    let off: DisabledMechanisms = "push, second-copies,".parse().unwrap();
    assert!(off.contains(Mechanism::GossipPush) && off.contains(Mechanism::Hedging));
    assert!(!off.contains(Mechanism::Gatherers));
    assert!(!"".parse::<DisabledMechanisms>().unwrap().contains(Mechanism::GossipPush));
}

#[test]
fn an_unknown_name_is_told_with_those_that_are_known() {
    let error = "push,hedges".parse::<DisabledMechanisms>().unwrap_err().to_string();
    assert!(error.contains("no mechanism hedges") && error.contains("second-copies"), "{error}");
}
