use std::fmt;

use hollyhook_core::Name;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The version of an object, and the revision of the store that made it; only grows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct ObjectVersion(pub u64);

impl fmt::Display for ObjectVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// An object as the platform holds it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Its name within its kind.
    pub name: Name,
    /// Its version.
    pub version: ObjectVersion,
    /// Its value.
    pub value: Value,
}

/// A change that a watch saw.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectChange {
    /// The object's name within its kind.
    pub name: Name,
    /// The revision of the change.
    pub version: ObjectVersion,
    /// The new value; none if the object was deleted.
    pub value: Option<Value>,
}

/// The objects of one kind, or the changes since a revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectList {
    /// The revision that the list is of; watch from here.
    pub revision: ObjectVersion,
    /// The changes, oldest first; for a list, one for each object.
    pub changes: Vec<ObjectChange>,
}
