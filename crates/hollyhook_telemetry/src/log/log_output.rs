use hollyhook_core::{Error, ErrorKind, Result};
use hollyhook_settings::LogFormat;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Layer};

use super::LogLimiter;

/// Maximum number of log lines queued for the writer thread; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 1_024;

/// The output that log lines are written to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogTarget {
    /// Standard output.
    Stdout,
    /// Standard error, for processes that print other data to standard output.
    Stderr,
}

/// Keeps the log writer thread alive and counts the lines that were not written; dropping it stops the thread.
#[derive(Debug)]
pub struct LogGuard {
    /// The rate limit per call site, with the number of suppressed lines.
    pub limiter: LogLimiter,
    dropped: ErrorCounter,
    _worker: WorkerGuard,
}

impl LogGuard {
    /// Returns the number of lines dropped since the start because the output was too slow and the queue was full.
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

/// Installs the log output of the process.
///
/// A separate thread writes the lines, so that no request waits for the output.
///
/// # Errors
///
/// `InvalidSetting` if `level` is not a valid `tracing` filter, `Conflict` if the process has a log output already.
pub fn init_log(target: LogTarget, format: LogFormat, level: &str) -> Result<LogGuard> {
    let filter = EnvFilter::try_new(level).map_err(|error| {
        Error::new(ErrorKind::InvalidSetting, format!("`{level}` is not a log level: {error}")).param("level")
    })?;
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES);
    let (writer, worker) = match target {
        LogTarget::Stdout => builder.finish(std::io::stdout()),
        LogTarget::Stderr => builder.finish(std::io::stderr()),
    };
    let dropped = writer.error_counter();
    let limiter = LogLimiter::default();
    let layer = tracing_subscriber::fmt::layer().with_writer(writer);
    let layer = match format {
        LogFormat::Text => layer.with_ansi(false).boxed(),
        LogFormat::Json => layer.json().flatten_event(true).boxed(),
    };
    let layer = layer.with_filter(limiter.clone());
    let outcome = tracing_subscriber::registry().with(filter).with(layer).try_init();
    outcome.map_err(|error| Error::new(ErrorKind::Conflict, error.to_string()))?;
    Ok(LogGuard { limiter, dropped, _worker: worker })
}
