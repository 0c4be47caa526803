use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use hollyhook_core::{RolloutState, RolloutStep, TrialEvidence, VersionTally, VersionVerdict, evaluate_version};
use hollyhook_platform::{ObjectKind, TrialReport};
use rand::Rng;

use super::{StoreClient, StoreError, is_reader};
use crate::gateway::{GatewayContext, KnownRollout};

/// Delay in milliseconds between two rounds; random, so that hosts don't write at the same moment.
const ROUND_PAUSE_MS: std::ops::Range<u64> = 400..600;

/// Reports what this host observed of versions on trial. At hosts that read the store themselves, also evaluates these
/// versions by the reports of all hosts and writes the states of the roll-outs.
///
/// Several hosts decide by the same evidence, and the first write takes effect: the others name a revision that the
/// order no longer has, and are rejected. The state of a roll-out never goes back.
#[derive(Debug)]
pub(crate) struct RolloutWorker {
    context: Arc<GatewayContext>,
    client: StoreClient,
    /// The reports of this host that were last written.
    written_reports: Vec<TrialReport>,
}

impl RolloutWorker {
    /// Starts a worker if a roll-out is active or its state is not stored, and no worker is running.
    pub(crate) fn spawn_if_needed(context: &Arc<GatewayContext>) {
        if context.rollouts.begin_work() {
            let client = StoreClient::new(context);
            task::spawn(Self { context: Arc::clone(context), client, written_reports: Vec::new() }.run());
        }
    }

    async fn run(mut self) {
        while self.context.rollouts.is_active() {
            if let Err(error) = self.run_round().await {
                tracing::info!(%error, "rollout.round_failed");
            }
            let pause = rand::rng().random_range(ROUND_PAUSE_MS);
            self.context.timer.wait(Duration::from_millis(pause)).await;
        }
        self.context.rollouts.end_work();
        // Another order may have arrived since the last check, when no other worker could be started.
        Self::spawn_if_needed(&self.context);
    }

    async fn run_round(&mut self) -> Result<(), StoreError> {
        self.context.rollouts.evaluate_losses();
        self.write_reports().await?;
        if !is_reader(&self.context) {
            return Ok(());
        }
        let reports = self.read_reports().await?;
        for rollout in self.context.rollouts.active() {
            self.decide(&rollout, &reports).await?;
        }
        Ok(())
    }

    /// Writes this host's reports if they changed since the last write.
    async fn write_reports(&mut self) -> Result<(), StoreError> {
        let reports = self.context.rollouts.reports();
        if reports == self.written_reports {
            return Ok(());
        }
        self.client.write_trials(&self.context.host, &reports).await?;
        self.written_reports = reports;
        Ok(())
    }

    /// Reads the reports of the other hosts.
    async fn read_reports(&mut self) -> Result<Vec<TrialReport>, StoreError> {
        let (objects, _revision) = self.client.list(ObjectKind::Trial, StoreClient::SHARED_RECORD_TIMEOUT).await?;
        let mut reports = Vec::new();
        for object in objects.iter().filter(|object| object.name != self.context.host) {
            match hollyhook_platform::decode_trials(object) {
                Ok(decoded) => reports.extend(decoded),
                Err(error) => tracing::error!(%error, host = %object.name, "trial.malformed"),
            }
        }
        Ok(reports)
    }

    /// Writes the next state of a roll-out if the evidence of all hosts, or the time passed, calls for one.
    async fn decide(&mut self, rollout: &KnownRollout, reports: &[TrialReport]) -> Result<(), StoreError> {
        if let Some(state) = rollout.state.filter(|_| rollout.is_unwritten()) {
            // The store was restored from a copy that was made before this state was written.
            return self.write_status(rollout, state, VersionVerdict::Open, &TrialEvidence::default()).await;
        }
        let mut evidence = self.context.rollouts.evidence(&rollout.order.service);
        let is_of_rollout =
            |report: &&TrialReport| report.service == rollout.order.service && report.target == rollout.order.target;
        reports.iter().filter(is_of_rollout).for_each(|report| evidence.merge(&report.evidence));
        let verdict = evaluate_version(&evidence);
        match rollout.plan().step(self.context.timer.now(), verdict) {
            RolloutStep::Wait => Ok(()),
            RolloutStep::Write(state) => self.write_status(rollout, state, verdict, &evidence).await,
        }
    }

    /// Writes a state of a roll-out, with the evidence for the log, unless another host changed the order first.
    async fn write_status(
        &mut self,
        rollout: &KnownRollout,
        state: RolloutState,
        verdict: VersionVerdict,
        evidence: &TrialEvidence,
    ) -> Result<(), StoreError> {
        let status = rollout.status(self.context.timer.now(), state);
        let rejected = self.context.rollouts.rejected_versions(&rollout.order.service);
        match self.client.write_rollout(&rollout.object, &rollout.order, &status, &rejected).await {
            // Another host wrote first; the watch returns what it wrote.
            Err(StoreError::Conflict) => return Ok(()),
            outcome => outcome?,
        }
        let (order, others) = (&rollout.order, evidence.others.values());
        let (others, on_target): (VersionTally, VersionTally) = (others.sum(), evidence.target.values().sum());
        tracing::info!(service = %order.service, target = %order.target, state = state.as_str(), verdict = ?verdict,
            answers = on_target.answers, failures = on_target.failures, client_errors = on_target.client_errors,
            compared = on_target.compared, lost = on_target.lost, others_answers = others.answers,
            others_failures = others.failures, others_client_errors = others.client_errors,
            others_compared = others.compared, others_lost = others.lost, "rollout.written");
        self.context.recorder.count(match state {
            RolloutState::Trial => "rollouts_begun",
            RolloutState::Moving => "rollouts_moving",
            RolloutState::Completed => "rollouts_completed",
            RolloutState::RolledBack => "rollouts_rolled_back",
        });
        Ok(())
    }
}
