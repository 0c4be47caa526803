use crate::{AttemptNumber, EndpointId, GenerationId, PrefixDigest};

/// A caller's position in a stream; the SSE `id` of each event carries it in encrypted form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamCursor {
    /// The generation that the stream delivers.
    pub generation: GenerationId,
    /// The number of tokens that the caller has.
    pub position: u64,
    /// The attempt that delivered the last of these tokens.
    pub attempt: AttemptNumber,
    /// The endpoint of that attempt.
    pub endpoint: EndpointId,
    /// The digest of the tokens that the caller has.
    pub digest: PrefixDigest,
    /// The first 64 bits of a digest of the request, so that the cursor can't be used with another request.
    pub request: u64,
    /// When the cursor was made, in Unix seconds.
    pub made_at: u64,
}

impl StreamCursor {
    const FIXED_LEN: usize = 16 + 8 + 4 + 16 + 8 + 8;

    pub(super) fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(Self::FIXED_LEN + self.endpoint.len());
        bytes.extend_from_slice(&self.generation.bits().to_be_bytes());
        bytes.extend_from_slice(&self.position.to_be_bytes());
        bytes.extend_from_slice(&self.attempt.get().to_be_bytes());
        bytes.extend_from_slice(&self.digest.bytes());
        bytes.extend_from_slice(&self.request.to_be_bytes());
        bytes.extend_from_slice(&self.made_at.to_be_bytes());
        bytes.extend_from_slice(self.endpoint.as_bytes());
        bytes
    }

    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        let mut rest = bytes;
        let generation = GenerationId::from_bits(u128::from_be_bytes(split_array(&mut rest)?));
        let position = u64::from_be_bytes(split_array(&mut rest)?);
        let attempt = AttemptNumber::new(u32::from_be_bytes(split_array(&mut rest)?));
        let digest = PrefixDigest::from_bytes(split_array(&mut rest)?);
        let request = u64::from_be_bytes(split_array(&mut rest)?);
        let made_at = u64::from_be_bytes(split_array(&mut rest)?);
        let endpoint = EndpointId::from(std::str::from_utf8(rest).ok()?);
        Some(Self { generation, position, attempt, endpoint, digest, request, made_at })
    }
}

fn split_array<const N: usize>(rest: &mut &[u8]) -> Option<[u8; N]> {
    let (head, tail) = rest.split_first_chunk::<N>()?;
    *rest = tail;
    Some(*head)
}
