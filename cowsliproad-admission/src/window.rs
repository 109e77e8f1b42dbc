//! A retry budget that all entries keep to together without communicating.
//!
//! Within any span of some seconds, the retries of a service may be a fraction
//! of its requests plus a fixed number. Each entry keeps to the fraction of
//! its own requests and to its part of the fixed number, so the sum over all
//! entries keeps to the whole budget, also during a network partition.

use std::collections::VecDeque;

use cowsliproad_kernel::clock::Millis;

/// The granularity with which the window slides.
const STEP_DURATION: Millis = Millis(500);

/// The number of whole steps that the request rate is averaged over.
const RATE_STEPS: u64 = 4;

/// The fraction of the budget that entries use. The rest covers that targets
/// count arrivals a little later than entries count departures.
const USED_FRACTION: f64 = 0.85;

/// The size of a retry budget.
#[derive(Clone, Copy, Debug)]
pub struct RetryWindowConfig {
    /// Retries allowed for each request.
    retries_per_request: f64,
    /// Further retries allowed within a span, for all entries together.
    extra_retries: f64,
    /// The length of the sliding window.
    span: Millis,
}

impl RetryWindowConfig {
    /// Allows `retries_per_request`, plus `extra_retries` for all entries
    /// together, within any time of length `span`.
    pub fn new(
        retries_per_request: f64,
        extra_retries: f64,
        span: Millis,
    ) -> RetryWindowConfig {
        RetryWindowConfig { retries_per_request, extra_retries, span }
    }
}

/// A sliding window that limits the retries of one service at one entry.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    config: RetryWindowConfig,
    /// The index, the number of requests and the number of retries of each
    /// step, oldest first.
    steps: VecDeque<(u64, u32, u32)>,
}

impl RetryWindow {
    /// Creates a window without requests or retries.
    pub fn new(config: RetryWindowConfig) -> RetryWindow {
        RetryWindow { config, steps: VecDeque::new() }
    }

    /// Counts a request that is not a retry.
    pub fn record_request(&mut self, now: Millis) {
        self.current_step(now).1 += 1;
    }

    /// Counts a retry if this entry's part of the budget allows one; `entries`
    /// is the number of entries that share the budget.
    pub fn try_spend(&mut self, entries: usize, now: Millis) -> bool {
        self.current_step(now);
        let requests: u32 = self.steps.iter().map(|it| it.1).sum();
        let retries: u32 = self.steps.iter().map(|it| it.2).sum();
        let entry_extra = self.config.extra_retries / entries.max(1) as f64;
        let max_retries = self.config.retries_per_request
            * f64::from(requests)
            + entry_extra;
        if f64::from(retries) + 1.0 > max_retries * USED_FRACTION {
            return false;
        }
        self.current_step(now).2 += 1;
        true
    }

    /// Returns the number of requests to expect within `span`, extrapolated
    /// from the last [`RATE_STEPS`] whole steps.
    pub fn expected_requests(&self, span: Millis, now: Millis) -> f64 {
        let index = now.0 / STEP_DURATION.0;
        let oldest = index.saturating_sub(RATE_STEPS);
        let is_recent =
            |it: &&(u64, u32, u32)| (oldest..index).contains(&it.0);
        let steps = self.steps.iter().filter(is_recent);
        let requests: u32 = steps.map(|it| it.1).sum();
        let period_ms = (RATE_STEPS * STEP_DURATION.0) as f64;
        f64::from(requests) * span.0 as f64 / period_ms
    }

    /// Returns the counters of the current step, and removes expired steps.
    fn current_step(&mut self, now: Millis) -> &mut (u64, u32, u32) {
        let index = now.0 / STEP_DURATION.0;
        let oldest =
            index.saturating_sub(self.config.span.0 / STEP_DURATION.0);
        while self.steps.front().is_some_and(|it| it.0 < oldest) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|it| it.0 < index) {
            self.steps.push_back((index, 0, 0));
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
