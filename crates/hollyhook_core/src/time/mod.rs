//! Points in time, as the driver supplies them, smoothed durations, and the serialization of durations.

mod smoothed_duration;
pub(crate) mod span_millis;
mod time_point;

pub(crate) use smoothed_duration::SmoothedDuration;
pub use time_point::TimePoint;
