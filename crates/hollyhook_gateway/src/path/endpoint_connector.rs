use std::io;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures::channel::oneshot;
use hollyhook_core::{EndpointGroup, EndpointId, HostRecord, Name, Result};
use hollyhook_kernel::{ServiceRegistry, TimerService};
use hollyhook_telemetry::MetricRecorder;

use super::connect_error::RemoteFinding;
use super::connect_race::ConnectRace;
use super::path_inquiry::PathInquiry;
use super::path_question::PathQuestion;
use super::tunnel_client::{TunnelError, open_tunnel};
use super::{ConnectError, EndpointTarget, PathTracker};
use crate::gateway::EndpointDirectory;
use crate::pool::{ConnectionPool, PooledConnection};

/// Time limit for connecting to an endpoint. A live endpoint accepts within a few milliseconds; a partitioned or dead
/// machine never replies, so that only the limit ends the attempt.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a connection that nobody waits for any more is kept for the next request.
const UNUSED_KEEP_ALIVE: Duration = Duration::from_secs(2);
/// How often lost paths are checked. Direct connections are back within that time of the path's return.
const LOST_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Number of endpoints by which a path is tested.
const TESTED_SIBLINGS: usize = 3;
/// How long a group must have sent nothing for its path to be checked when the path to another group is lost.
const GROUP_SILENCE: Duration = Duration::from_millis(50);

/// A connection, or why none could be opened.
type ConnectOutcome = std::result::Result<PooledConnection, ConnectError>;

/// Opens connections to endpoints, and learns from them whether this host has a network path to the endpoints.
#[derive(Debug)]
pub(crate) struct EndpointConnector {
    pub(super) timer: Arc<TimerService>,
    pub(super) pool: Arc<ConnectionPool>,
    pub(super) recorder: Arc<MetricRecorder>,
    pub(super) paths: Arc<PathTracker>,
    pub(super) endpoints: Arc<EndpointDirectory>,
}

impl EndpointConnector {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "connector";

    /// A connector that uses the registered pool, paths and endpoints.
    ///
    /// # Errors
    ///
    /// `Internal` if a service that the connector uses is not registered.
    pub(crate) fn new(registry: &ServiceRegistry) -> Result<Self> {
        Ok(Self {
            timer: registry.find(TimerService::NAME)?,
            pool: registry.find(ConnectionPool::NAME)?,
            recorder: registry.find(MetricRecorder::NAME)?,
            paths: registry.find(PathTracker::NAME)?,
            endpoints: registry.find(EndpointDirectory::NAME)?,
        })
    }

    /// Opens a new connection to an endpoint: directly, or through another host.
    ///
    /// The attempt goes on if the caller of this function stops waiting, since its outcome tells whether the path to the
    /// endpoint is lost.
    ///
    /// # Errors
    ///
    /// Why neither this host nor another one that was asked could connect.
    pub(crate) async fn connect(self: &Arc<Self>, target: &EndpointTarget) -> ConnectOutcome {
        let outcome = self.begin(target.clone());
        outcome.await.unwrap_or(Err(ConnectError::NOT_TRIED))
    }

    /// Begins to open a connection, which is kept for the next request if nobody waits for it.
    fn begin(self: &Arc<Self>, target: EndpointTarget) -> oneshot::Receiver<ConnectOutcome> {
        let (sender, receiver) = oneshot::channel();
        let connector = Arc::clone(self);
        task::spawn(async move {
            let outcome = ConnectRace::new(&connector, &target).run().await;
            if let Err(Ok(connection)) = sender.send(outcome) {
                connector.keep(&target, connection);
            }
        });
        receiver
    }

    /// Opens a connection to an endpoint without another host.
    pub(crate) async fn connect_directly(&self, target: &EndpointTarget) -> io::Result<PooledConnection> {
        let began_at = self.timer.now();
        let connection = self.pool.connect(target.address, DIRECT_TIMEOUT).await?;
        self.record_connected(target, self.timer.now().since(began_at));
        Ok(connection)
    }

