//! Stand-in of a model engine with continuous batching, a prefix cache and request priorities.
//!
//! The engine resumes generations of other engines, lets clients attach to a running generation or cancel it, and
//! reports its load with a lag.

mod engine_batch;
mod engine_options;
mod engine_shared;
mod engine_stand_in;
mod prefix_cache;
mod sequence;
mod stream_task;
mod token_chain;

pub use engine_batch::EngineCounts;
pub use engine_options::EngineOptions;
pub use engine_stand_in::EngineStandIn;
pub use token_chain::TokenChain;
