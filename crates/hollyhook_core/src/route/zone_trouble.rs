use std::collections::VecDeque;
use std::time::Duration;

use crate::{EndpointId, TimePoint};

/// Failures that lie further apart are not put down to the zone.
const WINDOW: Duration = Duration::from_secs(1);
/// Endpoints that must fail within the window before the zone is suspected: one alone is its own fault.
const SUSPECT_ENDPOINTS: usize = 2;
/// How long after the last failure the zone stays suspected: a little longer than engines take to start again.
const SUSPICION: Duration = Duration::from_millis(1_500);

/// The endpoints of one zone that failed lately.
#[derive(Debug, Default)]
pub(super) struct ZoneTrouble {
    failures: VecDeque<ZoneFailure>,
}

#[derive(Debug)]
struct ZoneFailure {
    at: TimePoint,
    endpoint: EndpointId,
}

impl ZoneTrouble {
    pub(super) fn add(&mut self, now: TimePoint, endpoint: &EndpointId) {
        while self.failures.front().is_some_and(|failure| now.since(failure.at) > WINDOW) {
            self.failures.pop_front();
        }
        self.failures.retain(|failure| failure.endpoint != *endpoint);
        self.failures.push_back(ZoneFailure { at: now, endpoint: EndpointId::clone(endpoint) });
    }

    /// Whether the zone as a whole is probably failing.
    pub(super) fn is_suspect(&self, now: TimePoint) -> bool {
        let is_recent = self.failures.back().is_some_and(|failure| now.since(failure.at) < SUSPICION);
        is_recent && self.failures.len() >= SUSPECT_ENDPOINTS
    }
}
