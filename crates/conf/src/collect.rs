//! Merging declaration files into one configuration.

use std::sync::Arc;

use egret_model::Version;

use crate::{Config, Problem, Problems, Service, check::Checker};

/// The name and the content of a declaration file.
#[derive(Clone, Debug)]
pub struct DeclarationFile {
    pub(crate) file: String,
    pub(crate) text: String,
}

impl DeclarationFile {
    /// Creates a declaration file from its name, which problems refer to, and its content.
    #[must_use]
    pub fn new(file: impl Into<String>, text: impl Into<String>) -> Self {
        Self { file: file.into(), text: text.into() }
    }
}

/// Validates all declaration files and merges them into one configuration.
///
/// # Errors
/// Returns every problem of every file, sorted by file and line.
pub fn collect(version: Version, sources: &[DeclarationFile]) -> Result<Config, Problems> {
    let mut problems: Vec<Problem> = Vec::new();
    let mut services: Vec<(Arc<Service>, &DeclarationFile)> = Vec::new();
    for source in sources {
        let mut checker = Checker::new(source);
        if let Some(service) = checker.check() {
            match services.iter().find(|(other, _)| other.name == service.name) {
                Some((_, first)) => {
                    let message = format!("service {} is declared in {} too", service.name, first.file);
                    checker.problem(0..0, message, "remove one of the declarations");
                }
                None => services.push((Arc::new(service), source)),
            }
        }
        problems.append(&mut checker.problems);
    }
    if problems.is_empty() {
        return Ok(Config::new(version, services.into_iter().map(|(service, _)| service).collect()));
    }
    problems.sort();
    Err(Problems { list: problems })
}
