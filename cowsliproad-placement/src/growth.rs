//! Encodes the growth of counts in one byte for each expert.
//!
//! A coordinator receives the counts of all ranks several times a second. A
//! sum over many ranks needs no exact numbers: each growth is rounded to a
//! 255th of the largest, an error below the sampling noise of the demand, and
//! takes a quarter of the bytes.

use crate::demand::Counts;

/// The growth of a rank's counts, quantized to one byte for each expert.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Growth {
    /// The number of counts that one unit stands for.
    pub scale: u64,
    /// The growth in units by layer and expert, one layer after the other.
    pub units: Vec<u8>,
}

impl Growth {
    /// Returns the growth between two readings, or `None` if any count
    /// decreased, as after a restart.
    pub fn between(old: &Counts, new: &Counts) -> Option<Growth> {
        let (old, new): (Vec<u64>, Vec<u64>) =
            (concat_layers(old), concat_layers(new));
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
        Some(Growth { scale, units: grown.into_iter().map(unit).collect() })
    }

    /// Adds this growth to counts of layers with `experts` experts each.
    pub fn add_to(&self, counts: &mut Counts, experts: usize) {
        let layers = self.units.chunks(experts.max(1));
        if counts.len() != layers.len() {
            *counts = vec![vec![0; experts]; layers.len()];
        }
        for (counts, units) in counts.iter_mut().zip(layers) {
            for (count, unit) in counts.iter_mut().zip(units) {
                *count += u64::from(*unit) * self.scale;
            }
        }
    }
}

/// Concatenates the counts of all layers.
fn concat_layers(counts: &Counts) -> Vec<u64> {
    counts.iter().flatten().copied().collect()
}
