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
//! no more than [`Config::with_max_new_per_rank`] over all layers: the layer that is
//! farthest from balance goes first, and the rest follows in the next map.
//! On ranks that need 0.4 s for an expert, and a demand that moves every
//! 4 s, the first map is in force after one copy rather than three.
//!
//! Weighed and not chosen: packing from nothing and walking there (it moves
//! some four times as many experts), and looking at the longest time alone
//! (the search ends at the first tie between two ranks).

use self::search::{Search, times};
use crate::map::{Layer, Map, Shape};

mod search;

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
    pub fn with_max_new_per_rank(self, burst: usize) -> Config {
        Config { burst, ..self }
    }

    /// What a copy costs, as a share of the mean load of a rank.
    pub fn with_copy_cost(self, price: f64) -> Config {
        Config { price, ..self }
    }

    /// What a layer has to save, as a share of its longest time.
    pub fn with_min_layer_saving(self, threshold: f64) -> Config {
        Config { threshold, ..self }
    }
}

/// A copy takes 15% of the pace for as long as it lasts and is charged. Played
/// against shifts every 4 s, 0.03 moved a third of the experts that 0.006 did,
/// at the same pace: what it leaves out is the last percents of balance.
const PRICE: f64 = 0.03;

/// Counts of half a second differ by some 2% by chance.
const THRESHOLD: f64 = 0.03;

/// What all layers together have to save, as a share of the step time. Each
/// change is a risk to the pace while orders go unanswered.
const LEAST: f64 = 0.04;

/// Changes tried in a layer. A rank takes a few experts, and few need to.
const TRIES: usize = 32;

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
    let mut map = present.clone();
    let mut moves = 0;
    for (layer, walk) in map.layers.iter_mut().zip(walks) {
        if let Some((better, copies)) = walk.best {
            *layer = better;
            moves += copies;
        }
    }
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
        // A layer that nothing is asked of stays as it is.
        let tries = if mean > 0.0 { 0 } else { TRIES };
        Walk { search, price, before, mean, best: None, value, tries }
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
        let copies = self.search.present.added_copies(&self.search.layer);
        let saving = self.before - self.search.longest();
        let worth = saving - self.price * self.mean * copies as f64;
        if worth > self.value {
            self.value = worth;
            self.best = Some((self.search.layer.clone(), copies));
        }
    }
}

/// The time of a step: each layer waits for its slowest rank.
pub fn step_time(map: &Map, loads: &[Vec<f64>], speeds: &[f64]) -> f64 {
    let layers = map.layers.iter().zip(loads);
    let longest = |(layer, loads): (&Layer, &Vec<f64>)| {
        times(layer, loads, speeds).into_iter().fold(0.0, f64::max)
    };
    layers.map(longest).sum()
}
