//! Entries and agents as they are deployed, in two availability zones, before
//! plain targets and a lock-step group, under faults in series that overlap,
//! drawn from a seed, and calm after them.
//!
//! Faults of the platform: outages of the log in which records lapse, targets
//! that leave, crash, slow down, fail, refuse, ask for pauses and name limits,
//! a group that breaks and forms again, entries that are killed, stopped,
//! frozen or suspended, cut off from the log or turned away by it as they
//! start, connections that go silent, agents that are killed or frozen, and
//! requests that crash their targets. Faults of real machines: busy processors,
//! an entry with few files whose callers leave connections open, and a target
//! whose accept queue is full.
//!
//! One promise is checked: soon after the last fault, every service, route,
//! availability zone and caller is served as often as before, and every entry
//! knows every target; and while faults
//! last, plain requests to undisturbed entries are served as RECOVER asks, since
//! some plain targets are never disturbed.
//!
//! `FIRST_SEED=1 SEEDS=50 cargo test -p cowsliproad-direct --test entry service_siege -- --nocapture`
//! plays more of them and prints a line for each. `ENTRY_PROGRAM` plays another
//! landing's program; with `LOGS=DIRECTORY` each entry's lines are kept there.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::TcpListener,
    process::{Child, Command},
    sync::Arc,
    time::{Duration, Instant},
};

use cowsliproad_kernel::Name;
use cowsliproad_net::client::Client;
use cowsliproad_platform::header;
use cowsliproad_platform_standin::{
    group::{self, Group},
    log,
    proxy::LinkState,
    target::{self, Fault, Target, TargetConfig},
};
use http::{HeaderValue, StatusCode};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rustix::process::Signal;
use tokio::{
    net::TcpStream,
    task::LocalSet,
    time::{interval, sleep},
};

use crate::{
    agents::Agent,
    harness::{Entry, KEY, Plant, metric, numbers, until},
    limits::PATIENCE,
    processes::{Address, Process, Processes},
    siege,
};

const ENTRIES: usize = 6;
const PLAIN_TARGETS: usize = 5;
/// Plain targets that no fault disturbs.
const SOUND_TARGETS: usize = 2;
const RANKS: usize = 4;
const EXPERTS: u64 = 16;
const EVENTS: u64 = 5;

/// Requests a second of each of the callers' tasks.
const RATE: usize = 40;
const OTHER_KEY: &str = "key-2";
const KEYS: [&str; 2] = [KEY, OTHER_KEY];
const PATHS: [&str; 3] = ["/once/a", "/many/a", "/stream/a"];
const POISON: &str = "poison";

/// The file limit of the entry that has few.
const FEW_FILES: u64 = 150;
const IDLE_CONNECTIONS: usize = 200;

const CALM: Duration = Duration::from_secs(2);
const TROUBLE: Duration = Duration::from_secs(14);

/// Twice the window in which the platform takes machines for stable: the bound
/// of LOST after crashes.
const BOUND: Duration = Duration::from_secs(6);
const CHECKED: Duration = Duration::from_secs(3);

/// The shortest outage of the log in which a record lapses: it lasts for three
/// heartbeats, and was renewed in the one before the outage.
const MIN_LAPSE_TIME: Duration = Duration::from_millis(2_600);

/// How long a target takes to write its record again.
const RENEWAL_TIME: u64 = 2_000;
/// How long a leaving target serves on, and how long a crashed one is gone.
const LEAVING_TIME: Duration = Duration::from_secs(5);
const DOWN: Duration = Duration::from_millis(1_500);
/// How long a group takes to form once all ranks are there.
const FORM_TIME: Duration = Duration::from_millis(200);

/// An entry counts as undisturbed once it has run for this long.
const SETTLED: Duration = Duration::from_secs(3);

/// What RECOVER asks for, in percent of what is served in calm.
const MIN_SERVED_PERCENT: usize = 75;
/// What counts as served as often as in calm: one request of a key may fail by
/// chance, as a target in the stand-in may close a kept connection.
const MAX_FAILED: usize = 1;

/// What is counted apart: the route, the caller's zone and the caller.
type Kind = (&'static str, Name, &'static str);

/// A request and whether it was served.
struct Sent {
    kind: Kind,
    process: Process,
    at: Instant,
    until: Instant,
    status: Option<StatusCode>,
    is_served: bool,
}

