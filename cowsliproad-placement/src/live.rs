//! Small steps towards balance, for groups whose map may change every second
//! but only by a few experts at each rank.
//!
//! From the present layer, the most loaded rank is relieved again and again
//! by the change that lowers a steep sum over all ranks' loads most: the sum
//! of their eighth powers, which is nearly their maximum but also tells
//! apart changes that leave the maximum as it is. Of all the layers on this
//! way the one is kept whose saving in the longest time, less the price of
//! its copies, is best. A layer that saves too little stays as it is, so
//! noise moves nothing.
//!
//! A rank copies one expert after the other, and the map waits for the rank
//! with the most. Where a copy takes long, a map therefore brings each rank
//! no more than [`Config::with_burst`] over all layers: the layer that is
//! farthest from balance goes first, and the rest follows in the next map.
//! On ranks that need 0.4 s for an expert, and a demand that moves every
//! 4 s, the first map is in force after one copy rather than three.
//!
//! Weighed and not chosen: packing from nothing and walking there (it moves
//! some four times as many experts), and looking at the longest time alone
//! (the search ends at the first tie between two ranks).

use crate::map::{Expert, Layer, Map, Rank, Shape};

/// What the operators weigh.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    spare: usize,
    burst: usize,
    price: f64,
    threshold: f64,
    least: f64,
}

impl Config {
    /// At most `spare` new experts for a rank and layer in one map.
    pub fn new(spare: usize) -> Config {
        let burst = usize::MAX;
        let (price, threshold, least) = (PRICE, THRESHOLD, LEAST);
        Config { spare, burst, price, threshold, least }
    }

    /// At most so many new experts for a rank in all layers of one map.
    pub fn with_burst(self, burst: usize) -> Config {
        Config { burst, ..self }
    }

    /// What a copy costs, as a share of the mean load of a rank.
    pub fn with_price(self, price: f64) -> Config {
        Config { price, ..self }
    }

    /// What a layer has to save, as a share of its longest time.
    pub fn with_threshold(self, threshold: f64) -> Config {
        Config { threshold, ..self }
    }
}

/// A copy takes 15% of the pace for some 40 ms and is charged. Played against
/// shifts every 4 s, 0.03 moved a third of the experts that 0.006 did, at the
/// same pace: what it leaves out is the last percents of balance.
const PRICE: f64 = 0.03;

/// Counts of half a second differ by some 2% by chance.
const THRESHOLD: f64 = 0.03;

/// What all layers together have to save, as a share of the step time. Each
/// change is a risk to the pace while orders go unanswered.
const LEAST: f64 = 0.04;

/// Changes tried in a layer. Each rank may take two experts, and few need to.
const TRIES: usize = 32;

/// The power of the loads that are summed.
const POWER: i32 = 8;

/// A better map.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The map.
    pub map: Map,
    /// Copies to be moved.
    pub moves: usize,
    /// Step time before, in units of the ideal one.
    pub before: f64,
    /// Step time expected.
    pub after: f64,
}

/// Plans from the present map; `None` if nothing pays.
pub fn plan(
    shape: Shape,
    config: Config,
    present: &Map,
    loads: &[Vec<f64>],
    speeds: &[f64],
) -> Option<Plan> {
    let (map, moves) = walk(shape, config, present, loads, speeds);
    if moves == 0 {
        return None;
    }
    let ideal = crate::map::ideal_time(loads, speeds);
    let time = |map: &Map| step_time(map, loads, speeds) / ideal;
    let (before, after) = (time(present), time(&map));
    let pays = before - after > config.least * before;
    pays.then_some(Plan { moves, before, after, map })
}

/// The best map on the way to balance, and its copies. The layer that is
/// farthest from it takes each next step.
fn walk(
    shape: Shape,
    config: Config,
    present: &Map,
    loads: &[Vec<f64>],
    speeds: &[f64],
) -> (Map, usize) {
    let layers = present.layers.iter().zip(loads);
    let mut walks: Vec<Walk> = layers
        .filter(|it| it.1.iter().sum::<f64>() > 0.0)
        .map(|(layer, loads)| Walk::new(shape, config, layer, loads, speeds))
        .collect();
    let mut taken = vec![0; shape.ranks];
    while let Some(walk) = walks
        .iter_mut()
        .filter(|it| it.tries < TRIES)
        .max_by(|a, b| a.skew().total_cmp(&b.skew()))
    {
        walk.step(&mut taken);
    }
    let mut walks = walks.into_iter();
    let mut moves = 0;
    let layers = present.layers.iter().zip(loads).map(|(layer, loads)| {
        let walked = loads.iter().sum::<f64>() > 0.0;
        let best = walked.then(|| walks.next()).flatten();
        match best.and_then(|it| it.best) {
            Some((better, copies)) => {
                moves += copies;
                better
            }
            None => layer.clone(),
        }
    });
    let map = Map { layers: layers.collect() };
    (map, moves)
}

