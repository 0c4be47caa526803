use std::time::Duration;

use super::EngineReport;
use super::engine_cost::READING_COST;
use crate::EngineSpeed;

/// The number of events of a typical generation.
pub(super) const TYPICAL_EVENTS: u32 = 140;

/// The expected time until a generation's first event at an engine, if the prompts ahead of it are as long as its own.
pub fn time_to_first_event(report: &EngineReport, speed: EngineSpeed, prompt_tokens: u64) -> Duration {
    let prompts = f64::from(report.waiting) + READING_COST * f64::from(report.reading) + 1.0;
    speed.read_time((prompts * prompt_tokens as f64) as u64)
}

/// How long after `time_left` a generation at an engine would end; `None` if it would end in time.
///
/// Used to shed load that exceeds the engines' capacity: a request that would wait until its caller times out only
/// takes the place of one that could be served. The latency objective is not considered, since a late answer is better
/// than none.
pub fn excess_wait(
    report: &EngineReport,
    speed: EngineSpeed,
    prompt_tokens: u64,
    time_left: Duration,
) -> Option<Duration> {
    let needed = time_to_first_event(report, speed, prompt_tokens) + run_time(speed);
    needed.checked_sub(time_left).filter(|excess| !excess.is_zero())
}

/// The shortest time from a typical generation's first event to its end.
pub(super) fn run_time(speed: EngineSpeed) -> Duration {
    speed.event_time * TYPICAL_EVENTS
}