/// A target's name, and who has it.
struct Place {
    target: RefCell<Arc<Target>>,
    starts: Cell<u64>,
    /// Whether a fault has the place, so that no other one takes it.
    is_taken: Cell<bool>,
    /// Whether the target leaves or has ended, so that it renews no record.
    is_leaving: Cell<bool>,
}

struct Siege {
    plant: RefCell<Plant>,
    processes: Processes,
    agents: Vec<Agent>,
    group: Arc<Group>,
    plain: Vec<Place>,
    ranks: Vec<Place>,
    begun: Instant,
    sent: RefCell<Vec<Sent>>,
    callers: RefCell<StdRng>,
    troubles: RefCell<StdRng>,
    /// When all has to be served again.
    checked_from: Cell<Instant>,
    is_over: Cell<bool>,
}

/// Starts an entry in one of two availability zones. Some have few files.
fn start_entry(settings: cowsliproad_direct::settings::Settings) -> Entry {
    let number: u64 = settings
        .vm
        .rsplit('-')
        .next()
        .and_then(|it| it.parse().ok())
        .unwrap_or(0);
    let zone = if number.is_multiple_of(2) { "a" } else { "b" };
    let settings = cowsliproad_direct::settings::Settings {
        zone: zone.into(),
        ..settings
    };
    if number.is_multiple_of(5) {
        let output = siege::output(&settings);
        return Entry::start_with_open_files(settings, output, FEW_FILES);
    }
    siege::start_suspendable(settings)
}

impl Siege {
    async fn start(seed: u64) -> Siege {
        let mut plant = Plant::start().await;
        plant.catalog = plant
            .catalog
            .with_engines("model", (2, EXPERTS, 6, 2))
            .with_organisation("kose", &[OTHER_KEY]);
        let log = plant.log.clone();
        plant.catalog.publish(&log);
        let group = group::new(
            RANKS,
            (2, EXPERTS as usize),
            Duration::from_millis(20),
        );
        let (mut plain, mut ranks, mut agents) =
            (Vec::new(), Vec::new(), Vec::new());
        for number in 0..PLAIN_TARGETS {
            let target = plant.target_with(plain_config(number, 1)).await;
            plain.push(Place::new(target));
        }
        for rank in 0..RANKS {
            let config = rank_config(&group, rank, 1);
            let target = plant.target_with(config).await;
            let address = target.listen_address().expect("it listens");
            agents.push(Agent::start(address, plant.log_address));
            ranks.push(Place::new(target));
        }
        let count = siege::size(ENTRIES);
        let processes =
            Processes::start_with(&mut plant, count, start_entry).await;
        processes.until_met().await;
        let siege = Siege {
            plant: RefCell::new(plant),
            processes,
            agents,
            group,
            plain,
            ranks,
            begun: Instant::now(),
            sent: RefCell::default(),
            callers: RefCell::new(StdRng::seed_from_u64(seed)),
            troubles: RefCell::new(StdRng::seed_from_u64(seed + 1_000)),
            checked_from: Cell::new(Instant::now()),
            is_over: Cell::new(false),
        };
        siege.until_served().await;
        Siege { begun: Instant::now(), ..siege }
    }

    /// Waits until every entry serves every route.
    async fn until_served(&self) {
        for place in 0..self.processes.count() {
            for path in PATHS {
                until("the route is served", async || {
                    let request = self.processes.with(place, |_, entry| {
                        entry.request(path, KEY, "warm")
                    });
                    let Some(request) = request else { return false };
                    let client = Client::new();
                    let answer = client.call(request, 1 << 20, PATIENCE).await;
                    answer.is_ok_and(|it| it.status() == StatusCode::OK)
                })
                .await;
            }
        }
    }

    fn draw(&self, below: usize) -> usize {
        self.troubles.borrow_mut().random_range(0..below)
    }

    fn draw_time(&self, from: u64, to: u64) -> Duration {
        let mut random = self.troubles.borrow_mut();
        Duration::from_millis(random.random_range(from..to))
    }

    fn is_troubled(&self) -> bool {
        self.begun.elapsed() < CALM + TROUBLE
    }

    fn log(&self) -> Arc<log::Log> {
        self.plant.borrow().log.clone()
    }

    async fn send_all(&self) {
        tokio::join!(
            self.send(0),
            self.send(1),
            self.send(2),
            self.send(3),
            self.send_poison(),
        );
    }

