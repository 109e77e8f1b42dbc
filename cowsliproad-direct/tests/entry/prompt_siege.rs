//! Requests with prompt parts that crash their targets come all the time, new
//! ones each time, while entries are stopped, killed and started again, the
//! platform's log misbehaves, and targets are killed, restarted and taken for
//! crashed; in series that overlap, drawn from a seed. By seed there are one to
//! three such parts, streams or calls, and a request that crashes its targets
//! by its body beside them.
//!
//! `FIRST_SEED=1 SEEDS=50 cargo test -p cowsliproad-direct --test entry prompt_siege -- --nocapture`
//! plays more of them and prints a line for each.

use std::{
    cell::{Cell, RefCell},
    sync::Arc,
    time::{Duration, Instant},
};

use cowsliproad_net::client::Client;
use cowsliproad_platform::header;
use cowsliproad_platform_standin::{
    log,
    target::{self, Target, TargetConfig},
};
use futures_util::future::join_all;
use http::HeaderValue;
use rand::{Rng, SeedableRng, rngs::StdRng};
use rustix::process::Signal;
use tokio::time::sleep;

use crate::{
    harness::{Entry, KEY, Plant, tell_lost},
    siege::{seeds, size, start},
};

/// Entries, where `ENTRIES` doesn't say how many.
const ENTRIES: usize = 4;
const TARGETS: usize = 8;

/// The parts that crash targets.
const DEADLY_PARTS: [&str; 3] = ["dead", "d00d", "feed"];

/// The body that crashes targets.
const DEADLY_BODY: &str = "deadly";

/// Parts that all requests have, and those of which sound ones have one.
const SHARED_PARTS: [&str; 2] = ["a0", "f9"];
const SUBJECTS: usize = 6;

/// How long there is trouble, and how long none before all have to know.
const TROUBLE: Duration = Duration::from_secs(8);
const CALM: Duration = Duration::from_secs(3);

/// How long it is checked after that.
const CHECKED: Duration = Duration::from_secs(4);

/// How long a target is gone.
const DOWN: Duration = Duration::from_millis(1_200);

/// The pause between two requests with one part that crashes targets.
const DEADLY_PAUSE: Duration = Duration::from_millis(120);

/// The share of sound requests that are served once all have to know.
const MIN_SERVED_PERCENT: usize = 90;

/// A target's place, and who is in it.
struct Place {
    target: RefCell<Arc<Target>>,
    starts: Cell<usize>,
}

struct Siege {
    plant: Plant,
    entries: Vec<RefCell<Option<Entry>>>,
    places: Vec<Place>,
    random: RefCell<StdRng>,
    route: &'static str,
    parts: &'static [&'static str],
    over: Cell<bool>,
    sent: Cell<usize>,
    /// Deadly requests that reached targets which ended since.
    reached_before: Cell<usize>,
    sound: Cell<usize>,
    served: Cell<usize>,
}

impl Siege {
    async fn start(seed: u64) -> Siege {
        let mut plant = Plant::start().await;
        let route = ["/stream/", "/many/", "/once/"][seed as usize % 3];
        let mut places = Vec::new();
        for number in 0..TARGETS {
            let target = plant.target_with(config(route, number, 0)).await;
            let (target, starts) = (RefCell::new(target), Cell::new(0));
            places.push(Place { target, starts });
        }
        let mut entries: Vec<Entry> = Vec::new();
        for _ in 0..size(ENTRIES) {
            let seeds: Vec<&Entry> = entries.iter().take(2).collect();
            let settings = plant.settings(&seeds);
            entries.push(start(settings));
        }
        for entry in &entries {
            entry.until_ready().await;
        }
        let entries = entries.into_iter().map(|it| RefCell::new(Some(it)));
        let parts = 1 + (seed as usize / 3) % DEADLY_PARTS.len();
        Siege {
            plant,
            entries: entries.collect(),
            places,
            random: RefCell::new(StdRng::seed_from_u64(seed)),
            route,
            parts: &DEADLY_PARTS[..parts],
            over: Cell::new(false),
            sent: Cell::new(0),
            reached_before: Cell::new(0),
            sound: Cell::new(0),
            served: Cell::new(0),
        }
    }

