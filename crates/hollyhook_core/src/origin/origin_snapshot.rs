use std::collections::{BTreeMap, BTreeSet};

use super::StreamKey;
use crate::Name;

/// What one host's object in the store says of the versions at which the host began streams.
///
/// Each stream began at one of the versions under which it is listed. One that is not listed began, if at this host, at
/// a version that [`ServiceSnapshot::allows_unlisted`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OriginSnapshot {
    /// Tells the snapshots of one process of the host from those of others.
    pub process: u64,
    /// The era of the store in which it was written. A restored store may hold one that was replaced since.
    pub era: u64,
    /// The services whose streams may have begun at several versions. At others, any stream may have begun.
    pub services: BTreeMap<Name, ServiceSnapshot>,
    /// The streams that may have begun at each version, sorted.
    pub streams: BTreeMap<Name, Vec<StreamKey>>,
}

/// At which versions of one service a host may have begun streams that its snapshot does not list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServiceSnapshot {
    /// The versions at which the host may begin streams until its next snapshot.
    pub open: BTreeSet<Name>,
    /// The versions that the host knew. It may have begun streams at any other version since.
    pub known: BTreeSet<Name>,
}

impl ServiceSnapshot {
    /// Whether a stream that is not listed may have begun at a version.
    pub fn allows_unlisted(&self, version: &str) -> bool {
        self.open.contains(version) || !self.known.contains(version)
    }
}

impl OriginSnapshot {
    /// The versions under which a stream is listed.
    pub fn listed(&self, stream: StreamKey) -> impl Iterator<Item = &Name> {
        let lists = self.streams.iter().filter(move |(_, streams)| streams.binary_search(&stream).is_ok());
        lists.map(|(version, _)| version)
    }

    /// Whether a stream that began at this host may have begun at a version, according to the snapshot.
    pub fn allows(&self, service: &str, stream: StreamKey, version: &str) -> bool {
        let mut listed = self.listed(stream).peekable();
        if listed.peek().is_some() {
            return listed.any(|listed| **listed == *version);
        }
        self.services.get(service).is_none_or(|snapshot| snapshot.allows_unlisted(version))
    }
}
