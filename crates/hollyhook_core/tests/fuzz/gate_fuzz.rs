use std::collections::{BTreeMap, BTreeSet};

use hollyhook_core::{EndpointId, ProbeAdmission, ProbeGate, ResumeGate, ResumeTicket, RetryBudget};
use proptest::prelude::*;

use crate::harness::fuzz;

/// Never more open than the limit, nobody forgotten, and nobody passed by someone less urgent or later.
#[test]
fn resume_gate_order() {
    let steps = proptest::collection::vec((0..3_u8, any::<usize>(), 0..3_u8), 1..60);
    fuzz("resume gate", 1_000, &steps, |steps| {
        const LIMIT: usize = 3;
        let mut gate = ResumeGate::new(LIMIT);
        let mut inside: Vec<ResumeTicket> = Vec::new();
        for (what, pick, urgency) in steps {
            if what < 2 {
                inside.push(gate.enter(urgency));
            } else if !inside.is_empty() {
                let ticket = inside.remove(pick % inside.len());
                gate.leave(ticket);
            }
            let open: BTreeSet<_> = inside.iter().filter(|ticket| gate.is_admitted(**ticket)).collect();
            assert_eq!(open.len(), inside.len().min(LIMIT), "places are left empty or overfull");
            assert_eq!((gate.admitted(), gate.queued()), (open.len(), inside.len() - open.len()));
        }
        // What waits is let in by urgency, then by time.
        let mut order = Vec::new();
        while let Some(place) = inside.iter().position(|ticket| gate.is_admitted(*ticket)) {
            order.extend(gate.leave(inside.remove(place)));
        }
        let mut sorted = order.clone();
        sorted.sort();
        assert!(inside.is_empty());
        assert_eq!(order, sorted);
    });
}

/// Bounded for each endpoint; everyone who waits is let out or answered, exactly once.
#[test]
fn probe_gate_bounded() {
    let steps = proptest::collection::vec((0..3_u8, 0..2_usize, any::<bool>()), 1..60);
    fuzz("probe gate", 1_000, &steps, |steps| {
        const LIMIT: usize = 2;
        let names = [EndpointId::from("a"), EndpointId::from("b")];
        let mut gate = ProbeGate::new(LIMIT);
        let mut running = BTreeMap::from([(0, 0_usize), (1, 0)]);
        let mut waiting: BTreeMap<u64, usize> = BTreeMap::new();
        for (number, (what, endpoint, is_dead)) in steps.into_iter().enumerate() {
            let probe = number as u64;
            if what < 2 {
                match gate.enter(&names[endpoint], probe) {
                    ProbeAdmission::Admitted => *running.get_mut(&endpoint).unwrap() += 1,
                    ProbeAdmission::Queued => assert_eq!(waiting.insert(probe, endpoint), None),
                }
            } else if running[&endpoint] > 0 {
                *running.get_mut(&endpoint).unwrap() -= 1;
                let release = gate.leave(&names[endpoint], is_dead);
                for probe in release.admitted {
                    assert_eq!(waiting.remove(&probe), Some(endpoint));
                    *running.get_mut(&endpoint).unwrap() += 1;
                }
                assert!(is_dead || release.found_dead.is_empty());
                for probe in release.found_dead {
                    assert_eq!(waiting.remove(&probe), Some(endpoint));
                }
            }
            for (endpoint, running) in &running {
                assert!(*running <= LIMIT);
                let waits = waiting.values().any(|waits| waits == endpoint);
                assert!(!waits || *running == LIMIT, "someone waits at a free place");
            }
            assert_eq!(gate.queued(), waiting.len());
        }
    });
}

/// Over any run, retries are at most the share of first tries and the reserve.
#[test]
fn retry_budget_bounded() {
    let steps = proptest::collection::vec(any::<bool>(), 1..200);
    fuzz("retry budget", 1_000, &steps, |steps| {
        let mut budget = RetryBudget::new(0.2, 5.0);
        let (mut tries, mut retries) = (0.0, 0.0);
        for is_retry in steps {
            if !is_retry {
                tries += 1.0;
                budget.earn();
            } else if budget.try_spend() {
                retries += 1.0;
            }
            assert!(retries <= 0.2 * tries + 5.0 + 1e-6);
        }
    });
}
