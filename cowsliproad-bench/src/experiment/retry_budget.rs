//! What targets that refuse everything get beyond the first of each request,
//! over any window, by how entries keep the retry budget while they restart.
//!
//! Each request wants several retries. Entries are killed together or one after
//! the other, released in turn, cut off from the others by zones, join, leave
//! and are replaced at other addresses. A process that starts knows its seeds.
//!
//! Played are the decisions themselves ([`SharedBudget`]); messages take one
//! tick, some are lost, and none crosses a cut. Agents, which also keep
//! reports, are left out.

use std::{
    collections::{BTreeMap, VecDeque},
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use cowsliproad_admission::{
    shared_budget::{
        MAX_ENTRY_KEEPERS, Owner, SharedBudget, Start, choose_keepers,
    },
    window::{RetryWindowConfig, Spending},
};
use cowsliproad_kernel::{
    Name,
    clock::Millis,
    gossip::{self, Datagram, RetryHistory, RetryReport},
    plugin::inventory,
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IteratorRandom};
use serde_json::{Value, json};

use super::{Options, Outcome, Plugin};

inventory::submit! {
    Plugin {
        name: "retry-budget",
        about: "Retries at targets while entries restart, by what is kept",
        start: run,
    }
}

/// The budget.
const RETRIES_PER_REQUEST: f64 = 0.2;
const EXTRA_RETRIES_PER_ENTRY: f64 = 12.0;
const WINDOW: Millis = Millis(10_000);

/// How long is played, when targets begin to refuse, and when disruptions come.
const PLAYED_MS: u64 = 60_000;
const REFUSED_MS: u64 = 15_000;
const DISRUPTED_MS: std::ops::Range<u64> = 18_000..45_000;

const TICK_MS: u64 = 10;
const REQUESTS_PER_SECOND: f64 = 12.0;
const RETRIES_WANTED: usize = 3;
const MESSAGE_LOSS: f64 = 0.01;

/// How long a killed entry is gone, and how long a stopped one serves on.
const DOWN_MS: u64 = 500;
const STOPPING_MS: u64 = 3_000;

/// As in the entry: digests, their recipients and what they list.
const DIGEST_MS: u64 = 500;
const MAX_DIGEST_RECIPIENTS: usize = 16;
const MAX_LISTED: usize = 32;
const DIGEST_SILENCE_MS: u64 = 2_100;
const LISTED_MS: u64 = 12_000;

const ZONES: usize = 3;
const SEEDS: usize = 3;

/// How a process that starts treats the budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// As if nothing had been spent before.
    Forget,
    /// It inherits what others keep.
    Inherit,
}

/// What happens to entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disruption {
    /// Nothing.
    None,
    /// All are killed, three times.
    KillAll,
    /// More than half are killed, three times.
    KillMost,
    /// Each is stopped and started again in turn.
    Release,
    /// Kills, releases, cuts of a zone, additions, removals and replacements
    /// that overlap, drawn from the seed.
    Siege,
}

/// All disruptions.
pub const DISRUPTIONS: [Disruption; 5] = [
    Disruption::None,
    Disruption::KillAll,
    Disruption::KillMost,
    Disruption::Release,
    Disruption::Siege,
];

/// Fleets to play.
pub const SIZES: [usize; 3] = [7, 31, 720];

/// What a play came to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Score {
    /// The worst window, by what the budget allows in it.
    pub worst: f64,
    /// The mean over windows in which targets refuse.
    pub used: f64,
    /// Bytes of reports and answers that an entry sends a second.
    pub bytes: f64,
    /// Processor time that an entry spends on the budget, in microseconds a
    /// second.
    pub processor_us: f64,
}

/// An entry's place: an address and who is there.
struct Place {
    zone: usize,
    process: Option<Process>,
    /// When the next process starts, if one does.
    starts_at: Option<u64>,
    /// When the process ends that was told to stop.
    stops_at: Option<u64>,
}

struct Process {
    budget: SharedBudget,
    started_at: u64,
    /// Other entries, and when each was last heard from.
    known: BTreeMap<usize, u64>,
    seeds: Vec<usize>,
}

enum Message {
    Digest { from: usize, incarnation: u64, listed: Vec<SocketAddr> },
    Report(RetryReport),
    History(RetryHistory),
}

struct Fleet {
    policy: Policy,
    config: RetryWindowConfig,
    service: Name,
    places: Vec<Place>,
    now: u64,
    /// The zone that is cut off, and until when.
    cut: Option<(usize, u64)>,
    messages: VecDeque<(usize, usize, Message)>,
    next_incarnation: u64,
    random: StdRng,
    requests: Vec<u64>,
    retries: Vec<u64>,
    bytes: u64,
    processor: Duration,
}

