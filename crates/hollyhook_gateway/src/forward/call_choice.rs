use std::time::Duration;

use hollyhook_core::{EndpointId, RouteQuery, VersionFilter};

use super::attempt::EndpointSlot;
use super::call_run::CallRun;
use crate::gateway::RoutingFailure;

/// The choice of the endpoint of a call's next attempt.
impl CallRun<'_> {
    /// Reserves a slot for the next attempt, at an endpoint that is not silent if `is_responsive`.
    pub(super) fn reserve_slot(&self, is_responsive: bool) -> Option<EndpointSlot> {
        let reserve = |filter: &VersionFilter| {
            self.with_query(filter, |query| {
                let now = self.context.timer.now();
                let query = if is_responsive { query.responsive(now) } else { query };
                EndpointSlot::reserve_any(self.context, &query)
            })
        };
        let filter = self.version_filter();
        reserve(&filter).or_else(|| filter.only.is_some().then(|| reserve(&self.fallback_filter())).flatten())
    }

    /// Why no endpoint admits the call.
    pub(super) fn routing_failure(&self) -> RoutingFailure {
        let filter = self.version_filter();
        let filter = if filter.only.is_none() { filter } else { self.fallback_filter() };
        self.with_query(&filter, |query| self.context.endpoints.routing_failure(&query))
    }

    fn version_filter(&self) -> VersionFilter {
        let is_first = self.ledger.attempts() == 0 && self.attempts.is_empty();
        self.context.rollouts.version_filter(&self.caller.service, is_first).unwrap_or_default()
    }

    /// The versions that may run the call if those that a roll-out moves requests to have no room.
    fn fallback_filter(&self) -> VersionFilter {
        self.context.rollouts.fallback_filter(&self.caller.service).unwrap_or_default()
    }

    /// Applies `choose` to a query for an endpoint that the call has not been sent to.
    fn with_query<T>(&self, filter: &VersionFilter, choose: impl FnOnce(RouteQuery<'_>) -> T) -> T {
        let open = self.attempts.iter().map(|attempt| attempt.slot.id());
        let sent_to: Vec<EndpointId> = self.tried.iter().map(|(id, _)| id).chain(open).cloned().collect();
        let idle = self.context.pool.idle_for(Duration::ZERO);
        let query = RouteQuery::new(&self.caller.service).avoid(&sent_to).versions(filter);
        choose(query.repeatable(self.caller.route.is_retryable()).prefer(&idle))
    }
}
