use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

use super::RateShare;
use crate::{EndpointId, TimePoint};

/// How long terms are kept that an endpoint does not say again. One that still has them says so with its next answer.
const KEPT: Duration = Duration::from_mins(10);

/// The terms on which endpoints take requests, as they last said themselves.
///
/// Kept apart from what the platform lists, which may be older than what an endpoint says, and may come and go.
#[derive(Debug, Default)]
pub struct TermsTable {
    terms: BTreeMap<EndpointId, EndpointTerms>,
}

#[derive(Debug)]
struct EndpointTerms {
    heard_at: TimePoint,
    share: Option<RateShare>,
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
    /// Takes in the rate limit, in requests a second, that an endpoint names for the `hosts` together; tells whether that is news.
    pub fn set_rate_limit(&mut self, now: TimePoint, id: &EndpointId, rate: f64, hosts: usize, rng: &mut impl Rng) -> bool {
        let terms = self.heard(now, id);
        if let Some(share) = &mut terms.share {
            let is_news = share.rate().total_cmp(&rate).is_ne();
            share.update(now, rate, hosts);
            return is_news;
        }
        terms.share = Some(RateShare::new(now, rate, hosts, rng));
        true
    }

    /// Takes in that the answer to a request sent at `sent_at` names no limit; tells whether that ends one.
    ///
    /// A limit that was heard later than that stays: answers on different connections overtake each other.
    pub fn clear_rate_limit(&mut self, id: &EndpointId, sent_at: TimePoint) -> bool {
        let terms = self.terms.get_mut(id).filter(|terms| terms.heard_at < sent_at);
        terms.is_some_and(|terms| terms.share.take().is_some())
    }

    /// Takes in that an endpoint says that it leaves.
    pub fn mark_leaving(&mut self, now: TimePoint, id: &EndpointId) {
        self.heard(now, id).is_leaving = true;
    }

    /// Whether an endpoint said that it leaves.
    pub fn is_leaving(&self, id: &str) -> bool {
        self.terms.get(id).is_some_and(|terms| terms.is_leaving)
    }

    /// Takes in that an endpoint wants no more requests of this host for so long; tells whether that is news.
    pub fn extend_pause(&mut self, now: TimePoint, id: &EndpointId, span: Duration) -> bool {
        let terms = self.heard(now, id);
        let is_news = terms.paused_until <= now;
        terms.paused_until = terms.paused_until.max(now + span);
        is_news
    }

    /// How long an endpoint still wants no more requests of this host.
    pub fn pause_left(&self, now: TimePoint, id: &str) -> Duration {
        self.terms.get(id).map_or(Duration::ZERO, |terms| terms.paused_until.since(now))
    }

    /// Whether an endpoint takes a request of this host now.
    pub fn is_open(&self, now: TimePoint, id: &str) -> bool {
        self.terms.get(id).is_none_or(|terms| terms.is_open(now))
    }

    /// Whether a request may be sent to an endpoint now; if so, it is counted.
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

    /// The terms of an endpoint that has just said something of them.
    fn heard(&mut self, now: TimePoint, id: &EndpointId) -> &mut EndpointTerms {
        if !self.terms.contains_key(id) {
            self.terms.retain(|_, terms| now.since(terms.heard_at) < KEPT || now < terms.paused_until);
        }
        let fresh = || EndpointTerms { heard_at: now, share: None, is_leaving: false, paused_until: now };
        let terms = self.terms.entry(EndpointId::clone(id)).or_insert_with(fresh);
        terms.heard_at = now;
        terms
    }
}
