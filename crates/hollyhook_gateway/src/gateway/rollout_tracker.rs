use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::channel::oneshot;
use hollyhook_core::{
    AttemptEnd, EndpointId, EndpointState, LossMatcher, Name, Result, RolloutOrder, RolloutState, TargetShare,
    TimePoint, TrialEvidence, VersionFilter, VersionOutcome, ZoneName,
};
use hollyhook_kernel::{ServiceRegistry, TimerService};
use hollyhook_platform::{StoreObject, TrialReport};
use hollyhook_telemetry::MetricRecorder;
use rand::Rng;

use super::EndpointDirectory;
use super::known_rollout::{KnownRollout, first_seen_at};
use crate::sync::{WakeList, lock};

/// The fraction of the permitted exposure that a version on trial gets. The rest leaves room for random variation, and
/// for the requests that are moved to the version shortly before the deadline.
const EXPOSURE_FRACTION: f64 = 0.8;
/// How long after its last successful read of the store this host still sends requests to a version on trial. Without
/// the store, it can't learn that the version failed at other hosts.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(2_500);

/// The roll-outs that this host knows, the versions that its requests may be routed to, and its evidence about the
/// versions on trial.
#[derive(Debug)]
pub(crate) struct RolloutTracker {
    timer: Arc<TimerService>,
    recorder: Arc<MetricRecorder>,
    endpoints: Arc<EndpointDirectory>,
    state: Mutex<TrackerState>,
    /// Tasks that wait until a version has to be looked up among the orders.
    waiters: WakeList,
    /// Whether a task of this host reports evidence and decides about roll-outs.
    is_working: AtomicBool,
}

#[derive(Debug, Default)]
struct TrackerState {
    /// The share of a service's requests that a version may get before the verdict on it; `None` disables roll-outs.
    exposure: Option<f64>,
    rollouts: BTreeMap<Name, KnownRollout>,
    /// Services whose roll-out order can't be decoded; their unchecked versions get no requests.
    blocked: BTreeSet<Name>,
    /// Services and versions that have been looked up among the roll-out orders.
    checked_versions: BTreeSet<(Name, Name)>,
    /// Versions by service that have not been looked up yet; they get no requests.
    unchecked_versions: BTreeMap<Name, BTreeSet<Name>>,
    /// Versions by service that earlier roll-outs rolled back; they get no requests while they have endpoints, unless they
    /// are the target of another order.
    rejected_versions: BTreeMap<Name, BTreeSet<Name>>,
    /// When this host last read the orders from the store.
    confirmed: Option<TimePoint>,
}

/// The end of an attempt at an endpoint, as evidence about the endpoint's version.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptEvidence<'a> {
    pub(crate) service: &'a Name,
    pub(crate) route: &'a Name,
    pub(crate) endpoint: &'a EndpointId,
    pub(crate) zone: &'a ZoneName,
    pub(crate) version: &'a Name,
    pub(crate) outcome: VersionOutcome,
    /// Time from the send to the answer, or to the first event of a stream.
    pub(crate) first: Option<Duration>,
    /// Mean time between two events of a stream.
    pub(crate) gap: Option<Duration>,
}

impl RolloutTracker {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "rollouts";

    /// A tracker without roll-outs.
    ///
    /// `exposure` is the share of a service's requests that a version may get before the verdict on it; `None` disables
    /// roll-outs.
    ///
    /// # Errors
    ///
    /// `Internal` if a service that the tracker uses is not registered.
    pub(crate) fn new(registry: &ServiceRegistry, exposure: Option<f64>) -> Result<Self> {
        Ok(Self {
            timer: registry.find(TimerService::NAME)?,
            recorder: registry.find(MetricRecorder::NAME)?,
            endpoints: registry.find(EndpointDirectory::NAME)?,
            state: Mutex::new(TrackerState { exposure, ..TrackerState::default() }),
            waiters: WakeList::default(),
            is_working: AtomicBool::new(false),
        })
    }

    /// Changes the share of a service's requests that a version may get before the verdict on it.
    pub(crate) fn set_exposure(&self, exposure: Option<f64>) {
        lock(&self.state).exposure = exposure;
    }

