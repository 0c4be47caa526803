//! The microkernel: a registry of services by name, mailboxes for messages between services, and the timer service.
//!
//! Tests can register a [`TimerService`] with a [`VirtualClock`], which advances only when the test advances it.

mod registry;
mod timer;

pub use registry::{Mailbox, ServiceRegistry};
pub use timer::{SystemClock, TimerService, VirtualClock};
