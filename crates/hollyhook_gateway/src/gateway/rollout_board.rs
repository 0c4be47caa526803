use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::channel::oneshot;
use hollyhook_core::{
    EndpointId, EndpointState, Name, Result, RolloutOrder, RolloutState, TargetShare, TimePoint, TrialEvidence,
    VersionFilter,
};
use hollyhook_kernel::{ServiceRegistry, TimerService};
use hollyhook_platform::{StoreObject, TrialReport};
use hollyhook_telemetry::MetricRecorder;
use rand::Rng;

use super::EndpointDirectory;
use super::known_rollout::{KnownRollout, heard_at};
use crate::sync::{WakeList, lock};

/// The part of the requests that a version on trial may get which it does get; the rest is for chance, and for what is moved
/// to it shortly before the deadline.
const TRIAL_PART: f64 = 0.8;
/// How long after this host last heard of the store it still sends requests to a version on trial: what others see of it can't
/// be heard of.
const CONFIRMED_FOR: Duration = Duration::from_millis(2_500);

/// The roll-outs that this host knows of, which versions its requests may go to, and what it saw of those on trial.
#[derive(Debug)]
pub(crate) struct RolloutBoard {
    timer: Arc<TimerService>,
    recorder: Arc<MetricRecorder>,
    endpoints: Arc<EndpointDirectory>,
    state: Mutex<BoardState>,
    waiters: WakeList,
    /// Whether reports and decisions are being made.
    is_working: AtomicBool,
}

#[derive(Debug, Default)]
struct BoardState {
    /// The share of a service's requests that a version may get before it is judged; none where no roll-outs are ordered.
    exposure: Option<f64>,
    rollouts: BTreeMap<Name, KnownRollout>,
    /// Services whose order can't be read; nothing of theirs is moved.
    blocked: BTreeSet<Name>,
    /// Versions by service of which it is known whether they are on order.
    vetted: BTreeSet<(Name, Name)>,
    /// Versions by service of which it isn't yet.
    unvetted: BTreeMap<Name, BTreeSet<Name>>,
    /// When this host last heard of the store.
    confirmed: Option<TimePoint>,
}

/// One answer of an endpoint, as evidence about its version.
#[derive(Debug, Clone, Copy)]
pub(crate) struct VersionAnswer<'a> {
    pub(crate) service: &'a Name,
    pub(crate) route: &'a Name,
    pub(crate) endpoint: &'a EndpointId,
    pub(crate) version: &'a Name,
    pub(crate) is_failure: bool,
    /// From the send to the answer, or to the first event of a stream.
    pub(crate) first: Option<Duration>,
    /// Between two events of a stream, in the mean.
    pub(crate) gap: Option<Duration>,
}

impl RolloutBoard {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "rollouts";

    /// An empty board, of services that are registered; `exposure` is the share of a service's requests that a version
    /// may get before it is judged, none where no roll-outs are ordered.
    ///
    /// # Errors
    ///
    /// `Internal` if one of them is not registered.
    pub(crate) fn new(registry: &ServiceRegistry, exposure: Option<f64>) -> Result<Self> {
        Ok(Self {
            timer: registry.find(TimerService::NAME)?,
            recorder: registry.find(MetricRecorder::NAME)?,
            endpoints: registry.find(EndpointDirectory::NAME)?,
            state: Mutex::new(BoardState { exposure, ..BoardState::default() }),
            waiters: WakeList::default(),
            is_working: AtomicBool::new(false),
        })
    }

    /// Takes in another share.
    pub(crate) fn rebound(&self, exposure: Option<f64>) {
        lock(&self.state).exposure = exposure;
    }

    /// Whether roll-outs may be ordered here.
    pub(crate) fn is_on(&self) -> bool {
        lock(&self.state).exposure.is_some()
    }

    /// Whether any roll-out is being decided, or a decision is missing in the store.
    pub(crate) fn is_active(&self) -> bool {
        lock(&self.state).rollouts.values().any(|rollout| rollout.is_active() || rollout.is_unwritten())
    }

    /// Whether there are versions of which a list of the orders would tell whether they are on order. Where an order can't be
    /// read it would not.
    pub(crate) fn has_unvetted(&self) -> bool {
        let state = lock(&self.state);
        state.unvetted.keys().any(|service| !state.blocked.contains(service))
    }

    /// Whether a change of an order would matter to this host now.
    pub(crate) fn is_awaited(&self) -> bool {
        !lock(&self.state).blocked.is_empty() || self.is_active()
    }

