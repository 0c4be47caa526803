use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use crate::harness::{Tally, fuzz};
use crate::relay_simulation::{ENGINES, Step, World};

/// Sequences in CI.
const CASES: u32 = 8_000;

/// Any step may come at any time; the oracle is the world's caller, so there is no state to refer to.
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
            3 => Just(Step::DeliverOld),
            8 => Just(Step::AnswerSearch),
            4 => Just(Step::AnswerProbe),
            1 => Just(Step::LoseProbe),
            6 => prop_oneof![4 => Just(10), 4 => Just(60), 4 => Just(300), 4 => Just(1_100), 1 => Just(4_500)].prop_map(Step::Advance),
            3 => engine().prop_map(Step::Kill),
            1 => engine().prop_map(Step::Revive),
            1 => engine().prop_map(Step::Pause),
            1 => engine().prop_map(Step::Wake),
            1 => engine().prop_map(Step::Fill),
            1 => engine().prop_map(Step::Empty),
            1 => Just(Step::Silence),
            1 => Just(Step::Cut),
            1 => Just(Step::Truncate),
            1 => Just(Step::Double),
            1 => Just(Step::Swap),
            1 => Just(Step::HostDies),
            1 => Just(Step::HostPauses),
            1 => Just(Step::OldHostActs),
            2 => Just(Step::CallerReturns),
        ]
        .boxed()
    }

    fn apply(state: bool, _transition: &Step) -> bool {
        state
    }
}

struct RelayTest;

impl StateMachineTest for RelayTest {
    type SystemUnderTest = World;
    type Reference = RelaySteps;

    fn init_test(ref_state: &bool) -> World {
        World::new(*ref_state, TALLY.with(Tally::clone))
    }

    fn apply(mut state: World, _ref_state: &bool, transition: Step) -> World {
        state.apply(transition);
        state
    }

    fn teardown(mut state: World, _ref_state: bool) {
        state.settle();
        assert!(state.is_done());
    }
}

thread_local! {
    static TALLY: Tally = Tally::default();
}

/// Every token once, in order, of one generation; one truthful end; and an end at all once the faults are over.
///
/// Faults put into the relay by hand that it caught, and how, are listed in docs/PROOFS.md.
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

/// A caller who leaves has its work cancelled, whatever else happens, and hears nothing more.
#[test]
fn relay_caller_leaves() {
    let steps = (any::<bool>(), proptest::collection::vec(RelaySteps::transitions(&true), 1..40));
    fuzz("relay, caller leaves", 1_000, &steps, |(is_greedy, steps)| {
        let mut world = World::new(is_greedy, Tally::default());
        for step in steps {
            world.apply(step);
        }
        world.apply(Step::CallerLeaves);
        world.settle();
    });
}
