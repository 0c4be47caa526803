use std::fmt;

use bytes::{Buf, Bytes, BytesMut};

/// Number of bytes before the payload of a frame: its length, in network byte order.
const HEADER_BYTES: usize = 2;
/// The frame after the last one: an endpoint that ended its side in order sends nothing more.
const END_FRAME: [u8; HEADER_BYTES] = [0; HEADER_BYTES];

/// Why the bytes of a tunnel are not those of whole frames up to the last one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// A frame states a longer payload than any sender writes.
    TooLong,
    /// The connection ended before the last frame.
    Truncated,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLong => "a frame of the tunnel is too long",
            Self::Truncated => "the tunnel ended before its last frame",
        })
    }
}

impl std::error::Error for FrameError {}

/// What the received bytes of a tunnel contain next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameStep {
    /// Bytes that the endpoint sent.
    Data(Bytes),
    /// The endpoint ended its side in order.
    End,
    /// Nothing before more bytes arrive.
    Incomplete,
}

/// A frame that is written at once, with room for its header before the payload.
///
/// ```
/// use hollyhook_core::{FrameBuffer, FrameReader, FrameStep};
///
/// let mut buffer = FrameBuffer::default();
/// buffer.payload_mut()[..3].copy_from_slice(b"abc");
/// let mut reader = FrameReader::default();
/// reader.feed(buffer.frame(3));
/// reader.feed(FrameBuffer::end_frame());
/// assert_eq!(reader.take(100), Ok(FrameStep::Data("abc".into())));
/// assert_eq!(reader.take(100), Ok(FrameStep::End));
/// ```
#[derive(Debug)]
pub struct FrameBuffer(Vec<u8>);

impl FrameBuffer {
    /// Maximum number of payload bytes of a frame.
    pub const MAX_PAYLOAD_BYTES: usize = 16 << 10;

    /// The room for the payload.
    pub fn payload_mut(&mut self) -> &mut [u8] {
        &mut self.0[HEADER_BYTES..]
    }

    /// The frame whose payload is the first `length` bytes, which must be at least one.
    pub fn frame(&mut self, length: usize) -> &[u8] {
        debug_assert!((1..=Self::MAX_PAYLOAD_BYTES).contains(&length), "a frame of {length} bytes");
        self.0[..HEADER_BYTES].copy_from_slice(&(length as u16).to_be_bytes());
        &self.0[..HEADER_BYTES + length]
    }

    /// The frame after the last one.
    pub fn end_frame() -> &'static [u8] {
        &END_FRAME
    }
}

impl Default for FrameBuffer {
    fn default() -> Self {
        Self(vec![0; HEADER_BYTES + Self::MAX_PAYLOAD_BYTES])
    }
}

/// Reads the frames of a tunnel from received bytes, however these are divided.
///
/// The end of the connection says nothing about the endpoint: the process that carries the tunnel may have ended. Only
/// the last frame states that the endpoint ended its side in order.
#[derive(Debug, Default)]
pub struct FrameReader {
    received: BytesMut,
    /// Payload bytes of the current frame that have not been taken.
    payload_left: usize,
    has_ended: bool,
}

impl FrameReader {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.received.extend_from_slice(bytes);
    }

    /// Takes at most `limit` payload bytes, which may be part of a frame.
    ///
    /// # Errors
    ///
    /// `TooLong` if the next frame is longer than [`FrameBuffer::MAX_PAYLOAD_BYTES`].
    pub fn take(&mut self, limit: usize) -> Result<FrameStep, FrameError> {
        if !self.has_ended && self.payload_left == 0 {
            let Some((header, _rest)) = self.received.split_first_chunk::<HEADER_BYTES>() else {
                return Ok(FrameStep::Incomplete);
            };
            let length = usize::from(u16::from_be_bytes(*header));
            if length > FrameBuffer::MAX_PAYLOAD_BYTES {
                return Err(FrameError::TooLong);
            }
            self.received.advance(HEADER_BYTES);
            self.payload_left = length;
            self.has_ended = length == 0;
        }
        if self.has_ended {
            return Ok(FrameStep::End);
        }
        let length = self.payload_left.min(self.received.len()).min(limit);
        if length == 0 {
            return Ok(FrameStep::Incomplete);
        }
        self.payload_left -= length;
        Ok(FrameStep::Data(self.received.split_to(length).freeze()))
    }

    /// Evaluates the end of the connection.
    ///
    /// # Errors
    ///
    /// `Truncated` if it came before the last frame.
    pub fn finish(&self) -> Result<(), FrameError> {
        if self.has_ended { Ok(()) } else { Err(FrameError::Truncated) }
    }
}
