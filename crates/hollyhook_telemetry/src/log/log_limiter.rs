use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hollyhook_core::Name;
use tracing::{Event, Level, Metadata, Subscriber};
use tracing_subscriber::layer::{Context, Filter};

/// Lines a second of one kind. A host of the smallest size serves a few dozen requests a second; what goes beyond this
/// is a burst whose lines are alike.
const MOST_LINES: u32 = 200;
const SECOND: Duration = Duration::from_secs(1);

/// Bounds the lines of each kind, a kind being a place in the code; counts what it leaves out.
///
/// Warnings and errors are never left out: they tell of changes of state, which are few.
#[derive(Debug, Clone, Default)]
pub struct LogLimiter {
    kinds: Arc<Mutex<BTreeMap<LineKind, KindVolume>>>,
}

type LineKind = (&'static str, u32);

#[derive(Debug)]
struct KindVolume {
    second_began: Instant,
    lines: u32,
    left_out: u64,
}

impl LogLimiter {
    /// Whether one more line of a kind is written at that moment.
    pub fn admits(&self, file: &'static str, line: u32, now: Instant) -> bool {
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        let new = || KindVolume { second_began: now, lines: 0, left_out: 0 };
        let volume = kinds.entry((file, line)).or_insert_with(new);
        if now.saturating_duration_since(volume.second_began) >= SECOND {
            volume.second_began = now;
            volume.lines = 0;
        }
        if volume.lines >= MOST_LINES {
            volume.left_out += 1;
            return false;
        }
        volume.lines += 1;
        true
    }

    /// The lines left out since the last call, by the place in the code that would have written them.
    pub fn take_suppressed(&self) -> Vec<(Name, u64)> {
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        let left_out = kinds.iter_mut().filter(|(_, volume)| volume.left_out > 0);
        left_out
            .map(|((file, line), volume)| (format!("{file}:{line}").into(), std::mem::take(&mut volume.left_out)))
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