    fn draw(&self, below: usize) -> usize {
        self.random.borrow_mut().random_range(0..below)
    }

    /// Sends a request that no other is like to some entry. Returns the status
    /// of the answer, if the entry is there and answers.
    async fn ask(&self, parts: &[&str], body: Option<&str>) -> Option<u16> {
        let number = self.sent.get() + 1;
        self.sent.set(number);
        let mut request = {
            let entry = self.entries[self.draw(self.entries.len())].borrow();
            let own = format!("body {number}");
            let (path, body) = match body {
                Some(body) => (format!("{}same", self.route), body),
                None => (format!("{}{number}", self.route), &*own),
            };
            entry.as_ref()?.request(&path, KEY, body)
        };
        let prompt = parts.iter().map(|it| format!("{it}:40,"));
        let prompt = prompt.collect::<String>() + &format!("e{number:07x}:9");
        let prompt = HeaderValue::from_str(&prompt).expect("a header");
        request.headers_mut().insert(header::PROMPT_PARTS, prompt);
        let patience = Duration::from_secs(4);
        let answer = Client::new().call(request, 1 << 20, patience).await;
        Some(answer.ok()?.status().as_u16())
    }

    async fn send_deadly(&self, part: &str) {
        while !self.over.get() {
            let subject = format!("b{}", self.draw(SUBJECTS));
            let [first, last] = SHARED_PARTS;
            let parts = match self.draw(2) {
                0 => [first, part, &subject, last],
                _ => [first, &subject, part, last],
            };
            self.ask(&parts, None).await;
            sleep(DEADLY_PAUSE).await;
        }
    }

    async fn send_deadly_body(&self) {
        while !self.over.get() {
            self.ask(&SHARED_PARTS, Some(DEADLY_BODY)).await;
            sleep(DEADLY_PAUSE).await;
        }
    }

    async fn send_sound(&self) {
        while !self.over.get() {
            let subject = format!("b{}", self.draw(SUBJECTS));
            let [first, last] = SHARED_PARTS;
            let status = self.ask(&[first, &subject, last], None).await;
            self.sound.set(self.sound.get() + 1);
            if status == Some(200) {
                self.served.set(self.served.get() + 1);
            }
            sleep(Duration::from_millis(15)).await;
        }
    }

    /// Targets whose process ended start again under another name.
    async fn restart_targets(&self) {
        while !self.over.get() {
            sleep(Duration::from_millis(50)).await;
            for (number, place) in self.places.iter().enumerate() {
                let ended = place.target.borrow().clone();
                if !ended.process_has_ended() {
                    continue;
                }
                sleep(DOWN).await;
                ended.withdraw_announcement(&self.plant.log);
                let Some(address) = ended.listen_address() else { continue };
                let start = place.starts.get() + 1;
                place.starts.set(start);
                let config = config(self.route, number, start);
                let log = &self.plant.log;
                let started = target::start(address, config, log).await;
                *place.target.borrow_mut() = started.expect("a target");
                let before = self.reached_before.get();
                self.reached_before.set(before + deadly_runs(&ended));
            }
        }
    }

    /// How often requests with the parts or the body reached targets.
    fn reached(&self) -> usize {
        let running = self.places.iter();
        let running = running.map(|it| deadly_runs(&it.target.borrow()));
        self.reached_before.get() + running.sum::<usize>()
    }

    async fn make_trouble(&self) {
        let begun = Instant::now();
        while begun.elapsed() < TROUBLE {
            match self.draw(7) {
                0 => self.stop_entry().await,
                1 => self.kill_entry(),
                2 => self.places[self.draw(TARGETS)].target.borrow().kill(),
                3 => self.plant.log.set_fault(log::Fault::Refusing),
                4 => self.plant.log.set_fault(log::Fault::Silent),
                5 => self.report_false_crash().await,
                _ => self.plant.log.set_fault(log::Fault::None),
            }
            let pause = 200 + self.draw(500) as u64;
            sleep(Duration::from_millis(pause)).await;
        }
        self.plant.log.set_fault(log::Fault::None);
    }