    /// One of several tasks of callers. The tasks don't wait for one another,
    /// and a task doesn't wait for its answers.
    async fn send(&self, task: usize) {
        let mut due = interval(Duration::from_secs(1) / RATE as u32);
        let mut under_way = futures_util::stream::FuturesUnordered::new();
        let mut number = task;
        while !self.is_over.get() {
            tokio::select! {
                _ = due.tick() => {}
                Some(()) = futures_util::StreamExt::next(&mut under_way) => continue,
            }
            number += 4;
            under_way.push(self.send_one(number));
        }
        while futures_util::StreamExt::next(&mut under_way).await.is_some() {}
    }

    async fn send_one(&self, number: usize) {
        let draw = |below| self.callers.borrow_mut().random_range(0..below);
        let place = draw(self.processes.count());
        let (path, key) = (PATHS[draw(PATHS.len())], KEYS[draw(KEYS.len())]);
        let request = self.processes.with(place, |process, entry| {
            let body = format!("body {number}");
            let mut request = entry.request(path, key, &body);
            let parts = format!("5c1e07a2:40,{number:x}:600");
            let parts = HeaderValue::from_str(&parts).expect("a header");
            request.headers_mut().insert(header::PROMPT_PARTS, parts);
            (process, entry.settings.zone.clone(), request)
        });
        let Some((process, zone, request)) = request else { return };
        // The balancer leaves out an entry that was told to stop.
        if self.processes.life(process).until.is_some() {
            return;
        }
        let at = Instant::now();
        let answer = Client::new().call(request, 1 << 20, PATIENCE).await;
        let (status, is_served) = match &answer {
            Ok(answer) => {
                let is_whole = path != "/stream/a"
                    || numbers(answer.body())
                        == (1..=EVENTS).collect::<Vec<_>>();
                let is_served = answer.status() == StatusCode::OK && is_whole;
                (Some(answer.status()), is_served)
            }
            Err(_) => (None, false),
        };
        let (kind, until) = ((path, zone, key), Instant::now());
        let sent = Sent { kind, process, at, until, status, is_served };
        self.sent.borrow_mut().push(sent);
    }

    /// Requests that crash their targets come while there is trouble.
    async fn send_poison(&self) {
        while self.is_troubled() {
            sleep(Duration::from_millis(700)).await;
            let place = self.draw(self.processes.count());
            if self.begun.elapsed() < CALM {
                continue;
            }
            let request = self
                .processes
                .with(place, |_, entry| entry.request("/many/a", KEY, POISON));
            let Some(request) = request else { continue };
            let _ = Client::new().call(request, 1 << 20, PATIENCE).await;
            self.restart_crashed().await;
        }
    }

    /// Starts targets again that requests have crashed.
    async fn restart_crashed(&self) {
        for number in SOUND_TARGETS..PLAIN_TARGETS {
            let place = &self.plain[number];
            if !place.is_taken.get()
                && place.target.borrow().process_has_ended()
            {
                place.is_taken.set(true);
                sleep(DOWN).await;
                self.restart_plain(number).await;
            }
        }
    }

    /// The log is away for everybody while records lapse, and targets write
    /// them again soon after its return.
    async fn trouble_log(&self) {
        while self.is_troubled() {
            sleep(self.draw_time(300, 2_500)).await;
            let fault = match self.draw(4) {
                0 => log::Fault::Silent,
                1 => log::Fault::Slow(Duration::from_millis(300)),
                2 => log::Fault::LosingAnswers,
                _ => log::Fault::Refusing,
            };
            let log = self.log();
            log.set_fault(fault);
            let time = self.draw_time(2_000, 4_500).max(MIN_LAPSE_TIME);
            sleep(time).await;
            let places: Vec<&Place> =
                self.plain.iter().chain(&self.ranks).collect();
            let mut lapsed = &places[self.draw(places.len())..];
            // A slow log still takes renewals.
            if matches!(fault, log::Fault::Slow(_)) {
                lapsed = &[];
            }
            for place in lapsed {
                place.target.borrow().withdraw_announcement(&log);
            }
            log.set_fault(log::Fault::None);
            sleep(self.draw_time(200, RENEWAL_TIME)).await;
            lapsed.iter().for_each(|it| it.renew_announcement(&log));
        }
    }

