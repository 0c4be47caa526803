//! A timer service with a real or a virtual clock.

mod clock;
mod timer_service;

pub use clock::{SystemClock, VirtualClock};
pub use timer_service::TimerService;
