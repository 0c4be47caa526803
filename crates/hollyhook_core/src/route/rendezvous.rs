use sha2::{Digest, Sha256};

/// The weight of an endpoint for a key by rendezvous hashing (highest random weight); the same on every host.
pub(crate) fn rendezvous_weight(key: &[u8], endpoint: &str) -> u64 {
    let mut hash = Sha256::new();
    hash.update((key.len() as u64).to_be_bytes());
    hash.update(key);
    hash.update(endpoint);
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.finalize()[..8]);
    u64::from_be_bytes(bytes)
}
