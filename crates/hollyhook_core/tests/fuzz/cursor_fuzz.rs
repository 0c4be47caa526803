use std::time::Duration;

use hollyhook_core::{
    AttemptNumber, CursorKey, CursorSeal, EndpointId, ErrorKind, GenerationId, PrefixDigest, StreamCursor,
};
use proptest::prelude::*;
use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;

use crate::harness::fuzz;

const MAX_AGE: u64 = 600;

fn cursor(bits: u128, position: u64, endpoint: &str, made_at: u64) -> StreamCursor {
    StreamCursor {
        generation: GenerationId::from_bits(bits),
        position,
        attempt: AttemptNumber::new(position as u32 % 9 + 1),
        endpoint: EndpointId::from(endpoint),
        digest: PrefixDigest::from_bytes(bits.to_le_bytes()),
        request: bits as u64,
        made_at,
    }
}

/// A sealed cursor opens unchanged, and only for its account, with its key and up to its maximum age; all other cursors
/// get the same error, so that it reveals nothing.
#[test]
fn cursor_altered() {
    let seal = CursorSeal::new(&CursorKey::new([7; 32]), Duration::from_secs(MAX_AGE));
    let foreign = CursorSeal::new(&CursorKey::new([8; 32]), Duration::from_secs(MAX_AGE));
    let rotated =
        CursorSeal::new(&CursorKey::new([8; 32]), Duration::from_secs(MAX_AGE)).previous_key(&CursorKey::new([7; 32]));
    let inputs = (any::<u128>(), any::<u64>(), "[a-z0-9-]{0,20}", 0..2_000_u64, any::<(usize, u8)>(), 0..2_000_u64);
    fuzz("cursor", 2_000, &inputs, |(bits, position, endpoint, made_at, (index, change), later)| {
        let sealed_cursor = cursor(bits, position, &endpoint, made_at);
        let mut rng = Pcg64::seed_from_u64(bits as u64);
        let sealed = seal.seal("office", &sealed_cursor, &mut rng);
        let now = made_at + later;
        let opened = seal.open("office", &sealed, now);
        if later <= MAX_AGE {
            assert_eq!(opened.as_ref(), Ok(&sealed_cursor));
            assert_eq!(rotated.open("office", &sealed, now).as_ref(), Ok(&sealed_cursor));
        } else {
            assert_eq!(opened.unwrap_err().kind(), ErrorKind::CursorStale);
        }
        let refusal = seal.open("franchise", &sealed, now).unwrap_err();
        assert_eq!(refusal.kind(), ErrorKind::CursorInvalid);
        assert_eq!(foreign.open("office", &sealed, now).unwrap_err(), refusal);
        let mut altered = sealed.clone().into_bytes();
        let index = index % altered.len();
        altered[index] = b'A' + change % 26;
        let altered = String::from_utf8(altered).unwrap();
        if altered != sealed {
            assert_eq!(seal.open("office", &altered, now).unwrap_err(), refusal);
        }
        assert_eq!(seal.open("office", &sealed[..index], now).unwrap_err(), refusal);
    });
}