    /// Completes when there is a version to be vetted.
    pub(crate) fn signal(&self) -> oneshot::Receiver<()> {
        self.waiters.wait()
    }

    /// Which versions a request may go to; none if any.
    ///
    /// A version on trial is drawn for a small share of the requests, and only for their first attempt (`is_first`): what
    /// is sent again has been held up enough.
    pub(crate) fn rule(&self, service: &Name, is_first: bool) -> Option<VersionFilter> {
        let state = lock(&self.state);
        let exposure = state.exposure?;
        let unvetted = state.unvetted.get(service).cloned();
        let now = self.timer.now();
        let rollout = state.rollouts.get(service);
        let is_heard = state.confirmed.is_some_and(|at| now.since(at) <= CONFIRMED_FOR);
        let target = rollout.map(|rollout| (Name::clone(&rollout.order.target), rollout.plan().share(now)));
        drop(state);
        let others = |version: Option<Name>| {
            let except: BTreeSet<Name> = unvetted.clone().into_iter().flatten().chain(version).collect();
            (!except.is_empty()).then(|| VersionFilter { except, ..VersionFilter::any() })
        };
        match target {
            None | Some((_, TargetShare::Unrestricted)) => others(None),
            Some((version, TargetShare::None)) => others(Some(version)),
            Some((version, TargetShare::All)) => {
                let is_there = !self.live_endpoints(service, &version).is_empty();
                is_there.then(|| VersionFilter::only(&version))
            }
            Some((version, TargetShare::Trial)) => {
                let drawn =
                    if is_first && is_heard { self.draw(service, &version, exposure * TRIAL_PART) } else { None };
                drawn.or_else(|| others(Some(version)))
            }
        }
    }

