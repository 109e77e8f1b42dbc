//! Plans a few moves from the present map whose saving exceeds their cost.
//!
//! In each layer, the slowest rank is relieved repeatedly by one of three
//! moves: a copy of one of its experts replaces a dispensable copy on a rank
//! with idle time; one of its experts is swapped with a lighter one; or a
//! lighter expert replaces a copy of an expert that other ranks hold too. Only
//! the best prefix of these moves is kept: the prefix whose saving over the
//! horizon, weighted by `skew_weight`, exceeds the cost of its copies,
//! weighted by `move_weight`, by most.
//!
//! The moves are chosen on one of the two averages of the counts. The other
//! average has to show the saving too, or the layer stays unchanged. Noise
//! differs between the averages, so noise causes no moves. Finally, layers are
//! changed in order of their saving per copy, up to the copies that one plan
//! may move.

use crate::{
    load::Loads,
    map::{Expert, Layer, Map, Rank, Shape, time_per_host},
};

/// The operators' settings for planning a group's map.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    skew_weight: f64,
    move_weight: f64,
    max_moves: usize,
    min_layer_saving: f64,
}

impl Config {
    /// Returns settings that weigh saved step time and moved copies equally.
    pub fn new() -> Config {
        Config {
            skew_weight: 1.0,
            move_weight: 1.0,
            max_moves: usize::MAX,
            min_layer_saving: 0.02,
        }
    }

    /// Sets the weight of saved step time.
    pub fn with_skew_weight(self, skew_weight: f64) -> Config {
        Config { skew_weight, ..self }
    }

    /// Sets the weight of moved copies.
    pub fn with_move_weight(self, move_weight: f64) -> Config {
        Config { move_weight, ..self }
    }

    /// Sets the maximum number of copies that one plan may move. It follows
    /// from the transfer rate that doesn't slow down serving.
    pub fn with_max_moves(self, max_moves: usize) -> Config {
        Config { max_moves, ..self }
    }

    /// Sets the share of a layer's time that a change of the layer has to
    /// save.
    pub fn with_min_layer_saving(self, min_layer_saving: f64) -> Config {
        Config { min_layer_saving, ..self }
    }
}

impl Default for Config {
    fn default() -> Config {
        Config::new()
    }
}

/// A new map with its cost and its expected saving.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The new map.
    pub map: Map,
    /// The number of copies to be moved.
    pub moves: usize,
    /// The share of the step time that the new map is expected to save.
    pub saving: f64,
}

/// The cost of moving one copy at equal weights, as a share of the mean layer
/// time. With the default interval, a saving of this size repays the move
/// before the popularity of experts has drifted.
const MOVE_COST: f64 = 0.002;

/// The number of slow ranks to try to relieve for each move.
const MAX_SLOW_RANKS: usize = 6;

/// The minimum and maximum number of moves tried in a layer. Between these
/// bounds, three moves are tried for every two ranks.
const MIN_MAX_TRIES: (usize, usize) = (32, 400);

/// The number of fast ranks considered as receivers of each move.
const MAX_RECEIVERS: usize = 12;

/// Plans moves from the present map; `None` if no moves save more than they
/// cost.
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
    let move_cost = config.move_weight * MOVE_COST * total
        / shape.layers as f64
        / config.skew_weight.max(f64::MIN_POSITIVE);
    let mut changes: Vec<LayerChange> = (0..shape.layers)
        .filter_map(|index| {
            let (planning_loads, validation_loads) =
                (loads.planning_average(), loads.validation_average());
            let layer = &present.layers[index];
            improve_layer(
                layer,
                &planning_loads[index],
                &validation_loads[index],
                speeds,
                move_cost,
                &config,
            )
            .map(|change| LayerChange { index, ..change })
        })
        .collect();
    changes
        .sort_by(|a, b| b.saving_per_copy().total_cmp(&a.saving_per_copy()));
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

/// A change of one layer that saves more than it costs.
struct LayerChange {
    index: usize,
    layer: Layer,
    moves: usize,
    saving: f64,
}

impl LayerChange {
    /// Returns the saved time per moved copy.
    fn saving_per_copy(&self) -> f64 {
        self.saving / self.moves as f64
    }
}

