//! Connections to the platform's log go silent, in one direction or both, at
//! one entry, half of them or all, while new ones work; the log takes calls
//! and answers none, refuses them, or comes back from an older copy; links are
//! cut; operators publish one configuration after the other, some large, some
//! in storms; targets leave and join; entries stand still, are killed and are
//! stopped. All that in series that overlap, drawn from a seed.
//!
//! Of each entry's process is checked that a configuration is in force in the
//! stated time: no key is good that was withdrawn longer ago, and none refused
//! that was added longer ago. A target that leaves gets nothing after the time
//! that it has for that, and callers whose key never changes are served. A log
//! that is away as a whole, or comes back older, excuses until it is well
//! again; silent connections and cut links excuse nothing, as long as some
//! entry reaches the log. So with even seeds the log as a whole stays well and
//! no entry starts again, since one that starts reads all and tells others.
//!
//! `FIRST_SEED=1 SEEDS=50 cargo test -p cowsliproad-direct --test entry silence_siege -- --nocapture`
//! plays more of them and prints a line for each. With `LOGS=DIRECTORY` each
//! entry's lines are kept there.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use cowsliproad_direct::settings::Settings;
use cowsliproad_net::client::Client;
use cowsliproad_platform::header;
use cowsliproad_platform_standin::{
    catalog::RouteKind,
    log,
    proxy::LinkState,
    target::{self, Target, TargetConfig},
};
use http::StatusCode;
use rand::{Rng, SeedableRng, rngs::StdRng};
use rustix::process::Signal;
use tokio::{
    task::LocalSet,
    time::{interval, sleep},
};

use crate::{
    harness::{Entry, Plant, metric},
    limits::PATIENCE,
    processes::{Address, ON_ITS_WAY, Process, Processes},
    siege,
};

/// Entries, where `ENTRIES` doesn't say how many.
const ENTRIES: usize = 4;
const TARGETS: usize = 4;
const RATE: usize = 100;

/// How long there is trouble, and how long is checked after the last.
const TROUBLE: Duration = Duration::from_secs(12);
const CHECKED: Duration = Duration::from_secs(2);

/// In which a configuration is in force and a leaving target gets nothing
/// more.
pub const BOUND: Duration = Duration::from_millis(2_000);

/// In which an entry that starts serves callers.
pub const START_TIME: Duration = Duration::from_millis(3_000);

/// How often targets renew their records, and how long one that leaves serves
/// on.
const RENEWAL: Duration = Duration::from_millis(400);
const LEAVING_TIME: Duration = Duration::from_secs(4);

/// How old a copy may be, and how long operators and targets take to write
/// again what the log lost.
const MAX_COPY_AGE_MS: u64 = 4_000;
const REWRITE_TIME: Duration = Duration::from_millis(500);

/// Routes of a large configuration.
const MANY_ROUTES: usize = 800;

/// The key that never changes.
pub const LASTING_KEY: &str = "key-lasting";

/// What happens beside silent connections, cut links and entries that stand
/// still.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shape {
    /// Nothing else.
    WellLog,
    /// The log as a whole is not well at times, and entries start again.
    TroubledLog,
}

/// A time in which the log as a whole is not well.
struct Disturbance {
    from: Instant,
    until: Instant,
}

/// A target that said that it leaves.
struct Departure {
    target: Arc<Target>,
    at: Instant,
}

/// What became of a request.
pub struct Outcome {
    pub process: Process,
    /// The number of its key; `None` for the one that never changes.
    pub key: Option<usize>,
    pub sent: Instant,
    pub answered: Instant,
    pub status: Option<StatusCode>,
}

/// An answer by a configuration that should no longer have been in force.
pub struct OutdatedAnswer {
    pub process: Process,
    pub changed: Instant,
    pub sent: Instant,
    pub text: String,
}

