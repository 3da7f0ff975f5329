//! The log on standard error.

use derive_more::{Display, Error};
use tracing_subscriber::{EnvFilter, fmt};

/// How log lines look.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Text for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// A log format that does not exist.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("expected text or json")]
pub struct LogFormatError;

impl std::str::FromStr for LogFormat {
    type Err = LogFormatError;

    fn from_str(text: &str) -> Result<Self, LogFormatError> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(LogFormatError),
        }
    }
}

/// Starts writing logs of `level` and above; later calls change nothing.
pub fn init_logs(format: LogFormat, level: &str) {
    // Library events below warnings are not in docs/EVENTS.md.
    let filter = EnvFilter::new(format!("warn,egret_events={level}"));
    let builder =
        fmt().with_env_filter(filter).with_writer(std::io::stderr).with_target(false).with_ansi(false);
    let _ = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
}
