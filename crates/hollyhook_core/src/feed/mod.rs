//! Reading the platform's store and sharing what was read: how long calls may take, who reads, who is told, and what.

mod feed_log;
mod feed_roster;
mod store_contact;

pub use feed_log::{FeedChange, FeedLog, FeedNews, is_stale, is_stale_help};
pub use feed_roster::{FeedPlan, FeedRoster, RosterMember};
pub use store_contact::StoreContact;
