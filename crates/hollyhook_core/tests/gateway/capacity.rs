//! Which new connections a host reads, by what its link bears.

use hollyhook_core::{CapacityGate, GateVerdict, TimePoint, UsageReading};

const LINK_MBPS: u32 = 10;
/// Step of the simulation, in milliseconds, as are all times here.
const STEP: u64 = 5;
const END: u64 = 10_000;
/// New connections per second, three times what the link bears.
const CONNECTIONS: u64 = 200;
/// Every fourth request is a stream.
const STREAM_EVERY: u64 = 4;
const STREAM_TIME: u64 = 6_000;
/// Bytes of a prompt, of a stream's events and of a call.
const PROMPT_BYTES: u64 = 8_000;
const EVENT_BYTES: u64 = 47_000;
const CALL_BYTES: u64 = 1_500;

/// Judges a connection every 10 ms while the host uses a constant amount; returns the fraction that is read.
fn read_share(mut gate: CapacityGate, bytes_per_ms: u64) -> f64 {
    let (mut read, mut judged) = (0, 0);
    for millis in (10..4_000).step_by(10) {
        let now = TimePoint::from_millis(millis);
        let sent = bytes_per_ms * millis;
        gate.add_reading(now, UsageReading { received: sent / 2, sent });
        read += u32::from(gate.judge(now) == GateVerdict::Read);
        judged += 1;
    }
    f64::from(read) / f64::from(judged)
}

#[test]
fn capacity_reads_all_below_bounds() {
    // 6 Mbit/s.
    assert!(read_share(CapacityGate::new(LINK_MBPS), 750) >= 1.0);
}

#[test]
fn capacity_closes_most_on_full_link() {
    let share = read_share(CapacityGate::new(LINK_MBPS), 1_200);
    assert!((0.02..0.1).contains(&share), "{share}");
}

/// A host whose settings say nothing of its link reads what comes.
#[test]
fn capacity_reads_all_where_unknown() {
    assert!(read_share(CapacityGate::new(0), 100_000) >= 1.0);
}

/// Guards against streams that are read faster than they end, until the link is full for seconds.
#[test]
fn capacity_keeps_link_free_from_first_second() {
    let (mut gate, mut streams, mut sent) = (CapacityGate::new(LINK_MBPS), Vec::new(), 0_u64);
    let (mut number, mut read, mut by_second) = (0, 0_u64, vec![0_u64; (END / 1_000) as usize]);
    for millis in (STEP..END).step_by(STEP as usize) {
        let before = sent;
        streams.retain(|begun| millis - begun < STREAM_TIME);
        sent += streams.len() as u64 * EVENT_BYTES * STEP / STREAM_TIME;
        let now = TimePoint::from_millis(millis);
        if gate.needs_reading(now) {
            gate.add_reading(now, UsageReading { received: sent, sent });
        }
        if millis % (1_000 / CONNECTIONS) == 0 {
            number += 1;
            if gate.judge(now) == GateVerdict::Read {
                read += 1;
                let is_stream = number % STREAM_EVERY == 0;
                sent += if is_stream { PROMPT_BYTES } else { CALL_BYTES };
                if is_stream {
                    streams.push(millis);
                }
            }
        }
        by_second[(millis / 1_000) as usize] += sent - before;
    }
    let link_bytes = u64::from(LINK_MBPS) * 1_000_000 / 8;
    assert!(by_second.iter().all(|bytes| *bytes < link_bytes * 9 / 10), "{by_second:?}");
    assert!(by_second[3..].iter().all(|bytes| *bytes > link_bytes / 2), "{by_second:?}");
    assert!(read > 300, "only {read} connections were read");
}
