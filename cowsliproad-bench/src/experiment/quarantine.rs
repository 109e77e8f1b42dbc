//! What becomes of work that ends every target that runs it, by what entries
//! know of one another.
//!
//! A caller sends such work once a second, through any entry and under a new
//! id each time. Each run ends its target and breaks whatever else runs there;
//! what was broken is sent to a second target at once. Targets are also killed
//! beside that, and a twentieth of the innocent work is one of a few common
//! pieces. For a while one of three zones is cut off from the others and from
//! the log, and all entries are restarted in turn, which makes them forget.
//!
//! Played is the decision itself ([`CrashLedger`]) and who is told; the model
//! leaves out groups in lock-step, queues, and how an end is told from a cut.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashSet},
};

use cowsliproad_admission::quarantine::{
    CrashId, CrashLedger, QuarantineChange, QuarantineVerdict, WorkDigest,
};
use cowsliproad_kernel::{
    clock::Millis,
    gossip::{self, CrashSuspectRequest, CrashSuspectRequests},
    plugin::inventory,
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IteratorRandom};
use serde_json::{Value, json};

use super::{Options, Outcome, Plugin, lognormal};

inventory::submit! {
    Plugin {
        name: "quarantine",
        about: "Requests that crash targets, by what entries tell one another",
        start: run,
    }
}

/// How long is played, and when the zone is cut off; in milliseconds.
const PLAYED_MS: u64 = 90_000;
const CUT_MS: std::ops::Range<u64> = 20_000..30_000;

/// Entries restart in turn from then on, one in so long.
const RESTARTS_MS: u64 = 45_000;
const RESTART_EVERY_MS: u64 = 500;

/// The time from a target's end to its return, as engines were seen to take.
const DOWN_MS: u64 = 3_400;

/// From the start of a deadly run to its target's end, as seen.
const DEADLY_MS: std::ops::Range<u64> = 42..110;

/// From an end to the agent's word of it.
const KNOWN_MS: u64 = 60;

/// A word's way, and how often entries speak; as in the entry.
const WAY_MS: u64 = 3;
const TELL_MS: u64 = 500;
const MAX_TOLD: usize = 16;

/// Ends from which on work is written to the log; as in the entry.
const WRITTEN_ENDS: usize = 2;

/// Targets that one request may be sent to.
const ATTEMPTS: u32 = 2;

/// The time by which all are to know, and the bound on what may reach targets
/// after it.
const BOUND_MS: u64 = 3_000;

/// The time of an event, and how many a request has; see `routing`.
const EVENT_MS: f64 = 55.0;
const EVENTS: (f64, f64, f64) = (22.5, 0.75, 70.0);

/// Common pieces of work, and the share of requests that are of one.
const COMMON: u64 = 20;
const COMMON_SHARE: f64 = 0.05;

/// Zones, of which the first is cut off.
const ZONES: usize = 3;

/// A deployment and its troubles.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Entries.
    pub entries: usize,
    /// Targets.
    pub targets: usize,
    /// Innocent requests a second.
    pub rate: f64,
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// Targets killed in a second.
    pub kills: f64,
}

/// The users' deployments, small and grown, and the larger one with a bad
/// network.
pub const SIZES: [Size; 3] = [
    Size { entries: 7, targets: 16, rate: 84.0, loss: 0.0, kills: 0.2 },
    Size { entries: 31, targets: 72, rate: 300.0, loss: 0.0, kills: 1.0 },
    Size { entries: 31, targets: 72, rate: 300.0, loss: 0.3, kills: 1.0 },
];

/// What entries know.
#[derive(Clone, Copy, Debug, Eq, PartialEq, PartialOrd)]
pub enum Policy {
    /// Nothing but the tries of one request.
    ByRequest,
    /// What each saw itself.
    Alone,
    /// What they tell one another.
    Told,
    /// That, and what the log keeps.
    Kept,
}

