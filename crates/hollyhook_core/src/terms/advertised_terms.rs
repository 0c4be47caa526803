use std::time::Duration;

/// What one answer of an endpoint says of the terms on which it takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct AdvertisedTerms {
    /// Requests a second that it takes from all hosts together; none if it does not limit them.
    pub rate_limit: Option<f64>,
    /// Whether it leaves.
    pub is_leaving: bool,
    /// For how long it wants no more requests of this host; none if it does not say so.
    pub pause: Option<Duration>,
}
