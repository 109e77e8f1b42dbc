//! The retry budget: retries may be a bounded share of successes.
//!
//! A fixed number of tries for each request multiplies the load just when
//! targets fail. With a budget, retries cost what recent successes earned,
//! so an outage of everything is amplified by little more than the reserve.

/// A budget shared by the requests of one service at one entry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries that may be spent, in thousandths.
    balance: u64,
    earned: u64,
    most: u64,
}

/// A retry, in the units of the balance.
const RETRY: u64 = 1000;

impl RetryBudget {
    /// A budget in which `percent` retries are earned by 100 successes and
    /// at most `reserve` can be saved up.
    pub fn new(percent: u32, reserve: u32) -> RetryBudget {
        let most = u64::from(reserve) * RETRY;
        RetryBudget { balance: most, earned: u64::from(percent) * 10, most }
    }

    /// Notes a success.
    pub fn record_success(&mut self) {
        self.balance = (self.balance + self.earned).min(self.most);
    }

    /// Spends one retry, if there is one.
    pub fn try_spend(&mut self) -> bool {
        if self.balance < RETRY {
            return false;
        }
        self.balance -= RETRY;
        true
    }
}
