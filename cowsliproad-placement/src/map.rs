//! The expert map of a group, and the time of a step under a map.

/// The index of a rank within its group.
pub type Rank = u16;

/// The index of an expert within its layer.
pub type Expert = u16;

/// The dimensions of a group's expert map.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shape {
    /// The number of ranks in the group.
    pub rank_count: usize,
    /// The number of experts in each layer.
    pub expert_count: usize,
    /// The number of layers.
    pub layer_count: usize,
    /// The number of experts that a rank can hold in each layer.
    pub slots_per_rank: usize,
}

/// The assignment of one layer's experts to ranks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Layer {
    /// The experts that each rank holds, indexed by rank.
    experts_by_rank: Vec<Vec<Expert>>,
    /// The ranks that hold each expert, indexed by expert.
    hosts_by_expert: Vec<Vec<Rank>>,
}

/// The expert map: the assignment of all layers' experts to ranks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Map {
    /// The assignment of experts to ranks in each layer.
    pub layers: Vec<Layer>,
}

impl Layer {
    /// Creates a layer in which no rank holds an expert.
    pub fn new(shape: Shape) -> Layer {
        Layer {
            experts_by_rank: vec![
                Vec::with_capacity(shape.slots_per_rank);
                shape.rank_count
            ],
            hosts_by_expert: vec![Vec::new(); shape.expert_count],
        }
    }

    /// Returns the number of ranks in the group.
    pub fn rank_count(&self) -> usize {
        self.experts_by_rank.len()
    }

    /// Returns the experts that a rank holds in this layer.
    pub fn experts_at(&self, rank: Rank) -> &[Expert] {
        &self.experts_by_rank[usize::from(rank)]
    }

    /// Returns the ranks that hold an expert of this layer.
    pub fn hosts(&self, expert: Expert) -> &[Rank] {
        &self.hosts_by_expert[usize::from(expert)]
    }

    /// Returns whether a rank holds an expert of this layer.
    pub fn holds(&self, rank: Rank, expert: Expert) -> bool {
        self.experts_at(rank).contains(&expert)
    }

    /// Adds a copy of an expert to a rank that does not hold it.
    pub fn add_copy(&mut self, rank: Rank, expert: Expert) {
        debug_assert!(!self.holds(rank, expert));
        self.experts_by_rank[usize::from(rank)].push(expert);
        self.hosts_by_expert[usize::from(expert)].push(rank);
    }

    /// Removes a rank's copy of an expert.
    pub fn remove_copy(&mut self, rank: Rank, expert: Expert) {
        self.experts_by_rank[usize::from(rank)].retain(|it| *it != expert);
        self.hosts_by_expert[usize::from(expert)].retain(|it| *it != rank);
    }

    /// Returns the time that each rank needs for this layer.
    pub fn rank_times(&self, loads: &[f64], speeds: &[f64]) -> Vec<f64> {
        let mut rank_times = vec![0.0; self.experts_by_rank.len()];
        for (expert, hosts) in self.hosts_by_expert.iter().enumerate() {
            let time = time_per_host(loads[expert], hosts, speeds);
            for host in hosts {
                rank_times[usize::from(*host)] += time;
            }
        }
        rank_times
    }

    /// Returns the time that the slowest rank needs for this layer.
    pub fn slowest_rank_time(&self, loads: &[f64], speeds: &[f64]) -> f64 {
        self.rank_times(loads, speeds).into_iter().fold(0.0, f64::max)
    }

    /// Returns the number of copies of experts that `other` has at ranks that
    /// don't hold these experts in this layer.
    pub fn count_added_copies(&self, other: &Layer) -> usize {
        let ranks = 0..self.experts_by_rank.len() as Rank;
        ranks.map(|rank| self.count_added_copies_at(rank, other)).sum()
    }

