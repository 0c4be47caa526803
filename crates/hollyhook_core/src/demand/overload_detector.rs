use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::{Name, TimePoint};

/// How long a rejection or a load report counts as evidence of overload.
const EVIDENCE_TIME: Duration = Duration::from_secs(1);

/// Decides from rejections and load reports which services are overloaded.
///
/// A service is overloaded if an endpoint rejected a request within the last second, or if all load reports of the last
/// second show waiting requests.
///
/// ```
/// use hollyhook_core::{OverloadDetector, TimePoint};
///
/// let (mut detector, now) = (OverloadDetector::default(), TimePoint::from_millis(5_000));
/// detector.record_load(now, &"model".into(), 3);
/// assert!(detector.is_overloaded(now, "model"));
/// detector.record_load(now, &"model".into(), 0);
/// assert!(!detector.is_overloaded(now, "model"));
/// detector.record_rejection(now, &"model".into());
/// assert!(detector.is_overloaded(now, "model"));
/// ```
#[derive(Debug, Default)]
pub struct OverloadDetector {
    services: BTreeMap<Name, LoadEvidence>,
}

#[derive(Debug, Default)]
struct LoadEvidence {
    /// When an endpoint last rejected a request.
    rejection: Option<TimePoint>,
    /// When a load report last showed requests that wait.
    queue: Option<TimePoint>,
    /// When a load report last showed none.
    no_queue: Option<TimePoint>,
}

impl OverloadDetector {
    /// Records that an endpoint of a service rejected a request.
    pub fn record_rejection(&mut self, now: TimePoint, service: &Name) {
        self.evidence(service).rejection = Some(now);
    }

    /// Records how many requests wait at an endpoint of a service.
    pub fn record_load(&mut self, now: TimePoint, service: &Name, waiting: u32) {
        let evidence = self.evidence(service);
        let reported_at = if waiting > 0 { &mut evidence.queue } else { &mut evidence.no_queue };
        *reported_at = Some(now);
    }

    /// Whether a service is overloaded.
    pub fn is_overloaded(&self, now: TimePoint, service: &str) -> bool {
        self.services.get(service).is_some_and(|evidence| evidence.shows_overload(now))
    }

    /// The overloaded services.
    pub fn overloaded(&self, now: TimePoint) -> BTreeSet<Name> {
        let overloaded = self.services.iter().filter(|(_, evidence)| evidence.shows_overload(now));
        overloaded.map(|(service, _)| Name::clone(service)).collect()
    }

    fn evidence(&mut self, service: &Name) -> &mut LoadEvidence {
        self.services.entry(Name::clone(service)).or_default()
    }
}

impl LoadEvidence {
    fn shows_overload(&self, now: TimePoint) -> bool {
        let is_recent = |at: Option<TimePoint>| at.is_some_and(|at| now.since(at) <= EVIDENCE_TIME);
        is_recent(self.rejection) || is_recent(self.queue) && !is_recent(self.no_queue)
    }
}
