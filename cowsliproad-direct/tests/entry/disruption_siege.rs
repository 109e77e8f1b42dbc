//! Several disruptions at once: all that [`crate::silence_siege`] draws, and
//! beside it VMs that are suspended, roll-outs, entries at new addresses,
//! invalid configurations and routes that are added. In series that overlap,
//! drawn from a seed.
//!
//! Checked is every sense in which a configuration can be wrong. None is late,
//! where the entry itself or one that could tell it reaches the log. No process
//! goes back to an older one. None takes an invalid one. Routes that were added
//! are served. Beside that, what the siege of silent connections checks of
//! targets that leave and of callers whose key never changes.
//!
//! `FIRST_SEED=1 SEEDS=50 cargo test -p cowsliproad-direct --test entry disruption_siege -- --nocapture`
//! plays more of them and prints a line for each. With `LOGS=DIRECTORY` each
//! entry's lines are kept there.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use cowsliproad_net::client::Client;
use cowsliproad_platform::{catalog::CONFIG_KEY, log::CONFIG_TOPIC};
use cowsliproad_platform_standin::catalog::RouteKind;
use http::StatusCode;
use rustix::process::Signal;
use tokio::{task::LocalSet, time::sleep};

use crate::{
    limits::PATIENCE,
    processes::{Address, Process},
    siege,
    silence_siege::{self, BOUND, LASTING_KEY, OutdatedAnswer, Shape},
};

/// How long after a process showed the effect of a version it may still answer
/// by an older one.
const ROLLBACK_TIME: Duration = Duration::from_millis(250);

/// The part of the requests on routes that were added which is served, over
/// that of all others.
const LEAST_SERVED: f64 = 0.25;

/// The pause between two requests on routes that were added.
const ROUTE_PAUSE: Duration = Duration::from_millis(20);

/// What an invalid configuration would let in.
const INVALID_KEY: &str = "key-invalid";

/// How long an invalid configuration stands before the next one.
const INVALID_TIME: Duration = Duration::from_millis(300);

/// A request on a route that was added.
struct RouteOutcome {
    process: Process,
    /// When the route was added.
    added: Instant,
    sent: Instant,
    status: Option<StatusCode>,
}

struct Siege {
    base: silence_siege::Siege,
    /// When each route was added.
    routes: RefCell<Vec<Instant>>,
    route_outcomes: Rc<RefCell<Vec<RouteOutcome>>>,
    /// Processes that took what an invalid configuration would let in.
    misled: Rc<RefCell<Vec<Process>>>,
}

impl Siege {
    async fn start(seed: u64) -> Siege {
        let shape = match seed % 2 {
            0 => Shape::WellLog,
            _ => Shape::TroubledLog,
        };
        let start = silence_siege::Siege::start_with;
        Siege {
            base: start(seed, shape, siege::start_suspendable).await,
            routes: RefCell::default(),
            route_outcomes: Rc::default(),
            misled: Rc::default(),
        }
    }

    fn draw_place(&self) -> usize {
        self.base.draw(self.base.processes.count())
    }

    async fn suspend_vms(&self) {
        while self.base.has_trouble() {
            sleep(self.base.draw_time(500, 2_500)).await;
            let time = self.base.draw_time(300, 3_500);
            self.base.processes.suspend(self.draw_place(), time).await;
        }
    }

    /// Entries are stopped one after the other, and others start in their
    /// places, at the same addresses or new ones.
    async fn roll_out(&self) {
        sleep(self.base.draw_time(1_000, 6_000)).await;
        let pause = self.base.draw_time(300, 2_000);
        for place in 0..self.base.processes.count() {
            let address = match self.base.draw(2) {
                0 => Address::Same,
                _ => {
                    let mut plant = self.base.plant.borrow_mut();
                    Address::Of(Box::new(plant.settings(&[])))
                }
            };
            let processes = &self.base.processes;
            processes.replace(place, Signal::TERM, address).await;
            sleep(pause).await;
        }
    }

    async fn publish_invalid(&self) {
        while self.base.has_trouble() {
            sleep(self.base.draw_time(1_000, 4_000)).await;
            let text = format!(
                "{{\"version\":9999999,\"tenants\":[{{\"name\":\"harju\",\
                 \"keys\":[\"{INVALID_KEY}\"]}}],\"routes\":["
            );
            let log = self.base.plant.borrow().log.clone();
            log.put(CONFIG_TOPIC, CONFIG_KEY, Some(text.as_bytes()));
            sleep(INVALID_TIME).await;
            self.base.publish();
        }
    }

    async fn add_routes(&self) {
        while self.base.has_trouble() {
            sleep(self.base.draw_time(700, 2_500)).await;
            let path = route_path(self.routes.borrow().len());
            {
                let mut plant = self.base.plant.borrow_mut();
                plant.catalog = plant.catalog.clone().with_route(
                    &path,
                    RouteKind::Idempotent,
                    "plain",
                    4_000,
                );
            }
            self.base.publish();
            self.routes.borrow_mut().push(Instant::now());
        }
    }

    /// Callers of the newest routes, and with the key of invalid
    /// configurations.
    async fn send_to_routes(&self) {
        let calls = LocalSet::new();
        let asking = async {
            while !self.base.is_over.get() {
                sleep(ROUTE_PAUSE).await;
                self.send_request();
            }
        };
        calls.run_until(asking).await;
    }

