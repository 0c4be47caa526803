//! Frames of a tunnel: whatever the division of the bytes, only the last frame is the end.

use bytes::Bytes;
use hollyhook_core::{FrameBuffer, FrameError, FrameReader, FrameStep};
use proptest::prelude::*;

fn frame(payload: &[u8]) -> Vec<u8> {
    let mut buffer = FrameBuffer::default();
    buffer.payload_mut()[..payload.len()].copy_from_slice(payload);
    buffer.frame(payload.len()).to_vec()
}

fn frames(payloads: &[Vec<u8>]) -> Vec<u8> {
    payloads.iter().flat_map(|payload| frame(payload)).chain(FrameBuffer::end_frame().iter().copied()).collect()
}

/// Takes all data that can be taken, at most `limit` bytes at a time; returns it and the step after it.
fn take_all(reader: &mut FrameReader, limit: usize) -> (Vec<u8>, FrameStep) {
    let mut data = Vec::new();
    loop {
        match reader.take(limit).unwrap() {
            FrameStep::Data(bytes) => data.extend_from_slice(&bytes),
            step => return (data, step),
        }
    }
}

#[test]
fn frames_in_one_read_taken() {
    let mut reader = FrameReader::default();
    reader.feed(&frames(&[b"ab".to_vec(), b"c".to_vec()]));
    assert_eq!(reader.take(100), Ok(FrameStep::Data(Bytes::from("ab"))));
    assert_eq!(reader.take(100), Ok(FrameStep::Data(Bytes::from("c"))));
    assert_eq!(reader.take(100), Ok(FrameStep::End));
    assert_eq!(reader.take(100), Ok(FrameStep::End));
    assert_eq!(reader.finish(), Ok(()));
}

#[test]
fn frame_of_no_bytes_ends_tunnel() {
    let mut reader = FrameReader::default();
    reader.feed(&[0]);
    assert_eq!((reader.take(1), reader.finish()), (Ok(FrameStep::Incomplete), Err(FrameError::Truncated)));
    reader.feed(&[0]);
    assert_eq!((reader.take(1), reader.finish()), (Ok(FrameStep::End), Ok(())));
}

#[test]
fn frame_of_maximum_length_taken() {
    let payload = vec![7; FrameBuffer::MAX_PAYLOAD_BYTES];
    let mut reader = FrameReader::default();
    reader.feed(&frame(&payload));
    assert_eq!(reader.take(usize::MAX), Ok(FrameStep::Data(payload.into())));
}

#[test]
fn oversized_frame_refused() {
    let mut reader = FrameReader::default();
    reader.feed(&(FrameBuffer::MAX_PAYLOAD_BYTES as u16 + 1).to_be_bytes());
    assert_eq!(reader.take(1), Err(FrameError::TooLong));
    assert_eq!(reader.finish(), Err(FrameError::Truncated));
}

#[test]
fn truncation_at_every_byte_shown() {
    let bytes = frames(&[b"one".to_vec(), b"two".to_vec()]);
    for cut in 0..bytes.len() {
        let mut reader = FrameReader::default();
        reader.feed(&bytes[..cut]);
        assert_eq!(take_all(&mut reader, 100).1, FrameStep::Incomplete, "cut at byte {cut}");
        assert_eq!(reader.finish(), Err(FrameError::Truncated), "cut at byte {cut}");
    }
}

proptest! {
    #[test]
    fn data_independent_of_division(
        payloads in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..300), 0..8),
        sizes in prop::collection::vec(1_usize..40, 1..20),
        limit in 1_usize..400,
    ) {
        let bytes = frames(&payloads);
        let mut reader = FrameReader::default();
        let (mut rest, mut sizes, mut data) = (&*bytes, sizes.iter().cycle(), Vec::new());
        while !rest.is_empty() {
            prop_assert_eq!(reader.finish(), Err(FrameError::Truncated));
            let (part, later) = rest.split_at(rest.len().min(*sizes.next().unwrap()));
            reader.feed(part);
            let (taken, step) = take_all(&mut reader, limit);
            data.extend(taken);
            prop_assert_eq!(step == FrameStep::End, later.is_empty());
            rest = later;
        }
        prop_assert_eq!(data, payloads.concat());
        prop_assert_eq!(reader.finish(), Ok(()));
    }
}