    /// Endpoints other than the target by which a path to its group can be tested.
    ///
    /// Several, since some may have failed too without being known to.
    pub(crate) fn siblings(&self, target: &EndpointTarget) -> Vec<EndpointTarget> {
        let (now, table) = (self.timer.now(), self.endpoints.table());
        let siblings = table.siblings(now, &target.group, &target.id, TESTED_SIBLINGS);
        siblings.into_iter().map(EndpointTarget::from).collect()
    }

    /// Chooses another host to connect through, except those in `asked`; `None` if none can be asked now.
    pub(crate) fn choose_host(&self, asked: &[Name]) -> Option<HostRecord> {
        self.paths.choose_host(asked)
    }

    /// Opens a connection to an endpoint through another host.
    ///
    /// # Errors
    ///
    /// What the host found if it could not connect.
    pub(crate) async fn connect_through(
        &self,
        host: &HostRecord,
        target: &EndpointTarget,
    ) -> std::result::Result<PooledConnection, RemoteFinding> {
        self.open_tunnel(host, &target.id).await.map_err(|error| self.record_refusal(&host.host, error))
    }

    /// Records why a host opened no tunnel; returns what it found out about the endpoint.
    pub(super) fn record_refusal(&self, host: &Name, error: TunnelError) -> RemoteFinding {
        match error {
            TunnelError::Unreachable => RemoteFinding::Unreachable,
            TunnelError::Undecided => RemoteFinding::Unknown,
            TunnelError::Unavailable => {
                self.paths.skip_host(host);
                RemoteFinding::Unknown
            }
        }
    }

    /// Opens a tunnel through another host and a connection to an endpoint in it.
    pub(super) async fn open_tunnel(
        &self,
        host: &HostRecord,
        endpoint: &EndpointId,
    ) -> std::result::Result<PooledConnection, TunnelError> {
        let stream = open_tunnel(&self.timer, host, endpoint).await?;
        let lease = self.paths.lease(&host.host);
        self.pool.start_tunnel(stream, lease).await.map_err(|_error| TunnelError::Unavailable)
    }

    /// Checks the path to an endpoint by a question on a new connection, if no endpoint of its group has sent anything for
    /// `silence` and no check was made shortly before.
    pub(crate) fn check_if_silent(self: &Arc<Self>, target: &EndpointTarget, silence: Duration) {
        if self.may_check(target, silence) {
            self.check(target.clone());
        }
    }

    /// Whether no endpoint of the target's group has sent anything for `silence`, and no check was made shortly before.
    pub(super) fn may_check(&self, target: &EndpointTarget, silence: Duration) -> bool {
        self.paths.is_silent_for(&target.group, silence) && self.paths.try_check(&target.group)
    }

    /// Asks an endpoint on a new connection.
    fn check(self: &Arc<Self>, target: EndpointTarget) {
        let connector = Arc::clone(self);
        task::spawn(async move { PathInquiry::new(&connector, &target).run().await });
    }

    /// Checks, until the process ends, whether the lost paths are back: by a question on a direct connection to one
    /// endpoint of each group, a different one each time.
    pub(crate) async fn run_checks(self: Arc<Self>) {
        for turn in 0.. {
            self.timer.wait(LOST_CHECK_INTERVAL).await;
            for group in self.paths.take_regained() {
                self.close_idle_tunnels(&group);
            }
            for group in self.paths.lost_groups() {
                let target = self.endpoints.table().nth_in_group(&group, turn).map(EndpointTarget::from);
                match target {
                    Some(target) => self.check_direct(target),
                    None => self.paths.forget(&group),
                }
            }
        }
    }

    /// Asks an endpoint on a new direct connection.
    fn check_direct(self: &Arc<Self>, target: EndpointTarget) {
        let connector = Arc::clone(self);
        task::spawn(async move {
            let Ok(connection) = connector.connect_directly(&target).await else {
                return;
            };
            let question = PathQuestion::new(&connector, &target);
            if let Some(answered) = question.ask_in_time(connection).await {
                connector.record_answered(&target);
                question.finish(answered);
            }
        });
    }

    /// Records that an endpoint answered a question on a direct connection.
    pub(super) fn record_answered(&self, target: &EndpointTarget) {
        self.paths.record_heard(target);
        self.endpoints.record_heard(&target.id);
    }

