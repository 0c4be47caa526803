//! Relaying of event streams whose events are passed on unparsed.

mod body_end;
mod event_reader;
mod event_sequencer;
mod event_splitter;
mod liveness_checker;
mod silence_watch;

pub use body_end::{BodyEnd, EndVerdict};
pub use event_reader::{EventBatch, EventReader};
pub use event_sequencer::{EventSequencer, SequenceVerdict};
pub use event_splitter::{EventSplitter, RawEvent};
pub use liveness_checker::{LivenessChecker, LivenessVerdict};
pub use silence_watch::SilenceWatch;
