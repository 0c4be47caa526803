use hollyhook_core::{AttemptFailure, AttemptLedger, StopReason};

use crate::front::CallerRequest;
use crate::gateway::GatewayContext;

/// Records a failed attempt; returns why no further attempt may be made, or `None` if one may.
///
/// A further attempt is charged to the service's retry budget, unless the failed attempt certainly reached no endpoint.
pub(super) fn end_attempt(
    context: &GatewayContext,
    caller: &CallerRequest,
    ledger: &mut AttemptLedger,
    failure: AttemptFailure,
) -> Option<StopReason> {
    ledger.record_failure(failure);
    let reason = ledger.stop_reason(caller.time_left(context.timer.now()));
    let is_quarantined = || context.quarantine.refusal(|| caller.suspect()).is_some();
    let reason = reason.or_else(|| is_quarantined().then_some(StopReason::Quarantined));
    let is_budget_spent = || failure.has_arrived() && !context.try_retry(&caller.service);
    reason.or_else(|| is_budget_spent().then_some(StopReason::BudgetExhausted))
}