    /// Whether roll-outs are enabled.
    pub(crate) fn is_enabled(&self) -> bool {
        lock(&self.state).exposure.is_some()
    }

    /// Whether any roll-out is undecided, or its state is missing in the store.
    pub(crate) fn is_active(&self) -> bool {
        lock(&self.state).rollouts.values().any(|rollout| rollout.is_active() || rollout.is_unwritten())
    }

    /// Whether there are unchecked versions that a list of the orders would settle.
    ///
    /// Versions of a service whose order can't be decoded don't count.
    pub(crate) fn has_unchecked_versions(&self) -> bool {
        let state = lock(&self.state);
        state.unchecked_versions.keys().any(|service| !state.blocked.contains(service))
    }

    /// Whether this host has to learn of changes to the orders without delay.
    pub(crate) fn is_watch_needed(&self) -> bool {
        !lock(&self.state).blocked.is_empty() || self.is_active()
    }

    /// A receiver that completes when a version has to be looked up among the orders.
    pub(crate) fn unchecked_signal(&self) -> oneshot::Receiver<()> {
        self.waiters.wait()
    }

    /// Which versions a request may be routed to; `None` allows all versions.
    ///
    /// It names the checked versions, not the unchecked ones: an endpoint of a new version may be added between this call
    /// and the choice of an endpoint.
    ///
    /// A small share of the requests is drawn at random for a version on trial, on their first attempt only
    /// (`is_first`): a request that is retried has already been delayed.
    pub(crate) fn version_filter(&self, service: &Name, is_first: bool) -> Option<VersionFilter> {
        let state = lock(&self.state);
        let exposure = state.exposure?;
        let checked = state.checked_versions(service);
        let now = self.timer.now();
        let rollout = state.rollouts.get(service);
        let is_confirmed = state.confirmed.is_some_and(|at| now.since(at) <= MAX_CONFIRMATION_AGE);
        let target = rollout.map(|rollout| (Name::clone(&rollout.order.target), rollout.plan().share(now)));
        let rejected = state.rejected_versions(service);
        drop(state);
        let others = |version: Option<Name>| {
            let except = version.into_iter().chain(rejected.iter().cloned()).collect();
            Some(VersionFilter { checked: checked.clone(), except, ..VersionFilter::any() })
        };
        match target {
            None | Some((_, TargetShare::Unrestricted)) => others(None),
            Some((version, TargetShare::None)) => others(Some(version)),
            Some((version, TargetShare::All)) => {
                let has_live = !self.live_endpoints(service, &version).is_empty();
                has_live.then(|| VersionFilter::only(&version))
            }
            Some((version, TargetShare::Trial)) => {
                let trial = if is_first && is_confirmed {
                    self.draw_trial(service, &version, exposure * EXPOSURE_FRACTION)
                } else {
                    None
                };
                trial.or_else(|| others(Some(version)))
            }
        }
    }

    /// Which versions a request may be routed to if no endpoint that [`version_filter`](Self::version_filter) allows
    /// admits it; `None` allows all versions.
    ///
    /// A version on trial is left out: its share is drawn, not filled up with what has no room elsewhere.
    pub(crate) fn fallback_filter(&self, service: &Name) -> Option<VersionFilter> {
        let state = lock(&self.state);
        state.exposure?;
        let now = self.timer.now();
        let target = state.rollouts.get(service).map(|rollout| (&rollout.order.target, rollout.plan().share(now)));
        let mut except = state.rejected_versions(service);
        if let Some((version, TargetShare::Trial | TargetShare::None)) = target {
            except.insert(Name::clone(version));
        }
        Some(VersionFilter { checked: state.checked_versions(service), except, ..VersionFilter::any() })
    }

    /// Draws a request for the version on trial; `None` if it is not drawn, or the version has no live endpoint.
    fn draw_trial(&self, service: &Name, version: &Name, share: f64) -> Option<VersionFilter> {
        if !rand::rng().random_bool(share.clamp(0.0, 1.0)) {
            return None;
        }
        let live = self.live_endpoints(service, version);
        if live.is_empty() {
            return None;
        }
        let chosen = VersionFilter::trial_endpoints(version, live, share);
        Some(VersionFilter::only(version).endpoints(chosen))
    }

