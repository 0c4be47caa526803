use bytes::Bytes;
use hollyhook_core::{EventReader, EventSequencer, EventSplitter, RawEvent, SequenceVerdict};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn event_text(id: u64) -> String {
    format!("id: {id}\ndata: t{id}\n\n")
}

fn event(id: u64) -> RawEvent {
    RawEvent { id: Some(id), bytes: Bytes::from(event_text(id)) }
}

#[test]
fn splitter_line_endings() {
    let mut splitter = EventSplitter::default();
    splitter.feed(b"version: 3\r\nid: 9\r\ndata: a\r\n\r\nid:10\ndata: b\n\n");
    assert_eq!(splitter.next_event().unwrap().id, Some(9));
    assert_eq!(splitter.next_event().unwrap().id, Some(10));
    assert!(splitter.next_event().is_none() && !splitter.has_partial_event());
}

#[test]
fn splitter_oversized_event() {
    let mut splitter = EventSplitter::default();
    splitter.feed(&vec![b'x'; 300 * 1_024]);
    assert!(splitter.next_event().is_none());
    assert!(splitter.is_oversized());
}

/// More bytes than an attempt may send between two events that carry it on.
const FLOOD_BYTES: usize = 300 * 1_024;

/// A reader and a sequencer that have taken the events up to `last`.
fn reader_after(last: u64) -> (EventReader, EventSequencer) {
    let (mut reader, mut sequencer) = (EventReader::default(), EventSequencer::default());
    reader.feed((1..=last).map(event_text).collect::<String>().as_bytes());
    assert_eq!(u64::from(reader.take_events(&mut sequencer).received), last);
    (reader, sequencer)
}

#[test]
fn reader_idle_bytes_bounded() {
    for text in [": ping\n\n", "\n", "\r\n", "retry: 5\n\n", "id: 2\ndata: t2\n\n"] {
        for last in [0, 3] {
            let (mut reader, mut sequencer) = reader_after(last);
            let (mut fed, mut received) = (0, 0);
            while !reader.is_faulty() && fed < 2 * FLOOD_BYTES {
                reader.feed(text.as_bytes());
                fed += text.len();
                received += reader.take_events(&mut sequencer).received;
            }
            assert!(reader.is_faulty() && fed <= FLOOD_BYTES, "{text:?} after {last} events: {fed} bytes taken");
            assert_eq!((received, sequencer.delivered()), (0, last), "{text:?} after {last} events");
            assert!(reader.has_idle_bytes(), "{text:?} after {last} events");
        }
    }
}

/// Comments that keep a connection from being idle are allowed for as long as events arrive between them.
#[test]
fn reader_comments_between_events_relayed() {
    let (mut reader, mut sequencer) = (EventReader::default(), EventSequencer::default());
    let comments = ": ping\n\n".repeat(1_000);
    let text = (1..200).map(event_text).collect::<Vec<String>>().join(&comments);
    let mut relayed = Vec::new();
    for piece in text.as_bytes().chunks(1_000) {
        reader.feed(piece);
        relayed.extend(reader.take_events(&mut sequencer).events.concat());
    }
    assert!(reader.has_whole_stream(&sequencer));
    assert_eq!(String::from_utf8(relayed).unwrap(), text);
}

/// An attempt that begins anew repeats what the caller has, which is progress.
#[test]
fn reader_replay_counts_as_progress() {
    let mut sequencer = EventSequencer::new(Some(50_000));
    let mut reader = EventReader::default();
    for id in 1..=50_001 {
        reader.feed(event_text(id).as_bytes());
        assert_eq!(reader.take_events(&mut sequencer).received, 1);
    }
    assert!(reader.has_whole_stream(&sequencer));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// However the bytes are divided into chunks, the splitter returns the same whole events and never a partial one.
    #[test]
    fn splitter_any_chunks(count in 1_u64..12, cuts in proptest::collection::vec(any::<prop::sample::Index>(), 0..20)) {
        let whole: String = (1..=count).map(event_text).collect();
        let text = format!("{whole}id: 99\nda");
        let mut ends: Vec<usize> = cuts.iter().map(|cut| cut.index(text.len())).collect();
        ends.push(text.len());
        ends.sort_unstable();
        let mut splitter = EventSplitter::default();
        let (mut start, mut output) = (0, Vec::new());
        for end in ends {
            splitter.feed(&text.as_bytes()[start..end]);
            start = end;
            while let Some(event) = splitter.next_event() {
                output.extend_from_slice(&event.bytes);
            }
        }
        prop_assert_eq!(String::from_utf8(output).unwrap(), whole);
        prop_assert!(splitter.has_partial_event());
    }

    /// The caller gets each event once and in order from attempts that start anywhere, skip or repeat events, or break
    /// off.
    #[test]
    fn sequencer_once_in_order(
        cursor in proptest::option::of(0_u64..5),
        attempts in proptest::collection::vec(proptest::collection::vec(1_u64..30, 0..30), 1..10),
    ) {
        let mut sequencer = EventSequencer::new(cursor);
        let mut delivered = Vec::new();
        for attempt in attempts {
            for id in attempt {
                match sequencer.classify(&event(id)) {
                    SequenceVerdict::Deliver => delivered.push(id),
                    SequenceVerdict::Drop => {}
                    SequenceVerdict::Gap => break,
                }
            }
        }
        prop_assert!(delivered.windows(2).all(|pair| pair[1] == pair[0] + 1), "{:?}", delivered);
        if let (Some(cursor), Some(first)) = (cursor, delivered.first()) {
            prop_assert_eq!(*first, cursor + 1);
        }
        prop_assert_eq!(sequencer.delivered(), delivered.len() as u64);
    }
}
