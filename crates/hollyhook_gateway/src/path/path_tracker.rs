use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hollyhook_core::{ConnectOrder, EndpointGroup, HostRecord, Name, PathMonitor, Result, TunnelDirectory};
use hollyhook_kernel::{ServiceRegistry, TimerService};
use hollyhook_telemetry::MetricRecorder;

use super::EndpointTarget;
use crate::peer::FeedState;
use crate::sync::{CountGuard, CountLimit, lock};

/// Number of connections for which this host asks others at the same time without knowing that its path is lost.
///
/// An overloaded host connects slowly. Without the limit, it would ask others for each connection, which would overload
/// them and the endpoints too.
const MAX_SPECULATIONS: usize = 8;

/// This host's network paths to the endpoints, and its tunnels through other hosts.
#[derive(Debug)]
pub(crate) struct PathTracker {
    timer: Arc<TimerService>,
    recorder: Arc<MetricRecorder>,
    feed: Arc<FeedState>,
    monitor: Mutex<PathMonitor>,
    /// The groups to which the path is back, until [`take_regained`](Self::take_regained) returns them.
    regained: Mutex<Vec<EndpointGroup>>,
    tunnels: Arc<Mutex<TunnelDirectory>>,
    speculations: CountLimit,
}

/// Counts a connection through another host while it exists.
#[derive(Debug)]
pub(crate) struct TunnelLease {
    timer: Arc<TimerService>,
    tunnels: Arc<Mutex<TunnelDirectory>>,
    host: Name,
}

impl Drop for TunnelLease {
    fn drop(&mut self) {
        lock(&self.tunnels).record_closed(self.timer.now(), &self.host);
    }
}

impl PathTracker {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "paths";

    /// A tracker that has observed nothing yet.
    ///
    /// # Errors
    ///
    /// `Internal` if a service that the tracker uses is not registered.
    pub(crate) fn new(registry: &ServiceRegistry) -> Result<Self> {
        Ok(Self {
            timer: registry.find(TimerService::NAME)?,
            recorder: registry.find(MetricRecorder::NAME)?,
            feed: registry.find(FeedState::NAME)?,
            monitor: Mutex::default(),
            regained: Mutex::default(),
            tunnels: Arc::default(),
            speculations: CountLimit::new(MAX_SPECULATIONS),
        })
    }

    /// In which order to try the ways to an endpoint.
    pub(crate) fn order(&self, target: &EndpointTarget) -> ConnectOrder {
        lock(&self.monitor).order(self.timer.now(), &target.group, &target.id)
    }

    /// Records that this host opened a connection to an endpoint itself; returns whether its path had been lost.
    pub(crate) fn record_connected(&self, target: &EndpointTarget, took: Duration) -> bool {
        let group = &target.group;
        let lost_for = lock(&self.monitor).record_connected(self.timer.now(), group, &target.id, took);
        self.report_regained(target, lost_for);
        lost_for.is_some()
    }

    fn report_regained(&self, target: &EndpointTarget, lost_for: Option<Duration>) {
        let Some(lost_for) = lost_for else {
            return;
        };
        let group = &target.group;
        self.recorder.count("paths_regained");
        tracing::info!(service = %group.service, zone = %group.zone, endpoint = %target.id,
            lost_ms = lost_for.as_millis() as u64, "path.regained");
        lock(&self.regained).push(group.clone());
    }

    /// Takes the groups to which the path is back since the last call.
    pub(super) fn take_regained(&self) -> Vec<EndpointGroup> {
        std::mem::take(&mut *lock(&self.regained))
    }

    /// Records that another host reached an endpoint to which this host could open no connection; returns whether the
    /// path to its group counts as lost from now on.
    pub(crate) fn record_bypassed(&self, target: &EndpointTarget, host: &Name, group_size: usize) -> bool {
        let group = &target.group;
        let is_lost = lock(&self.monitor).record_bypassed(self.timer.now(), group, &target.id, group_size);
        if is_lost {
            self.recorder.count("paths_lost");
            tracing::warn!(service = %group.service, zone = %group.zone, endpoint = %target.id, reached_by = %host,
                "path.lost");
        }
        is_lost
    }

