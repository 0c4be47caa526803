use std::time::Duration;

use hollyhook_core::{RetryWindow, TimePoint};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

#[test]
fn window_expires_buckets() {
    let mut window = RetryWindow::new(Duration::from_secs(10), 1.0, 1);
    window.earn(at(0));
    assert!(window.try_spend(at(0)));
    assert!(window.try_spend(at(0)));
    assert!(!window.try_spend(at(9_000)));
    assert!(
        window.try_spend(at(11_000)),
        "the retries and the request are out of the window, only the reserve is left"
    );
    assert!(!window.try_spend(at(11_000)));
}

#[test]
fn may_spend_counts_nothing() {
    let mut window = RetryWindow::new(Duration::from_secs(10), 1.0, 1);
    assert!(window.may_spend(at(0)));
    assert!(window.may_spend(at(0)));
    assert!(window.try_spend(at(0)));
    assert!(!window.may_spend(at(0)));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whenever a retry is granted, the retries within one window length before it don't exceed the reserve plus the
    /// share of the requests in that span and the bucket before it.
    #[test]
    fn window_never_exceeded(steps in proptest::collection::vec((0_u64..400, any::<bool>()), 1..300)) {
        const WINDOW: u64 = 10_000;
        let mut window = RetryWindow::new(Duration::from_millis(WINDOW), 0.5, 3);
        let (mut now, mut earned, mut spent) = (0, Vec::new(), Vec::new());
        for (gap, is_retry) in steps {
            now += gap;
            if !is_retry {
                window.earn(at(now));
                earned.push(now);
                continue;
            }
            if !window.try_spend(at(now)) {
                continue;
            }
            spent.push(now);
            let since = |times: &[u64], span: u64| times.iter().filter(|time| **time + span > now).count() as f64;
            let requests = since(&earned, WINDOW + WINDOW / 20 + 1);
            prop_assert!(since(&spent, WINDOW) <= requests * 0.5 + 3.0);
        }
    }
}
