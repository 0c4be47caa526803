use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use hollyhook_core::{
    EndpointId, EndpointRecord, EndpointSubset, EndpointTable, Name, RelayPolicy, StreamTimeouts, ZoneName,
};
use hollyhook_settings::{EndpointSettings, ServiceKind, ServiceSettings, SiteSettings};

/// The endpoint table behind a lock that is never held across an await.
#[derive(Debug)]
pub(crate) struct FleetTable {
    table: Mutex<EndpointTable>,
}

impl FleetTable {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "endpoints";

    /// Creates a table of the endpoints in the host's subset of each service.
    pub(crate) fn new(host: &str, zone: &ZoneName, site: &SiteSettings) -> Self {
        let mut table = EndpointTable::new(ZoneName::clone(zone));
        for service in &site.services {
            let of_service = || site.endpoints.iter().filter(|endpoint| endpoint.service == service.name);
            let fleet = of_service().map(|endpoint| (EndpointId::clone(&endpoint.id), ZoneName::clone(&endpoint.zone)));
            let subset: BTreeSet<EndpointId> = EndpointSubset::new(host, zone).choose(fleet).into_iter().collect();
            for endpoint in of_service().filter(|endpoint| subset.contains(&endpoint.id)) {
                table.upsert(endpoint_record(endpoint, service));
            }
        }
        Self { table: Mutex::new(table) }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, EndpointTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn address(&self, id: &str) -> Option<SocketAddr> {
        self.lock().get(id).map(|record| record.address)
    }

    /// The current timeouts for silent streams of an endpoint; defaults if the endpoint is `None` or unknown.
    pub(crate) fn stream_timeouts(&self, id: Option<&EndpointId>, policy: &RelayPolicy) -> StreamTimeouts {
        let table = self.lock();
        let record = id.and_then(|id| table.get(id));
        record.map_or_else(
            || hollyhook_core::LatencyEstimator::default().timeouts(policy),
            |record| record.latency_estimator.timeouts(policy),
        )
    }
}

fn endpoint_record(endpoint: &EndpointSettings, service: &ServiceSettings) -> EndpointRecord {
    let id = EndpointId::clone(&endpoint.id);
    let record = EndpointRecord::new(id, Name::clone(&service.name), ZoneName::clone(&endpoint.zone), endpoint.address);
    match &service.kind {
        ServiceKind::Generation(generation) => record.binding(generation.binding.clone()),
        ServiceKind::Plain(_) => record,
    }
}
