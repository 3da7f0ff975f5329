//! The output directory: one file for each key of the platform.

use std::path::Path;

use egret_conf::{Config, Head};
use egret_wire::{CONFIG_HEAD_KEY, CONFIG_MANIFEST_KEY, CONFIG_VALUE_PREFIX};
use serde::Serialize;

use super::{PublishError, declarations::file_error};

const COLLECTED_FILE_NAME: &str = "collected.json";

/// What an earlier run wrote.
#[derive(Clone, Debug)]
pub struct PreviousOutput {
    /// The configuration.
    pub config: Config,
    /// Its head.
    pub head: Head,
}

/// Reads what an earlier run wrote into a directory; `None` where nothing was.
///
/// # Errors
/// Fails where a file cannot be read or is not this tool's.
pub fn read_previous_output(directory: &Path) -> Result<Option<PreviousOutput>, PublishError> {
    let path = directory.join(COLLECTED_FILE_NAME);
    if !path.exists() {
        return Ok(None);
    }
    let text = std::fs::read_to_string(&path).map_err(|source| file_error(&path, source))?;
    let config = Config::from_collected(&text)?;
    let path = directory.join(CONFIG_HEAD_KEY);
    let text = std::fs::read_to_string(&path).map_err(|source| file_error(&path, source))?;
    let first = Head { version: config.version(), root: config.root(), recent: Vec::new() };
    let head = serde_json::from_str(&text).unwrap_or(first);
    Ok(Some(PreviousOutput { config, head }))
}

/// Writes a configuration: values first, then the manifest, the head last.
///
/// A platform that copies the files in this order never shows a head whose
/// values are not there. A service's earlier values stay for late readers.
///
/// # Errors
/// Refuses a version that is not higher; fails where a file cannot be written.
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
        write(directory, &format!("{CONFIG_VALUE_PREFIX}{}", service.hash()), &service.to_value())?;
    }
    write(directory, CONFIG_MANIFEST_KEY, &json(&config.manifest()))?;
    write(directory, COLLECTED_FILE_NAME, &config.to_collected())?;
    write(directory, CONFIG_HEAD_KEY, &json(&head))?;
    Ok(head)
}

fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("published values have a JSON form")
}

/// Writes a file whole or not at all.
fn write(directory: &Path, name: &str, text: &str) -> Result<(), PublishError> {
    let path = directory.join(name);
    let partial = directory.join(format!(".{name}.partial"));
    std::fs::write(&partial, text).map_err(|source| file_error(&partial, source))?;
    std::fs::rename(&partial, &path).map_err(|source| file_error(&path, source))
}
