//! The expert map and the time of a step under it.

/// A rank of a group.
pub type Rank = u16;

/// An expert of a layer.
pub type Expert = u16;

/// The sizes of a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shape {
    /// Ranks.
    pub ranks: usize,
    /// Experts in each layer.
    pub experts: usize,
    /// Layers.
    pub layers: usize,
    /// Experts that a rank can hold in each layer.
    pub slots: usize,
}

/// Where the experts of one layer are.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Layer {
    /// The experts that each rank holds, by rank.
    held: Vec<Vec<Expert>>,
    /// The ranks that hold each expert, by expert.
    hosts: Vec<Vec<Rank>>,
}

/// Where the experts of all layers are.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Map {
    /// The layers.
    pub layers: Vec<Layer>,
}

impl Layer {
    /// A layer in which no rank holds anything.
    pub fn new(shape: Shape) -> Layer {
        Layer {
            held: vec![Vec::with_capacity(shape.slots); shape.ranks],
            hosts: vec![Vec::new(); shape.experts],
        }
    }

    /// The number of ranks.
    pub fn ranks(&self) -> usize {
        self.held.len()
    }

    /// The experts that a rank holds.
    pub fn held(&self, rank: Rank) -> &[Expert] {
        &self.held[usize::from(rank)]
    }

    /// The ranks that hold an expert.
    pub fn hosts(&self, expert: Expert) -> &[Rank] {
        &self.hosts[usize::from(expert)]
    }

    /// Whether a rank holds an expert.
    pub fn holds(&self, rank: Rank, expert: Expert) -> bool {
        self.held(rank).contains(&expert)
    }

    /// Gives an expert to a rank that does not hold it.
    pub fn add(&mut self, rank: Rank, expert: Expert) {
        debug_assert!(!self.holds(rank, expert));
        self.held[usize::from(rank)].push(expert);
        self.hosts[usize::from(expert)].push(rank);
    }

    /// Takes an expert from a rank.
    pub fn remove(&mut self, rank: Rank, expert: Expert) {
        self.held[usize::from(rank)].retain(|it| *it != expert);
        self.hosts[usize::from(expert)].retain(|it| *it != rank);
    }

    /// The time that each rank needs.
    pub fn rank_times(&self, loads: &[f64], speeds: &[f64]) -> Vec<f64> {
        let mut times = vec![0.0; self.held.len()];
        for (expert, hosts) in self.hosts.iter().enumerate() {
            let each = time_per_host(loads[expert], hosts, speeds);
            for host in hosts {
                times[usize::from(*host)] += each;
            }
        }
        times
    }

    /// The time that the slowest rank needs.
    pub fn slowest_time(&self, loads: &[f64], speeds: &[f64]) -> f64 {
        self.rank_times(loads, speeds).into_iter().fold(0.0, f64::max)
    }

    /// Copies that `other` has and this layer hasn't.
    pub fn added_copies(&self, other: &Layer) -> usize {
        let ranks = 0..self.held.len() as Rank;
        ranks.map(|rank| self.added_at(rank, other)).sum()
    }

    /// Those of one rank.
    pub fn added_at(&self, rank: Rank, other: &Layer) -> usize {
        let theirs = other.held(rank).iter();
        theirs.filter(|it| !self.holds(rank, **it)).count()
    }

    /// Whether each expert is held and no rank holds too many.
    pub fn is_valid(&self, shape: Shape) -> bool {
        let placed = self.hosts.iter().all(|hosts| !hosts.is_empty());
        let fits = self.held.iter().all(|held| held.len() <= shape.slots);
        let agrees = self.held.iter().enumerate().all(|(rank, held)| {
            held.iter().all(|it| self.hosts(*it).contains(&(rank as Rank)))
        });
        placed && fits && agrees
    }
}

impl Map {
    /// The map in which experts are dealt to ranks in turn, with nothing held
    /// twice.
    pub fn round_robin(shape: Shape) -> Map {
        let mut layer = Layer::new(shape);
        for expert in 0..shape.experts {
            layer.add((expert % shape.ranks) as Rank, expert as Expert);
        }
        Map { layers: vec![layer; shape.layers] }
    }

    /// A map from the experts of each rank, by layer; `None` unless it is
    /// one of this shape.
    pub fn from_experts(
        shape: Shape,
        experts: &[Vec<Vec<Expert>>],
    ) -> Option<Map> {
        let mut layers = Vec::with_capacity(shape.layers);
        for ranks in experts {
            let mut layer = Layer::new(shape);
            for (rank, held) in ranks.iter().enumerate() {
                for &expert in held {
                    let known = usize::from(expert) < shape.experts;
                    if rank >= shape.ranks || !known {
                        return None;
                    }
                    if !layer.holds(rank as Rank, expert) {
                        layer.add(rank as Rank, expert);
                    }
                }
            }
            layers.push(layer);
        }
        let fits = layers.len() == shape.layers
            && layers.iter().all(|it| it.is_valid(shape));
        fits.then_some(Map { layers })
    }

    /// The experts of each rank, by layer.
    pub fn experts(&self) -> Vec<Vec<Vec<Expert>>> {
        let layers = self.layers.iter();
        layers.map(|layer| layer.held.clone()).collect()
    }

    /// The time of a step: each layer waits for its slowest rank.
    pub fn step_time(&self, loads: &[Vec<f64>], speeds: &[f64]) -> f64 {
        let layers = self.layers.iter().zip(loads);
        layers.map(|(layer, loads)| layer.slowest_time(loads, speeds)).sum()
    }

    /// Copies to be moved to come from this map to another.
    pub fn moves_to(&self, other: &Map) -> usize {
        let pairs = self.layers.iter().zip(&other.layers);
        pairs.map(|(own, theirs)| own.added_copies(theirs)).sum()
    }
}

/// The time that an expert costs each of its hosts: its tokens go to them
/// in proportion to their speed, so all need equally long.
pub fn time_per_host(load: f64, hosts: &[Rank], speeds: &[f64]) -> f64 {
    let speed: f64 = hosts.iter().map(|it| speeds[usize::from(*it)]).sum();
    load / speed
}

/// The time of a step if all work were spread over all ranks by speed.
pub fn ideal_time(loads: &[Vec<f64>], speeds: &[f64]) -> f64 {
    let speed: f64 = speeds.iter().sum();
    loads.iter().flatten().sum::<f64>() / speed
}
