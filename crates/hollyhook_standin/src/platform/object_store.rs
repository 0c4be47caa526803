use std::collections::BTreeMap;

use async_channel::{Receiver, Sender};
use hollyhook_core::Name;
use hollyhook_wire::{ObjectChange, ObjectList, ObjectVersion, StoredObject};
use serde_json::Value;

/// Upper limit on the size of a value, in bytes.
pub(super) const MAX_VALUE_BYTES: usize = 1 << 20;
/// Upper limit on the changes kept for watches. Beyond it the oldest half is dropped.
const MAX_HISTORY: usize = 4_096;

/// A write was rejected because the object does not have the expected version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ConditionFailed;

/// All objects by kind and name, with the latest changes.
///
/// Each write raises the revision by 1, which becomes the version of the object written.
#[derive(Debug)]
pub(super) struct ObjectStore {
    revision: u64,
    kinds: BTreeMap<Name, BTreeMap<Name, StoredObject>>,
    history: Vec<(Name, ObjectChange)>,
    change_notifier: Sender<()>,
    change_signal: Receiver<()>,
}

impl Default for ObjectStore {
    fn default() -> Self {
        let (change_notifier, change_signal) = async_channel::bounded(1);
        Self { revision: 0, kinds: BTreeMap::new(), history: Vec::new(), change_notifier, change_signal }
    }
}

impl ObjectStore {
    pub(super) fn get(&self, kind: &str, name: &str) -> Option<&StoredObject> {
        self.kinds.get(kind)?.get(name)
    }

    pub(super) fn list(&self, kind: &str) -> ObjectList {
        let objects = self.kinds.get(kind).into_iter().flat_map(BTreeMap::values);
        let changes = objects.map(|object| ObjectChange {
            name: Name::clone(&object.name),
            version: object.version,
            value: Some(object.value.clone()),
        });
        ObjectList { revision: ObjectVersion(self.revision), changes: changes.collect() }
    }

    /// Lists the changes of a kind after a revision, or all its objects if those changes are no longer all kept.
    pub(super) fn changes(&self, kind: &str, after: ObjectVersion) -> ObjectList {
        let oldest = self.history.first().map_or(self.revision, |(_, change)| change.version.0);
        if after.0 + 1 < oldest {
            return self.list(kind);
        }
        let recent = self.history.iter().filter(|(of, change)| **of == *kind && change.version > after);
        let changes = recent.map(|(_, change)| change.clone()).collect();
        ObjectList { revision: ObjectVersion(self.revision), changes }
    }

    /// Returns a channel that closes at the next change of the store.
    pub(super) fn change_signal(&self) -> Receiver<()> {
        self.change_signal.clone()
    }

    /// Writes an object if its current version is `expected`; `None` expects that the object does not exist.
    pub(super) fn put(
        &mut self,
        kind: &str,
        name: &str,
        expected: Option<ObjectVersion>,
        value: Value,
    ) -> Result<ObjectVersion, ConditionFailed> {
        if self.get(kind, name).map(|object| object.version) != expected {
            return Err(ConditionFailed);
        }
        self.revision += 1;
        let version = ObjectVersion(self.revision);
        let name = Name::from(name);
        let object = StoredObject { name: Name::clone(&name), version, value: value.clone() };
        self.kinds.entry(kind.into()).or_default().insert(Name::clone(&name), object);
        self.record(kind, ObjectChange { name, version, value: Some(value) });
        Ok(version)
    }

    /// Adds a change to the history and wakes the watches.
    fn record(&mut self, kind: &str, change: ObjectChange) {
        self.history.push((kind.into(), change));
        if self.history.len() > MAX_HISTORY {
            self.history.drain(..MAX_HISTORY / 2);
        }
        self.change_notifier.close();
        (self.change_notifier, self.change_signal) = async_channel::bounded(1);
    }
}