/// What a policy came to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Score {
    /// Targets that ended under the deadly work.
    pub ends: u32,
    /// How often it reached a target later than [`BOUND_MS`] after the third
    /// end, through entries that were not cut off or restarted just before.
    pub late: u32,
    /// Innocent requests that were refused.
    pub refused: u32,
    /// Innocent requests.
    pub innocents: u32,
    /// From the third end to the last entry's knowing, in milliseconds, over
    /// entries that were not cut off.
    pub known_ms: u64,
    /// Bytes told of it, by all entries.
    pub bytes: u64,
    /// The most pieces of work that an entry kept.
    pub kept: usize,
    /// Calls to the log.
    pub calls: u32,
}

/// A request at a target.
#[derive(Clone, Copy, Debug)]
struct Request {
    work: WorkDigest,
    entry: usize,
    tries: u32,
}

/// What happens next.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// A request is done.
    Done(u64),
    /// A target ends; by its start, so that it does so once.
    End(usize, u64),
    /// A target is back.
    Back(usize),
    /// An entry learns that a target ended under its request.
    Learnt(usize, WorkDigest, CrashId),
    /// Words arrive at an entry.
    Words(usize, u64),
}

struct Fleet {
    size: Size,
    policy: Policy,
    random: StdRng,
    now: u64,
    ledgers: Vec<CrashLedger>,
    /// The start of each target, if it is up.
    targets: Vec<Option<u64>>,
    starts: u64,
    requests: BTreeMap<u64, (usize, Request)>,
    next: u64,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    words: BTreeMap<u64, Vec<CrashSuspectRequest>>,
    log: BTreeMap<WorkDigest, CrashSuspectRequest>,
    own: HashSet<(usize, WorkDigest)>,
    /// When each entry's process started.
    born: Vec<u64>,
    third: Option<u64>,
    score: Score,
}

/// The deadly work.
const DEADLY: WorkDigest = WorkDigest(u64::MAX >> 1);

