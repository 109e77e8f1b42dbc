//! Requests with one prompt part that crashes every target which begins to
//! answer, by how many other parts there are, how rare the part is, how many
//! entries there are, and whether a crash stops a whole group.
//!
//! No two requests are alike. Each has one of a few first parts and one of many
//! subjects; a share of them also has the deadly part. A crash suspects what
//! its target had not begun to answer; everything else that was under way is
//! sent once more, in a group once it has formed again. Played is the decision
//! ([`CrashLedger`]) and its gossip; the model leaves out the log, restarts and
//! how a crash is told from a cut.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
};

use cowsliproad_admission::quarantine::{
    CrashId, CrashLedger, Fingerprint, QuarantineChange, QuarantineVerdict,
    WorkDigest,
};
use cowsliproad_kernel::{
    clock::Millis,
    gossip::{self, CrashSuspectRequests},
    plugin::inventory,
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IteratorRandom};
use serde_json::{Value, json};

use super::{Options, Outcome, Plugin};

inventory::submit! {
    Plugin {
        name: "prompt-parts",
        about: "Prompt parts that crash targets, by shares and sizes",
        start: run,
    }
}

/// How long is played, in milliseconds.
const PLAYED_MS: u64 = 30_000;

/// When requests with the deadly part begin to come.
const DEADLY_FROM_MS: u64 = 2_000;

/// From sending a request to the start of its answer.
const BEGIN_MS: std::ops::Range<u64> = 80..400;

/// From a crash to the target's, or its group's, return.
const DOWN_MS: u64 = 3_800;

/// From a crash to the agent's report of it, and a datagram's way.
const KNOWN_MS: u64 = 60;
const WAY_MS: u64 = 3;

/// How often entries broadcast, and to how many; as in the entry.
const TELL_MS: u64 = 500;
const MAX_TOLD: usize = 16;

/// Targets that one request may be sent to.
const ATTEMPTS: u32 = 2;

/// After this time, from the fifth crash on, nothing may reach targets; after
/// twice this time the others are served as before.
const BOUND_MS: u64 = 3_000;

/// First parts of prompts.
const FIRST_PARTS: u64 = 20;

/// A deployment and its requests.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Entries.
    pub entries: usize,
    /// Targets.
    pub targets: usize,
    /// Targets in each group; 1 if each works alone.
    pub group: usize,
    /// Requests a second.
    pub rate: f64,
    /// Subjects that requests have in common.
    pub subjects: u64,
    /// The share of requests with the deadly part.
    pub deadly: f64,
}

const SMALL: Size = Size {
    entries: 7,
    targets: 16,
    group: 16,
    rate: 84.0,
    subjects: 180,
    deadly: 0.02,
};
const LARGE: Size = Size { entries: 31, targets: 72, rate: 300.0, ..SMALL };

/// The sizes that are played; the first is the quick one.
pub const SIZES: [Size; 8] = [
    SMALL,
    Size { group: 1, ..SMALL },
    Size { subjects: 5_000, deadly: 0.005, ..SMALL },
    Size { deadly: 0.2, ..SMALL },
    Size { group: 72, ..LARGE },
    Size { group: 1, ..LARGE },
    Size { group: 1, subjects: 50_000, deadly: 0.2, ..LARGE },
    Size {
        entries: 720,
        targets: 10_000,
        group: 256,
        rate: 20_000.0,
        subjects: 50_000,
        deadly: 0.0005,
    },
];

/// What entries keep evidence of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// Requests as a whole.
    ByRequest,
    /// Requests and the parts of their prompts.
    ByPart,
}

/// What a policy came to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Score {
    /// Targets that crashed.
    pub crashes: u32,
    /// Deadly requests sent later than [`BOUND_MS`] after the fifth crash.
    pub late: u32,
    /// Sound requests, and those refused, from twice [`BOUND_MS`] after the
    /// fifth crash, or the last, on.
    pub sound: u32,
    /// Of these, the refused ones.
    pub refused: u32,
    /// From the third crash until all entries refuse the part, if they do.
    pub known_ms: Option<u64>,
    /// Bytes of gossip about it, by all entries.
    pub bytes: u64,
    /// The most cases that an entry kept.
    pub cases: usize,
}

#[derive(Clone, Debug)]
struct Request {
    fingerprint: Fingerprint,
    deadly: bool,
    entry: usize,
    tries: u32,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// A target begins to answer a request.
    Begin(u64),
    /// A group is back.
    Back(usize),
    /// An entry learns that a target crashed under a request.
    Learn(u64),
    /// A digest arrives at an entry.
    Digest(usize, u64),
}

