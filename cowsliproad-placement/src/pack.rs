//! Computes an expert map from scratch: spare slots go to copies of the most
//! loaded experts, then each copy, heaviest first, goes to the rank that would
//! finish it soonest.

use std::{cmp::Ordering, collections::BinaryHeap};

use crate::map::{Expert, Layer, Map, Rank, Shape};

/// Returns a packed map for these loads and rank speeds.
pub fn pack(shape: Shape, loads: &[Vec<f64>], speeds: &[f64]) -> Map {
    let layers = loads.iter().map(|loads| pack_layer(shape, loads, speeds));
    Map { layers: layers.collect() }
}

/// Returns one packed layer for these loads and rank speeds.
pub fn pack_layer(shape: Shape, loads: &[f64], speeds: &[f64]) -> Layer {
    let copy_counts = copy_counts(shape, loads);
    let mut by_weight: Vec<(f64, Expert)> = Vec::new();
    for (expert, count) in copy_counts.iter().enumerate() {
        let weight = loads[expert] / f64::from(*count);
        for _ in 0..*count {
            by_weight.push((weight, expert as Expert));
        }
    }
    by_weight.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    let mut layer = Layer::new(shape);
    let mut assigned = vec![0.0; shape.ranks];
    for (weight, expert) in by_weight {
        let free = (0..shape.ranks).filter(|rank| {
            let rank = *rank as Rank;
            layer.held(rank).len() < shape.slots && !layer.holds(rank, expert)
        });
        let finish_time =
            |rank: usize| (assigned[rank] + weight) / speeds[rank];
        let soonest =
            free.min_by(|a, b| finish_time(*a).total_cmp(&finish_time(*b)));
        // An additional copy that fits nowhere is dropped. The first copy of
        // an expert always fits, as there are at least as many slots as
        // experts.
        let Some(soonest) = soonest else { continue };
        assigned[soonest] += weight;
        layer.add(soonest as Rank, expert);
    }
    place_unhosted(shape, &mut layer);
    layer
}

/// Returns the number of copies to make of each expert.
fn copy_counts(shape: Shape, loads: &[f64]) -> Vec<u32> {
    let mut copy_counts = vec![1u32; shape.experts];
    let spare = (shape.ranks * shape.slots).saturating_sub(shape.experts);
    let mut heap: BinaryHeap<WeightedExpert> = loads
        .iter()
        .enumerate()
        .map(|(expert, load)| WeightedExpert { weight: *load, expert })
        .collect();
    for _ in 0..spare {
        let Some(heaviest) = heap.pop() else { break };
        let count = &mut copy_counts[heaviest.expert];
        if *count as usize >= shape.ranks {
            continue;
        }
        *count += 1;
        let weight = loads[heaviest.expert] / f64::from(*count);
        heap.push(WeightedExpert { weight, expert: heaviest.expert });
    }
    copy_counts
}

/// Places each expert without a host in the slot of a copy whose expert has
/// other hosts.
fn place_unhosted(shape: Shape, layer: &mut Layer) {
    for expert in 0..shape.experts as Expert {
        if !layer.hosts(expert).is_empty() {
            continue;
        }
        let spare = (0..shape.ranks as Rank).find_map(|rank| {
            let held = layer.held(rank);
            let replicated =
                held.iter().find(|it| layer.hosts(**it).len() > 1);
            replicated.map(|it| (rank, *it))
        });
        if let Some((rank, replaced)) = spare {
            layer.remove(rank, replaced);
            layer.add(rank, expert);
        }
    }
}

/// An expert ordered by its load per copy, for the heap of spare slots.
#[derive(PartialEq)]
struct WeightedExpert {
    weight: f64,
    expert: usize,
}

impl Eq for WeightedExpert {}

impl Ord for WeightedExpert {
    fn cmp(&self, other: &WeightedExpert) -> Ordering {
        let weight = self.weight.total_cmp(&other.weight);
        weight.then(other.expert.cmp(&self.expert))
    }
}

impl PartialOrd for WeightedExpert {
    fn partial_cmp(&self, other: &WeightedExpert) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
