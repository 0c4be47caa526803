//! Reading the platform's store and sharing what was read: how long calls may take, who reads, who is told, and what.

mod era_ledger;
mod feed_log;
mod feed_roster;
mod feed_timing;
mod store_contact;
mod store_revision;

pub use era_ledger::{EraLedger, EraVerdict};
pub use feed_log::{FeedChange, FeedLog, FeedNews, most_told};
pub use feed_roster::{FeedPlan, FeedRoster, PassReason, RosterMember};
pub use feed_timing::{FeedTiming, is_stale_help};
pub use store_contact::StoreContact;
pub use store_revision::StoreRevision;
