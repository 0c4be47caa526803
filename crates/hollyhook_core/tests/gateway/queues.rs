//! The queue of a service and the rate at which hosts send its requests.

use std::collections::BTreeMap;
use std::time::Duration;

use hollyhook_core::{
    AccountName, DispatchRate, QueueLimits, QueueRefusal, QueueRequest, RequestQueue, RoomGate, TimePoint,
};

use crate::queue_simulation::{Demand, Outcome, Simulation, TIMEOUT};

const LIMITS: QueueLimits = QueueLimits { requests: 4, bytes: 100, minimum_share: 0.02 };
const SEEDS: u64 = 6;
const HOSTS: [usize; 4] = [1, 4, 16, 48];
const FEW_HOSTS: [usize; 2] = [1, 4];
/// Demand of the priorities 0, 1 and 2, as fractions of the capacity.
const LOADS: [[f64; 3]; 6] =
    [[0.2, 0.2, 0.1], [0.3, 0.3, 0.2], [0.4, 0.3, 0.5], [0.5, 0.5, 1.0], [0.6, 1.0, 2.4], [0.3, 0.3, 3.4]];
/// By how much fractions of a thousand requests may differ by chance: three standard errors at most.
const NOISE: f64 = 0.045;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn request(account: &str, priority: u8) -> QueueRequest {
    QueueRequest::new(AccountName::from(account), priority, at(0))
}

fn queue(requests: &[QueueRequest]) -> RequestQueue {
    let mut queue = RequestQueue::new(QueueLimits { requests: 1_000, ..LIMITS }, at(0));
    for request in requests {
        queue.push(at(0), request.clone(), None).unwrap();
    }
    queue
}

fn sent_ids(queue: &mut RequestQueue, now: TimePoint) -> Vec<u64> {
    std::iter::from_fn(|| queue.pop(now, |_| true)).map(|request| request.id).collect()
}

/// A heavy account delayed a light one behind all of its own requests.
#[test]
fn accounts_take_turns() {
    let mut requests = vec![request("heavy", 1); 5];
    requests.push(request("light", 1));
    assert_eq!(sent_ids(&mut queue(&requests), at(0)), [0, 5, 1, 2, 3, 4]);
}

/// A request that could no longer meet its objective took the turn of one that could.
#[test]
fn late_requests_yield() {
    let ending = |millis| request("a", 0).objective(at(millis)).deadline(at(1_000));
    let mut queue = queue(&[ending(50), ending(300), ending(200)]);
    assert_eq!(sent_ids(&mut queue, at(100)), [2, 1, 0]);
}

/// A priority with demand got no turn while higher ones had requests.
#[test]
fn minimum_share_kept() {
    let mut requests = vec![request("a", 0); 300];
    requests.extend(vec![request("b", 2); 20]);
    let mut queue = queue(&requests);
    let first = (0..200).map(|_| queue.pop(at(0), |_| true).unwrap());
    assert_eq!(first.filter(|request| request.priority == 2).count(), 3);
}

/// A full queue refused an urgent request, or let one account fill it.
#[test]
fn full_queue_displaces_last_of_lowest() {
    let mut queue = RequestQueue::new(LIMITS, at(0));
    for (account, priority) in [("a", 0), ("b", 1), ("b", 1), ("b", 1)] {
        queue.push(at(0), request(account, priority), None).unwrap();
    }
    assert_eq!(queue.push(at(0), request("b", 1), None).unwrap_err(), QueueRefusal::Full);
    assert_eq!(queue.push(at(0), request("b", 2), None).unwrap_err(), QueueRefusal::Full);
    let (_, displaced) = queue.push(at(0), request("c", 1), None).unwrap();
    assert_eq!(displaced.iter().map(|request| request.id).collect::<Vec<_>>(), [3]);
    let (_, displaced) = queue.push(at(0), request("a", 0), None).unwrap();
    assert_eq!(displaced.iter().map(|request| request.id).collect::<Vec<_>>(), [2]);
    assert_eq!(queue.push(at(0), request("d", 0).bytes(101), None).unwrap_err(), QueueRefusal::Full);
    assert_eq!(queue.len(), 4);
}

