//! The retry budget: limits retries to a fraction of successful requests.
//!
//! A fixed number of attempts per request multiplies the load just when
//! targets fail. With a budget, each retry spends credit that earlier
//! successes earned, so a full outage is amplified by little more than the
//! retries that were saved up.

/// A retry budget shared by the requests of one service at one entry process.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries that may be spent, in thousandths of a retry (milliretries).
    balance_milliretries: u64,
    /// The credit that each successful request adds to the balance, in
    /// thousandths of a retry.
    success_credit_milliretries: u64,
    /// The upper bound of the balance of saved retries, in thousandths of a
    /// retry.
    max_balance_milliretries: u64,
}

/// The cost of one retry, in the unit of a [`RetryBudget`]'s balance.
const MILLIRETRIES_PER_RETRY: u64 = 1000;

/// The part of the retries that can be saved up which a new process has. The
/// process before it may have just spent what it had saved.
const INITIAL_SAVED_PERCENT: u64 = 10;

impl RetryBudget {
    /// Creates a budget: every 100 successful requests earn `retry_percent`
    /// retries, and at most `max_saved_retries` retries can be saved up, of
    /// which a new budget holds a tenth.
    pub fn new(retry_percent: u32, max_saved_retries: u32) -> RetryBudget {
        let max_balance_milliretries =
            u64::from(max_saved_retries) * MILLIRETRIES_PER_RETRY;
        RetryBudget {
            balance_milliretries: max_balance_milliretries
                * INITIAL_SAVED_PERCENT
                / 100,
            success_credit_milliretries: u64::from(retry_percent) * 10,
            max_balance_milliretries,
        }
    }

    /// Records a successful request and credits its share of a retry.
    pub fn record_success(&mut self) {
        self.balance_milliretries = (self.balance_milliretries
            + self.success_credit_milliretries)
            .min(self.max_balance_milliretries);
    }

    /// Takes one retry from the budget; returns false if the budget is
    /// exhausted.
    pub fn try_spend_retry(&mut self) -> bool {
        if self.balance_milliretries < MILLIRETRIES_PER_RETRY {
            return false;
        }
        self.balance_milliretries -= MILLIRETRIES_PER_RETRY;
        true
    }
}
