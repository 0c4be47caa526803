//! Points in time, as the driver supplies them, and the serialization of durations.

pub(crate) mod span_millis;
mod time_point;

pub use time_point::TimePoint;
