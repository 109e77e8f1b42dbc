//! A retry budget that all entry processes keep to together.
//!
//! Within any time window of a configured length, the retries of a service may
//! be a fraction of its requests plus a fixed number. Each entry process keeps
//! to that fraction of its own requests and to its part of the fixed number,
//! so the sum over all entry processes keeps to the whole budget, also during
//! a network partition.
//!
//! A window outlives its process: an entry process reports what it spends to
//! other processes before the retry is sent (see [`crate::retry_report`]), and
//! the next process at its address inherits the window from them. A process
//! that can't learn what was spent before it may use only the small reserve
//! that no other process uses, at the pace at which the window slides. However
//! many such processes follow one another, their retries together stay within
//! that reserve.

use std::collections::VecDeque;

use cowsliproad_kernel::{
    Name,
    clock::Millis,
    gossip::{RETRY_BUCKET, RetryBucket, ServiceRetries},
};

/// The length of one step of the sliding window: requests and retries are
/// counted per step, and the window slides by whole steps.
const WINDOW_STEP_DURATION: Millis = Millis(100);

/// The number of past window steps that the request rate is averaged over.
const REQUEST_RATE_WINDOW_STEPS: i64 = 20;

/// The fraction of its part of the retry budget that a process uses which
/// knows what was spent within the window.
const KNOWN_HISTORY_FRACTION: f64 = 0.9;

/// The fraction of its part that a process uses which doesn't know what was
/// spent before it. What is left of the whole covers that retries take
/// different times to arrive.
const UNKNOWN_HISTORY_FRACTION: f64 = 0.06;

/// Retries are reported in advance in chunks of this fraction of the part, so
/// that a process sends a bounded number of reports at any rate of retries.
const REPORTED_CHUNK_FRACTION: f64 = 1.0 / 40.0;

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

    /// The length of the sliding window.
    pub fn window_length(&self) -> Millis {
        self.window_length
    }

    /// Returns how many more retries a process has spent than the requests
    /// allow that are still within the window, by a report that is `age` old.
    ///
    /// The requests that earned these retries have left the window, and those
    /// that would replace them go to other processes, because the process ended
    /// or its callers moved. The others would spend the same retries again.
    pub fn overspent(
        &self,
        report: &ServiceRetries,
        entry_count: usize,
        age: Millis,
    ) -> f64 {
        let is_within = |it: &&RetryBucket| {
            let bucket_age = Millis(u64::from(it.age) * RETRY_BUCKET.0);
            age + bucket_age <= self.window_length
        };
        let within = report.buckets.iter().filter(is_within);
        let (requests, retries) = within
            .fold((0, 0), |sum, it| (sum.0 + it.requests, sum.1 + it.retries));
        let spent = f64::from(retries + report.reserved);
        let earned = self.retries_per_request * f64::from(requests);
        let extra = self.extra_retries / entry_count.max(1) as f64;
        (spent - earned - extra).max(0.0)
    }
}

/// The part of a retry budget that one entry process may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryShare {
    /// The number of entry processes that share the budget.
    pub entry_count: usize,
    /// For how long all retries from this process's address are known, also
    /// those of earlier processes.
    pub known_for: Millis,
    /// The part of the fixed number of retries.
    pub extra: ExtraShare,
    /// This process's part of what other processes spent beyond what their own
    /// requests still allow; see [`RetryWindowConfig::overspent`].
    pub debt: f64,
}

/// The part of the fixed number of retries that one entry process may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExtraShare {
    /// An equal part.
    Equal,
    /// The reserve of an address that has joined: the other entry processes
    /// may have spent all else before they counted this one. The reserve grows
    /// with the time since then.
    Reserve(Millis),
}

impl RetryShare {
    /// An equal part among so many entry processes, without earlier ones.
    pub fn equal(entry_count: usize) -> RetryShare {
        RetryShare {
            entry_count,
            known_for: Millis(u64::MAX),
            extra: ExtraShare::Equal,
            debt: 0.0,
        }
    }
}

/// Whether a retry may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Spending {
    /// The retry was spent, and was reported in advance.
    Reported,
    /// The retry was spent and has to be reported before it is sent.
    Unreported,
    /// The process has used its part of the budget.
    Denied,
}

