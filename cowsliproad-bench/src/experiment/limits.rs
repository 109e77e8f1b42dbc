//! What a target gets that names how many requests a second it takes from all
//! entries, by how these keep to it.
//!
//! Callers want twice as much of it as it takes, most of them in one zone.
//! Entries are killed and start again knowing nothing, stand still for two
//! seconds, and for a while one of three zones is cut off from the others but
//! not from the target, which is worse than what was seen: there the target is
//! in one of the parts. For a while the limit is half as high.
//!
//! Played are the decisions themselves ([`CurrentLimit`], [`limit::Limiter`],
//! [`owner`]); the model leaves out how long questions are on their way.

use std::collections::{BTreeMap, HashMap};

use cowsliproad_admission::limit::{
    self, CurrentLimit, LimitReport, PermitDecision, RequestRate,
};
use cowsliproad_kernel::{
    Name,
    clock::Millis,
    gossip::{self, Datagram, PermitReply, PermitRequest, RateLimit},
    plugin::inventory,
};
use cowsliproad_routing::{
    fleet::{ProcessStartUnixMs, Target, TargetState},
    owner::{
        self, EntryProcessLiveness, RateLimiterOwner,
        RateLimiterOwnerCandidate,
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IteratorRandom};
use serde_json::{Value, json};

use super::{Options, Outcome, Plugin};

inventory::submit! {
    Plugin {
        name: "limits",
        about: "A target that names a limit, by how entries keep to it",
        start: run,
    }
}

/// How long is played; when entries have met and the limit is named; when a
/// zone is cut off; when the limit is half as high; in milliseconds.
const PLAYED_MS: u64 = 120_000;
const NAMED_MS: u64 = 5_000;
const CUT_MS: std::ops::Range<u64> = 30_000..40_000;
const LOW_MS: std::ops::Range<u64> = 70_000..95_000;

/// The span that is counted in, and the time in which all have to know.
const SPAN_MS: u64 = 4_000;
const TOLD_MS: u64 = 1_000;

/// From a request to its answer.
const ANSWER_MS: u64 = 100;

/// How long a killed entry is gone, and how long one stands still.
const DOWN_MS: u64 = 1_000;
const FROZEN_MS: u64 = 2_000;

/// As in the entry: how often others are told, how many of them, how long
/// they are remembered, and what unanswered questions lead to.
const TELL_MS: u64 = 500;
const MAX_TOLD: usize = 16;
const NEWS_MS: u64 = 8_000;
const LIMITS_EVERY: u64 = 8;
const FORGET_MS: u64 = 12_000;
const MUTE_MS: u64 = 2_000;
const MAX_ASKED: usize = 2;
const RELAYS: u8 = 2;
const AGAIN_MS: u64 = 250;

/// Requests for each that the target takes, and the share of them that comes
/// to one zone.
const DEMAND: f64 = 2.0;
const SKEW: f64 = 0.7;

const ZONES: usize = 3;

/// A deployment and its troubles.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Entries.
    pub entries: usize,
    /// What the target takes a second.
    pub rate: f64,
    /// The time between two kills, and between two entries' standing still.
    pub kill_ms: u64,
}

/// Small and large fleets, calm and in trouble, with low and high limits.
pub const SIZES: [Size; 5] = [
    Size { entries: 7, rate: 1.2, kill_ms: 3_000 },
    Size { entries: 7, rate: 20.0, kill_ms: 3_000 },
    Size { entries: 31, rate: 5.0, kill_ms: 2_000 },
    Size { entries: 100, rate: 1.0, kill_ms: 1_000 },
    Size { entries: 100, rate: 50.0, kill_ms: 1_000 },
];

/// How entries keep to a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// Not at all.
    Unread,
    /// Each by itself.
    Alone,
    /// Each its share.
    Shares,
    /// One keeps the pace, and the others ask it.
    Kept,
}

/// What a policy came to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Score {
    /// The worst span, by what the target takes in it.
    pub worst: f64,
    /// What it got, by what it takes.
    pub used: f64,
    /// Questions for permits a second, answers not counted.
    pub asked: f64,
    /// Bytes a second of questions and answers, and of what digests tell.
    pub bytes: f64,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    down_until: u64,
    frozen_until: u64,
    /// When others were heard from, and until when each is passed over.
    known: BTreeMap<usize, (u64, u64)>,
    limit: CurrentLimit,
    pace: Option<limit::Limiter>,
    full_until: u64,
    told: Option<RequestRate>,
}

