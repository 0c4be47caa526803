use std::collections::BTreeMap;
use std::time::Duration;

use super::TrialEvidence;
use crate::{EndpointId, Name, TimePoint, ZoneName};

/// Attempts that end within this time at endpoints of one availability zone are compared with each other.
const WINDOW: Duration = Duration::from_secs(1);
/// How long a window waits for its endpoints to be heard again; a host may send some of them only a request in seconds.
const MAX_WAIT: Duration = Duration::from_secs(6);
/// How long after a loss an endpoint must be heard to count as alive: answers that were on their way may arrive after
/// the connections of an ended process have broken.
const MIN_SURVIVAL: Duration = Duration::from_millis(200);

/// The end of an attempt at an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct AttemptEnd<'a> {
    /// The endpoint.
    pub endpoint: &'a EndpointId,
    /// The availability zone of the endpoint.
    pub zone: &'a ZoneName,
    /// The route of the request.
    pub route: &'a Name,
    /// Whether the endpoint runs the target version of the roll-out.
    pub is_target: bool,
    /// Whether the attempt ended without a complete answer.
    pub is_lost: bool,
}

/// Compares the attempts that one host lost at endpoints of a roll-out's target and of the other versions.
///
/// A lost answer may be the fault of the version, of the path or of an endpoint that has ended. Paths fail for whole
/// availability zones, so attempts are compared only with others that ended at the same moment in the same zone, and not
/// at all if most of those of the other versions are lost too. Losses at an endpoint that is not heard again are left
/// out: its process has ended.
///
/// ```
/// use hollyhook_core::{AttemptEnd, LossMatcher, TimePoint, TrialEvidence};
///
/// let mut matcher = LossMatcher::default();
/// let (zone, route) = ("zone-a".into(), "book".into());
/// for (endpoint, is_target) in [("i-old".into(), false), ("i-new".into(), true)] {
///     let end = AttemptEnd { endpoint: &endpoint, zone: &zone, route: &route, is_target, is_lost: is_target };
///     matcher.record(TimePoint::from_millis(100), &end);
/// }
/// let mut evidence = TrialEvidence::default();
/// let heard_at = TimePoint::from_millis(900);
/// matcher.evaluate(TimePoint::from_millis(5_000), &mut evidence, |_endpoint| Some(heard_at));
/// assert_eq!(evidence.target_mut(&route, &"i-new".into()).lost, 1);
/// assert_eq!(evidence.others_mut(&route).compared, 1);
/// ```
#[derive(Debug, Clone, Default)]
pub struct LossMatcher {
    /// The windows that have not been evaluated, by their number and availability zone.
    windows: BTreeMap<(u64, ZoneName), LossWindow>,
}

/// The attempts that ended in one availability zone within one window, by endpoint.
#[derive(Debug, Clone, Default)]
struct LossWindow {
    endpoints: BTreeMap<EndpointId, EndpointLosses>,
}

/// The attempts that ended at one endpoint within one window.
#[derive(Debug, Clone, Default)]
struct EndpointLosses {
    is_target: bool,
    last_lost: Option<TimePoint>,
    routes: BTreeMap<Name, LossCount>,
}

#[derive(Debug, Clone, Copy, Default)]
struct LossCount {
    attempts: u32,
    lost: u32,
}

impl LossMatcher {
    /// Counts an attempt that ended now.
    pub fn record(&mut self, now: TimePoint, end: &AttemptEnd<'_>) {
        let window = self.windows.entry((window_number(now), ZoneName::clone(end.zone))).or_default();
        let losses = window.endpoints.entry(EndpointId::clone(end.endpoint)).or_default();
        losses.is_target = end.is_target;
        if end.is_lost {
            losses.last_lost = Some(now);
        }
        let count = losses.routes.entry(Name::clone(end.route)).or_default();
        count.attempts += 1;
        count.lost += u32::from(end.is_lost);
    }

    /// Adds the windows that are due to the evidence; `last_heard` returns when an endpoint was last heard.
    pub fn evaluate(
        &mut self,
        now: TimePoint,
        evidence: &mut TrialEvidence,
        last_heard: impl Fn(&EndpointId) -> Option<TimePoint>,
    ) {
        let (current, oldest) = (window_number(now), window_number(now - MAX_WAIT));
        self.windows.retain(|(number, _), window| {
            let is_over = *number < current;
            let is_due = is_over && (*number < oldest || window.has_survived(&last_heard));
            if is_due {
                window.endpoints.retain(|id, losses| losses.lives_on(last_heard(id)));
                window.add_to(evidence);
            }
            !is_due
        });
    }
}

impl LossWindow {
    /// Whether all endpoints with losses have been heard again.
    fn has_survived(&self, last_heard: &impl Fn(&EndpointId) -> Option<TimePoint>) -> bool {
        self.endpoints.iter().all(|(id, losses)| losses.lives_on(last_heard(id)))
    }

    fn add_to(&self, evidence: &mut TrialEvidence) {
        let others = self.others();
        // Without other attempts there is nothing to compare with; if most of them are lost, the path is at fault.
        if others.attempts == 0 || 2 * others.lost >= others.attempts {
            return;
        }
        for (id, losses) in &self.endpoints {
            for (route, count) in &losses.routes {
                let tally = if losses.is_target { evidence.target_mut(route, id) } else { evidence.others_mut(route) };
                tally.compared += count.attempts;
                tally.lost += count.lost;
            }
        }
    }

    fn others(&self) -> LossCount {
        let mut total = LossCount::default();
        for losses in self.endpoints.values().filter(|losses| !losses.is_target) {
            for count in losses.routes.values() {
                total.attempts += count.attempts;
                total.lost += count.lost;
            }
        }
        total
    }
}

impl EndpointLosses {
    /// Whether the endpoint has lost nothing, or was heard afterwards.
    fn lives_on(&self, last_heard: Option<TimePoint>) -> bool {
        self.last_lost.is_none_or(|lost| last_heard.is_some_and(|heard| heard.since(lost) >= MIN_SURVIVAL))
    }
}

fn window_number(at: TimePoint) -> u64 {
    at.as_micros() / WINDOW.as_micros() as u64
}
