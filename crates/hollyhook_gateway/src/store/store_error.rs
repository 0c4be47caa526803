use std::fmt;

use hollyhook_platform::FormatError;

use crate::net::ExchangeError;

/// Why a call to the store failed.
#[derive(Debug)]
pub(crate) enum StoreError {
    /// The store sent no usable response, or one with an unexpected status.
    Unavailable(&'static str),
    /// A watch or the next page of a list can't continue from its revision; all objects have to be listed again.
    HistoryGone,
    /// The store rejected the call because it received too many (HTTP status 429).
    Throttled,
    /// The object to be created exists already, or the object to be replaced was changed since it was read.
    Conflict,
    /// There is no such object.
    Missing,
    /// The store answered with another status that states a failure, so that nothing was done.
    Rejected,
    /// The response could not be decoded.
    Malformed(FormatError),
    /// A page of a list holds only objects of earlier pages, and more pages are to follow.
    EndlessList,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(reason) => write!(f, "call to the store failed: {reason}"),
            Self::HistoryGone => f.write_str("can't continue from the requested revision; listing all objects again"),
            Self::Throttled => f.write_str("the store rejected the call because of its rate limit (HTTP status 429)"),
            Self::Conflict => f.write_str("the object exists already, or was changed since it was read"),
            Self::Missing => f.write_str("there is no such object"),
            Self::Rejected => f.write_str("call to the store failed: unexpected HTTP status"),
            Self::Malformed(error) => error.fmt(f),
            Self::EndlessList => f.write_str("the store repeats pages of the list instead of continuing it"),
        }
    }
}

impl From<ExchangeError> for StoreError {
    fn from(error: ExchangeError) -> Self {
        Self::Unavailable(error.0)
    }
}
