//! A client of the platform's object store: versioned objects, conditional writes and watches.

mod platform_client;
mod stored_object;

pub use platform_client::{PlatformClient, PlatformError, WriteCondition};
pub use stored_object::{ObjectChange, ObjectList, ObjectVersion, StoredObject};
