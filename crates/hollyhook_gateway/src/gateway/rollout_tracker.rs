use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use futures::channel::oneshot;
use hollyhook_core::{LossMatcher, Name, Result, RolloutOrder, RolloutState, TimePoint, TrialEvidence};
use hollyhook_kernel::{ServiceRegistry, TimerService};
use hollyhook_platform::StoreObject;
use hollyhook_telemetry::MetricRecorder;

use super::EndpointDirectory;
use super::known_rollout::{KnownRollout, first_seen_at};
use super::version_checks::VersionChecks;
use crate::sync::{WakeList, lock};

/// The roll-outs that this host knows, the versions that its requests may be routed to, and its evidence about the
/// versions on trial.
#[derive(Debug)]
pub(crate) struct RolloutTracker {
    pub(super) timer: Arc<TimerService>,
    pub(super) recorder: Arc<MetricRecorder>,
    pub(super) endpoints: Arc<EndpointDirectory>,
    pub(super) state: Mutex<TrackerState>,
    /// Tasks that wait until a version has to be looked up among the orders.
    waiters: WakeList,
    /// Whether a task of this host reports evidence and decides about roll-outs.
    is_working: AtomicBool,
}

#[derive(Debug, Default)]
pub(super) struct TrackerState {
    /// The share of a service's requests that a version may get before the verdict on it; `None` disables roll-outs.
    pub(super) exposure: Option<f64>,
    pub(super) rollouts: BTreeMap<Name, KnownRollout>,
    pub(super) checks: VersionChecks,
    /// When this host last read the orders from the store.
    pub(super) confirmed: Option<TimePoint>,
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
        lock(&self.state).checks.has_unsettled()
    }

    /// Whether this host has to learn of changes to the orders without delay.
    pub(crate) fn is_watch_needed(&self) -> bool {
        !lock(&self.state).checks.blocked().is_empty() || self.is_active()
    }

    /// A receiver that completes when a version has to be looked up among the orders.
    pub(crate) fn unchecked_signal(&self) -> oneshot::Receiver<()> {
        self.waiters.wait()
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
        state.checks.update(counts);
        if !state.checks.unchecked().is_empty() {
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
            state.rollouts.keys().chain(state.checks.blocked()).filter(|service| !present(service)).cloned().collect()
        };
        for service in &missing {
            self.withdraw(service);
        }
        for object in objects {
            self.apply(object);
        }
        lock(&self.state).checks.mark_checked(looked_up);
        self.check_versions();
    }

    /// The versions by service that have to be looked up among the orders.
    pub(crate) fn unchecked_versions(&self) -> BTreeMap<Name, BTreeSet<Name>> {
        lock(&self.state).checks.unchecked().clone()
    }

    /// Applies an order and its status from the store.
    pub(crate) fn apply(&self, object: &StoreObject) {
        match hollyhook_platform::decode_rollout_order(object) {
            Ok(order) => self.apply_order(object, order),
            Err(error) => {
                self.recorder.count("rollouts_malformed");
                tracing::error!(%error, service = %object.name, revision = object.revision, "rollout.malformed");
                lock(&self.state).checks.block(&object.name);
            }
        }
    }

    fn apply_order(&self, object: &StoreObject, order: RolloutOrder) {
        let now = self.timer.now();
        let status = hollyhook_platform::decode_rollout_status(object, &order);
        let mut state = lock(&self.state);
        state.checks.unblock(&object.name);
        let replaced = state.rollouts.get(&order.service);
        let replaced = replaced.filter(|known| known.state == Some(RolloutState::RolledBack));
        let replaced = replaced.map(|known| Name::clone(&known.order.target));
        let rejected = hollyhook_platform::decode_rejected_versions(object, &order);
        state.checks.apply_order(&order, rejected.into_iter().chain(replaced));
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
        state.checks.unblock(service);
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

    /// The versions of a service that earlier roll-outs rolled back, as far as they still have endpoints.
    pub(crate) fn rejected_versions(&self, service: &Name) -> BTreeSet<Name> {
        lock(&self.state).checks.rejected(service)
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
