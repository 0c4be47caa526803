use sha2::{Digest, Sha256};

/// Identifies a stream in origin snapshots, by a hash of the client attempt that brought its first event.
///
/// Of 64 bits, so that among a million listed streams one that is not listed is mistaken for one of them with a
/// probability of 2^-44; its text would be joined from two versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey(u64);

impl StreamKey {
    /// The key of the stream whose first event the client attempt `first_attempt` brought.
    pub fn new(first_attempt: &str) -> Self {
        let digest = Sha256::digest(first_attempt);
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&digest[..8]);
        Self(u64::from_be_bytes(bytes))
    }

    /// The bits of the key, for its transfer.
    pub fn to_bits(self) -> u64 {
        self.0
    }
}

impl From<u64> for StreamKey {
    fn from(bits: u64) -> Self {
        Self(bits)
    }
}
