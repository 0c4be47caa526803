use std::time::Duration;

use super::room_report::RoomReport;
use super::{EndpointRecord, EndpointTable};
use crate::{Name, TimePoint};

/// How long after a request had to wait for room this host uses only its own slots of brittle endpoints.
const PRESSED_TIME: Duration = Duration::from_secs(1);
/// How long it then relies on reports of room again, whatever waits: a host may have no slots of its own.
const RELIEF_TIME: Duration = Duration::from_millis(250);

/// How an endpoint admits a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SendAdmission {
    Open,
    /// The endpoint may have no room, and the request uses up a trial.
    Trial,
    Refused,
}

/// Admits requests to endpoints, by their terms and their room.
impl EndpointTable {
    /// Counts a request as open at an endpoint if the endpoint accepts one now, and returns whether it does.
    ///
    /// `slots` is how many requests of this size the endpoint can process at a time, if that is not its reported
    /// capacity.
    pub fn try_open(&mut self, now: TimePoint, id: &str, slots: Option<u32>) -> bool {
        let Some(service) = self.get(id).map(|record| Name::clone(&record.service)) else {
            return false;
        };
        self.apply_quota(now, &service);
        self.apply_lease_mode(id);
        match self.admission(now, &self.records[id], slots) {
            SendAdmission::Refused => return false,
            SendAdmission::Trial => self.terms.use_trial(now, id),
            SendAdmission::Open => {}
        }
        let is_open = self.terms.try_send(now, id);
        if is_open {
            self.record_open(now, id);
            self.record_usage(now, id, &service);
        }
        is_open
    }

    /// Whether an endpoint's terms admit a request of this host now.
    pub(super) fn admits(&self, now: TimePoint, record: &EndpointRecord, slots: Option<u32>) -> bool {
        self.admission(now, record, slots) != SendAdmission::Refused
    }

    /// How an endpoint's terms admit a request of this host now.
    ///
    /// An endpoint that fails if it has to reject too many requests gets only those for which it has room, and a few
    /// trials.
    fn admission(&self, now: TimePoint, record: &EndpointRecord, slots: Option<u32>) -> SendAdmission {
        if !self.terms.is_open(now, &record.id) {
            return SendAdmission::Refused;
        }
        if !self.terms.is_brittle(&record.id) || self.has_room(now, record, slots) {
            return SendAdmission::Open;
        }
        let may_try = !self.is_slot_leased(record) && self.terms.has_trial(now, &record.id);
        if may_try { SendAdmission::Trial } else { SendAdmission::Refused }
    }

    /// Whether an endpoint has room for a request, whatever the other hosts send at the same time.
    fn has_room(&self, now: TimePoint, record: &EndpointRecord, slots: Option<u32>) -> bool {
        let capacity = slots.unwrap_or(record.load.capacity).max(1);
        if self.is_slot_leased(record) {
            let is_late = self.leases.is_slot_answer_late(now, &record.service, &record.id);
            let is_leased = record.open < self.leases.slots(now, &record.service, &record.id);
            return is_leased || (is_late && record.room.is_some_and(|room| room.is_ample(now, capacity)));
        }
        let is_pressed = self.pressed.get(&record.service).is_some_and(|at| now.since(*at) < PRESSED_TIME);
        let is_ample = || record.room.is_some_and(|room| room.is_ample(now, capacity));
        (!is_pressed && is_ample()) || record.open < self.slots_of(now, record, capacity)
    }

    /// How many of an endpoint's slots this host may use, where slots are divided among hosts.
    pub fn held_slots(&self, now: TimePoint, id: &str) -> u32 {
        self.get(id).map_or(0, |record| self.slots_of(now, record, record.load.capacity))
    }

    /// Records that a request has to wait for room at the brittle endpoints of a service; returns whether it has any.
    ///
    /// Then most likely other hosts have requests waiting too. If all sent them to the first endpoint that seems to have
    /// room, it would reject most of them.
    pub fn record_pressure(&mut self, now: TimePoint, service: &str) -> bool {
        let is_brittle = self.rings.of_service(service).any(|id| self.terms.is_brittle(id));
        let is_over = |at: &TimePoint| now.since(*at) >= PRESSED_TIME + RELIEF_TIME;
        if is_brittle && self.pressed.get(service).is_none_or(is_over) {
            self.pressed.insert(service.into(), now);
        }
        is_brittle
    }

    /// Stores which share of an endpoint is free, from 0 to 1, as it has just reported.
    pub fn update_room(&mut self, now: TimePoint, id: &str, free_share: f64) {
        if let Some(record) = self.records.get_mut(id) {
            record.room = Some(RoomReport::new(now, free_share));
        }
    }
}
