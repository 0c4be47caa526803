use std::net::SocketAddr;

use hollyhook_core::{StopPlan, TimePoint};
use hollyhook_settings::{GatewayBounds, GatewaySettings};

/// The settings that may change while the process runs, and when its graceful shutdown began.
#[derive(Debug)]
pub(super) struct LiveSettings {
    pub(super) bounds: GatewayBounds,
    pub(super) store: SocketAddr,
    /// Number of writes a second that the store takes from all hosts together.
    pub(super) store_writes: f64,
    /// When the graceful shutdown began; `None` if it has not.
    pub(super) stop_began_at: Option<TimePoint>,
}

impl LiveSettings {
    /// The plan of a graceful shutdown within the grace period of the settings.
    pub(super) fn stop_plan(&self) -> StopPlan {
        StopPlan::new(self.bounds.grace)
    }
}

impl From<&GatewaySettings> for LiveSettings {
    fn from(settings: &GatewaySettings) -> Self {
        Self {
            bounds: settings.bounds.clone(),
            store: settings.store,
            store_writes: settings.store_writes,
            stop_began_at: None,
        }
    }
}