    /// Single entries are cut off from the log, or all of their connections to
    /// it go silent.
    async fn trouble_links(&self) {
        while self.is_troubled() {
            sleep(self.draw_time(100, 800)).await;
            let place = self.draw(self.processes.count());
            let link = match self.draw(6) {
                0 => LinkState::Cut,
                1 => LinkState::CutToServer,
                2 => LinkState::CutFromServer,
                3 => LinkState::Closed,
                4 => {
                    self.processes.silence(place, LinkState::Cut);
                    continue;
                }
                _ => LinkState::Slow(self.draw_time(20, 400)),
            };
            let time = self.draw_time(500, 5_500);
            self.processes.disturb(place, link, time).await;
        }
    }

    async fn trouble_entries(&self) {
        while self.is_troubled() {
            sleep(self.draw_time(800, 3_000)).await;
            let place = self.draw(self.processes.count());
            let time = self.draw_time(200, 3_000);
            match self.draw(6) {
                0 => self.kill(place).await,
                1 => self.processes.release(place).await,
                2 => self.processes.freeze(place, time).await,
                3 if self.may_be_suspended(place) => {
                    self.processes.suspend(place, time).await;
                }
                4 => self.restart_all_while_throttled().await,
                _ => self.kill(place).await,
            }
        }
    }

    async fn kill(&self, place: usize) {
        self.processes.replace(place, Signal::KILL, Address::Same).await;
    }

    fn may_be_suspended(&self, place: usize) -> bool {
        let can = self.processes.with(place, |_, it| it.can_be_suspended());
        can.unwrap_or(false)
    }

    /// All entries are killed, and the log turns them away as they start.
    async fn restart_all_while_throttled(&self) {
        let log = self.log();
        for place in 0..self.processes.count() {
            self.kill(place).await;
        }
        log.set_fault(log::Fault::Refusing);
        sleep(self.draw_time(500, 1_500)).await;
        log.set_fault(log::Fault::None);
    }

    async fn trouble_plain_targets(&self) {
        while self.is_troubled() {
            sleep(self.draw_time(200, 1_000)).await;
            let number =
                SOUND_TARGETS + self.draw(PLAIN_TARGETS - SOUND_TARGETS);
            let place = &self.plain[number];
            if place.is_taken.replace(true) {
                continue;
            }
            let target = place.target.borrow().clone();
            let log = self.log();
            match self.draw(9) {
                0 | 1 => {
                    place.is_leaving.set(true);
                    if self.draw(2) == 0 {
                        target.announce(&log, "draining");
                    } else {
                        target.withdraw_announcement(&log);
                    }
                    sleep(LEAVING_TIME).await;
                    target.withdraw_announcement(&log);
                    target.kill();
                    self.restart_plain(number).await;
                    continue;
                }
                2 => {
                    target.kill();
                    sleep(DOWN).await;
                    self.restart_plain(number).await;
                    continue;
                }
                3 => {
                    target.kill();
                    self.fill_accept_queue(&target).await;
                    self.restart_plain(number).await;
                    continue;
                }
                4 => target.set_fault(Fault::Slow(self.draw_time(300, 1_500))),
                5 => target.set_fault(Fault::Failing),
                6 => {
                    target.set_retry_after(Some("1.5"));
                    target.set_fault(Fault::Shedding);
                }
                7 => target.set_rate_limit(Some("2")),
                _ => target.set_fault(Fault::Silent),
            }
            sleep(self.draw_time(800, 3_000)).await;
            target.set_fault(Fault::None);
            target.set_retry_after(None);
            target.set_rate_limit(None);
            place.is_taken.set(false);
        }
    }

    /// The target's address has a listener that accepts nothing and whose queue
    /// is full: packets that open connections are dropped.
    async fn fill_accept_queue(&self, target: &Target) {
        let Some(address) = target.listen_address() else { return };
        let socket = socket2::Socket::new(
            socket2::Domain::IPV4,
            socket2::Type::STREAM,
            None,
        );
        let socket = socket.expect("a socket");
        socket.set_reuse_address(true).expect("an option");
        until("the address is free", async || {
            socket.bind(&address.into()).is_ok()
        })
        .await;
        socket.listen(0).expect("it listens");
        let _listener: TcpListener = socket.into();
        let opening = [
            tokio::time::timeout(DOWN, TcpStream::connect(address)),
            tokio::time::timeout(DOWN, TcpStream::connect(address)),
        ];
        let _held = futures_util::future::join_all(opening).await;
        sleep(DOWN).await;
    }