pub struct Siege {
    shape: Shape,
    pub plant: RefCell<Plant>,
    pub processes: Processes,
    targets: RefCell<Vec<Arc<Target>>>,
    target_starts: Cell<u64>,
    pub begun: Instant,
    /// When each key was added, which withdrew the one before.
    key_times: RefCell<Vec<Instant>>,
    departures: RefCell<Vec<Departure>>,
    disturbances: RefCell<Vec<Disturbance>>,
    silences: Cell<usize>,
    asked: RefCell<HashMap<String, Process>>,
    pub outcomes: Rc<RefCell<Vec<Outcome>>>,
    callers: RefCell<StdRng>,
    troubles: RefCell<StdRng>,
    is_calm: Cell<bool>,
    pub is_over: Cell<bool>,
}

impl Siege {
    async fn start(seed: u64) -> Siege {
        let shape = match seed % 2 {
            0 => Shape::WellLog,
            _ => Shape::TroubledLog,
        };
        Siege::start_with(seed, shape, siege::start).await
    }

    /// Starts entries of a kind, before targets and a log.
    pub async fn start_with(
        seed: u64,
        shape: Shape,
        start_entry: fn(Settings) -> Entry,
    ) -> Siege {
        let mut plant = Plant::start().await;
        plant.log.set_era(Some(seed % 3));
        let mut targets = Vec::new();
        for number in 0..TARGETS {
            targets.push(plant.target_with(config(number as u64)).await);
        }
        plant.catalog =
            plant.catalog.clone().with_organisation("lasting", &[LASTING_KEY]);
        let key_times = RefCell::new(Vec::new());
        publish_key(&mut plant, &key_times);
        let count = siege::size(ENTRIES);
        let processes =
            Processes::start_with(&mut plant, count, start_entry).await;
        Siege {
            shape,
            plant: RefCell::new(plant),
            processes,
            targets: RefCell::new(targets),
            target_starts: Cell::new(TARGETS as u64),
            begun: Instant::now(),
            key_times,
            departures: RefCell::default(),
            disturbances: RefCell::default(),
            silences: Cell::new(0),
            asked: RefCell::default(),
            outcomes: Rc::default(),
            callers: RefCell::new(StdRng::seed_from_u64(seed)),
            troubles: RefCell::new(StdRng::seed_from_u64(seed + 1_000)),
            is_calm: Cell::new(false),
            is_over: Cell::new(false),
        }
    }

    pub fn draw(&self, below: usize) -> usize {
        self.troubles.borrow_mut().random_range(0..below)
    }

    pub fn draw_time(&self, from: u64, to: u64) -> Duration {
        let mut random = self.troubles.borrow_mut();
        Duration::from_millis(random.random_range(from..to))
    }

    pub fn has_trouble(&self) -> bool {
        self.begun.elapsed() < TROUBLE
    }

    /// Callers with the newest key, one shortly before it, or the one that
    /// never changes.
    pub async fn send(&self) {
        let mut due = interval(Duration::from_secs(1) / RATE as u32);
        let calls = LocalSet::new();
        let asking = async {
            while !self.is_over.get() {
                due.tick().await;
                let newest = self.key_times.borrow().len() - 1;
                let (at, key) = {
                    let mut random = self.callers.borrow_mut();
                    let at = random.random_range(0..self.processes.count());
                    let key = match random.random_range(0..6) {
                        0 | 1 => None,
                        before => Some(newest.saturating_sub(before - 2)),
                    };
                    (at, key)
                };
                let request = self.processes.with(at, |process, entry| {
                    let name = key.map_or(LASTING_KEY.into(), key_name);
                    let request = entry.request("/many/a", &name, "");
                    let id = &request.headers()[header::REQUEST_ID];
                    let id = id.to_str().expect("text").to_string();
                    self.asked.borrow_mut().insert(id, process);
                    (process, request)
                });
                let Some((process, request)) = request else { continue };
                let outcomes = self.outcomes.clone();
                let sent = Instant::now();
                tokio::task::spawn_local(async move {
                    let client = Client::new();
                    let answer = client.call(request, 1 << 20, PATIENCE).await;
                    let status = answer.ok().map(|it| it.status());
                    let answered = Instant::now();
                    outcomes.borrow_mut().push(Outcome {
                        process,
                        key,
                        sent,
                        answered,
                        status,
                    });
                });
            }
        };
        calls.run_until(asking).await;
    }

