use std::time::{SystemTime, UNIX_EPOCH};

/// The time of day in milliseconds, for what hosts tell each other. Their clocks differ a little, and may jump: no decision may
/// rest on less than seconds of it.
pub(super) fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
