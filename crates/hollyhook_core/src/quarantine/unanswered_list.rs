use super::{RequestDigest, SuspectRequest};
use crate::Name;

/// How long after a request was left unanswered a restart of its endpoint, or the removal of the endpoint's entry, is
/// taken as proof that the endpoint crashed, in milliseconds: three heartbeats plus the lag of the endpoint list.
const CONFIRM_WINDOW_MS: u64 = 8_000;
/// Maximum number of unanswered requests that are remembered. The loss of a zone leaves about a hundred at each host.
const MAX_REQUESTS: usize = 512;

/// A request that an endpoint left without an answer.
#[derive(Debug)]
pub(super) struct UnansweredRequest {
    pub(super) suspect: SuspectRequest,
    pub(super) endpoint: Name,
    /// When the attempt failed, in Unix milliseconds.
    pub(super) at: u64,
    /// For how many milliseconds the endpoint had sent events.
    pub(super) run_time: u64,
    /// Whether this host has stopped retrying the request.
    pub(super) is_given_up: bool,
}

/// Requests left without an answer by endpoints that are not known to have crashed.
///
/// A missing answer does not prove a crash: links fail too, and an endpoint that still runs may stop answering for a
/// while.
#[derive(Debug, Default)]
pub(super) struct UnansweredList {
    requests: Vec<UnansweredRequest>,
}

impl UnansweredList {
    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds a request, unless the list is full.
    pub(super) fn add(&mut self, now: u64, suspect: SuspectRequest, endpoint: Name, run_time: u64) {
        self.expire(now);
        if self.requests.len() < MAX_REQUESTS {
            self.requests.push(UnansweredRequest { suspect, endpoint, at: now, run_time, is_given_up: false });
        }
    }

    /// Removes and returns the requests that an endpoint left unanswered within the confirmation window.
    pub(super) fn take(&mut self, now: u64, endpoint: &str) -> Vec<UnansweredRequest> {
        self.expire(now);
        self.requests.extract_if(.., |request| *request.endpoint == *endpoint).collect()
    }

    /// Removes a request that an endpoint has run without crashing since.
    pub(super) fn remove(&mut self, digest: &RequestDigest) {
        self.requests.retain(|request| request.suspect.digest != *digest);
    }

    /// Marks a request that this host no longer retries.
    pub(super) fn mark_given_up(&mut self, digest: &RequestDigest) {
        for request in self.requests.iter_mut().filter(|request| request.suspect.digest == *digest) {
            request.is_given_up = true;
        }
    }

    /// Removes the requests whose confirmation window is over.
    pub(super) fn expire(&mut self, now: u64) {
        self.requests.retain(|request| now.saturating_sub(request.at) < CONFIRM_WINDOW_MS);
    }
}