/// How much of a retry budget one entry process has used within its window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
    /// Requests counted within the window.
    pub requests: u32,
    /// Retries spent within the window.
    pub spent: u32,
    /// Of these, retries spent by earlier processes at this address.
    pub inherited: u32,
    /// Retries that the process may spend within the window.
    pub allowed: f64,
}

impl RetryUsage {
    /// Whether one more retry may be spent.
    pub fn allows_retry(&self) -> bool {
        f64::from(self.spent) + 1.0 <= self.allowed
    }
}

/// A sliding window that limits the retries of one service at one entry
/// process.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    config: RetryWindowConfig,
    /// What this process counted, oldest step first.
    steps: VecDeque<Step>,
    /// What earlier processes at this address counted.
    inherited: Vec<Step>,
    /// Retries that were reported and are not spent yet.
    reserved: u32,
}

/// The counts of one step of the window.
#[derive(Clone, Copy, Debug)]
struct Step {
    /// The number of the step; negative before the start of this process.
    index: i64,
    requests: u32,
    retries: u32,
}

impl RetryWindow {
    /// Creates a retry window without requests or retries.
    pub fn new(config: RetryWindowConfig) -> RetryWindow {
        RetryWindow {
            config,
            steps: VecDeque::new(),
            inherited: Vec::new(),
            reserved: 0,
        }
    }

    /// Changes the size of the budget; what was spent still counts.
    pub fn set_config(&mut self, config: RetryWindowConfig) {
        self.config = config;
    }

    /// Counts a request that is not a retry.
    pub fn record_request(&mut self, now: Millis) {
        self.current_step(now).requests += 1;
    }

    /// Whether this entry process's part of the retry budget allows one more
    /// retry.
    pub fn allows_retry(&mut self, share: &RetryShare, now: Millis) -> bool {
        self.usage(share, now).allows_retry()
    }

    /// Counts a retry if this entry process's part of the retry budget allows
    /// one.
    pub fn try_spend_retry(
        &mut self,
        share: &RetryShare,
        now: Millis,
    ) -> Spending {
        let usage = self.usage(share, now);
        if !usage.allows_retry() {
            return Spending::Denied;
        }
        self.current_step(now).retries += 1;
        if self.reserved > 0 {
            self.reserved -= 1;
            return Spending::Reported;
        }
        let left = usage.allowed - f64::from(usage.spent) - 1.0;
        let chunk = (usage.allowed * REPORTED_CHUNK_FRACTION).min(left);
        self.reserved = (chunk as u32).saturating_sub(1);
        Spending::Unreported
    }

    /// Counts a retry as spent later than it was, when it was sent.
    pub fn postpone_retry(&mut self, spent_at: Millis, now: Millis) {
        let index = step_index(spent_at);
        if index == step_index(now) {
            return;
        }
        let spent = self.steps.iter_mut().find(|it| it.index == index);
        if let Some(step) = spent {
            step.retries = step.retries.saturating_sub(1);
        }
        self.current_step(now).retries += 1;
    }

    /// Returns what this entry process has used of its part of the retry
    /// budget.
    pub fn usage(&mut self, share: &RetryShare, now: Millis) -> RetryUsage {
        self.current_step(now);
        let oldest = self.oldest_step(now);
        self.inherited.retain(|it| it.index >= oldest);
        let steps = self.steps.iter().chain(&self.inherited);
        let requests = steps.clone().map(|it| it.requests).sum();
        let spent = steps.map(|it| it.retries).sum();
        let inherited = self.inherited.iter().map(|it| it.retries).sum();
        let allowed = self.allowed_retries(requests, share) - share.debt;
        let allowed = allowed.max(0.0);
        RetryUsage { requests, spent, inherited, allowed }
    }

    fn allowed_retries(&self, requests: u32, share: &RetryShare) -> f64 {
        let RetryWindowConfig {
            retries_per_request,
            extra_retries,
            window_length,
        } = self.config;
        let earned = retries_per_request * f64::from(requests);
        let extra = extra_retries / share.entry_count.max(1) as f64;
        let grown = |time: Millis| {
            (time.0 as f64 / window_length.0 as f64).min(1.0) * extra
        };
        if share.known_for < window_length + WINDOW_STEP_DURATION {
            let extra = match share.extra {
                ExtraShare::Equal => grown(share.known_for),
                ExtraShare::Reserve(time) => grown(time.min(share.known_for)),
            };
            return UNKNOWN_HISTORY_FRACTION * (earned + extra);
        }
        match share.extra {
            ExtraShare::Equal => KNOWN_HISTORY_FRACTION * (earned + extra),
            ExtraShare::Reserve(time) => {
                KNOWN_HISTORY_FRACTION * earned
                    + UNKNOWN_HISTORY_FRACTION * grown(time)
            }
        }
    }

