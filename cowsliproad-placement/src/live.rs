//! Plans small changes towards balance, for groups whose map may change every
//! second, but only by a few experts at each rank.
//!
//! A local search starts from the present layer. It repeatedly relieves the
//! most loaded rank by the change that most lowers the sum of the eighth
//! powers of all ranks' times. This sum is nearly determined by the maximum,
//! but it also ranks changes that leave the maximum unchanged. Where no single
//! change helps, a short sequence of changes may. Of all layers visited, the
//! search keeps the one that saves most of the slowest rank's time after the
//! cost of its copies. A layer that saves too little stays unchanged, so noise
//! moves no experts.
//!
//! A rank copies one expert after the other, and a new map waits for the rank
//! with the most copies. Where a copy takes long, a map therefore assigns each
//! rank at most [`LivePlanConfig::with_max_new_experts_per_rank`] new experts
//! over all layers. The least balanced layer is changed first, and the other
//! layers follow in the next maps. On ranks that need 0.4 s to copy an expert,
//! with a demand that shifts every 4 s, the first map is in force after one
//! copy instead of three.
//!
//! Rejected alternatives: packing from scratch and moving to that map step by
//! step (it moves some four times as many experts), and minimizing only the
//! slowest rank's time (the search ends at the first tie between two ranks).

use self::search::{CandidateLayer, LocalOptimum, rank_times};
use crate::{
    bound,
    map::{Layer, Map, Shape, ideal_step_time},
};

mod search;

/// The operators' settings for changing a group's expert map in small steps.
#[derive(Clone, Copy, Debug)]
pub struct LivePlanConfig {
    max_new_experts_per_layer: usize,
    max_new_experts_per_rank: usize,
    copy_cost: f64,
    min_layer_saving: f64,
    min_total_saving: f64,
}

impl LivePlanConfig {
    /// Creates settings that allow at most `max_new_experts_per_layer` new
    /// experts for each rank and layer in one map.
    pub fn new(max_new_experts_per_layer: usize) -> LivePlanConfig {
        let max_new_experts_per_rank = usize::MAX;
        let (copy_cost, min_layer_saving, min_total_saving) = (
            COST_PER_COPY_AS_SHARE_OF_MEAN_RANK_LOAD,
            MIN_LAYER_SAVING_SHARE,
            MIN_TOTAL_SAVING_SHARE,
        );
        LivePlanConfig {
            max_new_experts_per_layer,
            max_new_experts_per_rank,
            copy_cost,
            min_layer_saving,
            min_total_saving,
        }
    }

    /// Sets the maximum number of new experts for each rank over all layers of
    /// one map.
    pub fn with_max_new_experts_per_rank(
        self,
        max_new_experts_per_rank: usize,
    ) -> LivePlanConfig {
        LivePlanConfig { max_new_experts_per_rank, ..self }
    }

    /// Sets the cost of copying an expert to a rank, as a share of the mean
    /// load of a rank.
    pub fn with_copy_cost(self, copy_cost: f64) -> LivePlanConfig {
        LivePlanConfig { copy_cost, ..self }
    }

    /// Sets the minimum saving of a changed layer, as a share of its slowest
    /// rank's time.
    pub fn with_min_layer_saving(
        self,
        min_layer_saving: f64,
    ) -> LivePlanConfig {
        LivePlanConfig { min_layer_saving, ..self }
    }
}

/// The cost of copying an expert to a rank, as a share of the mean load of a
/// rank. A copy slows serving by 15% while it runs, and every copy is charged
/// for. With a demand that shifts every 4 s, 0.03 moves a third of the experts
/// that 0.006 does at the same serving speed. Only the last few percent of
/// balance are given up.
const COST_PER_COPY_AS_SHARE_OF_MEAN_RANK_LOAD: f64 = 0.03;

/// The minimum saving of a changed layer, as a share of its slowest rank's
/// time. Counts of 500 ms differ by some 2% by chance.
const MIN_LAYER_SAVING_SHARE: f64 = 0.03;

/// The minimum saving of all changed layers together, as a share of the step
/// time. Each change of map risks slowing the group while orders go
/// unanswered.
const MIN_TOTAL_SAVING_SHARE: f64 = 0.04;

