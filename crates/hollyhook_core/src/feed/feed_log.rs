use std::collections::{BTreeMap, VecDeque};

use super::StoreRevision;
use crate::{Name, TimePoint};

/// Changes that are kept for those who ask from an earlier revision; at 280 endpoints that change every second or so,
/// about ten seconds of them. Whoever asks from before gets everything.
const KEPT_CHANGES: usize = 2_048;
/// Objects up to which any host tells everything at once.
const LEAST_TOLD: usize = 1_000;
/// What an object takes in a message, in bytes.
const OBJECT_BYTES: u64 = 250;
/// Hosts that may ask for everything at the same moment, as after a loss of power of a zone.
const ASKING_AT_ONCE: u64 = 24;
/// Within that time all of them are to have it.
const TELLING_S: u64 = 2;
const BYTES_PER_MBIT: u64 = 125_000;

/// Objects up to which a host tells everything at once whose link carries `link_mbps` Mbit/s.
///
/// What a host can't tell in time, others read in the store and come back with a later revision.
pub fn snapshot_limit(link_mbps: u32) -> usize {
    let bytes = u64::from(link_mbps) * BYTES_PER_MBIT * TELLING_S;
    ((bytes / ASKING_AT_ONCE / OBJECT_BYTES) as usize).max(LEAST_TOLD)
}

/// Lists of everything between which changes are kept.
const KEPT_GAPS: usize = 32;

/// Hosts that may have told on what a host tells on itself: a leader tells relays, and these the others. The count grows
/// with each host, so that hosts which ask each other in a circle soon refuse, and notice that the store is away.
const MOST_HOPS: u32 = 1;

/// A change of one object.
#[derive(Debug, Clone, PartialEq)]
pub struct FeedChange<T> {
    /// The object's name.
    pub name: Name,
    /// The object after the change; none if it is gone.
    pub object: Option<T>,
}

/// What a follower is told.
#[derive(Debug, Clone, PartialEq)]
pub struct FeedUpdate<T> {
    /// Whether these are all objects that there are, rather than what changed.
    pub is_snapshot: bool,
    /// The objects, or the changes in order.
    pub changes: Vec<FeedChange<T>>,
    /// The store's revision up to which they go.
    pub revision: StoreRevision,
    /// Until when it is known that nothing else changed.
    pub confirmed_until: TimePoint,
    /// From when on entries that lapsed while the store was away have their time to come back.
    pub grace_start: Option<TimePoint>,
    /// Hosts that told it on; zero if the store itself said it.
    pub hops: u32,
}

impl<T> FeedUpdate<T> {
    /// Whether they only say that nothing changed.
    pub fn is_empty(&self) -> bool {
        !self.is_snapshot && self.changes.is_empty()
    }
}

/// What a host knows of one kind of object, kept to tell others of it.
///
/// ```
/// use hollyhook_core::{FeedChange, FeedLog, FeedNews, StoreRevision, TimePoint};
///
/// let (at, revision) = (TimePoint::from_millis(10), StoreRevision::new(1, 7));
/// let object = FeedChange { name: "a".into(), object: Some(1) };
/// let whole = FeedNews { is_whole: true, changes: vec![object], revision, heard_until: at, back_at: None, hops: 0 };
/// let mut log = FeedLog::default();
/// log.apply(&whole);
/// assert_eq!(log.update_after(Some(revision)).unwrap().changes, []);
/// assert!(log.update_after(None).unwrap().is_whole);
/// ```
#[derive(Debug)]
pub struct FeedLog<T> {
    objects: BTreeMap<Name, T>,
    changes: VecDeque<(StoreRevision, FeedChange<T>)>,
    /// The revision from which on all changes are kept.
    kept_from: StoreRevision,
    revision: StoreRevision,
    /// The spans of the store's history that this host never saw: from what it knew to a list of everything, oldest first.
    gaps: VecDeque<(StoreRevision, StoreRevision)>,
    confirmed_until: TimePoint,
    grace_start: Option<TimePoint>,
    /// Hosts that told on what is known.
    hops: u32,
    is_known: bool,
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
            is_known: false,
            snapshot_limit: LEAST_TOLD,
        }
    }
}

