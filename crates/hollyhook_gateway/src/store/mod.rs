//! What the platform's store holds: the configuration and the endpoints, followed by watches.

mod endpoint_watch;
mod feed_reader;
mod quarantine_writer;
mod site_watch;
mod store_client;

pub(crate) use endpoint_watch::EndpointWatch;
pub(crate) use feed_reader::FeedReader;
pub(crate) use quarantine_writer::QuarantineWriter;
pub(crate) use site_watch::SiteWatch;
pub(crate) use store_client::{StoreClient, StoreError};
