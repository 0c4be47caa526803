use std::time::Duration;

/// The terms on which an endpoint accepts requests, as one of its answers advertises them.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct AdvertisedTerms {
    /// The rate limit for all hosts together, in requests per second; `None` if the answer states no limit.
    pub rate_limit: Option<f64>,
    /// The number of requests in a second above which the endpoint fails if it has to reject them for want of room, from
    /// all hosts together; `None` if the answer states none.
    pub brittle_limit: Option<f64>,
    /// Whether the endpoint announces that it is leaving.
    pub is_leaving: bool,
    /// For how long this host must send no more requests; `None` if the answer asks for no pause.
    pub pause: Option<Duration>,
}
