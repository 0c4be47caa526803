use std::net::SocketAddr;

use hollyhook_core::{StopPlan, TimePoint};
use hollyhook_settings::{GatewayBounds, GatewaySettings};

/// The settings that may change while the process runs, and the stop that follows from them.
#[derive(Debug)]
pub(super) struct LiveSettings {
    pub(super) bounds: GatewayBounds,
    pub(super) store: SocketAddr,
    pub(super) stop_ordered: Option<TimePoint>,
}

impl LiveSettings {
    pub(super) fn stop(&self) -> StopPlan {
        StopPlan::new(self.bounds.grace)
    }
}

impl From<&GatewaySettings> for LiveSettings {
    fn from(settings: &GatewaySettings) -> Self {
        Self { bounds: settings.bounds.clone(), store: settings.store, stop_ordered: None }
    }
}
