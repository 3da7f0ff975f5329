//! The log on standard error, or on standard output without ever waiting for its reader.

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
pub fn init_stderr_log(format: LogFormat, level: &str) {
    // Library events below warnings are not in docs/EVENTS.md.
    let filter = EnvFilter::new(format!("warn,egret_events={level}"));
    let builder =
        fmt().with_env_filter(filter).with_writer(std::io::stderr).with_target(false).with_ansi(false);
    let _ = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
}

/// Lines that wait for the reader of standard output, at most; further ones are dropped.
const WAITING_LINES_MAX: usize = 8192;

/// The log on standard output; it ends when this is dropped.
#[derive(Debug)]
pub struct StdoutLog {
    _writer: tracing_appender::non_blocking::WorkerGuard,
    dropped: tracing_appender::non_blocking::ErrorCounter,
}

impl StdoutLog {
    /// Starts writing JSON lines of `level` and above; later calls change nothing.
    ///
    /// A thread of its own writes. When nobody reads, lines are dropped and counted; no
    /// request ever waits for the log.
    #[must_use]
    pub fn open(level: &str) -> Self {
        let (writer, guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(WAITING_LINES_MAX)
            .finish(std::io::stdout());
        let dropped = writer.error_counter();
        let filter = EnvFilter::new(format!("warn,egret_events={level}"));
        let builder = fmt().with_env_filter(filter).with_writer(writer).with_target(false).with_ansi(false);
        let _ = builder.json().flatten_event(true).try_init();
        Self { _writer: guard, dropped }
    }

    /// Returns what reads the number of dropped lines.
    pub fn dropped(&self) -> impl Fn() -> u64 + Send + Sync + 'static {
        let dropped = self.dropped.clone();
        move || dropped.dropped_lines() as u64
    }
}
