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
pub struct TermsLedger {
    terms: BTreeMap<EndpointId, EndpointTerms>,
}

#[derive(Debug)]
struct EndpointTerms {
    heard_at: TimePoint,
    share: RateShare,
}

impl TermsLedger {
    /// Takes in the rate limit, in requests a second, that an endpoint names for the `hosts` together; tells whether that is news.
    pub fn limit(&mut self, now: TimePoint, id: &EndpointId, rate: f64, hosts: usize, rng: &mut impl Rng) -> bool {
        if let Some(terms) = self.terms.get_mut(id) {
            let is_news = terms.share.rate().total_cmp(&rate).is_ne();
            terms.heard_at = now;
            terms.share.rename(now, rate, hosts);
            return is_news;
        }
        self.terms.retain(|_, terms| now.since(terms.heard_at) < KEPT);
        let share = RateShare::named(now, rate, hosts, rng);
        self.terms.insert(EndpointId::clone(id), EndpointTerms { heard_at: now, share });
        true
    }

    /// Takes in that the answer to a request sent at `sent_at` names no limit; tells whether that ends one.
    ///
    /// A limit that was heard later than that stays: answers on different connections overtake each other.
    pub fn unlimit(&mut self, id: &EndpointId, sent_at: TimePoint) -> bool {
        let is_ended = self.terms.get(id).is_some_and(|terms| terms.heard_at < sent_at);
        is_ended && self.terms.remove(id).is_some()
    }

    /// Whether an endpoint takes a request of this host now.
    pub fn is_open(&self, now: TimePoint, id: &str) -> bool {
        self.terms.get(id).is_none_or(|terms| terms.share.opens_in(now).is_zero())
    }

    /// Whether a request may be sent to an endpoint now; if so, it is counted.
    pub fn try_send(&mut self, now: TimePoint, id: &str) -> bool {
        self.terms.get_mut(id).is_none_or(|terms| terms.share.try_use(now))
    }
}
