use std::collections::BTreeSet;

use crate::Name;

/// The versions of a service as one host knows them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServiceVersions {
    /// The versions of endpoints that are registered and not leaving, so that streams may begin there.
    pub live: BTreeSet<Name>,
    /// The versions whose streams may come back.
    pub possible: BTreeSet<Name>,
}
