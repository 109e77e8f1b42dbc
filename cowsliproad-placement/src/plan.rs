//! Few moves from the present map that pay for themselves.
//!
//! In each layer the slowest rank is relieved again and again, by one of
//! three moves: a copy of one of its experts takes the place of a copy that
//! can be spared on a rank with time to spare; one of its experts changes
//! places with a lighter one; or it gives up a copy of an expert that others
//! hold too, for a copy of a lighter one. Only the best prefix of these moves is kept: the one
//! whose saving over the horizon, weighed by `skew_weight`, exceeds its
//! copies, weighed by `move_weight`, by most. All this looks at one half of
//! the counts. The other half then has to show the saving as well, or the
//! layer stays: noise differs between the halves, so it causes no moves.
//! Then layers are taken by value for each
//! copy until the copies that one plan may move are used up.

use crate::{
    load::Loads,
    map::{Expert, Layer, Map, Rank, Shape, time_per_host},
};

/// What a group's operators weigh.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    skew_weight: f64,
    move_weight: f64,
    max_moves: usize,
    threshold: f64,
}

impl Config {
    /// Equal weights.
    pub fn new() -> Config {
        Config {
            skew_weight: 1.0,
            move_weight: 1.0,
            max_moves: usize::MAX,
            threshold: 0.02,
        }
    }

    /// What a unit of step time saved is worth.
    pub fn with_skew_weight(self, skew_weight: f64) -> Config {
        Config { skew_weight, ..self }
    }

    /// What moving one copy costs.
    pub fn with_move_weight(self, move_weight: f64) -> Config {
        Config { move_weight, ..self }
    }

    /// Copies that one plan may move, from the bytes a second that leave
    /// serving alone.
    pub fn with_max_moves(self, max_moves: usize) -> Config {
        Config { max_moves, ..self }
    }

    /// The share of a layer's time that a plan has to save in it.
    pub fn with_threshold(self, threshold: f64) -> Config {
        Config { threshold, ..self }
    }
}

impl Default for Config {
    fn default() -> Config {
        Config::new()
    }
}

/// A new map and what it takes.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The map to switch to.
    pub map: Map,
    /// Copies to be moved.
    pub moves: usize,
    /// The share of the step time that it is expected to save.
    pub saving: f64,
}

/// What a move of one copy costs as a share of a mean layer's time, at
/// equal weights: with the usual interval a saving of this size is earned
/// back before the popularity has drifted.
const MOVE_PRICE: f64 = 0.002;

/// Slow ranks that relief is looked for.
const SLOW: usize = 6;

/// Moves tried in a layer, at least and at most; in between, three for two
/// ranks.
const TRIES: (usize, usize) = (32, 400);

/// Ranks with time to spare that are looked at for each move.
const CANDIDATES: usize = 12;

/// Plans moves from the present map; `None` when none pays.
pub fn plan(
    shape: Shape,
    config: Config,
    present: &Map,
    loads: &Loads,
    speeds: &[f64],
) -> Option<Plan> {
    if !loads.is_ready() {
        return None;
    }
    let mean = loads.mean();
    let total = present.step_time(&mean, speeds);
    let price = config.move_weight * MOVE_PRICE * total
        / shape.layers as f64
        / config.skew_weight.max(f64::MIN_POSITIVE);
    let mut changes: Vec<Change> = (0..shape.layers)
        .filter_map(|index| {
            let (fresh, check) =
                (loads.planning_average(), loads.validation_average());
            let layer = &present.layers[index];
            improve(
                layer,
                &fresh[index],
                &check[index],
                speeds,
                price,
                &config,
            )
            .map(|found| Change { index, ..found })
        })
        .collect();
    changes.sort_by(|a, b| b.worth().total_cmp(&a.worth()));
    let mut map = present.clone();
    let (mut moves, mut saving) = (0, 0.0);
    for change in changes {
        if moves + change.moves > config.max_moves {
            continue;
        }
        moves += change.moves;
        saving += change.saving;
        map.layers[change.index] = change.layer;
    }
    (moves > 0).then(|| Plan { map, moves, saving: saving / total })
}

/// A better layer.
struct Change {
    index: usize,
    layer: Layer,
    moves: usize,
    saving: f64,
}

impl Change {
    fn worth(&self) -> f64 {
        self.saving / self.moves as f64
    }
}

