use hollyhook_core::{AccountName, QueueRequest};

use crate::front::CallerRequest;

/// The account under which requests without an account wait.
const PUBLIC_ACCOUNT: &str = "public";

/// The place in a queue that a caller's request asks for.
pub(crate) fn queue_request(caller: &CallerRequest) -> QueueRequest {
    let account = caller.account.as_ref().map(|account| AccountName::clone(&account.name));
    let account = account.unwrap_or_else(|| PUBLIC_ACCOUNT.into());
    QueueRequest::new(account, caller.priority(), caller.arrived)
        .objective(caller.arrived + caller.route.latency_objective)
        .deadline(caller.deadline)
        .bytes(caller.body.len())
}
