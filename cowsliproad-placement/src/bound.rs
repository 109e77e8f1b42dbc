//! A time that no map can beat.
//!
//! Two facts hold for every map of a layer that is done in time `t`. All
//! ranks together do at most `t` times their speeds. And a copy of an expert
//! does at most `t` times the fastest speed, so an expert needs so many
//! copies, and all copies have to fit into the slots. The least `t` that
//! both allow is a lower bound, though not always one that can be reached.

use crate::map::Shape;

/// Halvings of the interval that the bound is searched in.
const ROUNDS: usize = 50;

/// A time of a step that no map can beat.
pub fn min_step_time(shape: Shape, loads: &[Vec<f64>], speeds: &[f64]) -> f64 {
    loads.iter().map(|loads| layer(shape, loads, speeds)).sum()
}

fn layer(shape: Shape, loads: &[f64], speeds: &[f64]) -> f64 {
    let fastest = speeds.iter().copied().fold(0.0, f64::max);
    let total: f64 = loads.iter().sum();
    let spread = total / speeds.iter().sum::<f64>();
    let slots = (shape.ranks * shape.slots) as f64;
    let fits = |time: f64| {
        let copies =
            loads.iter().map(|load| (load / (time * fastest)).ceil().max(1.0));
        copies.sum::<f64>() <= slots
    };
    let (mut low, mut high) = (spread, spread + total);
    if fits(low) {
        return low;
    }
    for _ in 0..ROUNDS {
        let middle = (low + high) / 2.0;
        if fits(middle) {
            high = middle;
        } else {
            low = middle;
        }
    }
    low
}
