//! Records of targets lapse while the log is away and are written again, single
//! entries are cut off from the log, in one direction or both, stand still or
//! are killed, and targets leave, end and start again; in series that overlap,
//! drawn from a seed.
//!
//! Of each entry's process is checked: a target that left gets nothing after
//! the time that it has for that, and soon after the last trouble every entry
//! knows every living target, and no other.
//!
//! `FIRST_SEED=1 SEEDS=50 cargo test -p cowsliproad-direct --test entry withdrawal_siege -- --nocapture`
//! plays more of them and prints a line for each. With `LOGS=DIRECTORY` each
//! entry's lines are kept there.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use cowsliproad_net::client::Client;
use cowsliproad_platform::header;
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
    harness::{KEY, Plant, metric},
    limits::PATIENCE,
    processes::{Address, ON_ITS_WAY, Process, Processes},
    siege,
};

/// Entries, where `ENTRIES` doesn't say how many.
const ENTRIES: usize = 5;
const TARGETS: usize = 6;
const RATE: usize = 60;

/// How long there is trouble, and how long is checked after the last.
const TROUBLE: Duration = Duration::from_secs(14);
const CHECKED: Duration = Duration::from_secs(2);

/// In which news is in force, a leaving target gets nothing more, and every
/// target is used again.
const BOUND: Duration = Duration::from_millis(2_000);

/// How long a target takes to write its record again.
const RENEWAL_TIME: u64 = 2_000;

/// How long a leaving target serves on.
const LEAVING_TIME: Duration = Duration::from_secs(5);

/// A target's name, and who has it.
struct Place {
    target: RefCell<Arc<Target>>,
    starts: Cell<u64>,
    /// Whether it leaves or has ended.
    is_leaving: Cell<bool>,
}

/// A target that left, and when.
struct Departure {
    target: Arc<Target>,
    at: Instant,
}

struct Siege {
    plant: RefCell<Plant>,
    processes: Processes,
    places: Vec<Place>,
    begun: Instant,
    departures: RefCell<Vec<Departure>>,
    /// Times in which the log doesn't answer, each with the grace after it.
    outages: RefCell<Vec<(Instant, Instant)>>,
    asked: RefCell<HashMap<String, Process>>,
    refused: Cell<usize>,
    served: Cell<usize>,
    callers: RefCell<StdRng>,
    troubles: RefCell<StdRng>,
    is_over: Cell<bool>,
    is_checked: Cell<bool>,
    failed: RefCell<Vec<String>>,
}

impl Siege {
    async fn start(seed: u64) -> Siege {
        let mut plant = Plant::start().await;
        let mut places = Vec::new();
        for number in 0..TARGETS {
            let target = plant.target_with(config(number, 1)).await;
            places.push(Place {
                target: RefCell::new(target),
                starts: Cell::new(1),
                is_leaving: Cell::new(false),
            });
        }
        let count = siege::size(ENTRIES);
        let processes = Processes::start(&mut plant, count).await;
        processes.until_met().await;
        Siege {
            plant: RefCell::new(plant),
            processes,
            places,
            begun: Instant::now(),
            departures: RefCell::default(),
            outages: RefCell::default(),
            asked: RefCell::default(),
            refused: Cell::new(0),
            served: Cell::new(0),
            callers: RefCell::new(StdRng::seed_from_u64(seed)),
            troubles: RefCell::new(StdRng::seed_from_u64(seed + 1_000)),
            is_over: Cell::new(false),
            is_checked: Cell::new(false),
            failed: RefCell::default(),
        }
    }

    fn draw(&self, below: usize) -> usize {
        self.troubles.borrow_mut().random_range(0..below)
    }

    fn draw_time(&self, from: u64, to: u64) -> Duration {
        let mut random = self.troubles.borrow_mut();
        Duration::from_millis(random.random_range(from..to))
    }

    async fn send(&self) {
        let mut due = interval(Duration::from_secs(1) / RATE as u32);
        while !self.is_over.get() {
            due.tick().await;
            let at = self
                .callers
                .borrow_mut()
                .random_range(0..self.processes.count());
            let request = self.processes.with(at, |process, entry| {
                let request = entry.request("/many/a", KEY, "");
                let id = &request.headers()[header::REQUEST_ID];
                let id = id.to_str().expect("text").to_string();
                self.asked.borrow_mut().insert(id, process);
                (process, request)
            });
            let Some((process, request)) = request else { continue };
            let is_checked = self.is_checked.get();
            let sent = self.begun.elapsed();
            let answer = Client::new().call(request, 1 << 20, PATIENCE).await;
            let status = answer.ok().map(|it| it.status());
            match status {
                Some(StatusCode::OK) => self.served.set(self.served.get() + 1),
                _ => self.refused.set(self.refused.get() + 1),
            }
            if is_checked && status != Some(StatusCode::OK) {
                let failed =
                    format!("process {process} at {sent:?}: {status:?}");
                self.failed.borrow_mut().push(failed);
            }
        }
    }

    /// Several callers that don't wait for one another.
    async fn send_all(&self) {
        tokio::join!(self.send(), self.send(), self.send(), self.send());
    }

    /// The log is away while records lapse, and targets write them again soon
    /// after its return.
    async fn trouble_log(&self) {
        while self.begun.elapsed() < TROUBLE {
            sleep(self.draw_time(500, 2_500)).await;
            let from = Instant::now();
            let fault = match self.draw(2) {
                0 => log::Fault::Silent,
                _ => log::Fault::Refusing,
            };
            let log = self.plant.borrow().log.clone();
            log.set_fault(fault);
            sleep(self.draw_time(2_600, 4_500)).await;
            let lapsed = self.draw(TARGETS);
            for place in self.places.iter().skip(lapsed) {
                place.target.borrow().withdraw_announcement(&log);
            }
            log.set_fault(log::Fault::None);
            let renewed = self.draw_time(200, RENEWAL_TIME);
            let grace = BOUND + Duration::from_millis(RENEWAL_TIME);
            self.outages.borrow_mut().push((from, Instant::now() + grace));
            sleep(renewed).await;
            for place in self.places.iter().skip(lapsed) {
                if !place.is_leaving.get() {
                    place.target.borrow().announce(&log, "ready");
                }
            }
        }
    }

