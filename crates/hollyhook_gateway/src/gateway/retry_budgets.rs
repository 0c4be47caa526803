use std::collections::HashMap;
use std::sync::Mutex;

use hollyhook_core::{Name, RetryWindow, TimePoint};
use hollyhook_settings::RetryBounds;

use crate::sync::lock;

/// The fraction of the permitted retries per request that each host spends. The rest is a margin for clocks and windows
/// that differ between hosts, so that all hosts together stay within the limit.
const RETRY_SHARE: f64 = 0.75;
/// Hosts among which the fixed part of the retry allowance is divided, however many there are; docs/CAPACITY.md states
/// the result with a thousand hosts.
const RETRY_HOSTS: u64 = 16;

/// This host's retry budget for each service.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    inner: Mutex<BudgetState>,
}

#[derive(Debug)]
struct BudgetState {
    bounds: RetryBounds,
    windows: HashMap<Name, RetryWindow>,
}

impl RetryBudgets {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "retries";

    pub(crate) fn new(bounds: RetryBounds) -> Self {
        Self { inner: Mutex::new(BudgetState { bounds, windows: HashMap::new() }) }
    }

    /// Changes the bounds. If they differ, all windows are discarded with what they counted.
    pub(crate) fn set_bounds(&self, bounds: RetryBounds) {
        let mut state = lock(&self.inner);
        if state.bounds != bounds {
            *state = BudgetState { bounds, windows: HashMap::new() };
        }
    }

    /// Counts the first send of a request, which adds to the budget.
    pub(crate) fn earn(&self, service: &Name, now: TimePoint) {
        self.with_window(service, |window| window.earn(now));
    }

    /// Whether the budget allows one more retry; nothing is counted.
    pub(crate) fn may_spend(&self, service: &Name, now: TimePoint) -> bool {
        self.with_window(service, |window| window.may_spend(now))
    }

    /// Whether the budget allows one more retry; if so, the retry is counted.
    pub(crate) fn try_spend(&self, service: &Name, now: TimePoint) -> bool {
        self.with_window(service, |window| window.try_spend(now))
    }

    fn with_window<T>(&self, service: &Name, apply: impl FnOnce(&mut RetryWindow) -> T) -> T {
        let mut state = lock(&self.inner);
        let bounds = state.bounds;
        let window = state.windows.entry(Name::clone(service)).or_insert_with(|| {
            let reserve = (bounds.extra / RETRY_HOSTS) as u32;
            RetryWindow::new(bounds.window, bounds.ratio * RETRY_SHARE, reserve)
        });
        apply(window)
    }
}
