use sha2::{Digest, Sha256};

/// The weight of an endpoint for a name (highest random weight hashing); the same on every host.
pub(crate) fn rendezvous_weight(name: &[u8], endpoint: &str) -> u64 {
    let mut hash = Sha256::new();
    hash.update((name.len() as u64).to_be_bytes());
    hash.update(name);
    hash.update(endpoint);
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.finalize()[..8]);
    u64::from_be_bytes(bytes)
}
