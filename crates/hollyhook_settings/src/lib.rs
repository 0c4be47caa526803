//! Settings in INI: a file for each process, a base for all sites and an overlay for each site.
//!
//! Everything is checked as a whole, and every error is reported with file, line, section and key, what was wrong
//! and what would be right.

mod file;
mod gateway;
mod process;
mod site;
mod value;

pub use file::{SettingError, SettingErrors, SettingFile};
pub use gateway::{GatewayBounds, GatewaySettings, RetryBounds};
pub use process::{LogFormat, ProcessSettings};
pub use site::{
    AccountSettings, EndpointSettings, GenerationSettings, LimitSettings, PlainSettings, RequestClass, ServiceKind,
    ServiceSettings, SiteSettings, key_digest,
};