    /// Records that an endpoint answered another host, but not this one's new connection; returns whether the path to its
    /// group counts as lost from now on.
    pub(super) fn record_muted(&self, target: &EndpointTarget, host: &Name, group_size: usize) -> bool {
        let group = &target.group;
        let is_lost = lock(&self.monitor).record_muted(self.timer.now(), group, &target.id, group_size);
        if is_lost {
            self.recorder.count("paths_lost");
            self.recorder.count("paths_found_mute");
            tracing::warn!(service = %group.service, zone = %group.zone, endpoint = %target.id, answered_to = %host,
                "path.mute");
        }
        is_lost
    }

    /// Records that an endpoint sent something on a connection that this host had opened itself.
    pub(crate) fn record_heard(&self, target: &EndpointTarget) {
        let lost_for = lock(&self.monitor).record_heard(self.timer.now(), &target.group);
        self.report_regained(target, lost_for);
    }

    /// Whether the endpoints of the target's group have sent nothing for `span` on connections that this host opened
    /// itself.
    pub(crate) fn is_silent_for(&self, group: &EndpointGroup, span: Duration) -> bool {
        lock(&self.monitor).is_silent(group, self.timer.now() - span)
    }

    /// Whether the path to a group is lost.
    pub(crate) fn is_lost(&self, group: &EndpointGroup) -> bool {
        lock(&self.monitor).is_lost(group)
    }

    /// The groups to which the path is lost.
    pub(super) fn lost_groups(&self) -> Vec<EndpointGroup> {
        lock(&self.monitor).lost_groups().cloned().collect()
    }

    /// Forgets a group that has no endpoints any more.
    pub(super) fn forget(&self, group: &EndpointGroup) {
        lock(&self.monitor).forget(group);
    }

    /// Whether the loss of the path explains a failure at an endpoint of this group.
    pub(crate) fn explains_failure(&self, group: &EndpointGroup) -> bool {
        lock(&self.monitor).explains_failure(self.timer.now(), group)
    }

    /// Whether the loss of the path explains the silence of an endpoint of this group.
    pub(crate) fn explains_silence(&self, group: &EndpointGroup) -> bool {
        lock(&self.monitor).explains_silence(self.timer.now(), group)
    }

    /// Whether the path to a group may be checked now.
    pub(crate) fn try_check(&self, group: &EndpointGroup) -> bool {
        lock(&self.monitor).try_check(self.timer.now(), group)
    }

    /// Chooses another host to connect through, except those in `tried`.
    pub(super) fn choose_host(&self, tried: &[Name]) -> Option<HostRecord> {
        let tunnels = lock(&self.tunnels);
        let now = self.timer.now();
        self.feed
            .with_topology(|topology| tunnels.choose(now, topology.other_hosts(), tried, &mut rand::rng()).cloned())
    }

    /// Counts a connection for which other hosts are asked on suspicion; `None` if there are too many.
    pub(super) fn begin_speculation(&self) -> Option<CountGuard> {
        self.speculations.try_acquire()
    }

    /// Whether another host is known, whether or not it can be asked for a connection now.
    pub(crate) fn has_other_hosts(&self) -> bool {
        self.feed.with_topology(|topology| topology.other_hosts().next().is_some())
    }

    /// Whether a host is registered at this address.
    pub(crate) fn is_host(&self, address: IpAddr) -> bool {
        self.feed.with_topology(|topology| topology.other_hosts().any(|record| record.address.ip() == address))
    }

    /// Counts a connection through a host until the lease is dropped.
    pub(super) fn lease(&self, host: &Name) -> TunnelLease {
        lock(&self.tunnels).record_opened(host);
        let (timer, tunnels) = (Arc::clone(&self.timer), Arc::clone(&self.tunnels));
        TunnelLease { timer, tunnels, host: Name::clone(host) }
    }

    /// Does not ask a host for tunnels for a while.
    pub(super) fn skip_host(&self, host: &Name) {
        lock(&self.tunnels).skip(self.timer.now(), host);
    }

    /// The number of connections that are open through other hosts.
    pub(crate) fn open_tunnels(&self) -> u32 {
        lock(&self.tunnels).open_count()
    }
}
