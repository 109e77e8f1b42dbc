//! A retry budget that all entry processes keep to together without
//! communicating.
//!
//! Within any time window of a configured length, the retries of a service may
//! be a fraction of its requests plus a fixed number. Each entry process keeps
//! to that fraction of its own requests and to its part of the fixed number,
//! so the sum over all entry processes keeps to the whole budget, also during
//! a network partition.

use std::collections::VecDeque;

use cowsliproad_kernel::clock::Millis;

/// The length of one step of the sliding window: requests and retries are
/// counted per step, and the window slides by whole steps.
const WINDOW_STEP_DURATION: Millis = Millis(500);

/// The number of past window steps that the request rate is averaged over.
const REQUEST_RATE_WINDOW_STEPS: u64 = 4;

/// The fraction of the retry budget that entry processes use. The rest covers
/// that targets count arriving retries a little later than entry processes
/// count sent retries.
const USED_RETRY_BUDGET_FRACTION: f64 = 0.85;

/// The size of a retry budget.
#[derive(Clone, Copy, Debug)]
pub struct RetryWindowConfig {
    /// Retries allowed within one window, as a fraction of the requests in
    /// that window.
    retries_per_request: f64,
    /// Further retries allowed within one window, for all entry processes
    /// together.
    extra_retries: f64,
    /// The length of the sliding window of the retry budget.
    window_length: Millis,
}

impl RetryWindowConfig {
    /// Allows, within any time of length `window_length`, the fraction
    /// `retries_per_request` of the requests as retries, plus `extra_retries`
    /// for all entry processes together.
    pub fn new(
        retries_per_request: f64,
        extra_retries: f64,
        window_length: Millis,
    ) -> RetryWindowConfig {
        RetryWindowConfig { retries_per_request, extra_retries, window_length }
    }
}

/// How much of a retry budget one entry process has used within its window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
    /// Requests counted within the window.
    pub requests: u32,
    /// Retries spent within the window.
    pub spent: u32,
    /// Retries that the process may spend within the window.
    pub allowed: f64,
}

/// A sliding window that limits the retries of one service at one entry
/// process.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    config: RetryWindowConfig,
    /// The index, the number of requests and the number of retries of each
    /// step of the window, oldest step first.
    step_counts: VecDeque<(u64, u32, u32)>,
}

impl RetryWindow {
    /// Creates a retry window without requests or retries.
    pub fn new(config: RetryWindowConfig) -> RetryWindow {
        RetryWindow { config, step_counts: VecDeque::new() }
    }

    /// Counts a request that is not a retry.
    pub fn record_request(&mut self, now: Millis) {
        self.current_step_counts(now).1 += 1;
    }

    /// Counts a retry and returns true if this entry process's part of the
    /// retry budget allows a retry. `entry_process_count` is the number of
    /// entry processes that share the budget.
    pub fn try_spend_retry(
        &mut self,
        entry_process_count: usize,
        now: Millis,
    ) -> bool {
        let usage = self.usage(entry_process_count, now);
        if f64::from(usage.spent) + 1.0 > usage.allowed {
            return false;
        }
        self.current_step_counts(now).2 += 1;
        true
    }

    /// Returns what this entry process has used of its part of the retry
    /// budget.
    pub fn usage(
        &mut self,
        entry_process_count: usize,
        now: Millis,
    ) -> RetryUsage {
        self.current_step_counts(now);
        let requests = self.step_counts.iter().map(|it| it.1).sum();
        let spent = self.step_counts.iter().map(|it| it.2).sum();
        let entry_extra =
            self.config.extra_retries / entry_process_count.max(1) as f64;
        let max_retries = self.config.retries_per_request
            * f64::from(requests)
            + entry_extra;
        let allowed = max_retries * USED_RETRY_BUDGET_FRACTION;
        RetryUsage { requests, spent, allowed }
    }

    /// Returns the number of requests to expect within `span`, extrapolated
    /// from the last [`REQUEST_RATE_WINDOW_STEPS`] whole steps.
    pub fn estimate_requests(&self, span: Millis, now: Millis) -> f64 {
        let index = now.0 / WINDOW_STEP_DURATION.0;
        let oldest = index.saturating_sub(REQUEST_RATE_WINDOW_STEPS);
        let is_recent =
            |it: &&(u64, u32, u32)| (oldest..index).contains(&it.0);
        let step_counts = self.step_counts.iter().filter(is_recent);
        let requests: u32 = step_counts.map(|it| it.1).sum();
        let period_ms =
            (REQUEST_RATE_WINDOW_STEPS * WINDOW_STEP_DURATION.0) as f64;
        f64::from(requests) * span.0 as f64 / period_ms
    }

    /// Returns the counters of the window's current step, and removes the
    /// steps that the window no longer covers.
    fn current_step_counts(&mut self, now: Millis) -> &mut (u64, u32, u32) {
        let index = now.0 / WINDOW_STEP_DURATION.0;
        let oldest = index.saturating_sub(
            self.config.window_length.0 / WINDOW_STEP_DURATION.0,
        );
        while self.step_counts.front().is_some_and(|it| it.0 < oldest) {
            self.step_counts.pop_front();
        }
        if self.step_counts.back().is_none_or(|it| it.0 < index) {
            self.step_counts.push_back((index, 0, 0));
        }
        let last = self.step_counts.len() - 1;
        &mut self.step_counts[last]
    }
}
