//! Computes an expert map from scratch: spare slots go to copies of the most
//! loaded experts, then each copy, heaviest first, goes to the rank that would
//! finish it soonest.

use std::{cmp::Ordering, collections::BinaryHeap};

use crate::map::{Expert, Layer, Map, Rank, Shape};

/// Computes an expert map from scratch for these loads and rank speeds.
pub fn pack(shape: Shape, loads: &[Vec<f64>], speeds: &[f64]) -> Map {
    let layers = loads.iter().map(|loads| pack_layer(shape, loads, speeds));
    Map { layers: layers.collect() }
}

/// Computes one layer of an expert map from scratch for these loads and rank
/// speeds.
pub fn pack_layer(shape: Shape, loads: &[f64], speeds: &[f64]) -> Layer {
    let copies_per_expert = choose_copies_per_expert(shape, loads);
    let mut by_load_per_copy: Vec<(f64, Expert)> = Vec::new();
    for (expert, count) in copies_per_expert.iter().enumerate() {
        let load_per_copy = loads[expert] / f64::from(*count);
        for _ in 0..*count {
            by_load_per_copy.push((load_per_copy, expert as Expert));
        }
    }
    by_load_per_copy.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    let mut layer = Layer::new(shape);
    let mut assigned_loads = vec![0.0; shape.rank_count];
    for (load_per_copy, expert) in by_load_per_copy {
        let free = (0..shape.rank_count).filter(|rank| {
            let rank = *rank as Rank;
            layer.experts_at(rank).len() < shape.slots_per_rank
                && !layer.holds(rank, expert)
        });
        let finish_time = |rank: usize| {
            (assigned_loads[rank] + load_per_copy) / speeds[rank]
        };
        let soonest =
            free.min_by(|a, b| finish_time(*a).total_cmp(&finish_time(*b)));
        // An additional copy that fits nowhere is dropped. The first copy of
        // an expert always fits, as there are at least as many slots as
        // experts.
        let Some(soonest) = soonest else { continue };
        assigned_loads[soonest] += load_per_copy;
        layer.add_copy(soonest as Rank, expert);
    }
    place_unhosted_experts(shape, &mut layer);
    layer
}

/// Returns the number of copies to make of each expert. The spare slots go to
/// the experts with the largest load per copy, up to one copy for each rank.
fn choose_copies_per_expert(shape: Shape, loads: &[f64]) -> Vec<u32> {
    let mut copies_per_expert = vec![1u32; shape.expert_count];
    let spare = (shape.rank_count * shape.slots_per_rank)
        .saturating_sub(shape.expert_count);
    let mut heap: BinaryHeap<ExpertByLoad> = loads
        .iter()
        .enumerate()
        .map(|(expert, load)| ExpertByLoad { load_per_copy: *load, expert })
        .collect();
    for _ in 0..spare {
        let Some(heaviest) = heap.pop() else { break };
        let count = &mut copies_per_expert[heaviest.expert];
        if *count as usize >= shape.rank_count {
            continue;
        }
        *count += 1;
        let load_per_copy = loads[heaviest.expert] / f64::from(*count);
        heap.push(ExpertByLoad { load_per_copy, expert: heaviest.expert });
    }
    copies_per_expert
}

/// Places each expert that no rank holds in the slot of a copy whose expert
/// other ranks hold too.
fn place_unhosted_experts(shape: Shape, layer: &mut Layer) {
    for expert in 0..shape.expert_count as Expert {
        if !layer.hosts(expert).is_empty() {
            continue;
        }
        let spare = (0..shape.rank_count as Rank).find_map(|rank| {
            let held = layer.experts_at(rank);
            let replicated =
                held.iter().find(|it| layer.hosts(**it).len() > 1);
            replicated.map(|it| (rank, *it))
        });
        if let Some((rank, replaced)) = spare {
            layer.remove_copy(rank, replaced);
            layer.add_copy(rank, expert);
        }
    }
}

/// An expert, ordered by its load per copy, so that a heap of experts yields
/// the expert to copy next.
#[derive(PartialEq)]
struct ExpertByLoad {
    load_per_copy: f64,
    expert: usize,
}

impl Eq for ExpertByLoad {}

impl Ord for ExpertByLoad {
    fn cmp(&self, other: &ExpertByLoad) -> Ordering {
        let load_per_copy = self.load_per_copy.total_cmp(&other.load_per_copy);
        load_per_copy.then(other.expert.cmp(&self.expert))
    }
}

impl PartialOrd for ExpertByLoad {
    fn partial_cmp(&self, other: &ExpertByLoad) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
