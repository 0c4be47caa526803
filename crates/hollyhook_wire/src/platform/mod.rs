//! The platform's object API: versions, conditional updates and watches.

mod platform_client;
mod stored_object;

pub use platform_client::{PlatformClient, PlatformError, WriteCondition};
pub use stored_object::{ObjectChange, ObjectList, ObjectVersion, StoredObject};