/// Returns the best change of a layer, chosen by `loads` and confirmed by
/// `validation_loads`.
fn improve_layer(
    present: &Layer,
    loads: &[f64],
    validation_loads: &[f64],
    speeds: &[f64],
    move_cost: f64,
    config: &Config,
) -> Option<LayerChange> {
    let before = present.slowest_time(loads, speeds);
    let mut layer = present.clone();
    let mut times = layer.rank_times(loads, speeds);
    let mut best: Option<(f64, LayerChange)> = None;
    let tries =
        (present.ranks() * 3 / 2).clamp(MIN_MAX_TRIES.0, MIN_MAX_TRIES.1);
    for _ in 0..tries {
        let Some(it) = find_move(&layer, &times, loads, speeds) else { break };
        it.apply(&mut layer);
        times = layer.rank_times(loads, speeds);
        let after = times.iter().copied().fold(0.0, f64::max);
        let saving = before - after;
        let moves = present.added_copies(&layer);
        let value = saving - move_cost * moves as f64;
        if value > best.as_ref().map_or(0.0, |it| it.0) {
            let layer = layer.clone();
            let change = LayerChange { index: 0, layer, moves, saving };
            best = Some((value, change));
        }
    }
    let (_, change) = best?;
    // The validation average did not influence the choice, so a saving that
    // was only noise doesn't show there.
    let before = present.slowest_time(validation_loads, speeds);
    let saving = before - change.layer.slowest_time(validation_loads, speeds);
    let saving = saving.min(change.saving);
    let exceeds_cost = saving > move_cost * change.moves as f64;
    let exceeds_threshold = saving > config.min_layer_saving * before;
    (exceeds_cost && exceeds_threshold)
        .then_some(LayerChange { saving, ..change })
}

/// A move that changes the hosts of one or two experts of a layer.
#[derive(Clone, Copy, Debug)]
enum Move {
    /// Rank `from` gives `expert` to rank `to` in exchange for `other`.
    Swap { from: Rank, expert: Expert, to: Rank, other: Expert },
    /// Rank `to` gets an additional copy of `expert` in place of `other`.
    Copy { expert: Expert, to: Rank, other: Expert },
    /// Rank `to` gets an additional copy of `expert` in a free slot.
    Fill { expert: Expert, to: Rank },
}

impl Move {
    fn apply(self, layer: &mut Layer) {
        match self {
            Move::Swap { from, expert, to, other } => {
                layer.remove(from, expert);
                layer.remove(to, other);
                layer.add(from, other);
                layer.add(to, expert);
            }
            Move::Copy { expert, to, other } => {
                layer.remove(to, other);
                layer.add(to, expert);
            }
            Move::Fill { expert, to } => layer.add(to, expert),
        }
    }
}

/// Returns a move that relieves the slowest rank. If no move does, relieves
/// the next slowest ranks, which may make a move for the slowest possible.
fn find_move(
    layer: &Layer,
    times: &[f64],
    loads: &[f64],
    speeds: &[f64],
) -> Option<Move> {
    let mut ranks: Vec<Rank> = (0..times.len() as Rank).collect();
    let by_time = |a: &Rank, b: &Rank| {
        times[usize::from(*a)].total_cmp(&times[usize::from(*b)])
    };
    ranks.sort_unstable_by(by_time);
    let fast_ranks = &ranks[..MAX_RECEIVERS.min(ranks.len())];
    let state = LayerState { layer, times, loads, speeds };
    let slow = ranks.iter().rev().take(MAX_SLOW_RANKS);
    slow.into_iter()
        .find_map(|rank| find_move_for_rank(&state, *rank, fast_ranks))
}

/// Returns the move with the lowest maximum time among the ranks that it
/// affects, if that maximum is lower than the slow rank's time.
fn find_move_for_rank(
    state: &LayerState,
    slow_rank: Rank,
    fast_ranks: &[Rank],
) -> Option<Move> {
    let layer = state.layer;
    let longest = state.times[usize::from(slow_rank)];
    let mut best: Option<(f64, Move)> = None;
    for &expert in layer.held(slow_rank) {
        for &to in fast_ranks {
            if to == slow_rank || layer.holds(to, expert) {
                continue;
            }
            for candidate in state.moves_between(slow_rank, expert, to) {
                let time = state.max_time_after(candidate);
                let limit = best.as_ref().map_or(longest, |it| it.0);
                if time < limit * IMPROVEMENT_FACTOR {
                    best = Some((time, candidate));
                }
            }
        }
    }
    for candidate in state.replacements(slow_rank, fast_ranks) {
        let time = state.max_time_after(candidate);
        let limit = best.as_ref().map_or(longest, |it| it.0);
        if time < limit * IMPROVEMENT_FACTOR {
            best = Some((time, candidate));
        }
    }
    best.map(|it| it.1)
}

