use std::net::SocketAddr;

use hollyhook_core::{StopPlan, TimePoint};
use hollyhook_settings::{GatewayBounds, GatewaySettings};

/// The settings that may change while the process runs, and the stop that follows from them.
#[derive(Debug)]
pub(super) struct LiveSettings {
    pub(super) bounds: GatewayBounds,
    pub(super) store: SocketAddr,
    pub(super) stop_began_at: Option<TimePoint>,
}

impl LiveSettings {
    pub(super) fn stop_plan(&self) -> StopPlan {
        StopPlan::new(self.bounds.grace)
    }
}

impl From<&GatewaySettings> for LiveSettings {
    fn from(settings: &GatewaySettings) -> Self {
        Self { bounds: settings.bounds.clone(), store: settings.store, stop_began_at: None }
    }
}