struct Fleet {
    size: Size,
    policy: Policy,
    random: StdRng,
    now: u64,
    ledgers: Vec<CrashLedger>,
    /// Whether each group is up, and what waits for it.
    groups: Vec<(bool, Vec<Request>)>,
    requests: BTreeMap<u64, (usize, Request)>,
    crashed: BTreeMap<u64, (Request, CrashId)>,
    digests: BTreeMap<u64, Arc<CrashSuspectRequests>>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    next: u64,
    crash_times: Vec<u64>,
    part: Fingerprint,
    score: Score,
}

/// Plays a policy.
pub fn play(size: Size, policy: Policy, seed: u64) -> Score {
    let groups = size.targets.div_ceil(size.group);
    let part = Fingerprint::new(WorkDigest::new(&[b"any"]));
    let mut fleet = Fleet {
        size,
        policy,
        random: StdRng::seed_from_u64(seed),
        now: 0,
        ledgers: (0..size.entries).map(|_| CrashLedger::new()).collect(),
        groups: vec![(true, Vec::new()); groups],
        requests: BTreeMap::new(),
        crashed: BTreeMap::new(),
        digests: BTreeMap::new(),
        events: BinaryHeap::new(),
        next: 0,
        crash_times: Vec::new(),
        part: part.with_prompt_parts(&["dead"]),
        score: Score::default(),
    };
    while fleet.now < PLAYED_MS {
        fleet.step();
        fleet.now += 1;
    }
    fleet.score
}

impl Fleet {
    fn step(&mut self) {
        while let Some(Reverse((at, event))) = self.events.peek().copied()
            && at <= self.now
        {
            self.events.pop();
            self.handle(event);
        }
        let expected = self.size.rate / 1_000.0;
        let mut arrivals = expected as usize;
        arrivals += usize::from(self.random.random_bool(expected.fract()));
        (0..arrivals).for_each(|_| self.arrive());
        for entry in 0..self.size.entries {
            let phase = entry as u64 * TELL_MS / self.size.entries as u64;
            if self.now % TELL_MS == phase {
                self.tell(entry);
            }
        }
        if self.now.is_multiple_of(20) {
            self.watch();
        }
    }

    fn arrive(&mut self) {
        let deadly = self.now >= DEADLY_FROM_MS
            && self.random.random_bool(self.size.deadly);
        let first = self.random.random_range(0..FIRST_PARTS);
        // Some subjects are much more common than others.
        let skew: f64 = self.random.random_range(0.0..1.0);
        let subject = (self.size.subjects as f64 * skew * skew) as u64;
        let (first, subject) = (format!("a{first}"), format!("b{subject}"));
        let parts: Vec<&str> = match deadly {
            true => vec![&first, "dead", &subject],
            false => vec![&first, &subject],
        };
        self.next += 1;
        let work = WorkDigest::new(&[&self.next.to_be_bytes()]);
        let fingerprint = Fingerprint::new(work).with_prompt_parts(&parts);
        let entry = self.random.random_range(0..self.size.entries);
        self.ledgers[entry].count_request();
        self.send(Request { fingerprint, deadly, entry, tries: 0 });
    }

    fn send(&mut self, request: Request) {
        let sound = !request.deadly && request.tries == 0 && self.is_settled();
        self.score.sound += u32::from(sound);
        if self.refuses(&request) {
            self.score.refused += u32::from(sound);
            return;
        }
        let group = self.random.random_range(0..self.groups.len());
        if !self.groups[group].0 {
            self.groups[group].1.push(request);
            return;
        }
        let late = |it: &u64| self.now > it + BOUND_MS;
        let is_late = self.crash_times.get(4).is_some_and(late);
        self.score.late += u32::from(request.deadly && is_late);
        let first = group * self.size.group;
        let last = (first + self.size.group).min(self.size.targets);
        let target = self.random.random_range(first..last);
        let begin = self.now + self.random.random_range(BEGIN_MS);
        self.next += 1;
        let tries = request.tries + 1;
        let request = Request { tries, ..request };
        self.requests.insert(self.next, (target, request));
        self.at(begin, Event::Begin(self.next));
    }

    /// Whether the crashes are over long enough for all others to be served.
    fn is_settled(&self) -> bool {
        let fifth = self.crash_times.get(4).or(self.crash_times.last());
        fifth.is_some_and(|it| self.now > it + 2 * BOUND_MS)
    }

    fn refuses(&mut self, request: &Request) -> bool {
        let now = Millis(self.now);
        let stagger = 250.0 * self.size.entries as f64;
        let stagger =
            stagger * request.entry as f64 / self.size.entries as f64;
        let stagger = Millis(stagger as u64);
        let ledger = &mut self.ledgers[request.entry];
        let verdict = match self.policy {
            Policy::ByRequest => {
                ledger.verdict(request.fingerprint.request, now)
            }
            Policy::ByPart => {
                ledger.admit_request(&request.fingerprint, stagger, now).0
            }
        };
        verdict != QuarantineVerdict::Allowed
    }

