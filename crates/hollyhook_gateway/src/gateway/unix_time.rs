use std::time::{SystemTime, UNIX_EPOCH};

/// The time of day in milliseconds since the Unix epoch, for times that hosts share.
///
/// Clocks of hosts differ a little, and may jump: no decision may depend on a difference of less than seconds.
pub(super) fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
