//! Backups of runs under a load that fills the engines' memory, simulated without a network.

use hollyhook_core::{EndpointRecord, EngineCandidate, EngineReport, EngineSpeed, choose_backup_engine, choose_engine};

const ENGINES: usize = 16;
const ENGINE_TOKENS: u64 = 88_000;
const RUN_TOKENS: u64 = 9_000;
/// The duration of a run, in ticks of 100 ms.
const RUN_TICKS: usize = 80;
const TICKS: usize = 600;

/// A run that takes memory at its engine, and at the engine that holds its backup, until it ends.
struct Run {
    engine: usize,
    backup: Option<usize>,
    end_tick: usize,
}

#[derive(Debug, Default, PartialEq)]
struct Outcome {
    started: usize,
    backed_up: usize,
    /// The sum over all requests of the ticks that they waited for memory.
    waited_ticks: usize,
}

fn candidate(engine: usize, runs: &[Run], waiting: usize) -> EngineCandidate {
    let held = |run: &&Run| usize::from(run.engine == engine) + usize::from(run.backup == Some(engine));
    let held_runs: usize = runs.iter().map(|run| held(&run)).sum();
    let address = ([10, 0, 0, 1], engine as u16).into();
    let record =
        EndpointRecord::new(format!("e{engine}").into(), "model".into(), format!("z{}", engine % 4).into(), address);
    let used_tokens = held_runs as u64 * RUN_TOKENS;
    let report =
        EngineReport { waiting: waiting as u32, used_tokens, total_tokens: ENGINE_TOKENS, ..EngineReport::default() };
    EngineCandidate { record, report: Some(report), held_tokens: 0, speed: EngineSpeed::default() }
}

/// Simulates the arrival of `requests_per_second`; `choose_backup` chooses among the engines of other zones.
fn simulate(
    requests_per_second: usize,
    choose_backup: impl for<'c> Fn(&'c [EngineCandidate], u64) -> Option<&'c EngineCandidate>,
) -> Outcome {
    let mut runs: Vec<Run> = Vec::new();
    let mut queue = 0;
    let mut outcome = Outcome::default();
    for tick in 0..TICKS {
        runs.retain(|run| run.end_tick > tick);
        queue += (tick + 1) * requests_per_second / 10 - tick * requests_per_second / 10;
        while queue > 0 {
            let all: Vec<EngineCandidate> = (0..ENGINES).map(|engine| candidate(engine, &runs, 0)).collect();
            let freest = all.iter().min_by_key(|known| known.report.as_ref().unwrap().used_tokens).unwrap();
            if freest.report.as_ref().unwrap().used_tokens + RUN_TOKENS > ENGINE_TOKENS {
                break;
            }
            let engine = number(freest);
            let waiting = (queue - 1).div_ceil(ENGINES);
            let others = (0..ENGINES).filter(|other| other % 4 != engine % 4);
            let others: Vec<EngineCandidate> = others.map(|other| candidate(other, &runs, waiting)).collect();
            let backup = choose_backup(&others, RUN_TOKENS).map(number);
            outcome.started += 1;
            outcome.backed_up += usize::from(backup.is_some());
            runs.push(Run { engine, backup, end_tick: tick + RUN_TICKS });
            queue -= 1;
        }
        outcome.waited_ticks += queue;
    }
    outcome
}

fn number(candidate: &EngineCandidate) -> usize {
    candidate.record.id[1..].parse().unwrap()
}

/// Every run has a backup while memory is plentiful.
#[test]
fn backups_made_for_all_with_room() {
    let outcome = simulate(5, |engines, tokens| choose_backup_engine(engines, tokens));
    assert_eq!((outcome.backed_up, outcome.waited_ticks), (outcome.started, 0));
}

/// If runs alone take most of the memory, backups delay them by less than a tick on average.
#[test]
fn backups_yield_to_prompts() {
    let always = simulate(14, |engines, tokens| choose_engine(engines, tokens));
    assert!(always.waited_ticks > 10 * TICKS, "backups of all runs leave too little memory: {always:?}");
    let yielding = simulate(14, |engines, tokens| choose_backup_engine(engines, tokens));
    assert!(yielding.waited_ticks < yielding.started, "{yielding:?}");
    assert_eq!(yielding.started, 14 * TICKS / 10, "every request that arrived has started");
    assert!(always.started < yielding.started * 3 / 4, "{always:?}");
    assert!(yielding.backed_up > 0, "spare memory is used for backups: {yielding:?}");
}
