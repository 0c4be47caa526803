use std::collections::BTreeMap;

use crate::{EndpointId, TimePoint};

/// The terms on which endpoints take requests, as they last said themselves.
///
/// Kept apart from what the platform lists, which may be older than what an endpoint says, and may come and go.
#[derive(Debug, Default)]
pub struct TermsLedger {
    limits: BTreeMap<EndpointId, NamedLimit>,
}

#[derive(Debug)]
struct NamedLimit {
    rate: f64,
    heard_at: TimePoint,
}

impl TermsLedger {
    /// Takes in the rate limit, in requests a second from all hosts together, that the answer to a request names or leaves out;
    /// tells whether that is news.
    ///
    /// An answer without a limit ends an earlier one only if its request was sent after that one was heard: answers on
    /// different connections overtake each other.
    pub fn note_limit(&mut self, now: TimePoint, id: &EndpointId, rate: Option<f64>, sent_at: TimePoint) -> bool {
        let known = self.limits.get(id).map(|limit| limit.rate);
        if let Some(rate) = rate {
            self.limits.insert(EndpointId::clone(id), NamedLimit { rate, heard_at: now });
        } else if self.limits.get(id).is_some_and(|limit| limit.heard_at < sent_at) {
            self.limits.remove(id);
        } else {
            return false;
        }
        known != rate
    }
}
