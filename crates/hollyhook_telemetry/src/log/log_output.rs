use hollyhook_core::{Error, ErrorKind, Result};
use hollyhook_settings::LogFormat;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Layer};

use super::LogLimiter;

/// Lines that wait to be written; more are dropped and counted.
const MOST_WAITING: usize = 1_024;

/// Where log lines go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogTarget {
    /// The standard output.
    Stdout,
    /// The standard error, where the standard output tells something else.
    Stderr,
}

/// Keeps the writer of log lines alive, and knows what was not written.
#[derive(Debug)]
pub struct LogGuard {
    /// Lines that were left out by kind.
    pub limiter: LogLimiter,
    dropped: ErrorCounter,
    _worker: WorkerGuard,
}

impl LogGuard {
    /// Lines dropped since the start because the output took them too slowly.
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

/// Sends the process's log lines to an output, from a thread of their own, so that no request waits for it.
///
/// # Errors
///
/// `InvalidSetting` if the level is not a filter, `Conflict` if the process logs already.
pub fn init_log(target: LogTarget, format: LogFormat, level: &str) -> Result<LogGuard> {
    let filter = EnvFilter::try_new(level).map_err(|error| {
        Error::new(ErrorKind::InvalidSetting, format!("`{level}` is not a log level: {error}")).param("level")
    })?;
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MOST_WAITING);
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
