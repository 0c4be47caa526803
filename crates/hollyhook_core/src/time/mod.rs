//! Points in time as the driver counts them.

mod time_point;

pub use time_point::TimePoint;
