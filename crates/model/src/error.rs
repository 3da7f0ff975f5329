//! Errors of parsing names and identifiers.

use derive_more::{Display, Error};

/// A name that breaks the rules of docs/glossary.md.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("name \"{name}\" is not valid: use 1 to 64 of a-z, 0-9, '-', '_' and '.'")]
pub struct NameError {
    pub(crate) name: String,
}

/// An identifier that is not hexadecimal or is too long for its type.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("identifier \"{text}\" is not valid: give it as it was handed out")]
pub struct ParseIdError {
    pub(crate) text: String,
}