/// Plays a policy.
pub fn play(size: Size, policy: Policy, seed: u64) -> Score {
    let mut fleet = Fleet {
        size,
        policy,
        random: StdRng::seed_from_u64(seed),
        now: 0,
        ledgers: (0..size.entries).map(|_| CrashLedger::new()).collect(),
        targets: (0..size.targets as u64).map(Some).collect(),
        starts: size.targets as u64,
        requests: BTreeMap::new(),
        next: 0,
        events: BinaryHeap::new(),
        words: BTreeMap::new(),
        log: BTreeMap::new(),
        own: HashSet::new(),
        born: vec![0; size.entries],
        third: None,
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
            self.happen(event);
        }
        if self.random.random_bool(self.size.rate / 1_000.0) {
            let work = self.innocent();
            self.arrive(work);
        }
        if self.now.is_multiple_of(1_000) {
            self.arrive(DEADLY);
        }
        if self.random.random_bool(self.size.kills / 1_000.0) {
            let target = self.random.random_range(0..self.size.targets);
            if let Some(start) = self.targets[target] {
                self.end(target, start);
            }
        }
        self.restart();
        for entry in 0..self.size.entries {
            let phase = entry as u64 * TELL_MS / self.size.entries as u64;
            if self.now % TELL_MS == phase {
                self.tell(entry);
                self.watch(entry);
            }
        }
    }

    fn innocent(&mut self) -> WorkDigest {
        if self.random.random_bool(COMMON_SHARE) {
            return WorkDigest(self.random.random_range(0..COMMON));
        }
        WorkDigest(self.random.random_range(COMMON..u64::MAX >> 1))
    }

    fn arrive(&mut self, work: WorkDigest) {
        let entry = self.random.random_range(0..self.size.entries);
        if work != DEADLY {
            self.score.innocents += 1;
        }
        self.send(Request { work, entry, tries: 0 });
    }

    fn send(&mut self, request: Request) {
        let Request { work, entry, tries } = request;
        let now = Millis(self.now);
        if self.policy != Policy::ByRequest
            && self.ledgers[entry].verdict(work, now)
                != QuarantineVerdict::Allowed
        {
            self.ledgers[entry].record_arrival(work, now);
            self.score.refused += u32::from(work != DEADLY);
            return;
        }
        let up =
            (0..self.size.targets).filter(|it| self.targets[*it].is_some());
        let Some(target) = up.choose(&mut self.random) else { return };
        let deadly = work == DEADLY;
        if deadly && self.is_late() && self.is_in_touch(entry) {
            self.score.late += 1;
        }
        self.next += 1;
        let request = Request { work, entry, tries: tries + 1 };
        self.requests.insert(self.next, (target, request));
        if deadly {
            let start = self.targets[target].unwrap_or_default();
            let run = self.random.random_range(DEADLY_MS);
            self.at(self.now + run, Event::End(target, start));
        } else {
            let run = lognormal(EVENTS, &mut self.random) * EVENT_MS;
            self.at(self.now + run as u64, Event::Done(self.next));
        }
    }

    fn is_late(&self) -> bool {
        self.third.is_some_and(|it| self.now > it + BOUND_MS)
    }

    /// Whether an entry could know what the others do.
    fn is_in_touch(&self, entry: usize) -> bool {
        let cut = CUT_MS.start..CUT_MS.end + BOUND_MS;
        let apart = is_far(entry) && cut.contains(&self.now);
        let young =
            self.born[entry] > 0 && self.now < self.born[entry] + BOUND_MS;
        !apart && !young
    }

    fn reaches(&self, one: usize, other: usize) -> bool {
        let apart = is_far(one) != is_far(other);
        !(apart && CUT_MS.contains(&self.now))
    }

    fn reaches_log(&self, entry: usize) -> bool {
        !(is_far(entry) && CUT_MS.contains(&self.now))
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Done(request) => {
                let done = self.requests.remove(&request);
                if let Some((_, Request { work, entry, .. })) = done {
                    let now = Millis(self.now);
                    let change =
                        self.ledgers[entry].record_survived_request(work, now);
                    if change != QuarantineChange::None {
                        self.own.insert((entry, work));
                        self.write(entry, work);
                        self.tell(entry);
                    }
                }
            }
            Event::End(target, start) => {
                if self.targets[target] == Some(start) {
                    self.score.ends += 1;
                    if self.score.ends == 3 {
                        self.third = Some(self.now);
                    }
                    self.end(target, start);
                }
            }
            Event::Back(target) => {
                self.starts += 1;
                self.targets[target] = Some(self.starts);
            }
            Event::Learnt(entry, work, end) => self.learn(entry, work, end),
            Event::Words(entry, words) => {
                let told = self.words.remove(&words).unwrap_or_default();
                for suspect in told {
                    self.hear(entry, &suspect);
                }
            }
        }
    }

    fn end(&mut self, target: usize, start: u64) {
        self.targets[target] = None;
        self.at(self.now + DOWN_MS, Event::Back(target));
        let end = CrashId::new(&target.to_string(), start);
        let there = self.requests.iter().filter(|it| it.1.0 == target);
        let there: Vec<u64> = there.map(|it| *it.0).collect();
        for number in there {
            let Some((_, request)) = self.requests.remove(&number) else {
                continue;
            };
            let Request { work, entry, tries } = request;
            self.at(self.now + KNOWN_MS, Event::Learnt(entry, work, end));
            if tries < ATTEMPTS {
                self.send(request);
            }
        }
    }

    fn learn(&mut self, entry: usize, work: WorkDigest, end: CrashId) {
        let now = Millis(self.now);
        if self.ledgers[entry].record_crash(work, end, now)
            == QuarantineChange::None
        {
            return;
        }
        self.own.insert((entry, work));
        self.write(entry, work);
        if self.policy >= Policy::Told {
            self.tell(entry);
        }
    }

    fn hear(&mut self, entry: usize, suspect: &CrashSuspectRequest) {
        let now = Millis(self.now);
        let change = self.ledgers[entry].merge_remote_suspect(suspect, now);
        if change != QuarantineChange::None {
            self.write(entry, WorkDigest(suspect.request_hash));
        }
    }

    fn write(&mut self, entry: usize, work: WorkDigest) {
        let known = self.ledgers[entry].crash_count(work);
        if self.policy < Policy::Kept
            || known < WRITTEN_ENDS
            || !self.own.contains(&(entry, work))
            || !self.reaches_log(entry)
        {
            return;
        }
        let now = Millis(self.now);
        let Some(suspect) = self.ledgers[entry].export_suspect(work, now)
        else {
            return;
        };
        let kept = self.log.get(&work);
        let same = |it: &CrashSuspectRequest| {
            (&it.crash_ids, &it.excused_crash_ids, it.completed_without_crash)
                == (
                    &suspect.crash_ids,
                    &suspect.excused_crash_ids,
                    suspect.completed_without_crash,
                )
        };
        if kept.is_some_and(same) {
            return;
        }
        self.score.calls += 1;
        self.log.insert(work, suspect.clone());
        for reader in 0..self.size.entries {
            if self.reaches_log(reader) {
                self.say(reader, vec![suspect.clone()]);
            }
        }
    }

    fn tell(&mut self, entry: usize) {
        if self.policy < Policy::Told {
            return;
        }
        let told = self.ledgers[entry].broadcast_suspects(Millis(self.now));
        if told.is_empty() {
            return;
        }
        let bytes =
            gossip::encode(&CrashSuspectRequests::pack(told.clone())).len();
        let others = (0..self.size.entries).filter(|it| *it != entry);
        let others = others.choose_multiple(&mut self.random, MAX_TOLD);
        for other in others {
            self.score.bytes += bytes as u64;
            let lost = self.random.random_bool(self.size.loss);
            if !lost && self.reaches(entry, other) {
                self.say(other, told.clone());
            }
        }
    }

    fn say(&mut self, entry: usize, told: Vec<CrashSuspectRequest>) {
        self.next += 1;
        self.words.insert(self.next, told);
        self.at(self.now + WAY_MS, Event::Words(entry, self.next));
    }

    /// Entries restart in turn, and read the log if there is one.
    fn restart(&mut self) {
        let since = self.now.wrapping_sub(RESTARTS_MS);
        let entry = (since / RESTART_EVERY_MS) as usize;
        if since > PLAYED_MS
            || !since.is_multiple_of(RESTART_EVERY_MS)
            || entry >= self.size.entries
        {
            return;
        }
        self.ledgers[entry] = CrashLedger::new();
        self.born[entry] = self.now;
        self.own.retain(|it| it.0 != entry);
        if self.policy >= Policy::Kept {
            self.score.calls += 1;
            let kept: Vec<CrashSuspectRequest> =
                self.log.values().cloned().collect();
            self.say(entry, kept);
        }
    }

    fn watch(&mut self, entry: usize) {
        let now = Millis(self.now);
        let kept = self.ledgers[entry].case_count();
        self.score.kept = self.score.kept.max(kept);
        let Some(third) = self.third else { return };
        let knows = self.ledgers[entry].verdict(DEADLY, now)
            != QuarantineVerdict::Allowed;
        if !knows && self.born[entry] == 0 && self.is_in_touch(entry) {
            self.score.known_ms = self.now - third;
        }
    }

    fn at(&mut self, time: u64, event: Event) {
        self.events.push(Reverse((time, event)));
    }
}

