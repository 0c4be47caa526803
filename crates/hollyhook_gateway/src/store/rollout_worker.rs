use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use hollyhook_core::{RolloutState, RolloutStep, TrialEvidence, VersionVerdict, evaluate_version};
use hollyhook_platform::{ObjectKind, TrialReport};
use rand::Rng;

use super::{StoreClient, StoreError, is_reader};
use crate::gateway::{GatewayContext, KnownRollout};

/// The pause between two rounds, in milliseconds, drawn anew each time so that hosts don't write at once.
const ROUND: std::ops::Range<u64> = 400..600;

/// While a version is on trial: tells what this host saw of it, and, at hosts that read the store for others, judges it by
/// what all saw and writes how far the roll-out is.
///
/// Several hosts decide by the same evidence. What the first of them writes holds: the others' writes name a revision
/// that is no longer the order's, and what is decided never goes back.
#[derive(Debug)]
pub(crate) struct RolloutWorker {
    context: Arc<GatewayContext>,
    client: StoreClient,
    /// What was last written of what this host saw.
    told: Vec<TrialReport>,
}

impl RolloutWorker {
    /// Begins if anything is to be decided and nobody here does so yet.
    pub(crate) fn wake(context: &Arc<GatewayContext>) {
        if context.rollouts.begin_work() {
            let client = StoreClient::new(context);
            task::spawn(Self { context: Arc::clone(context), client, told: Vec::new() }.run());
        }
    }

    async fn run(mut self) {
        while self.context.rollouts.is_active() {
            if let Err(error) = self.round().await {
                tracing::info!(%error, "rollout.round_failed");
            }
            let pause = rand::rng().random_range(ROUND);
            self.context.timer.wait(Duration::from_millis(pause)).await;
        }
        self.context.rollouts.end_work();
        // Another order may have come since it was last looked.
        Self::wake(&self.context);
    }

    async fn round(&mut self) -> Result<(), StoreError> {
        self.tell().await?;
        if !is_reader(&self.context) {
            return Ok(());
        }
        let reports = self.read_reports().await?;
        for rollout in self.context.rollouts.active() {
            self.decide(&rollout, &reports).await?;
        }
        Ok(())
    }

    /// Writes what this host saw, if that is more than was written.
    async fn tell(&mut self) -> Result<(), StoreError> {
        let reports = self.context.rollouts.reports();
        if reports == self.told {
            return Ok(());
        }
        self.client.write_trials(&self.context.host, &reports).await?;
        self.told = reports;
        Ok(())
    }

    /// What the other hosts saw.
    async fn read_reports(&mut self) -> Result<Vec<TrialReport>, StoreError> {
        let (objects, _revision) = self.client.list(ObjectKind::Trial, StoreClient::NOTE_TIMEOUT).await?;
        let mut reports = Vec::new();
        for object in objects.iter().filter(|object| object.name != self.context.host) {
            match hollyhook_platform::decode_trials(object) {
                Ok(told) => reports.extend(told),
                Err(error) => tracing::error!(%error, host = %object.name, "trial.malformed"),
            }
        }
        Ok(reports)
    }

    async fn decide(&mut self, rollout: &KnownRollout, reports: &[TrialReport]) -> Result<(), StoreError> {
        if let Some(state) = rollout.state.filter(|_| rollout.is_unwritten()) {
            // The store came back from a copy of before the decision.
            return self.write(rollout, state, VersionVerdict::Open, &TrialEvidence::default()).await;
        }
        let mut evidence = self.context.rollouts.evidence(&rollout.order.service);
        let is_meant =
            |report: &&TrialReport| report.service == rollout.order.service && report.target == rollout.order.target;
        reports.iter().filter(is_meant).for_each(|report| evidence.merge(&report.evidence));
        let verdict = evaluate_version(&evidence);
        match rollout.plan().step(self.context.timer.now(), verdict) {
            RolloutStep::Wait => Ok(()),
            RolloutStep::Write(state) => self.write(rollout, state, verdict, &evidence).await,
        }
    }

    async fn write(
        &mut self,
        rollout: &KnownRollout,
        state: RolloutState,
        verdict: VersionVerdict,
        evidence: &TrialEvidence,
    ) -> Result<(), StoreError> {
        let status = rollout.status(self.context.timer.now(), state);
        match self.client.write_rollout(&rollout.object, &rollout.order, &status).await {
            // Another host was first; what it wrote is heard of.
            Err(StoreError::Exists) => return Ok(()),
            outcome => outcome?,
        }
        let (order, others) = (&rollout.order, evidence.others.values());
        let failures: u32 = evidence.target.values().map(|tally| tally.failures).sum();
        tracing::info!(service = %order.service, target = %order.target, state = state.as_str(), verdict = ?verdict,
            answers = evidence.target_answers(), failures,
            others_answers = others.clone().map(|tally| tally.answers).sum::<u32>(),
            others_failures = others.map(|tally| tally.failures).sum::<u32>(), "rollout.written");
        self.context.recorder.count(match state {
            RolloutState::Trial => "rollouts_begun",
            RolloutState::Moving => "rollouts_moving",
            RolloutState::Completed => "rollouts_completed",
            RolloutState::RolledBack => "rollouts_rolled_back",
        });
        Ok(())
    }
}
