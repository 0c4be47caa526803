use std::net::SocketAddr;

use hollyhook_core::{EndpointId, Name, ZoneName};

use crate::file::SectionReader;
use crate::value;

/// An endpoint of a site.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSettings {
    /// Its name.
    pub id: EndpointId,
    /// The name of its service.
    pub service: Name,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The address on which it listens.
    pub address: SocketAddr,
}

impl EndpointSettings {
    pub(super) fn read(mut reader: SectionReader<'_>, services: &[Name], zones: &[ZoneName]) -> Option<Self> {
        let id = reader.name();
        let service = reader.required("service", value::name);
        let zone = reader.required("zone", value::name);
        let address = reader.required("address", value::address);
        if let Some(service) = service.as_ref().filter(|service| !services.contains(service)) {
            let hint = format!("the base has the services {}", services.join(", "));
            reader.report("service", &format!("there is no service `{service}`"), &hint);
        }
        if let Some(zone) = zone.as_ref().filter(|zone| !zones.contains(zone)) {
            let hint = format!("the site has the zones {}", zones.join(", "));
            reader.report("zone", &format!("there is no availability zone `{zone}`"), &hint);
        }
        reader.finish();
        Some(Self { id, service: service?, zone: zone?, address: address? })
    }
}
