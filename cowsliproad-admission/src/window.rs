//! The retry budget that all entries keep together without talking.
//!
//! In any span of some seconds the retries of a service may be a share of
//! its requests and some more. Each entry keeps to the share of its own
//! requests and to its part of the rest, so the sum over all entries keeps
//! to the whole, also while they can't reach one another.

use std::collections::VecDeque;

use cowsliproad_kernel::clock::Millis;

/// The steps in which the span slides.
const STEP: Millis = Millis(500);

/// Steps that the usual number of requests is taken over.
const RATE_STEPS: u64 = 4;

/// What is used of the budget. The rest covers that targets count arrivals
/// a little later than we count departures.
const USED: f64 = 0.85;

/// What a budget allows.
#[derive(Clone, Copy, Debug)]
pub struct RetryWindowConfig {
    ratio: f64,
    slack: f64,
    span: Millis,
}

impl RetryWindowConfig {
    /// Retries for each request, and retries beyond that for all entries
    /// together, in any span.
    pub fn new(ratio: f64, slack: f64, span: Millis) -> RetryWindowConfig {
        RetryWindowConfig { ratio, slack, span }
    }
}

/// The budget of one service at one entry.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    config: RetryWindowConfig,
    /// Requests and retries by step, the newest last.
    steps: VecDeque<(u64, u32, u32)>,
}

impl RetryWindow {
    /// Nothing sent yet.
    pub fn new(config: RetryWindowConfig) -> RetryWindow {
        RetryWindow { config, steps: VecDeque::new() }
    }

    /// Notes a request.
    pub fn record_request(&mut self, now: Millis) {
        self.step(now).1 += 1;
    }

    /// Spends a retry, if there is one left for one of `entries`.
    pub fn try_spend(&mut self, entries: usize, now: Millis) -> bool {
        self.step(now);
        let requests: u32 = self.steps.iter().map(|it| it.1).sum();
        let retries: u32 = self.steps.iter().map(|it| it.2).sum();
        let part = self.config.slack / entries.max(1) as f64;
        let most = self.config.ratio * f64::from(requests) + part;
        if f64::from(retries) + 1.0 > most * USED {
            return false;
        }
        self.step(now).2 += 1;
        true
    }

    /// Requests that are noted in a span, from those of the last whole steps.
    pub fn expected_requests(&self, span: Millis, now: Millis) -> f64 {
        let index = now.0 / STEP.0;
        let oldest = index.saturating_sub(RATE_STEPS);
        let within = |it: &&(u64, u32, u32)| (oldest..index).contains(&it.0);
        let steps = self.steps.iter().filter(within);
        let requests: u32 = steps.map(|it| it.1).sum();
        let time = (RATE_STEPS * STEP.0) as f64;
        f64::from(requests) * span.0 as f64 / time
    }

    fn step(&mut self, now: Millis) -> &mut (u64, u32, u32) {
        let index = now.0 / STEP.0;
        let oldest = index.saturating_sub(self.config.span.0 / STEP.0);
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
