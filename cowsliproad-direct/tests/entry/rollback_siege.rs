//! The platform's log comes back from older copies again and again, is away,
//! slow or drops its history, while operators publish keys, targets leave,
//! crash, start again and join, and entries stand still, are killed, are
//! stopped, join and are cut off from the log, in one direction or both; in
//! series that overlap, drawn from a seed.
//!
//! Of each entry's process is checked: no key that it has once seen withdrawn
//! is good again, nor is one that another entry had seen withdrawn before it
//! started; a target that leaves gets nothing after the time that it has for
//! that; soon after the last trouble every entry uses every target.
//!
//! `FIRST_SEED=1 SEEDS=50 cargo test -p cowsliproad-direct --test entry rollback_siege -- --nocapture`
//! plays more of them and prints a line for each. With `LOGS=DIRECTORY` each
//! entry's lines are kept there.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use cowsliproad_net::client::Client;
use cowsliproad_platform::{
    header,
    log::{CONFIG_TOPIC, TARGETS_TOPIC},
};
use cowsliproad_platform_standin::{
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
    harness::{Plant, metric},
    limits::PATIENCE,
    processes::{Address, ON_ITS_WAY, Process, Processes},
    siege,
};

/// Entries, where `ENTRIES` doesn't say how many.
const ENTRIES: usize = 4;
const TARGETS: usize = 5;
const RATE: usize = 80;

/// How long there is trouble, and how long is checked after the last.
const TROUBLE: Duration = Duration::from_secs(10);
const CHECKED: Duration = Duration::from_secs(2);

/// In which news is in force, a leaving target gets nothing more, and every
/// target is used again.
const BOUND: Duration = Duration::from_millis(2_000);

/// How old a copy may be.
const MAX_AGE: u64 = 6_000;

/// How long targets and operators take to write again what the log lost.
const REWRITE_TIME: u64 = 1_500;

/// How often targets renew their entries.
const RENEWAL: Duration = Duration::from_millis(400);

/// How long a leaving target serves on.
const LEAVING_TIME: Duration = Duration::from_secs(4);

/// How long an entry that starts waits for others at least.
const MEETING_TIME: Duration = Duration::from_millis(300);

/// A target's name, and who has it.
struct Place {
    target: RefCell<Arc<Target>>,
    starts: Cell<u64>,
    leaving: Cell<bool>,
    /// Until when it writes nothing.
    silent_until: Cell<Instant>,
}

/// A time in which the log lacks what was written, or doesn't answer.
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
struct Outcome {
    process: Process,
    key: usize,
    sent: Instant,
    answered: Instant,
    status: Option<StatusCode>,
    /// Whether it had to be served.
    is_checked: bool,
}

struct Siege {
    plant: RefCell<Plant>,
    processes: Processes,
    places: Vec<Place>,
    begun: Instant,
    /// The only key that is good.
    key: Cell<usize>,
    departures: RefCell<Vec<Departure>>,
    disturbances: RefCell<Vec<Disturbance>>,
    rollbacks: Cell<usize>,
    asked: RefCell<HashMap<String, Process>>,
    outcomes: Rc<RefCell<Vec<Outcome>>>,
    callers: RefCell<StdRng>,
    troubles: RefCell<StdRng>,
    is_over: Cell<bool>,
    /// Whether there is no more trouble, and whether nobody may be refused.
    is_calm: Cell<bool>,
    is_checked: Cell<bool>,
}

impl Siege {
    async fn start(seed: u64) -> Siege {
        let mut plant = Plant::start().await;
        plant.log.set_era(Some(seed % 3));
        let mut places = Vec::new();
        for number in 0..TARGETS {
            let target = plant.target_with(config(number, 1)).await;
            places.push(Place {
                target: RefCell::new(target),
                starts: Cell::new(1),
                leaving: Cell::new(false),
                silent_until: Cell::new(Instant::now()),
            });
        }
        publish(&mut plant, 0);
        let count = siege::size(ENTRIES);
        let processes = Processes::start(&mut plant, count).await;
        Siege {
            plant: RefCell::new(plant),
            processes,
            places,
            begun: Instant::now(),
            key: Cell::new(0),
            departures: RefCell::default(),
            disturbances: RefCell::default(),
            rollbacks: Cell::new(0),
            asked: RefCell::default(),
            outcomes: Rc::default(),
            callers: RefCell::new(StdRng::seed_from_u64(seed)),
            troubles: RefCell::new(StdRng::seed_from_u64(seed + 1_000)),
            is_over: Cell::new(false),
            is_calm: Cell::new(false),
            is_checked: Cell::new(false),
        }
    }