    pub fn publish(&self) {
        publish_key(&mut self.plant.borrow_mut(), &self.key_times);
    }

    pub async fn operate(&self) {
        while !self.is_calm.get() {
            sleep(self.draw_time(300, 2_500)).await;
            match self.draw(6) {
                0 => {
                    for _ in 0..self.draw(8) {
                        self.publish();
                        sleep(self.draw_time(60, 300)).await;
                    }
                }
                1 => {
                    let mut plant = self.plant.borrow_mut();
                    let small = plant.catalog.clone();
                    let paths = (0..MANY_ROUTES).map(|it| format!("/l{it}/"));
                    plant.catalog =
                        paths.fold(small.clone(), |catalog, path| {
                            catalog.with_route(
                                &path,
                                RouteKind::Once,
                                "plain",
                                900,
                            )
                        });
                    publish_key(&mut plant, &self.key_times);
                    plant.catalog =
                        plant.catalog.clone().with_routes_of(&small);
                }
                _ => self.publish(),
            }
        }
    }

    pub async fn renew(&self) {
        while !self.is_over.get() {
            let leaving = |it: &Arc<Target>| {
                let departures = self.departures.borrow();
                departures.iter().any(|left| Arc::ptr_eq(&left.target, it))
            };
            for target in self.targets.borrow().iter() {
                let state = if leaving(target) { "draining" } else { "ready" };
                target.announce(&self.plant.borrow().log, state);
            }
            sleep(RENEWAL).await;
        }
    }

    /// A target joins, and the oldest one leaves and serves on for a while.
    async fn replace_targets(&self) {
        while self.has_trouble() {
            sleep(self.draw_time(500, 3_000)).await;
            let number = self.target_starts.get();
            self.target_starts.set(number + 1);
            let (address, log) = self.plant.borrow_mut().target_site();
            let joined = target::start(address, config(number), &log).await;
            self.targets.borrow_mut().push(joined.expect("a target"));
            sleep(BOUND).await;
            let target = self.targets.borrow()[0].clone();
            target.announce(&log, "draining");
            let at = Instant::now();
            let departure = Departure { target: target.clone(), at };
            self.departures.borrow_mut().push(departure);
            sleep(LEAVING_TIME).await;
            self.targets.borrow_mut().remove(0);
            target.kill();
            target.withdraw_announcement(&log);
        }
    }

    async fn trouble_entries(&self) {
        while self.has_trouble() {
            sleep(self.draw_time(800, 3_000)).await;
            let place = self.draw(self.processes.count());
            let signal = match self.draw(3) {
                drawn if drawn == 0 || self.shape == Shape::WellLog => {
                    let time = self.draw_time(200, 2_500);
                    self.processes.freeze(place, time).await;
                    continue;
                }
                1 => Signal::KILL,
                _ => Signal::TERM,
            };
            self.processes.replace(place, signal, Address::Same).await;
        }
    }

    /// One entry, half of them, or all.
    fn draw_places(&self) -> Vec<usize> {
        let count = self.processes.count();
        let half = self.draw(2);
        match self.draw(4) {
            0 => vec![self.draw(count)],
            1 => (0..count).filter(|it| it % 2 == half).collect(),
            _ => (0..count).collect(),
        }
    }

    fn draw_cut(&self) -> LinkState {
        match self.draw(3) {
            0 => LinkState::Cut,
            1 => LinkState::CutToServer,
            _ => LinkState::CutFromServer,
        }
    }

    async fn silence_connections(&self) {
        while self.has_trouble() {
            sleep(self.draw_time(50, 2_500)).await;
            let cut = self.draw_cut();
            for place in self.draw_places() {
                self.processes.silence(place, cut);
            }
            self.silences.set(self.silences.get() + 1);
            // Connections may go silent long before a change or just then.
            if self.draw(2) == 0 {
                sleep(BOUND).await;
            }
            self.publish();
        }
    }

