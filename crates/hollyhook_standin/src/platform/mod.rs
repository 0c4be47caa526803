//! The platform's object API: versions, conditional updates and watches, in memory.

mod object_store;
mod platform_stand_in;

pub use platform_stand_in::{PlatformCounts, PlatformOptions, PlatformStandIn};
