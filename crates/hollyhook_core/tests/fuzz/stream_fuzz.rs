use hollyhook_core::{EventReader, EventSequencer};
use proptest::prelude::*;

use crate::harness::{Tally, fuzz};

/// More than the largest event that a reader accepts.
const OVERSIZED_BYTES: usize = 300 << 10;
const MAX_ATTEMPTS: usize = 4;

/// What an attempt sends in place of the event that it would send next. The body ends properly afterwards.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// The event is left out, and `ahead` further ones follow.
    Gap { ahead: u64 },
    /// An earlier event is sent again, and the body ends.
    Backwards { by: u64 },
    /// The number is missing.
    NoId,
    /// The number can't be read.
    UnreadableId,
    /// The number is 0.
    ZeroId,
    /// The number is the largest there is.
    HighestId,
    /// The event exceeds the maximum size and does not end.
    Oversized,
    /// The event breaks off.
    Partial,
    /// The connection breaks.
    Cut,
}

#[derive(Debug, Clone)]
struct Attempt {
    /// How many events before the caller's last one the attempt sends again.
    repeats: u64,
    /// How many events the attempt sends before its fault.
    events: u64,
    fault: Fault,
    /// Sizes of the reads in which the bytes arrive; repeated as often as needed.
    reads: Vec<usize>,
}

fn event(id: u64) -> String {
    format!("id: {id}\ndata: token-{id}\n\n")
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (1_u64..4).prop_map(|ahead| Fault::Gap { ahead }),
        (1_u64..6).prop_map(|by| Fault::Backwards { by }),
        Just(Fault::NoId),
        Just(Fault::UnreadableId),
        Just(Fault::ZeroId),
        Just(Fault::HighestId),
        Just(Fault::Oversized),
        Just(Fault::Partial),
        Just(Fault::Cut),
    ]
}

fn attempt() -> impl Strategy<Value = Attempt> {
    let reads = proptest::collection::vec(prop_oneof![1_usize..40, Just(1 << 20)], 1..6);
    (0_u64..3, 0_u64..12, fault(), reads).prop_map(|(repeats, events, fault, reads)| Attempt {
        repeats,
        events,
        fault,
        reads,
    })
}

/// The bytes of an attempt that resumes behind event `cursor` of a stream of `count` events, and whether its body ends
/// properly. The attempt is whole if its fault lies beyond the last event.
fn attempt_bytes(attempt: &Attempt, cursor: u64, count: u64) -> (String, bool) {
    let first = cursor.saturating_sub(attempt.repeats) + 1;
    let fault_at = (cursor + 1 + attempt.events).max(first);
    let mut text: String = (first..fault_at.min(count + 1)).map(event).collect();
    if fault_at > count {
        return (text, true);
    }
    let partial = |id: u64| format!("id: {id}\ndata: tok");
    let faulty = match attempt.fault {
        Fault::Cut => return (text, false),
        Fault::Gap { ahead } if fault_at + ahead <= count => (fault_at + 1..=fault_at + ahead).map(event).collect(),
        Fault::Backwards { by } if fault_at > by + 1 => event(fault_at - 1 - by),
        // The first event of a stream decides whether its events are numbered, and from where.
        Fault::NoId | Fault::UnreadableId | Fault::ZeroId if fault_at == 1 => partial(1),
        Fault::NoId => format!("data: token-{fault_at}\n\n"),
        Fault::UnreadableId => format!("id: x{fault_at}\ndata: token-{fault_at}\n\n"),
        Fault::ZeroId => format!("id: 0\ndata: token-{fault_at}\n\n"),
        Fault::HighestId => event(u64::MAX),
        Fault::Oversized => format!("id: {fault_at}\ndata: {}", "x".repeat(OVERSIZED_BYTES)),
        Fault::Partial | Fault::Gap { .. } | Fault::Backwards { .. } => partial(fault_at),
    };
    text += &faulty;
    (text, true)
}

/// Reads one attempt; returns whether the caller has the whole stream.
fn read_attempt(
    attempt: &Attempt,
    count: u64,
    sequencer: &mut EventSequencer,
    output: &mut String,
    tally: &Tally,
) -> bool {
    let (text, ends_properly) = attempt_bytes(attempt, sequencer.last().unwrap_or(0), count);
    let mut reader = EventReader::default();
    let mut rest = text.as_bytes();
    for size in attempt.reads.iter().cycle() {
        if rest.is_empty() {
            break;
        }
        let (read, later) = rest.split_at((*size).min(rest.len()));
        rest = later;
        reader.feed(read);
        let batch = reader.take_events(sequencer);
        for event in &batch.events {
            output.push_str(std::str::from_utf8(event).unwrap());
        }
        if reader.is_faulty() {
            let place = if batch.events.is_empty() { "alone" } else { "behind ready events" };
            tally.count(format!("{} {place}", label(attempt.fault)));
            return false;
        }
    }
    ends_properly && reader.has_whole_stream(sequencer)
}

fn label(fault: Fault) -> &'static str {
    match fault {
        Fault::Gap { .. } => "gap",
        Fault::Backwards { .. } => "backwards",
        Fault::NoId => "no id",
        Fault::UnreadableId => "unreadable id",
        Fault::ZeroId => "zero id",
        Fault::HighestId => "highest id",
        Fault::Oversized => "oversized",
        Fault::Partial => "partial",
        Fault::Cut => "cut",
    }
}

/// However a stream is cut into reads and wherever its attempts fail, its caller has either every event once and in
/// order, or a stream that is known to be incomplete.
#[test]
fn stream_whole_or_incomplete() {
    let tally = Tally::default();
    let cases = (1_u64..25, proptest::collection::vec(attempt(), 1..MAX_ATTEMPTS));
    fuzz("event stream", 1_000, &cases, |(count, attempts)| {
        let mut sequencer = EventSequencer::default();
        let mut output = String::new();
        let is_whole = attempts.iter().any(|attempt| read_attempt(attempt, count, &mut sequencer, &mut output, &tally));
        let last = if is_whole { count } else { sequencer.last().unwrap_or(0) };
        let expected: String = (1..=last).map(event).collect();
        assert_eq!(output, expected);
        tally.count(if is_whole { "whole" } else { "incomplete" });
    });
    tally.assert_covered(
        "event stream",
        &[
            "whole",
            "incomplete",
            "gap alone",
            "gap behind ready events",
            "no id behind ready events",
            "unreadable id behind ready events",
            "highest id behind ready events",
            "oversized behind ready events",
        ],
    );
}