/// Whether an entry is in the zone that is cut off.
fn is_far(entry: usize) -> bool {
    entry.is_multiple_of(ZONES)
}

fn run(options: Options) -> Outcome {
    let policies = [
        ("by_request", Policy::ByRequest),
        ("alone", Policy::Alone),
        ("told", Policy::Told),
        ("kept", Policy::Kept),
    ];
    let mut figures = json!({});
    let mut table = String::new();
    for size in options.extent.sizes(&SIZES) {
        let percent = (size.loss * 100.0) as u32;
        let name = format!("{}x{}-{percent}", size.entries, size.targets);
        for (policy_name, policy) in policies {
            let score = play(*size, policy, options.seed);
            figures[&name][policy_name] = row(score);
            table += &format!(
                "{name:<10}{policy_name:<12}ends {:>4}  late {:>4}  \
                 refused {:>3} of {:>6}  known after {:>6} ms  \
                 {:>6} KB  kept {:>4}  calls {:>3}\n",
                score.ends,
                score.late,
                score.refused,
                score.innocents,
                score.known_ms,
                score.bytes / 1_000,
                score.kept,
                score.calls,
            );
        }
    }
    Outcome::new(figures).with_table(table)
}

fn row(score: Score) -> Value {
    json!({
        "ends": score.ends,
        "late": score.late,
        "refused": score.refused,
        "innocents": score.innocents,
        "known_ms": score.known_ms,
        "bytes": score.bytes,
        "kept": score.kept,
        "calls": score.calls,
    })
}
