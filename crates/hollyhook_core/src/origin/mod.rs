//! Origins of streams: which software version began a stream, since no other version may continue it.

mod origin_holders;
mod origin_ledger;
mod stream_origin;

pub use origin_holders::origin_holders;
pub use origin_ledger::{OriginCopy, OriginLedger};
pub use stream_origin::{OriginAnswer, StreamOrigin};
