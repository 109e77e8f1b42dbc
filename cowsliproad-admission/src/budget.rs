//! The retry budget: limits retries to a fraction of successful requests.
//!
//! A fixed number of attempts per request multiplies the load just when
//! targets fail. With a budget, each retry spends credit that earlier
//! successes earned, so a full outage is amplified by little more than the
//! reserve.

/// A retry budget shared by the requests of one service at one entry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries that may be spent, in thousandths of a retry.
    balance_milli: u64,
    /// Credit for each successful request, in thousandths of a retry.
    credit_milli: u64,
    /// Upper bound of the balance, in thousandths of a retry.
    max_balance_milli: u64,
}

/// The cost of one retry, in thousandths of a retry.
const RETRY_COST_MILLI: u64 = 1000;

impl RetryBudget {
    /// Creates a full budget: every 100 successes earn `percent` retries, and
    /// at most `reserve` retries can be saved up.
    pub fn new(percent: u32, reserve: u32) -> RetryBudget {
        let max_balance_milli = u64::from(reserve) * RETRY_COST_MILLI;
        RetryBudget {
            balance_milli: max_balance_milli,
            credit_milli: u64::from(percent) * 10,
            max_balance_milli,
        }
    }

    /// Records a successful request and credits its share of a retry.
    pub fn record_success(&mut self) {
        self.balance_milli = (self.balance_milli + self.credit_milli)
            .min(self.max_balance_milli);
    }

    /// Spends one retry; returns false if the budget is exhausted.
    pub fn try_spend(&mut self) -> bool {
        if self.balance_milli < RETRY_COST_MILLI {
            return false;
        }
        self.balance_milli -= RETRY_COST_MILLI;
        true
    }
}
