//! Budgets for retries and hedges: a share of first tries, so that failures cannot multiply load.

const WHOLE_TOKEN: u64 = 100;
const RESERVE_TOKENS: u64 = 50;

/// Budget that first tries fill and extra attempts use up.
#[derive(Debug, Clone)]
pub(crate) struct AttemptBudget {
    hundredths: u64,
    percent: u64,
}

impl AttemptBudget {
    /// Budget of `percent` extra attempts for each hundred first tries.
    pub(crate) fn new(percent: u64) -> Self {
        Self { hundredths: RESERVE_TOKENS * WHOLE_TOKEN, percent }
    }

    /// Notes a first try.
    pub(crate) fn on_first_try(&mut self) {
        let full = RESERVE_TOKENS * WHOLE_TOKEN;
        self.hundredths = (self.hundredths + self.percent).min(full);
    }

    /// Takes one extra attempt, if the budget holds one.
    pub(crate) fn take(&mut self) -> bool {
        if self.hundredths < WHOLE_TOKEN {
            return false;
        }
        self.hundredths -= WHOLE_TOKEN;
        true
    }
}