    async fn restart_plain(&self, number: usize) {
        let place = &self.plain[number];
        place.starts.set(place.starts.get() + 1);
        let config = plain_config(number, place.starts.get());
        self.restart(place, config).await;
    }

    /// Starts a target in a place, at another address.
    async fn restart(&self, place: &Place, config: TargetConfig) {
        let (address, log) = self.plant.borrow_mut().target_site();
        let target = target::start(address, config, &log).await;
        place.target.replace(target.expect("a target"));
        place.is_taken.set(false);
        place.is_leaving.set(false);
    }

    /// The group breaks, with or without the crash of a rank, and forms again
    /// in a new epoch.
    async fn trouble_group(&self) {
        while self.is_troubled() {
            sleep(self.draw_time(2_500, 5_000)).await;
            if !self.is_troubled() {
                break;
            }
            let number = self.draw(RANKS);
            let place = &self.ranks[number];
            let crashes = self.draw(2) == 0;
            if crashes {
                place.is_taken.set(true);
                place.target.borrow().kill();
            }
            self.group.break_formation();
            self.set_rank_faults(Fault::GroupBroken);
            sleep(DOWN).await;
            if crashes {
                place.starts.set(place.starts.get() + 1);
                let config =
                    rank_config(&self.group, number, place.starts.get());
                let address = place.target.borrow().listen_address();
                let address = address.expect("it listened");
                let log = self.log();
                let target = target::start(address, config, &log).await;
                place.target.replace(target.expect("a target"));
                place.is_taken.set(false);
            }
            sleep(FORM_TIME).await;
            self.set_rank_faults(Fault::None);
            self.group.start_new_epoch();
        }
    }

    fn set_rank_faults(&self, fault: Fault) {
        for place in &self.ranks {
            place.target.borrow().set_fault(fault);
        }
    }

    async fn trouble_agents(&self) {
        while self.is_troubled() {
            sleep(self.draw_time(500, 3_000)).await;
            let time = self.draw_time(200, 2_500);
            let agent = &self.agents[self.draw(RANKS)];
            match self.draw(3) {
                0 => agent.restart_after(time).await,
                1 => agent.freeze(time).await,
                _ => {
                    let all = self.agents.iter().map(|it| it.freeze(time));
                    futures_util::future::join_all(all).await;
                }
            }
        }
    }

    /// Callers leave connections open at an entry, more than files are left to
    /// one that has few.
    async fn trouble_files(&self) {
        while self.is_troubled() {
            sleep(self.draw_time(1_000, 3_000)).await;
            let place = self.draw(self.processes.count());
            let address = self
                .processes
                .with(place, |_, it| it.settings.caller_listen_address);
            let Some(address) = address else { continue };
            let opening =
                (0..IDLE_CONNECTIONS).map(|_| TcpStream::connect(address));
            let opening = futures_util::future::join_all(opening);
            let _held = tokio::time::timeout(DOWN, opening).await;
            sleep(self.draw_time(500, 2_500)).await;
        }
    }

    /// Other programs use the processors.
    async fn trouble_processors(&self) {
        while self.is_troubled() {
            sleep(self.draw_time(2_000, 5_000)).await;
            let busy: Vec<Busy> = (0..4).map(|_| Busy::start()).collect();
            sleep(self.draw_time(500, 2_000)).await;
            drop(busy);
        }
    }

    async fn play(&self) {
        sleep(CALM).await;
        tokio::join!(
            self.trouble_log(),
            self.trouble_links(),
            self.trouble_links(),
            self.trouble_entries(),
            self.trouble_plain_targets(),
            self.trouble_plain_targets(),
            self.trouble_group(),
            self.trouble_agents(),
            self.trouble_files(),
            self.trouble_processors(),
        );
        self.restart_crashed().await;
        sleep(BOUND).await;
        self.checked_from.set(Instant::now());
        sleep(CHECKED).await;
        self.is_over.set(true);
    }

    /// Served and sent requests of each kind in a time.
    fn count(
        &self,
        is_counted: impl Fn(&Sent) -> bool,
    ) -> BTreeMap<Kind, (usize, usize)> {
        let mut counts: BTreeMap<Kind, (usize, usize)> = BTreeMap::new();
        for sent in self.sent.borrow().iter().filter(|it| is_counted(it)) {
            let count = counts.entry(sent.kind.clone()).or_default();
            count.0 += usize::from(sent.is_served);
            count.1 += 1;
        }
        counts
    }