    async fn cut_links(&self) {
        while self.has_trouble() {
            sleep(self.draw_time(500, 3_000)).await;
            let place = self.draw(self.processes.count());
            let link = match self.draw(3) {
                // New connections end the silence of an entry's old ones.
                0 if self.shape == Shape::TroubledLog => LinkState::Closed,
                0 | 1 => LinkState::Slow(self.draw_time(20, 300)),
                _ => self.draw_cut(),
            };
            let time = self.draw_time(100, 4_000);
            self.processes.disturb(place, link, time).await;
        }
    }

    async fn trouble_log(&self) {
        while self.has_trouble() && self.shape == Shape::TroubledLog {
            sleep(self.draw_time(2_000, 6_000)).await;
            let from = Instant::now();
            let fault = match self.draw(4) {
                0 => log::Fault::Refusing,
                1 => log::Fault::LosingAnswers,
                2 => log::Fault::Silent,
                _ => log::Fault::None,
            };
            self.plant.borrow().log.set_fault(fault);
            sleep(self.draw_time(50, 800)).await;
            self.plant.borrow().log.set_fault(log::Fault::None);
            if fault == log::Fault::None {
                let copy = from - self.draw_time(100, MAX_COPY_AGE_MS);
                self.plant.borrow().log.roll_back(copy.max(self.begun));
                sleep(REWRITE_TIME).await;
                self.publish();
            }
            let until = Instant::now();
            let disturbance = Disturbance { from, until };
            self.disturbances.borrow_mut().push(disturbance);
        }
    }

    pub async fn play(&self) {
        tokio::join!(
            self.replace_targets(),
            self.trouble_entries(),
            self.silence_connections(),
            self.cut_links(),
            self.trouble_log(),
        );
        self.is_calm.set(true);
        sleep(BOUND.max(START_TIME)).await;
        let known = self.known_targets().await;
        let count = self.targets.borrow().len();
        assert!(known.iter().all(|it| *it == count), "{known:?} of {count}");
        sleep(CHECKED).await;
        self.is_over.set(true);
    }

    /// How many targets each entry knows.
    async fn known_targets(&self) -> Vec<usize> {
        let mut known = Vec::new();
        for place in 0..self.processes.count() {
            let uri = self.processes.with(place, |_, entry| {
                format!("http://{}/metrics", entry.settings.readiness_address)
            });
            let targets = metric(&uri.expect("an entry"), "targets").await;
            known.push(targets.unwrap_or(0.0) as usize);
        }
        known
    }

    /// Until when a change of a moment may be unknown, since the log as a whole
    /// was not well.
    fn deadline(&self, changed: Instant) -> Instant {
        let mut deadline = changed + BOUND + ON_ITS_WAY;
        let disturbances = self.disturbances.borrow();
        for Disturbance { from, until } in disturbances.iter() {
            if *until > changed && *from < deadline {
                deadline = deadline.max(*until + BOUND + ON_ITS_WAY);
            }
        }
        deadline
    }

    /// Whether a process had to know of a change of a moment at a time.
    pub fn must_know(
        &self,
        process: Process,
        changed: Instant,
        at: Instant,
    ) -> bool {
        let started = self.processes.life(process).from;
        at > self.deadline(changed).max(started + START_TIME)
            && !self.processes.stood_still(process, changed, at)
    }

    /// Answers by a configuration that should no longer have been in force.
    pub fn outdated(&self) -> Vec<OutdatedAnswer> {
        let times = self.key_times.borrow();
        let mut outdated = Vec::new();
        for it in self.outcomes.borrow().iter() {
            let Some(key) = it.key else { continue };
            let (what, changed) = match (it.status, times.get(key + 1)) {
                (Some(StatusCode::OK), Some(withdrawn)) => ("took", withdrawn),
                (Some(StatusCode::UNAUTHORIZED), next)
                    if next.is_none_or(|next| *next > it.answered) =>
                {
                    ("refused", &times[key])
                }
                _ => continue,
            };
            if self.must_know(it.process, *changed, it.sent) {
                let text = format!(
                    "process {} {what} key {key} at {:?}, changed at {:?}",
                    it.process,
                    it.sent - self.begun,
                    *changed - self.begun,
                );
                let (process, sent) = (it.process, it.sent);
                outdated.push(OutdatedAnswer {
                    process,
                    changed: *changed,
                    sent,
                    text,
                });
            }
        }
        outdated
    }

