//! Settings in INI files: one file for each process, a base file for all sites and an overlay file for each site.
//!
//! A file, or a base with its overlay, is checked as a whole. Each error is reported with its file, line, section and
//! key, the problem, and a hint how to correct it.

mod file;
mod gateway;
mod process;
mod site;
mod value;

pub use file::{SettingError, SettingErrors, SettingFile};
pub use gateway::{GatewayBounds, GatewaySettings, QueueSettings, RetryBounds};
pub use process::{LogFormat, ProcessSettings};
pub use site::{
    AccountSettings, EndpointSettings, GenerationSettings, LimitSettings, PlainSettings, RequestClass, ServiceKind,
    ServiceSettings, SiteSettings, key_digest,
};
