use std::time::Duration;

use super::EngineCandidate;
use super::engine_cost::RANK_COST;
use super::engine_forecast::EngineForecast;
use super::engine_wait::{excess_wait, run_time};
use crate::{PromptSize, ServicePriorities};

/// Fraction of its latency objective within which a new request of a higher priority must still get its first event.
/// The other half covers prompts that the report does not show yet, which other hosts have sent in the meantime.
const HEADROOM_FRACTION: f64 = 0.5;
/// The same fraction for a request that would lose its own objective or deadline by waiting longer.
const URGENT_HEADROOM_FRACTION: f64 = 0.6;
/// Shortest time after which engines are polled again for a request of the highest priority that waits for capacity.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// How much longer this time is for each priority of the service above that of the request. A report shows a prompt
/// only 100 to 200 ms after it was sent: if hosts poll more often than engines get capacity, several hosts place a
/// prompt by the same report.
const PAUSE_STEP: Duration = Duration::from_secs(1);
/// Longest time after which engines are polled again, as a multiple of the shortest. It is short because the next poll
/// may reach other engines, whose capacity this host does not know.
const MAX_PAUSE_FACTOR: f64 = 1.5;

/// A generation of a service whose requests have different priorities.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Its prompt and its expected output.
    pub size: PromptSize,
    /// Its priority, 0 being the highest.
    pub priority: u8,
    /// Its target time to the first event, from its arrival.
    pub objective: Duration,
    /// The time since its arrival.
    pub waited: Duration,
    /// The time until its deadline.
    pub time_left: Duration,
    /// The priorities of all requests of the service.
    pub priorities: &'a ServicePriorities,
}

/// Why no polled engine has capacity for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CapacityShortage {
    /// The forecast of the engines' memory leaves no room for the request.
    Memory,
    /// The request would get its first event too late.
    Reading,
    /// A request of higher priority would get its first event too late, or find no memory.
    Headroom,
}

impl CapacityShortage {
    /// The shortage as it is logged.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Reading => "reading",
            Self::Headroom => "headroom",
        }
    }
}

/// The decision on where a generation is placed.
#[derive(Debug, Clone, Copy)]
pub enum PlacementVerdict<'a> {
    /// At this engine, which has capacity for the priority of the request.
    Place(&'a EngineCandidate),
    /// At this engine, which keeps less headroom for higher priorities, since waiting would cost the request its
    /// objective or its deadline.
    PlaceUrgent(&'a EngineCandidate),
    /// Nowhere yet: capacity is expected after `pause`.
    Wait {
        /// When to poll engines again.
        pause: Duration,
        /// The capacity that the best polled engine lacks.
        shortage: CapacityShortage,
        /// The best polled engine, for a request that can't wait.
        best: &'a EngineCandidate,
    },
}

/// Places a generation at one of the polled engines, in the order that all hosts share; `None` if no engine reported.
///
/// A generation of lower priority goes only where new requests of each higher priority would still meet their
/// objectives. An engine whose report lacks priorities counts as having headroom.
pub fn place_by_priority<'a>(
    candidates: &'a [EngineCandidate],
    request: &PlacementRequest<'_>,
) -> Option<PlacementVerdict<'a>> {
    let forecasts = candidates.iter().filter_map(|known| EngineForecast::new(known, request.size.prompt_tokens));
    let options: Vec<PlacementOption<'a>> =
        forecasts.enumerate().map(|(rank, forecast)| PlacementOption::new(forecast, request, rank)).collect();
    let best_of = |is_wanted: &dyn Fn(&&PlacementOption<'a>) -> bool| {
        options
            .iter()
            .filter(is_wanted)
            .min_by_key(|option| (option.shortage == Some(CapacityShortage::Memory), option.cost))
    };
    if let Some(option) = best_of(&|option| option.shortage.is_none()) {
        return Some(PlacementVerdict::Place(option.forecast.candidate));
    }
    if let Some(option) = best_of(&|option| option.has_urgent_capacity && request.is_urgent(option)) {
        return Some(PlacementVerdict::PlaceUrgent(option.forecast.candidate));
    }
    let best = best_of(&|_| true)?;
    let size = request.size;
    let shortest = request.shortest_pause();
    let pauses =
        options.iter().map(|option| option.forecast.time_to_capacity(size.prompt_tokens, size.expected_output()));
    let pause = pauses.min().unwrap_or(shortest).clamp(shortest, shortest.mul_f64(MAX_PAUSE_FACTOR));
    let shortage = best.shortage.unwrap_or(CapacityShortage::Headroom);
    Some(PlacementVerdict::Wait { pause, shortage, best: best.forecast.candidate })
}

