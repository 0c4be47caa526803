//! Names of accounts, availability zones, endpoints and models, as shared immutable strings.

mod model_binding;

use std::sync::Arc;

pub use model_binding::ModelBinding;

/// A name of any kind, as a shared immutable string.
pub type Name = Arc<str>;

/// The name of a client account.
pub type AccountName = Name;

/// The name of an availability zone.
pub type ZoneName = Name;

/// The identifier of an endpoint, unique across all sites.
pub type EndpointId = Name;
