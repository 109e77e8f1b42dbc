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
    load::SmoothedLoads,
    map::{Expert, Layer, Map, Rank, Shape, time_per_host},
};

/// The operators' settings for planning a group's map from averaged counts.
#[derive(Clone, Copy, Debug)]
pub struct PlanConfig {
    skew_weight: f64,
    move_weight: f64,
    max_moves: usize,
    min_layer_saving: f64,
}

impl PlanConfig {
    /// Creates settings that weigh saved step time and moved copies equally.
    pub fn new() -> PlanConfig {
        PlanConfig {
            skew_weight: 1.0,
            move_weight: 1.0,
            max_moves: usize::MAX,
            min_layer_saving: 0.02,
        }
    }

    /// Sets the weight of the step time that a lower skew saves, against the
    /// weight of moved copies. The skew is the imbalance between the ranks.
    pub fn with_skew_weight(self, skew_weight: f64) -> PlanConfig {
        PlanConfig { skew_weight, ..self }
    }

    /// Sets the weight of the cost of moved copies, against the weight of
    /// saved step time.
    pub fn with_move_weight(self, move_weight: f64) -> PlanConfig {
        PlanConfig { move_weight, ..self }
    }

    /// Sets the maximum number of copies that one plan may move. The maximum
    /// follows from the transfer rate that doesn't slow down serving.
    pub fn with_max_moves(self, max_moves: usize) -> PlanConfig {
        PlanConfig { max_moves, ..self }
    }

    /// Sets the share of a layer's time that a change of the layer has to
    /// save.
    pub fn with_min_layer_saving(self, min_layer_saving: f64) -> PlanConfig {
        PlanConfig { min_layer_saving, ..self }
    }
}

impl Default for PlanConfig {
    fn default() -> PlanConfig {
        PlanConfig::new()
    }
}

/// A new expert map with its number of moves and the share of the step time
/// that it is expected to save.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The new map.
    pub map: Map,
    /// The number of copies of experts to be moved to other ranks.
    pub move_count: usize,
    /// The share of the step time that the new map is expected to save.
    pub saved_step_time_share: f64,
}

/// The cost of moving one copy of an expert, as a share of the mean layer
/// time, if saved time and moved copies have equal weights. With the default
/// interval, a saving of this size repays the move before the popularity of
/// experts has drifted.
const MOVE_COST_SHARE: f64 = 0.002;

/// The maximum number of slow ranks for which a move is searched, one after
/// the other.
const MAX_RELIEVED_RANKS: usize = 6;

/// The minimum and maximum number of moves made to search for a better layer.
/// Between these bounds, three moves are made for every two ranks.
const MIN_AND_MAX_LAYER_SEARCH_MOVES: (usize, usize) = (32, 400);

/// The maximum number of fast ranks considered as receivers of an expert.
const MAX_RECEIVING_RANKS: usize = 12;

/// Plans moves of experts from the present map; `None` if no moves save more
/// than they cost.
pub fn plan(
    shape: Shape,
    config: PlanConfig,
    present: &Map,
    loads: &SmoothedLoads,
    speeds: &[f64],
) -> Option<Plan> {
    if !loads.has_enough_intervals() {
        return None;
    }
    let mean = loads.mean_counts();
    let total = present.step_time(&mean, speeds);
    let move_cost = config.move_weight * MOVE_COST_SHARE * total
        / shape.layer_count as f64
        / config.skew_weight.max(f64::MIN_POSITIVE);
    let mut changes: Vec<LayerChange> = (0..shape.layer_count)
        .filter_map(|layer_index| {
            let (planning_loads, validation_loads) =
                (loads.planning_average(), loads.validation_average());
            let layer = &present.layers[layer_index];
            improve_layer(
                layer,
                &planning_loads[layer_index],
                &validation_loads[layer_index],
                speeds,
                move_cost,
                &config,
            )
            .map(|change| LayerChange { layer_index, ..change })
        })
        .collect();
    changes
        .sort_by(|a, b| b.saving_per_copy().total_cmp(&a.saving_per_copy()));
    let mut map = present.clone();
    let (mut move_count, mut saving) = (0, 0.0);
    for change in changes {
        if move_count + change.move_count > config.max_moves {
            continue;
        }
        move_count += change.move_count;
        saving += change.saving;
        map.layers[change.layer_index] = change.layer;
    }
    (map != *present).then(|| Plan {
        map,
        move_count,
        saved_step_time_share: saving / total,
    })
}

/// A change of one layer that saves more than it costs.
struct LayerChange {
    layer_index: usize,
    layer: Layer,
    move_count: usize,
    saving: f64,
}

impl LayerChange {
    /// Returns the time that the change of the layer saves per moved copy.
    fn saving_per_copy(&self) -> f64 {
        self.saving / self.move_count as f64
    }
}

