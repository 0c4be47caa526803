//! A model engine: continuous batching, a prefix cache, priorities, resume, attach, cancel and lagged load.

mod engine_batch;
mod engine_options;
mod engine_shared;
mod engine_stand_in;
mod prefix_cache;
mod sequence;
mod stream_pump;
mod token_chain;

pub use engine_batch::EngineCounts;
pub use engine_options::EngineOptions;
pub use engine_stand_in::EngineStandIn;
pub use token_chain::TokenChain;
