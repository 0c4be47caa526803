use std::time::Duration;

use hollyhook_core::{AttemptFailure, LivenessChecker, LivenessVerdict};

use super::attempt::EndpointTarget;
use super::endpoint_probe::ask_silent;
use crate::front::CallerRequest;
use crate::gateway::GatewayContext;

/// Silence between two events after which the engine is asked whether it lives. Callers bear 0.7 s, of which a dead engine
/// takes half a second to be found out with it and the rest is for the resume; an engine that reads another prompt
/// between steps pauses for 0.2 s.
const EVENT_SILENCE: Duration = Duration::from_millis(300);
/// Silence before the first event after which the engine is asked, beyond the time to read the prompt.
const FIRST_SILENCE: Duration = Duration::from_millis(500);
/// Tokens of a prompt that an engine reads in a millisecond, by the deployments' sheets.
const PROMPT_TOKENS_PER_MS: u64 = 8;

/// How long to hear nothing before the engine is asked, and what its reports said so far.
pub(super) struct SilenceWatch {
    silence: Duration,
    judge: LivenessChecker,
}

impl SilenceWatch {
    /// A watch on an attempt that has sent an event.
    pub(super) fn between_events() -> Self {
        Self { silence: EVENT_SILENCE, judge: LivenessChecker::default() }
    }

    /// A watch on an attempt that has first to read that many tokens.
    pub(super) fn before_first(prompt_tokens: u64) -> Self {
        let reading = Duration::from_millis(prompt_tokens / PROMPT_TOKENS_PER_MS);
        Self { silence: FIRST_SILENCE + reading, judge: LivenessChecker::default() }
    }

    /// How long to wait for the next bytes.
    pub(super) fn limit(&self, time_left: Duration) -> Duration {
        self.silence.min(time_left)
    }

    /// Decides whether to go on waiting for an engine that was silent for the limit; an error if not.
    pub(super) async fn check(
        &mut self,
        context: &GatewayContext,
        caller: &CallerRequest,
        target: &EndpointTarget,
        delivered: u64,
    ) -> Result<(), AttemptFailure> {
        if caller.time_left(context.timer.now()).is_zero() {
            return Err(AttemptFailure::Expired);
        }
        let report = ask_silent(context, target).await;
        self.silence = EVENT_SILENCE;
        match self.judge.check(report.as_ref(), &caller.head.attempt_id, delivered) {
            LivenessVerdict::Wait => Ok(()),
            LivenessVerdict::Abandon => Err(AttemptFailure::Silent),
        }
    }
}