    fn handle(&mut self, event: Event) {
        let now = Millis(self.now);
        match event {
            Event::Begin(number) => {
                let Some((target, request)) = self.requests.remove(&number)
                else {
                    return;
                };
                if request.deadly {
                    self.requests.insert(number, (target, request));
                    self.crash(target);
                } else if self.policy == Policy::ByPart {
                    let parts = request.fingerprint.prompt_parts;
                    let mut changed = false;
                    for part in &*parts {
                        let ledger = &mut self.ledgers[request.entry];
                        changed |= ledger.record_survived_request(*part, now)
                            != QuarantineChange::None;
                    }
                    if changed {
                        self.tell(request.entry);
                    }
                }
            }
            Event::Back(group) => {
                self.groups[group].0 = true;
                let waiting = std::mem::take(&mut self.groups[group].1);
                waiting.into_iter().for_each(|it| self.send(it));
            }
            Event::Learn(number) => {
                let Some((request, crash)) = self.crashed.remove(&number)
                else {
                    return;
                };
                let ledger = &mut self.ledgers[request.entry];
                let work = request.fingerprint.request;
                ledger.record_crash(work, crash, now);
                if self.policy == Policy::ByPart {
                    for part in &*request.fingerprint.prompt_parts {
                        ledger.record_crash(*part, crash, now);
                    }
                }
                self.tell(request.entry);
            }
            Event::Digest(entry, number) => {
                let digest = self.digests.get(&number).cloned();
                let told = digest.iter().flat_map(|it| it.unpack());
                for suspect in told {
                    self.ledgers[entry].merge_remote_suspect(&suspect, now);
                }
            }
        }
    }

    /// A target crashes. What it had not begun to answer is suspected.
    fn crash(&mut self, target: usize) {
        let group = target / self.size.group;
        self.groups[group].0 = false;
        self.at(self.now + DOWN_MS, Event::Back(group));
        self.score.crashes += 1;
        self.crash_times.push(self.now);
        let crash = CrashId::new(&target.to_string(), self.now);
        let in_group = self.requests.iter();
        let in_group = in_group.filter(|it| it.1.0 / self.size.group == group);
        let cut: Vec<u64> = in_group.map(|it| *it.0).collect();
        for number in cut {
            let Some((ran_at, request)) = self.requests.remove(&number) else {
                continue;
            };
            if ran_at == target {
                self.crashed.insert(number, (request.clone(), crash));
                self.at(self.now + KNOWN_MS, Event::Learn(number));
            }
            if request.tries < ATTEMPTS {
                self.send(request);
            }
        }
    }

    fn tell(&mut self, entry: usize) {
        let told = self.ledgers[entry].broadcast_suspects(Millis(self.now));
        if told.is_empty() {
            return;
        }
        let packed = CrashSuspectRequests::pack(told);
        let bytes = gossip::encode(&packed).len() as u64;
        self.next += 1;
        let number = self.next;
        self.digests.insert(number, Arc::new(packed));
        let others = (0..self.size.entries).filter(|it| *it != entry);
        for other in others.choose_multiple(&mut self.random, MAX_TOLD) {
            self.score.bytes += bytes;
            self.at(self.now + WAY_MS, Event::Digest(other, number));
        }
        let old = number.saturating_sub(1 << 20);
        self.digests = self.digests.split_off(&old);
    }

    fn watch(&mut self) {
        let cases = self.ledgers.iter().map(CrashLedger::case_count).max();
        self.score.cases = self.score.cases.max(cases.unwrap_or(0));
        let Some(third) = self.crash_times.get(2) else { return };
        let now = Millis(self.now);
        let knows = |it: &CrashLedger| {
            it.verdict_on_request(&self.part, now)
                != QuarantineVerdict::Allowed
        };
        if self.score.known_ms.is_none() && self.ledgers.iter().all(knows) {
            self.score.known_ms = Some(self.now - third);
        }
    }

    fn at(&mut self, time: u64, event: Event) {
        self.events.push(Reverse((time, event)));
    }
}

fn run(options: Options) -> Outcome {
    let mut figures = json!({});
    let mut table = String::new();
    for size in options.extent.sizes(&SIZES) {
        let name = format!(
            "{}x{} in {}s, {} subjects, {}% deadly",
            size.entries,
            size.targets,
            size.group,
            size.subjects,
            size.deadly * 100.0,
        );
        for policy in [Policy::ByRequest, Policy::ByPart] {
            let score = play(*size, policy, options.seed);
            let policy = format!("{policy:?}");
            table += &format!("{name}, {policy}: {}\n", row(score));
            figures[&name][policy] = row(score);
        }
    }
    Outcome::new(figures).with_table(table)
}

fn row(score: Score) -> Value {
    json!({
        "crashes": score.crashes,
        "late": score.late,
        "sound": score.sound,
        "refused": score.refused,
        "known_ms": score.known_ms,
        "bytes": score.bytes,
        "cases": score.cases,
    })
}
