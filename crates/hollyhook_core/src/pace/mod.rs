//! Estimates how fast endpoints work.

mod endpoint_pace;
mod engine_speed;
mod load_trend;
mod log_average;
mod network_time;
mod pace_change;
mod service_pace;

pub use endpoint_pace::EndpointPace;
pub use engine_speed::EngineSpeed;
pub(crate) use load_trend::LoadTrend;
pub(crate) use network_time::NetworkTime;
pub use pace_change::PaceChange;
pub use service_pace::ServicePace;
