use std::fmt;

use serde::{Deserialize, Serialize};

use super::Name;

/// The model, version and adapter that a generation is bound to.
///
/// A generation is resumed only on an endpoint that serves an equal binding, since another version or adapter would not
/// continue the same sequence of tokens.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ModelBinding {
    /// The model's name, as callers state it.
    pub model: Name,
    /// The version of the weights.
    pub version: Name,
    /// The adapter that is loaded on top of the weights, if any.
    pub adapter: Option<Name>,
}

impl ModelBinding {
    /// A binding without an adapter.
    pub fn new(model: impl Into<Name>, version: impl Into<Name>) -> Self {
        Self { model: model.into(), version: version.into(), adapter: None }
    }

    /// Sets the adapter.
    #[must_use]
    pub fn adapter(mut self, adapter: impl Into<Name>) -> Self {
        self.adapter = Some(adapter.into());
        self
    }
}

impl fmt::Display for ModelBinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.model, self.version)?;
        match &self.adapter {
            Some(adapter) => write!(f, "+{adapter}"),
            None => Ok(()),
        }
    }
}
