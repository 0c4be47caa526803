use std::time::Duration;

use hollyhook_core::{EndpointId, EndpointState, Name, RolloutState, TargetShare, VersionFilter};
use rand::Rng;

use super::rollout_tracker::RolloutTracker;
use crate::sync::lock;

/// The fraction of the permitted exposure that a version on trial gets. The rest leaves room for random variation, and
/// for the requests that are moved to the version shortly before the deadline.
const EXPOSURE_FRACTION: f64 = 0.8;
/// How long after its last successful read of the store this host still sends requests to a version on trial. Without
/// the store, it can't learn that the version failed at other hosts.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(2_500);

/// The versions that requests may be routed to.
impl RolloutTracker {
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
        let checked = state.checks.checked(service);
        let now = self.timer.now();
        let rollout = state.rollouts.get(service);
        let is_confirmed = state.confirmed.is_some_and(|at| now.since(at) <= MAX_CONFIRMATION_AGE);
        let target = rollout.map(|rollout| (Name::clone(&rollout.order.target), rollout.plan().share(now)));
        let rejected = state.checks.rejected(service);
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
        let mut except = state.checks.rejected(service);
        if let Some((version, TargetShare::Trial | TargetShare::None)) = target {
            except.insert(Name::clone(version));
        }
        Some(VersionFilter { checked: state.checks.checked(service), except, ..VersionFilter::any() })
    }

    /// Whether a generation that began at another endpoint may be resumed at an endpoint of this version.
    pub(crate) fn may_continue_at(&self, service: &Name, version: &Name) -> bool {
        let state = lock(&self.state);
        let Some(rollout) = state.rollouts.get(service).filter(|_| state.exposure.is_some()) else {
            return true;
        };
        let is_target = rollout.order.target == *version;
        if state.checks.rejected(service).contains(version) {
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

    fn live_endpoints(&self, service: &Name, target: &Name) -> Vec<EndpointId> {
        let table = self.endpoints.table();
        let live = table.iter().filter(|record| record.state == EndpointState::Live);
        let matching = live.filter(|record| record.service == *service && record.version == *target);
        matching.map(|record| EndpointId::clone(&record.id)).collect()
    }
}
