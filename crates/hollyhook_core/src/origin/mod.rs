//! Origins of streams: which software version began a stream, since no other version may continue it.

mod origin_holders;
mod origin_ledger;
mod record_turn;
mod stream_origin;
mod version_record;

pub use origin_holders::origin_holders;
pub use origin_ledger::{OriginCopy, OriginLedger};
pub use record_turn::RecordTurn;
pub use stream_origin::{OriginAnswer, StreamOrigin};
pub use version_record::VersionRecord;
