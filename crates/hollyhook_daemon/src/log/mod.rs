//! Log lines by `tracing`, as text or JSON.

use hollyhook_core::{Error, ErrorKind, Result};
use hollyhook_settings::LogFormat;
use tracing_subscriber::EnvFilter;

/// Sends the process's log lines to standard error.
///
/// # Errors
///
/// `InvalidSetting` if the level is not a filter, `Conflict` if the process logs already.
pub fn init_log(format: LogFormat, level: &str) -> Result<()> {
    let filter = EnvFilter::try_new(level).map_err(|error| {
        Error::new(ErrorKind::InvalidSetting, format!("`{level}` is not a log level: {error}")).param("level")
    })?;
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let outcome = match format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
    outcome.map_err(|error| Error::new(ErrorKind::Conflict, error.to_string()))
}
