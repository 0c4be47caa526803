use std::fmt;

use hollyhook_core::Name;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The version of an object: the revision of the store at which the object was written. Revisions only increase.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct ObjectVersion(pub u64);

impl fmt::Display for ObjectVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// An object stored at the platform.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredObject {
    /// The object's name within its kind.
    pub name: Name,
    /// The object's version.
    pub version: ObjectVersion,
    /// The object's value.
    pub value: Value,
}

/// A change to an object, or its current value in a list of all objects.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectChange {
    /// The object's name within its kind.
    pub name: Name,
    /// The revision of the change.
    pub version: ObjectVersion,
    /// The new value; `None` if the object was deleted.
    pub value: Option<Value>,
}

/// The objects of one kind, or the changes since a revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectList {
    /// The revision of the store that the list reflects; a watch continues from here.
    pub revision: ObjectVersion,
    /// The changes, oldest first; in a list of all objects, one for each object.
    pub changes: Vec<ObjectChange>,
}
