//! Points in time as the driver counts them.

pub(crate) mod span_millis;
mod time_point;

pub use time_point::TimePoint;
