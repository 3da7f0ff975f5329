//! Settings from flags and environment variables, validated at startup.
//!
//! A flag takes precedence over its `EGRET_…` variable, and the variable over the default:
//!
//! ```
//! use egret_settings::{Environment, SettingsReader};
//!
//! let env = Environment::from_pairs([("EGRET_QUEUE", "50")]);
//! let mut reader = SettingsReader::new(env);
//! let queue: usize = reader.value("queue", None, Some("64"));
//! let grace: u64 = reader.value("grace-ms", Some("900".to_owned()), Some("5000"));
//! assert_eq!((queue, grace), (50, 900));
//! reader.finish().unwrap();
//! ```
//!
//! [`SettingsReader::finish`] reports all invalid settings at once, with name, value and remedy.

mod environment;
mod error;
mod reader;
mod run;

pub use environment::Environment;
pub use error::{SettingError, SettingErrors};
pub use reader::SettingsReader;
pub use run::{EXIT_BAD_SETTING, check_or_exit};
