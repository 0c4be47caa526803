use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{OriginJournal, OriginLedger, OriginSnapshot, ServiceSnapshot, StreamKey};
use crate::{Name, TimePoint};

/// The share of the store's writes that the snapshots of all hosts together may take; the rest is for the operator,
/// endpoints and hosts that register.
const WRITE_SHARE: f64 = 0.1;
/// The shortest interval between two snapshots of a host. An engine reads a prompt of 8,000 tokens for a second, so that
/// a stream is usually listed before its first event.
const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// How many times longer the interval is while a host begins streams of each service at one version only: one that is
/// not listed began there.
const SINGLE_VERSION_FACTOR: u32 = 4;
/// The interval while a caller waits for an event until a snapshot has been written.
const URGENT_INTERVAL: Duration = Duration::from_millis(25);

/// The versions of a service as one host knows them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServiceVersions {
    /// The versions of endpoints that are registered and not leaving, so that streams may begin there.
    pub live: BTreeSet<Name>,
    /// The versions whose streams may come back.
    pub possible: BTreeSet<Name>,
}

/// Decides what the object with a host's origin snapshot has to hold, when it is written, and what follows from what it
/// may hold.
///
/// After a write that got no answer the store may hold, or come to hold, either content; a stream's version has to
/// follow from both.
#[derive(Debug, Default)]
pub struct SnapshotWriter {
    services: BTreeMap<Name, ServiceVersions>,
    stored: StoredSnapshot,
    /// What the host's last process may have begun, and until when its streams may come back.
    inherited: Option<(TimePoint, OriginSnapshot)>,
    /// The revision of the journal of which the last content was made.
    journal_revision: u64,
    /// When the last content was made.
    written_at: Option<TimePoint>,
    /// Whether a caller waits for an event until a stream's version is recorded.
    is_urgent: bool,
}

/// What the store may hold.
#[derive(Debug, Default)]
struct StoredSnapshot {
    is_read: bool,
    /// What it held when it was last read, or written with an answer; `None` if there was no object.
    confirmed: Option<OriginSnapshot>,
    /// What was sent and not answered.
    pending: Option<OriginSnapshot>,
}

impl StoredSnapshot {
    /// Whether a property holds of everything that the store may hold, of which `None` is that there is no object.
    fn all(&self, holds: impl Fn(Option<&OriginSnapshot>) -> bool) -> bool {
        holds(self.confirmed.as_ref()) && self.pending.as_ref().is_none_or(|pending| holds(Some(pending)))
    }
}

impl SnapshotWriter {
    /// The interval between two snapshots of a host, if `hosts` share a store that takes `writes` a second.
    pub fn interval(hosts: usize, writes: f64) -> Duration {
        Duration::try_from_secs_f64(hosts as f64 / (writes * WRITE_SHARE)).unwrap_or(MIN_INTERVAL).max(MIN_INTERVAL)
    }

    /// Applies the versions of all services that this host knows.
    pub fn set_services(&mut self, services: BTreeMap<Name, ServiceVersions>) {
        self.services = services;
    }

    /// Whether the object has to be read: hosts read what their last process wrote, and what the store holds after a
    /// write without an answer.
    pub fn needs_reading(&self) -> bool {
        !self.stored.is_read
    }

    /// Records that it is not known any more what the store holds, for instance since it was restored from a copy.
    pub fn require_reading(&mut self) {
        self.stored.is_read = false;
    }

    /// Applies what the store holds; `None` if there is no object.
    pub fn apply_reading(&mut self, now: TimePoint, snapshot: Option<OriginSnapshot>) {
        self.stored.is_read = true;
        if self.stored.pending.is_some() && self.stored.pending == snapshot {
            self.stored.confirmed = self.stored.pending.take();
        }
        if self.written_at.is_none() || self.stored.confirmed != snapshot {
            self.inherit(now, snapshot.clone());
            self.stored.confirmed = snapshot;
        }
    }

    /// Keeps what another process may have begun, as long as its streams may come back.
    fn inherit(&mut self, now: TimePoint, snapshot: Option<OriginSnapshot>) {
        let mut inherited = snapshot.unwrap_or_default();
        // What that process may have begun without listing it is known only now; versions that appear later are new.
        for (service, versions) in &self.services {
            let found = inherited.services.remove(service);
            let allows = |version: &&Name| found.as_ref().is_none_or(|found| found.allows_unlisted(version));
            let open = versions.possible.iter().filter(allows).cloned().collect();
            inherited.services.insert(Name::clone(service), ServiceSnapshot { open, known: BTreeSet::new() });
        }
        if let Some((_, earlier)) = self.inherited.take().filter(|(until, _)| now < *until) {
            merge(&mut inherited, &earlier);
        }
        self.inherited = Some((now + OriginLedger::LIFETIME, inherited));
    }

