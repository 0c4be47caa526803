//! Estimates how fast endpoints work, and when a stream should continue at a faster one.

mod engine_speed;
mod migration_gate;
mod migration_plan;
mod progress_meter;

pub use engine_speed::EngineSpeed;
pub use migration_gate::MigrationGate;
pub use migration_plan::MigrationPlan;
pub use progress_meter::ProgressMeter;
