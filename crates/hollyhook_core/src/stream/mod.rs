//! Event streams whose events hollyhook passes on without reading them.

mod event_cutter;
mod event_relay;
mod silence_judge;

pub use event_cutter::{EventCutter, EventPiece};
pub use event_relay::{EventRelay, PieceVerdict};
pub use silence_judge::{SilenceJudge, SilenceVerdict};
