use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::EndpointRecord;
use crate::{EndpointId, Name};

/// Which endpoints registered under a name, and at an address.
///
/// Each registration that is read is compared with the others of its place. To look at all records for each
/// would take the square of their number, seconds on small hosts for a first list of thousands.
#[derive(Debug, Default)]
pub(super) struct PlaceIndex {
    by_address: BTreeMap<SocketAddr, BTreeSet<EndpointId>>,
    by_entry: BTreeMap<Name, BTreeSet<EndpointId>>,
}

impl PlaceIndex {
    pub(super) fn add(&mut self, record: &EndpointRecord) {
        let (id, entry) = (EndpointId::clone(&record.id), Name::clone(&record.entry));
        self.by_address.entry(record.address).or_default().insert(EndpointId::clone(&id));
        self.by_entry.entry(entry).or_default().insert(id);
    }

    pub(super) fn remove(&mut self, record: &EndpointRecord) {
        remove_from(&mut self.by_address, &record.address, &record.id);
        remove_from(&mut self.by_entry, &record.entry, &record.id);
    }

    /// Those that registered under a name.
    pub(super) fn registered_as(&self, entry: &str) -> impl Iterator<Item = &EndpointId> {
        self.by_entry.get(entry).into_iter().flatten()
    }

    /// Those at the address of a record, or registered under its name, in the order of their names.
    pub(super) fn beside(&self, record: &EndpointRecord) -> BTreeSet<&EndpointId> {
        let at_address = self.by_address.get(&record.address).into_iter().flatten();
        at_address.chain(self.registered_as(&record.entry)).collect()
    }
}

fn remove_from<K: Ord>(index: &mut BTreeMap<K, BTreeSet<EndpointId>>, key: &K, id: &EndpointId) {
    let Some(ids) = index.get_mut(key) else {
        return;
    };
    ids.remove(id);
    if ids.is_empty() {
        index.remove(key);
    }
}
