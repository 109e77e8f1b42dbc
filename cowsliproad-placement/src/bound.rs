//! A lower bound on the step time over all expert maps.
//!
//! Two conditions hold for every map under which a layer finishes in time `t`.
//! The total load is at most `t` times the sum of the ranks' speeds. And one
//! copy of an expert processes at most `t` times the fastest speed, which
//! gives a minimum number of copies for each expert, and all copies have to
//! fit into the slots. The least `t` that meets both conditions is a lower
//! bound, which not every load can reach.

use crate::map::Shape;

/// The number of bisections of the interval that contains the lower bound on a
/// layer's time.
const BISECTION_COUNT: usize = 50;

/// Returns a lower bound on the time of a step over all expert maps of this
/// shape.
pub fn min_step_time(shape: Shape, loads: &[Vec<f64>], speeds: &[f64]) -> f64 {
    loads.iter().map(|loads| min_layer_time(shape, loads, speeds)).sum()
}

/// Returns a lower bound on the time of one layer over all maps.
pub(crate) fn min_layer_time(
    shape: Shape,
    loads: &[f64],
    speeds: &[f64],
) -> f64 {
    let fastest = speeds.iter().copied().fold(0.0, f64::max);
    let total: f64 = loads.iter().sum();
    let balanced = total / speeds.iter().sum::<f64>();
    let slots = (shape.rank_count * shape.slots_per_rank) as f64;
    let is_feasible = |time: f64| {
        let copies =
            loads.iter().map(|load| (load / (time * fastest)).ceil().max(1.0));
        copies.sum::<f64>() <= slots
    };
    let (mut low, mut high) = (balanced, balanced + total);
    if is_feasible(low) {
        return low;
    }
    for _ in 0..BISECTION_COUNT {
        let middle = (low + high) / 2.0;
        if is_feasible(middle) {
            high = middle;
        } else {
            low = middle;
        }
    }
    low
}
