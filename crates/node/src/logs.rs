//! The log: on standard error, or on standard output without ever blocking on its reader.

use derive_more::{Display, Error};
use tracing_subscriber::{EnvFilter, fmt};

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Text for people.
    #[default]
    Text,
    /// One JSON object per line, for tools.
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

/// Starts to log events of `level` and above on standard error; later calls have no effect.
pub fn init_stderr_log(format: LogFormat, level: &str) {
    // Libraries log warnings and errors only: docs/EVENTS.md does not list their other events.
    let filter = EnvFilter::new(format!("warn,egret_events={level}"));
    let builder =
        fmt().with_env_filter(filter).with_writer(std::io::stderr).with_target(false).with_ansi(false);
    let _ = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
}

/// The maximum number of lines buffered for the reader of standard output; further ones are dropped.
const BUFFERED_LINES_MAX: usize = 8192;

/// The log on standard output; dropping it writes the buffered lines and ends the log.
#[derive(Debug)]
pub struct StdoutLog {
    _writer: tracing_appender::non_blocking::WorkerGuard,
    dropped: tracing_appender::non_blocking::ErrorCounter,
}

impl StdoutLog {
    /// Starts to log events of `level` and above as JSON lines; later calls have no effect.
    ///
    /// A dedicated thread writes the lines. If nobody reads them, lines are dropped and
    /// counted, so that no request ever blocks on the log.
    #[must_use]
    pub fn open(level: &str) -> Self {
        let (writer, guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(BUFFERED_LINES_MAX)
            .finish(std::io::stdout());
        let dropped = writer.error_counter();
        let filter = EnvFilter::new(format!("warn,egret_events={level}"));
        let builder = fmt().with_env_filter(filter).with_writer(writer).with_target(false).with_ansi(false);
        let _ = builder.json().flatten_event(true).try_init();
        Self { _writer: guard, dropped }
    }

    /// Returns a function that reads the number of dropped lines.
    pub fn dropped(&self) -> impl Fn() -> u64 + Send + Sync + 'static {
        let dropped = self.dropped.clone();
        move || dropped.dropped_lines() as u64
    }
}
