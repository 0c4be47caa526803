//! Estimates how fast endpoints work, and when a stream should continue at a faster one.

mod endpoint_pace;
mod engine_speed;
mod load_trend;
mod log_average;
mod migration_gate;
mod migration_plan;
mod network_time;
mod pace_change;
mod progress_meter;
mod service_pace;

pub use endpoint_pace::EndpointPace;
pub use engine_speed::EngineSpeed;
pub(crate) use load_trend::LoadTrend;
pub use migration_gate::MigrationGate;
pub use migration_plan::MigrationPlan;
pub(crate) use network_time::NetworkTime;
pub use pace_change::PaceChange;
pub use progress_meter::ProgressMeter;
pub use service_pace::ServicePace;