    /// When the next snapshot is to be written; `None` if the store holds all that a snapshot has to tell.
    ///
    /// With one version of each service nothing is ever written.
    pub fn next_write(&self, now: TimePoint, journal: &OriginJournal, interval: Duration) -> Option<TimePoint> {
        if !self.stored.is_read || !self.has_versions() {
            return None;
        }
        let is_resent = self.stored.pending.is_some();
        let has_other_versions = is_resent || self.has_other_versions(now, journal);
        if !has_other_versions && self.journal_revision == journal.revision() {
            return None;
        }
        let has_choice = self.services.values().any(|versions| versions.live.len() > 1);
        let pause = match (self.is_urgent, has_other_versions || has_choice) {
            (true, _) => URGENT_INTERVAL,
            (false, true) => interval,
            (false, false) => interval * SINGLE_VERSION_FACTOR,
        };
        Some(self.written_at.map_or(now, |at| at + pause))
    }

    /// The content to write now, which counts as sent until its outcome is applied.
    ///
    /// A content without an answer is sent again, so that the store holds one of two contents at most.
    pub fn begin_write(&mut self, now: TimePoint, journal: &mut OriginJournal) -> OriginSnapshot {
        self.written_at = Some(now);
        if let Some(pending) = &self.stored.pending {
            return pending.clone();
        }
        self.is_urgent = false;
        self.journal_revision = journal.revision();
        let mut content = OriginSnapshot {
            services: self.content_services(now, journal),
            streams: journal.listed(now, |service| self.has_versions_of(service)),
        };
        if let Some((_, inherited)) = self.inherited.as_ref().filter(|(until, _)| now < *until) {
            merge_streams(&mut content.streams, &inherited.streams);
        }
        self.stored.pending = Some(content.clone());
        content
    }

    /// Records that the store holds the content that was sent last.
    pub fn confirm_write(&mut self) {
        if let Some(content) = self.stored.pending.take() {
            self.stored.confirmed = Some(content);
        }
    }

    /// Records that the store did not answer, so that it may hold the content, or come to hold it later.
    pub fn record_unanswered(&mut self) {
        self.stored.is_read = false;
    }

    /// Whether the version of a stream follows from what the store holds, also if this host is lost now, so that the
    /// caller may get its first event from that version.
    ///
    /// While the store has not been read, all versions may.
    pub fn allows(&self, service: &str, stream: StreamKey, version: &str) -> bool {
        let allows = |snapshot: Option<&OriginSnapshot>| {
            snapshot.is_none_or(|snapshot| snapshot.allows(service, stream, version))
        };
        !self.has_versions_of(service) || self.stored.all(allows)
    }

    /// Requests that the next snapshot is written at once, since a caller waits.
    pub fn request_write(&mut self) {
        self.is_urgent = true;
    }

    /// The versions of a service at which no stream may begin before the next snapshot.
    pub fn closed(&self, service: &str) -> BTreeSet<Name> {
        let Some(versions) = self.services.get(service).filter(|versions| versions.possible.len() > 1) else {
            return BTreeSet::new();
        };
        let contents = self.stored.confirmed.iter().chain(&self.stored.pending);
        contents.flat_map(|snapshot| snapshot.closed(service, &versions.possible).cloned()).collect()
    }

    fn has_versions(&self) -> bool {
        self.services.values().any(|versions| versions.possible.len() > 1)
    }

    fn has_versions_of(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|versions| versions.possible.len() > 1)
    }

    /// Whether the stored snapshot states other versions than the next one would.
    fn has_other_versions(&self, now: TimePoint, journal: &OriginJournal) -> bool {
        let stored = self.stored.confirmed.as_ref().map(|snapshot| &snapshot.services);
        stored != Some(&self.content_services(now, journal))
    }

    /// What a snapshot states of each service that has several versions.
    fn content_services(&self, now: TimePoint, journal: &OriginJournal) -> BTreeMap<Name, ServiceSnapshot> {
        let inherited = self.inherited.as_ref().filter(|(until, _)| now < *until).map(|(_, snapshot)| snapshot);
        let several = self.services.iter().filter(|(_, versions)| versions.possible.len() > 1);
        let content = several.map(|(service, versions)| {
            let inherited = inherited.map(|snapshot| snapshot.services.get(service));
            // Of a service that was not known yet when the snapshot was read, any stream may have begun.
            let inherited = inherited.map(|found| found.map_or(&versions.possible, |found| &found.open));
            let left_open = inherited.into_iter().flatten().chain(journal.omitted());
            let left_open = left_open.filter(|version| versions.possible.contains(*version));
            let open = versions.live.iter().chain(left_open).cloned().collect();
            (Name::clone(service), ServiceSnapshot { open, known: &versions.possible | &versions.live })
        });
        content.collect()
    }
}

/// Adds to a snapshot what an earlier one says.
fn merge(snapshot: &mut OriginSnapshot, earlier: &OriginSnapshot) {
    for (service, versions) in &earlier.services {
        let merged = snapshot.services.entry(Name::clone(service)).or_default();
        merged.open.extend(versions.open.iter().cloned());
    }
    merge_streams(&mut snapshot.streams, &earlier.streams);
}

fn merge_streams(streams: &mut BTreeMap<Name, Vec<StreamKey>>, earlier: &BTreeMap<Name, Vec<StreamKey>>) {
    for (version, earlier) in earlier {
        let merged = streams.entry(Name::clone(version)).or_default();
        merged.extend(earlier);
        merged.sort_unstable();
        merged.dedup();
    }
}
