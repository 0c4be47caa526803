use std::collections::{BTreeMap, BTreeSet};

use super::{OriginLedger, OriginSnapshot, ServiceVersions, StreamKey};
use crate::{Name, TimePoint};

/// Maximum number of streams kept of earlier processes, so that with the host's own they fit into an object.
const MAX_STREAMS: usize = 40_000;

/// What earlier processes of a host listed and may have begun without listing it, as long as their streams may come back.
#[derive(Debug)]
pub(super) struct InheritedOrigins {
    until: TimePoint,
    /// The versions at which streams that are not listed may have begun, by service.
    open: BTreeMap<Name, BTreeSet<Name>>,
    streams: BTreeMap<Name, Vec<StreamKey>>,
}

impl InheritedOrigins {
    /// What follows from the object that a process found, if it knew these versions; `None` if there was no object.
    ///
    /// Versions that appear later are new to the earlier process.
    pub(super) fn new(
        now: TimePoint,
        snapshot: Option<&OriginSnapshot>,
        services: &BTreeMap<Name, ServiceVersions>,
    ) -> Self {
        let open = services.iter().map(|(service, versions)| {
            let found = snapshot.and_then(|snapshot| snapshot.services.get(service));
            let allows = |version: &&Name| found.is_none_or(|found| found.allows_unlisted(version));
            (Name::clone(service), versions.possible.iter().filter(allows).cloned().collect())
        });
        let mut inherited =
            Self { until: now + OriginLedger::LIFETIME, open: open.collect(), streams: BTreeMap::new() };
        inherited.add_streams(snapshot.into_iter().flat_map(|snapshot| &snapshot.streams));
        inherited
    }

    /// Adds what still earlier processes may have begun.
    pub(super) fn add(&mut self, now: TimePoint, earlier: &Self) {
        if !earlier.is_valid(now) {
            return;
        }
        for (service, open) in &earlier.open {
            self.open.entry(Name::clone(service)).or_default().extend(open.iter().cloned());
        }
        self.add_streams(&earlier.streams);
    }

    pub(super) fn is_valid(&self, now: TimePoint) -> bool {
        now < self.until
    }

    /// The versions of a service at which streams that are not listed may have begun; any that is possible if the service
    /// was not known.
    pub(super) fn open<'a>(&'a self, service: &str, versions: &'a ServiceVersions) -> &'a BTreeSet<Name> {
        self.open.get(service).unwrap_or(&versions.possible)
    }

    /// Adds the streams of the earlier processes to the lists of a snapshot.
    pub(super) fn list_in(&self, lists: &mut BTreeMap<Name, Vec<StreamKey>>) {
        for (version, streams) in &self.streams {
            merge(lists.entry(Name::clone(version)).or_default(), streams);
        }
    }

    /// Adds lists, or leaves them open if there are too many streams.
    fn add_streams<'s>(&mut self, lists: impl IntoIterator<Item = (&'s Name, &'s Vec<StreamKey>)>) {
        for (version, streams) in lists {
            let count: usize = self.streams.values().map(Vec::len).sum();
            if count + streams.len() <= MAX_STREAMS {
                merge(self.streams.entry(Name::clone(version)).or_default(), streams);
            } else {
                for open in self.open.values_mut() {
                    open.insert(Name::clone(version));
                }
            }
        }
    }
}

fn merge(list: &mut Vec<StreamKey>, streams: &[StreamKey]) {
    list.extend(streams);
    list.sort_unstable();
    list.dedup();
}
