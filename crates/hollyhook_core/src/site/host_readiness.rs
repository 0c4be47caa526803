use crate::StopPhase;

/// What a host that is not ready for callers waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadinessWait {
    /// A configuration.
    Configuration,
    /// Enough endpoints to serve callers.
    Endpoints,
    /// A confirmation that its configuration is the newest.
    Confirmation,
    /// The end of its graceful shutdown.
    Shutdown,
}

impl ReadinessWait {
    /// What is waited for, in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Endpoints => "endpoints",
            Self::Confirmation => "confirmation",
            Self::Shutdown => "shutdown",
        }
    }
}

/// What decides whether a host is ready for callers.
///
/// ```
/// use hollyhook_core::{HostReadiness, ReadinessWait, StopPhase};
///
/// let starting = HostReadiness { has_site: true, ..HostReadiness::default() };
/// assert_eq!(starting.wait(StopPhase::Serving), Some(ReadinessWait::Endpoints));
/// let ready = HostReadiness { has_site: true, has_endpoints: true, is_site_current: true };
/// assert_eq!(ready.wait(StopPhase::Serving), None);
/// assert_eq!(ready.wait(StopPhase::Leaving), Some(ReadinessWait::Shutdown));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HostReadiness {
    /// Whether a configuration has been read.
    pub has_site: bool,
    /// Whether enough endpoints have been read to serve callers.
    pub has_endpoints: bool,
    /// Whether the configuration was confirmed recently enough to accept API keys.
    pub is_site_current: bool,
}

impl HostReadiness {
    /// What the host waits for in a phase of its shutdown; `None` if it is ready.
    pub fn wait(self, phase: StopPhase) -> Option<ReadinessWait> {
        if phase != StopPhase::Serving {
            return Some(ReadinessWait::Shutdown);
        }
        if !self.has_site {
            return Some(ReadinessWait::Configuration);
        }
        if !self.has_endpoints {
            return Some(ReadinessWait::Endpoints);
        }
        (!self.is_site_current).then_some(ReadinessWait::Confirmation)
    }
}