/// The shortest time after its deadline at which a generation would end at any of the polled engines; `None` if it
/// would end in time at one of them, or if none reported.
///
/// Only the prompts that are admitted before its priority count, unless counting all prompts alike gives a shorter
/// time.
pub fn excess_wait_by_priority(candidates: &[EngineCandidate], request: &PlacementRequest<'_>) -> Option<Duration> {
    let prompt_tokens = request.size.prompt_tokens;
    let excesses = candidates.iter().filter_map(|candidate| {
        let report = candidate.report.as_ref()?;
        let alike = excess_wait(report, candidate.speed, prompt_tokens, request.time_left).unwrap_or_default();
        let forecast = EngineForecast::new(candidate, prompt_tokens)?;
        let needed = forecast.read_time_before_first(request.priority, prompt_tokens) + run_time(candidate.speed);
        Some(alike.min(needed.saturating_sub(request.time_left)))
    });
    excesses.min().filter(|excess| !excess.is_zero())
}

impl PlacementRequest<'_> {
    /// The time left for the first event: until the objective ends, and at most until the latest first event after
    /// which a generation that runs for `run_time` meets its deadline. An objective that is missed already does not
    /// count.
    fn first_event_limit(&self, run_time: Duration) -> Duration {
        let until_end = self.time_left.saturating_sub(run_time);
        match self.objective.checked_sub(self.waited) {
            Some(left) if !left.is_zero() => left.min(until_end),
            _ => until_end,
        }
    }

    /// The shortest time after which engines are polled again.
    fn shortest_pause(&self) -> Duration {
        let higher = self.priorities.above(self.priority).count();
        FIRST_PAUSE + PAUSE_STEP * higher as u32
    }

    /// Whether waiting longer would cost the request its objective, or its deadline if the objective is missed already.
    fn is_urgent(&self, option: &PlacementOption<'_>) -> bool {
        option.first_event + self.shortest_pause()
            >= self.first_event_limit(option.forecast.busy_run_time(self.size.expected_output()))
    }
}

/// An engine that reported, as a place for one request.
#[derive(Debug)]
struct PlacementOption<'a> {
    forecast: EngineForecast<'a>,
    /// The expected time to the request's first event.
    first_event: Duration,
    /// The expected time to the first event, plus the cost of the rank in the order that all hosts share.
    cost: Duration,
    /// What the engine lacks for the priority of the request.
    shortage: Option<CapacityShortage>,
    /// Whether it has capacity for the request if that is urgent.
    has_urgent_capacity: bool,
}

impl<'a> PlacementOption<'a> {
    fn new(forecast: EngineForecast<'a>, request: &PlacementRequest<'_>, rank: usize) -> Self {
        let (prompt_tokens, output_tokens) = (request.size.prompt_tokens, request.size.expected_output());
        let first_event = forecast.first_event(request.priority, prompt_tokens, output_tokens);
        let rank_cost = forecast.candidate.speed.read_time(prompt_tokens).mul_f64(RANK_COST * rank as f64);
        let is_late = first_event > request.first_event_limit(forecast.busy_run_time(output_tokens));
        let is_full = forecast.memory_with(prompt_tokens, output_tokens).excess_tokens() > 0;
        let shortage = if is_full {
            Some(CapacityShortage::Memory)
        } else if is_late {
            Some(CapacityShortage::Reading)
        } else {
            (!has_headroom(&forecast, request)).then_some(CapacityShortage::Headroom)
        };
        // A full engine admits a request of the highest priority first.
        let is_highest = request.priorities.above(request.priority).next().is_none();
        let is_spared = is_highest || (!is_full && has_urgent_headroom(&forecast, request));
        let has_urgent_capacity = !is_late && is_spared;
        Self { forecast, first_event, cost: first_event + rank_cost, shortage, has_urgent_capacity }
    }
}

/// Whether an engine keeps headroom for a new request of each higher priority besides this request.
fn has_headroom(forecast: &EngineForecast<'_>, request: &PlacementRequest<'_>) -> bool {
    if !forecast.has_priorities() {
        return true;
    }
    has_memory(forecast, request) && (forecast.has_read_all() || has_time(forecast, request, HEADROOM_FRACTION))
}

/// Whether an engine keeps the minimum headroom, which even urgent requests must leave.
fn has_urgent_headroom(forecast: &EngineForecast<'_>, request: &PlacementRequest<'_>) -> bool {
    has_memory(forecast, request) && has_time(forecast, request, URGENT_HEADROOM_FRACTION)
}

/// Whether an engine has memory for a new request of each higher priority besides this request.
fn has_memory(forecast: &EngineForecast<'_>, request: &PlacementRequest<'_>) -> bool {
    let higher = request.priorities.above(request.priority).count();
    let (prompt_tokens, output_tokens) = (request.size.prompt_tokens, request.size.expected_output());
    forecast.memory_with_typical(prompt_tokens, output_tokens, higher).excess_tokens() == 0
}

/// Whether a new request of each higher priority, placed behind this request, would get its first event within this
/// fraction of its objective.
fn has_time(forecast: &EngineForecast<'_>, request: &PlacementRequest<'_>, fraction: f64) -> bool {
    let ahead = (request.size.prompt_tokens, request.size.expected_output());
    request
        .priorities
        .above(request.priority)
        .all(|(higher, objective)| forecast.first_event_behind(higher, ahead) <= objective.mul_f64(fraction))
}
