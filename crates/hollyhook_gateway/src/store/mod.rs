//! What the platform's store holds: the configuration, the endpoints and orders of roll-outs, followed by watches.

use hollyhook_core::FeedPlan;

use crate::gateway::GatewayContext;

mod endpoint_watch;
mod feed_reader;
mod list_reading;
mod page_list;
mod quarantine_writer;
mod rollout_watch;
mod rollout_worker;
mod site_watch;
mod store_client;

pub(crate) use endpoint_watch::EndpointWatch;
pub(crate) use feed_reader::FeedReader;
pub(crate) use quarantine_writer::QuarantineWriter;
pub(crate) use rollout_watch::RolloutWatch;
pub(crate) use site_watch::SiteWatch;
pub(crate) use store_client::{StoreClient, StoreError};

/// Whether this host reads the store itself, for others or for itself alone.
fn is_reader(context: &GatewayContext) -> bool {
    matches!(context.feed.plan(context.timer.now()), FeedPlan::Lead | FeedPlan::Alone)
}
