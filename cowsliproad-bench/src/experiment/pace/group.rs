//! A lock-step group in virtual time, with its entries and its coordinator.
//!
//! A pass takes what [`Pass`] says for the mean of its streams and prompts,
//! times how unevenly the experts of that very pass are loaded. Prompts are
//! read in the pass after they came. The coordinator sees counts every 50 ms
//! and takes some time for a change beside its copies. The model leaves out
//! lost words and orders, faults, memory, and callers that come back.

use std::collections::VecDeque;

use cowsliproad_kernel::clock::Millis;
use cowsliproad_placement::{
    demand::{CumulativeCounts, DemandEstimator},
    live,
    map::{Map, Shape},
};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{
    super::lognormal,
    admission::{self, Pass, Strain, View},
    likes::{Likes, TOPICS},
};

/// A deployment: the figures of the users' departure boards.
#[derive(Clone, Copy, Debug)]
pub struct Plant {
    /// Sizes of the map.
    pub shape: Shape,
    /// Experts that a rank may take anew, in a set of one map.
    pub spare: usize,
    /// How long a rank copies an expert, in milliseconds.
    pub copy_ms: f64,
    /// Streams that a rank runs at once.
    pub slots: usize,
    /// What a pass takes.
    pub pass: Pass,
    /// The share of a pass that goes to experts.
    pub experts: f64,
    /// Prompt tokens read in a millisecond.
    pub read_per_ms: f64,
    /// Entries.
    pub entries: usize,
}

/// What happens.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Streams asked for in a second.
    pub rate: f64,
    /// The time between two shifts, in milliseconds; 0 for none.
    pub shift_ms: f64,
    /// The share of the likes that a shift deals anew.
    pub share: f64,
    /// A time in which the map can't be changed.
    pub stuck: (f64, f64),
}

/// What is decided, and how.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// How maps are planned; `None` for a map that is always even.
    pub maps: Option<Maps>,
    /// Whether entries keep passes short.
    pub admission: Admission,
}

/// How maps are planned.
#[derive(Clone, Copy, Debug)]
pub struct Maps {
    /// What a copy has to save.
    pub price: f64,
    /// New experts of a rank in one map.
    pub burst: usize,
    /// How often counts are summed, in milliseconds.
    pub count_ms: f64,
    /// Whether a plan that a shift has overtaken is dropped.
    pub drops: Drops,
}

/// What becomes of a plan that a shift has overtaken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Drops {
    /// It is waited for.
    Nothing,
    /// It is dropped for a new one.
    Overtaken,
}

/// Who is let run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// All that come.
    All,
    /// As many as keep passes within this, in milliseconds.
    Within(u32),
}

/// What a run came to.
#[derive(Clone, Debug)]
pub struct Score {
    /// The share of streams that were on time from the first event to the
    /// last.
    pub on_time: f64,
    /// The share that ran, but late.
    pub late: f64,
    /// Passes, in milliseconds.
    pub passes: Histogram<u64>,
    /// The mean skew of passes.
    pub skew: f64,
    /// Experts copied.
    pub copies: usize,
}

/// The first event, the pause between two, and what callers bear at most
/// without any, in milliseconds.
const AIM_MS: f64 = 500.0;
pub const GAP_MS: f64 = 120.0;
const PATIENCE_MS: f64 = 1_900.0;

/// How often agents report, in milliseconds.
const REPORT_MS: f64 = 400.0;

/// What a change of map takes beside its copies and the two passes up to its
/// boundary, in milliseconds.
const WORDS_MS: f64 = 90.0;

/// What copies add to passes.
const COPYING: f64 = 0.15;

/// Choices of a token in a set.
const PICKS: f64 = 40.0;

/// Events of a stream and tokens of a prompt: the median, the spread of the
/// logarithm, the most. The means are 24 and 835.
const EVENTS: (f64, f64, f64) = (19.0, 0.75, 61.0);
const PROMPT: (f64, f64, f64) = (560.0, 0.85, 2_600.0);

/// Tokens of an event.
const EVENT_TOKENS: f64 = 4.0;

/// How long is played, and what of it doesn't count, in milliseconds.
const PLAYED_MS: f64 = 60_000.0;
const WARM_MS: f64 = 4_000.0;

#[derive(Clone, Copy, Debug)]
struct Stream {
    entry: usize,
    came: f64,
    topic: usize,
    prompt: f64,
    events: u32,
    /// When its last event came; 0 for none.
    last: f64,
    late: bool,
}

/// A change of the map under way.
struct Change {
    map: Map,
    copied: f64,
    boundary: Option<u64>,
    planned: f64,
}

struct Run {
    plant: Plant,
    policy: Policy,
    random: StdRng,
    now: f64,
    step: u64,
    ranks: Vec<Vec<Stream>>,
    queues: Vec<VecDeque<Stream>>,
    /// What agents last reported: streams a rank, and when.
    reported: Vec<f64>,
    last_report: f64,
    own: Vec<f64>,
    own_then: Vec<f64>,
    waiting: Vec<VecDeque<Stream>>,
    likes: Likes,
    map: Map,
    change: Option<Change>,
    total: CumulativeCounts,
    demand: DemandEstimator,
    counted: f64,
    pass_ms: f64,
    strain: Strain,
    score: Tally,
}

