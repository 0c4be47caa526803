use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hollyhook_core::Name;
use tracing::{Event, Level, Metadata, Subscriber};
use tracing_subscriber::layer::{Context, Filter};

/// Maximum number of log lines per second from one call site. A host of the smallest size serves a few dozen requests
/// per second, so that lines beyond this limit belong to a burst of similar lines.
const MAX_LINES_PER_SECOND: u32 = 200;
const WINDOW: Duration = Duration::from_secs(1);

/// Limits the rate of log lines of each call site (file and line in the source), and counts the suppressed lines.
///
/// Warnings and errors are never suppressed: they report changes of state, which are rare.
#[derive(Debug, Clone, Default)]
pub struct LogLimiter {
    windows: Arc<Mutex<BTreeMap<CallSite, CallSiteWindow>>>,
}

type CallSite = (&'static str, u32);

#[derive(Debug)]
struct CallSiteWindow {
    started_at: Instant,
    lines: u32,
    suppressed: u64,
}

impl LogLimiter {
    /// Returns whether the call site may write one more line at `now`; counts the line as written or suppressed.
    pub fn admits(&self, file: &'static str, line: u32, now: Instant) -> bool {
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let new = || CallSiteWindow { started_at: now, lines: 0, suppressed: 0 };
        let window = windows.entry((file, line)).or_insert_with(new);
        if now.saturating_duration_since(window.started_at) >= WINDOW {
            window.started_at = now;
            window.lines = 0;
        }
        if window.lines >= MAX_LINES_PER_SECOND {
            window.suppressed += 1;
            return false;
        }
        window.lines += 1;
        true
    }

    /// Returns the number of lines suppressed since the last call, by call site as `file:line`.
    pub fn take_suppressed(&self) -> Vec<(Name, u64)> {
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let suppressed = windows.iter_mut().filter(|(_, window)| window.suppressed > 0);
        suppressed
            .map(|((file, line), window)| (format!("{file}:{line}").into(), std::mem::take(&mut window.suppressed)))
            .collect()
    }
}

impl<S: Subscriber> Filter<S> for LogLimiter {
    fn enabled(&self, _metadata: &Metadata<'_>, _context: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _context: &Context<'_, S>) -> bool {
        let metadata = event.metadata();
        if *metadata.level() <= Level::WARN {
            return true;
        }
        self.admits(metadata.file().unwrap_or_default(), metadata.line().unwrap_or_default(), Instant::now())
    }
}
