//! What is demanded of each expert now, from counts that only grow.
//!
//! Ranks report how often their requests chose each expert since they
//! started. The demand is what was added over the last moments: over
//! [`LONG`] as long as it stays alike, so that chance averages out, and over
//! [`SHORT`] right after it shifted, so that a new demand counts at once.

use std::collections::VecDeque;

use cowsliproad_kernel::clock::Millis;

/// The span that demand is taken over while it is steady.
pub const LONG: Millis = Millis(2_000);

/// The span that tells a shift.
pub const SHORT: Millis = Millis(250);

/// The share of the demand that must have gone elsewhere to be a shift. By
/// chance some 4% does.
const SHIFT: f64 = 0.15;

/// Counts by set and expert.
pub type Counts = Vec<Vec<u64>>;

/// The counts of a group's last moments.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    samples: VecDeque<(Millis, Counts)>,
    /// Demand before this moment is of another kind.
    shifted: Millis,
}

impl Demand {
    /// No counts yet.
    pub fn new() -> Demand {
        Demand::default()
    }

    /// Takes the sums over all ranks in.
    pub fn add(&mut self, now: Millis, counts: Counts) {
        if let Some((_, last)) = self.samples.back()
            && !grew(last, &counts)
        {
            self.samples.clear();
        }
        // A group that stands still tells nothing new of what is liked.
        if self.samples.back().is_some_and(|it| it.1 == counts) {
            return;
        }
        self.samples.push_back((now, counts));
        while self.samples.len() > 2 && now.since(self.samples[1].0) >= LONG {
            self.samples.pop_front();
        }
        if let (Some(recent), Some(before)) = (self.recent(), self.before())
            && distance(&recent, &before) > SHIFT
        {
            self.shifted = now - SHORT;
        }
    }

    /// The demand by set and expert, or `None` before there is enough.
    pub fn loads(&self) -> Option<Vec<Vec<f64>>> {
        let (_, newest) = self.samples.back()?;
        let first = self
            .samples
            .iter()
            .find(|it| it.0 >= self.shifted)
            .or(self.samples.front())?;
        let loads = difference(newest, &first.1);
        let counted: f64 = loads.iter().flatten().sum();
        (counted > 0.0).then_some(loads)
    }

    fn recent(&self) -> Option<Vec<Vec<f64>>> {
        let (now, newest) = self.samples.back()?;
        let split = self.split(*now)?;
        Some(difference(newest, &self.samples[split].1))
    }

    fn before(&self) -> Option<Vec<Vec<f64>>> {
        let (now, _) = self.samples.back()?;
        let split = self.split(*now)?;
        let first = self.samples.iter().find(|it| it.0 >= self.shifted)?;
        let loads = difference(&self.samples[split].1, &first.1);
        (loads.iter().flatten().sum::<f64>() > 0.0).then_some(loads)
    }

    /// The newest sample that is at least a short span old.
    fn split(&self, now: Millis) -> Option<usize> {
        self.samples.iter().rposition(|it| now.since(it.0) >= SHORT)
    }
}

fn grew(old: &Counts, new: &Counts) -> bool {
    old.len() == new.len()
        && old.iter().zip(new).all(|(old, new)| {
            old.len() == new.len()
                && old.iter().zip(new).all(|(old, new)| new >= old)
        })
}

fn difference(new: &Counts, old: &Counts) -> Vec<Vec<f64>> {
    let rows = new.iter().zip(old);
    rows.map(|(new, old)| {
        let pairs = new.iter().zip(old);
        pairs.map(|(new, old)| new.saturating_sub(*old) as f64).collect()
    })
    .collect()
}

/// The share of the demand that differs, the mean over all sets.
fn distance(a: &[Vec<f64>], b: &[Vec<f64>]) -> f64 {
    let sets = a.iter().zip(b).map(|(a, b)| {
        let (sum_a, sum_b): (f64, f64) = (a.iter().sum(), b.iter().sum());
        let pairs = a.iter().zip(b);
        let differs: f64 = pairs
            .map(|(a, b)| (a / sum_a.max(1.0) - b / sum_b.max(1.0)).abs())
            .sum();
        differs / 2.0
    });
    sets.sum::<f64>() / a.len().max(1) as f64
}