    fn send_request(&self) {
        let added = self.routes.borrow().last().copied();
        let newest = self.routes.borrow().len().saturating_sub(1);
        let path = route_path(newest);
        let draw = rand::random_range(0..10);
        let place = rand::random_range(0..self.base.processes.count());
        let is_invalid = added.is_none() || draw == 0;
        let key = if is_invalid { INVALID_KEY } else { LASTING_KEY };
        let path = if is_invalid { "/many/a".into() } else { path };
        let request = self.base.processes.with(place, |process, entry| {
            (process, entry.request(&path, key, ""))
        });
        let Some((process, request)) = request else { return };
        let (outcomes, misled) =
            (self.route_outcomes.clone(), self.misled.clone());
        let sent = Instant::now();
        tokio::task::spawn_local(async move {
            let answer = Client::new().call(request, 1 << 20, PATIENCE).await;
            let status = answer.ok().map(|it| it.status());
            match added.filter(|_| !is_invalid) {
                Some(added) => outcomes.borrow_mut().push(RouteOutcome {
                    process,
                    added,
                    sent,
                    status,
                }),
                None if status == Some(StatusCode::OK) => {
                    misled.borrow_mut().push(process);
                }
                None => {}
            }
        });
    }

    /// Whether an entry could know of a change of a moment at a time: its link
    /// to the log was up, or another entry ran all the while whose link was.
    fn could_know(
        &self,
        process: Process,
        changed: Instant,
        at: Instant,
    ) -> bool {
        let processes = &self.base.processes;
        let has_link = |process: Process| {
            let place = processes.life(process).place;
            !processes.was_cut(place, changed, at)
        };
        let could_tell = |other: Process| {
            other != process
                && has_link(other)
                && processes.ran(other, changed, at)
        };
        has_link(process) || processes.all().any(could_tell)
    }

    fn outdated(&self) -> Vec<String> {
        let outdated = self.base.outdated().into_iter();
        let could_know = |it: &OutdatedAnswer| {
            self.could_know(it.process, it.changed, it.sent)
        };
        outdated.filter(could_know).map(|it| it.text).collect()
    }

    /// Answers by an older configuration than one that the process used
    /// before. Each key is good in one configuration only.
    fn reverted(&self) -> Vec<String> {
        let outcomes = self.base.outcomes.borrow();
        let used = outcomes.iter().filter_map(|it| {
            let is_good = it.status == Some(StatusCode::OK);
            is_good.then_some(())?;
            Some((it.process, it.key?, it.sent, it.answered))
        });
        let mut by_process: HashMap<Process, Vec<_>> = HashMap::new();
        for (process, key, sent, answered) in used {
            let used = by_process.entry(process).or_default();
            used.push((key, sent, answered));
        }
        let mut reverted = Vec::new();
        for (process, used) in by_process {
            for (key, sent, _) in &used {
                let newer = used.iter().find(|(newer, _, answered)| {
                    newer > key && *answered + ROLLBACK_TIME < *sent
                });
                if let Some((newer, _, _)) = newer {
                    reverted.push(format!(
                        "process {process} took key {key} at {:?}, after key \
                         {newer}",
                        *sent - self.base.begun,
                    ));
                }
            }
        }
        reverted
    }

    /// The part of the requests on routes that were added which is served, by
    /// processes that had to know of them.
    fn served_on_routes(&self) -> (usize, usize) {
        let outcomes = self.route_outcomes.borrow();
        let owed = outcomes.iter().filter(|it| {
            self.base.must_know(it.process, it.added, it.sent)
                && self.could_know(it.process, it.added, it.sent)
                && self.base.processes.ran(
                    it.process,
                    it.sent,
                    it.sent + BOUND,
                )
        });
        let owed: Vec<&RouteOutcome> = owed.collect();
        let served =
            owed.iter().filter(|it| it.status == Some(StatusCode::OK));
        (served.count(), owed.len())
    }
}

fn route_path(number: usize) -> String {
    format!("/added{number}/")
}

async fn play(seed: u64) {
    let siege = Siege::start(seed).await;
    tokio::join!(
        siege.base.play(),
        siege.base.send(),
        siege.base.operate(),
        siege.base.renew(),
        siege.suspend_vms(),
        siege.roll_out(),
        siege.publish_invalid(),
        siege.add_routes(),
        siege.send_to_routes(),
    );
    let (outdated, reverted) = (siege.outdated(), siege.reverted());
    let (served, owed) = siege.served_on_routes();
    let misled = siege.misled.borrow();
    let unwanted = siege.base.unwanted();
    let unserved = siege.base.unserved();
    println!(
        "seed {seed}: {} routes, {} entries replaced; {} requests: outdated \
         {}, reverted {}, misled {}, {served} of {owed} served on routes, \
         unwanted {}, unserved {}",
        siege.routes.borrow().len(),
        siege.base.processes.replaced(),
        siege.base.outcomes.borrow().len(),
        outdated.len(),
        reverted.len(),
        misled.len(),
        unwanted.len(),
        unserved.len(),
    );
    assert!(outdated.is_empty(), "seed {seed}: {outdated:#?}");
    assert!(reverted.is_empty(), "seed {seed}: {reverted:#?}");
    assert!(misled.is_empty(), "seed {seed}: {misled:?}");
    let least = (owed as f64 * LEAST_SERVED) as usize;
    assert!(served >= least, "seed {seed}: {served} of {owed}");
    assert!(unwanted.is_empty(), "seed {seed}: {unwanted:#?}");
    assert!(unserved.is_empty(), "seed {seed}: {unserved:#?}");
}

/// Guards against configurations that are late, reverted, invalid or lack
/// routes while several disruptions overlap.
#[tokio::test]
async fn a_siege_of_several_disruptions_keeps_the_configuration() {
    for seed in siege::seeds() {
        play(seed).await;
    }
}