    fn draw(&self, below: usize) -> usize {
        self.troubles.borrow_mut().random_range(0..below)
    }

    fn draw_time(&self, from: u64, to: u64) -> Duration {
        let mut random = self.troubles.borrow_mut();
        Duration::from_millis(random.random_range(from..to))
    }

    /// Callers that don't wait for one another, with the newest key or one
    /// shortly before it.
    async fn send(&self) {
        let mut due = interval(Duration::from_secs(1) / RATE as u32);
        let calls = LocalSet::new();
        let asking = async {
            while !self.is_over.get() {
                due.tick().await;
                let (at, before) = {
                    let mut random = self.callers.borrow_mut();
                    let at = random.random_range(0..self.processes.count());
                    (at, random.random_range(0..3))
                };
                let before = if self.is_calm.get() { 0 } else { before };
                let is_checked = self.is_checked.get();
                let key = self.key.get().saturating_sub(before);
                let request = self.processes.with(at, |process, entry| {
                    let key = format!("key-{key}");
                    let request = entry.request("/many/a", &key, "");
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
                        is_checked,
                    });
                });
            }
        };
        calls.run_until(asking).await;
    }

    /// Operators that take the key away for another one.
    async fn operate(&self) {
        while !self.is_calm.get() {
            sleep(self.draw_time(500, 1_500)).await;
            self.key.set(self.key.get() + 1);
            publish(&mut self.plant.borrow_mut(), self.key.get());
        }
    }

    /// Targets write their entries all the time.
    async fn renew(&self) {
        while !self.is_over.get() {
            let now = Instant::now();
            for place in &self.places {
                let target = place.target.borrow();
                if !target.process_has_ended()
                    && place.silent_until.get() <= now
                {
                    let is_leaving = place.leaving.get();
                    let state = if is_leaving { "draining" } else { "ready" };
                    target.announce(&self.plant.borrow().log, state);
                }
            }
            sleep(RENEWAL).await;
        }
    }

    async fn trouble_targets(&self) {
        let begun = Instant::now();
        while begun.elapsed() < TROUBLE {
            sleep(self.draw_time(300, 1_500)).await;
            let number = self.draw(TARGETS);
            let place = &self.places[number];
            if self.draw(2) == 0 {
                self.leave(place).await;
            } else {
                place.target.borrow().kill();
                sleep(self.draw_time(200, 1_000)).await;
            }
            self.restart(number).await;
        }
    }

    /// A target says that it leaves and serves on for a while.
    async fn leave(&self, place: &Place) {
        place.leaving.set(true);
        let target = place.target.borrow().clone();
        target.announce(&self.plant.borrow().log, "draining");
        let at = Instant::now();
        let departure = Departure { target: target.clone(), at };
        self.departures.borrow_mut().push(departure);
        sleep(LEAVING_TIME).await;
        target.kill();
    }

    /// Another process takes the name of one that ended.
    async fn restart(&self, number: usize) {
        let place = &self.places[number];
        place.starts.set(place.starts.get() + 1);
        let config = config(number, place.starts.get());
        let (address, log) = self.plant.borrow_mut().target_site();
        let target = target::start(address, config, &log).await;
        place.target.replace(target.expect("a target"));
        place.leaving.set(false);
    }

    async fn trouble_entries(&self) {
        let begun = Instant::now();
        while begun.elapsed() < TROUBLE {
            sleep(self.draw_time(300, 1_500)).await;
            let place = self.draw(self.processes.count());
            match self.draw(3) {
                0 => {
                    let time = self.draw_time(200, 2_500);
                    self.processes.freeze(place, time).await;
                }
                1 => self.replace_entry(place, Signal::KILL).await,
                _ => self.replace_entry(place, Signal::TERM).await,
            }
        }
    }

    async fn replace_entry(&self, place: usize, signal: Signal) {
        self.processes.replace(place, signal, Address::Same).await;
    }

    async fn trouble_log(&self) {
        let begun = Instant::now();
        while begun.elapsed() < TROUBLE {
            sleep(self.draw_time(200, 2_000)).await;
            match self.draw(6) {
                0 => {
                    let log = self.plant.borrow().log.clone();
                    log.drop_history(CONFIG_TOPIC);
                    log.drop_history(TARGETS_TOPIC);
                }
                1 => {
                    let slow = log::Fault::Slow(self.draw_time(20, 400));
                    self.disturb(slow).await;
                }
                2 => self.disturb(log::Fault::Refusing).await,
                3 => self.disturb(log::Fault::LosingAnswers).await,
                _ => self.roll_back().await,
            }
        }
        self.roll_back().await;
    }

    /// One entry after the other is cut off from the log. It learns of all
    /// from the others, so nothing that is checked allows for that.
    async fn trouble_links(&self) {
        let begun = Instant::now();
        while begun.elapsed() < TROUBLE {
            sleep(self.draw_time(100, 1_000)).await;
            let place = self.draw(self.processes.count());
            let link = match self.draw(5) {
                0 => LinkState::Cut,
                1 => LinkState::CutToServer,
                2 => LinkState::CutFromServer,
                3 => LinkState::Closed,
                _ => LinkState::Slow(self.draw_time(20, 400)),
            };
            let time = self.draw_time(100, 4_000);
            self.processes.disturb(place, link, time).await;
        }
    }

    async fn disturb(&self, fault: log::Fault) {
        let from = Instant::now();
        self.plant.borrow().log.set_fault(fault);
        sleep(self.draw_time(100, 800)).await;
        self.plant.borrow().log.set_fault(log::Fault::None);
        self.note_disturbance(from, Instant::now());
    }

    fn note_disturbance(&self, from: Instant, until: Instant) {
        let disturbance = Disturbance { from, until };
        self.disturbances.borrow_mut().push(disturbance);
    }

    /// The log is away for a moment, or not at all, and comes back older.
    async fn roll_back(&self) {
        let from = Instant::now();
        let copy = from - self.draw_time(100, MAX_AGE);
        match self.draw(3) {
            0 => self.disturb(log::Fault::Refusing).await,
            1 => self.disturb(log::Fault::Silent).await,
            _ => {}
        }
        self.plant.borrow().log.roll_back(copy.max(self.begun));
        self.rollbacks.set(self.rollbacks.get() + 1);
        let back = Instant::now();
        for place in &self.places {
            let until = back + self.draw_time(0, REWRITE_TIME);
            place.silent_until.set(until);
        }
        let rewritten = back + Duration::from_millis(REWRITE_TIME) + RENEWAL;
        self.note_disturbance(from, rewritten);
        sleep(self.draw_time(0, REWRITE_TIME)).await;
        publish(&mut self.plant.borrow_mut(), self.key.get());
    }

    async fn play(&self) {
        tokio::join!(
            self.trouble_targets(),
            self.trouble_entries(),
            self.trouble_log(),
            self.trouble_links(),
        );
        self.is_calm.set(true);
        // The bound counts from when the last target has written its entry.
        let silent = self.places.iter().map(|it| it.silent_until.get()).max();
        let written = silent.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now()) + RENEWAL
        });
        sleep(written + BOUND).await;
        self.is_checked.set(true);
        let known = self.known().await;
        let places = self.places.iter().map(|it| {
            let target = it.target.borrow();
            let silent = it.silent_until.get();
            (
                target.listen_address(),
                target.process_has_ended(),
                silent - self.begun,
            )
        });
        assert!(
            known.iter().all(|it| *it == TARGETS),
            "targets {known:?} at {:?}: {:?}",
            self.begun.elapsed(),
            places.collect::<Vec<_>>(),
        );
        sleep(CHECKED).await;
        self.is_over.set(true);
    }

    /// How many targets each entry knows.
    async fn known(&self) -> Vec<usize> {
        let mut known = Vec::new();
        for place in 0..self.processes.count() {
            let metrics = self.processes.with(place, |_, entry| {
                format!("http://{}/metrics", entry.settings.readiness_address)
            });
            let Some(metrics) = metrics else { continue };
            let targets = metric(&metrics, "targets").await;
            known.push(targets.unwrap_or(0.0) as usize);
        }
        known
    }

    /// Answers with a key that was known to be withdrawn.
    fn reverted(&self) -> Vec<String> {
        let outcomes = self.outcomes.borrow();
        let good = |it: &&Outcome| it.status == Some(StatusCode::OK);
        let good: Vec<&Outcome> = outcomes.iter().filter(good).collect();
        let is_later = |late: &Outcome, early: &Outcome| {
            if early.key <= late.key || early.answered > late.sent {
                return false;
            }
            if early.process == late.process {
                return true;
            }
            let life = self.processes.life(late.process);
            life.seeds.contains(&early.process)
                && early.answered < life.from
                && self.processes.ran(
                    early.process,
                    life.from,
                    life.from + MEETING_TIME,
                )
                && !self.processes.stood_still(
                    late.process,
                    life.from,
                    life.from + MEETING_TIME,
                )
        };
        let mut reverted = Vec::new();
        for late in &good {
            if let Some(early) = good.iter().find(|it| is_later(late, it)) {
                reverted.push(format!(
                    "process {} took key {} at {:?}, process {} key {} at {:?}",
                    late.process,
                    late.key,
                    late.sent - self.begun,
                    early.process,
                    early.key,
                    early.answered - self.begun,
                ));
            }
        }
        reverted
    }

    /// Until when requests may come to a target that leaves.
    fn deadline(&self, departure: &Departure) -> Instant {
        let mut deadline = departure.at + BOUND + ON_ITS_WAY;
        let disturbances = self.disturbances.borrow();
        let mut sorted: Vec<&Disturbance> = disturbances.iter().collect();
        sorted.sort_by_key(|it| it.from);
        for disturbance in sorted {
            let touches = disturbance.until > departure.at;
            if touches && disturbance.from < deadline {
                deadline = deadline.max(disturbance.until + BOUND);
            }
        }
        deadline
    }

    /// Requests that came to a target that had left.
    fn unwanted(&self) -> Vec<String> {
        let asked = self.asked.borrow();
        let departures = self.departures.borrow();
        let mut unwanted = Vec::new();
        for departure in departures.iter() {
            let deadline = self.deadline(departure);
            for arrival in departure.target.arrival_log() {
                let Some(process) = asked.get(&arrival.request_id) else {
                    continue;
                };
                let at = arrival.arrived_at;
                let started = self.processes.life(*process).from;
                let late = at > deadline.max(started + BOUND)
                    && !self.processes.stood_still(*process, departure.at, at);
                if late {
                    unwanted.push(format!(
                        "process {process} at {:?}, left at {:?}",
                        at - self.begun,
                        departure.at - self.begun,
                    ));
                }
            }
        }
        unwanted
    }
}

