use std::collections::BTreeMap;
use std::fmt::Debug;
use std::sync::{Arc, Mutex};

use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngSeed, TestRunner};

/// How often each fault happened and each path was taken, over all sequences of a run.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    counts: Arc<Mutex<BTreeMap<String, u64>>>,
}

impl Tally {
    pub fn count(&self, what: impl Into<String>) {
        *self.counts.lock().unwrap().entry(what.into()).or_default() += 1;
    }

    /// Prints all counts, and asserts that what the fuzz is for did happen.
    pub fn assert_covered(&self, name: &str, needed: &[&str]) {
        let counts = self.counts.lock().unwrap();
        println!("{name}: {counts:?}");
        for what in needed {
            assert!(counts.get(*what).copied().unwrap_or_default() > 0, "{name}: `{what}` never happened");
        }
    }
}

fn setting(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Runs `judge` on sequences drawn from `strategy`: `cases` of them with a fixed seed, or as the environment says.
pub fn fuzz<S: Strategy>(name: &str, cases: u32, strategy: &S, judge: impl Fn(S::Value))
where
    S::Value: Debug,
{
    const FIXED_SEED: u64 = 20_261_202;
    let seed = setting("HOLLYHOOK_FUZZ_SEED").unwrap_or(FIXED_SEED);
    let cases = setting("HOLLYHOOK_FUZZ_CASES").map_or(cases, |cases| cases as u32);
    println!("{name}: {cases} sequences, HOLLYHOOK_FUZZ_SEED={seed}");
    let config = Config { cases, rng_seed: RngSeed::Fixed(seed), failure_persistence: None, ..Config::default() };
    let outcome = TestRunner::new(config).run(strategy, |value| {
        judge(value);
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{name}, HOLLYHOOK_FUZZ_SEED={seed}: {error}");
    }
}