/// A request that would have had to wait beyond its deadline waited until then.
#[test]
fn late_request_refused_at_once() {
    let mut queue = queue(&vec![request("a", 0).objective(at(900)).deadline(at(60_000)); 20]);
    let late = request("a", 0).objective(at(1_000)).deadline(at(2_000));
    assert_eq!(queue.push(at(0), late.clone(), Some(10.0)).unwrap_err(), QueueRefusal::TooLate);
    let (id, _) = queue.push(at(0), late, Some(100.0)).unwrap();
    let refused: Vec<_> = queue.expire(at(100), Some(10.0)).iter().map(|(request, why)| (request.id, *why)).collect();
    assert_eq!(refused, [(id, QueueRefusal::TooLate)]);
}

/// A stopping host left requests without an answer that could not end before it.
#[test]
fn closing_queue_refuses() {
    let mut queue = queue(&[request("a", 0).deadline(at(9_000))]);
    queue.set_call_time(Duration::from_millis(100));
    queue.close_at(at(1_000));
    assert!(queue.expire(at(800), None).is_empty());
    assert_eq!(queue.expire(at(900), None)[0].1, QueueRefusal::Stopping);
    assert!(queue.is_empty());
}

/// A request that found no room lost its place, and its account a turn.
#[test]
fn restored_request_is_next() {
    let mut queue = queue(&[request("a", 0), request("b", 0), request("a", 0)]);
    let first = queue.pop(at(0), |_| true).unwrap();
    queue.restore(at(0), first);
    assert_eq!(sent_ids(&mut queue, at(0)), [0, 1, 2]);
}

/// A burst of requests that all endpoints rejected lowered the rate once for each, down to nothing.
#[test]
fn rate_lowered_once_per_round_trip() {
    let mut rate = DispatchRate::new(at(0), Duration::from_millis(30));
    assert_eq!(rate.rate(at(0)), None);
    rate.record_rejection(at(100), true);
    assert_eq!(rate.rate(at(100)), Some(10.0));
    rate.record_rejection(at(200), true);
    assert_eq!(rate.rate(at(200)), Some(8.5));
    for _ in 0..20 {
        rate.record_rejection(at(210), true);
    }
    assert!(rate.rate(at(210)) > Some(1.0));
    rate.record_rejection(at(300), true);
    assert_eq!(rate.rate(at(3_300)), None);
}

/// A host went on by the demand of other hosts after they had stopped stating it.
#[test]
fn shares_limit_each_priority_and_expire() {
    let mut rate = DispatchRate::new(at(0), Duration::from_millis(30));
    let sent = |rate: &mut DispatchRate, from: u64| {
        let mut sent = [0; 2];
        for millis in (from..from + 1_500).step_by(10) {
            for priority in [0, 1] {
                rate.record_arrival(at(millis), priority);
                if rate.opens_at(at(millis), priority) <= at(millis) {
                    rate.take(at(millis), priority);
                    sent[usize::from(priority)] += 1;
                }
            }
        }
        sent
    };
    sent(&mut rate, 0);
    rate.set_shares(at(1_500), Some(&BTreeMap::from([(0, 1.0), (1, 0.5)])));
    let [first, second] = sent(&mut rate, 1_500);
    assert_eq!(first, 150);
    assert!((65..=105).contains(&second), "{second} of 150 with half of them allowed");
    assert!(rate.is_overloaded(at(3_400)) && !rate.is_overloaded(at(3_500)));
    assert_eq!(sent(&mut rate, 3_500), [150, 150]);
}

/// Every waiting request asked engines for reports, and again at a fixed interval.
#[test]
fn gate_opens_at_growing_intervals() {
    let mut gate = RoomGate::default();
    let mut now = at(0);
    let mut searches = 0;
    while now < at(2_000) {
        now = gate.opens_at(now, 1);
        gate.record_full(now, 1, Duration::from_secs(1));
        searches += 1;
    }
    assert!(searches <= 20, "{searches} searches in 2 s");
    assert_eq!(gate.opens_at(now, 0), now, "a more urgent request is not held up");
    gate.record_end(now);
    assert_eq!(gate.opens_at(now, 1), now);
}

fn three_priorities(loads: [f64; 3]) -> Vec<Demand> {
    let demand = |priority: u8| Demand { priority, account: "a", load: loads[usize::from(priority)] };
    (0..3).map(demand).collect()
}

