//! The names of mechanisms that can be switched off.

use egret_front::{Mechanism, SwitchedOff};

#[test]
fn names_are_separated_by_commas() {
    let off: SwitchedOff = "push, second-copies,".parse().unwrap();
    assert!(off.contains(Mechanism::Push) && off.contains(Mechanism::SecondCopies));
    assert!(!off.contains(Mechanism::Gatherers));
    assert!(!"".parse::<SwitchedOff>().unwrap().contains(Mechanism::Push));
}

#[test]
fn an_unknown_name_is_told_with_those_that_are_known() {
    let error = "push,hedges".parse::<SwitchedOff>().unwrap_err().to_string();
    assert!(error.contains("no mechanism hedges") && error.contains("second-copies"), "{error}");
}
