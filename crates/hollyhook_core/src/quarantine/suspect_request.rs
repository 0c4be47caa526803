use std::collections::BTreeSet;

use super::RequestDigest;

/// A request that may crash the endpoints which run it, as a whole or by a part of its prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectRequest {
    /// The digest of the whole request.
    pub digest: RequestDigest,
    /// The parts of its prompt that other requests may share.
    pub parts: BTreeSet<u64>,
}

impl SuspectRequest {
    /// A request whose prompt has these shared parts.
    pub fn new(digest: RequestDigest, parts: impl IntoIterator<Item = u64>) -> Self {
        Self { digest, parts: parts.into_iter().collect() }
    }
}

impl From<RequestDigest> for SuspectRequest {
    fn from(digest: RequestDigest) -> Self {
        Self { digest, parts: BTreeSet::new() }
    }
}