fn improve(
    present: &Layer,
    fresh: &[f64],
    check: &[f64],
    speeds: &[f64],
    price: f64,
    config: &Config,
) -> Option<Change> {
    let before = present.slowest_time(fresh, speeds);
    let mut layer = present.clone();
    let mut times = layer.rank_times(fresh, speeds);
    let mut best: Option<(f64, Change)> = None;
    let tries = (present.ranks() * 3 / 2).clamp(TRIES.0, TRIES.1);
    for _ in 0..tries {
        let Some(step) = relieve(&layer, &times, fresh, speeds) else { break };
        step.make(&mut layer);
        times = layer.rank_times(fresh, speeds);
        let after = times.iter().copied().fold(0.0, f64::max);
        let saving = before - after;
        let moves = present.added_copies(&layer);
        let value = saving - price * moves as f64;
        if value > best.as_ref().map_or(0.0, |it| it.0) {
            let layer = layer.clone();
            let change = Change { index: 0, layer, moves, saving };
            best = Some((value, change));
        }
    }
    let (_, change) = best?;
    // The other half had no say in the choice, so what noise made look good
    // looks no better there.
    let before = present.slowest_time(check, speeds);
    let saving = before - change.layer.slowest_time(check, speeds);
    let saving = saving.min(change.saving);
    let pays = saving > price * change.moves as f64;
    let enough = saving > config.threshold * before;
    (pays && enough).then_some(Change { saving, ..change })
}

/// One move in a layer.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// `from` gives `expert` to `to`, in exchange for `other`.
    Swap { from: Rank, expert: Expert, to: Rank, other: Expert },
    /// `to` holds a further copy of `expert` in place of `other`.
    Copy { expert: Expert, to: Rank, other: Expert },
    /// `to` holds a further copy of `expert` in a free slot.
    Fill { expert: Expert, to: Rank },
}

impl Step {
    fn make(self, layer: &mut Layer) {
        match self {
            Step::Swap { from, expert, to, other } => {
                layer.remove(from, expert);
                layer.remove(to, other);
                layer.add(from, other);
                layer.add(to, expert);
            }
            Step::Copy { expert, to, other } => {
                layer.remove(to, other);
                layer.add(to, expert);
            }
            Step::Fill { expert, to } => layer.add(to, expert),
        }
    }
}

/// Relieves the slowest rank, or when nothing helps it, the next slowest,
/// which may open a way for the slowest.
fn relieve(
    layer: &Layer,
    times: &[f64],
    loads: &[f64],
    speeds: &[f64],
) -> Option<Step> {
    let mut ranks: Vec<Rank> = (0..times.len() as Rank).collect();
    let by_time = |a: &Rank, b: &Rank| {
        times[usize::from(*a)].total_cmp(&times[usize::from(*b)])
    };
    ranks.sort_unstable_by(by_time);
    let quick = &ranks[..CANDIDATES.min(ranks.len())];
    let scene = Scene { layer, times, loads, speeds };
    let slow = ranks.iter().rev().take(SLOW);
    slow.into_iter().find_map(|rank| relieve_rank(&scene, *rank, quick))
}

/// The move that leaves the ranks it touches with the shortest longest time,
/// if that is shorter than the rank's own.
fn relieve_rank(scene: &Scene, slowest: Rank, quick: &[Rank]) -> Option<Step> {
    let layer = scene.layer;
    let longest = scene.times[usize::from(slowest)];
    let mut best: Option<(f64, Step)> = None;
    for &expert in layer.held(slowest) {
        for &to in quick {
            if to == slowest || layer.holds(to, expert) {
                continue;
            }
            for step in scene.steps(slowest, expert, to) {
                let time = scene.longest_after(step);
                let limit = best.as_ref().map_or(longest, |it| it.0);
                if time < limit * IMPROVEMENT {
                    best = Some((time, step));
                }
            }
        }
    }
    for step in scene.trades(slowest, quick) {
        let time = scene.longest_after(step);
        let limit = best.as_ref().map_or(longest, |it| it.0);
        if time < limit * IMPROVEMENT {
            best = Some((time, step));
        }
    }
    best.map(|it| it.1)
}

/// A move has to be better by this much, so that rounding makes none.
const IMPROVEMENT: f64 = 1.0 - 1e-6;