/// Plays a fleet of so many entries.
pub fn play(
    entries: usize,
    policy: Policy,
    disruption: Disruption,
    seed: u64,
) -> Score {
    let extra = EXTRA_RETRIES_PER_ENTRY * entries as f64;
    let mut fleet = Fleet {
        policy,
        config: RetryWindowConfig::new(RETRIES_PER_REQUEST, extra, WINDOW),
        service: "model".into(),
        places: Vec::new(),
        now: 0,
        cut: None,
        messages: VecDeque::new(),
        next_incarnation: 0,
        random: StdRng::seed_from_u64(seed),
        requests: Vec::new(),
        retries: Vec::new(),
        bytes: 0,
        processor: Duration::ZERO,
    };
    for place in 0..entries {
        let zone = place % ZONES;
        fleet.places.push(Place {
            zone,
            process: None,
            starts_at: None,
            stops_at: None,
        });
        fleet.start(place, Start::First);
    }
    let mut rate = REQUESTS_PER_SECOND * entries as f64;
    rate *= TICK_MS as f64 / 1_000.0;
    let mut owed = 0.0;
    while fleet.now < PLAYED_MS {
        fleet.now += TICK_MS;
        fleet.disrupt(disruption, entries);
        fleet.deliver();
        fleet.tick();
        owed += rate;
        while owed >= 1.0 {
            owed -= 1.0;
            fleet.request();
        }
    }
    fleet.score(entries, extra)
}

fn address(place: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x0a00_0001 + place as u32), 7_340))
}

fn place_at(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => (u32::from(ip) - 0x0a00_0001) as usize,
        std::net::IpAddr::V6(_) => unreachable!("places have IPv4 addresses"),
    }
}

impl Fleet {
    fn start(&mut self, place: usize, start: Start) {
        self.next_incarnation += 1;
        let start = match self.policy {
            Policy::Forget => Start::First,
            Policy::Inherit => start,
        };
        let owner = Owner {
            address: address(place),
            incarnation: self.next_incarnation,
            start,
        };
        let running = self.running();
        let others = running.into_iter().filter(|it| *it != place);
        let seeds: Vec<usize> = others.take(SEEDS).collect();
        let mut budget = SharedBudget::new(owner, self.config);
        budget.set_min_entry_count(seeds.len() + 1);
        let started_at = self.now;
        let known = BTreeMap::new();
        let process = Process { budget, started_at, known, seeds };
        self.places[place].process = Some(process);
        self.places[place].starts_at = None;
        self.places[place].stops_at = None;
    }

    fn running(&self) -> Vec<usize> {
        let places = self.places.iter().enumerate();
        let running = places.filter(|it| it.1.process.is_some());
        running.map(|it| it.0).collect()
    }

    fn kill(&mut self, place: usize, down_ms: u64) {
        if self.places[place].process.take().is_some() {
            self.places[place].starts_at = Some(self.now + down_ms);
        }
    }

    fn stop(&mut self, place: usize) {
        let at = self.now + STOPPING_MS;
        let place = &mut self.places[place];
        if place.process.is_some() {
            place.stops_at.get_or_insert(at);
        }
    }

    fn add(&mut self, zone: usize) {
        let process = None;
        let (starts_at, stops_at) = (Some(self.now), None);
        self.places.push(Place { zone, process, starts_at, stops_at });
    }

    fn disrupt(&mut self, disruption: Disruption, entries: usize) {
        if !DISRUPTED_MS.contains(&self.now) {
            return;
        }
        let since = self.now - DISRUPTED_MS.start;
        match disruption {
            Disruption::None => {}
            Disruption::KillAll | Disruption::KillMost => {
                if since > 6_000 || !since.is_multiple_of(3_000) {
                    return;
                }
                for place in 0..entries {
                    let spared = disruption == Disruption::KillMost
                        && self.random.random_bool(0.4);
                    if !spared {
                        self.kill(place, DOWN_MS);
                    }
                }
            }
            Disruption::Release => {
                let gap = 20_000 / entries as u64 / TICK_MS * TICK_MS;
                let gap = gap.max(TICK_MS);
                if since.is_multiple_of(gap)
                    && ((since / gap) as usize) < entries
                {
                    self.stop((since / gap) as usize);
                }
            }
            Disruption::Siege => {
                if since.is_multiple_of(400) {
                    for _ in 0..entries.div_ceil(20) {
                        self.disrupt_once();
                    }
                }
            }
        }
    }