/// A layer's way to balance.
struct Walk<'a> {
    search: Search<'a>,
    price: f64,
    /// The longest time at the start.
    before: f64,
    mean: f64,
    /// The best layer so far and its copies.
    best: Option<(Layer, usize)>,
    /// What it saves beyond its price; the least that counts, at first.
    value: f64,
    tries: usize,
}

impl<'a> Walk<'a> {
    fn new(
        shape: Shape,
        config: Config,
        present: &'a Layer,
        loads: &'a [f64],
        speeds: &'a [f64],
    ) -> Walk<'a> {
        let search = Search::new(shape, config, present, loads, speeds);
        let before = search.longest();
        let mean = loads.iter().sum::<f64>() / shape.ranks as f64;
        let (price, value) = (config.price, config.threshold * before);
        Walk { search, price, before, mean, best: None, value, tries: 0 }
    }

    fn skew(&self) -> f64 {
        self.search.longest() / self.mean
    }

    /// Relieves the most loaded rank once. `taken` is what each rank gets
    /// anew in all layers.
    fn step(&mut self, taken: &mut [usize]) {
        self.tries += 1;
        let Some(change) = self.search.relief(taken) else {
            self.tries = TRIES;
            return;
        };
        self.search.make(change, taken);
        let copies = self.search.present.missing(&self.search.layer);
        let saving = self.before - self.search.longest();
        let worth = saving - self.price * self.mean * copies as f64;
        if worth > self.value {
            self.value = worth;
            self.best = Some((self.search.layer.clone(), copies));
        }
    }
}

/// A change of a layer.
#[derive(Clone, Copy, Debug)]
struct Change {
    /// The rank that is relieved.
    from: Rank,
    /// The expert that another rank gets.
    expert: Expert,
    /// That rank; for a drop the rank itself.
    to: Rank,
    /// The expert whose place it takes there, if none is free.
    other: Option<Expert>,
    kind: Kind,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    /// Both ranks hold it afterwards.
    Copy,
    /// Only the other rank does.
    Move,
    /// As a move, and the other expert comes back for it.
    Swap,
    /// The rank gives up an expert that others hold too.
    Drop,
}

/// The time of each rank. Hosts of an expert share its work evenly, whatever
/// their speed.
fn times(layer: &Layer, loads: &[f64], speeds: &[f64]) -> Vec<f64> {
    let mut times = vec![0.0; speeds.len()];
    for (expert, load) in loads.iter().enumerate() {
        let hosts = layer.hosts(expert as Expert);
        for host in hosts {
            let rank = usize::from(*host);
            times[rank] += load / hosts.len() as f64 / speeds[rank];
        }
    }
    times
}

/// The time of a step: each layer waits for its slowest rank.
pub fn step_time(map: &Map, loads: &[Vec<f64>], speeds: &[f64]) -> f64 {
    let layers = map.layers.iter().zip(loads);
    let longest = |(layer, loads): (&Layer, &Vec<f64>)| {
        times(layer, loads, speeds).into_iter().fold(0.0, f64::max)
    };
    layers.map(longest).sum()
}

struct Search<'a> {
    shape: Shape,
    spare: usize,
    burst: usize,
    present: &'a Layer,
    loads: &'a [f64],
    speeds: &'a [f64],
    layer: Layer,
    times: Vec<f64>,
}

