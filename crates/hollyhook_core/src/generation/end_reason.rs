use std::fmt;

use serde::{Deserialize, Serialize};

/// Why an engine ended a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// The model ended the output itself.
    Stop,
    /// The output reached the requested number of tokens.
    Length,
}

impl fmt::Display for EndReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Stop => "stop",
            Self::Length => "length",
        })
    }
}
