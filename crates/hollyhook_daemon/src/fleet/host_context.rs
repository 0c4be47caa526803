use std::sync::{Arc, Mutex};

use hollyhook_core::{CursorSeal, Name, Result, RetryBudget, ZoneName};
use hollyhook_kernel::{Mailbox, ServiceRegistry, TimerService};
use hollyhook_settings::{ProcessSettings, SiteSettings};
use hollyhook_wire::EngineClient;

use super::{CancelOrder, FleetTable, ProbeService, ResumeService};
use crate::call::ClaimService;
use crate::relay::TraceStore;
use hollyhook_telemetry::MetricRecorder;

/// The services that a request needs, found by name once.
#[derive(Debug)]
pub(crate) struct HostContext {
    pub(crate) host: Name,
    pub(crate) zone: ZoneName,
    pub(crate) site: Arc<SiteSettings>,
    pub(crate) timer: Arc<TimerService>,
    pub(crate) recorder: Arc<MetricRecorder>,
    pub(crate) fleet: Arc<FleetTable>,
    pub(crate) seal: Arc<CursorSeal>,
    pub(crate) cancels: Arc<Mailbox<CancelOrder>>,
    pub(crate) resumes: Arc<ResumeService>,
    pub(crate) probes: Arc<ProbeService>,
    pub(crate) retries: Arc<Mutex<RetryBudget>>,
    pub(crate) claims: Arc<ClaimService>,
    pub(crate) traces: Arc<TraceStore>,
    pub(crate) keeps_traces: bool,
    pub(crate) engine: EngineClient,
}

impl HostContext {
    /// The name of the cursor seal's service.
    pub(crate) const SEAL: &'static str = "cursors";
    /// The name of the retry budget's service.
    pub(crate) const RETRIES: &'static str = "retries";
    /// The name of the site's settings.
    pub(crate) const SITE: &'static str = "site";

    pub(crate) fn find(registry: &ServiceRegistry, settings: &ProcessSettings, engine: EngineClient) -> Result<Self> {
        Ok(Self {
            host: Name::clone(&settings.host),
            zone: ZoneName::clone(&settings.zone),
            site: registry.find(Self::SITE)?,
            timer: registry.find(TimerService::NAME)?,
            recorder: registry.find(MetricRecorder::NAME)?,
            fleet: registry.find(FleetTable::NAME)?,
            seal: registry.find(Self::SEAL)?,
            cancels: registry.find(CancelOrder::SERVICE)?,
            resumes: registry.find(ResumeService::NAME)?,
            probes: registry.find(ProbeService::NAME)?,
            retries: registry.find(Self::RETRIES)?,
            claims: registry.find(ClaimService::NAME)?,
            traces: registry.find(TraceStore::NAME)?,
            keeps_traces: settings.keeps_traces,
            engine,
        })
    }
}
