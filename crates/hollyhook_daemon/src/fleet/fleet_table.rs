use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use hollyhook_core::{EndpointId, EndpointRecord, EndpointTable, Name, Patience, RelayPolicy, ZoneName};
use hollyhook_settings::{ServiceKind, SiteSettings};

/// The endpoint table behind a lock that is only held for one step.
#[derive(Debug)]
pub(crate) struct FleetTable {
    table: Mutex<EndpointTable>,
}

impl FleetTable {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "endpoints";

    pub(crate) fn new(zone: ZoneName, site: &SiteSettings) -> Self {
        let mut table = EndpointTable::new(zone);
        for endpoint in &site.endpoints {
            let mut record = EndpointRecord::new(
                EndpointId::clone(&endpoint.id),
                Name::clone(&endpoint.service),
                ZoneName::clone(&endpoint.zone),
                endpoint.address,
            );
            let service = site.services.iter().find(|service| service.name == endpoint.service);
            if let Some(ServiceKind::Generation(generation)) = service.map(|service| &service.kind) {
                record = record.binding(generation.binding.clone());
            }
            table.upsert(record);
        }
        Self { table: Mutex::new(table) }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, EndpointTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn address(&self, id: &str) -> Option<SocketAddr> {
        self.lock().get(id).map(|record| record.address)
    }

    pub(crate) fn patience(&self, id: Option<&EndpointId>, policy: &RelayPolicy) -> Patience {
        let table = self.lock();
        let record = id.and_then(|id| table.get(id));
        record.map_or_else(
            || hollyhook_core::EndpointRhythm::default().patience(policy),
            |record| record.rhythm.patience(policy),
        )
    }
}
