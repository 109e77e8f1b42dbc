//! A map from nothing: spare slots go to the hottest experts, then the
//! heaviest copies go first to the rank that will be done soonest.

use std::{cmp::Ordering, collections::BinaryHeap};

use crate::map::{Expert, Layer, Map, Rank, Shape};

/// Packs every layer.
pub fn pack(shape: Shape, loads: &[Vec<f64>], speeds: &[f64]) -> Map {
    let layers = loads.iter().map(|loads| pack_layer(shape, loads, speeds));
    Map { layers: layers.collect() }
}

/// Packs one layer.
pub fn pack_layer(shape: Shape, loads: &[f64], speeds: &[f64]) -> Layer {
    let copies = copies(shape, loads);
    let mut order: Vec<(f64, Expert)> = Vec::new();
    for (expert, count) in copies.iter().enumerate() {
        let weight = loads[expert] / f64::from(*count);
        for _ in 0..*count {
            order.push((weight, expert as Expert));
        }
    }
    order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    let mut layer = Layer::new(shape);
    let mut done = vec![0.0; shape.ranks];
    for (weight, expert) in order {
        let free = (0..shape.ranks).filter(|rank| {
            let rank = *rank as Rank;
            layer.held(rank).len() < shape.slots && !layer.holds(rank, expert)
        });
        let at = |rank: usize| (done[rank] + weight) / speeds[rank];
        let best = free.min_by(|a, b| at(*a).total_cmp(&at(*b)));
        // A further copy that fits nowhere is left out; the first always
        // fits, since there are as many slots as experts.
        let Some(best) = best else { continue };
        done[best] += weight;
        layer.add(best as Rank, expert);
    }
    repair(shape, &mut layer);
    layer
}

/// How many copies of each expert there are to be.
fn copies(shape: Shape, loads: &[f64]) -> Vec<u32> {
    let mut copies = vec![1u32; shape.experts];
    let spare = (shape.ranks * shape.slots).saturating_sub(shape.experts);
    let mut heap: BinaryHeap<Hot> = loads
        .iter()
        .enumerate()
        .map(|(expert, load)| Hot { weight: *load, expert })
        .collect();
    for _ in 0..spare {
        let Some(hot) = heap.pop() else { break };
        let count = &mut copies[hot.expert];
        if *count as usize >= shape.ranks {
            continue;
        }
        *count += 1;
        let weight = loads[hot.expert] / f64::from(*count);
        heap.push(Hot { weight, expert: hot.expert });
    }
    copies
}

/// Gives experts without a host the place of a copy that isn't the last.
fn repair(shape: Shape, layer: &mut Layer) {
    for expert in 0..shape.experts as Expert {
        if !layer.hosts(expert).is_empty() {
            continue;
        }
        let spare = (0..shape.ranks as Rank).find_map(|rank| {
            let held = layer.held(rank);
            let many = held.iter().find(|it| layer.hosts(**it).len() > 1);
            many.map(|it| (rank, *it))
        });
        if let Some((rank, other)) = spare {
            layer.remove(rank, other);
            layer.add(rank, expert);
        }
    }
}

#[derive(PartialEq)]
struct Hot {
    weight: f64,
    expert: usize,
}

impl Eq for Hot {}

impl Ord for Hot {
    fn cmp(&self, other: &Hot) -> Ordering {
        let weight = self.weight.total_cmp(&other.weight);
        weight.then(other.expert.cmp(&self.expert))
    }
}

impl PartialOrd for Hot {
    fn partial_cmp(&self, other: &Hot) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