/// The maximum number of changes tried in a layer. A rank may receive only a
/// few experts, and only a few ranks need to receive any.
const MAX_CHANGES_PER_LAYER: usize = 32;

/// A new expert map with its number of moves and its expected step time.
#[derive(Clone, Debug)]
pub struct LivePlan {
    /// The new map.
    pub map: Map,
    /// The number of copies of experts to be moved to other ranks.
    pub move_count: usize,
    /// The expected step time under the new map, relative to perfect balance.
    pub planned_step_time_ratio_to_ideal: f64,
}

/// The best map that a search found, whether or not it saves enough step time.
#[derive(Clone, Debug)]
pub struct LiveSearch {
    /// The best map found; the present map if no change saves enough in its
    /// layer.
    best: LivePlan,
    /// The step time under the present map, relative to perfect balance.
    pub present_step_time_ratio_to_ideal: f64,
    /// The minimum saving of all changed layers, as a share of the step time.
    min_total_saving: f64,
}

impl LiveSearch {
    /// Returns the best map found, also if it saves too little to be planned.
    pub fn best(&self) -> &LivePlan {
        &self.best
    }

    /// Returns the best map found if it saves enough step time to be planned.
    /// A map that moves no copies may save enough, too: ranks may only give up
    /// experts that others hold.
    pub fn into_plan(self) -> Option<LivePlan> {
        let present = self.present_step_time_ratio_to_ideal;
        let saving = present - self.best.planned_step_time_ratio_to_ideal;
        (saving > self.min_total_saving * present).then_some(self.best)
    }
}

/// Plans a small change of the present expert map; `None` if no change saves
/// enough step time.
pub fn plan(
    shape: Shape,
    config: LivePlanConfig,
    present: &Map,
    loads: &[Vec<f64>],
    speeds: &[f64],
) -> Option<LivePlan> {
    search(shape, config, present, loads, speeds).into_plan()
}

/// Searches for a better map that is a small change of the present one.
pub fn search(
    shape: Shape,
    config: LivePlanConfig,
    present: &Map,
    loads: &[Vec<f64>],
    speeds: &[f64],
) -> LiveSearch {
    let (map, move_count) =
        search_better_map(shape, config, present, loads, speeds);
    LiveSearch {
        present_step_time_ratio_to_ideal: step_time_ratio_to_ideal(
            present, loads, speeds,
        ),
        best: LivePlan {
            planned_step_time_ratio_to_ideal: step_time_ratio_to_ideal(
                &map, loads, speeds,
            ),
            map,
            move_count,
        },
        min_total_saving: config.min_total_saving,
    }
}

/// Returns the best map found by local search, and the number of copies of
/// experts that it moves. Each change is made in the layer that is least
/// balanced at that point.
fn search_better_map(
    shape: Shape,
    config: LivePlanConfig,
    present: &Map,
    loads: &[Vec<f64>],
    speeds: &[f64],
) -> (Map, usize) {
    let layers = present.layers.iter().zip(loads);
    let mut searches: Vec<LayerSearch> = layers
        .map(|(layer, loads)| {
            LayerSearch::new(shape, config, layer, loads, speeds)
        })
        .collect();
    let mut new_experts_by_rank = vec![0; shape.rank_count];
    while let Some(search) = searches
        .iter_mut()
        .filter(|it| it.tried_changes < MAX_CHANGES_PER_LAYER)
        .max_by(|a, b| {
            a.slowest_rank_time_per_mean_load()
                .total_cmp(&b.slowest_rank_time_per_mean_load())
        })
    {
        search.relieve_slowest_rank(&mut new_experts_by_rank);
    }
    let mut map = present.clone();
    let mut move_count = 0;
    for (layer, search) in map.layers.iter_mut().zip(searches) {
        if let Some((better, copies)) = search.best_layer {
            *layer = better;
            move_count += copies;
        }
    }
    (map, move_count)
}

