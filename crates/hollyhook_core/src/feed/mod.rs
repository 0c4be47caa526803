//! Reading the platform's store and sharing its contents among hosts: call timeouts, which hosts read the store, which
//! hosts they update, and the updates themselves.

mod era_tracker;
mod feed_log;
mod feed_timing;
mod feed_topology;
mod store_contact;
mod store_latency;
mod store_revision;

pub use era_tracker::{EraTracker, EraVerdict};
pub use feed_log::{FeedChange, FeedLog, FeedUpdate, snapshot_limit};
pub use feed_timing::{FeedTiming, is_helper_stale};
pub use feed_topology::{FeedPlan, FeedTopology, HostRecord, SkipReason};
pub use store_contact::StoreContact;
pub use store_latency::StoreLatency;
pub use store_revision::StoreRevision;
