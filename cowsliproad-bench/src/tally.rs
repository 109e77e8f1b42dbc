//! What an experiment counts.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use cowsliproad_kernel::sync::lock;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Counts of one run.
#[derive(Debug, Default)]
pub struct Tally {
    /// Requests sent.
    pub sent: AtomicU64,
    /// Requests that must not be repeated.
    pub never_repeated: AtomicU64,
    /// Right and whole answers.
    pub whole: AtomicU64,
    /// Answers that were not the right one.
    pub mixed: AtomicU64,
    /// Requests without an answer whose caller was not told that they were
    /// not run.
    pub lost: AtomicU64,
    /// Requests whose caller was told that they were not run, and gave up.
    pub refused: AtomicU64,
    /// Non-repeatable requests whose caller was told for good that nobody
    /// can know the outcome, because the agent died or the target never
    /// told it.
    pub unknown: AtomicU64,
    /// Answers broken off on an entry that was stopping gracefully.
    pub cut_by_shutdown: AtomicU64,
    /// Times a caller sent again.
    pub resent: AtomicU64,
    /// Run ids that callers were told were not run.
    pub told_not_run: Mutex<Vec<String>>,
    /// How requests failed, by code.
    pub failures: Mutex<BTreeMap<String, u64>>,
    latencies: Mutex<BTreeMap<&'static str, Histogram<u64>>>,
}

/// What the stand-ins' run counts show.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Runs {
    /// Non-repeatable requests that ran more than once.
    pub doubled: u64,
    /// Run ids that ran although the caller was told otherwise.
    pub false_not_run: u64,
}

impl Tally {
    /// Nothing counted.
    pub fn new() -> Tally {
        Tally::default()
    }

    /// Adds one to a counter.
    pub fn count(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes how long a whole answer took.
    pub fn took(&self, kind: &'static str, time: Duration) {
        let mut latencies = lock(&self.latencies);
        let histogram = latencies.entry(kind).or_insert_with(histogram);
        histogram.saturating_record(time.as_micros() as u64);
    }

    /// Notes a failure that a caller saw.
    pub fn failed(&self, code: &str) {
        *lock(&self.failures).entry(code.into()).or_default() += 1;
    }

    /// Checks the stand-ins' counts, by run id, of non-repeatable requests.
    pub fn runs(&self, counts: &HashMap<String, u32>) -> Runs {
        let told = lock(&self.told_not_run);
        let ran = |id: &&String| counts.get(*id).is_some_and(|it| *it > 0);
        let false_not_run = told.iter().filter(ran).count() as u64;
        let mut by_request: HashMap<&str, u32> = HashMap::new();
        let never = counts.iter().filter(|(id, _)| id.starts_with('n'));
        for (id, count) in never {
            if let Some((number, _)) = id.split_once('-') {
                *by_request.entry(number).or_default() += count;
            }
        }
        let doubled = by_request.values().filter(|it| **it > 1).count();
        Runs { doubled: doubled as u64, false_not_run }
    }

    /// The counts as JSON.
    pub fn json(&self, runs: Runs) -> Value {
        let get = |it: &AtomicU64| it.load(Ordering::Relaxed);
        json!({
            "sent": get(&self.sent),
            "not_repeatable": get(&self.never_repeated),
            "whole": get(&self.whole),
            "lost": get(&self.lost),
            "doubled": runs.doubled,
            "mixed": get(&self.mixed),
            "false_not_run": runs.false_not_run,
            "cut_by_shutdown": get(&self.cut_by_shutdown),
            "refused": get(&self.refused),
            "unknown": get(&self.unknown),
            "resent": get(&self.resent),
            "failures": *lock(&self.failures),
            "latency_ms": self.latency_json(),
        })
    }

    /// Whether every promise that is counted was kept.
    pub fn is_kept(&self, runs: Runs) -> bool {
        let broken = [&self.lost, &self.mixed, &self.cut_by_shutdown];
        broken.iter().all(|it| it.load(Ordering::Relaxed) == 0)
            && runs == Runs::default()
    }

    /// A table of latencies for people.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<14} {:>8} {:>9} {:>9} {:>9}\n",
            "type", "whole", "p50 ms", "p95 ms", "p99 ms"
        );
        for (kind, histogram) in lock(&self.latencies).iter() {
            text.push_str(&format!(
                "{:<14} {:>8} {:>9.1} {:>9.1} {:>9.1}\n",
                kind,
                histogram.len(),
                quantile(histogram, 0.5),
                quantile(histogram, 0.95),
                quantile(histogram, 0.99),
            ));
        }
        text
    }

    fn latency_json(&self) -> Value {
        let latencies = lock(&self.latencies);
        let entries = latencies.iter().map(|(kind, histogram)| {
            let value = json!({
                "count": histogram.len(),
                "p50": quantile(histogram, 0.5),
                "p95": quantile(histogram, 0.95),
                "p99": quantile(histogram, 0.99),
            });
            ((*kind).to_string(), value)
        });
        Value::Object(entries.collect())
    }
}

/// A histogram of microseconds up to ten minutes.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3)
        .expect("the bounds are in order")
}

/// A quantile in milliseconds.
pub fn quantile(histogram: &Histogram<u64>, at: f64) -> f64 {
    histogram.value_at_quantile(at) as f64 / 1000.0
}
