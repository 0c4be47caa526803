//! Stateful fuzzing of the decision logic against simple oracles that share no code with it.
//!
//! CI runs fixed seeds. Each run prints its seed, with which it can be repeated. A longer run with another seed:
//! `HOLLYHOOK_FUZZ_CASES=100000 HOLLYHOOK_FUZZ_SEED=7 cargo test --release -p hollyhook_core --test fuzz -- --nocapture`

mod call_fuzz;
mod cursor_fuzz;
mod gate_fuzz;
mod harness;
mod relay_cases;
mod relay_fuzz;
mod relay_simulation;
mod route_fuzz;
mod store_fuzz;
mod stream_fuzz;
