use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::inherited_origins::InheritedOrigins;
use super::{OriginJournal, OriginSnapshot, ServiceSnapshot, ServiceVersions, StreamKey};
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

/// Whether the version of a stream would be found if all hosts were lost now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordVerdict {
    /// It follows from all that the store may hold.
    Recorded,
    /// It is not known what the store may hold: the object has not been read, or a write of another process may still be
    /// executed.
    Unproven,
    /// Another version would follow from what the store may hold.
    Contradicted,
}

/// Decides what the object with a host's origin snapshot has to hold, when it is written, and what follows from what it
/// may hold.
///
/// After a write that got no answer the store may hold, or come to hold, either content; a stream's version has to
/// follow from both.
#[derive(Debug, Default)]
pub struct SnapshotWriter {
    /// Tells the snapshots of this process from those of others of the host.
    process: u64,
    /// The era of the store.
    era: u64,
    services: BTreeMap<Name, ServiceVersions>,
    stored: StoredSnapshot,
    /// What the host's earlier processes may have begun.
    inherited: Option<InheritedOrigins>,
    /// The revision of the journal of which the last content was made; `None` if that was not written.
    journal_revision: Option<u64>,
    /// When the last content was made.
    written_at: Option<TimePoint>,
    /// Whether a caller waits for an event until a stream's version is recorded.
    is_urgent: bool,
    /// Whether the store did not take the content that was sent last.
    has_failed: bool,
}

/// What the store may hold.
#[derive(Debug, Default)]
struct StoredSnapshot {
    is_read: bool,
    /// Whether this process wrote the object last, so that no write of an earlier process can be executed any more.
    is_owned: bool,
    /// What it held when it was last read, or written with an answer; `None` if there was no object.
    confirmed: Option<OriginSnapshot>,
    /// What was sent and may be executed.
    pending: Option<OriginSnapshot>,
    /// Whether `pending` was sent without an answer.
    is_unanswered: bool,
}

impl StoredSnapshot {
    /// Everything that the store may hold.
    fn contents(&self) -> impl Iterator<Item = &OriginSnapshot> {
        self.confirmed.iter().chain(&self.pending)
    }
}

impl SnapshotWriter {
    /// A writer of a process that has read nothing; `process` is different for each process of a host.
    pub fn new(process: u64) -> Self {
        Self { process, ..Self::default() }
    }

    /// The interval between two snapshots of a host, if `hosts` share a store that takes `writes` a second.
    pub fn interval(hosts: usize, writes: f64) -> Duration {
        Duration::try_from_secs_f64(hosts as f64 / (writes * WRITE_SHARE)).unwrap_or(MIN_INTERVAL).max(MIN_INTERVAL)
    }

    /// Applies the versions of all services that this host knows.
    pub fn set_services(&mut self, services: BTreeMap<Name, ServiceVersions>) {
        self.services = services;
    }

    /// Applies the era of the store; one that was restored from a copy has lost what it held.
    pub fn set_era(&mut self, era: u64) {
        if era != self.era {
            self.era = era;
            self.stored = StoredSnapshot::default();
        }
    }

    /// Whether the object has to be read: hosts read what their last process wrote, and what the store holds after a
    /// write without an answer.
    pub fn needs_reading(&self) -> bool {
        !self.stored.is_read
    }

    /// Applies what the store holds; `None` if there is no object of the store's present era.
    pub fn apply_reading(&mut self, now: TimePoint, snapshot: Option<OriginSnapshot>) {
        self.stored.is_read = true;
        let is_known = self.stored.is_owned || self.stored.pending.is_some();
        if self.stored.pending.is_some() && self.stored.pending == snapshot {
            self.confirm_write();
        } else if !is_known || self.stored.confirmed != snapshot {
            // Another process wrote it, so that nothing of this one can be executed any more.
            self.inherit(now, snapshot.as_ref());
            self.stored = StoredSnapshot { is_read: true, confirmed: snapshot, ..StoredSnapshot::default() };
        }
    }

    /// Keeps what another process may have begun, as long as its streams may come back.
    fn inherit(&mut self, now: TimePoint, snapshot: Option<&OriginSnapshot>) {
        let mut inherited = InheritedOrigins::new(now, snapshot, &self.services);
        if let Some(earlier) = self.inherited.take() {
            inherited.add(now, &earlier);
        }
        self.inherited = Some(inherited);
    }

