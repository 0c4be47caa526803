use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

use super::RateShare;
use super::brittle_share::BrittleShare;
use crate::{EndpointId, TimePoint};

/// How long terms are kept without being advertised again. An endpoint whose terms still hold advertises them in its
/// next answer.
const RETENTION: Duration = Duration::from_mins(10);

/// The terms on which endpoints accept requests, as each endpoint last advertised them.
///
/// Kept apart from the platform's list of endpoints, whose entries may be older than an endpoint's own answers, and may
/// be removed and added again.
#[derive(Debug, Default)]
pub struct TermsTable {
    terms: BTreeMap<EndpointId, EndpointTerms>,
}

#[derive(Debug)]
struct EndpointTerms {
    updated_at: TimePoint,
    share: Option<RateShare>,
    brittle: Option<BrittleShare>,
    is_leaving: bool,
    paused_until: TimePoint,
}

impl EndpointTerms {
    fn is_open(&self, now: TimePoint) -> bool {
        let has_slot = self.share.as_ref().is_none_or(|share| share.opens_in(now).is_zero());
        has_slot && now >= self.paused_until
    }
}

impl TermsTable {
    /// Sets an endpoint's rate limit, in requests per second for all `hosts` together; returns whether it changed.
    pub fn set_rate_limit(
        &mut self,
        now: TimePoint,
        id: &EndpointId,
        rate: f64,
        hosts: usize,
        rng: &mut impl Rng,
    ) -> bool {
        let terms = self.refresh(now, id);
        if let Some(share) = &mut terms.share {
            let is_changed = share.rate().total_cmp(&rate).is_ne();
            share.update(now, rate, hosts);
            return is_changed;
        }
        terms.share = Some(RateShare::new(now, rate, hosts, rng));
        true
    }

    /// Clears an endpoint's rate limit after the answer to a request sent at `sent_at` stated none; returns whether
    /// there was a limit.
    pub fn clear_rate_limit(&mut self, id: &EndpointId, sent_at: TimePoint) -> bool {
        self.updated_before(id, sent_at).is_some_and(|terms| terms.share.take().is_some())
    }

    /// Sets above how many rejections per second an endpoint fails, caused by all `hosts` together; returns whether that
    /// changed.
    pub fn set_brittle(
        &mut self,
        now: TimePoint,
        id: &EndpointId,
        limit: f64,
        hosts: usize,
        rng: &mut impl Rng,
    ) -> bool {
        let terms = self.refresh(now, id);
        if let Some(brittle) = &mut terms.brittle {
            let is_changed = brittle.limit().total_cmp(&limit).is_ne();
            brittle.update(now, limit, hosts);
            return is_changed;
        }
        terms.brittle = Some(BrittleShare::new(now, limit, hosts, rng));
        true
    }

    /// Records that the answer to a request sent at `sent_at` did not state that the endpoint is brittle; returns whether
    /// it was.
    pub fn clear_brittle(&mut self, id: &EndpointId, sent_at: TimePoint) -> bool {
        self.updated_before(id, sent_at).is_some_and(|terms| terms.brittle.take().is_some())
    }

    /// Whether an endpoint fails if it has to reject too many requests.
    pub fn is_brittle(&self, id: &str) -> bool {
        self.terms.get(id).is_some_and(|terms| terms.brittle.is_some())
    }

    /// Records that a brittle endpoint rejected a request, so that this host sends it nothing for a while; returns whether
    /// the endpoint is brittle.
    pub fn record_rejection(&mut self, now: TimePoint, id: &str) -> bool {
        let Some(terms) = self.terms.get_mut(id) else {
            return false;
        };
        let Some(brittle) = &mut terms.brittle else {
            return false;
        };
        terms.paused_until = terms.paused_until.max(now + brittle.record_rejection(now));
        true
    }

    /// Whether a request that may be rejected may be sent to a brittle endpoint now.
    pub fn has_trial(&self, now: TimePoint, id: &str) -> bool {
        let brittle = self.terms.get(id).and_then(|terms| terms.brittle.as_ref());
        brittle.is_some_and(|brittle| brittle.has_trial(now))
    }

    /// Records that a request that may be rejected is sent to a brittle endpoint.
    pub fn use_trial(&mut self, now: TimePoint, id: &str) {
        if let Some(brittle) = self.terms.get_mut(id).and_then(|terms| terms.brittle.as_mut()) {
            brittle.use_trial(now);
        }
    }