    /// A target loses an answer, and entries are told that its process is
    /// gone, as when it is cut off for a moment.
    async fn report_false_crash(&self) {
        let place = &self.places[self.draw(TARGETS)];
        let target = place.target.borrow().clone();
        target.set_fault(target::Fault::LoseAnswer);
        sleep(Duration::from_millis(50)).await;
        let Some(address) = target.listen_address() else { return };
        for entry in &self.entries {
            let to = entry
                .borrow()
                .as_ref()
                .map(|it| it.settings.own_peer_address());
            let Some(to) = to else { continue };
            tell_lost(address, to).await;
        }
    }

    async fn stop_entry(&self) {
        let number = self.draw(self.entries.len());
        if let Some(entry) = &*self.entries[number].borrow() {
            entry.signal(Signal::STOP);
        }
        let pause = 200 + self.draw(800) as u64;
        sleep(Duration::from_millis(pause)).await;
        if let Some(entry) = &*self.entries[number].borrow() {
            entry.signal(Signal::CONT);
        }
    }

    fn kill_entry(&self) {
        let place = &self.entries[self.draw(self.entries.len())];
        let Some(killed) = place.take() else { return };
        let settings = killed.settings.clone();
        drop(killed);
        place.replace(Some(start(settings)));
    }

    /// Trouble, then calm, then the check. Returns how often deadly requests
    /// reached targets in the check.
    async fn play(&self) -> usize {
        self.make_trouble().await;
        sleep(CALM).await;
        let before = self.reached();
        self.sound.set(0);
        self.served.set(0);
        sleep(CHECKED).await;
        let late = self.reached() - before;
        self.over.set(true);
        late
    }
}

fn deadly_runs(target: &Target) -> usize {
    let runs = target.executed_requests();
    let deadly = runs.iter().filter(|it| {
        let parts = &it.shared_prompt_parts;
        it.body == DEADLY_BODY
            || parts.iter().any(|it| DEADLY_PARTS.contains(&&**it))
    });
    deadly.count()
}

fn config(route: &str, number: usize, start: usize) -> TargetConfig {
    let id = format!("i-{number}-{start}");
    let config = match route {
        "/stream/" => TargetConfig::new(&id, "model", "a")
            .with_events(4, Duration::from_millis(15)),
        _ => TargetConfig::new(&id, "plain", "a")
            .with_response_delay(Duration::from_millis(15)),
    };
    DEADLY_PARTS
        .iter()
        .fold(config.with_crashing_body(DEADLY_BODY), |config, part| {
            config.with_crashing_prompt_part(part)
        })
}

async fn siege(seed: u64) {
    let siege = Siege::start(seed).await;
    let deadly = siege.parts.iter().map(|it| siege.send_deadly(it));
    let deadly_body = async {
        if seed.is_multiple_of(2) {
            siege.send_deadly_body().await;
        }
    };
    let (late, _, (), (), (), ()) = tokio::join!(
        siege.play(),
        join_all(deadly),
        deadly_body,
        siege.send_sound(),
        siege.send_sound(),
        siege.restart_targets(),
    );
    let (sound, served) = (siege.sound.get(), siege.served.get());
    println!(
        "{} seed {seed}: {} parts, reached {}, late {late}, sound {sound}, \
         served {served}",
        siege.route,
        siege.parts.len(),
        siege.reached(),
    );
    assert_eq!(late, 0, "seed {seed}: deadly requests still reach targets");
    assert!(
        served * 100 >= sound * MIN_SERVED_PERCENT,
        "seed {seed}: {served} of {sound} sound requests are served"
    );
}

/// Guards against crash-inducing prompt parts that are known late, not
/// everywhere or not for long, and against refusing their company.
#[tokio::test]
async fn a_siege_of_prompt_parts_refuses_them_and_serves_their_company() {
    for seed in seeds() {
        siege(seed).await;
    }
}

/// Guards against a trial of each deadly part, late, because many of the few
/// requests have it.
#[tokio::test]
async fn a_siege_that_tried_parts_late_tries_none() {
    siege(3).await;
}

/// Guards against refusing a subject that ran beside three deadly parts.
#[tokio::test]
async fn a_siege_that_refused_the_company_of_three_parts_serves_it() {
    siege(6).await;
    siege(42).await;
}
