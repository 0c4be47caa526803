use std::collections::BTreeSet;

use crate::Name;

/// The record of the software versions of a service whose streams may still come back, as one host knows it.
///
/// The record outlives all hosts. A version is added before it gets its first request, and removed once no stream of
/// it can come back, so that a version that is in no record and that no host remembers has begun no stream.
///
/// ```
/// use hollyhook_core::VersionRecord;
///
/// let set = |names: &[&str]| names.iter().map(|name| (*name).into()).collect();
/// let mut record = VersionRecord::default();
/// assert!(record.needs_reading());
/// record.apply_reading(Some(set(&["v1"])));
/// // The new version gets no requests while the recorded one can serve.
/// assert_eq!(record.admitted(&set(&["v1", "v2"])), Some(set(&["v1"])));
/// assert_eq!(record.missing_content(&set(&["v1", "v2"])), Some(set(&["v1", "v2"])));
/// assert_eq!(record.admitted(&set(&["v2"])), None);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionRecord {
    reading: RecordReading,
    /// Whether the reading holds all versions that may have begun streams and that this host has not seen.
    is_current: bool,
    /// The versions that the record was seen to hold, except those whose streams can't come back.
    confirmed: BTreeSet<Name>,
}

/// What the store held when the record was last read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
enum RecordReading {
    #[default]
    Unread,
    /// There was no record.
    Absent,
    Present(BTreeSet<Name>),
}

impl VersionRecord {
    /// Stands in a record for versions that it held before another writer replaced it. No endpoint runs it, so that it is
    /// removed like any version whose streams can't come back.
    pub const LOST_VERSION: &str = "(lost)";

    /// Applies what the store holds; `None` if there is no record.
    pub fn apply_reading(&mut self, versions: Option<BTreeSet<Name>>) {
        self.is_current = true;
        self.reading = match versions {
            None => RecordReading::Absent,
            Some(versions) => {
                self.confirmed.extend(versions.iter().cloned());
                RecordReading::Present(versions)
            }
        };
    }

    /// Records that another writer has replaced the record by something else; it has to be written anew.
    ///
    /// The versions that it held are lost. [`LOST_VERSION`](Self::LOST_VERSION) stands for them, so that a stream of which
    /// nothing else tells the version counts as possibly theirs, until none can come back.
    ///
    /// ```
    /// use hollyhook_core::VersionRecord;
    ///
    /// let set = |names: &[&str]| names.iter().map(|name| (*name).into()).collect();
    /// let mut record = VersionRecord::default();
    /// record.apply_unreadable();
    /// let content = set(&["v1", VersionRecord::LOST_VERSION]);
    /// assert_eq!(record.missing_content(&set(&["v1"])), Some(content));
    /// ```
    pub fn apply_unreadable(&mut self) {
        self.apply_reading(Some(BTreeSet::from([Self::LOST_VERSION.into()])));
    }

    /// Records that versions may have begun streams, and have gone, without this host having seen them since the reading.
    pub fn require_reading(&mut self) {
        self.is_current = false;
    }

    /// Whether the record has to be read.
    pub fn needs_reading(&self) -> bool {
        !self.is_current
    }

    /// Forgets that versions were recorded whose streams can't come back: another host may have removed them.
    ///
    /// `recent` are the versions that this host has seen within the whole lifetime of origins.
    pub fn retain_recent(&mut self, recent: &BTreeSet<Name>) {
        self.confirmed.retain(|version| recent.contains(version));
    }

    /// What the record has to hold, if it lacks some of the versions `recent` that this host has seen lately.
    pub fn missing_content(&self, recent: &BTreeSet<Name>) -> Option<BTreeSet<Name>> {
        let stored = match &self.reading {
            RecordReading::Unread => return None,
            RecordReading::Absent => BTreeSet::new(),
            RecordReading::Present(versions) => versions.clone(),
        };
        (!recent.is_subset(&stored)).then(|| &stored | recent)
    }

    /// What the record has to hold, if it holds versions whose streams can't come back.
    ///
    /// `recent` are the versions that this host has seen within the whole lifetime of origins. Without any, the record
    /// stays as it is: no stream can go on.
    pub fn outdated_content(&self, recent: &BTreeSet<Name>) -> Option<BTreeSet<Name>> {
        let RecordReading::Present(versions) = &self.reading else {
            return None;
        };
        let is_outdated = !recent.is_empty() && !versions.is_subset(recent);
        is_outdated.then(|| versions & recent)
    }

    /// The versions that may get new requests; `None` allows all.
    ///
    /// A version that the record lacks waits as long as a recorded one can serve; `serving` are the versions of the
    /// endpoints that can. Without a record, the first one names the versions that serve already.
    pub fn admitted(&self, serving: &BTreeSet<Name>) -> Option<BTreeSet<Name>> {
        let can_serve = !self.confirmed.is_disjoint(serving);
        can_serve.then(|| self.confirmed.clone())
    }

    /// The versions that may have begun streams that come back: those that this host has seen lately, and those of the
    /// record.
    pub fn possible(&self, recent: &BTreeSet<Name>) -> BTreeSet<Name> {
        recent | &self.confirmed
    }
}
