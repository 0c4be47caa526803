//! Copies of runs under a load that fills the engines' memory, played without a network.

use hollyhook_core::{EndpointRecord, EngineCandidate, EngineReport, choose_backup_engine, choose_engine};

const ENGINES: usize = 16;
const TOTAL: u64 = 88_000;
const NEEDED: u64 = 9_000;
/// Ticks of a tenth of a second that a run takes.
const LIFE: usize = 80;
const TICKS: usize = 600;

/// What a run takes until when: at its engine, and at the one that holds its copy.
struct Run {
    engine: usize,
    copy: Option<usize>,
    ends: usize,
}

#[derive(Debug, Default, PartialEq)]
struct Outcome {
    begun: usize,
    copied: usize,
    /// Ticks that requests waited for memory, over all of them.
    waited: usize,
}

fn candidate(engine: usize, runs: &[Run], waiting: usize) -> EngineCandidate {
    let held = |run: &&Run| usize::from(run.engine == engine) + usize::from(run.copy == Some(engine));
    let places: usize = runs.iter().map(|run| held(&run)).sum();
    let address = ([10, 0, 0, 1], engine as u16).into();
    let record =
        EndpointRecord::new(format!("e{engine}").into(), "model".into(), format!("z{}", engine % 4).into(), address);
    let used_tokens = places as u64 * NEEDED;
    let report = EngineReport { waiting: waiting as u32, used_tokens, total_tokens: TOTAL, ..EngineReport::default() };
    EngineCandidate { record, report: Some(report), held_tokens: 0 }
}

/// Plays arrivals of so many requests each ten ticks; `copy` chooses among the engines of other zones.
fn play(
    each_second: usize,
    copy: impl for<'c> Fn(&'c [EngineCandidate], u64) -> Option<&'c EngineCandidate>,
) -> Outcome {
    let mut runs: Vec<Run> = Vec::new();
    let mut queue = 0;
    let mut outcome = Outcome::default();
    for tick in 0..TICKS {
        runs.retain(|run| run.ends > tick);
        queue += (tick + 1) * each_second / 10 - tick * each_second / 10;
        while queue > 0 {
            let all: Vec<EngineCandidate> = (0..ENGINES).map(|engine| candidate(engine, &runs, 0)).collect();
            let freest = all.iter().min_by_key(|known| known.report.as_ref().unwrap().used_tokens).unwrap();
            if freest.report.as_ref().unwrap().used_tokens + NEEDED > TOTAL {
                break;
            }
            let engine = number(freest);
            let waiting = (queue - 1).div_ceil(ENGINES);
            let others = (0..ENGINES).filter(|other| other % 4 != engine % 4);
            let others: Vec<EngineCandidate> = others.map(|other| candidate(other, &runs, waiting)).collect();
            let copy = copy(&others, NEEDED).map(number);
            outcome.begun += 1;
            outcome.copied += usize::from(copy.is_some());
            runs.push(Run { engine, copy, ends: tick + LIFE });
            queue -= 1;
        }
        outcome.waited += queue;
    }
    outcome
}

fn number(candidate: &EngineCandidate) -> usize {
    candidate.record.id[1..].parse().unwrap()
}

/// Each run has a copy where memory is plenty.
#[test]
fn copies_made_for_all_with_room() {
    let outcome = play(5, |engines, tokens| choose_backup_engine(engines, tokens));
    assert_eq!((outcome.copied, outcome.waited), (outcome.begun, 0));
}

/// Where runs alone take most of the memory, they wait for that of copies for less than a tick in the mean.
#[test]
fn copies_yield_to_prompts() {
    let always = play(14, |engines, tokens| choose_engine(engines, tokens));
    assert!(always.waited > 10 * TICKS, "copies for all leave too little memory: {always:?}");
    let yielding = play(14, |engines, tokens| choose_backup_engine(engines, tokens));
    assert!(yielding.waited < yielding.begun, "{yielding:?}");
    assert_eq!(yielding.begun, 14 * TICKS / 10, "all that came");
    assert!(always.begun < yielding.begun * 3 / 4, "{always:?}");
    assert!(yielding.copied > 0, "what is spare is used: {yielding:?}");
}
