use std::time::Duration;

use crate::Name;

/// An operator's order to move a service to endpoints of another version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service to move.
    pub service: Name,
    /// The version to move the service to.
    pub target: Name,
    /// How long after the order the roll-out is to be decided.
    pub duration: Duration,
}

/// The state of a roll-out, which only moves forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RolloutState {
    /// A small share of the requests goes to the target.
    Trial,
    /// All new requests go to the target; requests that already run at endpoints of other versions finish there.
    Moving,
    /// The target has replaced the other versions, whose endpoints stop.
    Completed,
    /// No request goes to the target.
    RolledBack,
}

impl RolloutState {
    /// Whether the roll-out has been decided.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    /// The name of the state in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Trial => "trial",
            Self::Moving => "moving",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        }
    }
}
