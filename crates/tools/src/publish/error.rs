//! Why nothing was published.

use std::path::PathBuf;

use derive_more::{Display, Error, From};
use egret_conf::{ConfigError, Problems};
use egret_model::Version;

/// A publishing step that wrote nothing.
#[derive(Debug, Display, Error, From)]
pub enum PublishError {
    /// Declarations are wrong.
    #[display("{_0}")]
    Problems(Problems),
    /// A file cannot be read or written.
    #[display("{} cannot be used ({source}): check the path and its permissions", path.display())]
    #[from(skip)]
    File {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The earlier output is not what this tool wrote.
    #[display("{_0}")]
    PreviousOutput(ConfigError),
    /// The directory holds no declaration.
    #[display("{} holds no declaration: name the directory that holds files called egret.toml or *.egret.toml", path.display())]
    #[from(skip)]
    NoDeclarations {
        /// The directory.
        path: PathBuf,
    },
    /// The version is not higher than the one before.
    #[display("version {given} is not higher than {previous}: give {} or more", previous.0 + 1)]
    #[from(skip)]
    VersionNotHigher {
        /// The version that was given.
        given: Version,
        /// The version before.
        previous: Version,
    },
}
