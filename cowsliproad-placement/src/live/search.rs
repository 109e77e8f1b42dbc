//! Finds the changes of a layer that best relieve its most loaded rank.
//!
//! At a local optimum no single change lowers the sum of the eighth powers of
//! all ranks' times. An example is a popular expert alone at its rank, if the
//! least loaded rank has no slot for a copy. Two or three changes together may
//! still help, of which the first one does harm. The search tries the least
//! harmful first changes, each followed by the best changes.

use super::LivePlanConfig;
use crate::map::{Expert, Layer, Rank, Shape};

/// The exponent of the ranks' times in the sum that the search minimizes.
const RANK_TIME_EXPONENT: i32 = 8;

/// The maximum number of first changes that the search tries at a local
/// optimum.
const MAX_FIRST_CHANGES: usize = 16;

/// The maximum number of changes, the first one included, that lead from a local
/// optimum to a better layer.
const MAX_CHANGES_TO_LEAVE_OPTIMUM: usize = 4;

/// The minimum decrease of the sum of powers, as a share, that counts as a
/// better layer. It exceeds rounding errors.
const MIN_IMBALANCE_DECREASE: f64 = 1e-6;

/// Whether the search left a local optimum.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LocalOptimum {
    /// The layer is better balanced than at the local optimum.
    Left,
    /// The layer is unchanged.
    Kept,
}

/// A change of the hosts of one or two experts of a layer. A host of an expert
/// is a rank that holds the expert.
#[derive(Clone, Copy, Debug)]
pub(super) struct HostChange {
    /// The rank to be relieved.
    relieved: Rank,
    /// The expert to be copied, moved, swapped or dropped.
    expert: Expert,
    /// The rank that receives the expert; for a drop, the rank to be relieved.
    receiver: Rank,
    /// The expert whose slot at the receiving rank is reused; `None` if the
    /// rank has a free slot.
    replaced: Option<Expert>,
    /// Whether the change copies, moves, swaps or drops the expert.
    kind: ChangeKind,
}

/// The way in which a [`HostChange`] changes the ranks that hold an expert.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ChangeKind {
    /// The relieved and the receiving rank both hold the expert afterwards.
    Copy,
    /// The receiving rank holds the expert afterwards instead of the relieved
    /// rank.
    Move,
    /// The relieved and the receiving rank exchange one expert each.
    Swap,
    /// The relieved rank gives up an expert that other ranks hold too.
    Drop,
}

/// Returns the time of each rank in a layer. The hosts of an expert share its
/// load evenly, whatever their speed.
pub(super) fn rank_times(
    layer: &Layer,
    loads: &[f64],
    speeds: &[f64],
) -> Vec<f64> {
    let mut rank_times = vec![0.0; speeds.len()];
    for (expert, load) in loads.iter().enumerate() {
        let hosts = layer.hosts(expert as Expert);
        for host in hosts {
            let rank = usize::from(*host);
            rank_times[rank] += load / hosts.len() as f64 / speeds[rank];
        }
    }
    rank_times
}

/// A layer under local search, with the times of its ranks.
#[derive(Clone)]
pub(super) struct CandidateLayer<'a> {
    shape: Shape,
    max_new_experts_per_layer: usize,
    max_new_experts_per_rank: usize,
    pub(super) present: &'a Layer,
    loads: &'a [f64],
    speeds: &'a [f64],
    pub(super) layer: Layer,
    rank_times: Vec<f64>,
}

