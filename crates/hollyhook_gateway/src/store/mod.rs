//! Client of the platform's store: watches the configuration, the endpoints and the roll-out orders, and writes crash
//! records, trial reports, roll-out states, the records of versions and this host's origin snapshot.

use hollyhook_core::FeedPlan;

use crate::gateway::GatewayContext;

mod endpoint_watch;
mod feed_reader;
mod late_reads;
mod list_reading;
mod partial_list;
mod quarantine_writer;
mod rollout_watch;
mod rollout_worker;
mod site_watch;
mod snapshot_recorder;
mod store_client;
mod store_error;
mod version_recorder;

pub(crate) use endpoint_watch::EndpointWatch;
pub(crate) use feed_reader::FeedReader;
pub(crate) use quarantine_writer::QuarantineWriter;
pub(crate) use rollout_watch::RolloutWatch;
pub(crate) use site_watch::SiteWatch;
pub(crate) use snapshot_recorder::{SnapshotRecorder, decode_snapshot};
pub(crate) use store_client::StoreClient;
pub(crate) use store_error::StoreError;
pub(crate) use version_recorder::VersionRecorder;

/// Whether this host reads endpoints and the configuration from the store rather than from another host.
fn is_reader(context: &GatewayContext) -> bool {
    matches!(context.feed.plan(context.timer.now()), FeedPlan::Lead | FeedPlan::Alone)
}
