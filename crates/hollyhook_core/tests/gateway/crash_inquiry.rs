//! Whether an endpoint has crashed, from what several hosts find while some of them lose their paths.

use hollyhook_core::{CrashInquiry, EndpointFinding};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

const SEEDS: u64 = 400;

/// Runs an inquiry of host 0; `find` says what a host finds in a round.
fn inquire(hosts: usize, rng: &mut StdRng, find: impl Fn(usize, u32) -> EndpointFinding) -> bool {
    let mut others: Vec<usize> = (1..hosts).collect();
    others.shuffle(rng);
    let mut next = others.iter().cycle();
    let per_round = CrashInquiry::hosts_per_round().min(others.len());
    let mut inquiry = CrashInquiry::new(false, hosts > 1);
    for round in 0..CrashInquiry::rounds() {
        if round > 0 {
            inquiry.add_path_test(true);
        }
        inquiry.add_own(find(0, round));
        next.by_ref().take(per_round).for_each(|host| inquiry.add_answer(find(*host, round)));
    }
    inquiry.has_crashed()
}

/// The number of seeds for which an inquiry says that the endpoint has crashed.
fn count_crashed(hosts: usize, find: impl Fn(usize, u32, &mut StdRng) -> EndpointFinding) -> u64 {
    let crashed = (0..SEEDS).filter(|seed| {
        let mut rng = StdRng::seed_from_u64(*seed);
        let find = |host: usize, round: u32| {
            let mut rng = StdRng::seed_from_u64((seed * 1_000 + host as u64) * 2 + u64::from(round));
            find(host, round, &mut rng)
        };
        inquire(hosts, &mut rng, find)
    });
    crashed.count() as u64
}

#[test]
fn crash_found_by_all_sizes_of_site() {
    for hosts in [1, 2, 3, 8, 71] {
        assert_eq!(count_crashed(hosts, |_, _, _| EndpointFinding::Gone), SEEDS, "{hosts} hosts");
    }
}

#[test]
fn crash_found_while_some_hosts_do_not_answer() {
    let find = |host: usize, _, rng: &mut StdRng| match host {
        0 => EndpointFinding::Gone,
        _ if rng.random_bool(0.1) => EndpointFinding::Unknown,
        _ => EndpointFinding::Gone,
    };
    assert!(count_crashed(8, find) >= SEEDS * 95 / 100);
}

/// Guards against the answers of hosts that have lost the same links.
#[test]
fn lost_links_of_half_the_hosts_accuse_nothing() {
    let find = |hosts: usize| {
        move |host: usize, _, _: &mut StdRng| {
            if host < hosts / 2 { EndpointFinding::Gone } else { EndpointFinding::Reached }
        }
    };
    for hosts in [2, 4, 6, 8] {
        assert_eq!(count_crashed(hosts, find(hosts)), 0, "{hosts} hosts");
    }
    // One in 64 inquiries asks none but hosts that have lost the links.
    assert!(count_crashed(71, find(71)) <= SEEDS * 2 / 64);
}

#[test]
fn endpoint_back_in_second_round_not_accused() {
    let find = |_, round: u32, _: &mut StdRng| match round {
        0 => EndpointFinding::Gone,
        _ => EndpointFinding::Reached,
    };
    assert_eq!(count_crashed(8, find), 0);
}

#[test]
fn hosts_that_cannot_tell_accuse_nothing() {
    let find = |host: usize, _, _: &mut StdRng| match host {
        0 => EndpointFinding::Gone,
        _ => EndpointFinding::Unknown,
    };
    assert_eq!(count_crashed(8, find), 0);
}

#[test]
fn path_lost_between_rounds_accuses_nothing() {
    let mut inquiry = CrashInquiry::new(false, true);
    inquiry.add_own(EndpointFinding::Gone);
    inquiry.add_answer(EndpointFinding::Gone);
    inquiry.add_path_test(false);
    assert!(inquiry.is_refuted() && !inquiry.has_crashed());
}
