//! Counts what arrives at targets beyond the first of each request, over any
//! window of the retry budget, and the callers that cause it.

use std::{
    cell::{Cell, RefCell},
    collections::HashSet,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use cowsliproad_direct::settings::RetryBudgetSettings;
use cowsliproad_kernel::clock::Millis;
use cowsliproad_net::client::Client;
use cowsliproad_platform_standin::target::{Fault, Target, TargetConfig};
use http::StatusCode;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::{
    task::LocalSet,
    time::{interval, sleep},
};

use crate::{
    harness::{KEY, Plant},
    limits::PATIENCE,
    processes::Processes,
    siege::start_suspendable,
};

/// Requests a second.
const RATE: u32 = 100;

const TARGETS: usize = 4;

/// The budget of all entries.
pub const BUDGET: RetryBudgetSettings = RetryBudgetSettings {
    retries_per_request: 0.2,
    extra_retries: 40.0,
    window_ms: Millis(4_000),
};

/// Entries before targets that fail, callers that don't wait for one another,
/// and what came of them.
pub struct Load {
    pub plant: RefCell<Plant>,
    pub processes: Processes,
    targets: Vec<Arc<Target>>,
    sent: RefCell<Vec<Instant>>,
    over: Cell<bool>,
    pub good: Cell<usize>,
    pub other: Cell<usize>,
}

/// What arrived in windows, as parts of what the budget allows there.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// The worst window.
    pub worst: f64,
    /// The mean over windows.
    pub mean: f64,
}

impl Load {
    /// Starts entries that know one another, and targets that serve.
    pub async fn start(entries: usize) -> Load {
        let mut plant = Plant::start().await.with_retries(BUDGET);
        let mut targets = Vec::new();
        for number in 0..TARGETS {
            let id = format!("i-{number}");
            let config = TargetConfig::new(&id, "plain", "a")
                .with_response_delay(Duration::from_millis(5));
            targets.push(plant.target_with(config).await);
        }
        let processes =
            Processes::start_with(&mut plant, entries, start_suspendable)
                .await;
        processes.until_met().await;
        Load {
            plant: RefCell::new(plant),
            processes,
            targets,
            sent: RefCell::default(),
            over: Cell::new(false),
            good: Cell::new(0),
            other: Cell::new(0),
        }
    }

    /// Sends requests to entries drawn from a seed while something else
    /// happens.
    pub async fn send_during(
        &self,
        seed: u64,
        play: impl Future<Output = ()>,
    ) {
        let play = async {
            play.await;
            self.over.set(true);
        };
        tokio::join!(self.send(seed), play);
    }

    async fn send(&self, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed);
        let mut due = interval(Duration::from_secs(1) / RATE);
        // Callers keep using open connections until their process is gone.
        let client = Client::new();
        let statuses = Rc::new(RefCell::new(Vec::new()));
        LocalSet::new()
            .run_until(async {
                while !self.over.get() {
                    due.tick().await;
                    let place = random.random_range(0..self.processes.count());
                    let request = self.processes.with(place, |_, entry| {
                        entry.request("/many/a", KEY, "")
                    });
                    let Some(request) = request else { continue };
                    self.sent.borrow_mut().push(Instant::now());
                    let statuses = statuses.clone();
                    let client = client.clone();
                    tokio::task::spawn_local(async move {
                        let answer = client.call(request, 1 << 20, PATIENCE);
                        let status = answer.await.map(|it| it.status());
                        statuses.borrow_mut().push(status.ok());
                    });
                }
            })
            .await;
        let statuses = statuses.borrow();
        let good = statuses.iter().filter(|it| **it == Some(StatusCode::OK));
        self.good.set(good.count());
        self.other.set(statuses.len() - self.good.get());
    }

    /// Has all targets refuse every request, or serve.
    pub fn set_failing(&self, is_failing: bool) {
        let fault = if is_failing { Fault::Shedding } else { Fault::None };
        for target in &self.targets {
            target.set_fault(fault);
        }
    }

    /// Has one target refuse every request, or serve.
    pub fn set_target_failing(&self, number: usize, is_failing: bool) {
        let fault = if is_failing { Fault::Shedding } else { Fault::None };
        self.targets[number % TARGETS].set_fault(fault);
    }

    /// What arrived beyond the first of each request, in windows that end in a
    /// time.
    pub fn usage(&self, from: Instant, until: Instant) -> Usage {
        let arrivals = self.targets.iter().flat_map(|it| it.arrival_log());
        let mut arrivals: Vec<_> =
            arrivals.map(|it| (it.arrived_at, it.request_id)).collect();
        arrivals.sort();
        let mut known = HashSet::new();
        let repeats = arrivals.into_iter().filter_map(|(at, id)| {
            let is_repeat = !known.insert(id);
            is_repeat.then_some(at)
        });
        let repeats: Vec<Instant> = repeats.collect();
        let sent = self.sent.borrow();
        let window = BUDGET.window_ms.duration();
        let used = |end: Instant| {
            let count = |times: &[Instant], end: Instant| {
                let after = end.checked_sub(window).map_or(0, |start| {
                    times.partition_point(|it| *it <= start)
                });
                times.partition_point(|it| *it <= end).saturating_sub(after)
            };
            // Requests count of the window, the one before, or the one half a
            // window before, whichever has most.
            let requests = [Duration::ZERO, window / 2, window]
                .into_iter()
                .filter_map(|it| end.checked_sub(it))
                .map(|it| count(&sent, it))
                .max();
            let allowed = BUDGET.retries_per_request
                * requests.unwrap_or(0) as f64
                + BUDGET.extra_retries;
            count(&repeats, end) as f64 / allowed
        };
        let ends = repeats.iter().filter(|it| (from..=until).contains(*it));
        let worst = ends.map(|it| used(*it)).fold(0.0, f64::max);
        let step = Duration::from_millis(50);
        let samples = (until - from).as_millis() / step.as_millis();
        let sampled = (0..samples as u32).map(|it| used(from + step * it));
        let mean = sampled.sum::<f64>() / samples.max(1) as f64;
        Usage { worst, mean }
    }

    /// Waits for a whole window.
    pub async fn pass_window(&self) {
        sleep(BUDGET.window_ms.duration()).await;
    }
}
