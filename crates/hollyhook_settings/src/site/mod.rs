//! Settings shared by all hosts of a site: the base file, with the values of the site's overlay file taking precedence.

mod account_settings;
mod endpoint_settings;
mod limit_settings;
mod service_settings;
mod site_parser;
mod site_settings;

pub use account_settings::{AccountSettings, key_digest};
pub use endpoint_settings::EndpointSettings;
pub use limit_settings::LimitSettings;
pub use service_settings::{GenerationSettings, PlainSettings, RequestClass, ServiceKind, ServiceSettings};
pub use site_settings::SiteSettings;