impl<'a> Search<'a> {
    fn new(
        shape: Shape,
        config: Config,
        present: &'a Layer,
        loads: &'a [f64],
        speeds: &'a [f64],
    ) -> Search<'a> {
        let times = times(present, loads, speeds);
        let layer = present.clone();
        let Config { spare, burst, .. } = config;
        Search { shape, spare, burst, present, loads, speeds, layer, times }
    }

    fn longest(&self) -> f64 {
        self.times.iter().copied().fold(0.0, f64::max)
    }

    /// The change that relieves the most loaded rank best.
    fn relief(&self, taken: &[usize]) -> Option<Change> {
        let ranks = 0..self.shape.ranks as Rank;
        let by_time =
            |a: &Rank, b: &Rank| self.time(*a).total_cmp(&self.time(*b));
        let from = ranks.clone().max_by(by_time)?;
        let mut best: Option<(f64, Change)> = None;
        for &expert in self.layer.held(from) {
            if self.layer.hosts(expert).len() > 1 {
                let kind = Kind::Drop;
                let drop =
                    Change { from, expert, to: from, other: None, kind };
                consider(self, drop, &mut best);
            }
            for to in ranks.clone() {
                if to == from || self.layer.has(to, expert) {
                    continue;
                }
                if self.room(to, expert, taken) == 0 {
                    continue;
                }
                self.try_changes(from, expert, to, taken, &mut best);
            }
        }
        best.map(|it| it.1)
    }

    fn try_changes(
        &self,
        from: Rank,
        expert: Expert,
        to: Rank,
        taken: &[usize],
        best: &mut Option<(f64, Change)>,
    ) {
        let mut consider = |kind, other| {
            consider(self, Change { from, expert, to, other, kind }, best);
        };
        if self.layer.held(to).len() < self.shape.slots {
            consider(Kind::Copy, None);
            consider(Kind::Move, None);
            return;
        }
        for &other in self.layer.held(to) {
            if self.layer.hosts(other).len() > 1 {
                consider(Kind::Copy, Some(other));
            }
            let comes_back = !self.layer.has(from, other)
                && self.room(from, other, taken) > 0;
            if comes_back {
                consider(Kind::Swap, Some(other));
            }
        }
    }

    /// How many more new experts a rank may get, if this one is new to it.
    fn room(&self, rank: Rank, expert: Expert, taken: &[usize]) -> usize {
        if self.present.has(rank, expert) {
            return usize::MAX;
        }
        let here = self.spare.saturating_sub(self.news(rank));
        here.min(self.burst.saturating_sub(taken[usize::from(rank)]))
    }

    /// What is new to a rank in this layer.
    fn news(&self, rank: Rank) -> usize {
        let new = |it: &&Expert| !self.present.has(rank, **it);
        self.layer.held(rank).iter().filter(new).count()
    }

    /// By how much a change lowers the sum of powers.
    fn gain(&self, change: Change) -> f64 {
        let mut deltas = Deltas::new(self.speeds);
        let hosts = self.layer.hosts(change.expert);
        let load = self.loads[usize::from(change.expert)];
        let old = load / hosts.len() as f64;
        let leaves = change.kind != Kind::Copy;
        let comes = change.kind != Kind::Drop;
        let count = hosts.len() + usize::from(comes) - usize::from(leaves);
        let new = load / count as f64;
        for &host in hosts {
            let stays = !(leaves && host == change.from);
            deltas.add(host, if stays { new - old } else { -old });
        }
        if comes {
            deltas.add(change.to, new);
        }
        if let Some(other) = change.other {
            let hosts = self.layer.hosts(other);
            let load = self.loads[usize::from(other)];
            let old = load / hosts.len() as f64;
            let back = change.kind == Kind::Swap;
            let count = hosts.len() - usize::from(!back);
            let new = load / count as f64;
            for &host in hosts {
                let leaves = host == change.to;
                deltas.add(host, if leaves { -old } else { new - old });
            }
            if back {
                deltas.add(change.from, new);
            }
        }
        deltas
            .iter()
            .map(|(rank, delta)| {
                let time = self.time(rank);
                time.powi(POWER) - (time + delta).max(0.0).powi(POWER)
            })
            .sum()
    }

    fn make(&mut self, change: Change, taken: &mut [usize]) {
        let Change { from, to, .. } = change;
        // A drop has one rank on both sides.
        let ranks = &[from, to][usize::from(from == to)..];
        for &rank in ranks {
            taken[usize::from(rank)] -= self.news(rank);
        }
        self.rearrange(change);
        for &rank in ranks {
            taken[usize::from(rank)] += self.news(rank);
        }
        self.times = times(&self.layer, self.loads, self.speeds);
    }

    fn rearrange(&mut self, change: Change) {
        let Change { from, expert, to, other, kind } = change;
        if let Some(other) = other {
            self.layer.remove(to, other);
            if kind == Kind::Swap {
                self.layer.add(from, other);
            }
        }
        if kind != Kind::Copy {
            self.layer.remove(from, expert);
        }
        if kind != Kind::Drop {
            self.layer.add(to, expert);
        }
    }

    fn time(&self, rank: Rank) -> f64 {
        self.times[usize::from(rank)]
    }
}

/// Keeps the change with the most gain.
fn consider(
    search: &Search,
    change: Change,
    best: &mut Option<(f64, Change)>,
) {
    let gain = search.gain(change);
    if gain > best.as_ref().map_or(0.0, |it| it.0) {
        *best = Some((gain, change));
    }
}

/// What a change does to the times of the few ranks that it touches.
struct Deltas<'a> {
    speeds: &'a [f64],
    ranks: Vec<(Rank, f64)>,
}

impl Deltas<'_> {
    fn new(speeds: &[f64]) -> Deltas<'_> {
        Deltas { speeds, ranks: Vec::with_capacity(8) }
    }

    fn add(&mut self, rank: Rank, load: f64) {
        let delta = load / self.speeds[usize::from(rank)];
        match self.ranks.iter_mut().find(|it| it.0 == rank) {
            Some(known) => known.1 += delta,
            None => self.ranks.push((rank, delta)),
        }
    }

    fn iter(&self) -> impl Iterator<Item = (Rank, f64)> {
        self.ranks.iter().copied()
    }
}
