//! Requests that end the endpoints which run them: how they are told from others.

mod request_digest;

pub use request_digest::{DigestError, RequestDigest};
