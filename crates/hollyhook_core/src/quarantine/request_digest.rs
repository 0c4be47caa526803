use std::fmt;
use std::str::FromStr;

use sha2::{Digest, Sha256};

/// Length of a digest, in bytes.
const LENGTH: usize = 16;

/// Identifies a request by its content: equal at all hosts and for all client attempts of the same request.
///
/// `SHA-256` over path, account and body, each prefixed with its length, truncated to 128 bits.
///
/// ```
/// use hollyhook_core::RequestDigest;
///
/// let digest = RequestDigest::new("/draft/a", Some("office"), b"body");
/// assert_eq!(digest, RequestDigest::new("/draft/a", Some("office"), b"body"));
/// assert_ne!(digest, RequestDigest::new("/draft/a", None, b"body"));
/// assert_eq!(digest.to_string().parse(), Ok(digest));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestDigest([u8; LENGTH]);

impl RequestDigest {
    /// The digest of a request: of its path with the query, the client account that sent it, and its body.
    pub fn new(path: &str, account: Option<&str>, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for part in [path.as_bytes(), account.unwrap_or_default().as_bytes(), body] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let mut digest = [0; LENGTH];
        digest.copy_from_slice(&hash.finalize()[..LENGTH]);
        Self(digest)
    }

    /// The digest under which survivals of requests with a prompt part are recorded.
    pub fn of_part(part: u64) -> Self {
        // No path is equal to this one: paths begin with a slash.
        Self::new("part", None, &part.to_be_bytes())
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RequestDigest({self})")
    }
}

/// The error for a text that is not a request digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DigestError;

impl fmt::Display for DigestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid request digest: expected {} hexadecimal digits", 2 * LENGTH)
    }
}

impl std::error::Error for DigestError {}

impl FromStr for RequestDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 2 * LENGTH || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(DigestError);
        }
        let mut digest = [0; LENGTH];
        for (number, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * number..2 * number + 2], 16).map_err(|_error| DigestError)?;
        }
        Ok(Self(digest))
    }
}
