//! The output directory, which holds one file for each key of the platform.

use std::path::Path;

use egret_conf::{Config, Head};
use egret_wire::{CONFIG_HEAD_KEY, CONFIG_MANIFEST_KEY, CONFIG_VALUE_PREFIX};
use serde::Serialize;

use super::{PublishError, declarations::file_error};

/// The file with the whole configuration, which the next run and `diff` read.
const COLLECTED_FILE_NAME: &str = "collected.json";

/// The configuration and head that an earlier run wrote.
#[derive(Clone, Debug)]
pub struct PreviousOutput {
    /// The collected configuration.
    pub config: Config,
    /// The head of that configuration.
    pub head: Head,
}

/// Reads the output of an earlier run; returns `None` if the directory holds none.
///
/// A head that cannot be parsed is replaced by one without recent changes.
///
/// # Errors
/// Fails if a file cannot be read or `collected.json` was not written by this tool.
pub fn read_previous_output(directory: &Path) -> Result<Option<PreviousOutput>, PublishError> {
    let path = directory.join(COLLECTED_FILE_NAME);
    if !path.exists() {
        return Ok(None);
    }
    let text = std::fs::read_to_string(&path).map_err(|source| file_error(&path, source))?;
    let config = Config::from_collected(&text)?;
    let path = directory.join(CONFIG_HEAD_KEY);
    let text = std::fs::read_to_string(&path).map_err(|source| file_error(&path, source))?;
    let head_without_changes = Head { version: config.version(), root: config.root(), recent: Vec::new() };
    let head = serde_json::from_str(&text).unwrap_or(head_without_changes);
    Ok(Some(PreviousOutput { config, head }))
}

/// Writes a configuration and returns its head.
///
/// The values are written first, then the manifest, and the head last. A platform that
/// copies the files in this order never serves a head whose values are missing. Earlier
/// values of a service are kept for readers that still use an earlier head.
///
/// # Errors
/// Fails if the version is not higher than that of `previous`, or if a file cannot be written.
pub fn write_output(
    directory: &Path,
    config: &Config,
    previous: Option<&PreviousOutput>,
) -> Result<Head, PublishError> {
    if let Some(previous) = previous
        && config.version() <= previous.config.version()
    {
        return Err(PublishError::VersionNotHigher {
            given: config.version(),
            previous: previous.config.version(),
        });
    }
    let head = match previous {
        Some(previous) => previous.head.with_change(config.change_from(&previous.config)),
        None => Head { version: config.version(), root: config.root(), recent: Vec::new() },
    };
    std::fs::create_dir_all(directory).map_err(|source| file_error(directory, source))?;
    for service in config.services() {
        write_file(directory, &format!("{CONFIG_VALUE_PREFIX}{}", service.hash()), &service.to_value())?;
    }
    write_file(directory, CONFIG_MANIFEST_KEY, &to_json(&config.manifest()))?;
    write_file(directory, COLLECTED_FILE_NAME, &config.to_collected())?;
    write_file(directory, CONFIG_HEAD_KEY, &to_json(&head))?;
    Ok(head)
}

fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("published values are serialisable")
}

/// Writes a file atomically: a reader sees all of the text or the file before it.
fn write_file(directory: &Path, name: &str, text: &str) -> Result<(), PublishError> {
    let path = directory.join(name);
    let partial = directory.join(format!(".{name}.partial"));
    std::fs::write(&partial, text).map_err(|source| file_error(&partial, source))?;
    std::fs::rename(&partial, &path).map_err(|source| file_error(&path, source))
}
