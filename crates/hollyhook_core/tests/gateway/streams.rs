use bytes::Bytes;
use hollyhook_core::{EventSequencer, EventSplitter, RawEvent, SequenceVerdict};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: t{id}\n\n")
}

fn piece(id: u64) -> RawEvent {
    RawEvent { id: Some(id), bytes: Bytes::from(event(id)) }
}

#[test]
fn cutter_other_line_ends() {
    let mut cutter = EventSplitter::default();
    cutter.feed(b"version: 3\r\nid: 9\r\ndata: a\r\n\r\nid:10\ndata: b\n\n");
    assert_eq!(cutter.next_event().unwrap().id, Some(9));
    assert_eq!(cutter.next_event().unwrap().id, Some(10));
    assert!(cutter.next_event().is_none() && !cutter.has_partial_event());
}

#[test]
fn cutter_overfull() {
    let mut cutter = EventSplitter::default();
    cutter.feed(&vec![b'x'; 300 * 1_024]);
    assert!(cutter.next_event().is_none());
    assert!(cutter.is_oversized());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// However the bytes are parted, the same events come out, and a part of one is never among them.
    #[test]
    fn cutter_any_parts(count in 1_u64..12, cuts in proptest::collection::vec(any::<prop::sample::Index>(), 0..20)) {
        let whole: String = (1..=count).map(event).collect();
        let text = format!("{whole}id: 99\nda");
        let mut ends: Vec<usize> = cuts.iter().map(|cut| cut.index(text.len())).collect();
        ends.push(text.len());
        ends.sort_unstable();
        let mut cutter = EventSplitter::default();
        let (mut start, mut joined) = (0, Vec::new());
        for end in ends {
            cutter.feed(&text.as_bytes()[start..end]);
            start = end;
            while let Some(piece) = cutter.next_event() {
                joined.extend_from_slice(&piece.bytes);
            }
        }
        prop_assert_eq!(String::from_utf8(joined).unwrap(), whole);
        prop_assert!(cutter.has_partial_event());
    }

    /// Attempts that start anywhere, skip, double and break off: the caller gets each event once and in order.
    #[test]
    fn relay_once_in_order(
        cursor in proptest::option::of(0_u64..5),
        attempts in proptest::collection::vec(proptest::collection::vec(1_u64..30, 0..30), 1..10),
    ) {
        let mut relay = EventSequencer::new(cursor);
        let mut delivered = Vec::new();
        for attempt in attempts {
            for id in attempt {
                match relay.classify(&piece(id)) {
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
        prop_assert_eq!(relay.delivered(), delivered.len() as u64);
    }
}
