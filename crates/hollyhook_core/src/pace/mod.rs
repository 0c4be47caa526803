//! Estimates how fast endpoints work.

mod engine_speed;

pub use engine_speed::EngineSpeed;
