use std::collections::BTreeSet;

use super::{EndpointState, EndpointTable};
use crate::{Name, TimePoint};

/// The software versions of a service's endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedVersions {
    /// Those of endpoints that are listed, or were lately.
    pub recent: BTreeSet<Name>,
    /// Those of endpoints that are not leaving.
    pub live: BTreeSet<Name>,
    /// Those of endpoints that can serve.
    pub serving: BTreeSet<Name>,
}

impl EndpointTable {
    /// The versions of a service's endpoints.
    ///
    /// Examines endpoints only until each version is known to serve: a service whose versions all serve costs little,
    /// however many endpoints it has.
    pub fn listed_versions(&mut self, now: TimePoint, service: &str) -> ListedVersions {
        let recent = self.recent_versions(now, service);
        let count = self.versions.count(service);
        let (mut live, mut serving) = (BTreeSet::new(), BTreeSet::new());
        for record in self.of_service(service).filter(|record| record.state == EndpointState::Live) {
            if !live.contains(&record.version) {
                live.insert(Name::clone(&record.version));
            }
            if record.is_ejected(now) || serving.contains(&record.version) {
                continue;
            }
            serving.insert(Name::clone(&record.version));
            if serving.len() == count {
                break;
            }
        }
        ListedVersions { recent, live, serving }
    }
}
