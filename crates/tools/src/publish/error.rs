//! The errors of `egret-publish`.

use std::path::PathBuf;

use derive_more::{Display, Error, From};
use egret_conf::{ConfigError, Problems};
use egret_model::Version;

/// The reason why a step of publishing failed; the message names a remedy.
#[derive(Debug, Display, Error, From)]
pub enum PublishError {
    /// Declarations are invalid; all problems found are listed.
    #[display("{_0}")]
    Problems(Problems),
    /// A file cannot be read or written.
    #[display("{} cannot be used ({source}): check the path and its permissions", path.display())]
    #[from(skip)]
    File {
        /// The path of the file or directory.
        path: PathBuf,
        /// The error from the operating system.
        source: std::io::Error,
    },
    /// A collected configuration is not one that this tool wrote.
    #[display("{_0}")]
    PreviousOutput(ConfigError),
    /// The directory holds no declaration.
    #[display("{} holds no declaration: name the directory that holds files called egret.toml or *.egret.toml", path.display())]
    #[from(skip)]
    NoDeclarations {
        /// The directory that was searched.
        path: PathBuf,
    },
    /// The version is not higher than that of the previous output.
    #[display("version {given} is not higher than {previous}: give {} or more", previous.0 + 1)]
    #[from(skip)]
    VersionNotHigher {
        /// The version given on the command line.
        given: Version,
        /// The version of the previous output.
        previous: Version,
    },
}
