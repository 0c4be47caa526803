//! Checks whether endpoints have crashed, and crash records that hosts send each other directly while the platform's
//! store does not take them.

mod crash_checks;
mod crash_message;
mod crash_server;
mod crash_spreader;

pub(crate) use crash_checks::CrashChecks;
pub(crate) use crash_server::{answer_crash_request, is_crash_request};
pub(crate) use crash_spreader::{CrashSpreader, SpreadQueue};
