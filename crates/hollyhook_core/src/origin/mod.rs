//! Origins of streams: which software version began a stream, since no other version may continue it.

mod inherited_origins;
mod origin_holders;
mod origin_journal;
mod origin_ledger;
mod origin_snapshot;
mod record_turn;
mod service_versions;
mod snapshot_evidence;
mod snapshot_writer;
mod stream_key;
mod stream_origin;
mod version_record;

pub use origin_holders::origin_holders;
pub use origin_journal::OriginJournal;
pub use origin_ledger::{OriginCopy, OriginLedger};
pub use origin_snapshot::{OriginSnapshot, ServiceSnapshot};
pub use record_turn::RecordTurn;
pub use service_versions::ServiceVersions;
pub use snapshot_evidence::SnapshotEvidence;
pub use snapshot_writer::{RecordVerdict, SnapshotWriter};
pub use stream_key::StreamKey;
pub use stream_origin::{OriginAnswer, StreamOrigin};
pub use version_record::VersionRecord;
