//! Reading settings one by one while collecting all errors.

use std::{fmt::Display, ops::RangeInclusive, str::FromStr};

use crate::{Environment, SettingError, SettingErrors};

/// Reads settings, and collects their effective values and all errors.
#[derive(Debug)]
pub struct SettingsReader {
    env: Environment,
    effective: Vec<(String, String)>,
    errors: Vec<SettingError>,
}

impl SettingsReader {
    /// Creates a reader that looks up variables in `env`.
    #[must_use]
    pub fn new(env: Environment) -> Self {
        Self { env, effective: Vec::new(), errors: Vec::new() }
    }

    /// Reads a setting: the flag, else the variable, else the default.
    ///
    /// If the value is invalid or missing, the error is recorded for
    /// [`SettingsReader::finish`] and the type's default is returned.
    pub fn value<T>(&mut self, name: &str, flag: Option<String>, default: Option<&str>) -> T
    where
        T: FromStr<Err: Display> + Default,
    {
        self.optional(name, flag, default).unwrap_or_else(|| {
            if !self.errors.iter().any(|error| error.name == name) {
                self.error(name, "is missing", "give the flag or the variable");
            }
            T::default()
        })
    }

    /// Reads an optional setting; an invalid value is recorded as an error.
    pub fn optional<T>(&mut self, name: &str, flag: Option<String>, default: Option<&str>) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let variable = variable_name(name);
        let text = flag
            .or_else(|| self.env.get(&variable).map(ToOwned::to_owned))
            .or_else(|| default.map(ToOwned::to_owned))?;
        self.effective.push((name.to_owned(), text.clone()));
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.error(
                    name,
                    &format!("is \"{text}\", which is not valid ({error})"),
                    "correct the value",
                );
                None
            }
        }
    }

    /// Reads a comma-separated list, which may be empty.
    pub fn list<T>(&mut self, name: &str, flag: Option<String>) -> Vec<T>
    where
        T: FromStr<Err: Display>,
    {
        let text: String = self.optional(name, flag, Some("")).unwrap_or_default();
        let mut values = Vec::new();
        for item in text.split(',').map(str::trim).filter(|item| !item.is_empty()) {
            match item.parse() {
                Ok(value) => values.push(value),
                Err(error) => {
                    let problem = format!("has \"{item}\", which is not valid ({error})");
                    self.error(name, &problem, "correct the item or remove it");
                }
            }
        }
        values
    }

    /// Reads a number that must lie in `range`.
    pub fn number(
        &mut self,
        name: &str,
        flag: Option<String>,
        default: &str,
        range: RangeInclusive<u64>,
    ) -> u64 {
        let value: u64 = self.value(name, flag, Some(default));
        let is_invalid = self.errors.iter().any(|error| error.name == name);
        if !is_invalid && !range.contains(&value) {
            let remedy = format!("give {} to {}", range.start(), range.end());
            self.error(name, &format!("is {value}, which is out of range"), &remedy);
        }
        value
    }

    /// Records an error that the caller found in a setting.
    pub fn error(&mut self, name: &str, problem: &str, remedy: &str) {
        self.errors.push(SettingError {
            name: name.to_owned(),
            variable: variable_name(name),
            problem: problem.to_owned(),
            remedy: remedy.to_owned(),
        });
    }

    /// Returns the effective settings as lines of `name = value`.
    ///
    /// # Errors
    /// Returns all errors if any setting is missing or invalid.
    pub fn finish(self) -> Result<String, SettingErrors> {
        if self.errors.is_empty() {
            let lines = self.effective.iter().map(|(name, value)| format!("{name} = {value}\n"));
            return Ok(lines.collect());
        }
        Err(SettingErrors { list: self.errors })
    }
}

fn variable_name(name: &str) -> String {
    format!("EGRET_{}", name.replace('-', "_").to_ascii_uppercase())
}
