//! Choosing an endpoint from what this host knows.

mod endpoint_record;
mod endpoint_table;

pub use endpoint_record::{EndpointRecord, EndpointState, LoadReport};
pub use endpoint_table::{EndpointTable, RouteQuery};
