//! What counts grew by, in a byte for each expert.
//!
//! A coordinator hears the counts of all ranks several times a second. Sums
//! over many ranks need no exact numbers: each is rounded to a 255th of the
//! largest, which is below the chance by which demand differs anyway, and
//! takes a quarter of the bytes.

use crate::demand::Counts;

/// What the counts of a rank grew by.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Growth {
    /// What one unit stands for.
    pub scale: u64,
    /// Units by set and expert, one set after the other.
    pub units: Vec<u8>,
}

impl Growth {
    /// The growth between two readings; `None` if the counts did not only
    /// grow, as after a restart.
    pub fn between(old: &Counts, new: &Counts) -> Option<Growth> {
        let (old, new): (Vec<u64>, Vec<u64>) = (flat(old), flat(new));
        if old.len() != new.len() {
            return None;
        }
        let pairs = new.iter().zip(&old);
        let grown: Option<Vec<u64>> =
            pairs.map(|(new, old)| new.checked_sub(*old)).collect();
        let grown = grown?;
        let most = grown.iter().copied().max().unwrap_or_default();
        let scale = most.div_ceil(u64::from(u8::MAX)).max(1);
        let unit = |it: u64| ((it + scale / 2) / scale) as u8;
        Some(Growth { scale, units: grown.into_iter().map(unit).collect() })
    }

    /// Adds it to counts of sets with so many experts.
    pub fn add_to(&self, counts: &mut Counts, experts: usize) {
        let sets = self.units.chunks(experts.max(1));
        if counts.len() != sets.len() {
            *counts = vec![vec![0; experts]; sets.len()];
        }
        for (counts, units) in counts.iter_mut().zip(sets) {
            for (count, unit) in counts.iter_mut().zip(units) {
                *count += u64::from(*unit) * self.scale;
            }
        }
    }
}

fn flat(counts: &Counts) -> Vec<u64> {
    counts.iter().flatten().copied().collect()
}