    /// Whether a generation that began at another endpoint may be resumed at an endpoint of this version.
    pub(crate) fn may_continue_at(&self, service: &Name, version: &Name) -> bool {
        let state = lock(&self.state);
        let Some(rollout) = state.rollouts.get(service).filter(|_| state.exposure.is_some()) else {
            return true;
        };
        let is_target = rollout.order.target == *version;
        if state.rejected_versions(service).contains(version) {
            return false;
        }
        match rollout.plan().share(self.timer.now()) {
            TargetShare::None => !is_target,
            // While requests move to the target, generations at other versions may still end there.
            TargetShare::All => is_target || rollout.state == Some(RolloutState::Moving),
            TargetShare::Trial | TargetShare::Unrestricted => true,
        }
    }

    /// Restricts a stream to the version that wrote its events; `None` if it may not continue there.
    pub(crate) fn continuation_filter(&self, service: &Name, version: &Name) -> Option<VersionFilter> {
        self.may_continue_at(service, version).then(|| VersionFilter::only(version))
    }

    fn live_endpoints(&self, service: &Name, target: &Name) -> Vec<EndpointId> {
        let table = self.endpoints.table();
        let live = table.iter().filter(|record| record.state == EndpointState::Live);
        let matching = live.filter(|record| record.service == *service && record.version == *target);
        matching.map(|record| EndpointId::clone(&record.id)).collect()
    }

    /// Records the end of an attempt as evidence, if a roll-out of its service is undecided.
    pub(crate) fn record_attempt(&self, evidence: &AttemptEvidence<'_>) {
        let mut state = lock(&self.state);
        let Some(rollout) = state.rollouts.get_mut(evidence.service).filter(|rollout| rollout.is_active()) else {
            return;
        };
        let is_target = rollout.order.target == *evidence.version;
        let AttemptEvidence { endpoint, zone, route, outcome, .. } = *evidence;
        let end = AttemptEnd { endpoint, zone, route, is_target, is_lost: outcome.is_lost() };
        rollout.matcher.record(self.timer.now(), &end);
        let tally =
            if is_target { rollout.evidence.target_mut(route, endpoint) } else { rollout.evidence.others_mut(route) };
        tally.record(outcome, evidence.first, evidence.gap);
        drop(state);
        if is_target {
            self.recorder.count(match evidence.outcome {
                VersionOutcome::Failed | VersionOutcome::ClientError => "trial_answers_failed",
                VersionOutcome::Late | VersionOutcome::Broken => "trial_answers_lost",
                VersionOutcome::Good => "trial_answers_good",
            });
        }
    }

    /// Evaluates the attempts that were lost some seconds ago as evidence.
    pub(crate) fn evaluate_losses(&self) {
        let now = self.timer.now();
        let mut state = lock(&self.state);
        let table = self.endpoints.table();
        for rollout in state.rollouts.values_mut().filter(|rollout| rollout.is_active()) {
            rollout.matcher.evaluate(now, &mut rollout.evidence, |id| table.last_heard(id));
        }
    }

    /// Updates the unchecked versions from the known endpoints, and wakes the waiting task if there are any.
    ///
    /// If no version of a service has been checked, the version that most endpoints run counts as checked. A service whose
    /// endpoints all run one version therefore has no unchecked version: there is no other version to move requests to.
    pub(crate) fn check_versions(&self) {
        let mut state = lock(&self.state);
        if state.exposure.is_none() {
            return;
        }
        let mut counts: BTreeMap<Name, BTreeMap<Name, usize>> = BTreeMap::new();
        for record in self.endpoints.table().iter() {
            let versions = counts.entry(Name::clone(&record.service)).or_default();
            *versions.entry(Name::clone(&record.version)).or_default() += 1;
        }
        state.unchecked_versions.clear();
        for (service, versions) in counts {
            state.forget_rejected(&service, &versions);
            state.check_service(service, &versions);
        }
        if !state.unchecked_versions.is_empty() {
            drop(state);
            self.waiters.wake();
        }
    }

    /// Records that the orders were read from the store at `at`.
    pub(crate) fn confirm(&self, at: TimePoint) {
        let mut state = lock(&self.state);
        state.confirmed = state.confirmed.max(Some(at));
    }