struct Tally {
    asked: f64,
    on_time: f64,
    late: f64,
    passes: Histogram<u64>,
    skews: f64,
    copies: usize,
}

/// Plays a policy.
pub fn play(plant: Plant, load: Load, policy: Policy, seed: u64) -> Score {
    let mut run = Run::new(plant, policy, seed);
    let (mut arrival, mut shift) = (0.0, load.shift_ms);
    while run.now < PLAYED_MS {
        let end = run.now + run.pass();
        while arrival < end {
            run.arrive(arrival);
            let draw: f64 = run.random.random();
            arrival -= (1.0 - draw).ln() * 1_000.0 / load.rate;
        }
        run.finish(end);
        if load.shift_ms > 0.0 && end >= shift {
            shift += load.shift_ms;
            run.likes.shift(load.share, &mut run.random);
        }
        let stuck = (load.stuck.0..load.stuck.1).contains(&end);
        run.coordinate(stuck);
    }
    run.score()
}

impl Run {
    fn new(plant: Plant, policy: Policy, seed: u64) -> Run {
        let mut random = StdRng::seed_from_u64(seed);
        let Shape {
            rank_count: ranks,
            expert_count: experts,
            layer_count: layers,
            ..
        } = plant.shape;
        let likes = Likes::new(layers, experts, &mut random);
        let passes = Histogram::new(3).expect("three digits are allowed");
        Run {
            plant,
            policy,
            random,
            now: 0.0,
            step: 0,
            ranks: vec![Vec::new(); ranks],
            queues: vec![VecDeque::new(); ranks],
            reported: vec![0.0; ranks],
            last_report: 0.0,
            own: vec![0.0; plant.entries],
            own_then: vec![0.0; plant.entries],
            waiting: vec![VecDeque::new(); plant.entries],
            likes,
            map: Map::round_robin(plant.shape),
            change: None,
            total: vec![vec![0; experts]; layers],
            demand: DemandEstimator::new(),
            counted: 0.0,
            pass_ms: 0.0,
            strain: Strain::new(),
            score: Tally {
                asked: 0.0,
                on_time: 0.0,
                late: 0.0,
                passes,
                skews: 0.0,
                copies: 0,
            },
        }
    }

    /// Begins a pass and says how long it takes.
    fn pass(&mut self) -> f64 {
        self.step += 1;
        self.change_map();
        let mut tokens = [0.0; TOPICS];
        let mut reads = 0.0;
        for (rank, queue) in self.ranks.iter_mut().zip(&mut self.queues) {
            while rank.len() < self.plant.slots
                && let Some(stream) = queue.pop_front()
            {
                reads += stream.prompt;
                tokens[stream.topic] += stream.prompt;
                rank.push(stream);
            }
            for stream in rank {
                tokens[stream.topic] += EVENT_TOKENS;
            }
        }
        let loads = self.likes.choices(&tokens);
        for (total, new) in self.total.iter_mut().zip(&loads) {
            for (total, new) in total.iter_mut().zip(new) {
                *total += (new * PICKS) as u64;
            }
        }
        let skew = self.skew(&loads);
        let ranks = self.plant.shape.rank_count as f64;
        let streams = self.ranks.iter().map(Vec::len).sum::<usize>() as f64;
        let read = reads / self.plant.read_per_ms / ranks;
        let even = self.plant.pass.even_ms(streams / ranks) + read;
        let copying = self.change.as_ref();
        let copying = copying.is_some_and(|it| it.copied > self.now);
        let slower = if copying { 1.0 + COPYING } else { 1.0 };
        let share = self.plant.experts;
        self.pass_ms = even * (1.0 - share + share * skew) * slower;
        let factor = self.plant.pass.factor(streams / ranks, self.pass_ms);
        self.strain.note(factor, Millis(self.now as u64));
        if self.now > WARM_MS {
            self.score.passes.saturating_record(self.pass_ms as u64);
            self.score.skews += skew;
        }
        self.pass_ms
    }

    fn skew(&self, loads: &[Vec<f64>]) -> f64 {
        if self.policy.maps.is_none() {
            return 1.0;
        }
        let speeds = vec![1.0; self.plant.shape.rank_count];
        live::step_time_ratio_to_ideal(&self.map, loads, &speeds)
    }

    fn change_map(&mut self) {
        let due = |it: &Change| it.boundary.is_some_and(|at| at <= self.step);
        if self.change.as_ref().is_some_and(due)
            && let Some(change) = self.change.take()
        {
            self.map = change.map;
        }
    }

    fn arrive(&mut self, came: f64) {
        let entry = self.random.random_range(0..self.plant.entries);
        let prompt = lognormal(PROMPT, &mut self.random);
        let events = lognormal(EVENTS, &mut self.random).max(1.0) as u32;
        let topic = self.random.random_range(0..TOPICS);
        let (last, late) = (0.0, false);
        let stream = Stream { entry, came, topic, prompt, events, last, late };
        if came > WARM_MS {
            self.score.asked += 1.0;
        }
        self.waiting[entry].push_back(stream);
        self.admit(came);
    }

