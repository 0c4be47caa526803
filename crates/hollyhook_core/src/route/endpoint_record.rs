use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::MAX_REPORT_AGE;
use super::failure_record::FailureRecord;
use crate::{EndpointId, EndpointRhythm, ModelBinding, Name, StoreRevision, TimePoint, ZoneName};

/// Whether an endpoint gets new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// It gets work.
    Live,
    /// It finishes what it has and gets nothing new.
    Leaving,
}

/// What an endpoint last said of its load, some time ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests being decoded.
    pub running: u32,
    /// Requests waiting for a place in the batch.
    pub waiting: u32,
    /// Places in the batch.
    pub capacity: u32,
}

/// One endpoint as this host knows it.
#[derive(Debug, Clone)]
pub struct EndpointRecord {
    /// Its name; another one at each start, so that nothing learnt of an earlier start is used for a later one.
    pub id: EndpointId,
    /// The name that it registers under, and answers to; the same at each start where the platform lets it be.
    pub entry: Name,
    /// The Unix millisecond of its start; none if it does not say.
    pub started: Option<u64>,
    /// Its service.
    pub service: Name,
    /// The version of its software; empty if it does not say.
    pub version: Name,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Orders registrations: of two with one address, the later one is there.
    pub registered: StoreRevision,
    /// The weights that it serves; none for a plain service.
    pub binding: Option<ModelBinding>,
    /// Whether it gets new work.
    pub state: EndpointState,
    /// Its last load report and when it arrived.
    pub load: LoadReport,
    /// Requests that this host has open there.
    pub open: u32,
    /// Requests that this host opened there since the last load report.
    pub sent_since_report: u32,
    /// Requests that this host sent there within the last [`MAX_REPORT_AGE`](super::MAX_REPORT_AGE), as of when it was chosen.
    pub sent_lately: u32,
    /// Its usual gaps, over all streams of this host.
    pub rhythm: EndpointRhythm,
    /// The failures of its own among its answers.
    pub(super) errors: FailureRecord,
    pub(super) sends: VecDeque<TimePoint>,
    pub(super) failures: u32,
    pub(super) ejected_until: TimePoint,
}

impl EndpointRecord {
    const FIRST_EJECTION: Duration = Duration::from_millis(500);
    const MAX_EJECTION_DOUBLINGS: u32 = 5;

    /// A live endpoint of which nothing more is known yet.
    pub fn new(id: EndpointId, service: Name, zone: ZoneName, address: SocketAddr) -> Self {
        Self {
            entry: Name::clone(&id),
            id,
            started: None,
            service,
            version: Name::default(),
            zone,
            address,
            registered: StoreRevision::default(),
            binding: None,
            state: EndpointState::Live,
            load: LoadReport::default(),
            open: 0,
            sent_since_report: 0,
            sent_lately: 0,
            sends: VecDeque::new(),
            rhythm: EndpointRhythm::default(),
            errors: FailureRecord::default(),
            failures: 0,
            ejected_until: TimePoint::ZERO,
        }
    }

    /// The same endpoint with the weights that it serves.
    #[must_use]
    pub fn binding(mut self, binding: ModelBinding) -> Self {
        self.binding = Some(binding);
        self
    }

    /// The same endpoint with the version of its software.
    #[must_use]
    pub fn version(mut self, version: Name) -> Self {
        self.version = version;
        self
    }

    /// The same endpoint with room for that many typical requests at a time.
    #[must_use]
    pub fn capacity(mut self, places: u32) -> Self {
        self.load.capacity = places;
        self
    }

    /// The same endpoint as one start of what registers as `entry`.
    #[must_use]
    pub fn incarnation_of(mut self, entry: Name, started: Option<u64>) -> Self {
        self.entry = entry;
        self.started = started;
        self
    }

    /// Whether the other is what stood here before this one: the same name or address, registered or started earlier.
    pub(super) fn follows(&self, other: &Self) -> bool {
        let is_same_place = self.address == other.address || self.entry == other.entry;
        let is_later = (other.registered, other.started) < (self.registered, self.started);
        self.id != other.id && is_same_place && is_later
    }

    /// The load to expect: what was reported, and what this host has sent since.
    ///
    /// In requests a place; the number of places is that of its last report unless `places` gives another, and a
    /// report without a capacity counts as one place.
    pub fn pressure(&self, places: Option<u32>) -> f64 {
        let reported = self.load.running + self.load.waiting;
        let expected = (reported + self.sent_since_report).max(self.open);
        f64::from(expected) / f64::from(places.unwrap_or(self.load.capacity).max(1))
    }

    /// Whether it is left out after failures.
    pub fn is_ejected(&self, now: TimePoint) -> bool {
        now < self.ejected_until
    }

    pub(super) fn fail(&mut self, now: TimePoint) {
        let doublings = self.failures.min(Self::MAX_EJECTION_DOUBLINGS);
        self.failures += 1;
        self.ejected_until = now + Self::FIRST_EJECTION * 2_u32.pow(doublings);
    }

    pub(super) fn send(&mut self, now: TimePoint) {
        self.forget_sends(now);
        self.sends.push_back(now);
        self.errors.send(now);
    }

    /// The record with the sends that no report of it can show yet.
    pub(super) fn as_of(&self, now: TimePoint) -> Self {
        let mut record = self.clone();
        record.forget_sends(now);
        record.sent_lately = record.sends.len() as u32;
        record
    }

    fn forget_sends(&mut self, now: TimePoint) {
        while self.sends.front().is_some_and(|sent| now.since(*sent) > MAX_REPORT_AGE) {
            self.sends.pop_front();
        }
    }

    pub(super) fn succeed(&mut self) {
        self.failures = 0;
        self.ejected_until = TimePoint::ZERO;
    }
}
