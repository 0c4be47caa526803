//! Time as a service that parts subscribe to, real or virtual.

mod clock;
mod timer_service;

pub use clock::{SystemClock, VirtualClock};
pub use timer_service::TimerService;
