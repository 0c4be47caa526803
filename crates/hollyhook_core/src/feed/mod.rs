//! Sharing what hosts read of the platform's store: who reads, who is told, and what is told.

mod feed_log;
mod feed_roster;

pub use feed_log::{FeedChange, FeedLog, FeedNews, is_stale, is_stale_help};
pub use feed_roster::{FeedPlan, FeedRoster, RosterMember};
