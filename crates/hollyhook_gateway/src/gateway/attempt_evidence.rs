use std::time::Duration;

use hollyhook_core::{AttemptEnd, EndpointId, Name, TrialEvidence, VersionOutcome, ZoneName};
use hollyhook_platform::TrialReport;

use super::rollout_tracker::RolloutTracker;
use crate::sync::lock;

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

/// This host's evidence about the versions on trial.
impl RolloutTracker {
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
}