/// A move must lower the maximum time below this fraction of the best so far,
/// so that rounding errors cause no moves.
const IMPROVEMENT_FACTOR: f64 = 1.0 - 1e-6;

/// A layer with its loads and the times of its ranks.
struct LayerState<'a> {
    layer: &'a Layer,
    times: &'a [f64],
    loads: &'a [f64],
    speeds: &'a [f64],
}

impl LayerState<'_> {
    /// Returns the moves that bring `expert` from one rank to another.
    fn moves_between(
        &self,
        from: Rank,
        expert: Expert,
        to: Rank,
    ) -> Vec<Move> {
        let held = self.layer.held(to);
        let mut moves = Vec::with_capacity(2 * held.len() + 1);
        let slots = self.layer.held(from).len().max(held.len());
        if held.len() < slots {
            moves.push(Move::Fill { expert, to });
        }
        for &other in held {
            if self.layer.hosts(other).len() > 1 {
                moves.push(Move::Copy { expert, to, other });
            }
            if !self.layer.holds(from, other) {
                moves.push(Move::Swap { from, expert, to, other });
            }
        }
        moves
    }

    /// Returns the moves that replace an expert of a slow rank, which other
    /// ranks hold too, by an expert of a fast rank.
    fn replacements(&self, slow_rank: Rank, fast_ranks: &[Rank]) -> Vec<Move> {
        let layer = self.layer;
        let held = layer.held(slow_rank).iter();
        let dispensable = held.filter(|it| layer.hosts(**it).len() > 1);
        let fast_rank_experts = || {
            let held = fast_ranks.iter().flat_map(|rank| layer.held(*rank));
            held.filter(|it| !layer.holds(slow_rank, **it))
        };
        dispensable
            .flat_map(|&other| {
                fast_rank_experts().map(move |&expert| Move::Copy {
                    expert,
                    to: slow_rank,
                    other,
                })
            })
            .collect()
    }

    /// Returns the maximum time among the ranks that a move affects.
    fn max_time_after(&self, candidate: Move) -> f64 {
        match candidate {
            Move::Fill { expert, to } => {
                self.max_time_after_copy(expert, to, None)
            }
            Move::Copy { expert, to, other } => {
                self.max_time_after_copy(expert, to, Some(other))
            }
            Move::Swap { from, expert, to, other } => {
                self.max_time_after_swap(from, expert, to, other)
            }
        }
    }

    /// Returns the maximum time among the affected ranks after a copy of
    /// `expert` is added to a rank, in place of `other` if given.
    fn max_time_after_copy(
        &self,
        expert: Expert,
        to: Rank,
        other: Option<Expert>,
    ) -> f64 {
        let old = self.time_per_host(expert, &[], None);
        let new = self.time_per_host(expert, &[to], None);
        let mut time_at_to = self.times[usize::from(to)] + new;
        let mut longest: f64 = 0.0;
        let (mut other_old, mut other_new) = (0.0, 0.0);
        if let Some(other) = other {
            other_old = self.time_per_host(other, &[], None);
            other_new = self.time_per_host(other, &[], Some(to));
            time_at_to -= other_old;
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
        longest.max(time_at_to)
    }

    /// Returns the approximate maximum time of two ranks after they swap
    /// experts.
    fn max_time_after_swap(
        &self,
        from: Rank,
        expert: Expert,
        to: Rank,
        other: Expert,
    ) -> f64 {
        // Each expert changes one of its hosts. With equal speeds, the shares
        // of the other hosts stay the same. With unequal speeds, their times
        // are off by a small error until all times are recomputed after the
        // move.
        let expert_time = self.time_per_host(expert, &[], None);
        let other_time = self.time_per_host(other, &[], None);
        let expert_time_at_to = self.time_per_host(expert, &[to], Some(from));
        let other_time_at_from = self.time_per_host(other, &[from], Some(to));
        let time_at_from =
            self.times[usize::from(from)] - expert_time + other_time_at_from;
        let time_at_to =
            self.times[usize::from(to)] - other_time + expert_time_at_to;
        time_at_from.max(time_at_to)
    }

    /// Returns the time that an expert takes on each host if hosts are added
    /// or one host is left out.
    fn time_per_host(
        &self,
        expert: Expert,
        added: &[Rank],
        out: Option<Rank>,
    ) -> f64 {
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