/// Returns the best change of a layer under `loads`; `None` if no change saves
/// more than it costs, also under `validation_loads`.
fn improve_layer(
    present: &Layer,
    loads: &[f64],
    validation_loads: &[f64],
    speeds: &[f64],
    move_cost: f64,
    config: &PlanConfig,
) -> Option<LayerChange> {
    let before = present.slowest_rank_time(loads, speeds);
    let mut layer = present.clone();
    let mut times = layer.rank_times(loads, speeds);
    let mut best: Option<(f64, LayerChange)> = None;
    let max_layer_moves = (present.rank_count() * 3 / 2).clamp(
        MIN_AND_MAX_LAYER_SEARCH_MOVES.0,
        MIN_AND_MAX_LAYER_SEARCH_MOVES.1,
    );
    for _ in 0..max_layer_moves {
        let Some(it) = find_move(&layer, &times, loads, speeds) else { break };
        it.apply_to_layer(&mut layer);
        times = layer.rank_times(loads, speeds);
        let after = times.iter().copied().fold(0.0, f64::max);
        let saving = before - after;
        let move_count = present.count_added_copies(&layer);
        let value = saving - move_cost * move_count as f64;
        if value > best.as_ref().map_or(0.0, |it| it.0) {
            let layer = layer.clone();
            let change =
                LayerChange { layer_index: 0, layer, move_count, saving };
            best = Some((value, change));
        }
    }
    let (_, change) = best?;
    // The validation average did not influence the choice of the change, so a
    // saving that was only noise doesn't show in the validation average.
    let before = present.slowest_rank_time(validation_loads, speeds);
    let saving =
        before - change.layer.slowest_rank_time(validation_loads, speeds);
    let saving = saving.min(change.saving);
    let exceeds_cost = saving > move_cost * change.move_count as f64;
    let exceeds_threshold = saving > config.min_layer_saving * before;
    (exceeds_cost && exceeds_threshold)
        .then_some(LayerChange { saving, ..change })
}

/// A move that changes the hosts of one or two experts of a layer.
#[derive(Clone, Copy, Debug)]
enum ExpertMove {
    /// Rank `from` gives `expert` to rank `to` in exchange for `other`.
    Swap { from: Rank, expert: Expert, to: Rank, other: Expert },
    /// Rank `to` gets an additional copy of `expert` in place of `other`.
    Copy { expert: Expert, to: Rank, other: Expert },
    /// Rank `to` gets an additional copy of `expert` in a free slot.
    Fill { expert: Expert, to: Rank },
}

impl ExpertMove {
    fn apply_to_layer(self, layer: &mut Layer) {
        match self {
            ExpertMove::Swap { from, expert, to, other } => {
                layer.remove_copy(from, expert);
                layer.remove_copy(to, other);
                layer.add_copy(from, other);
                layer.add_copy(to, expert);
            }
            ExpertMove::Copy { expert, to, other } => {
                layer.remove_copy(to, other);
                layer.add_copy(to, expert);
            }
            ExpertMove::Fill { expert, to } => layer.add_copy(to, expert),
        }
    }
}

/// Returns a move that relieves the slowest rank. If there is no such move,
/// returns a move that relieves one of the next slowest ranks, after which the
/// slowest rank may have a move.
fn find_move(
    layer: &Layer,
    rank_times: &[f64],
    loads: &[f64],
    speeds: &[f64],
) -> Option<ExpertMove> {
    let mut ranks: Vec<Rank> = (0..rank_times.len() as Rank).collect();
    let by_time = |a: &Rank, b: &Rank| {
        rank_times[usize::from(*a)].total_cmp(&rank_times[usize::from(*b)])
    };
    ranks.sort_unstable_by(by_time);
    let fast_ranks = &ranks[..MAX_RECEIVING_RANKS.min(ranks.len())];
    let state = LayerState { layer, rank_times, loads, speeds };
    let slow = ranks.iter().rev().take(MAX_RELIEVED_RANKS);
    slow.into_iter()
        .find_map(|rank| find_move_relieving_rank(&state, *rank, fast_ranks))
}

/// Returns the move that relieves a slow rank best: the move with the lowest
/// maximum time among the affected ranks, if lower than the slow rank's time.
fn find_move_relieving_rank(
    state: &LayerState,
    slow_rank: Rank,
    fast_ranks: &[Rank],
) -> Option<ExpertMove> {
    let layer = state.layer;
    let longest_time = state.rank_times[usize::from(slow_rank)];
    let mut best: Option<(f64, ExpertMove)> = None;
    for &expert in layer.experts_at(slow_rank) {
        for &to in fast_ranks {
            if to == slow_rank || layer.holds(to, expert) {
                continue;
            }
            for candidate in state.moves_between_ranks(slow_rank, expert, to) {
                let time = state.max_rank_time_after_move(candidate);
                let limit = best.as_ref().map_or(longest_time, |it| it.0);
                if time < limit * MAX_TIME_RATIO_AFTER_MOVE {
                    best = Some((time, candidate));
                }
            }
        }
    }
    for candidate in state.replacement_moves(slow_rank, fast_ranks) {
        let time = state.max_rank_time_after_move(candidate);
        let limit = best.as_ref().map_or(longest_time, |it| it.0);
        if time < limit * MAX_TIME_RATIO_AFTER_MOVE {
            best = Some((time, candidate));
        }
    }
    best.map(|it| it.1)
}

