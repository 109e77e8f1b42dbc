//! The change of a layer that relieves its most loaded rank best.

use super::Config;
use crate::map::{Expert, Layer, Rank, Shape};

/// The power of the loads that are summed.
const POWER: i32 = 8;

/// A change of a layer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Change {
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
pub(super) fn times(layer: &Layer, loads: &[f64], speeds: &[f64]) -> Vec<f64> {
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

pub(super) struct Search<'a> {
    shape: Shape,
    spare: usize,
    burst: usize,
    pub(super) present: &'a Layer,
    loads: &'a [f64],
    speeds: &'a [f64],
    pub(super) layer: Layer,
    times: Vec<f64>,
}

impl<'a> Search<'a> {
    pub(super) fn new(
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

    pub(super) fn longest(&self) -> f64 {
        self.times.iter().copied().fold(0.0, f64::max)
    }

    /// The change that relieves the most loaded rank best.
    pub(super) fn relief(&self, taken: &[usize]) -> Option<Change> {
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
            let comes_back = !self.layer.holds(from, other)
                && self.room(from, other, taken) > 0;
            if comes_back {
                consider(Kind::Swap, Some(other));
            }
        }
    }

    /// How many more new experts a rank may get, if this one is new to it.
    fn room(&self, rank: Rank, expert: Expert, taken: &[usize]) -> usize {
        if self.present.holds(rank, expert) {
            return usize::MAX;
        }
        let here = self.spare.saturating_sub(self.news(rank));
        here.min(self.burst.saturating_sub(taken[usize::from(rank)]))
    }

    /// What is new to a rank in this layer.
    fn news(&self, rank: Rank) -> usize {
        self.present.added_at(rank, &self.layer)
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

    pub(super) fn make(&mut self, change: Change, taken: &mut [usize]) {
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