    /// Applies the list of all orders; `looked_up` holds the versions that were unchecked when the list was requested.
    pub(crate) fn apply_list(&self, objects: &[StoreObject], looked_up: &BTreeMap<Name, BTreeSet<Name>>) {
        let missing: Vec<Name> = {
            let state = lock(&self.state);
            let present = |service: &Name| objects.iter().any(|object| object.name == *service);
            state.rollouts.keys().chain(&state.blocked).filter(|service| !present(service)).cloned().collect()
        };
        for service in &missing {
            self.withdraw(service);
        }
        for object in objects {
            self.apply(object);
        }
        lock(&self.state).mark_checked(looked_up);
        self.check_versions();
    }

    /// The versions by service that have to be looked up among the orders.
    pub(crate) fn unchecked_versions(&self) -> BTreeMap<Name, BTreeSet<Name>> {
        lock(&self.state).unchecked_versions.clone()
    }

    /// Applies an order and its status from the store.
    pub(crate) fn apply(&self, object: &StoreObject) {
        match hollyhook_platform::decode_rollout_order(object) {
            Ok(order) => self.apply_order(object, order),
            Err(error) => {
                self.recorder.count("rollouts_malformed");
                tracing::error!(%error, service = %object.name, revision = object.revision, "rollout.malformed");
                lock(&self.state).blocked.insert(Name::clone(&object.name));
            }
        }
    }

    fn apply_order(&self, object: &StoreObject, order: RolloutOrder) {
        let now = self.timer.now();
        let status = hollyhook_platform::decode_rollout_status(object, &order);
        let mut state = lock(&self.state);
        state.blocked.remove(&object.name);
        state.checked_versions.insert((Name::clone(&order.service), Name::clone(&order.target)));
        state.update_rejected(&order, hollyhook_platform::decode_rejected_versions(object, &order));
        let known = state.rollouts.get(&order.service);
        let known = known.filter(|known| known.order.target == order.target && !known.is_withdrawn).cloned();
        let is_new = known.is_none();
        let mut rollout = known.unwrap_or_else(|| KnownRollout {
            order: order.clone(),
            object: object.clone(),
            stored: None,
            state: None,
            state_since: now,
            ordered_at: first_seen_at(now, &order, status.as_ref()),
            is_withdrawn: false,
            evidence: TrialEvidence::default(),
            matcher: LossMatcher::default(),
        });
        let before = rollout.state;
        rollout.object = object.clone();
        rollout.order = order;
        rollout.stored = status.map(|status| status.state);
        rollout.state = rollout.state.max(rollout.stored);
        if rollout.state != before {
            rollout.state_since = now;
        }
        if is_new || rollout.state != before {
            let order = &rollout.order;
            tracing::info!(service = %order.service, target = %order.target, revision = object.revision,
                state = rollout.state.map(RolloutState::as_str), duration_ms = order.duration.as_millis() as u64,
                "rollout.read");
        }
        let service = Name::clone(&rollout.order.service);
        state.rollouts.insert(service, rollout);
    }

    /// Withdraws the roll-out of a service whose order was removed.
    ///
    /// A version that was rolled back gets no requests until there is another order for the service.
    pub(crate) fn withdraw(&self, service: &Name) {
        let mut state = lock(&self.state);
        state.blocked.remove(service);
        let Some(rollout) = state.rollouts.get_mut(service) else {
            return;
        };
        tracing::info!(service = %service, state = rollout.state.map(RolloutState::as_str), "rollout.withdrawn");
        rollout.is_withdrawn = true;
        if rollout.state != Some(RolloutState::RolledBack) {
            state.rollouts.remove(service);
        }
    }

    /// The roll-outs that are undecided, or whose state is missing in the store.
    pub(crate) fn active(&self) -> Vec<KnownRollout> {
        let state = lock(&self.state);
        let active = state.rollouts.values().filter(|rollout| rollout.is_active() || rollout.is_unwritten());
        active.cloned().collect()
    }

