use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::EndpointRecord;
use crate::{EndpointId, Name};

/// Finds endpoints by the name of their registration entry and by their address.
///
/// Each registration that is read is compared with those of the same entry or address. Comparing it with all records
/// would take time quadratic in their number: seconds on small hosts for a first list of thousands.
#[derive(Debug, Default)]
pub(super) struct RegistrationIndex {
    by_address: BTreeSet<(SocketAddr, EndpointId)>,
    by_entry: BTreeSet<(Name, EndpointId)>,
}

impl RegistrationIndex {
    pub(super) fn add(&mut self, record: &EndpointRecord) {
        self.by_address.insert((record.address, EndpointId::clone(&record.id)));
        self.by_entry.insert((Name::clone(&record.entry), EndpointId::clone(&record.id)));
    }

    pub(super) fn remove(&mut self, record: &EndpointRecord) {
        self.by_address.remove(&(record.address, EndpointId::clone(&record.id)));
        self.by_entry.remove(&(Name::clone(&record.entry), EndpointId::clone(&record.id)));
    }

    /// The endpoints that registered under the entry name `entry`.
    pub(super) fn registered_as(&self, entry: &str) -> impl Iterator<Item = &EndpointId> + use<'_> {
        let entry = Name::from(entry);
        let from = (Name::clone(&entry), EndpointId::default());
        let listed = self.by_entry.range(from..).take_while(move |(known, _)| *known == entry);
        listed.map(|(_, id)| id)
    }

    /// The endpoints at the address of a record or registered under its entry name, ordered by identifier.
    pub(super) fn same_entry_or_address(&self, record: &EndpointRecord) -> BTreeSet<&EndpointId> {
        let address = record.address;
        let listed = self.by_address.range((address, EndpointId::default())..);
        let at_address = listed.take_while(|(known, _)| *known == address);
        at_address.map(|(_, id)| id).chain(self.registered_as(&record.entry)).collect()
    }
}
