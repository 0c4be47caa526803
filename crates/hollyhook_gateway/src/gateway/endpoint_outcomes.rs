use hollyhook_core::{AttemptFailure, EndpointGroup, EndpointId};

use super::EndpointDirectory;

/// The outcomes of attempts at endpoints.
impl EndpointDirectory {
    /// Records the outcome of an attempt at an endpoint; `failure` is `None` if the attempt succeeded.
    pub(crate) fn record_outcome(&self, id: &EndpointId, failure: Option<AttemptFailure>) {
        self.recorder.count(failure.map_or("attempts_succeeded", attempt_counter));
        let mut table = self.table();
        self.demand.record_outcome(table.get(id), failure);
        match failure {
            None => {
                table.record_success(id);
                table.record_answer(self.timer.now(), id, false);
            }
            Some(AttemptFailure::WrongIncarnation) => {
                table.remove(id);
                self.pool.close_idle(id);
            }
            // Recorded when the endpoint was found silent; it may have been heard again since.
            Some(AttemptFailure::Silent) => {}
            Some(failure) if failure.is_loss() => {
                self.pool.close_idle(id);
                let group = table.get(id).map(EndpointGroup::from);
                if group.is_some_and(|group| self.paths.explains_failure(&group)) {
                    return;
                }
                table.record_failure(self.timer.now(), id);
                tracing::info!(endpoint = %id, failure = failure.as_str(), "endpoint.ejected");
            }
            Some(failure @ (AttemptFailure::Rejected | AttemptFailure::Failed | AttemptFailure::Garbled)) => {
                let now = self.timer.now();
                if failure == AttemptFailure::Rejected && table.terms_mut().record_rejection(now, id) {
                    self.recorder.count("rejected_by_brittle");
                }
                table.record_answer(self.timer.now(), id, true);
            }
            Some(_) => {}
        }
    }

    /// Forgets the failures of a group's endpoints, which the loss of the path to them explains.
    pub(crate) fn forgive_failures(&self, group: &EndpointGroup) {
        self.table().forgive_failures(group);
    }
}

/// The name of the metric that counts attempts with this failure.
fn attempt_counter(failure: AttemptFailure) -> &'static str {
    match failure {
        AttemptFailure::NotConnected => "attempts_not_connected",
        AttemptFailure::Rejected => "attempts_rejected",
        AttemptFailure::WrongIncarnation => "attempts_wrong_incarnation",
        AttemptFailure::Broken => "attempts_broken",
        AttemptFailure::Silent => "attempts_silent",
        AttemptFailure::Expired => "attempts_expired",
        AttemptFailure::Garbled => "attempts_garbled",
        AttemptFailure::Failed => "attempts_failed",
    }
}
