use super::RequestDigest;
use crate::Name;

/// How long after a break an endpoint's next start, or the end of its entry, explains it, in milliseconds: three heartbeats and
/// what the list lags behind.
const EXPLAINED_WITHIN: u64 = 8_000;
/// Breaks that are remembered. A zone that is lost breaks some hundred at each host.
const MOST_BREAKS: usize = 512;

/// A request that an endpoint left without an answer.
#[derive(Debug)]
pub(super) struct UnansweredRequest {
    pub(super) digest: RequestDigest,
    pub(super) endpoint: Name,
    /// The Unix millisecond.
    pub(super) at: u64,
    /// Whether the request is no longer tried here.
    pub(super) is_given_up: bool,
}

/// Breaks of which it is not known whether the endpoint ended: links break too, and endpoints fall silent for a while.
#[derive(Debug, Default)]
pub(super) struct UnansweredList {
    breaks: Vec<UnansweredRequest>,
}

impl UnansweredList {
    pub(super) fn is_empty(&self) -> bool {
        self.breaks.is_empty()
    }

    pub(super) fn note(&mut self, now: u64, digest: RequestDigest, endpoint: Name) {
        self.forget_old(now);
        if self.breaks.len() < MOST_BREAKS {
            self.breaks.push(UnansweredRequest { digest, endpoint, at: now, is_given_up: false });
        }
    }

    /// Takes out the breaks that the end of an endpoint explains.
    pub(super) fn take(&mut self, now: u64, endpoint: &str) -> Vec<UnansweredRequest> {
        self.forget_old(now);
        self.breaks.extract_if(.., |known| *known.endpoint == *endpoint).collect()
    }

    /// Forgets the breaks of a request that an endpoint has run since without ending.
    pub(super) fn forget(&mut self, digest: &RequestDigest) {
        self.breaks.retain(|known| known.digest != *digest);
    }

    pub(super) fn record_given_up(&mut self, digest: &RequestDigest) {
        for known in self.breaks.iter_mut().filter(|known| known.digest == *digest) {
            known.is_given_up = true;
        }
    }

    /// Forgets what is too old to be explained.
    pub(super) fn forget_old(&mut self, now: u64) {
        self.breaks.retain(|known| now.saturating_sub(known.at) < EXPLAINED_WITHIN);
    }
}
