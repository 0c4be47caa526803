use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::EndpointRecord;
use crate::{EndpointId, Name};

/// Which endpoints registered under a name, and at an address.
///
/// Each registration that is read is compared with the others of its place. To look at all records for each
/// would take the square of their number, seconds on small hosts for a first list of thousands.
#[derive(Debug, Default)]
pub(super) struct PlaceIndex {
    by_address: BTreeSet<(SocketAddr, EndpointId)>,
    by_entry: BTreeSet<(Name, EndpointId)>,
}

impl PlaceIndex {
    pub(super) fn add(&mut self, record: &EndpointRecord) {
        self.by_address.insert((record.address, EndpointId::clone(&record.id)));
        self.by_entry.insert((Name::clone(&record.entry), EndpointId::clone(&record.id)));
    }

    pub(super) fn remove(&mut self, record: &EndpointRecord) {
        self.by_address.remove(&(record.address, EndpointId::clone(&record.id)));
        self.by_entry.remove(&(Name::clone(&record.entry), EndpointId::clone(&record.id)));
    }

    /// Those that registered under a name.
    pub(super) fn registered_as(&self, entry: &str) -> impl Iterator<Item = &EndpointId> + use<'_> {
        let entry = Name::from(entry);
        let from = (Name::clone(&entry), EndpointId::default());
        let listed = self.by_entry.range(from..).take_while(move |(known, _)| *known == entry);
        listed.map(|(_, id)| id)
    }

    /// Those at the address of a record, or registered under its name, in the order of their names.
    pub(super) fn beside(&self, record: &EndpointRecord) -> BTreeSet<&EndpointId> {
        let address = record.address;
        let listed = self.by_address.range((address, EndpointId::default())..);
        let at_address = listed.take_while(|(known, _)| *known == address);
        at_address.map(|(_, id)| id).chain(self.registered_as(&record.entry)).collect()
    }
}
