//! The micro-kernel: services registered under a name, found by name, with messages between them.
//!
//! The [`TimerService`] is one of them; tests register a virtual one that moves only when told to.

mod registry;
mod timer;

pub use registry::{Mailbox, ServiceRegistry};
pub use timer::{SystemClock, TimerService, VirtualClock};