impl<'a> CandidateLayer<'a> {
    pub(super) fn new(
        shape: Shape,
        config: LivePlanConfig,
        present: &'a Layer,
        loads: &'a [f64],
        speeds: &'a [f64],
    ) -> CandidateLayer<'a> {
        let rank_times = rank_times(present, loads, speeds);
        let layer = present.clone();
        let LivePlanConfig {
            max_new_experts_per_layer,
            max_new_experts_per_rank,
            ..
        } = config;
        CandidateLayer {
            shape,
            max_new_experts_per_layer,
            max_new_experts_per_rank,
            present,
            loads,
            speeds,
            layer,
            rank_times,
        }
    }

    /// Returns the slowest rank's time in the layer under search.
    pub(super) fn slowest_rank_time(&self) -> f64 {
        self.rank_times.iter().copied().fold(0.0, f64::max)
    }

    /// Returns the sum of the eighth powers of all ranks' times, which the
    /// search minimizes.
    fn imbalance(&self) -> f64 {
        self.rank_times.iter().map(|it| it.powi(RANK_TIME_EXPONENT)).sum()
    }

    /// Returns the change that best relieves the slowest rank, by the sum of
    /// the eighth powers of all ranks' times; `None` if no change lowers it.
    pub(super) fn best_host_change(
        &self,
        new_experts_by_rank: &[usize],
    ) -> Option<HostChange> {
        let mut best: Option<(f64, HostChange)> = None;
        self.for_each_host_change(new_experts_by_rank, |change| {
            let balance_gain = self.balance_gain(change);
            if balance_gain > best.as_ref().map_or(0.0, |it| it.0) {
                best = Some((balance_gain, change));
            }
        });
        best.map(|it| it.1)
    }

    /// Leaves a local optimum: applies a change that slows the layer at first,
    /// and then the best changes that follow until the layer is better
    /// balanced than before. Without such a sequence the layer stays
    /// unchanged.
    pub(super) fn leave_local_optimum(
        &mut self,
        new_experts_by_rank: &mut [usize],
    ) -> LocalOptimum {
        let target = self.imbalance() * (1.0 - MIN_IMBALANCE_DECREASE);
        for first_change in self.least_harmful_changes(new_experts_by_rank) {
            let mut candidate = self.clone();
            let mut new_experts = new_experts_by_rank.to_vec();
            let mut next_change = Some(first_change);
            for _ in 0..MAX_CHANGES_TO_LEAVE_OPTIMUM {
                let Some(change) = next_change else { break };
                candidate.apply_host_change(change, &mut new_experts);
                if candidate.imbalance() < target {
                    *self = candidate;
                    new_experts_by_rank.copy_from_slice(&new_experts);
                    return LocalOptimum::Left;
                }
                next_change = candidate.best_host_change(&new_experts);
            }
        }
        LocalOptimum::Kept
    }

    /// Returns the least harmful changes, least harm first: for each expert of
    /// the slowest rank and each receiver at most one.
    fn least_harmful_changes(
        &self,
        new_experts_by_rank: &[usize],
    ) -> Vec<HostChange> {
        let mut changes: Vec<(f64, HostChange)> = Vec::new();
        // The changes of an expert and a receiver follow one another.
        self.for_each_host_change(new_experts_by_rank, |change| {
            let balance_gain = self.balance_gain(change);
            match changes.last_mut() {
                Some((known_gain, known))
                    if known.expert == change.expert
                        && known.receiver == change.receiver =>
                {
                    if balance_gain > *known_gain {
                        (*known_gain, *known) = (balance_gain, change);
                    }
                }
                _ => changes.push((balance_gain, change)),
            }
        });
        changes.sort_by(|a, b| b.0.total_cmp(&a.0));
        changes.truncate(MAX_FIRST_CHANGES);
        changes.into_iter().map(|it| it.1).collect()
    }

    /// Calls `consider` with every allowed change that relieves the slowest
    /// rank.
    fn for_each_host_change(
        &self,
        new_experts_by_rank: &[usize],
        mut consider: impl FnMut(HostChange),
    ) {
        let ranks = 0..self.shape.rank_count as Rank;
        let by_time = |a: &Rank, b: &Rank| {
            self.rank_time(*a).total_cmp(&self.rank_time(*b))
        };
        let Some(relieved) = ranks.clone().max_by(by_time) else { return };
        for &expert in self.layer.experts_at(relieved) {
            if self.layer.hosts(expert).len() > 1 {
                consider(HostChange {
                    relieved,
                    expert,
                    receiver: relieved,
                    replaced: None,
                    kind: ChangeKind::Drop,
                });
            }
            for receiver in ranks.clone() {
                if receiver == relieved || self.layer.holds(receiver, expert) {
                    continue;
                }
                if self.remaining_new_expert_quota(
                    receiver,
                    expert,
                    new_experts_by_rank,
                ) == 0
                {
                    continue;
                }
                self.for_each_change_to_receiver(
                    relieved,
                    expert,
                    receiver,
                    new_experts_by_rank,
                    &mut consider,
                );
            }
        }
    }

    /// Calls `consider` with every allowed change that brings `expert` to rank
    /// `receiver`.
    fn for_each_change_to_receiver(
        &self,
        relieved: Rank,
        expert: Expert,
        receiver: Rank,
        new_experts_by_rank: &[usize],
        consider: &mut impl FnMut(HostChange),
    ) {
        let mut consider_kind = |kind, replaced| {
            consider(HostChange {
                relieved,
                expert,
                receiver,
                replaced,
                kind,
            });
        };
        if self.layer.experts_at(receiver).len() < self.shape.slots_per_rank {
            consider_kind(ChangeKind::Copy, None);
            consider_kind(ChangeKind::Move, None);
            return;
        }
        for &replaced in self.layer.experts_at(receiver) {
            if self.layer.hosts(replaced).len() > 1 {
                consider_kind(ChangeKind::Copy, Some(replaced));
            }
            let can_return = !self.layer.holds(relieved, replaced)
                && self.remaining_new_expert_quota(
                    relieved,
                    replaced,
                    new_experts_by_rank,
                ) > 0;
            if can_return {
                consider_kind(ChangeKind::Swap, Some(replaced));
            }
        }
    }

    /// Returns how many more new experts a rank may receive. No limit applies
    /// to an expert that the rank holds in the present map.
    fn remaining_new_expert_quota(
        &self,
        rank: Rank,
        expert: Expert,
        new_experts_by_rank: &[usize],
    ) -> usize {
        if self.present.holds(rank, expert) {
            return usize::MAX;
        }
        let in_layer = self
            .max_new_experts_per_layer
            .saturating_sub(self.count_new_experts(rank));
        in_layer.min(
            self.max_new_experts_per_rank
                .saturating_sub(new_experts_by_rank[usize::from(rank)]),
        )
    }

    /// Returns the number of experts that a rank holds in the planned layer
    /// but not in the present layer.
    fn count_new_experts(&self, rank: Rank) -> usize {
        self.present.count_added_copies_at(rank, &self.layer)
    }

    /// Returns by how much a change lowers the sum of the eighth powers
    /// ([`RANK_TIME_EXPONENT`]) of all ranks' times.
    fn balance_gain(&self, change: HostChange) -> f64 {
        let mut deltas = RankTimeDeltas::new(self.speeds);
        let hosts = self.layer.hosts(change.expert);
        let load = self.loads[usize::from(change.expert)];
        let old = load / hosts.len() as f64;
        let is_removed = change.kind != ChangeKind::Copy;
        let is_added = change.kind != ChangeKind::Drop;
        let count =
            hosts.len() + usize::from(is_added) - usize::from(is_removed);
        let new = load / count as f64;
        for &host in hosts {
            let stays = !(is_removed && host == change.relieved);
            deltas.add_load(host, if stays { new - old } else { -old });
        }
        if is_added {
            deltas.add_load(change.receiver, new);
        }
        if let Some(replaced) = change.replaced {
            let hosts = self.layer.hosts(replaced);
            let load = self.loads[usize::from(replaced)];
            let old = load / hosts.len() as f64;
            let is_swap = change.kind == ChangeKind::Swap;
            let count = hosts.len() - usize::from(!is_swap);
            let new = load / count as f64;
            for &host in hosts {
                let is_removed = host == change.receiver;
                deltas
                    .add_load(host, if is_removed { -old } else { new - old });
            }
            if is_swap {
                deltas.add_load(change.relieved, new);
            }
        }
        deltas
            .iter()
            .map(|(rank, delta)| {
                let time = self.rank_time(rank);
                time.powi(RANK_TIME_EXPONENT)
                    - (time + delta).max(0.0).powi(RANK_TIME_EXPONENT)
            })
            .sum()
    }

    /// Applies a change and updates the counts of new experts by rank.
    pub(super) fn apply_host_change(
        &mut self,
        change: HostChange,
        new_experts_by_rank: &mut [usize],
    ) {
        let HostChange { relieved, receiver, .. } = change;
        // For a drop, the relieved and the receiving rank are the same,
        // and the rank's new experts may be subtracted and added only once.
        let ranks = &[relieved, receiver][usize::from(relieved == receiver)..];
        for &rank in ranks {
            new_experts_by_rank[usize::from(rank)] -=
                self.count_new_experts(rank);
        }
        self.move_copies_in_layer(change);
        for &rank in ranks {
            new_experts_by_rank[usize::from(rank)] +=
                self.count_new_experts(rank);
        }
        self.rank_times = rank_times(&self.layer, self.loads, self.speeds);
    }

    fn move_copies_in_layer(&mut self, change: HostChange) {
        let HostChange { relieved, expert, receiver, replaced, kind } = change;
        if let Some(replaced) = replaced {
            self.layer.remove_copy(receiver, replaced);
            if kind == ChangeKind::Swap {
                self.layer.add_copy(relieved, replaced);
            }
        }
        if kind != ChangeKind::Copy {
            self.layer.remove_copy(relieved, expert);
        }
        if kind != ChangeKind::Drop {
            self.layer.add_copy(receiver, expert);
        }
    }

    fn rank_time(&self, rank: Rank) -> f64 {
        self.rank_times[usize::from(rank)]
    }
}

/// The differences that a change of a layer makes to the times of the affected
/// ranks.
struct RankTimeDeltas<'a> {
    speeds: &'a [f64],
    deltas_by_rank: Vec<(Rank, f64)>,
}

impl RankTimeDeltas<'_> {
    fn new(speeds: &[f64]) -> RankTimeDeltas<'_> {
        RankTimeDeltas { speeds, deltas_by_rank: Vec::with_capacity(8) }
    }

    fn add_load(&mut self, rank: Rank, load: f64) {
        let delta = load / self.speeds[usize::from(rank)];
        match self.deltas_by_rank.iter_mut().find(|it| it.0 == rank) {
            Some(entry) => entry.1 += delta,
            None => self.deltas_by_rank.push((rank, delta)),
        }
    }

    fn iter(&self) -> impl Iterator<Item = (Rank, f64)> {
        self.deltas_by_rank.iter().copied()
    }
}