    /// Sets this host's share of an endpoint's limits, as a multiple of an equal one.
    pub fn set_factor(&mut self, now: TimePoint, id: &str, factor: f64) {
        let Some(terms) = self.terms.get_mut(id) else {
            return;
        };
        if let Some(share) = &mut terms.share {
            share.set_factor(now, factor);
        }
        if let Some(brittle) = &mut terms.brittle {
            brittle.set_factor(now, factor);
        }
    }

    /// Sets whether the sends to an endpoint with a rate limit are leased rather than divided.
    pub fn set_leased(&mut self, id: &str, is_leased: bool) {
        if let Some(share) = self.terms.get_mut(id).and_then(|terms| terms.share.as_mut()) {
            share.set_leased(is_leased);
        }
    }

    /// Adds leased sends to an endpoint, which may be used until `until`.
    pub fn add_leased(&mut self, now: TimePoint, id: &str, count: u32, until: TimePoint) {
        if let Some(share) = self.terms.get_mut(id).and_then(|terms| terms.share.as_mut()) {
            share.add_leased(now, count, until);
        }
    }

    /// Allows this host's equal share of a rate limit beside what is leased, until `until`.
    pub fn allow_divided(&mut self, id: &str, until: TimePoint) {
        if let Some(share) = self.terms.get_mut(id).and_then(|terms| terms.share.as_mut()) {
            share.allow_divided(until);
        }
    }

    /// The leased sends to an endpoint that have not been used.
    pub fn leased_left(&self, now: TimePoint, id: &str) -> u32 {
        self.terms.get(id).and_then(|terms| terms.share.as_ref()).map_or(0, |share| share.leased_left(now))
    }

    /// The requests per second that an endpoint takes from all hosts together; `None` without a limit.
    pub fn rate_limit(&self, id: &str) -> Option<f64> {
        self.terms.get(id)?.share.as_ref().map(RateShare::rate)
    }

    /// Records that an endpoint announced that it is leaving.
    pub fn mark_leaving(&mut self, now: TimePoint, id: &EndpointId) {
        self.refresh(now, id).is_leaving = true;
    }

    /// Whether an endpoint announced that it is leaving.
    pub fn is_leaving(&self, id: &str) -> bool {
        self.terms.get(id).is_some_and(|terms| terms.is_leaving)
    }

    /// Pauses requests of this host to an endpoint for at least `span`; returns whether it was not paused before.
    pub fn extend_pause(&mut self, now: TimePoint, id: &EndpointId, span: Duration) -> bool {
        let terms = self.refresh(now, id);
        let is_new = terms.paused_until <= now;
        terms.paused_until = terms.paused_until.max(now + span);
        is_new
    }

    /// The remaining time for which this host must send no requests to an endpoint.
    pub fn pause_left(&self, now: TimePoint, id: &str) -> Duration {
        self.terms.get(id).map_or(Duration::ZERO, |terms| terms.paused_until.since(now))
    }

    /// Whether an endpoint's terms admit a request of this host now.
    pub fn is_open(&self, now: TimePoint, id: &str) -> bool {
        self.terms.get(id).is_none_or(|terms| terms.is_open(now))
    }

    /// Whether a request may be sent to an endpoint now; if so, it counts against the rate limit.
    pub fn try_send(&mut self, now: TimePoint, id: &str) -> bool {
        let Some(terms) = self.terms.get_mut(id) else {
            return true;
        };
        let is_open = terms.is_open(now);
        if let Some(share) = terms.share.as_mut().filter(|_| is_open) {
            share.try_use(now);
        }
        is_open
    }

    /// The terms of an endpoint, if they were last updated before `sent_at`: answers on different connections may arrive
    /// out of order.
    fn updated_before(&mut self, id: &EndpointId, sent_at: TimePoint) -> Option<&mut EndpointTerms> {
        self.terms.get_mut(id).filter(|terms| terms.updated_at < sent_at)
    }

    /// The terms of an endpoint that has just advertised some, marked as updated at `now`.
    fn refresh(&mut self, now: TimePoint, id: &EndpointId) -> &mut EndpointTerms {
        if !self.terms.contains_key(id) {
            self.terms.retain(|_, terms| now.since(terms.updated_at) < RETENTION || now < terms.paused_until);
        }
        let fresh =
            || EndpointTerms { updated_at: now, share: None, brittle: None, is_leaving: false, paused_until: now };
        let terms = self.terms.entry(EndpointId::clone(id)).or_insert_with(fresh);
        terms.updated_at = now;
        terms
    }
}