struct Fleet {
    size: Size,
    policy: Policy,
    random: StdRng,
    now: u64,
    target: Target,
    zones: Vec<Name>,
    entries: Vec<Entry>,
    /// Answers that are on their way, by when they come: who asked, when, and
    /// what they name.
    answers: BTreeMap<u64, Vec<(usize, u64, Option<RequestRate>)>>,
    arrived: Vec<u64>,
    asked: u64,
    bytes: u64,
    sizes: Sizes,
}

/// Plays a policy.
pub fn play(size: Size, policy: Policy, seed: u64) -> Score {
    let zones: Vec<Name> =
        (0..ZONES).map(|it| format!("zone-{it}").into()).collect();
    let target = Target {
        id: "i-1".into(),
        start: ProcessStartUnixMs(0),
        service: "model".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: zones[1].clone(),
        slots: 12,
        state: TargetState::Ready,
        announcement_sequence: 1,
    };
    let mut fleet = Fleet {
        size,
        policy,
        random: StdRng::seed_from_u64(seed),
        now: 0,
        target,
        zones,
        entries: vec![Entry::default(); size.entries],
        answers: BTreeMap::new(),
        arrived: Vec::new(),
        asked: 0,
        bytes: 0,
        sizes: Sizes::new(),
    };
    while fleet.now < PLAYED_MS {
        fleet.step();
        fleet.now += 1;
    }
    fleet.score()
}

impl Fleet {
    fn step(&mut self) {
        for (entry, sent, rate) in
            self.answers.remove(&self.now).unwrap_or_default()
        {
            self.answered(entry, sent, rate);
        }
        let wanted = self.size.rate * DEMAND / 1_000.0;
        if self.random.random_bool(wanted.min(1.0)) {
            let entry = self.caller();
            self.request(entry);
        }
        self.trouble();
        for entry in 0..self.entries.len() {
            let phase = entry as u64 * TELL_MS / self.size.entries as u64;
            if self.now % TELL_MS == phase {
                self.tell(entry);
            }
        }
    }

    fn rate(&self) -> Option<RequestRate> {
        let whole = self.size.rate;
        let low = LOW_MS.contains(&self.now);
        let rate = if low { whole / 2.0 } else { whole };
        (self.now >= NAMED_MS).then(|| RequestRate::new(rate)).flatten()
    }

    fn caller(&mut self) -> usize {
        let entries = self.entries.len();
        let entry = self.random.random_range(0..entries);
        let there = entry - entry % ZONES;
        if self.random.random_bool(SKEW) { there } else { entry }
    }

    fn is_up(&self, entry: usize) -> bool {
        let entry = &self.entries[entry];
        entry.down_until <= self.now && entry.frozen_until <= self.now
    }

    fn reaches(&self, one: usize, other: usize) -> bool {
        let apart = one.is_multiple_of(ZONES) != other.is_multiple_of(ZONES);
        self.is_up(other) && !(apart && CUT_MS.contains(&self.now))
    }

    fn trouble(&mut self) {
        let entries = self.entries.len();
        let due = |every: u64, phase: u64| self.now % every == phase;
        let (kills, freezes) = (
            due(self.size.kill_ms, 0) && self.now > NAMED_MS,
            due(self.size.kill_ms, self.size.kill_ms / 2),
        );
        if kills {
            let killed = self.random.random_range(0..entries);
            self.entries[killed] =
                Entry { down_until: self.now + DOWN_MS, ..Entry::default() };
        }
        if freezes {
            let frozen = self.random.random_range(0..entries);
            self.entries[frozen].frozen_until = self.now + FROZEN_MS;
        }
    }

    fn tell(&mut self, entry: usize) {
        if !self.is_up(entry) {
            return;
        }
        let now = self.now;
        let forgets = |heard: u64| now - heard >= FORGET_MS;
        self.entries[entry].known.retain(|_, it| !forgets(it.0));
        // Those that are known, and the seeds.
        let known = self.entries[entry].known.keys().copied();
        let others = known.chain((0..3).filter(|it| *it != entry));
        let told = others.choose_multiple(&mut self.random, MAX_TOLD);
        let word = self.entries[entry].limit.limit_report(Millis(now));
        let changed = self.entries[entry].limit.limit_changed_at();
        let is_news = Millis(now).since(changed) < Millis(NEWS_MS);
        let is_due = (now / TELL_MS).is_multiple_of(LIMITS_EVERY);
        let word = word.filter(|_| self.policy != Policy::Unread);
        let word = word.filter(|_| is_news || is_due);
        let told_now = word.is_some();
        for other in told {
            if told_now {
                self.bytes += self.sizes.told as u64;
            }
            if self.reaches(entry, other) {
                let heard = self.entries[other].known.insert(entry, (now, 0));
                if let Some(word) = word {
                    self.hear(other, word);
                }
                // One that is new is answered, and introduced to others.
                if heard.is_none() {
                    self.meet(other, entry);
                }
            }
        }
    }

