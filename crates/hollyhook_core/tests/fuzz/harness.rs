use std::collections::BTreeMap;
use std::fmt::Debug;
use std::sync::{Arc, Mutex};

use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngSeed, TestRunner};

/// Counts how often each fault occurred and each path was taken, over all sequences of a run.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    counts: Arc<Mutex<BTreeMap<String, u64>>>,
}

impl Tally {
    pub fn count(&self, what: impl Into<String>) {
        *self.counts.lock().unwrap().entry(what.into()).or_default() += 1;
    }

    /// Prints all counts and asserts that each needed fault and path occurred.
    pub fn assert_covered(&self, name: &str, needed: &[&str]) {
        let counts = self.counts.lock().unwrap();
        println!("{name}: {counts:?}");
        for what in needed {
            assert!(counts.get(*what).copied().unwrap_or_default() > 0, "{name}: `{what}` did not occur");
        }
    }
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Runs `check` on `cases` sequences drawn from `strategy` with a fixed seed.
///
/// The environment variables `HOLLYHOOK_FUZZ_CASES` and `HOLLYHOOK_FUZZ_SEED` override the number and the seed.
pub fn fuzz<S: Strategy>(name: &str, cases: u32, strategy: &S, check: impl Fn(S::Value))
where
    S::Value: Debug,
{
    const FIXED_SEED: u64 = 20_261_202;
    let seed = env_number("HOLLYHOOK_FUZZ_SEED").unwrap_or(FIXED_SEED);
    let cases = env_number("HOLLYHOOK_FUZZ_CASES").map_or(cases, |cases| cases as u32);
    println!("{name}: {cases} sequences, HOLLYHOOK_FUZZ_SEED={seed}");
    let config = Config { cases, rng_seed: RngSeed::Fixed(seed), failure_persistence: None, ..Config::default() };
    let outcome = TestRunner::new(config).run(strategy, |value| {
        check(value);
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{name}, HOLLYHOOK_FUZZ_SEED={seed}: {error}");
    }
}
