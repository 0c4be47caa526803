use std::collections::BTreeMap;
use std::time::Duration;

use super::EndpointGroup;
use crate::{EndpointId, TimePoint};

/// Number of endpoints of a group that only another host reaches before the path to the whole group counts as lost; all
/// of them if the group has fewer. A single one may refuse this host for a reason of its own.
const LOST_ENDPOINTS: usize = 2;
/// How long the observation that only another host reaches an endpoint remains evidence of a lost path.
const EVIDENCE_TIME: Duration = Duration::from_secs(2);
/// How long new connections to an endpoint that only another host reaches are opened through other hosts at once.
const BYPASS_TIME: Duration = Duration::from_secs(1);
/// Minimum time between two checks of the path to a group that is not known to be lost.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long after its loss failures are attributed to the path rather than to endpoints.
const BLAME_TIME: Duration = Duration::from_secs(1);
/// The same for silence, after the loss of a path that carries nothing. A call that was sent directly before the loss
/// times out only after a multiple of its latency objective.
const SILENCE_BLAME_TIME: Duration = Duration::from_secs(2);
/// Number of hosts that are asked to connect to an endpoint for this one. The first may have lost its path too.
const ASKED_HOSTS: usize = 2;
/// The same while the path carries nothing: a direct connection would open and lose the request, so that it is the last
/// resort.
const ASKED_HOSTS_IF_MUTE: usize = 4;
/// A direct connection may take this multiple of the group's usual connect time before another way is tried as well.
const HEAD_START_FACTOR: u32 = 4;
/// Bounds of that head start.
const MIN_HEAD_START: Duration = Duration::from_millis(30);
const MAX_HEAD_START: Duration = Duration::from_millis(100);
/// Weight of the latest connect time in the smoothed one.
const CONNECT_TIME_GAIN: f64 = 0.2;

/// The order in which ways to open a connection to an endpoint are tried.
///
/// Each next way is tried when those before have failed, or have taken the head start without success.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectOrder {
    /// Directly, then through other hosts.
    DirectFirst {
        /// How long the direct connection may take before the next way is tried.
        head_start: Duration,
        /// The number of hosts to try.
        hosts: usize,
    },
    /// Through other hosts, then directly.
    TunnelFirst {
        /// How long each way may take before the next one is tried.
        head_start: Duration,
        /// The number of hosts to try.
        hosts: usize,
    },
    /// Through other hosts; directly only if all of them have failed, since a direct connection opens and carries nothing.
    TunnelUnlessFailed {
        /// How long each host may take before the next one is tried.
        head_start: Duration,
        /// The number of hosts to try.
        hosts: usize,
    },
}

/// Whether this host has a network path to the endpoints of each group.
///
/// An endpoint that does not accept this host's connections, or answers nothing on them, may have failed or paused itself.
/// Only if another host reaches it at the same time, the path is at fault; so a path counts as lost only on this evidence.
/// A path that opened no connections counts as present again as soon as this host opens one; a path that opened them and
/// carried nothing, as soon as an endpoint answers on one.
#[derive(Debug, Default)]
pub struct PathMonitor {
    paths: BTreeMap<EndpointGroup, GroupPath>,
}

#[derive(Debug, Default)]
struct GroupPath {
    loss: Option<PathLoss>,
    /// The endpoints to which only another host could connect, and when that was last observed.
    bypassed: BTreeMap<EndpointId, TimePoint>,
    /// The endpoints that answered only through another host since one last answered directly.
    muted: BTreeMap<EndpointId, MuteEvidence>,
    /// When this host last opened a connection itself.
    connected_at: Option<TimePoint>,
    /// When an endpoint last sent something on a connection that this host had opened itself.
    heard_at: Option<TimePoint>,
    connect_time: Option<Duration>,
    next_check: TimePoint,
}

/// The loss of a path.
#[derive(Debug, Clone, Copy)]
struct PathLoss {
    since: TimePoint,
    /// Whether connections open and carry nothing.
    is_mute: bool,
}

