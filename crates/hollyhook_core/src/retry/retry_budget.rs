/// Lets retries be at most a share of first tries, so that a failure can't feed itself.
///
/// Each first try earns a share of a retry; each retry costs one; the balance is bounded on both sides.
///
/// ```
/// use hollyhook_core::RetryBudget;
///
/// let mut budget = RetryBudget::new(0.2, 1.0);
/// assert!(budget.try_spend());
/// assert!(!budget.try_spend());
/// (0..5).for_each(|_| budget.earn());
/// assert!(budget.try_spend());
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    reserve: f64,
    balance: f64,
    refused: u64,
}

impl RetryBudget {
    /// A budget of `share` retries a first try, starting with and saving up to `reserve` retries.
    pub fn new(share: f64, reserve: f64) -> Self {
        Self { share, reserve, balance: reserve, refused: 0 }
    }

    /// Counts a first try.
    pub fn earn(&mut self) {
        self.balance = (self.balance + self.share).min(self.reserve);
    }

    /// Whether a retry may be made; if so, it is paid for.
    pub fn try_spend(&mut self) -> bool {
        if self.balance < 1.0 - f64::EPSILON * 8.0 {
            self.refused += 1;
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Retries that were refused.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
