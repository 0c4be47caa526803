//! Metrics sent to statsd, and the histograms by account and class.

use std::net::UdpSocket;
use std::time::Duration;

use hollyhook_telemetry::{MetricMeasure, MetricRecorder};

#[test]
fn statsd_receives_after_flush() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let recorder = MetricRecorder::with_statsd(socket.local_addr().unwrap(), "host-1").unwrap();
    recorder.count("request");
    recorder.record(MetricMeasure::FirstToken, &"office".into(), "long", &[Duration::from_millis(7)]);
    // A flush may come before the sink's thread has written a metric, so it is repeated; the daemon flushes every
    // second.
    socket.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
    let mut received = String::new();
    for _ in 0..500 {
        recorder.flush();
        let mut datagram = [0; 2_048];
        if let Ok(count) = socket.recv(&mut datagram) {
            received.push_str(std::str::from_utf8(&datagram[..count]).unwrap());
        }
        if received.contains("hollyhook.request:1|c") && received.contains("hollyhook.first_token:7|ms") {
            break;
        }
    }
    assert!(
        received.contains("hollyhook.request:1|c") && received.contains("hollyhook.first_token:7|ms"),
        "{received}"
    );
    assert!(received.contains("host:host-1") && received.contains("class:long"), "{received}");
}

#[test]
fn histograms_by_account_and_class() {
    let recorder = MetricRecorder::default();
    let durations: Vec<Duration> = (1..=100).map(Duration::from_millis).collect();
    recorder.record(MetricMeasure::BetweenTokens, &"office".into(), "long", &durations);
    recorder.record(MetricMeasure::BetweenTokens, &"clerk".into(), "long", &durations[..10]);
    let rows = recorder.histogram_rows();
    let row = |name: &str| rows.iter().find(|row| &*row.name == name).unwrap();
    assert_eq!((row("office").count, row("clerk").count, row("long").count), (100, 10, 110));
    // Histograms keep three significant digits for a class, and one for an account.
    assert!(row("long").p99_us.abs_diff(99_000) < 100);
    assert!(row("office").p50_us.abs_diff(50_000) < 5_000);
}

#[test]
fn classes_limited() {
    let recorder = MetricRecorder::default();
    for number in 0..1_000 {
        let class = format!("class-{number}");
        recorder.record(MetricMeasure::PlainCall, &"office".into(), &class, &[Duration::from_millis(1)]);
    }
    let rows = recorder.histogram_rows();
    let classes = rows.iter().filter(|row| &*row.scope == "class");
    assert_eq!(classes.clone().count(), 65);
    assert_eq!(classes.map(|row| row.count).sum::<u64>(), 1_000);
}