fn publish(plant: &mut Plant, key: usize) {
    let keys = format!("key-{key}");
    plant.catalog = plant.catalog.clone().with_organisation("harju", &[&keys]);
    plant.catalog.publish(&plant.log);
}

fn config(number: usize, start: u64) -> TargetConfig {
    TargetConfig::new(&format!("i-{number}"), "plain", "a")
        .with_response_delay(Duration::from_millis(5))
        .with_start_time(start)
}

async fn play(seed: u64) {
    let siege = Siege::start(seed).await;
    tokio::join!(siege.play(), siege.send(), siege.operate(), siege.renew(),);
    let (reverted, unwanted) = (siege.reverted(), siege.unwanted());
    let outcomes = siege.outcomes.borrow();
    let count = |status| {
        outcomes.iter().filter(|it| it.status == Some(status)).count()
    };
    let checked = outcomes.iter().filter(|it| it.is_checked);
    let failed: Vec<_> = checked
        .filter(|it| it.status != Some(StatusCode::OK))
        .map(|it| (it.process, it.status, it.sent - siege.begun))
        .collect();
    println!(
        "seed {seed}: {} rollbacks, {} departures, {} entries replaced, {} \
         keys; served {}, refused {}, of {}; reverted {}, unwanted {}, failed \
         in the calm {}",
        siege.rollbacks.get(),
        siege.departures.borrow().len(),
        siege.processes.replaced(),
        siege.key.get(),
        count(StatusCode::OK),
        count(StatusCode::SERVICE_UNAVAILABLE),
        outcomes.len(),
        reverted.len(),
        unwanted.len(),
        failed.len(),
    );
    assert!(reverted.is_empty(), "seed {seed}: {reverted:#?}");
    assert!(unwanted.is_empty(), "seed {seed}: {unwanted:#?}");
    assert!(failed.is_empty(), "seed {seed}: {failed:?}");
}

#[tokio::test]
async fn a_siege_of_rollbacks_reverts_nothing_and_loses_no_target() {
    for seed in siege::seeds() {
        play(seed).await;
    }
}

/// Guards against a target's return that only those tell of who missed it.
#[tokio::test]
async fn a_siege_that_hid_a_target_from_some_entries_hides_none() {
    play(336).await;
}

/// Guards against a starting entry that hears only another one that is as far
/// behind as the log's copy.
#[tokio::test]
async fn a_siege_that_started_an_entry_beside_one_that_was_behind_reverts_nothing()
 {
    play(620).await;
}
