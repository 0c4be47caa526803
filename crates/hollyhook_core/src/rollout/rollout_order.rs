use std::time::Duration;

use crate::Name;

/// The operator's order to move a service to endpoints of another version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: Name,
    /// The version that its endpoints are to have.
    pub target: Name,
    /// How long after the order it has to be decided.
    pub duration: Duration,
}

/// How far a roll-out is. It only goes forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RolloutState {
    /// The target gets a small share of the requests.
    Trial,
    /// The target gets all new requests; what runs at endpoints of other versions ends there.
    Moving,
    /// The target has been taken over; endpoints of other versions stop.
    Completed,
    /// The target gets nothing.
    RolledBack,
}

impl RolloutState {
    /// Whether it is decided.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    /// A short name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Trial => "trial",
            Self::Moving => "moving",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        }
    }
}
