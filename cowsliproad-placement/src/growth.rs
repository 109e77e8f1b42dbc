//! Encodes the growth of counts in one byte for each expert.
//!
//! A coordinator receives the counts of all ranks several times a second. A
//! sum over many ranks needs no exact numbers: each growth is rounded to a
//! 255th of the largest, an error below the sampling noise of the demand, and
//! takes a quarter of the bytes.

use crate::demand::CumulativeCounts;

/// The growth of a rank's counts, quantized to one byte for each expert.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CountGrowth {
    /// The number of counts that one unit of
    /// `quantized_growth_by_layer_and_expert` stands for.
    pub counts_per_unit: u64,
    /// The growth of each expert's count in units of `counts_per_unit` counts,
    /// one layer after the other.
    pub quantized_growth_by_layer_and_expert: Vec<u8>,
}

impl CountGrowth {
    /// Returns the growth from old to new counts of a rank, or `None` if any
    /// count decreased, as after a restart.
    pub fn from_counts(
        old_counts: &CumulativeCounts,
        new_counts: &CumulativeCounts,
    ) -> Option<CountGrowth> {
        let (old, new): (Vec<u64>, Vec<u64>) =
            (concat_layers(old_counts), concat_layers(new_counts));
        if old.len() != new.len() {
            return None;
        }
        let pairs = new.iter().zip(&old);
        let grown: Option<Vec<u64>> =
            pairs.map(|(new, old)| new.checked_sub(*old)).collect();
        let grown = grown?;
        let max = grown.iter().copied().max().unwrap_or_default();
        let scale = max.div_ceil(u64::from(u8::MAX)).max(1);
        let unit = |it: u64| ((it + scale / 2) / scale) as u8;
        Some(CountGrowth {
            counts_per_unit: scale,
            quantized_growth_by_layer_and_expert: grown
                .into_iter()
                .map(unit)
                .collect(),
        })
    }

    /// Adds this growth to the counts of layers that have `experts_per_layer`
    /// experts each.
    pub fn add_to_counts(
        &self,
        counts: &mut CumulativeCounts,
        experts_per_layer: usize,
    ) {
        let layers = self
            .quantized_growth_by_layer_and_expert
            .chunks(experts_per_layer.max(1));
        if counts.len() != layers.len() {
            *counts = vec![vec![0; experts_per_layer]; layers.len()];
        }
        for (counts, units) in counts.iter_mut().zip(layers) {
            for (count, unit) in counts.iter_mut().zip(units) {
                *count += u64::from(*unit) * self.counts_per_unit;
            }
        }
    }
}

/// Concatenates the cumulative counts of all layers.
fn concat_layers(counts: &CumulativeCounts) -> Vec<u64> {
    counts.iter().flatten().copied().collect()
}