    fn meet(&mut self, one: usize, other: usize) {
        let now = self.now;
        let met: Vec<usize> =
            self.entries[one].known.keys().copied().collect();
        for third in met.into_iter().chain([one]) {
            if third != other && self.reaches(other, third) {
                self.entries[third].known.entry(other).or_insert((now, 0));
                self.entries[other].known.entry(third).or_insert((now, 0));
            }
        }
        if let Some(word) = self.entries[one].limit.limit_report(Millis(now)) {
            self.hear(other, word);
        }
    }

    fn hear(&mut self, entry: usize, word: LimitReport) {
        let now = Millis(self.now);
        self.entries[entry].limit.merge_limit_report(word, now);
        self.news(entry);
    }

    /// What is new is told at once.
    fn news(&mut self, entry: usize) {
        let rate = self.entries[entry].limit.rate();
        if self.entries[entry].told != rate {
            self.entries[entry].told = rate;
            self.entries[entry].full_until = 0;
            self.tell(entry);
        }
    }

    fn answered(
        &mut self,
        entry: usize,
        sent: u64,
        rate: Option<RequestRate>,
    ) {
        if !self.is_up(entry) || self.policy == Policy::Unread {
            return;
        }
        let now = Millis(self.now);
        self.entries[entry].limit.observe_response_limit(
            rate,
            Millis(sent),
            now,
        );
        self.news(entry);
    }

    fn request(&mut self, entry: usize) {
        if !self.is_up(entry) {
            return;
        }
        let now = Millis(self.now);
        let members = self.entries[entry].known.len() + 1;
        let limited = self.entries[entry].limit.rate();
        let may = match (self.policy, limited) {
            (Policy::Unread, _) | (_, None) => true,
            (Policy::Alone, Some(rate)) => self.own(entry, rate, 1.0),
            (Policy::Shares, Some(rate)) => {
                self.own(entry, rate, 1.0 / members as f64)
            }
            (Policy::Kept, Some(_)) => {
                if self.entries[entry].full_until > self.now {
                    return;
                }
                match self.decide(entry, RELAYS) {
                    PermitDecision::Permit(_) => true,
                    PermitDecision::Later(after) => {
                        self.entries[entry].full_until = (now + after).0;
                        false
                    }
                }
            }
        };
        if may {
            self.arrived.push(self.now);
            let answer = (entry, self.now, self.rate());
            let at = self.now + ANSWER_MS;
            self.answers.entry(at).or_default().push(answer);
        }
    }

    fn own(&mut self, entry: usize, rate: RequestRate, share: f64) -> bool {
        let now = Millis(self.now);
        let new = limit::Limiter::new(rate, Millis(0), now);
        let pace = self.entries[entry].pace.get_or_insert(new);
        pace.grant_permit(rate, share, Millis(0), now)
            == PermitDecision::Permit(Millis(0))
    }

    fn decide(&mut self, entry: usize, relays: u8) -> PermitDecision {
        for asked in 0..MAX_ASKED {
            let other = match self.owner(entry) {
                RateLimiterOwner::Remote(_)
                    if asked > 0 && relays < RELAYS =>
                {
                    break;
                }
                RateLimiterOwner::Remote(other) if relays > 0 => other,
                owner => {
                    let substitute = owner == RateLimiterOwner::Substitute;
                    return self.give(entry, substitute);
                }
            };
            self.asked += 1;
            self.bytes += (self.sizes.question + self.sizes.reply) as u64;
            if self.reaches(entry, other) {
                let now = Millis(self.now);
                let word = self.entries[entry].limit.limit_report(now);
                if let Some(word) = word {
                    self.hear(other, word);
                }
                return self.decide(other, relays - 1);
            }
            let until = self.now + MUTE_MS;
            if let Some(known) = self.entries[entry].known.get_mut(&other) {
                known.1 = until;
            }
        }
        PermitDecision::Later(Millis(AGAIN_MS))
    }

    fn owner(&self, entry: usize) -> RateLimiterOwner<usize> {
        let member = |address: usize, liveness| RateLimiterOwnerCandidate {
            address,
            zone: &self.zones[address % ZONES],
            liveness,
        };
        let known = &self.entries[entry].known;
        let silence = owner::gossip_silence_timeout(known.len(), MAX_TOLD).0;
        let others = known.iter().map(|(other, (heard, mute))| {
            let silent = self.now - heard >= silence || *mute > self.now;
            let liveness = if silent {
                EntryProcessLiveness::Unresponsive
            } else {
                EntryProcessLiveness::Responsive
            };
            member(*other, liveness)
        });
        owner::choose_limiter_owner(
            &self.target,
            member(entry, EntryProcessLiveness::Responsive),
            others,
        )
    }

