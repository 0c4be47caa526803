use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{Error, ErrorKind};

/// Identifies one generation over all hosts and endpoints: 128 bits, written as 32 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct GenerationId(u128);

impl GenerationId {
    /// Creates an id from 128 random bits.
    pub const fn from_bits(bits: u128) -> Self {
        Self(bits)
    }

    /// Derives the id from a client account's idempotency key; every host derives the same id.
    pub fn from_key(account: &str, key: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update((account.len() as u64).to_be_bytes());
        hash.update(account);
        hash.update(key);
        let digest = hash.finalize();
        let mut bits = [0; 16];
        bits.copy_from_slice(&digest[..16]);
        Self(u128::from_be_bytes(bits))
    }

    /// The id as 128 bits.
    pub const fn bits(self) -> u128 {
        self.0
    }
}

impl fmt::Display for GenerationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for GenerationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "GenerationId({self})")
    }
}

impl FromStr for GenerationId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let wrong = |cause: &dyn fmt::Display| {
            Error::new(ErrorKind::InvalidRequest, format!("`{text}` is not a generation id of 32 hex digits: {cause}"))
        };
        if text.len() != 32 {
            return Err(wrong(&format_args!("{} characters", text.len())));
        }
        u128::from_str_radix(text, 16).map(Self).map_err(|error| wrong(&error))
    }
}

impl From<GenerationId> for String {
    fn from(id: GenerationId) -> Self {
        id.to_string()
    }
}

impl TryFrom<String> for GenerationId {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

/// Maximum number of attempts that one host makes at a generation.
const ATTEMPTS_PER_HOST: u32 = 1 << 16;

/// The number of an attempt at one generation, counted across all hosts that have relayed it; the first is 1.
///
/// An endpoint sends the output only to the attempt with the highest number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptNumber(u32);

impl AttemptNumber {
    /// The first attempt.
    pub const FIRST: Self = Self(1);

    /// Creates the number of an attempt.
    pub const fn new(number: u32) -> Self {
        Self(number)
    }

    /// The number of the next attempt on the same host.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The number of the first attempt on a host that takes the generation over from the host of this attempt.
    ///
    /// One host makes no more attempts than the step, so that a host that was paused and recovers can't reuse a number
    /// of its successor, and its cancellations can't stop the successor's work.
    #[must_use]
    pub const fn takeover(self) -> Self {
        Self(self.0.saturating_add(ATTEMPTS_PER_HOST))
    }

    /// Whether the host whose first attempt is `first` may make this one.
    pub const fn is_of_host(self, first: Self) -> bool {
        self.0 - first.0 < ATTEMPTS_PER_HOST
    }

    /// The attempt number as an integer.
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl fmt::Display for AttemptNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
