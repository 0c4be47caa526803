use hollyhook_core::{EndpointGroup, EndpointId};

use super::EndpointDirectory;

/// Signs of life of endpoints, and their silences.
impl EndpointDirectory {
    /// Records that an endpoint sent nothing in time: it may have paused, or the path to it may be dead.
    pub(crate) fn record_silence(&self, id: &EndpointId) {
        self.pool.close_idle(id);
        let mut table = self.table();
        let group = table.get(id).map(EndpointGroup::from);
        if group.is_some_and(|group| self.paths.explains_silence(&group)) {
            return;
        }
        if table.record_silence(self.timer.now(), id) {
            self.recorder.count("endpoints_found_silent");
            tracing::info!(endpoint = %id, "endpoint.silent");
        }
    }

    /// Records that a run at an endpoint makes no progress although the endpoint answers.
    pub(crate) fn record_stall(&self, id: &EndpointId) {
        if self.table().record_stall(self.timer.now(), id) {
            self.recorder.count("endpoints_found_stalled");
            tracing::info!(endpoint = %id, "endpoint.stalled");
        }
    }

    /// Records that an endpoint answered, which ends its silence.
    pub(crate) fn record_heard(&self, id: &EndpointId) {
        let is_over = self.table().record_heard(self.timer.now(), id);
        self.log_heard_again(id, is_over);
    }

    /// Records that an endpoint sent an event of a stream, which ends its silence or stall.
    pub(crate) fn record_event(&self, id: &EndpointId) {
        let is_over = self.table().record_event(self.timer.now(), id);
        self.log_heard_again(id, is_over);
    }

    fn log_heard_again(&self, id: &EndpointId, is_over: bool) {
        if is_over {
            self.recorder.count("endpoints_heard_again");
            tracing::info!(endpoint = %id, "endpoint.heard_again");
        }
    }

    /// Whether an endpoint was heard so recently that it is known to be alive.
    pub(crate) fn is_alive(&self, id: &EndpointId) -> bool {
        self.table().is_alive(self.timer.now(), id)
    }

    /// Whether an endpoint was found silent a moment ago and has not been heard since.
    pub(crate) fn has_just_missed_probe(&self, id: &EndpointId) -> bool {
        self.table().is_just_silent(self.timer.now(), id)
    }

    /// Whether an endpoint has been found silent or stalled, and this has not ended.
    pub(crate) fn is_silent(&self, id: &EndpointId) -> bool {
        self.table().is_silent(id)
    }

    /// Whether most endpoints of a service that this host has heard recently are silent now.
    pub(crate) fn is_silence_widespread(&self, service: &str) -> bool {
        self.table().is_silence_widespread(self.timer.now(), service)
    }
}
