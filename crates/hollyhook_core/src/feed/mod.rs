//! Reading the platform's store and sharing what was read: how long calls may take, who reads, who is told, and what.

mod era_tracker;
mod feed_log;
mod feed_topology;
mod feed_timing;
mod store_contact;
mod store_revision;

pub use era_tracker::{EraTracker, EraVerdict};
pub use feed_log::{FeedChange, FeedLog, FeedUpdate, snapshot_limit};
pub use feed_topology::{FeedPlan, FeedTopology, SkipReason, HostRecord};
pub use feed_timing::{FeedTiming, is_helper_stale};
pub use store_contact::StoreContact;
pub use store_revision::StoreRevision;