/// A move must lower the maximum time below this fraction of the best maximum
/// time so far, so that rounding errors cause no moves.
const MAX_TIME_RATIO_AFTER_MOVE: f64 = 1.0 - 1e-6;

/// A layer of the expert map, with the loads of its experts and the times and
/// speeds of the ranks.
struct LayerState<'a> {
    layer: &'a Layer,
    rank_times: &'a [f64],
    loads: &'a [f64],
    speeds: &'a [f64],
}

impl LayerState<'_> {
    /// Returns the moves that bring `expert` or a copy of it from one rank to
    /// another.
    fn moves_between_ranks(
        &self,
        from: Rank,
        expert: Expert,
        to: Rank,
    ) -> Vec<ExpertMove> {
        let held = self.layer.experts_at(to);
        let mut moves = Vec::with_capacity(2 * held.len() + 1);
        let slots = self.layer.experts_at(from).len().max(held.len());
        if held.len() < slots {
            moves.push(ExpertMove::Fill { expert, to });
        }
        for &other in held {
            if self.layer.hosts(other).len() > 1 {
                moves.push(ExpertMove::Copy { expert, to, other });
            }
            if !self.layer.holds(from, other) {
                moves.push(ExpertMove::Swap { from, expert, to, other });
            }
        }
        moves
    }

    /// Returns the moves that replace an expert of a slow rank, which other
    /// ranks hold too, by an expert of a fast rank.
    fn replacement_moves(
        &self,
        slow_rank: Rank,
        fast_ranks: &[Rank],
    ) -> Vec<ExpertMove> {
        let layer = self.layer;
        let held = layer.experts_at(slow_rank).iter();
        let dispensable = held.filter(|it| layer.hosts(**it).len() > 1);
        let fast_rank_experts = || {
            let held =
                fast_ranks.iter().flat_map(|rank| layer.experts_at(*rank));
            held.filter(|it| !layer.holds(slow_rank, **it))
        };
        dispensable
            .flat_map(|&other| {
                fast_rank_experts().map(move |&expert| ExpertMove::Copy {
                    expert,
                    to: slow_rank,
                    other,
                })
            })
            .collect()
    }

    /// Returns the maximum time among the ranks that a move affects.
    fn max_rank_time_after_move(&self, candidate: ExpertMove) -> f64 {
        match candidate {
            ExpertMove::Fill { expert, to } => {
                self.max_rank_time_after_copy(expert, to, None)
            }
            ExpertMove::Copy { expert, to, other } => {
                self.max_rank_time_after_copy(expert, to, Some(other))
            }
            ExpertMove::Swap { from, expert, to, other } => {
                self.max_rank_time_after_swap(from, expert, to, other)
            }
        }
    }

    /// Returns the maximum time among the affected ranks after a copy of
    /// `expert` is added to a rank, in place of `other` if given.
    fn max_rank_time_after_copy(
        &self,
        expert: Expert,
        to: Rank,
        other: Option<Expert>,
    ) -> f64 {
        let old = self.time_per_host(expert, &[], None);
        let new = self.time_per_host(expert, &[to], None);
        let mut time_at_to = self.rank_times[usize::from(to)] + new;
        let mut longest_time: f64 = 0.0;
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
                    self.rank_times[usize::from(host)] + other_new - other_old;
                if self.layer.holds(host, expert) {
                    time += new - old;
                }
                longest_time = longest_time.max(time);
            }
        }
        for &host in self.layer.hosts(expert) {
            let shared =
                other.is_some_and(|other| self.layer.holds(host, other));
            let extra = if shared { other_new - other_old } else { 0.0 };
            let time = self.rank_times[usize::from(host)] + new - old + extra;
            longest_time = longest_time.max(time);
        }
        longest_time.max(time_at_to)
    }

    /// Returns the approximate maximum time of two ranks after they swap
    /// experts.
    fn max_rank_time_after_swap(
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
        let time_at_from = self.rank_times[usize::from(from)] - expert_time
            + other_time_at_from;
        let time_at_to =
            self.rank_times[usize::from(to)] - other_time + expert_time_at_to;
        time_at_from.max(time_at_to)
    }

    /// Returns the time that an expert takes on each host if hosts are added
    /// or one host is removed.
    fn time_per_host(
        &self,
        expert: Expert,
        added_hosts: &[Rank],
        removed_host: Option<Rank>,
    ) -> f64 {
        let hosts = self.layer.hosts(expert);
        let load = self.loads[usize::from(expert)];
        if added_hosts.is_empty() && removed_host.is_none() {
            return time_per_host(load, hosts, self.speeds);
        }
        let speed = |rank: &Rank| self.speeds[usize::from(*rank)];
        let stay = hosts.iter().filter(|it| Some(**it) != removed_host);
        let sum: f64 = stay.chain(added_hosts).map(speed).sum();
        load / sum
    }
}
