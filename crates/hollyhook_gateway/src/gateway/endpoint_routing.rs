use std::time::Duration;

use hollyhook_core::{EndpointRecord, HolderLimits, RouteQuery, StopReason};

use super::EndpointDirectory;

/// Why no endpoint accepts a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RoutingFailure {
    pub(crate) reason: StopReason,
    /// How long this is expected to last; zero if not known.
    pub(crate) pause: Duration,
    /// Whether the request waits for room at endpoints that must not have to reject it.
    pub(crate) awaits_room: bool,
}

/// Chooses endpoints for requests.
impl EndpointDirectory {
    /// Chooses an endpoint without probing any, and counts a request as open there; `None` if no endpoint accepts it.
    pub(crate) fn open_any(&self, query: &RouteQuery<'_>) -> Option<EndpointRecord> {
        let now = self.timer.now();
        let mut table = self.table();
        let id = table.choose(now, query, &mut rand::rng())?;
        let record = table.get(&id).cloned()?;
        table.try_open(now, &id, query.slot_count()).then_some(record)
    }

    /// Counts a request as open at an endpoint if the endpoint accepts one now, and returns whether it does.
    pub(crate) fn try_open(&self, id: &str, slots: Option<u32>) -> bool {
        self.table().try_open(self.timer.now(), id, slots)
    }

    /// Why no endpoint accepts a request.
    ///
    /// The reason is `Throttled` if all endpoints for the request are paused or have reached their rate limit.
    pub(crate) fn routing_failure(&self, query: &RouteQuery<'_>) -> RoutingFailure {
        let now = self.timer.now();
        let mut table = self.table();
        match table.shortest_pause(now, query) {
            Some(pause) => {
                self.recorder.count("requests_held_back");
                let awaits_room = table.record_pressure(now, query.service_name());
                if pause.is_zero() {
                    self.recorder.count("requests_held_back_by_share");
                    table.record_shortage(now, query.service_name(), awaits_room);
                }
                let awaits_room = awaits_room || table.awaits_lease(now, query.service_name());
                RoutingFailure { reason: StopReason::Throttled, pause, awaits_room }
            }
            None => RoutingFailure { reason: StopReason::NoEndpoint, pause: Duration::ZERO, awaits_room: false },
        }
    }

    /// Up to `limit` endpoints worth probing for their load, in the rendezvous order that all hosts share for `key`.
    pub(crate) fn shortlist(&self, query: &RouteQuery<'_>, key: u64, limit: usize) -> Vec<EndpointRecord> {
        self.table().shortlist(self.timer.now(), query, key, limit)
    }

    /// The endpoints that may hold the prompt with this rendezvous key.
    pub(crate) fn likely_holders(&self, query: &RouteQuery<'_>, key: u64, limits: HolderLimits) -> Vec<EndpointRecord> {
        self.table().likely_holders(self.timer.now(), query, key, limits)
    }
}