    /// Whether the entry ran for a while before the request and until its end.
    fn is_undisturbed(&self, sent: &Sent) -> bool {
        self.processes.ran(sent.process, sent.at - SETTLED, sent.until)
    }

    /// How many targets each entry knows, for the lines of a failure.
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
}

impl Place {
    fn new(target: Arc<Target>) -> Place {
        Place {
            target: RefCell::new(target),
            starts: Cell::new(1),
            is_taken: Cell::new(false),
            is_leaving: Cell::new(false),
        }
    }

    fn renew_announcement(&self, log: &Arc<log::Log>) {
        let target = self.target.borrow();
        if !self.is_leaving.get() && !target.process_has_ended() {
            target.announce(log, "ready");
        }
    }
}

/// A process that keeps one processor busy until dropped.
struct Busy(Child);

impl Busy {
    fn start() -> Busy {
        let mut command = Command::new("sh");
        command.arg("-c").arg("while :; do :; done");
        Busy(command.spawn().expect("a shell"))
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn plain_config(number: usize, start: u64) -> TargetConfig {
    let config = TargetConfig::new(&format!("p-{number}"), "plain", "a")
        .with_response_delay(Duration::from_millis(5))
        .with_start_time(start);
    match number {
        0..SOUND_TARGETS => config,
        _ => config.with_crashing_body(POISON),
    }
}

fn rank_config(group: &Arc<Group>, rank: usize, start: u64) -> TargetConfig {
    TargetConfig::new(&format!("m-{rank}"), "model", "a")
        .with_events(EVENTS, Duration::from_millis(15))
        .with_start_time(start)
        .with_rank(group, rank)
}

async fn play(seed: u64) {
    let siege = Siege::start(seed).await;
    let calls = LocalSet::new();
    calls
        .run_until(async { tokio::join!(siege.play(), siege.send_all()) })
        .await;
    let calm_end = siege.begun + CALM;
    let checked_from = siege.checked_from.get();
    let calm = siege.count(|it| it.until < calm_end);
    let after = siege.count(|it| it.at > checked_from);
    let under_trouble = siege.count(|it| {
        it.at > calm_end
            && it.at < calm_end + TROUBLE
            && it.kind.0 != "/stream/a"
            && siege.is_undisturbed(it)
    });
    let known = siege.known().await;
    let sum = |counts: &BTreeMap<Kind, (usize, usize)>| {
        counts.values().fold((0, 0), |all, it| (all.0 + it.0, all.1 + it.1))
    };
    let too_few_after: Vec<_> =
        after.iter().filter(|it| it.1.0 + MAX_FAILED < it.1.1).collect();
    let too_few_under_trouble: Vec<_> = under_trouble
        .iter()
        .filter(|it| it.1.0 * 100 < it.1.1 * MIN_SERVED_PERCENT)
        .collect();
    println!(
        "seed {seed}: {} entries replaced; served {:?} in calm, {:?} of plain \
         under trouble, {:?} after; targets known {known:?}",
        siege.processes.replaced(),
        sum(&calm),
        sum(&under_trouble),
        sum(&after),
    );
    let failed = siege.sent.borrow();
    let failed =
        failed.iter().filter(|it| it.at > checked_from && !it.is_served);
    let failed: Vec<_> =
        failed.map(|it| (&it.kind, it.process, it.status)).take(12).collect();
    assert_eq!(calm.len(), KEYS.len() * PATHS.len() * 2, "{calm:?}");
    assert!(
        known.iter().all(|it| *it == PLAIN_TARGETS + RANKS),
        "seed {seed}: targets known {known:?}; {too_few_after:#?}",
    );
    let is_complete = calm.keys().eq(after.keys());
    assert!(is_complete, "seed {seed}: not even sent: {after:?}");
    assert!(
        too_few_after.is_empty(),
        "seed {seed}: after the trouble {too_few_after:#?}; {failed:#?}",
    );
    assert!(
        too_few_under_trouble.is_empty(),
        "seed {seed}: under trouble {too_few_under_trouble:#?}",
    );
}

/// Guards against harm that outlasts its cause: some service, route, zone or
/// caller that is served less once all is well again.
#[tokio::test(flavor = "multi_thread")]
async fn a_siege_leaves_no_service_zone_or_caller_unserved() {
    for seed in siege::seeds() {
        play(seed).await;
    }
}