    fn give(&mut self, entry: usize, substitute: bool) -> PermitDecision {
        let now = Millis(self.now);
        let known = &self.entries[entry].known;
        let silence = owner::gossip_silence_timeout(known.len(), MAX_TOLD).0;
        let heard = known.values().filter(|it| self.now - it.0 < silence);
        let share = (heard.count() + 1) as f64 / (known.len() + 1) as f64;
        let entry = &mut self.entries[entry];
        let Some(LimitReport { rate: Some(rate), rate_limit_age }) =
            entry.limit.limit_report(now)
        else {
            return PermitDecision::Permit(Millis(0));
        };
        let new = limit::Limiter::new(rate, rate_limit_age, now);
        let pace = entry.pace.get_or_insert(new);
        if substitute && pace.is_stale(share, now) {
            *pace = new;
        }
        pace.grant_permit(rate, share, Millis(0), now)
    }

    fn score(&self) -> Score {
        let begun = NAMED_MS + TOLD_MS;
        let taken = |from: u64, until: u64| -> f64 {
            let takes = |at: u64| {
                let low = LOW_MS.contains(&at);
                if low { self.size.rate / 2.0 } else { self.size.rate }
            };
            (from..until).map(|at| takes(at) / 1_000.0).sum()
        };
        let counted = self.arrived.iter().filter(|it| **it >= begun);
        let counted: Vec<u64> = counted.copied().collect();
        let mut worst: f64 = 0.0;
        // A span that begins before the limit is halved and ends after it is
        // measured by both.
        let mut first = 0;
        let mut within: HashMap<u64, f64> = HashMap::new();
        for (last, at) in counted.iter().enumerate() {
            while counted[first] + SPAN_MS <= *at {
                first += 1;
            }
            let from = counted[first];
            let takes = *within
                .entry(from)
                .or_insert_with(|| taken(from, from + SPAN_MS));
            // One is always let through.
            let got = (last - first) as f64;
            worst = worst.max(got / takes.max(1.0));
        }
        let seconds = (PLAYED_MS - begun) as f64 / 1_000.0;
        Score {
            worst,
            used: counted.len() as f64 / taken(begun, PLAYED_MS),
            asked: self.asked as f64 / seconds,
            bytes: self.bytes as f64 / seconds,
        }
    }
}

/// Bytes of what entries tell one another, as it is encoded.
#[derive(Clone, Copy, Debug)]
struct Sizes {
    /// A question for a permit.
    question: usize,
    /// The answer to it.
    reply: usize,
    /// A limit in a digest.
    told: usize,
}

impl Sizes {
    fn new() -> Sizes {
        let limit = RateLimit {
            target: "i-abaeb6c096".into(),
            target_start_unix_ms: 0,
            requests_per_second: Some(1.2),
            rate_limit_age: Millis(1_234),
        };
        let number = u64::MAX;
        let none = Millis(0);
        let ask = PermitRequest {
            request_id: number,
            rate_limit: limit.clone(),
            max_permit_wait: none,
            forwards_left: RELAYS,
        };
        let reply = PermitReply {
            request_id: number,
            rate_limit: limit.clone(),
            permit_granted: true,
            wait_before_send_or_retry: none,
        };
        Sizes {
            question: gossip::encode(&Datagram::PermitRequest(ask)).len(),
            reply: gossip::encode(&Datagram::PermitReply(reply)).len(),
            told: gossip::encode(&limit).len(),
        }
    }
}

fn run(options: Options) -> Outcome {
    let policies = [
        ("unread", Policy::Unread),
        ("alone", Policy::Alone),
        ("shares", Policy::Shares),
        ("kept", Policy::Kept),
    ];
    let Sizes { question, reply, told } = Sizes::new();
    let mut figures = json!({
        "question_bytes": question,
        "reply_bytes": reply,
        "told_bytes": told,
    });
    let mut table = format!(
        "a question has {question} bytes, its answer {reply}, a limit told \
         {told}\n",
    );
    for size in options.extent.sizes(&SIZES) {
        let name = format!("{}x{}", size.entries, size.rate);
        for (policy_name, policy) in policies {
            let score = play(*size, policy, options.seed);
            figures[&name][policy_name] = row(score);
            table += &format!(
                "{name:<8} {policy_name:<8} worst {:>6.2}  used {:>5.2}  \
                 asked {:>7.1}/s  {:>8.0} B/s\n",
                score.worst, score.used, score.asked, score.bytes,
            );
        }
    }
    Outcome::new(figures).with_table(table)
}

fn row(score: Score) -> Value {
    json!({
        "worst": score.worst,
        "used": score.used,
        "asked": score.asked,
        "bytes": score.bytes,
    })
}
