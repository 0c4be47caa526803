//! A registry of services by name, and mailboxes for messages to services.

mod mailbox;
mod service_registry;

pub use mailbox::Mailbox;
pub use service_registry::ServiceRegistry;
