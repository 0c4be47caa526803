use std::collections::{BTreeMap, BTreeSet};

use hollyhook_core::{EndpointId, ProbeAdmission, ProbeGate, ResumeGate, ResumeTicket, RetryBudget};
use proptest::prelude::*;

use crate::harness::fuzz;

/// The gate admits as many resumes as the limit allows, loses none, and admits queued ones by priority, then by age.
#[test]
fn resume_gate_order() {
    let steps = proptest::collection::vec((0..3_u8, any::<usize>(), 0..3_u8), 1..60);
    fuzz("resume gate", 1_000, &steps, |steps| {
        const LIMIT: usize = 3;
        let mut gate = ResumeGate::new(LIMIT);
        let mut tickets: Vec<ResumeTicket> = Vec::new();
        for (action, pick, priority) in steps {
            if action < 2 {
                tickets.push(gate.enter(priority));
            } else if !tickets.is_empty() {
                let ticket = tickets.remove(pick % tickets.len());
                gate.leave(ticket);
            }
            let admitted: BTreeSet<_> = tickets.iter().filter(|ticket| gate.is_admitted(**ticket)).collect();
            assert_eq!(
                admitted.len(),
                tickets.len().min(LIMIT),
                "the gate does not admit as many resumes as its limit allows"
            );
            assert_eq!((gate.admitted(), gate.queued()), (admitted.len(), tickets.len() - admitted.len()));
        }
        // Drains the gate: queued resumes are admitted by priority, then by age.
        let mut order = Vec::new();
        while let Some(index) = tickets.iter().position(|ticket| gate.is_admitted(*ticket)) {
            order.extend(gate.leave(tickets.remove(index)));
        }
        let mut sorted = order.clone();
        sorted.sort();
        assert!(tickets.is_empty());
        assert_eq!(order, sorted);
    });
}

/// The probes to each endpoint stay within the limit, and each queued probe is released exactly once: admitted, or
/// reported dead with its endpoint.
#[test]
fn probe_gate_bounded() {
    let steps = proptest::collection::vec((0..3_u8, 0..2_usize, any::<bool>()), 1..60);
    fuzz("probe gate", 1_000, &steps, |steps| {
        const LIMIT: usize = 2;
        let names = [EndpointId::from("a"), EndpointId::from("b")];
        let mut gate = ProbeGate::new(LIMIT);
        let mut running = BTreeMap::from([(0, 0_usize), (1, 0)]);
        let mut queued: BTreeMap<u64, usize> = BTreeMap::new();
        for (number, (action, endpoint, is_dead)) in steps.into_iter().enumerate() {
            let probe = number as u64;
            if action < 2 {
                match gate.enter(&names[endpoint], probe) {
                    ProbeAdmission::Admitted => *running.get_mut(&endpoint).unwrap() += 1,
                    ProbeAdmission::Queued => assert_eq!(queued.insert(probe, endpoint), None),
                }
            } else if running[&endpoint] > 0 {
                *running.get_mut(&endpoint).unwrap() -= 1;
                let release = gate.leave(&names[endpoint], is_dead);
                for probe in release.admitted {
                    assert_eq!(queued.remove(&probe), Some(endpoint));
                    *running.get_mut(&endpoint).unwrap() += 1;
                }
                assert!(is_dead || release.found_dead.is_empty());
                for probe in release.found_dead {
                    assert_eq!(queued.remove(&probe), Some(endpoint));
                }
            }
            for (endpoint, running) in &running {
                assert!(*running <= LIMIT);
                let has_queued = queued.values().any(|queued| queued == endpoint);
                assert!(!has_queued || *running == LIMIT, "a probe is queued although a slot is free");
            }
            assert_eq!(gate.queued(), queued.len());
        }
    });
}

/// After any sequence, granted retries are at most the reserve plus the share of the first attempts.
#[test]
fn retry_budget_bounded() {
    let steps = proptest::collection::vec(any::<bool>(), 1..200);
    fuzz("retry budget", 1_000, &steps, |steps| {
        let mut budget = RetryBudget::new(0.2, 5.0);
        let (mut attempts, mut retries) = (0.0, 0.0);
        for is_retry in steps {
            if !is_retry {
                attempts += 1.0;
                budget.earn();
            } else if budget.try_spend() {
                retries += 1.0;
            }
            assert!(retries <= 0.2 * attempts + 5.0 + 1e-6);
        }
    });
}