impl<T: Clone + PartialEq> FeedLog<T> {
    /// The same log that tells up to so many objects at once.
    #[must_use]
    pub fn snapshot_limit(mut self, objects: usize) -> Self {
        self.snapshot_limit = objects;
        self
    }

    /// Takes news in.
    pub fn apply(&mut self, news: &FeedUpdate<T>) {
        // What a store said before it came back from an older copy replaces nothing of what it says since.
        if news.revision.era < self.revision.era {
            return;
        }
        self.hops = news.hops;
        self.confirmed_until = self.confirmed_until.max(news.confirmed_until);
        self.grace_start = self.grace_start.max(news.grace_start);
        let is_of_other_store = news.revision.era == self.revision.era && news.revision < self.revision;
        if news.is_snapshot && (!self.is_known || is_of_other_store) {
            // The first that is known, or of another store, whose revisions mean something else.
            let fresh = Self::default().snapshot_limit(self.snapshot_limit);
            *self = Self { hops: news.hops, grace_start: self.grace_start, confirmed_until: self.confirmed_until, ..fresh };
            self.is_known = true;
            self.kept_from = news.revision;
            self.objects = news.changes.iter().filter_map(known_object).collect();
        } else if news.is_snapshot {
            // Only what differs is told on: a leader that reads everything again must not make its followers do so.
            for change in self.differences(news) {
                self.apply_change(news.revision, change);
            }
        } else {
            for change in &news.changes {
                self.apply_change(news.revision, change.clone());
            }
        }
        if news.is_snapshot && news.revision > self.revision {
            self.gaps.push_back((self.revision, news.revision));
        }
        self.revision = self.revision.max(news.revision);
        while self.changes.len() > KEPT_CHANGES {
            if let Some((revision, _)) = self.changes.pop_front() {
                // Others of the same revision may still stand; all of it counts as forgotten.
                self.kept_from = self.kept_from.max(revision);
            }
        }
        while self.gaps.len() > KEPT_GAPS || self.gaps.front().is_some_and(|(_, end)| *end <= self.kept_from) {
            if let Some((_, end)) = self.gaps.pop_front() {
                self.kept_from = self.kept_from.max(end);
            }
        }
    }

    /// Whether what changed since a revision is known.
    ///
    /// Not in a span that this host never saw. Who is there, told by another host, may have objects that came and went within it,
    /// and, where the store came back from an older copy, changes that are undone now.
    fn is_known_from(&self, revision: StoreRevision) -> bool {
        let is_unseen = |(begin, end): &(StoreRevision, StoreRevision)| *begin < revision && revision < *end;
        revision >= self.kept_from && !self.gaps.iter().any(is_unseen)
    }

    fn apply_change(&mut self, revision: StoreRevision, change: FeedChange<T>) {
        match &change.object {
            Some(object) => self.objects.insert(Name::clone(&change.name), object.clone()),
            None => self.objects.remove(&change.name),
        };
        self.changes.push_back((revision, change));
    }

    /// What a list of everything changes.
    fn differences(&self, whole: &FeedUpdate<T>) -> Vec<FeedChange<T>> {
        let listed: BTreeMap<&Name, &FeedChange<T>> =
            whole.changes.iter().map(|change| (&change.name, change)).collect();
        let gone = self.objects.keys().filter(|name| !listed.contains_key(name));
        let gone = gone.map(|name| FeedChange { name: Name::clone(name), object: None });
        let differs = |change: &&FeedChange<T>| self.objects.get(&change.name) != change.object.as_ref();
        gone.chain(whole.changes.iter().filter(differs).cloned()).collect()
    }

    /// What changed after a revision, or everything where that is not known.
    ///
    /// None if this host may not tell, because too many others told it on, or if everything is too much, or if who asks knows a
    /// newer era of the store.
    pub fn update_after(&self, revision: Option<StoreRevision>) -> Option<FeedUpdate<T>> {
        if !self.is_known || self.hops > MOST_HOPS {
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
            None => self.objects.iter().map(whole_change).collect(),
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

fn known_object<T: Clone>(change: &FeedChange<T>) -> Option<(Name, T)> {
    change.object.clone().map(|object| (Name::clone(&change.name), object))
}

fn whole_change<T: Clone>((name, object): (&Name, &T)) -> FeedChange<T> {
    FeedChange { name: Name::clone(name), object: Some(object.clone()) }
}
