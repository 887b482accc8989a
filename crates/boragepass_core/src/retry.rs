//! Budget for retries or hedges, as a percentage of first attempts, so that failures cannot multiply load.

/// The balance counts hundredths of an attempt, so that one first attempt earns `percent` of them.
const HUNDREDTHS_PER_ATTEMPT: u64 = 100;
/// Extra attempts that the budget holds at the start and at most.
const RESERVE_ATTEMPTS: u64 = 50;

/// Budget that first attempts fill and extra attempts use up.
#[derive(Debug, Clone)]
pub(crate) struct AttemptBudget {
    balance_hundredths: u64,
    percent: u64,
}

impl AttemptBudget {
    /// Full budget that earns `percent` extra attempts for each hundred first attempts.
    pub(crate) fn new(percent: u64) -> Self {
        Self { balance_hundredths: RESERVE_ATTEMPTS * HUNDREDTHS_PER_ATTEMPT, percent }
    }

    /// Adds the share of one first attempt.
    pub(crate) fn on_first_try(&mut self) {
        let balance_max = RESERVE_ATTEMPTS * HUNDREDTHS_PER_ATTEMPT;
        self.balance_hundredths = (self.balance_hundredths + self.percent).min(balance_max);
    }

    /// Spends one extra attempt if the balance holds one.
    pub(crate) fn try_take(&mut self) -> bool {
        if self.balance_hundredths < HUNDREDTHS_PER_ATTEMPT {
            return false;
        }
        self.balance_hundredths -= HUNDREDTHS_PER_ATTEMPT;
        true
    }
}
