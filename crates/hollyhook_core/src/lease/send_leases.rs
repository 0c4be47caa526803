use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

use super::owner_inquiry::OwnerInquiry;
use super::wait_counter::WaitCounter;
use super::{LeaseCandidate, SEND_TIME};
use crate::{EndpointId, TimePoint};

/// Sends for which one owner is asked before a second one is asked for more.
const SENDS_OF_OWNER: u32 = 4;
/// Span over which the rate of requests is measured.
const RATE_SPAN: Duration = Duration::from_millis(500);
/// A host asks ahead for the sends of this span, once half of them are used. One with few callers asks for each request
/// when it comes.
const AHEAD_TIME: Duration = Duration::from_millis(300);
/// Bound of that span where owners lease less than they are asked for, so that they are asked rarely.
const MAX_AHEAD_TIME: Duration = SEND_TIME;

/// The requests that this host may send to a service's endpoints with a rate limit.
#[derive(Debug, Default)]
pub(super) struct SendLeases {
    sends: f64,
    counted_at: TimePoint,
    waits: WaitCounter,
    inquiries: BTreeMap<EndpointId, OwnerInquiry>,
}

impl SendLeases {
    pub(super) fn record_wait(&mut self, now: TimePoint) {
        self.waits.add(now);
    }

    pub(super) fn count_send(&mut self, now: TimePoint) {
        self.sends = self.recent_sends(now) + 1.0;
        self.counted_at = now;
        self.waits.remove_one();
    }

    fn recent_sends(&self, now: TimePoint) -> f64 {
        self.sends * (-now.since(self.counted_at).as_secs_f64() / RATE_SPAN.as_secs_f64()).exp()
    }

    /// Sends that this host needs soon, beside those for requests that wait.
    fn ahead(&self, now: TimePoint) -> u32 {
        let pause = self.inquiries.values().map(OwnerInquiry::pause_span).max().unwrap_or_default();
        let span = AHEAD_TIME.max(pause.min(MAX_AHEAD_TIME));
        (self.recent_sends(now) * span.as_secs_f64() / RATE_SPAN.as_secs_f64()) as u32
    }

    pub(super) fn is_active(&self, now: TimePoint) -> bool {
        self.ahead(now) > 0 || self.waits.count(now) > 0 || self.inquiries.values().any(OwnerInquiry::is_under_way)
    }

    /// Whether an owner may still lease a send to a request that waits for one.
    pub(super) fn may_be_leased(&self, now: TimePoint, candidates: &[LeaseCandidate]) -> bool {
        let may_lease = |known: &LeaseCandidate| {
            let inquiry = self.inquiries.get(&known.id);
            known.is_usable && inquiry.is_none_or(|inquiry| inquiry.is_under_way() || inquiry.may_ask(now))
        };
        candidates.iter().any(may_lease)
    }

    /// The endpoints about which the answer to a question is late.
    pub(super) fn late(&self, now: TimePoint) -> impl Iterator<Item = &EndpointId> {
        self.inquiries.iter().filter(move |(_, inquiry)| inquiry.is_late(now)).map(|(id, _)| id)
    }

    /// The endpoints about which to ask now, and how many sends to ask for.
    pub(super) fn plan(
        &mut self,
        now: TimePoint,
        candidates: &[LeaseCandidate],
        rng: &mut impl Rng,
    ) -> Vec<(EndpointId, u32)> {
        self.inquiries.retain(|id, inquiry| inquiry.is_under_way() || candidates.iter().any(|known| known.id == *id));
        let asked: u32 = self.inquiries.values().filter_map(|inquiry| inquiry.expected(now)).sum();
        let left: u32 = candidates.iter().filter(|known| known.is_usable).map(|known| known.sends_left).sum();
        let (waiting, ahead) = (self.waits.count(now), self.ahead(now));
        if asked + left >= waiting.max(ahead / 2) {
            return Vec::new();
        }
        let missing = (waiting + ahead).saturating_sub(asked + left);
        let may_ask = |known: &&LeaseCandidate| {
            known.is_usable && self.inquiries.get(&known.id).is_none_or(|inquiry| inquiry.may_ask(now))
        };
        let mut free: Vec<&LeaseCandidate> = candidates.iter().filter(may_ask).collect();
        // At random, so that hosts don't all ask the same owner; those of the own zone first.
        free.sort_by_cached_key(|known| (!known.is_in_own_zone, rng.random::<u32>()));
        free.truncate(missing.div_ceil(SENDS_OF_OWNER) as usize);
        let count = free.len() as u32;
        let share = |place: u32| missing / count + u32::from(place < missing % count);
        let plan: Vec<(EndpointId, u32)> =
            (0..).zip(free).map(|(place, known)| (EndpointId::clone(&known.id), share(place))).collect();
        for (id, wanted) in &plan {
            self.inquiries.entry(EndpointId::clone(id)).or_default().begin(now, *wanted);
        }
        plan
    }

    /// Records how many sends were leased in answer to a question.
    pub(super) fn record(&mut self, now: TimePoint, endpoint: &EndpointId, leased: Option<u32>) {
        if let Some(inquiry) = self.inquiries.get_mut(endpoint) {
            inquiry.end(now, leased.unwrap_or_default());
        }
    }
}
