//! Finding services by name and sending them messages.

mod mailbox;
mod service_registry;

pub use mailbox::Mailbox;
pub use service_registry::ServiceRegistry;
