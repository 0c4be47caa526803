use std::collections::{BTreeMap, VecDeque};

use super::StoreRevision;
use crate::{Name, TimePoint};

/// Most changes that are kept for peers that ask from an earlier revision: about ten seconds of history at 280
/// endpoints that change about once a second. A peer that asks from before these changes gets a snapshot.
const MAX_CHANGES: usize = 2_048;
/// Snapshot size, in objects, that every host sends, however slow its link.
const MIN_SNAPSHOT_LIMIT: usize = 1_000;
/// Size of an object in a message, in bytes.
const OBJECT_BYTES: u64 = 250;
/// Hosts that may ask for a snapshot at the same moment, for example after a zone lost power.
const CONCURRENT_SNAPSHOTS: u64 = 24;
/// Time, in seconds, within which all of these hosts must have received the snapshot.
const SNAPSHOT_TIME_S: u64 = 2;
const BYTES_PER_MBIT: u64 = 125_000;

/// Most objects that a host with a link of `link_mbps` Mbit/s sends in one snapshot.
///
/// Peers read larger snapshots from the store, and then ask again from the revision that they read.
pub fn snapshot_limit(link_mbps: u32) -> usize {
    let bytes = u64::from(link_mbps) * BYTES_PER_MBIT * SNAPSHOT_TIME_S;
    ((bytes / CONCURRENT_SNAPSHOTS / OBJECT_BYTES) as usize).max(MIN_SNAPSHOT_LIMIT)
}

/// Most gaps in the history that are remembered; each is left by a snapshot that arrived after earlier updates.
const MAX_GAPS: usize = 32;

/// Most hosts that may have passed an update on before this host passes it on too: a leader updates relays, and relays
/// update followers. Each receiving host increments the count, so that hosts that ask each other in a circle soon
/// refuse, and notice that the store is unavailable.
const MAX_HOPS: u32 = 1;

/// A change of one object.
#[derive(Debug, Clone, PartialEq)]
pub struct FeedChange<T> {
    /// The object's name.
    pub name: Name,
    /// The object after the change; `None` if it was removed.
    pub object: Option<T>,
}

/// A snapshot of all objects of one kind, or the changes to them since a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct FeedUpdate<T> {
    /// Whether `changes` lists all objects that exist, rather than what changed.
    pub is_snapshot: bool,
    /// The objects of a snapshot, or the changes in order.
    pub changes: Vec<FeedChange<T>>,
    /// The store's revision up to which the update is complete.
    pub revision: StoreRevision,
    /// Time until which the store is known to have held no change beyond this update.
    pub confirmed_until: TimePoint,
    /// Start of the grace period in which entries that lapsed while the store was unavailable may be registered again;
    /// `None` if no such outage is known.
    pub grace_start: Option<TimePoint>,
    /// Hosts that passed the update on; zero if it comes from the store.
    pub hops: u32,
}

impl<T> FeedUpdate<T> {
    /// Whether the update states only that nothing changed.
    pub fn is_empty(&self) -> bool {
        !self.is_snapshot && self.changes.is_empty()
    }
}

/// A host's copy of all objects of one kind, with recent changes, from which it updates other hosts.
///
/// ```
/// use hollyhook_core::{FeedChange, FeedLog, FeedUpdate, StoreRevision, TimePoint};
///
/// let (at, revision) = (TimePoint::from_millis(10), StoreRevision::new(1, 7));
/// let object = FeedChange { name: "a".into(), object: Some(1) };
/// let snapshot = FeedUpdate {
///     is_snapshot: true,
///     changes: vec![object],
///     revision,
///     confirmed_until: at,
///     grace_start: None,
///     hops: 0,
/// };
/// let mut log = FeedLog::default();
/// log.apply(&snapshot);
/// assert_eq!(log.update_after(Some(revision)).unwrap().changes, []);
/// assert!(log.update_after(None).unwrap().is_snapshot);
/// ```
#[derive(Debug)]
pub struct FeedLog<T> {
    objects: BTreeMap<Name, T>,
    changes: VecDeque<(StoreRevision, FeedChange<T>)>,
    /// The revision after which all changes are kept.
    kept_from: StoreRevision,
    revision: StoreRevision,
    /// Revision ranges whose changes this host never received, oldest first. Each begins at the last known revision and
    /// ends at that of the next snapshot.
    gaps: VecDeque<(StoreRevision, StoreRevision)>,
    confirmed_until: TimePoint,
    grace_start: Option<TimePoint>,
    /// Hosts that passed on the last update.
    hops: u32,
    /// Whether a first snapshot was applied.
    has_snapshot: bool,
    snapshot_limit: usize,
}

impl<T> Default for FeedLog<T> {
    fn default() -> Self {
        Self {
            objects: BTreeMap::new(),
            changes: VecDeque::new(),
            kept_from: StoreRevision::default(),
            revision: StoreRevision::default(),
            gaps: VecDeque::new(),
            confirmed_until: TimePoint::ZERO,
            grace_start: None,
            hops: 0,
            has_snapshot: false,
            snapshot_limit: MIN_SNAPSHOT_LIMIT,
        }
    }
}

