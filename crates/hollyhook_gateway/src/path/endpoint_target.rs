use std::net::SocketAddr;

use hollyhook_core::{EndpointGroup, EndpointId, EndpointRecord, Name};

/// Address and identity of the endpoint that an attempt is sent to.
#[derive(Debug, Clone)]
pub(crate) struct EndpointTarget {
    pub(crate) id: EndpointId,
    /// Name that the endpoint registers under; a response that names another endpoint is not from this one.
    pub(crate) entry: Name,
    pub(crate) address: SocketAddr,
    /// The endpoints to which this host's network path is the same.
    pub(crate) group: EndpointGroup,
    pub(crate) version: Name,
}

impl From<&EndpointRecord> for EndpointTarget {
    fn from(record: &EndpointRecord) -> Self {
        Self {
            id: EndpointId::clone(&record.id),
            entry: Name::clone(&record.entry),
            address: record.address,
            group: EndpointGroup::from(record),
            version: Name::clone(&record.version),
        }
    }
}
