use std::sync::{Arc, Mutex};

use hollyhook_core::{CursorSeal, Name, Result, RetryBudget, ZoneName};
use hollyhook_kernel::{Mailbox, ServiceRegistry, TimerService};
use hollyhook_settings::{ProcessSettings, SiteSettings};
use hollyhook_wire::EngineClient;

use super::{CancelCommand, FleetTable, ProbeService, ResumeService};
use crate::call::ClaimService;
use crate::relay::TraceStore;
use hollyhook_telemetry::MetricRecorder;

/// The services that requests use, looked up by name once at start-up.
#[derive(Debug)]
pub(crate) struct HostContext {
    pub(crate) host: Name,
    pub(crate) zone: ZoneName,
    pub(crate) site: Arc<SiteSettings>,
    pub(crate) timer: Arc<TimerService>,
    pub(crate) recorder: Arc<MetricRecorder>,
    pub(crate) fleet: Arc<FleetTable>,
    pub(crate) seal: Arc<CursorSeal>,
    pub(crate) cancels: Arc<Mailbox<CancelCommand>>,
    pub(crate) resumes: Arc<ResumeService>,
    pub(crate) probes: Arc<ProbeService>,
    pub(crate) retry_budget: Arc<Mutex<RetryBudget>>,
    pub(crate) claims: Arc<ClaimService>,
    pub(crate) traces: Arc<TraceStore>,
    pub(crate) keeps_traces: bool,
    pub(crate) engine: EngineClient,
}

impl HostContext {
    /// The name that the cursor seal is registered under.
    pub(crate) const SEAL: &'static str = "cursors";
    /// The name that the retry budget is registered under.
    pub(crate) const RETRY_BUDGET: &'static str = "retries";
    /// The name that the site's settings are registered under.
    pub(crate) const SITE: &'static str = "site";

    /// Looks up all services in the registry.
    pub(crate) fn from_registry(
        registry: &ServiceRegistry,
        settings: &ProcessSettings,
        engine: EngineClient,
    ) -> Result<Self> {
        Ok(Self {
            host: Name::clone(&settings.host),
            zone: ZoneName::clone(&settings.zone),
            site: registry.find(Self::SITE)?,
            timer: registry.find(TimerService::NAME)?,
            recorder: registry.find(MetricRecorder::NAME)?,
            fleet: registry.find(FleetTable::NAME)?,
            seal: registry.find(Self::SEAL)?,
            cancels: registry.find(CancelCommand::MAILBOX)?,
            resumes: registry.find(ResumeService::NAME)?,
            probes: registry.find(ProbeService::NAME)?,
            retry_budget: registry.find(Self::RETRY_BUDGET)?,
            claims: registry.find(ClaimService::NAME)?,
            traces: registry.find(TraceStore::NAME)?,
            keeps_traces: settings.keeps_traces,
            engine,
        })
    }
}
