//! Finds the change of a layer that best relieves its most loaded rank.

use super::Config;
use crate::map::{Expert, Layer, Rank, Shape};

/// The exponent of the ranks' times in the sum that the search minimizes.
const TIME_EXPONENT: i32 = 8;

/// A change of the hosts of one or two experts of a layer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Change {
    /// The rank to be relieved.
    from: Rank,
    /// The expert to be copied, moved, swapped or dropped.
    expert: Expert,
    /// The rank that receives the expert; for a drop, the relieved rank.
    to: Rank,
    /// The expert whose slot is reused at the receiving rank, if it has no
    /// free slot.
    other: Option<Expert>,
    kind: Kind,
}

/// How a change treats the hosts of its experts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    /// Both ranks hold the expert afterwards.
    Copy,
    /// Only the receiving rank holds the expert afterwards.
    Move,
    /// The two ranks exchange one expert each.
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
pub(super) struct CandidateLayer<'a> {
    shape: Shape,
    max_new_per_layer: usize,
    max_new_per_rank: usize,
    pub(super) present: &'a Layer,
    loads: &'a [f64],
    speeds: &'a [f64],
    pub(super) layer: Layer,
    rank_times: Vec<f64>,
}

impl<'a> CandidateLayer<'a> {
    pub(super) fn new(
        shape: Shape,
        config: Config,
        present: &'a Layer,
        loads: &'a [f64],
        speeds: &'a [f64],
    ) -> CandidateLayer<'a> {
        let rank_times = rank_times(present, loads, speeds);
        let layer = present.clone();
        let Config { max_new_per_layer, max_new_per_rank, .. } = config;
        CandidateLayer {
            shape,
            max_new_per_layer,
            max_new_per_rank,
            present,
            loads,
            speeds,
            layer,
            rank_times,
        }
    }

    /// Returns the slowest rank's time.
    pub(super) fn slowest_time(&self) -> f64 {
        self.rank_times.iter().copied().fold(0.0, f64::max)
    }

    /// Returns the change that best relieves the most loaded rank.
    pub(super) fn best_change(&self, new_by_rank: &[usize]) -> Option<Change> {
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
                if to == from || self.layer.holds(to, expert) {
                    continue;
                }
                if self.remaining_new_experts(to, expert, new_by_rank) == 0 {
                    continue;
                }
                self.consider_changes_to(
                    from,
                    expert,
                    to,
                    new_by_rank,
                    &mut best,
                );
            }
        }
        best.map(|it| it.1)
    }

    /// Considers every change that brings `expert` to rank `to`.
    fn consider_changes_to(
        &self,
        from: Rank,
        expert: Expert,
        to: Rank,
        new_by_rank: &[usize],
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
            let can_return = !self.layer.holds(from, other)
                && self.remaining_new_experts(from, other, new_by_rank) > 0;
            if can_return {
                consider(Kind::Swap, Some(other));
            }
        }
    }

    /// Returns how many more new experts a rank may receive; no limit applies
    /// to an expert that the rank holds in the present map.
    fn remaining_new_experts(
        &self,
        rank: Rank,
        expert: Expert,
        new_by_rank: &[usize],
    ) -> usize {
        if self.present.holds(rank, expert) {
            return usize::MAX;
        }
        let in_layer =
            self.max_new_per_layer.saturating_sub(self.new_experts(rank));
        in_layer.min(
            self.max_new_per_rank
                .saturating_sub(new_by_rank[usize::from(rank)]),
        )
    }

    /// Returns the number of experts that are new to a rank in this layer.
    fn new_experts(&self, rank: Rank) -> usize {
        self.present.added_copies_at(rank, &self.layer)
    }

    /// Returns by how much a change lowers the sum of the powers of all ranks'
    /// times.
    fn gain(&self, change: Change) -> f64 {
        let mut deltas = TimeDeltas::new(self.speeds);
        let hosts = self.layer.hosts(change.expert);
        let load = self.loads[usize::from(change.expert)];
        let old = load / hosts.len() as f64;
        let is_removed = change.kind != Kind::Copy;
        let is_added = change.kind != Kind::Drop;
        let count =
            hosts.len() + usize::from(is_added) - usize::from(is_removed);
        let new = load / count as f64;
        for &host in hosts {
            let stays = !(is_removed && host == change.from);
            deltas.add(host, if stays { new - old } else { -old });
        }
        if is_added {
            deltas.add(change.to, new);
        }
        if let Some(other) = change.other {
            let hosts = self.layer.hosts(other);
            let load = self.loads[usize::from(other)];
            let old = load / hosts.len() as f64;
            let is_swap = change.kind == Kind::Swap;
            let count = hosts.len() - usize::from(!is_swap);
            let new = load / count as f64;
            for &host in hosts {
                let is_removed = host == change.to;
                deltas.add(host, if is_removed { -old } else { new - old });
            }
            if is_swap {
                deltas.add(change.from, new);
            }
        }
        deltas
            .iter()
            .map(|(rank, delta)| {
                let time = self.time(rank);
                time.powi(TIME_EXPONENT)
                    - (time + delta).max(0.0).powi(TIME_EXPONENT)
            })
            .sum()
    }

    /// Applies a change and updates the counts of new experts by rank.
    pub(super) fn apply(&mut self, change: Change, new_by_rank: &mut [usize]) {
        let Change { from, to, .. } = change;
        // For a drop, `from` and `to` are the same rank.
        let ranks = &[from, to][usize::from(from == to)..];
        for &rank in ranks {
            new_by_rank[usize::from(rank)] -= self.new_experts(rank);
        }
        self.update_layer(change);
        for &rank in ranks {
            new_by_rank[usize::from(rank)] += self.new_experts(rank);
        }
        self.rank_times = rank_times(&self.layer, self.loads, self.speeds);
    }

    fn update_layer(&mut self, change: Change) {
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
        self.rank_times[usize::from(rank)]
    }
}

/// Replaces the best change if this one has a larger gain.
fn consider(
    candidate: &CandidateLayer,
    change: Change,
    best: &mut Option<(f64, Change)>,
) {
    let gain = candidate.gain(change);
    if gain > best.as_ref().map_or(0.0, |it| it.0) {
        *best = Some((gain, change));
    }
}

/// The differences that a change makes to the times of the ranks it affects.
struct TimeDeltas<'a> {
    speeds: &'a [f64],
    ranks: Vec<(Rank, f64)>,
}

impl TimeDeltas<'_> {
    fn new(speeds: &[f64]) -> TimeDeltas<'_> {
        TimeDeltas { speeds, ranks: Vec::with_capacity(8) }
    }

    fn add(&mut self, rank: Rank, load: f64) {
        let delta = load / self.speeds[usize::from(rank)];
        match self.ranks.iter_mut().find(|it| it.0 == rank) {
            Some(entry) => entry.1 += delta,
            None => self.ranks.push((rank, delta)),
        }
    }

    fn iter(&self) -> impl Iterator<Item = (Rank, f64)> {
        self.ranks.iter().copied()
    }
}
