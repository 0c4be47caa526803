use std::collections::{BTreeMap, BTreeSet};

use super::{OriginLedger, StreamKey};
use crate::{Name, TimePoint};

/// Maximum number of streams that a host lists of its own, in 11 bytes each as text: a fifth of what a store's object may
/// usually hold. What earlier processes listed comes on top.
const MAX_LISTED: usize = 20_000;
/// Number of streams that are left out together, since each time all are sorted by when they can't come back any more.
const OMITTED_AT_ONCE: usize = MAX_LISTED / 10;

/// The streams that a host's snapshots list: its own, from when an attempt is sent, and those of which it keeps copies.
///
/// A stream is listed before its first event, while its prompt is read, so that few streams with events are in no list.
#[derive(Debug, Default)]
pub struct OriginJournal {
    streams: BTreeMap<StreamKey, JournalEntry>,
    /// Versions at which streams began that were left out for want of room, and until when these may come back.
    omitted: BTreeMap<Name, TimePoint>,
    /// Raised when a stream is added or gets other versions.
    revision: u64,
}

#[derive(Debug)]
struct JournalEntry {
    /// The service of a stream of this host; `None` for a copy, which is only made where a service has several versions.
    service: Option<Name>,
    /// The versions that may have begun the stream.
    versions: BTreeSet<Name>,
    /// Whether the caller has an event, so that the version is certain.
    has_begun: bool,
    /// When the stream can't come back any more; `None` while it runs.
    expires_at: Option<TimePoint>,
}

impl OriginJournal {
    /// Records that an attempt at a stream without events is sent to a version of a service.
    pub fn record_attempt(&mut self, now: TimePoint, stream: StreamKey, service: &Name, version: &Name) {
        self.make_room(now);
        let entry = self.streams.entry(stream).or_insert_with(|| JournalEntry::of_service(service));
        if !entry.has_begun && entry.versions.insert(Name::clone(version)) {
            self.revision += 1;
        }
    }

    /// Records that the caller gets events of a stream from a version of a service.
    pub fn record_begun(&mut self, now: TimePoint, stream: StreamKey, service: &Name, version: &Name) {
        self.make_room(now);
        let entry = self.streams.entry(stream).or_insert_with(|| JournalEntry::of_service(service));
        (entry.service, entry.expires_at) = (Some(Name::clone(service)), None);
        if entry.set_version(version) {
            self.revision += 1;
        }
    }

    /// Records that a stream of this host runs no longer.
    ///
    /// A stream without events can't come back.
    pub fn record_ended(&mut self, now: TimePoint, stream: StreamKey) {
        match self.streams.get_mut(&stream) {
            Some(entry) if entry.has_begun => entry.expires_at = Some(now + OriginLedger::LIFETIME),
            _ => drop(self.streams.remove(&stream)),
        }
    }

    /// Records the version that began a stream of another host.
    pub fn record_copy(&mut self, now: TimePoint, stream: StreamKey, version: &Name) {
        self.make_room(now);
        let expires_at = now + OriginLedger::LIFETIME;
        let entry = self.streams.entry(stream).or_insert_with(|| JournalEntry::copy(expires_at));
        entry.expires_at = entry.expires_at.map(|at| at.max(expires_at));
        if entry.set_version(version) {
            self.revision += 1;
        }
    }

    /// A number that grows with each change that a snapshot has to show.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The streams that may come back, sorted, by the versions that may have begun them.
    ///
    /// Of this host's own streams only those of services that `has_versions`.
    pub fn listed(&mut self, now: TimePoint, has_versions: impl Fn(&str) -> bool) -> BTreeMap<Name, Vec<StreamKey>> {
        self.expire(now);
        let mut lists: BTreeMap<Name, Vec<StreamKey>> = BTreeMap::new();
        let is_listed = |entry: &JournalEntry| entry.service.as_ref().is_none_or(|service| has_versions(service));
        for (stream, entry) in self.streams.iter().filter(|(_, entry)| is_listed(entry)) {
            for version in &entry.versions {
                lists.entry(Name::clone(version)).or_default().push(*stream);
            }
        }
        lists
    }

    /// The versions at which streams began that are not listed for want of room.
    pub fn omitted(&self) -> impl Iterator<Item = &Name> {
        self.omitted.keys()
    }

    fn expire(&mut self, now: TimePoint) {
        self.streams.retain(|_, entry| entry.expires_at.is_none_or(|at| now < at));
        self.omitted.retain(|_, until| now < *until);
    }

    /// Leaves out the streams that can come back for the shortest time if there are too many; their versions stay open.
    fn make_room(&mut self, now: TimePoint) {
        if self.streams.len() < MAX_LISTED {
            return;
        }
        self.expire(now);
        // Streams that run come last.
        let end =
            |(stream, entry): (&StreamKey, &JournalEntry)| (entry.expires_at.is_none(), entry.expires_at, *stream);
        let mut ends: Vec<_> = self.streams.iter().map(end).collect();
        ends.sort_unstable();
        for (.., stream) in ends.into_iter().take(OMITTED_AT_ONCE) {
            let Some(entry) = self.streams.remove(&stream) else {
                continue;
            };
            let until = now + OriginLedger::LIFETIME;
            self.omitted.extend(entry.versions.into_iter().map(|version| (version, until)));
        }
    }
}

impl JournalEntry {
    fn of_service(service: &Name) -> Self {
        Self { service: Some(Name::clone(service)), versions: BTreeSet::new(), has_begun: false, expires_at: None }
    }

    fn copy(expires_at: TimePoint) -> Self {
        Self { service: None, versions: BTreeSet::new(), has_begun: false, expires_at: Some(expires_at) }
    }

    /// Binds the stream to the version of its first event; returns whether that is new.
    fn set_version(&mut self, version: &Name) -> bool {
        let is_new = !self.has_begun || !self.versions.contains(version);
        let is_listed_alone = self.versions.len() == 1 && self.versions.contains(version);
        self.has_begun = true;
        if is_new {
            self.versions = BTreeSet::from([Name::clone(version)]);
        }
        is_new && !is_listed_alone
    }
}
