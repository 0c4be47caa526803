/// Limits retries to a share of first attempts, so that a failure can't amplify itself through retries.
///
/// Each first attempt adds `share` to the balance and each retry subtracts one; the balance stays between zero and
/// `reserve`.
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
    /// Creates a budget of `share` retries per first attempt, with an initial and maximum balance of `reserve` retries.
    pub fn new(share: f64, reserve: f64) -> Self {
        Self { share, reserve, balance: reserve, refused: 0 }
    }

    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.balance = (self.balance + self.share).min(self.reserve);
    }

    /// Whether a retry may be made; if so, the retry is deducted from the balance.
    pub fn try_spend(&mut self) -> bool {
        if self.balance < 1.0 - f64::EPSILON * 8.0 {
            self.refused += 1;
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// The number of retries that were refused.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
