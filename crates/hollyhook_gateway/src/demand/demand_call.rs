use std::sync::Arc;

use hollyhook_core::{Name, Result, TimePoint};
use http::Response;

use super::DemandSender;
use crate::front::{CallerRequest, ResponseBody};
use crate::gateway::GatewayContext;

/// A caller's request that is counted as demand, until it has been answered.
#[derive(Debug)]
pub(crate) struct DemandCall {
    context: Arc<GatewayContext>,
    service: Name,
    /// When a plain call began; `None` for a stream, which lasts longer than the wait for its response.
    began_at: Option<TimePoint>,
}

impl DemandCall {
    /// Counts a request as demand for its service; `None` if this host takes no part in the exchange.
    pub(crate) fn begin(context: &Arc<GatewayContext>, caller: &CallerRequest) -> Option<Self> {
        if !context.demand.is_enabled() {
            return None;
        }
        context.demand.count_request(&caller.service, caller.priority());
        let began_at = (!caller.route.kind.is_stream()).then(|| context.timer.now());
        Some(Self { context: Arc::clone(context), service: Name::clone(&caller.service), began_at })
    }

    /// Records how long an answered call took, and starts the sending of summaries if its service is overloaded.
    pub(crate) fn finish(self, outcome: &Result<Response<ResponseBody>>) {
        let is_answered = outcome.as_ref().is_ok_and(|response| response.status().is_success());
        if let Some(began_at) = self.began_at.filter(|_| is_answered) {
            self.context.demand.record_call(&self.service, self.context.timer.now().since(began_at));
        }
        DemandSender::spawn_if_needed(&self.context);
    }
}
