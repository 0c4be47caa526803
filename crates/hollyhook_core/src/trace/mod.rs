//! Recorded traces of one generation's events, and their replay against the recorded outcome.

mod relay_trace;
mod trace_line;

pub use relay_trace::{RelayTrace, TraceReplay};
pub use trace_line::{TraceEnd, TraceLine, TraceOutcome, TraceStart};
