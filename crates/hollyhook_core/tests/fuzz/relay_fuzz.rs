use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use crate::harness::{Tally, fuzz};
use crate::relay_simulation::{ENGINES, RelaySimulation, Step};

/// The number of sequences that CI runs.
const CASES: u32 = 8_000;

/// Sequences of random steps. The caller in the simulation is the oracle, so the reference state is only `is_greedy`.
struct RelaySteps;

impl ReferenceStateMachine for RelaySteps {
    type State = bool;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<bool> {
        any::<bool>().boxed()
    }

    fn transitions(_state: &bool) -> BoxedStrategy<Step> {
        let engine = || 0..ENGINES;
        prop_oneof![
            12 => engine().prop_map(Step::Produce),
            16 => Just(Step::Deliver),
            3 => Just(Step::DeliverOther),
            8 => Just(Step::AnswerSearch),
            4 => Just(Step::AnswerProbe),
            1 => Just(Step::DropProbes),
            6 => prop_oneof![4 => Just(10), 4 => Just(60), 4 => Just(300), 4 => Just(1_100), 1 => Just(4_500)].prop_map(Step::Advance),
            3 => engine().prop_map(Step::Kill),
            1 => engine().prop_map(Step::Revive),
            1 => engine().prop_map(Step::Pause),
            1 => engine().prop_map(Step::Unpause),
            1 => engine().prop_map(Step::MarkFull),
            1 => engine().prop_map(Step::MarkFree),
            1 => Just(Step::Silence),
            1 => Just(Step::Cut),
            1 => Just(Step::Truncate),
            1 => Just(Step::Double),
            1 => Just(Step::Swap),
            1 => Just(Step::HostDies),
            1 => Just(Step::HostPauses),
            1 => Just(Step::FormerHostResumes),
            2 => Just(Step::CallerReconnects),
        ]
        .boxed()
    }

    fn apply(state: bool, _transition: &Step) -> bool {
        state
    }
}

struct RelayTest;

impl StateMachineTest for RelayTest {
    type SystemUnderTest = RelaySimulation;
    type Reference = RelaySteps;

    fn init_test(ref_state: &bool) -> RelaySimulation {
        RelaySimulation::new(*ref_state, TALLY.with(Tally::clone))
    }

    fn apply(mut state: RelaySimulation, _ref_state: &bool, transition: Step) -> RelaySimulation {
        state.apply(transition);
        state
    }

    fn teardown(mut state: RelaySimulation, _ref_state: bool) {
        state.run_to_end();
        assert!(state.is_done());
    }
}

thread_local! {
    static TALLY: Tally = Tally::default();
}

/// The caller gets each token once, in order and from one sample, and one true final answer, at the latest when the
/// faults have ended.
///
/// docs/PROOFS.md lists the defects that were injected into the relay, and how this test detected each.
#[test]
fn relay_under_faults() {
    let strategy = RelaySteps::sequential_strategy(1..70);
    fuzz("relay", CASES, &strategy, |(is_greedy, steps, seen)| {
        RelayTest::test_sequential(ProptestConfig::default(), is_greedy, steps, seen);
    });
    TALLY.with(|tally| {
        tally.assert_covered(
            "relay",
            &[
                "Kill",
                "Pause",
                "Silence",
                "Cut",
                "Truncate",
                "Double",
                "Swap",
                "HostDies",
                "HostPauses",
                "resumed",
                "reattached",
                "replayed",
                "stale_dropped",
                "duplicate_dropped",
                "gap_found",
                "probe_waited",
                "silence_suspected",
                "reset_seen",
                "refusal_seen",
                "connect_failed",
                "search_failed",
                "return attaches",
                "return replays",
                "end Whole",
                "end Failed(GenerationDiverged)",
                "end Failed(GenerationLost)",
                "end Failed(NoEndpoint)",
            ],
        );
    });
}

/// The relay handles the disconnect of its caller after any sequence of steps.
#[test]
fn relay_caller_disconnects() {
    let steps = (any::<bool>(), proptest::collection::vec(RelaySteps::transitions(&true), 1..40));
    fuzz("relay, caller disconnects", 1_000, &steps, |(is_greedy, steps)| {
        let mut simulation = RelaySimulation::new(is_greedy, Tally::default());
        for step in steps {
            simulation.apply(step);
        }
        simulation.apply(Step::CallerDisconnects);
        simulation.run_to_end();
    });
}
