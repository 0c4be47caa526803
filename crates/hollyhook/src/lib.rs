//! hollyhook serves long language-model generations on engines that may fail.
//!
//! The two binaries are `hollyhookd`, the daemon of an entry host, and `hollyhook`, the operator's command. This
//! package only builds them; the packages that it depends on implement them.

pub use hollyhook_command::{CommandArgs, run_command};
pub use hollyhook_daemon::Daemon;
pub use hollyhook_gateway::Gateway;
pub use hollyhook_settings::{GatewaySettings, ProcessSettings, SiteSettings};