    /// The rule for a request that is drawn for the version on trial, if it is.
    fn draw(&self, service: &Name, version: &Name, share: f64) -> Option<VersionFilter> {
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

    /// Whether an endpoint may be sent what another one has begun.
    pub(crate) fn may_go_on_at(&self, service: &Name, version: &Name) -> bool {
        let state = lock(&self.state);
        let Some(rollout) = state.rollouts.get(service).filter(|_| state.exposure.is_some()) else {
            return true;
        };
        let is_target = rollout.order.target == *version;
        match rollout.plan().share(self.timer.now()) {
            TargetShare::None => !is_target,
            // While it is moved to, what runs elsewhere may still end there.
            TargetShare::All => is_target || rollout.state == Some(RolloutState::Moving),
            TargetShare::Trial | TargetShare::Unrestricted => true,
        }
    }

    fn live_endpoints(&self, service: &Name, target: &Name) -> Vec<EndpointId> {
        let table = self.endpoints.table();
        let live = table.iter().filter(|record| record.state == EndpointState::Live);
        let meant = live.filter(|record| record.service == *service && record.version == *target);
        meant.map(|record| EndpointId::clone(&record.id)).collect()
    }

    /// Takes in what an endpoint answered.
    pub(crate) fn note_answer(&self, answer: &VersionAnswer<'_>) {
        let mut state = lock(&self.state);
        let Some(rollout) = state.rollouts.get_mut(answer.service).filter(|rollout| rollout.is_active()) else {
            return;
        };
        let is_target = rollout.order.target == *answer.version;
        let tally = if is_target {
            rollout.evidence.target_mut(answer.route, answer.endpoint)
        } else {
            rollout.evidence.others_mut(answer.route)
        };
        tally.record(answer.is_failure, answer.first, answer.gap);
        drop(state);
        if is_target {
            self.recorder.count(if answer.is_failure { "trial_answers_failed" } else { "trial_answers_good" });
        }
    }

    /// Looks for versions of which it is not known whether they are on order.
    ///
    /// Where all endpoints of a service are of one version, an order would have nothing to move to.
    pub(crate) fn note_versions(&self) {
        let mut state = lock(&self.state);
        if state.exposure.is_none() {
            return;
        }
        let mut counts: BTreeMap<Name, BTreeMap<Name, usize>> = BTreeMap::new();
        for record in self.endpoints.table().iter() {
            let versions = counts.entry(Name::clone(&record.service)).or_default();
            *versions.entry(Name::clone(&record.version)).or_default() += 1;
        }
        state.unvetted.clear();
        for (service, versions) in counts {
            state.note_service(service, &versions);
        }
        if !state.unvetted.is_empty() {
            drop(state);
            self.waiters.wake();
        }
    }

    /// Notes that the store was heard of at a time.
    pub(crate) fn confirm(&self, at: TimePoint) {
        let mut state = lock(&self.state);
        state.confirmed = state.confirmed.max(Some(at));
    }

    /// Takes in all orders that there are, of when nothing was known of the versions that were looked for then.
    pub(crate) fn take_list(&self, objects: &[StoreObject], looked_for: &BTreeMap<Name, BTreeSet<Name>>) {
        let missing: Vec<Name> = {
            let state = lock(&self.state);
            let present = |service: &Name| objects.iter().any(|object| object.name == *service);
            state.rollouts.keys().chain(&state.blocked).filter(|service| !present(service)).cloned().collect()
        };
        for service in &missing {
            self.forget(service);
        }
        for object in objects {
            self.take(object);
        }
        lock(&self.state).vet(looked_for);
        self.note_versions();
    }

    /// The versions that are to be vetted.
    pub(crate) fn unvetted(&self) -> BTreeMap<Name, BTreeSet<Name>> {
        lock(&self.state).unvetted.clone()
    }

    /// Takes in an order and what was written of it.
    pub(crate) fn take(&self, object: &StoreObject) {
        match hollyhook_platform::decode_order(object) {
            Ok(order) => self.take_order(object, order),
            Err(error) => {
                self.recorder.count("rollouts_malformed");
                tracing::error!(%error, service = %object.name, revision = object.revision, "rollout.malformed");
                lock(&self.state).blocked.insert(Name::clone(&object.name));
            }
        }
    }

    fn take_order(&self, object: &StoreObject, order: RolloutOrder) {
        let now = self.timer.now();
        let status = hollyhook_platform::decode_status(object, &order);
        let mut state = lock(&self.state);
        state.blocked.remove(&object.name);
        state.vetted.insert((Name::clone(&order.service), Name::clone(&order.target)));
        let known = state.rollouts.get(&order.service);
        let known = known.filter(|known| known.order.target == order.target && !known.is_withdrawn).cloned();
        let is_new = known.is_none();
        let mut rollout = known.unwrap_or_else(|| KnownRollout {
            order: order.clone(),
            object: object.clone(),
            stored: None,
            state: None,
            state_since: now,
            ordered_at: heard_at(now, &order, status.as_ref()),
            is_withdrawn: false,
            evidence: TrialEvidence::default(),
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

    /// Takes in that an order is gone. What was rolled back stays so until there is another order.
    pub(crate) fn forget(&self, service: &Name) {
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

    /// The roll-outs that are being decided, or whose decision is missing in the store.
    pub(crate) fn active(&self) -> Vec<KnownRollout> {
        let state = lock(&self.state);
        let active = state.rollouts.values().filter(|rollout| rollout.is_active() || rollout.is_unwritten());
        active.cloned().collect()
    }

    /// What this host saw of the versions on trial, where it saw any answer of them.
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

    /// What this host saw of one roll-out.
    pub(crate) fn evidence(&self, service: &Name) -> TrialEvidence {
        lock(&self.state).rollouts.get(service).map(|rollout| rollout.evidence.clone()).unwrap_or_default()
    }

    /// Whether nobody here reports and decides yet; if so, the caller does from now on.
    pub(crate) fn begin_work(&self) -> bool {
        self.is_active() && !self.is_working.swap(true, Ordering::AcqRel)
    }

    pub(crate) fn end_work(&self) {
        self.is_working.store(false, Ordering::Release);
    }
}

impl BoardState {
    /// Looks at the versions of a service, and how many endpoints have each.
    fn note_service(&mut self, service: Name, versions: &BTreeMap<Name, usize>) {
        let is_vetted = |version: &Name| self.vetted.contains(&(Name::clone(&service), Name::clone(version)));
        if !versions.keys().any(is_vetted)
            && let Some((usual, _)) = versions.iter().max_by_key(|(_, count)| **count)
        {
            // Nothing is known of any: most run what was there before.
            self.vetted.insert((Name::clone(&service), Name::clone(usual)));
        }
        let is_vetted = |version: &Name| self.vetted.contains(&(Name::clone(&service), Name::clone(version)));
        let unvetted: BTreeSet<Name> = versions.keys().filter(|version| !is_vetted(version)).cloned().collect();
        if !unvetted.is_empty() {
            self.unvetted.insert(service, unvetted);
        }
    }

    /// Takes in that no order beside those that are known names these versions.
    fn vet(&mut self, looked_for: &BTreeMap<Name, BTreeSet<Name>>) {
        for (service, versions) in looked_for {
            if self.blocked.contains(service) {
                continue;
            }
            let vetted = versions.iter().map(|version| (Name::clone(service), Name::clone(version)));
            self.vetted.extend(vetted);
        }
    }
}
