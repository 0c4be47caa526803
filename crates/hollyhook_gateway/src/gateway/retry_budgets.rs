use std::collections::HashMap;
use std::sync::Mutex;

use hollyhook_core::{Name, RetryWindow, TimePoint};
use hollyhook_settings::RetryBounds;

use crate::sync::lock;

/// The part of the allowed retries that this host spends, so that clocks and windows that differ do not add up to
/// more than is allowed.
const RETRY_SHARE: f64 = 0.75;
/// Hosts among which the fixed part of the retry allowance is divided; docs/CAPACITY.md says what this becomes at a
/// thousand.
const RETRY_HOSTS: u64 = 16;

/// The retry budget of each service, as far as this host may spend it.
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

    /// Takes other bounds; what was counted under the old ones is forgotten.
    pub(crate) fn set_bounds(&self, bounds: RetryBounds) {
        let mut state = lock(&self.inner);
        if state.bounds != bounds {
            *state = BudgetState { bounds, windows: HashMap::new() };
        }
    }

    /// Counts a request's first send.
    pub(crate) fn earn(&self, service: &Name, now: TimePoint) {
        self.act(service, |window| window.earn(now));
    }

    /// Whether one more send may be made; if so, it is counted.
    pub(crate) fn try_spend(&self, service: &Name, now: TimePoint) -> bool {
        self.act(service, |window| window.try_spend(now))
    }

    fn act<T>(&self, service: &Name, act: impl FnOnce(&mut RetryWindow) -> T) -> T {
        let mut state = lock(&self.inner);
        let bounds = state.bounds;
        let window = state.windows.entry(Name::clone(service)).or_insert_with(|| {
            let reserve = (bounds.extra / RETRY_HOSTS) as u32;
            RetryWindow::new(bounds.window, bounds.ratio * RETRY_SHARE, reserve)
        });
        act(window)
    }
}