/// Observations that an endpoint answered only through another host.
#[derive(Debug, Clone, Copy)]
struct MuteEvidence {
    at: TimePoint,
    observations: usize,
}

impl PathMonitor {
    /// In which order to try the ways to an endpoint.
    pub fn order(&self, now: TimePoint, group: &EndpointGroup, id: &EndpointId) -> ConnectOrder {
        let path = self.paths.get(group);
        if path.is_some_and(|path| path.is_muted(now, id)) {
            ConnectOrder::TunnelUnlessFailed { head_start: MAX_HEAD_START, hosts: ASKED_HOSTS_IF_MUTE }
        } else if path.is_some_and(|path| path.is_bypassed(now, id)) {
            ConnectOrder::TunnelFirst { head_start: MAX_HEAD_START, hosts: ASKED_HOSTS }
        } else {
            let head_start = path.map_or(MAX_HEAD_START, GroupPath::head_start);
            ConnectOrder::DirectFirst { head_start, hosts: ASKED_HOSTS }
        }
    }

    /// Records that this host opened a connection to an endpoint itself, which took `took`; returns for how long the
    /// path had been lost, if this shows that it is back.
    pub fn record_connected(
        &mut self,
        now: TimePoint,
        group: &EndpointGroup,
        id: &EndpointId,
        took: Duration,
    ) -> Option<Duration> {
        let path = self.path(group);
        path.connected_at = Some(now);
        path.add_connect_time(took);
        path.bypassed.remove(id);
        path.end_loss(now, false)
    }

    /// Records that another host reached an endpoint to which this host could open no connection; returns whether the
    /// path to the group counts as lost from now on.
    ///
    /// `group_size` is the number of endpoints in the group.
    pub fn record_bypassed(
        &mut self,
        now: TimePoint,
        group: &EndpointGroup,
        id: &EndpointId,
        group_size: usize,
    ) -> bool {
        let path = self.path(group);
        path.bypassed.retain(|_, at| now.since(*at) <= EVIDENCE_TIME);
        path.bypassed.insert(EndpointId::clone(id), now);
        let is_enough = path.evidence() >= LOST_ENDPOINTS.min(group_size.max(1));
        path.begin_loss(now, is_enough, false)
    }

    /// Records that an endpoint answered another host while it answered nothing on a new connection that this host had
    /// opened itself; returns whether the path to the group counts as lost from now on.
    ///
    /// `group_size` is the number of endpoints in the group.
    pub fn record_muted(&mut self, now: TimePoint, group: &EndpointGroup, id: &EndpointId, group_size: usize) -> bool {
        let path = self.path(group);
        let evidence = path.add_muted(now, id, group_size);
        path.begin_loss(now, evidence >= LOST_ENDPOINTS, true)
    }

    /// Records that an endpoint sent something on a connection that this host had opened itself; returns for how long the
    /// path had been lost, if this shows that it is back.
    pub fn record_heard(&mut self, now: TimePoint, group: &EndpointGroup) -> Option<Duration> {
        let path = self.path(group);
        path.heard_at = Some(now);
        path.muted.clear();
        path.end_loss(now, true)
    }

    /// Whether no endpoint of the group has sent anything since `since` on connections that this host opened itself.
    pub fn is_silent(&self, group: &EndpointGroup, since: TimePoint) -> bool {
        self.paths.get(group).is_none_or(|path| path.heard_at.is_none_or(|at| at < since))
    }

    /// Whether the path to a group is lost.
    pub fn is_lost(&self, group: &EndpointGroup) -> bool {
        self.paths.get(group).is_some_and(|path| path.loss.is_some())
    }

    /// The groups to which the path is lost.
    pub fn lost_groups(&self) -> impl Iterator<Item = &EndpointGroup> {
        self.paths.iter().filter(|(_, path)| path.loss.is_some()).map(|(group, _)| group)
    }

    /// Forgets a group that has no endpoints any more.
    pub fn forget(&mut self, group: &EndpointGroup) {
        self.paths.remove(group);
    }

