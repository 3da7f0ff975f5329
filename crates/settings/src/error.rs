//! Errors in settings.

use derive_more::{Display, Error};

/// A missing or invalid setting, with a remedy.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("setting --{name} ({variable}) {problem}: {remedy}")]
pub struct SettingError {
    pub(crate) name: String,
    pub(crate) variable: String,
    pub(crate) problem: String,
    pub(crate) remedy: String,
}

/// All errors found in the settings of a process; never empty.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub struct SettingErrors {
    #[error(not(source))]
    pub(crate) list: Vec<SettingError>,
}

impl SettingErrors {
    /// Returns the errors in the order in which the settings were read.
    #[must_use]
    pub fn list(&self) -> &[SettingError] {
        &self.list
    }
}

impl std::fmt::Display for SettingErrors {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let lines: Vec<String> = self.list.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}
