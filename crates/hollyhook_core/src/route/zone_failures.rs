use std::collections::VecDeque;
use std::time::Duration;

use crate::{EndpointId, TimePoint};

/// Failures that are further apart are not attributed to the zone.
const FAILURE_WINDOW: Duration = Duration::from_secs(1);
/// Number of endpoints that must fail within the window for the zone to be suspect; a single failure is attributed to
/// the endpoint.
const SUSPECT_ENDPOINTS: usize = 2;
/// How long the zone stays suspect after the last failure; a little longer than engines take to restart.
const SUSPECT_TIME: Duration = Duration::from_millis(1_500);

/// The recent endpoint failures in one zone.
#[derive(Debug, Default)]
pub(super) struct ZoneFailures {
    failures: VecDeque<ZoneFailure>,
}

#[derive(Debug)]
struct ZoneFailure {
    at: TimePoint,
    endpoint: EndpointId,
}

impl ZoneFailures {
    pub(super) fn add(&mut self, now: TimePoint, endpoint: &EndpointId) {
        while self.failures.front().is_some_and(|failure| now.since(failure.at) > FAILURE_WINDOW) {
            self.failures.pop_front();
        }
        self.failures.retain(|failure| failure.endpoint != *endpoint);
        self.failures.push_back(ZoneFailure { at: now, endpoint: EndpointId::clone(endpoint) });
    }

    /// Whether the zone as a whole has probably failed.
    pub(super) fn is_suspect(&self, now: TimePoint) -> bool {
        let is_recent = self.failures.back().is_some_and(|failure| now.since(failure.at) < SUSPECT_TIME);
        is_recent && self.failures.len() >= SUSPECT_ENDPOINTS
    }
}