/// Runs each case with several seeds, and adds up the outcomes by demand.
fn run_seeds(hosts: usize, demands: &[Demand], is_first_come: bool) -> Vec<Outcome> {
    let mut outcomes = vec![Outcome::default(); demands.len()];
    for seed in 0..SEEDS {
        let simulation = Simulation::new(seed, hosts, demands);
        let simulation = if is_first_come { simulation.first_come() } else { simulation }.run();
        for (sum, outcome) in outcomes.iter_mut().zip(&simulation.outcomes) {
            sum.add(outcome);
        }
    }
    outcomes
}

fn total(outcomes: &[Outcome]) -> Outcome {
    let mut total = Outcome::default();
    for outcome in outcomes {
        total.add(outcome);
    }
    total
}

/// The fraction of each demand's requests that were served within the objective.
fn shares(outcomes: &[Outcome]) -> Vec<f64> {
    outcomes.iter().map(Outcome::in_time_share).collect()
}

/// Runs all loads with these numbers of hosts; `check` gets the outcomes by priority, and those of first come, first served.
fn check_loads(hosts: &[usize], loads: &[[f64; 3]], check: impl Fn(&str, &[f64; 3], &[Outcome], &Outcome)) {
    for (hosts, loads) in hosts.iter().flat_map(|hosts| loads.iter().map(move |loads| (*hosts, loads))) {
        let outcomes = run_seeds(hosts, &three_priorities(*loads), false);
        let first_come = total(&run_seeds(hosts, &three_priorities(*loads), true));
        let (shares, all) = (shares(&outcomes), total(&outcomes));
        let case = format!(
            "{hosts} hosts, {loads:?}: in time {shares:.3?}, together {:.3}, first come {:.3}; served {:.3}, first come \
             {:.3}; latest refusal {:?}, {:?}",
            all.in_time_share(),
            first_come.in_time_share(),
            all.served_share(),
            first_come.served_share(),
            all.latest_refusal,
            all.refused
        );
        println!("{case}");
        check(&case, loads, &outcomes, &first_come);
    }
}

/// Requests were served by chance, whatever their priority, when all together exceeded the capacity.
#[test]
fn higher_priorities_served_first() {
    check_loads(&HOSTS, &LOADS, |case, _, outcomes, first_come| {
        let (shares, all) = (shares(outcomes), total(outcomes));
        assert!(shares.is_sorted_by(|higher, lower| higher + NOISE >= *lower), "{case}");
        assert!(all.in_time_share() + NOISE >= first_come.in_time_share(), "{case}");
        assert!(all.latest_refusal < TIMEOUT.mul_f64(0.9), "a refusal was held back: {case}");
    });
}

/// Urgent requests missed their objective because of lower priorities, while they used less than half of the capacity.
///
/// With more hosts, each sending a few requests per second, the rate of one host can't reach this: it knows nothing of
/// the demand at the others.
#[test]
fn urgent_served_while_they_fit_before_few_hosts() {
    check_loads(&FEW_HOSTS, &LOADS.map(|[_, middle, low]| [0.4, middle, low]), |case, _, outcomes, _| {
        assert!(outcomes[0].in_time_share() >= 0.95, "{case}");
    });
}

/// As above, with half of the capacity and more.
#[test]
fn urgent_served_while_they_nearly_fill_capacity() {
    check_loads(&FEW_HOSTS, &[[0.5, 0.5, 1.0], [0.7, 0.5, 0.8]], |case, _, outcomes, _| {
        assert!(outcomes[0].in_time_share() >= 0.95, "{case}");
    });
}

/// Requests were refused though all together needed half of the capacity.
#[test]
fn none_refused_with_capacity() {
    check_loads(&HOSTS, &[[0.2, 0.2, 0.1]], |case, _, outcomes, _| {
        assert!(total(outcomes).refused.is_empty(), "{case}");
    });
}

/// An account that sent ten times its share took the turns of the others.
#[test]
fn light_account_served_beside_heavy_one() {
    for hosts in FEW_HOSTS {
        for heavy in [0.5, 1.0, 2.0, 3.5] {
            let demand = |account, load| Demand { priority: 1, account, load };
            let demands = [demand("light", 0.15), demand("heavy", heavy)];
            let shares = shares(&run_seeds(hosts, &demands, false));
            println!("{hosts} hosts, heavy account {heavy}: in time {shares:.3?}");
            assert!(shares[0] >= 0.95, "{hosts} hosts, heavy account {heavy}: {shares:?}");
        }
    }
}
