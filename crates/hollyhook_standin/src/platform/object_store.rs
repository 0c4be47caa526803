use std::collections::BTreeMap;

use async_channel::{Receiver, Sender};
use hollyhook_core::Name;
use hollyhook_wire::{ObjectChange, ObjectList, ObjectVersion, StoredObject};
use serde_json::Value;

/// The most bytes of one value.
pub(super) const MAX_VALUE_BYTES: usize = 1 << 20;
/// Changes that a watch can look back on.
const HISTORY: usize = 4_096;

/// Why a write was not made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ConditionFailed;

/// All objects, by kind and name.
#[derive(Debug)]
pub(super) struct ObjectStore {
    revision: u64,
    kinds: BTreeMap<Name, BTreeMap<Name, StoredObject>>,
    history: Vec<(Name, ObjectChange)>,
    changed_sender: Sender<()>,
    changed: Receiver<()>,
}

impl Default for ObjectStore {
    fn default() -> Self {
        let (changed_sender, changed) = async_channel::bounded(1);
        Self { revision: 0, kinds: BTreeMap::new(), history: Vec::new(), changed_sender, changed }
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

    /// The changes of a kind after a revision; the whole list if that is too long ago.
    pub(super) fn changes(&self, kind: &str, after: ObjectVersion) -> ObjectList {
        let oldest = self.history.first().map_or(self.revision, |(_, change)| change.version.0);
        if after.0 + 1 < oldest {
            return self.list(kind);
        }
        let recent = self.history.iter().filter(|(of, change)| **of == *kind && change.version > after);
        let changes = recent.map(|(_, change)| change.clone()).collect();
        ObjectList { revision: ObjectVersion(self.revision), changes }
    }

    /// Ends when the store changes after this call.
    pub(super) fn changed(&self) -> Receiver<()> {
        self.changed.clone()
    }

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

    fn record(&mut self, kind: &str, change: ObjectChange) {
        self.history.push((kind.into(), change));
        if self.history.len() > HISTORY {
            self.history.drain(..HISTORY / 2);
        }
        self.changed_sender.close();
        (self.changed_sender, self.changed) = async_channel::bounded(1);
    }
}
