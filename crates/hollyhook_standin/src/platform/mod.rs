//! Stand-in of the platform's object API, in memory: versions, conditional writes and watches.

mod object_store;
mod platform_stand_in;

pub use platform_stand_in::{PlatformCounts, PlatformOptions, PlatformStandIn};
