use std::collections::{BTreeMap, BTreeSet};

use super::{OriginSnapshot, StreamKey, StreamOrigin};
use crate::Name;

/// What the store says of the versions at which streams began, read after a stream's host was lost.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SnapshotEvidence {
    /// The snapshot of each host that has written one.
    pub snapshots: BTreeMap<Name, OriginSnapshot>,
    /// The versions of each service whose streams may come back, by the record of versions.
    pub recorded: BTreeMap<Name, BTreeSet<Name>>,
}

impl SnapshotEvidence {
    /// Decides which version began a stream of which no host knows it.
    ///
    /// A stream that is listed began at a version that all its lists name. One that is not listed began after the last
    /// snapshot of its host, at a version that this snapshot left open. `hosts` are those that may have begun streams;
    /// one without a snapshot may have begun them at any version. `listed` are the versions of the endpoints that this
    /// host knows, of which some may not be recorded.
    ///
    /// ```
    /// use std::collections::{BTreeMap, BTreeSet};
    ///
    /// use hollyhook_core::{Name, OriginSnapshot, ServiceSnapshot, SnapshotEvidence, StreamKey, StreamOrigin};
    ///
    /// let set = |names: &[&str]| names.iter().map(|name| (*name).into()).collect::<BTreeSet<Name>>();
    /// let service = ServiceSnapshot { open: set(&["v2"]), known: set(&["v1", "v2"]) };
    /// let snapshot = OriginSnapshot {
    ///     services: BTreeMap::from([("model".into(), service)]),
    ///     streams: BTreeMap::from([("v1".into(), vec![StreamKey::new("a")])]),
    ///     ..OriginSnapshot::default()
    /// };
    /// let evidence = SnapshotEvidence {
    ///     snapshots: BTreeMap::from([("host-a".into(), snapshot)]),
    ///     recorded: BTreeMap::from([("model".into(), set(&["v1", "v2"]))]),
    /// };
    /// let origin = |id, hosts: &[&str]| {
    ///     evidence.resolve("model", StreamKey::new(id), Some(&set(hosts)), &set(&["v2"]))
    /// };
    /// assert_eq!(origin("a", &["host-a"]), StreamOrigin::Version("v1".into()));
    /// assert_eq!(origin("b", &["host-a"]), StreamOrigin::Version("v2".into()));
    /// assert_eq!(origin("b", &["host-a", "host-b"]), StreamOrigin::Unknown);
    /// ```
    pub fn resolve(
        &self,
        service: &str,
        stream: StreamKey,
        hosts: Option<&BTreeSet<Name>>,
        listed: &BTreeSet<Name>,
    ) -> StreamOrigin {
        let candidates = self.listed_versions(stream).unwrap_or_else(|| self.unlisted_versions(service, hosts, listed));
        let mut candidates = candidates.into_iter();
        match (candidates.next(), candidates.next()) {
            (Some(version), None) => StreamOrigin::Version(version),
            _ => StreamOrigin::Unknown,
        }
    }

    /// The versions that all lists with the stream name; `None` if there is no such list.
    fn listed_versions(&self, stream: StreamKey) -> Option<BTreeSet<Name>> {
        let lists =
            self.snapshots.values().map(|snapshot| snapshot.listed(stream).cloned().collect::<BTreeSet<Name>>());
        lists.filter(|list| !list.is_empty()).reduce(|common, list| &common & &list)
    }

    /// The versions at which a stream that is in no list may have begun.
    fn unlisted_versions(
        &self,
        service: &str,
        hosts: Option<&BTreeSet<Name>>,
        listed: &BTreeSet<Name>,
    ) -> BTreeSet<Name> {
        let mut possible = listed.clone();
        possible.extend(self.recorded.get(service).into_iter().flatten().cloned());
        let snapshots = || self.snapshots.values().map(|snapshot| snapshot.services.get(service));
        let has_all = hosts.is_some_and(|hosts| hosts.iter().all(|host| self.snapshots.contains_key(host)));
        if has_all && snapshots().all(|snapshot| snapshot.is_some()) {
            possible.retain(|version| snapshots().flatten().any(|snapshot| snapshot.allows_unlisted(version)));
        }
        possible
    }
}