impl<T: Clone + PartialEq> FeedLog<T> {
    /// Sets the largest snapshot, in objects, that the log sends.
    #[must_use]
    pub fn snapshot_limit(mut self, objects: usize) -> Self {
        self.snapshot_limit = objects;
        self
    }

    /// Applies an update from the store or from another host.
    pub fn apply(&mut self, update: &FeedUpdate<T>) {
        // An update from before the store was restored must not replace what the store returned since.
        if update.revision.era < self.revision.era {
            return;
        }
        self.hops = update.hops;
        self.confirmed_until = self.confirmed_until.max(update.confirmed_until);
        self.grace_start = self.grace_start.max(update.grace_start);
        let is_of_other_store = update.revision.era == self.revision.era && update.revision < self.revision;
        if update.is_snapshot && (!self.has_snapshot || is_of_other_store) {
            // The first snapshot, or one of another store, whose revisions are not comparable with those known.
            let fresh = Self::default().snapshot_limit(self.snapshot_limit);
            *self = Self {
                hops: update.hops,
                grace_start: self.grace_start,
                confirmed_until: self.confirmed_until,
                ..fresh
            };
            self.has_snapshot = true;
            self.kept_from = update.revision;
            self.objects = update.changes.iter().filter_map(present_object).collect();
        } else if update.is_snapshot {
            // Only differences are passed on: a leader that lists all objects again must not make its followers do so.
            for change in self.differences(update) {
                self.apply_change(update.revision, change);
            }
        } else {
            for change in &update.changes {
                self.apply_change(update.revision, change.clone());
            }
        }
        if update.is_snapshot && update.revision > self.revision {
            self.gaps.push_back((self.revision, update.revision));
        }
        self.revision = self.revision.max(update.revision);
        while self.changes.len() > MAX_CHANGES {
            if let Some((revision, _)) = self.changes.pop_front() {
                // Other changes of this revision may still be kept; the whole revision counts as dropped.
                self.kept_from = self.kept_from.max(revision);
            }
        }
        while self.gaps.len() > MAX_GAPS || self.gaps.front().is_some_and(|(_, end)| *end <= self.kept_from) {
            if let Some((_, end)) = self.gaps.pop_front() {
                self.kept_from = self.kept_from.max(end);
            }
        }
    }

    /// Whether all changes after a revision are known.
    ///
    /// For a revision inside a gap, they are not: a peer that another host updated to such a revision may have objects
    /// that were created and removed within the gap and, if the store was restored from an older copy, changes that
    /// were lost.
    fn is_known_from(&self, revision: StoreRevision) -> bool {
        let is_in_gap = |(begin, end): &(StoreRevision, StoreRevision)| *begin < revision && revision < *end;
        revision >= self.kept_from && !self.gaps.iter().any(is_in_gap)
    }

    fn apply_change(&mut self, revision: StoreRevision, change: FeedChange<T>) {
        match &change.object {
            Some(object) => self.objects.insert(Name::clone(&change.name), object.clone()),
            None => self.objects.remove(&change.name),
        };
        self.changes.push_back((revision, change));
    }

    /// The changes that turn the current objects into those of a snapshot.
    fn differences(&self, snapshot: &FeedUpdate<T>) -> Vec<FeedChange<T>> {
        let listed: BTreeMap<&Name, &FeedChange<T>> =
            snapshot.changes.iter().map(|change| (&change.name, change)).collect();
        let removed = self.objects.keys().filter(|name| !listed.contains_key(name));
        let removed = removed.map(|name| FeedChange { name: Name::clone(name), object: None });
        let differs = |change: &&FeedChange<T>| self.objects.get(&change.name) != change.object.as_ref();
        removed.chain(snapshot.changes.iter().filter(differs).cloned()).collect()
    }

    /// The changes after a revision, or a snapshot if no revision is given or not all changes after it are known.
    ///
    /// `None` if this host must not pass its copy on: it has none yet, the copy passed through too many hosts, the
    /// snapshot would be too large, or the asking host knows a newer era of the store.
    pub fn update_after(&self, revision: Option<StoreRevision>) -> Option<FeedUpdate<T>> {
        if !self.has_snapshot || self.hops > MAX_HOPS {
            return None;
        }
        if revision.is_some_and(|revision| revision.era > self.revision.era) {
            return None;
        }
        let known = revision.filter(|revision| self.is_known_from(*revision));
        if known.is_none() && self.objects.len() > self.snapshot_limit {
            return None;
        }
        let changes = match known {
            Some(known) => {
                let later = self.changes.iter().filter(|(revision, _)| *revision > known);
                later.map(|(_, change)| change.clone()).collect()
            }
            None => self.objects.iter().map(snapshot_entry).collect(),
        };
        Some(FeedUpdate {
            is_snapshot: known.is_none(),
            changes,
            revision: self.revision,
            confirmed_until: self.confirmed_until,
            grace_start: self.grace_start,
            hops: self.hops,
        })
    }
}

fn present_object<T: Clone>(change: &FeedChange<T>) -> Option<(Name, T)> {
    change.object.clone().map(|object| (Name::clone(&change.name), object))
}

fn snapshot_entry<T: Clone>((name, object): (&Name, &T)) -> FeedChange<T> {
    FeedChange { name: Name::clone(name), object: Some(object.clone()) }
}
