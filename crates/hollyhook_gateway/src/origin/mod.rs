//! Origins of streams: hosts tell a few others at which software version their streams began, so that a stream whose
//! caller comes back to another host goes on at that version, and record in the store which versions may have begun
//! streams that come back.

mod evidence_reader;
mod origin_lookup;
mod origin_message;
mod origin_server;
mod origin_sharer;
mod origin_tracker;
mod snapshot_tracker;
mod version_tracker;

pub(crate) use evidence_reader::EvidenceReader;
pub(crate) use origin_lookup::{FoundOrigin, find_origin};
pub(crate) use origin_server::{answer_origin_request, is_origin_request};
pub(crate) use origin_sharer::OriginSharer;
pub(crate) use origin_tracker::OriginTracker;
pub(crate) use snapshot_tracker::SnapshotTracker;
pub(crate) use version_tracker::VersionTracker;