    /// Sends what may run: those that can be on time first.
    fn admit(&mut self, now: f64) {
        for entry in 0..self.plant.entries {
            let room = self.room(entry);
            let latest = AIM_MS - 2.0 * self.pass_ms;
            let spent = |it: &Stream| now - it.came > latest;
            let gone = |it: &Stream| now - it.came > PATIENCE_MS;
            self.waiting[entry].retain(|it| !gone(it));
            while self.own[entry] < room {
                let line = &mut self.waiting[entry];
                let place = line.iter().position(|it| !spent(it));
                let Some(stream) = line.remove(place.unwrap_or(0)) else {
                    break;
                };
                self.send(stream);
            }
        }
    }

    fn room(&self, entry: usize) -> f64 {
        let Admission::Within(bound) = self.policy.admission else {
            return f64::INFINITY;
        };
        let ranks = self.plant.shape.rank_count as f64;
        let view = View {
            streams: self.reported.iter().sum::<f64>() / ranks,
            factors: self.strain.factors(),
            ranks,
            slots: self.plant.slots as f64,
            own: self.own_then[entry],
            entries: self.plant.entries as f64,
        };
        let most = admission::most(&self.plant.pass, &view, f64::from(bound));
        admission::room(&view, most)
    }

    fn send(&mut self, stream: Stream) {
        self.own[stream.entry] += 1.0;
        let known =
            |rank: &usize| self.ranks[*rank].len() + self.queues[*rank].len();
        let one = self.random.random_range(0..self.ranks.len());
        let other = self.random.random_range(0..self.ranks.len());
        let rank = if known(&one) <= known(&other) { one } else { other };
        self.queues[rank].push_back(stream);
    }

    /// Ends the pass: each stream gets an event.
    fn finish(&mut self, end: f64) {
        self.now = end;
        for rank in &mut self.ranks {
            for stream in rank.iter_mut() {
                let first = stream.last == 0.0;
                let (from, bound) = if first {
                    (stream.came, AIM_MS)
                } else {
                    (stream.last, GAP_MS)
                };
                stream.late |= end - from > bound;
                stream.last = end;
                stream.events -= 1;
            }
            rank.retain(|stream| {
                if stream.events > 0 {
                    return true;
                }
                self.own[stream.entry] -= 1.0;
                if stream.came > WARM_MS {
                    self.score.on_time += f64::from(u8::from(!stream.late));
                    self.score.late += f64::from(u8::from(stream.late));
                }
                false
            });
        }
        if end - self.last_report >= REPORT_MS {
            self.last_report = end;
            self.own_then.clone_from(&self.own);
            let loads = self.ranks.iter().zip(&self.queues);
            let loads = loads.map(|(it, queue)| it.len() + queue.len());
            self.reported = loads.map(|it| it as f64).collect();
        }
        self.admit(end);
    }

    /// Counts, and plans or goes on with a change.
    fn coordinate(&mut self, stuck: bool) {
        let Some(maps) = self.policy.maps else { return };
        let now = Millis(self.now as u64);
        if self.now - self.counted >= maps.count_ms {
            self.counted = self.now;
            self.demand.record_counts(now, self.total.clone());
        }
        if stuck {
            self.change = None;
            return;
        }
        let overtaken = |it: &Change| {
            maps.drops == Drops::Overtaken
                && it.boundary.is_none()
                && self.demand.demand_shifted_at().0 as f64 > it.planned
        };
        if self.change.as_ref().is_some_and(overtaken) {
            self.change = None;
        }
        match &mut self.change {
            None => self.plan(maps),
            Some(change) => {
                let ready = change.copied + WORDS_MS <= self.now;
                if change.boundary.is_none() && ready {
                    change.boundary = Some(self.step + 2);
                }
            }
        }
    }

    fn plan(&mut self, maps: Maps) {
        let Some(loads) = self.demand.current_loads() else { return };
        let shape = self.plant.shape;
        let config = live::LivePlanConfig::new(self.plant.spare)
            .with_max_new_experts_per_rank(maps.burst)
            .with_copy_cost(maps.price);
        let speeds = vec![1.0; shape.rank_count];
        let plan = live::plan(shape, config, &self.map, &loads, &speeds);
        let Some(plan) = plan else { return };
        let most = (0..shape.rank_count as u16).map(|rank| {
            let layers = self.map.layers.iter().zip(&plan.map.layers);
            let news =
                layers.map(|(old, new)| old.count_added_copies_at(rank, new));
            news.sum::<usize>()
        });
        let most = most.max().unwrap_or_default() as f64;
        self.score.copies += plan.move_count;
        let copied = self.now + most * self.plant.copy_ms;
        let (boundary, planned) = (None, self.now);
        self.change =
            Some(Change { map: plan.map, copied, boundary, planned });
    }

    fn score(self) -> Score {
        let Tally { asked, on_time, late, passes, skews, copies } = self.score;
        Score {
            on_time: on_time / asked,
            late: late / asked,
            skew: skews / passes.len().max(1) as f64,
            passes,
            copies,
        }
    }
}