/// A local search for a better assignment of one layer.
struct LayerSearch<'a> {
    candidate: CandidateLayer<'a>,
    copy_cost: f64,
    /// The slowest rank's time in the present layer, before any change.
    initial_time: f64,
    /// A lower bound on the slowest rank's time over all layers.
    min_time: f64,
    /// The mean load of a rank in the layer.
    mean_load: f64,
    /// The best layer visited so far and the number of copies of experts that
    /// it moves; `None` if no layer has saved enough.
    best_layer: Option<(Layer, usize)>,
    /// The saving of the best layer less the cost of its copies; at first the
    /// minimum saving of a changed layer.
    best_net_saving: f64,
    tried_changes: usize,
}

impl<'a> LayerSearch<'a> {
    fn new(
        shape: Shape,
        config: LivePlanConfig,
        present: &'a Layer,
        loads: &'a [f64],
        speeds: &'a [f64],
    ) -> LayerSearch<'a> {
        let candidate =
            CandidateLayer::new(shape, config, present, loads, speeds);
        let initial_time = candidate.slowest_rank_time();
        let mean_load = loads.iter().sum::<f64>() / shape.rank_count as f64;
        let (copy_cost, best_net_saving) =
            (config.copy_cost, config.min_layer_saving * initial_time);
        // A layer without load stays unchanged.
        let tried_changes =
            if mean_load > 0.0 { 0 } else { MAX_CHANGES_PER_LAYER };
        LayerSearch {
            candidate,
            copy_cost,
            initial_time,
            min_time: bound::min_layer_time(shape, loads, speeds),
            mean_load,
            best_layer: None,
            best_net_saving,
            tried_changes,
        }
    }

    /// Returns the slowest rank's time in the layer under search, relative to
    /// the mean load of a rank.
    fn slowest_rank_time_per_mean_load(&self) -> f64 {
        self.candidate.slowest_rank_time() / self.mean_load
    }

    /// Applies the change that best relieves the slowest rank of the layer.
    /// `new_experts_by_rank` counts the new experts of each rank over all
    /// layers.
    fn relieve_slowest_rank(&mut self, new_experts_by_rank: &mut [usize]) {
        self.tried_changes += 1;
        match self.candidate.best_host_change(new_experts_by_rank) {
            Some(change) => {
                self.candidate.apply_host_change(change, new_experts_by_rank)
            }
            None if self.leave_local_optimum(new_experts_by_rank)
                == LocalOptimum::Left => {}
            None => {
                self.tried_changes = MAX_CHANGES_PER_LAYER;
                return;
            }
        }
        let copies =
            self.candidate.present.count_added_copies(&self.candidate.layer);
        let saving = self.initial_time - self.candidate.slowest_rank_time();
        let net_saving =
            saving - self.copy_cost * self.mean_load * copies as f64;
        if net_saving > self.best_net_saving {
            self.best_net_saving = net_saving;
            self.best_layer = Some((self.candidate.layer.clone(), copies));
        }
    }

    /// Leaves a local optimum if a better layer could pay for the copy of an
    /// expert.
    fn leave_local_optimum(
        &mut self,
        new_experts_by_rank: &mut [usize],
    ) -> LocalOptimum {
        let max_net_saving = self.initial_time
            - self.min_time
            - self.copy_cost * self.mean_load;
        if max_net_saving <= self.best_net_saving {
            return LocalOptimum::Kept;
        }
        self.candidate.leave_local_optimum(new_experts_by_rank)
    }
}

/// Returns the time of a step relative to perfect balance; 1 without load.
pub fn step_time_ratio_to_ideal(
    map: &Map,
    loads: &[Vec<f64>],
    speeds: &[f64],
) -> f64 {
    let ideal = ideal_step_time(loads, speeds);
    if ideal > 0.0 { step_time(map, loads, speeds) / ideal } else { 1.0 }
}

/// Returns the time of a step if the hosts of an expert share its load evenly:
/// the sum over all layers of the slowest rank's time.
pub fn step_time(map: &Map, loads: &[Vec<f64>], speeds: &[f64]) -> f64 {
    let layers = map.layers.iter().zip(loads);
    let slowest_rank_time = |(layer, loads): (&Layer, &Vec<f64>)| {
        rank_times(layer, loads, speeds).into_iter().fold(0.0, f64::max)
    };
    layers.map(slowest_rank_time).sum()
}
