use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::MAX_REPORT_AGE;
use super::failure_record::FailureRecord;
use super::room_report::RoomReport;
use super::silence_record::SilenceRecord;
use crate::pace::LoadTrend;
use crate::{EndpointId, EndpointPace, LatencyEstimator, ModelBinding, Name, StoreRevision, TimePoint, ZoneName};

/// Whether an endpoint receives new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// The endpoint receives new requests.
    Live,
    /// The endpoint finishes its open requests and receives no new ones.
    Leaving,
}

/// The load that an endpoint last reported, some time ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// The number of requests being decoded.
    pub running: u32,
    /// The number of requests waiting for a slot in the batch.
    pub waiting: u32,
    /// The number of slots in the batch.
    pub capacity: u32,
    /// How long work currently takes on the endpoint's machine, in percent of normal; `None` if the endpoint does not
    /// report it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pace_percent: Option<u32>,
}

/// What this host knows about one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointRecord {
    /// The endpoint's identifier; each incarnation that reports its start time has its own, so that state of an earlier
    /// incarnation is not applied to a later one.
    pub id: EndpointId,
    /// The name that the endpoint registers under and answers to; it survives restarts if the platform allows that.
    pub entry: Name,
    /// The Unix time of the endpoint's start in milliseconds; `None` if the endpoint does not report it.
    pub started: Option<u64>,
    /// The service that the endpoint belongs to.
    pub service: Name,
    /// The version of the endpoint's software; empty if the endpoint does not report it.
    pub version: Name,
    /// The endpoint's availability zone.
    pub zone: ZoneName,
    /// The address that the endpoint listens on.
    pub address: SocketAddr,
    /// The store revision of the registration; of two registrations of one address, the later one is in use.
    pub registered: StoreRevision,
    /// The model weights that the endpoint serves; `None` for a plain service.
    pub binding: Option<ModelBinding>,
    /// Whether the endpoint receives new requests.
    pub state: EndpointState,
    /// The endpoint's last load report.
    pub load: LoadReport,
    /// The number of requests that this host has open at the endpoint.
    pub open: u32,
    /// The number of requests that this host sent since the last load report, less those that have ended since.
    pub sent_since_report: u32,
    /// The number of requests that this host sent within the last [`MAX_REPORT_AGE`](super::MAX_REPORT_AGE) before this
    /// copy of the record was made; zero in the table itself.
    pub sent_recently: u32,
    /// Estimates the latency of the endpoint's first and later tokens, over all streams of this host.
    pub latency_estimator: LatencyEstimator,
    /// How fast the endpoint works.
    pub pace: EndpointPace,
    /// The load that the endpoint reported over time.
    pub(super) trend: LoadTrend,
    /// The share of the endpoint's answers that were failures of its own.
    pub(super) errors: FailureRecord,
    /// The free share that the endpoint last reported.
    pub(super) room: Option<RoomReport>,
    /// When this host sent its most recent requests.
    pub(super) sends: VecDeque<TimePoint>,
    /// When the endpoint was last heard or found silent.
    pub(super) silence: SilenceRecord,
    pub(super) failures: u32,
    pub(super) ejected_until: TimePoint,
}

impl EndpointRecord {
    const FIRST_EJECTION: Duration = Duration::from_millis(500);
    const MAX_EJECTION_DOUBLINGS: u32 = 5;

    /// A live endpoint without a load report, model weights or a software version.
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
            sent_recently: 0,
            room: None,
            sends: VecDeque::new(),
            latency_estimator: LatencyEstimator::default(),
            pace: EndpointPace::default(),
            trend: LoadTrend::default(),
            errors: FailureRecord::default(),
            silence: SilenceRecord::default(),
            failures: 0,
            ejected_until: TimePoint::ZERO,
        }
    }

    /// Sets the model weights that the endpoint serves.
    #[must_use]
    pub fn binding(mut self, binding: ModelBinding) -> Self {
        self.binding = Some(binding);
        self
    }

    /// Sets the version of the endpoint's software.
    #[must_use]
    pub fn version(mut self, version: Name) -> Self {
        self.version = version;
        self
    }

    /// Sets how many typical requests the endpoint can process at a time.
    #[must_use]
    pub fn capacity(mut self, slots: u32) -> Self {
        self.load.capacity = slots;
        self
    }

    /// Makes this the incarnation of the endpoint registered as `entry` that started at `started`.
    #[must_use]
    pub fn incarnation_of(mut self, entry: Name, started: Option<u64>) -> Self {
        self.entry = entry;
        self.started = started;
        self
    }

    /// Whether this record replaces `other`: it has the same entry name or address and was registered or started later.
    pub(super) fn supersedes(&self, other: &Self) -> bool {
        let is_same_entry_or_address = self.address == other.address || self.entry == other.entry;
        let is_later = (other.registered, other.started) < (self.registered, self.started);
        self.id != other.id && is_same_entry_or_address && is_later
    }

    /// The expected load in requests per slot: the reported requests and those that this host has sent since.
    ///
    /// The number of slots is the reported capacity unless `slots` is given; a capacity of zero counts as one slot.
    pub fn pressure(&self, slots: Option<u32>) -> f64 {
        let reported = self.load.running + self.load.waiting;
        let expected = (reported + self.sent_since_report).max(self.open);
        f64::from(expected) / f64::from(slots.unwrap_or(self.load.capacity).max(1))
    }

    /// Whether the endpoint is ejected after failures, so that requests go to other endpoints.
    pub fn is_ejected(&self, now: TimePoint) -> bool {
        now < self.ejected_until
    }

    pub(super) fn add_failure(&mut self, now: TimePoint) {
        let doublings = self.failures.min(Self::MAX_EJECTION_DOUBLINGS);
        self.failures += 1;
        self.ejected_until = now + Self::FIRST_EJECTION * 2_u32.pow(doublings);
    }

    pub(super) fn add_send(&mut self, now: TimePoint) {
        self.expire_sends(now);
        self.sends.push_back(now);
        self.errors.add_send(now);
        if let Some(room) = &mut self.room {
            room.add_send();
        }
    }

    /// A copy of the record in which `sent_recently` counts the requests sent so recently that no load report shows
    /// them.
    pub(super) fn as_of(&self, now: TimePoint) -> Self {
        let mut record = self.clone();
        record.expire_sends(now);
        record.sent_recently = record.sends.len() as u32;
        record
    }

    fn expire_sends(&mut self, now: TimePoint) {
        while self.sends.front().is_some_and(|sent| now.since(*sent) > MAX_REPORT_AGE) {
            self.sends.pop_front();
        }
    }

    pub(super) fn end_ejection(&mut self) {
        self.failures = 0;
        self.ejected_until = TimePoint::ZERO;
    }

    pub(super) fn clear_failures(&mut self) {
        self.end_ejection();
        self.silence.forget_silence();
    }
}