    /// Whether the path to a group was lost so recently that it explains failures of connections to its endpoints.
    pub fn explains_failure(&self, now: TimePoint, group: &EndpointGroup) -> bool {
        let loss = self.paths.get(group).and_then(|path| path.loss);
        loss.is_some_and(|loss| now.since(loss.since) < BLAME_TIME)
    }

    /// Whether the path to a group was lost so recently that it explains that an endpoint of the group sent nothing in
    /// time.
    pub fn explains_silence(&self, now: TimePoint, group: &EndpointGroup) -> bool {
        let loss = self.paths.get(group).and_then(|path| path.loss);
        loss.is_some_and(|loss| now.since(loss.since) < if loss.is_mute { SILENCE_BLAME_TIME } else { BLAME_TIME })
    }

    /// Whether the path to a group may be checked now; if so, the next check is due only after an interval.
    pub fn try_check(&mut self, now: TimePoint, group: &EndpointGroup) -> bool {
        let path = self.path(group);
        let is_due = now >= path.next_check;
        if is_due {
            path.next_check = now + CHECK_INTERVAL;
        }
        is_due
    }

    fn path(&mut self, group: &EndpointGroup) -> &mut GroupPath {
        if !self.paths.contains_key(group) {
            self.paths.insert(group.clone(), GroupPath::default());
        }
        self.paths.get_mut(group).expect("the path was just inserted")
    }
}

impl GroupPath {
    fn is_bypassed(&self, now: TimePoint, id: &EndpointId) -> bool {
        self.loss.is_some() || self.bypassed.get(id).is_some_and(|at| now.since(*at) <= BYPASS_TIME)
    }

    fn is_muted(&self, now: TimePoint, id: &EndpointId) -> bool {
        let is_lost = self.loss.is_some_and(|loss| loss.is_mute);
        is_lost || self.muted.get(id).is_some_and(|evidence| now.since(evidence.at) <= BYPASS_TIME)
    }

    /// Adds an observation that an endpoint answered only through another host; returns the number of endpoints of which
    /// this was observed or, if the group has only one, the number of observations: a single answer may just be late.
    fn add_muted(&mut self, now: TimePoint, id: &EndpointId, group_size: usize) -> usize {
        self.muted.retain(|_, evidence| now.since(evidence.at) <= EVIDENCE_TIME);
        let evidence = self.muted.entry(EndpointId::clone(id)).or_insert(MuteEvidence { at: now, observations: 0 });
        evidence.at = now;
        evidence.observations += 1;
        let observations = evidence.observations;
        if group_size > 1 { self.muted.len() } else { observations }
    }

    /// Begins a loss unless there is one already; returns whether it does.
    fn begin_loss(&mut self, now: TimePoint, is_enough: bool, is_mute: bool) -> bool {
        let is_newly_lost = is_enough && self.loss.is_none();
        if is_newly_lost {
            self.loss = Some(PathLoss { since: now, is_mute });
        }
        is_newly_lost
    }

    /// Ends a loss of this kind; returns how long it lasted.
    fn end_loss(&mut self, now: TimePoint, is_mute: bool) -> Option<Duration> {
        let loss = self.loss.take_if(|loss| loss.is_mute == is_mute)?;
        self.bypassed.clear();
        Some(now.since(loss.since))
    }

    /// The number of endpoints that only another host reached since this host last opened a connection to the group.
    fn evidence(&self) -> usize {
        self.bypassed.values().filter(|at| self.connected_at.is_none_or(|connected| **at > connected)).count()
    }

    fn head_start(&self) -> Duration {
        let usual = self.connect_time.map_or(MAX_HEAD_START, |time| time * HEAD_START_FACTOR);
        usual.clamp(MIN_HEAD_START, MAX_HEAD_START)
    }

    fn add_connect_time(&mut self, took: Duration) {
        let smoothed = self
            .connect_time
            .map_or(took, |time| time.mul_f64(1.0 - CONNECT_TIME_GAIN) + took.mul_f64(CONNECT_TIME_GAIN));
        self.connect_time = Some(smoothed);
    }
}
