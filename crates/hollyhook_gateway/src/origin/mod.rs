//! Origins of streams: the software version that began a stream, which alone may continue it when its caller comes back
//! to another host.
//!
//! Hosts tell a few others at which version their streams began (`OriginTracker`, `OriginSharer`), which is lost with all
//! of them. The store outlives all hosts: it holds the versions of each service that may have begun streams
//! (`VersionTracker`), and while these are several, which streams each host began at which of them (`SnapshotTracker`).
//! A host that is asked for a stream of which no host knows looks there (`EvidenceReader`).

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
