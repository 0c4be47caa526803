use hollyhook_core::{AttemptFailure, AttemptLedger, StopReason};

use crate::front::CallerRequest;
use crate::gateway::GatewayContext;

/// Notes a failed attempt and says why no other may follow, if none may.
///
/// Another attempt spends of the service's retry budget, unless the failed one has certainly not arrived anywhere.
pub(super) fn end_attempt(
    context: &GatewayContext,
    caller: &CallerRequest,
    ledger: &mut AttemptLedger,
    failure: AttemptFailure,
) -> Option<StopReason> {
    ledger.record_failure(failure);
    let reason = ledger.stop_reason(caller.time_left(context.timer.now()));
    let is_quarantined = || context.quarantine.refusal(|| caller.digest()).is_some();
    let reason = reason.or_else(|| is_quarantined().then_some(StopReason::Quarantined));
    let is_spent = || failure.has_arrived() && !context.try_retry(&caller.service);
    reason.or_else(|| is_spent().then_some(StopReason::BudgetExhausted))
}
