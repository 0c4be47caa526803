use std::fmt;

use serde::{Deserialize, Serialize};

use super::Name;

/// The exact weights that a generation is bound to.
///
/// A generation is resumed only on an endpoint that serves an equal binding, since another version or adapter
/// would continue with tokens of another generation.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ModelBinding {
    /// The model's name as callers write it.
    pub model: Name,
    /// The version of the weights.
    pub version: Name,
    /// The adapter loaded on top, if any.
    pub adapter: Option<Name>,
}

impl ModelBinding {
    /// A binding without an adapter.
    pub fn new(model: impl Into<Name>, version: impl Into<Name>) -> Self {
        Self { model: model.into(), version: version.into(), adapter: None }
    }

    /// The same binding with an adapter.
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
