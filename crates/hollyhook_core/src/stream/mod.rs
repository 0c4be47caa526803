//! Event streams whose events hollyhook passes on without reading them.

mod event_sequencer;
mod event_splitter;
mod liveness_checker;

pub use event_sequencer::{EventSequencer, SequenceVerdict};
pub use event_splitter::{EventSplitter, RawEvent};
pub use liveness_checker::{LivenessChecker, LivenessVerdict};