    fn disrupt_once(&mut self) {
        let running = self.running();
        let Some(place) = running.iter().copied().choose(&mut self.random)
        else {
            return;
        };
        let zone = self.places[place].zone;
        match self.random.random_range(0..10) {
            0..3 => {
                let down_ms = [300, 500, 1_500, 4_000];
                let down_ms = down_ms[self.random.random_range(0..4)];
                self.kill(place, down_ms);
            }
            3..5 => self.stop(place),
            5 => {
                // Another VM takes over.
                self.kill(place, 0);
                self.places[place].starts_at = None;
                self.add(zone);
            }
            6 if self.cut.is_none() => {
                let time = self.random.random_range(2_000..15_000);
                self.cut = Some((zone, self.now + time));
            }
            7 => self.add(zone),
            8 if self.random.random_bool(0.2) => {
                for place in running {
                    if self.random.random_bool(0.6) {
                        self.kill(place, DOWN_MS);
                    }
                }
            }
            _ => {}
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let is_in = |place: usize, zone| self.places[place].zone == zone;
        self.cut.is_some_and(|(zone, _)| is_in(from, zone) != is_in(to, zone))
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if to < self.places.len()
            && !self.is_cut(from, to)
            && !self.random.random_bool(MESSAGE_LOSS)
        {
            self.messages.push_back((from, to, message));
        }
    }

    fn send_report(&mut self, place: usize, report: RetryReport) {
        let Some(process) = &self.places[place].process else { return };
        let known = process.known.keys().chain(&process.seeds);
        let mut known: Vec<SocketAddr> =
            known.map(|it| address(*it)).collect();
        known.sort();
        known.dedup();
        let now = Millis(self.now - process.started_at);
        let recipients = match process.budget.is_asking(now) {
            true => known,
            false => choose_keepers(address(place), known, MAX_ENTRY_KEEPERS),
        };
        let datagram = Datagram::RetryReport(report.clone());
        let bytes = gossip::encode(&datagram).len() * recipients.len();
        self.bytes += bytes as u64;
        for recipient in recipients {
            let report = Message::Report(report.clone());
            self.send(place, place_at(recipient), report);
        }
    }

    fn deliver(&mut self) {
        for _ in 0..self.messages.len() {
            let Some((from, to, message)) = self.messages.pop_front() else {
                return;
            };
            let now = self.now;
            let Some(process) = &mut self.places[to].process else { continue };
            let own_now = Millis(now - process.started_at);
            let begun = Instant::now();
            match message {
                Message::Digest { from, incarnation, listed } => {
                    process.known.insert(from, now);
                    let members = process.budget.members_mut();
                    members.record_heard(address(from), incarnation, own_now);
                    let since = own_now - Millis(LISTED_MS);
                    members.record_heard_of(&listed, since);
                    for other in listed {
                        let other = place_at(other);
                        if other != to {
                            process.known.entry(other).or_insert(now);
                        }
                    }
                }
                Message::Report(report) => {
                    let answer = process.budget.merge_report(report, own_now);
                    self.processor += begun.elapsed();
                    if let Some(answer) = answer {
                        let datagram = Datagram::RetryHistory(answer.clone());
                        self.bytes += gossip::encode(&datagram).len() as u64;
                        self.send(to, from, Message::History(answer));
                    }
                }
                Message::History(history) => {
                    process.budget.merge_history(&history, own_now);
                    self.processor += begun.elapsed();
                }
            }
        }
    }

    fn tick(&mut self) {
        if self.cut.is_some_and(|it| it.1 <= self.now) {
            self.cut = None;
        }
        for place in 0..self.places.len() {
            let due = |at: Option<u64>| at.is_some_and(|it| it <= self.now);
            if due(self.places[place].starts_at) {
                self.start(place, Start::Later);
                self.round(place);
            } else if due(self.places[place].stops_at) {
                self.finish(place);
            }
            let number = place as u64 * TICK_MS;
            if (self.now + number).is_multiple_of(DIGEST_MS) {
                self.round(place);
            }
        }
    }

    /// A process that was told to stop ends, and another one follows.
    fn finish(&mut self, place: usize) {
        if let Some(process) = &self.places[place].process {
            let now = Millis(self.now - process.started_at);
            let report = process.budget.stop_report(now);
            self.send_report(place, report);
        }
        self.places[place].stops_at = None;
        self.kill(place, DOWN_MS);
    }

    /// Digests and reports that are due.
    fn round(&mut self, place: usize) {
        let now = self.now;
        let Some(process) = &mut self.places[place].process else { return };
        process.known.retain(|_, heard| now - *heard < LISTED_MS);
        let own_now = Millis(now - process.started_at);
        let known = process.known.len().max(MAX_DIGEST_RECIPIENTS) as u64;
        let silence = DIGEST_SILENCE_MS * known / MAX_DIGEST_RECIPIENTS as u64;
        let begun = Instant::now();
        let report = process.budget.update(Millis(silence), own_now);
        self.processor += begun.elapsed();
        let listed = process.known.keys().map(|it| address(*it));
        let listed = listed.choose_multiple(&mut self.random, MAX_LISTED);
        let mut recipients = process
            .known
            .keys()
            .copied()
            .choose_multiple(&mut self.random, MAX_DIGEST_RECIPIENTS);
        let seeds = process.seeds.iter();
        recipients.extend(seeds.filter(|it| !process.known.contains_key(it)));
        // The stop report has to be the last message of a process.
        let incarnation = match report.as_ref() {
            Some(report) => report.sent_at.incarnation,
            None => process.budget.stop_report(own_now).sent_at.incarnation,
        };
        if let Some(report) = report {
            self.send_report(place, report);
        }
        for to in recipients {
            let listed = listed.clone();
            let digest = Message::Digest { from: place, incarnation, listed };
            self.send(place, to, digest);
        }
    }

    /// A request at an entry that takes callers, and the retries it gets.
    fn request(&mut self) {
        let running = self.running().into_iter();
        let taking = running.filter(|it| self.places[*it].stops_at.is_none());
        let Some(place) = taking.choose(&mut self.random) else { return };
        self.requests.push(self.now);
        let service = self.service.clone();
        let Some(process) = &mut self.places[place].process else { return };
        let now = Millis(self.now - process.started_at);
        process.budget.record_request(&service, now);
        if self.now < REFUSED_MS {
            return;
        }
        for _ in 0..RETRIES_WANTED {
            let Some(process) = &mut self.places[place].process else {
                return;
            };
            let begun = Instant::now();
            let decision = process.budget.try_spend_retry(&service, now);
            self.processor += begun.elapsed();
            if decision.spending == Spending::Denied {
                return;
            }
            self.retries.push(self.now);
            if let Some(report) = decision.report {
                self.send_report(place, report);
            }
        }
    }

    fn score(&self, entries: usize, extra: f64) -> Score {
        let count = |times: &[u64], end: u64| {
            let start = end.saturating_sub(WINDOW.0);
            times.partition_point(|it| *it <= end)
                - times.partition_point(|it| *it <= start)
        };
        let used = |end: u64| {
            let ends = [end, end - WINDOW.0 / 2, end - WINDOW.0];
            let requests = ends.map(|it| count(&self.requests, it));
            let requests = requests.into_iter().max().unwrap_or(0) as f64;
            let allowed = RETRIES_PER_REQUEST * requests + extra;
            count(&self.retries, end) as f64 / allowed
        };
        let ends = (WINDOW.0..=self.now).step_by(TICK_MS as usize);
        let worst = ends.map(used).fold(0.0, f64::max);
        let refused = REFUSED_MS + WINDOW.0..=self.now;
        let refused: Vec<f64> = refused.step_by(100).map(used).collect();
        let entry_seconds = (entries as u64 * self.now) as f64 / 1_000.0;
        Score {
            worst,
            used: refused.iter().sum::<f64>() / refused.len() as f64,
            bytes: self.bytes as f64 / entry_seconds,
            processor_us: self.processor.as_micros() as f64 / entry_seconds,
        }
    }
}

fn run(options: Options) -> Outcome {
    let mut figures = json!({});
    let mut table = String::new();
    for entries in options.extent.sizes(&SIZES) {
        for disruption in DISRUPTIONS {
            for policy in [Policy::Forget, Policy::Inherit] {
                let score = play(*entries, policy, disruption, options.seed);
                let name = format!("{entries}, {disruption:?}, {policy:?}");
                table += &format!("{name}: {}\n", row(score));
                figures[&name] = row(score);
            }
        }
    }
    Outcome::new(figures).with_table(table)
}

fn row(score: Score) -> Value {
    let rounded = |value: f64| (value * 1_000.0).round() / 1_000.0;
    json!({
        "worst": rounded(score.worst),
        "used": rounded(score.used),
        "bytes": score.bytes.round(),
        "processor_us": score.processor_us.round(),
    })
}