struct Scene<'a> {
    layer: &'a Layer,
    times: &'a [f64],
    loads: &'a [f64],
    speeds: &'a [f64],
}

impl Scene<'_> {
    fn steps(&self, from: Rank, expert: Expert, to: Rank) -> Vec<Step> {
        let held = self.layer.held(to);
        let mut steps = Vec::with_capacity(2 * held.len() + 1);
        let slots = self.layer.held(from).len().max(held.len());
        if held.len() < slots {
            steps.push(Step::Fill { expert, to });
        }
        for &other in held {
            if self.layer.hosts(other).len() > 1 {
                steps.push(Step::Copy { expert, to, other });
            }
            if !self.layer.holds(from, other) {
                steps.push(Step::Swap { from, expert, to, other });
            }
        }
        steps
    }

    /// What the slowest rank could hold in place of an expert that others
    /// hold too.
    fn trades(&self, slowest: Rank, quick: &[Rank]) -> Vec<Step> {
        let layer = self.layer;
        let held = layer.held(slowest).iter();
        let spare = held.filter(|it| layer.hosts(**it).len() > 1);
        let light = || {
            let held = quick.iter().flat_map(|rank| layer.held(*rank));
            held.filter(|it| !layer.holds(slowest, **it))
        };
        spare
            .flat_map(|&other| {
                light().map(move |&expert| Step::Copy {
                    expert,
                    to: slowest,
                    other,
                })
            })
            .collect()
    }

    /// The longest time among the ranks that a move touches.
    fn longest_after(&self, step: Step) -> f64 {
        match step {
            Step::Fill { expert, to } => self.after_copy(expert, to, None),
            Step::Copy { expert, to, other } => {
                self.after_copy(expert, to, Some(other))
            }
            Step::Swap { from, expert, to, other } => {
                self.after_swap(from, expert, to, other)
            }
        }
    }

    fn after_copy(
        &self,
        expert: Expert,
        to: Rank,
        other: Option<Expert>,
    ) -> f64 {
        let old = self.each(expert, &[], None);
        let new = self.each(expert, &[to], None);
        let mut at_to = self.times[usize::from(to)] + new;
        let mut longest: f64 = 0.0;
        let (mut other_old, mut other_new) = (0.0, 0.0);
        if let Some(other) = other {
            other_old = self.each(other, &[], None);
            other_new = self.each(other, &[], Some(to));
            at_to -= other_old;
            for &host in self.layer.hosts(other) {
                if host == to {
                    continue;
                }
                let mut time =
                    self.times[usize::from(host)] + other_new - other_old;
                if self.layer.holds(host, expert) {
                    time += new - old;
                }
                longest = longest.max(time);
            }
        }
        for &host in self.layer.hosts(expert) {
            let shared =
                other.is_some_and(|other| self.layer.holds(host, other));
            let extra = if shared { other_new - other_old } else { 0.0 };
            let time = self.times[usize::from(host)] + new - old + extra;
            longest = longest.max(time);
        }
        longest.max(at_to)
    }

    fn after_swap(
        &self,
        from: Rank,
        expert: Expert,
        to: Rank,
        other: Expert,
    ) -> f64 {
        // The hosts of either expert change by one; with equal speeds the
        // shares stay, and a small error elsewhere is seen when the times
        // are worked out anew after the move.
        let mine = self.each(expert, &[], None);
        let theirs = self.each(other, &[], None);
        let mine_there = self.each(expert, &[to], Some(from));
        let theirs_here = self.each(other, &[from], Some(to));
        let at_from = self.times[usize::from(from)] - mine + theirs_here;
        let at_to = self.times[usize::from(to)] - theirs + mine_there;
        at_from.max(at_to)
    }

    /// What an expert costs each host, with hosts added or one left out.
    fn each(&self, expert: Expert, added: &[Rank], out: Option<Rank>) -> f64 {
        let hosts = self.layer.hosts(expert);
        let load = self.loads[usize::from(expert)];
        if added.is_empty() && out.is_none() {
            return time_per_host(load, hosts, self.speeds);
        }
        let speed = |rank: &Rank| self.speeds[usize::from(*rank)];
        let stay = hosts.iter().filter(|it| Some(**it) != out);
        let sum: f64 = stay.chain(added).map(speed).sum();
        load / sum
    }
}