    /// Requests that came to a target that had left.
    pub fn unwanted(&self) -> Vec<String> {
        let asked = self.asked.borrow();
        let mut unwanted = Vec::new();
        for Departure { target, at } in self.departures.borrow().iter() {
            for arrival in target.arrival_log() {
                let Some(process) = asked.get(&arrival.request_id) else {
                    continue;
                };
                if self.must_know(*process, *at, arrival.arrived_at) {
                    unwanted.push(format!(
                        "process {process} at {:?}, left at {:?}",
                        arrival.arrived_at - self.begun,
                        *at - self.begun,
                    ));
                }
            }
        }
        unwanted
    }

    /// Requests with the key that never changes which a running process did
    /// not serve.
    pub fn unserved(&self) -> Vec<String> {
        let outcomes = self.outcomes.borrow();
        let lasting = outcomes.iter().filter(|it| {
            let life = self.processes.life(it.process);
            let runs = life.from + START_TIME < it.sent
                && life.until.is_none_or(|until| it.answered < until)
                && !self.processes.stood_still(
                    it.process,
                    it.sent,
                    it.answered,
                );
            it.key.is_none() && runs
        });
        lasting
            .filter(|it| it.status != Some(StatusCode::OK))
            .map(|it| {
                format!(
                    "process {} answered {:?} at {:?}",
                    it.process,
                    it.status,
                    it.sent - self.begun,
                )
            })
            .collect()
    }
}

/// Adds a key and withdraws the one before.
fn publish_key(plant: &mut Plant, key_times: &RefCell<Vec<Instant>>) {
    let key = key_name(key_times.borrow().len());
    plant.catalog = plant.catalog.clone().with_organisation("harju", &[&key]);
    plant.catalog.publish(&plant.log);
    key_times.borrow_mut().push(Instant::now());
}

fn key_name(number: usize) -> String {
    format!("key-{number}")
}

fn config(number: u64) -> TargetConfig {
    TargetConfig::new(&format!("i-{number}"), "plain", "a")
        .with_response_delay(Duration::from_millis(5))
        .with_start_time(number + 1)
}

async fn play(seed: u64) {
    let siege = Siege::start(seed).await;
    tokio::join!(siege.play(), siege.send(), siege.operate(), siege.renew());
    let outdated = siege.outdated().into_iter().map(|it| it.text);
    let outdated: Vec<String> = outdated.collect();
    let unwanted = siege.unwanted();
    let unserved = siege.unserved();
    println!(
        "seed {seed}, {:?}: {} silences, {} disturbances of the log, {} keys, {} \
         departures, {} entries replaced; {} requests: outdated {}, unwanted \
         {}, unserved {}",
        siege.shape,
        siege.silences.get(),
        siege.disturbances.borrow().len(),
        siege.key_times.borrow().len(),
        siege.departures.borrow().len(),
        siege.processes.replaced(),
        siege.outcomes.borrow().len(),
        outdated.len(),
        unwanted.len(),
        unserved.len(),
    );
    assert!(outdated.is_empty(), "seed {seed}: {outdated:#?}");
    assert!(unwanted.is_empty(), "seed {seed}: {unwanted:#?}");
    assert!(unserved.is_empty(), "seed {seed}: {unserved:#?}");
}

/// Guards against configurations, departures and callers that are late or lost
/// while connections to the log are silent.
#[tokio::test]
async fn a_siege_of_silent_connections_delays_no_configuration() {
    for seed in siege::seeds() {
        play(seed).await;
    }
}

/// Guards against an entry that wakes from a freeze and takes what it receives
/// late for new, so that nobody checks the polls.
#[tokio::test]
async fn a_siege_that_froze_an_entry_delays_no_configuration() {
    play(10).await;
}