    /// Returns the number of experts that a rank holds in `other` but not in
    /// this layer.
    pub fn count_added_copies_at(&self, rank: Rank, other: &Layer) -> usize {
        let others = other.experts_at(rank).iter();
        others.filter(|it| !self.holds(rank, **it)).count()
    }

    /// Returns whether every expert has a host and no rank holds more experts
    /// than it has slots.
    pub fn is_valid(&self, shape: Shape) -> bool {
        let all_hosted =
            self.hosts_by_expert.iter().all(|hosts| !hosts.is_empty());
        let is_within_slots = self
            .experts_by_rank
            .iter()
            .all(|held| held.len() <= shape.slots_per_rank);
        let is_consistent =
            self.experts_by_rank.iter().enumerate().all(|(rank, held)| {
                held.iter().all(|it| self.hosts(*it).contains(&(rank as Rank)))
            });
        all_hosted && is_within_slots && is_consistent
    }
}

impl Map {
    /// Returns the map that assigns experts to ranks in round-robin order,
    /// one copy each.
    pub fn round_robin(shape: Shape) -> Map {
        let mut layer = Layer::new(shape);
        for expert in 0..shape.expert_count {
            layer.add_copy(
                (expert % shape.rank_count) as Rank,
                expert as Expert,
            );
        }
        Map { layers: vec![layer; shape.layer_count] }
    }

    /// Builds a map from lists of the experts that ranks hold, indexed by
    /// layer and then by rank; `None` if the lists don't make a valid map of
    /// this shape.
    pub fn from_experts(
        shape: Shape,
        experts: &[Vec<Vec<Expert>>],
    ) -> Option<Map> {
        let mut layers = Vec::with_capacity(shape.layer_count);
        for ranks in experts {
            let mut layer = Layer::new(shape);
            for (rank, held) in ranks.iter().enumerate() {
                for &expert in held {
                    let is_known = usize::from(expert) < shape.expert_count;
                    if rank >= shape.rank_count || !is_known {
                        return None;
                    }
                    if !layer.holds(rank as Rank, expert) {
                        layer.add_copy(rank as Rank, expert);
                    }
                }
            }
            layers.push(layer);
        }
        let is_valid = layers.len() == shape.layer_count
            && layers.iter().all(|it| it.is_valid(shape));
        is_valid.then_some(Map { layers })
    }

    /// Returns lists of the experts that ranks hold, indexed by layer and then
    /// by rank.
    pub fn experts_by_layer_and_rank(&self) -> Vec<Vec<Vec<Expert>>> {
        let layers = self.layers.iter();
        layers.map(|layer| layer.experts_by_rank.clone()).collect()
    }

    /// Returns the time of a step: the sum over all layers of the slowest
    /// rank's time.
    pub fn step_time(&self, loads: &[Vec<f64>], speeds: &[f64]) -> f64 {
        let layers = self.layers.iter().zip(loads);
        layers
            .map(|(layer, loads)| layer.slowest_rank_time(loads, speeds))
            .sum()
    }

    /// Returns the number of copies of experts that ranks have to receive to
    /// switch from this map to another.
    pub fn count_moves_to(&self, other: &Map) -> usize {
        let pairs = self.layers.iter().zip(&other.layers);
        pairs.map(|(own, others)| own.count_added_copies(others)).sum()
    }
}

/// Returns the time that an expert takes on each of its hosts, the ranks that
/// hold the expert. The hosts share the expert's tokens in proportion to their
/// speeds, so all hosts take the same time.
pub fn time_per_host(load: f64, hosts: &[Rank], speeds: &[f64]) -> f64 {
    let speed: f64 = hosts.iter().map(|it| speeds[usize::from(*it)]).sum();
    load / speed
}

/// Returns the time of a step under perfect balance: all ranks share all load
/// in proportion to their speed.
pub fn ideal_step_time(loads: &[Vec<f64>], speeds: &[f64]) -> f64 {
    let speed: f64 = speeds.iter().sum();
    loads.iter().flatten().sum::<f64>() / speed
}