    /// Keeps a connection that nobody waits for.
    pub(super) fn keep(&self, target: &EndpointTarget, connection: PooledConnection) {
        self.pool.put(&target.id, connection, UNUSED_KEEP_ALIVE);
    }

    /// Records that this host opened a connection to an endpoint itself.
    ///
    /// If its path had been lost, idle tunnels are closed, so that the next requests are sent directly.
    pub(crate) fn record_connected(&self, target: &EndpointTarget, took: Duration) {
        if self.paths.record_connected(target, took) {
            self.close_idle_tunnels(&target.group);
        }
    }

    fn close_idle_tunnels(&self, group: &EndpointGroup) {
        for id in self.idle_in(group) {
            self.pool.close_idle_tunnels(&id);
        }
    }

    /// Closes the idle connections to a group that this host opened itself: they may be dead without a word.
    pub(super) fn close_idle_direct(&self, group: &EndpointGroup) {
        for id in self.idle_in(group) {
            self.pool.close_idle_direct(&id);
        }
    }

    /// Records that another host reached an endpoint to which this host could open no connection.
    ///
    /// If one endpoint proves too little for a loss of the path to its group, another one is tried.
    pub(crate) fn record_bypassed(self: &Arc<Self>, target: &EndpointTarget, host: &Name) {
        let size = self.endpoints.table().group_size(&target.group);
        let is_newly_lost = self.paths.record_bypassed(target, host, size);
        if is_newly_lost {
            self.react_to_loss(&target.group);
        } else {
            self.check_next(target);
        }
    }

    /// Records that an endpoint answered a question through another host, but not on a new connection of this host's own.
    ///
    /// Unless the path to its group is lost, another endpoint is asked; the same one if the group has no other.
    pub(super) fn record_muted(self: &Arc<Self>, target: &EndpointTarget, host: &Name) {
        let size = self.endpoints.table().group_size(&target.group);
        let is_newly_lost = self.paths.record_muted(target, host, size);
        self.pool.close_idle_direct(&target.id);
        self.endpoints.record_heard(&target.id);
        if is_newly_lost {
            self.react_to_loss(&target.group);
        } else if size > 1 {
            self.check_next(target);
        } else if !self.paths.is_lost(&target.group) {
            self.check_again(target.clone());
        }
    }

    /// Asks another endpoint of the target's group, unless the path to the group is lost already.
    fn check_next(self: &Arc<Self>, target: &EndpointTarget) {
        if self.paths.is_lost(&target.group) {
            return;
        }
        let next = self.endpoints.table().next_in_group(&target.group, &target.id).map(EndpointTarget::from);
        if let Some(next) = next {
            self.check(next);
        }
    }

    /// Asks an endpoint once more on a direct connection.
    fn check_again(self: &Arc<Self>, target: EndpointTarget) {
        let connector = Arc::clone(self);
        task::spawn(async move { PathInquiry::new(&connector, &target).run_directly().await });
    }

    /// Closes idle connections of this host's own to a group to which the path was lost, since they may be dead without a
    /// word, and checks the paths to other groups.
    fn react_to_loss(self: &Arc<Self>, group: &EndpointGroup) {
        self.close_idle_direct(group);
        self.endpoints.forgive_failures(group);
        self.check_other_groups(group);
    }

    /// Checks the paths to all other groups to which this host keeps connections.
    fn check_other_groups(self: &Arc<Self>, lost: &EndpointGroup) {
        let targets: Vec<EndpointTarget> = {
            let table = self.endpoints.table();
            self.pool.idle_ids().iter().filter_map(|id| table.get(id)).map(EndpointTarget::from).collect()
        };
        for target in targets {
            if target.group != *lost && !self.paths.is_lost(&target.group) {
                self.check_if_silent(&target, GROUP_SILENCE);
            }
        }
    }

    /// The endpoints of a group to which connections are kept.
    fn idle_in(&self, group: &EndpointGroup) -> Vec<EndpointId> {
        let table = self.endpoints.table();
        let is_in_group = |id: &EndpointId| table.get(id).is_some_and(|record| EndpointGroup::from(record) == *group);
        self.pool.idle_ids().into_iter().filter(is_in_group).collect()
    }
}