    /// Replaces what earlier processes at this address counted by a report of
    /// the last one, which is `age` old. Reported retries that may not have
    /// been spent count as spent now.
    pub fn inherit(
        &mut self,
        report: &ServiceRetries,
        age: Millis,
        now: Millis,
    ) {
        let step_at = |bucket_age: Millis| {
            let time = now.0 as i64 - (age + bucket_age).0 as i64;
            time.div_euclid(WINDOW_STEP_DURATION.0 as i64)
        };
        let reserved = Step {
            index: step_index(now),
            requests: 0,
            retries: report.reserved,
        };
        let steps = report.buckets.iter().flat_map(|it| {
            let youngest = Millis(u64::from(it.age) * RETRY_BUCKET.0);
            let retries = Step {
                index: step_at(youngest),
                requests: 0,
                retries: it.retries,
            };
            let requests = Step {
                index: step_at(youngest + RETRY_BUCKET),
                requests: it.requests,
                retries: 0,
            };
            [retries, requests]
        });
        self.inherited = steps.chain([reserved]).collect();
    }

    /// Reports the window to processes that keep it for the next process at
    /// this address; `None` if it holds no retry.
    pub fn report(
        &self,
        service: &Name,
        now: Millis,
    ) -> Option<ServiceRetries> {
        let oldest = self.oldest_step(now);
        let current = step_index(now);
        let mut buckets: Vec<RetryBucket> = Vec::new();
        let steps = self.steps.iter().chain(&self.inherited);
        for step in steps.filter(|it| it.index >= oldest) {
            let age = (current - step.index).max(0) as u64;
            let age = age * WINDOW_STEP_DURATION.0 / RETRY_BUCKET.0;
            let age = u16::try_from(age).unwrap_or(u16::MAX);
            let bucket = match buckets.iter_mut().find(|it| it.age == age) {
                Some(bucket) => bucket,
                None => {
                    buckets.push(RetryBucket { age, requests: 0, retries: 0 });
                    let last = buckets.len() - 1;
                    &mut buckets[last]
                }
            };
            bucket.requests += step.requests;
            bucket.retries += step.retries;
        }
        let has_retries = buckets.iter().any(|it| it.retries > 0);
        (has_retries || self.reserved > 0).then(|| ServiceRetries {
            service: service.clone(),
            reserved: self.reserved,
            buckets,
        })
    }

    /// Returns the number of requests to expect within `span`, extrapolated
    /// from the last [`REQUEST_RATE_WINDOW_STEPS`] whole steps.
    pub fn estimate_requests(&self, span: Millis, now: Millis) -> f64 {
        let index = step_index(now);
        let recent = index - REQUEST_RATE_WINDOW_STEPS..index;
        let steps = self.steps.iter().rev();
        let steps = steps.take_while(|it| it.index >= recent.start);
        let steps = steps.filter(|it| recent.contains(&it.index));
        let requests: u32 = steps.map(|it| it.requests).sum();
        let period_ms =
            (REQUEST_RATE_WINDOW_STEPS as u64 * WINDOW_STEP_DURATION.0) as f64;
        f64::from(requests) * span.0 as f64 / period_ms
    }

    fn oldest_step(&self, now: Millis) -> i64 {
        step_index(now) - step_index(self.config.window_length)
    }

    /// Returns the counters of the window's current step, and removes the
    /// steps that the window no longer covers.
    fn current_step(&mut self, now: Millis) -> &mut Step {
        let index = step_index(now);
        let oldest = self.oldest_step(now);
        while self.steps.front().is_some_and(|it| it.index < oldest) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|it| it.index < index) {
            self.steps.push_back(Step { index, requests: 0, retries: 0 });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}

fn step_index(time: Millis) -> i64 {
    (time.0 / WINDOW_STEP_DURATION.0) as i64
}