    /// When the next snapshot is to be written; `None` if the store holds all that a snapshot has to tell.
    ///
    /// With one version of each service nothing is written, unless the object forbids that version.
    pub fn next_write(&self, now: TimePoint, journal: &OriginJournal, interval: Duration) -> Option<TimePoint> {
        if !self.stored.is_read {
            return None;
        }
        let has_versions = self.has_versions();
        let is_first = has_versions && !self.stored.is_owned;
        let has_other_versions = is_first || self.stored.pending.is_some() || self.has_other_versions(now, journal);
        let is_changed = has_other_versions || self.journal_revision != Some(journal.revision());
        let is_blocked = self.is_urgent || self.services.keys().any(|service| self.closes_all(service));
        let is_due = is_blocked || (has_versions && is_changed);
        if !is_due {
            return None;
        }
        let has_choice = self.services.values().any(|versions| versions.live.len() > 1);
        let pause = match (is_blocked || is_first, has_other_versions || has_choice) {
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
        self.journal_revision = Some(journal.revision());
        let mut content = OriginSnapshot {
            process: self.process,
            era: self.era,
            services: self.content_services(now, journal),
            streams: journal.listed(now, |service| self.has_versions_of(service)),
        };
        if let Some(inherited) = self.inherited.as_ref().filter(|inherited| inherited.is_valid(now)) {
            inherited.list_in(&mut content.streams);
        }
        self.stored.pending = Some(content.clone());
        content
    }

    /// Records that the store holds the content that was sent last.
    pub fn confirm_write(&mut self) {
        self.has_failed = false;
        let confirmed = self.stored.pending.take();
        self.stored = StoredSnapshot { is_read: true, is_owned: true, confirmed, ..StoredSnapshot::default() };
    }

    /// Records that the store rejected the content that was sent last; another one may take its place, unless it was sent
    /// without an answer before. If there was a conflict, the object has to be read.
    pub fn reject_write(&mut self, is_conflict: bool) {
        self.has_failed = true;
        self.stored.is_read &= !is_conflict;
        if !self.stored.is_unanswered {
            self.stored.pending = None;
            self.journal_revision = None;
        }
    }

    /// Records that the store did not answer, so that it may hold the content, or come to hold it later.
    pub fn record_unanswered(&mut self) {
        self.has_failed = true;
        (self.stored.is_read, self.stored.is_unanswered) = (false, true);
    }

    /// Whether the version of a stream would be found if all hosts were lost now. Before it is, no caller gets events.
    pub fn verdict(&self, service: &str, stream: StreamKey, version: &str) -> RecordVerdict {
        if self.stored.contents().any(|snapshot| !snapshot.allows(service, stream, version)) {
            return RecordVerdict::Contradicted;
        }
        if self.has_versions_of(service) && !self.stored.is_owned {
            return RecordVerdict::Unproven;
        }
        RecordVerdict::Recorded
    }

    /// Requests that the next snapshot is written at once, since a caller waits.
    pub fn request_write(&mut self) {
        self.is_urgent = true;
    }

    /// The versions of a service at which no stream is to begin before the next snapshot.
    ///
    /// None if no other version is live, since callers then wait for the snapshot; but if the store does not take it,
    /// they are better refused at once.
    pub fn closed(&self, service: &str) -> BTreeSet<Name> {
        if self.closes_all(service) && !self.has_failed {
            return BTreeSet::new();
        }
        let versions = self.services.get(service).map(|versions| &versions.possible | &versions.live);
        versions.into_iter().flatten().filter(|version| self.closes(service, version)).collect()
    }

    /// Whether the store may hold a snapshot by which no unlisted stream began at a version.
    fn closes(&self, service: &str, version: &str) -> bool {
        let mut stored = self.stored.contents().filter_map(|snapshot| snapshot.services.get(service));
        stored.any(|snapshot| !snapshot.allows_unlisted(version))
    }

    /// Whether all versions of a service at which streams could begin are closed.
    fn closes_all(&self, service: &str) -> bool {
        let live = self.services.get(service).map(|versions| &versions.live);
        live.is_some_and(|live| !live.is_empty() && live.iter().all(|version| self.closes(service, version)))
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

    /// What a snapshot states of each service that has several versions, or of which the stored one closes the only one.
    fn content_services(&self, now: TimePoint, journal: &OriginJournal) -> BTreeMap<Name, ServiceSnapshot> {
        let inherited = self.inherited.as_ref().filter(|inherited| inherited.is_valid(now));
        let is_stated = |service: &Name| self.has_versions_of(service) || self.closes_all(service);
        let stated = self.services.iter().filter(|(service, _)| is_stated(service));
        let content = stated.map(|(service, versions)| {
            let left_open = inherited.into_iter().flat_map(|inherited| inherited.open(service, versions));
            let left_open = left_open.chain(journal.omitted()).filter(|version| versions.possible.contains(*version));
            let open = versions.live.iter().chain(left_open).cloned().collect();
            (Name::clone(service), ServiceSnapshot { open, known: &versions.possible | &versions.live })
        });
        content.collect()
    }
}
