use std::time::Duration;

use hollyhook_core::{EndpointRecord, EndpointState, EndpointTable, RateShare, RouteQuery, TermsLedger, TimePoint};
use rand::Rng;
use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;

const NOW: TimePoint = TimePoint::from_millis(10_000);
/// How long each play lasts, in milliseconds.
const PLAYED_MS: u64 = 60_000;
/// How often a host may have a request, in milliseconds.
const STEP_MS: usize = 20;
/// What is allowed is counted over spans of that many milliseconds.
const SPAN_MS: u64 = 4_000;

fn after(millis: u64) -> TimePoint {
    NOW + Duration::from_millis(millis)
}

/// The sends of hosts that share a limit, in milliseconds; `demand` tells whether a host has a request in a millisecond.
fn play(rate: f64, hosts: usize, seed: u64, demand: impl Fn(usize, u64, &mut Pcg64) -> bool) -> Vec<u64> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut shares: Vec<RateShare> = (0..hosts).map(|_| RateShare::new(NOW, rate, hosts, &mut rng)).collect();
    let mut sends = Vec::new();
    for millis in (0..PLAYED_MS).step_by(STEP_MS) {
        for (host, share) in shares.iter_mut().enumerate() {
            if demand(host, millis, &mut rng) && share.try_use(after(millis)) {
                sends.push(millis);
            }
        }
    }
    sends
}

fn most_in_span(sends: &[u64]) -> usize {
    let within = |start: &u64| sends.iter().filter(|sent| (*start..*start + SPAN_MS).contains(*sent)).count();
    sends.iter().map(within).max().unwrap_or(0)
}

/// One and a half times what a limit allows in the span, and five more.
fn allowed(rate: f64) -> usize {
    (1.5 * rate * SPAN_MS as f64 / 1_000.0 + 5.0) as usize
}

/// Without a share each told host sends what it has.
#[test]
fn rate_share_sum_within_limit() {
    let cases =
        [(0.5, 8), (1.6, 8), (2.7, 7), (9.0, 61), (10.0, 300), (0.5, 300), (3.0, 1_000), (40.0, 8), (300.0, 61)];
    for (rate, hosts) in cases {
        for seed in 0..8 {
            let always = play(rate, hosts, seed, |_, _, _| true);
            assert!(most_in_span(&always) <= allowed(rate), "steady: {rate} a second, {hosts} hosts, seed {seed}");
            // Idle for five seconds, then all at once.
            let bursts = play(rate, hosts, seed, |_, millis, _| millis % 7_000 >= 5_000);
            assert!(most_in_span(&bursts) <= allowed(rate), "bursts: {rate} a second, {hosts} hosts, seed {seed}");
        }
    }
}

#[test]
fn rate_share_used_under_load() {
    for (rate, hosts) in [(1.6, 8), (9.0, 61), (10.0, 300), (40.0, 8)] {
        let sends = play(rate, hosts, 3, |_, _, rng| rng.random_ratio(1, 10));
        let used = sends.len() as f64 / (rate * PLAYED_MS as f64 / 1_000.0);
        assert!((0.6..=0.9).contains(&used), "{used} of {rate} a second by {hosts} hosts");
    }
}

#[test]
fn rate_share_raised_used_sooner() {
    let mut rng = Pcg64::seed_from_u64(1);
    let mut share = RateShare::new(NOW, 0.1, 8, &mut rng);
    share.update(NOW, 100.0, 8);
    assert!(share.opens_in(NOW) <= Duration::from_millis(100));
    share.update(NOW, f64::MAX, 8);
    assert!(share.try_use(after(60_000)));
}

#[test]
fn rate_share_lowered_to_none_still_asks_at_times() {
    let mut share = RateShare::new(NOW, 100.0, 8, &mut Pcg64::seed_from_u64(1));
    share.update(NOW, 0.0, 8);
    assert!(share.try_use(after(1_000)), "the slot that it had");
    let pause = share.opens_in(after(1_000));
    assert!((Duration::from_secs(30)..Duration::from_mins(2)).contains(&pause), "{pause:?}");
}

fn record(id: &str) -> EndpointRecord {
    EndpointRecord::new(id.into(), "desk".into(), "z0".into(), ([10, 0, 0, 1], 80).into())
}

fn limited(terms: &mut TermsLedger, now: TimePoint, rate: f64) -> bool {
    terms.limit(now, &"i-1".into(), rate, 8, &mut Pcg64::seed_from_u64(1))
}

#[test]
fn rate_limit_outlives_listing() {
    let mut table = EndpointTable::new("z0".into());
    table.upsert(record("i-1"));
    assert!(limited(table.terms_mut(), NOW, 0.1));
    table.remove("i-1");
    table.upsert(record("i-1"));
    assert_eq!(table.shortest_pause(NOW, &RouteQuery::new("desk")), Some(Duration::ZERO));
}

#[test]
fn rate_limit_ended_by_later_answer() {
    let mut terms = TermsLedger::default();
    assert!(limited(&mut terms, NOW, 0.1));
    assert!(!limited(&mut terms, after(1), 0.1), "the same again is no news");
    assert!(!terms.unlimit(&"i-1".into(), NOW), "sent before the limit was heard");
    assert!(!terms.is_open(after(2), "i-1"));
    assert!(terms.unlimit(&"i-1".into(), after(3)));
    assert!(terms.is_open(after(3), "i-1"));
}

/// The entry is older than the endpoint's own word, or lapses while the store is away and comes back.
#[test]
fn leaving_outlives_listing() {
    let mut table = EndpointTable::new("z0".into());
    table.upsert(record("i-1"));
    assert!(table.mark_leaving(NOW, &"i-1".into()));
    assert!(!table.mark_leaving(NOW, &"i-1".into()), "the same again is no news");
    table.upsert(record("i-1"));
    assert_eq!(table.get("i-1").unwrap().state, EndpointState::Leaving);
    table.remove("i-1");
    table.upsert(record("i-1"));
    assert_eq!(table.get("i-1").unwrap().state, EndpointState::Leaving);
    table.upsert(record("i-2"));
    assert_eq!(table.get("i-2").unwrap().state, EndpointState::Live);
}

#[test]
fn pause_kept_to_its_end() {
    let mut table = EndpointTable::new("z0".into());
    table.upsert(record("i-1"));
    let query = RouteQuery::new("desk");
    assert!(table.terms_mut().pause(NOW, &"i-1".into(), Duration::from_secs(3)));
    assert!(!table.terms_mut().pause(NOW, &"i-1".into(), Duration::from_secs(1)), "a shorter one ends no sooner");
    assert_eq!(table.shortest_pause(after(1_000), &query), Some(Duration::from_secs(2)));
    assert!(!table.try_open(after(2_999), "i-1"));
    assert!(table.try_open(after(3_000), "i-1"));
    assert_eq!(table.shortest_pause(after(3_000), &query), None);
}
