use crate::{EndpointRecord, Name, ZoneName};

/// The endpoints of one service in one availability zone. A network fault usually affects a host's path to all of them.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointGroup {
    /// The service of the endpoints.
    pub service: Name,
    /// The zone of the endpoints.
    pub zone: ZoneName,
}

impl From<&EndpointRecord> for EndpointGroup {
    fn from(record: &EndpointRecord) -> Self {
        Self { service: Name::clone(&record.service), zone: ZoneName::clone(&record.zone) }
    }
}