    /// This host's evidence on each roll-out whose target has answered a request here.
    pub(crate) fn reports(&self) -> Vec<TrialReport> {
        let state = lock(&self.state);
        let seen = state.rollouts.values().filter(|rollout| rollout.evidence.target_answers() > 0);
        let reports = seen.map(|rollout| TrialReport {
            service: Name::clone(&rollout.order.service),
            target: Name::clone(&rollout.order.target),
            evidence: rollout.evidence.clone(),
        });
        reports.collect()
    }

    /// This host's evidence on the roll-out of a service; empty if there is none.
    pub(crate) fn evidence(&self, service: &Name) -> TrialEvidence {
        lock(&self.state).rollouts.get(service).map(|rollout| rollout.evidence.clone()).unwrap_or_default()
    }

    /// The versions of a service that earlier roll-outs rolled back, as far as they still have endpoints.
    pub(crate) fn rejected_versions(&self, service: &Name) -> BTreeSet<Name> {
        lock(&self.state).rejected_versions(service)
    }

    /// Whether a roll-out is active and no task works on the roll-outs yet; if so, the caller has to work on them.
    pub(crate) fn begin_work(&self) -> bool {
        self.is_active() && !self.is_working.swap(true, Ordering::AcqRel)
    }

    /// Records that the task that began the work has ended.
    pub(crate) fn end_work(&self) {
        self.is_working.store(false, Ordering::Release);
    }
}

impl TrackerState {
    /// The versions of a service that have been looked up; `None` before the first.
    fn checked_versions(&self, service: &Name) -> Option<BTreeSet<Name>> {
        let of_service = self.checked_versions.iter().filter(|(checked, _)| checked == service);
        let versions: BTreeSet<Name> = of_service.map(|(_, version)| Name::clone(version)).collect();
        (!versions.is_empty()).then_some(versions)
    }

    fn rejected_versions(&self, service: &Name) -> BTreeSet<Name> {
        self.rejected_versions.get(service).cloned().unwrap_or_default()
    }

    /// Adds the versions that `order` finds rolled back: those in the store, and the target of the order that it replaces.
    fn update_rejected(&mut self, order: &RolloutOrder, stored: BTreeSet<Name>) {
        let replaced = self.rollouts.get(&order.service);
        let replaced = replaced.filter(|known| known.state == Some(RolloutState::RolledBack));
        let replaced = replaced.map(|known| Name::clone(&known.order.target));
        let versions = self.rejected_versions.entry(Name::clone(&order.service)).or_default();
        versions.extend(stored.into_iter().chain(replaced));
        versions.remove(&order.target);
    }

    /// Forgets the rejected versions of a service that have no endpoints any more.
    fn forget_rejected(&mut self, service: &Name, versions: &BTreeMap<Name, usize>) {
        if let Some(rejected) = self.rejected_versions.get_mut(service) {
            rejected.retain(|version| versions.contains_key(version));
        }
    }

    /// Finds the unchecked versions of a service, given the number of endpoints of each version.
    fn check_service(&mut self, service: Name, versions: &BTreeMap<Name, usize>) {
        let is_checked =
            |version: &Name| self.checked_versions.contains(&(Name::clone(&service), Name::clone(version)));
        if !versions.keys().any(is_checked)
            && let Some((usual, _)) = versions.iter().max_by_key(|(_, count)| **count)
        {
            // No version has been checked: most endpoints run the version that was there before any order.
            self.checked_versions.insert((Name::clone(&service), Name::clone(usual)));
        }
        let is_checked =
            |version: &Name| self.checked_versions.contains(&(Name::clone(&service), Name::clone(version)));
        let unchecked: BTreeSet<Name> = versions.keys().filter(|version| !is_checked(version)).cloned().collect();
        if !unchecked.is_empty() {
            self.unchecked_versions.insert(service, unchecked);
        }
    }

    /// Marks versions as checked after a list of the orders, except those of services whose order can't be decoded.
    fn mark_checked(&mut self, looked_up: &BTreeMap<Name, BTreeSet<Name>>) {
        for (service, versions) in looked_up {
            if self.blocked.contains(service) {
                continue;
            }
            let checked = versions.iter().map(|version| (Name::clone(service), Name::clone(version)));
            self.checked_versions.extend(checked);
        }
    }
}