    /// A record lapses alone, as of a target that is cut off from the log.
    async fn trouble_records(&self) {
        while self.begun.elapsed() < TROUBLE {
            sleep(self.draw_time(400, 2_000)).await;
            let place = &self.places[self.draw(TARGETS)];
            if place.is_leaving.get() {
                continue;
            }
            let log = self.plant.borrow().log.clone();
            place.target.borrow().withdraw_announcement(&log);
            sleep(self.draw_time(50, RENEWAL_TIME)).await;
            if !place.is_leaving.get() {
                place.target.borrow().announce(&log, "ready");
            }
        }
    }

    async fn trouble_links(&self) {
        while self.begun.elapsed() < TROUBLE {
            sleep(self.draw_time(100, 800)).await;
            let place = self.draw(self.processes.count());
            let link = match self.draw(5) {
                0 => LinkState::Cut,
                1 => LinkState::CutToServer,
                2 => LinkState::CutFromServer,
                3 => LinkState::Closed,
                _ => LinkState::Slow(self.draw_time(20, 400)),
            };
            let time = self.draw_time(500, 5_500);
            self.processes.disturb(place, link, time).await;
        }
    }

    async fn trouble_entries(&self) {
        while self.begun.elapsed() < TROUBLE {
            sleep(self.draw_time(800, 3_000)).await;
            let place = self.draw(self.processes.count());
            match self.draw(3) {
                0 => {
                    let signal = Signal::KILL;
                    self.processes.replace(place, signal, Address::Same).await;
                }
                _ => {
                    let time = self.draw_time(200, 2_500);
                    self.processes.freeze(place, time).await;
                }
            }
        }
    }

    /// Targets leave, with an announcement or without, end, and another process
    /// takes the name.
    async fn trouble_targets(&self) {
        while self.begun.elapsed() < TROUBLE {
            sleep(self.draw_time(300, 1_500)).await;
            let number = self.draw(TARGETS);
            let place = &self.places[number];
            let target = place.target.borrow().clone();
            let log = self.plant.borrow().log.clone();
            place.is_leaving.set(true);
            if self.draw(2) == 0 {
                target.announce(&log, "draining");
            } else {
                target.withdraw_announcement(&log);
            }
            let at = Instant::now();
            let departure = Departure { target: target.clone(), at };
            self.departures.borrow_mut().push(departure);
            sleep(LEAVING_TIME).await;
            target.withdraw_announcement(&log);
            target.kill();
            self.restart(number).await;
        }
    }

    async fn restart(&self, number: usize) {
        let place = &self.places[number];
        place.starts.set(place.starts.get() + 1);
        let config = config(number, place.starts.get());
        let (address, log) = self.plant.borrow_mut().target_site();
        let target = target::start(address, config, &log).await;
        place.target.replace(target.expect("a target"));
        place.is_leaving.set(false);
    }

    async fn play(&self) {
        tokio::join!(
            self.trouble_log(),
            self.trouble_records(),
            self.trouble_links(),
            self.trouble_links(),
            self.trouble_entries(),
            self.trouble_targets(),
        );
        sleep(BOUND).await;
        self.is_checked.set(true);
        let known = self.known().await;
        assert!(
            known.iter().all(|it| *it == TARGETS),
            "targets {known:?} at {:?}",
            self.begun.elapsed(),
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

    /// Until when requests may come to a target that leaves.
    fn deadline(&self, departure: &Departure) -> Instant {
        let mut deadline = departure.at + BOUND + ON_ITS_WAY;
        for (from, until) in self.outages.borrow().iter() {
            if *until > departure.at && *from < deadline {
                deadline = deadline.max(*until);
            }
        }
        deadline
    }

    /// Requests that came to a target that had left.
    fn unwanted(&self) -> Vec<String> {
        let asked = self.asked.borrow();
        let mut unwanted = Vec::new();
        for departure in self.departures.borrow().iter() {
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

fn config(number: usize, start: u64) -> TargetConfig {
    TargetConfig::new(&format!("i-{number}"), "plain", "a")
        .with_response_delay(Duration::from_millis(5))
        .with_start_time(start)
}

async fn play(seed: u64) {
    let siege = Siege::start(seed).await;
    let calls = LocalSet::new();
    calls
        .run_until(async { tokio::join!(siege.play(), siege.send_all()) })
        .await;
    let unwanted = siege.unwanted();
    println!(
        "seed {seed}: {} outages, {} departures, {} entries replaced; served \
         {}, refused {}; unwanted {}, failed in the calm {}",
        siege.outages.borrow().len(),
        siege.departures.borrow().len(),
        siege.processes.replaced(),
        siege.served.get(),
        siege.refused.get(),
        unwanted.len(),
        siege.failed.borrow().len(),
    );
    assert!(unwanted.is_empty(), "seed {seed}: {unwanted:#?}");
    let failed = siege.failed.borrow();
    assert!(failed.is_empty(), "seed {seed}: {failed:#?}");
}

/// Guards against targets that entries lose for good, or use after they left,
/// by news that reaches them out of order.
#[tokio::test]
async fn a_siege_of_lapses_loses_no_target_and_keeps_none_that_left() {
    for seed in siege::seeds() {
        play(seed).await;
    }
}
