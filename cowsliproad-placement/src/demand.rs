//! Estimates the current demand for each expert from cumulative counts.
//!
//! Ranks report how often their requests have chosen each expert since the
//! rank started. The demand is the recent increase of these counts: over
//! [`MAX_WINDOW`] while the distribution is stable, so that sampling noise
//! averages out, and since the last shift after the distribution has shifted,
//! so that a new demand counts at once.
//!
//! Shifts are detected in windows of several lengths. A large shift shows in
//! the tokens of two passes. A small shift shows only in the average of many
//! requests, because each request prefers different experts. Within the window
//! that shows a shift, the shift is placed where the demand before and after
//! differs most. Otherwise, plans would still include counts from before it.

use std::collections::VecDeque;

use cowsliproad_kernel::clock::Millis;

/// The window over which a stable demand is averaged.
pub const MAX_WINDOW: Millis = Millis(2_000);

/// The windows in which shifts are detected, each with the share of the demand
/// that must have moved to other experts. Without a shift, the counts of 100
/// ms differ from those of the seconds before by up to 0.2, and the counts of
/// 250 ms by up to 0.13, as requests that prefer other experts come and go. A
/// shift of half of the preferred experts moves 0.33 and more.
pub const SHIFT_WINDOWS: [(Millis, f64); 3] =
    [(Millis(50), 0.3), (Millis(100), 0.25), (Millis(250), 0.15)];

/// Cumulative counts by layer and expert.
pub type Counts = Vec<Vec<u64>>;

/// The recent counts of a group, from which its demand is estimated.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    samples: VecDeque<(Millis, Counts)>,
    /// When the demand last shifted; earlier samples are not part of the
    /// current demand.
    shifted_at: Millis,
}

impl Demand {
    /// Creates an estimator without samples.
    pub fn new() -> Demand {
        Demand::default()
    }

    /// Adds a sample: the cumulative counts summed over all ranks.
    pub fn record(&mut self, now: Millis, counts: Counts) {
        if let Some((_, last)) = self.samples.back()
            && !is_monotonic(last, &counts)
        {
            self.samples.clear();
        }
        // Counts that don't grow, as in a stopped group, say nothing about the
        // demand.
        if self.samples.back().is_some_and(|it| it.1 == counts) {
            return;
        }
        self.samples.push_back((now, counts));
        while self.samples.len() > 2
            && now.since(self.samples[1].0) >= MAX_WINDOW
        {
            self.samples.pop_front();
        }
        if let Some(at) = self.detect_shift() {
            self.shifted_at = at;
        }
    }

    /// Returns the demand by layer and expert, or `None` without enough
    /// samples.
    pub fn loads(&self) -> Option<Vec<Vec<f64>>> {
        let (_, newest) = self.samples.back()?;
        let oldest = self
            .samples
            .get(self.first_current_sample())
            .or(self.samples.front())?;
        let loads = count_increase(newest, &oldest.1);
        let counted: f64 = loads.iter().flatten().sum();
        (counted > 0.0).then_some(loads)
    }

    /// Returns when the demand last shifted, or zero before the first shift.
    pub fn shifted_at(&self) -> Millis {
        self.shifted_at
    }

    /// Returns when the demand shifted, if the newest sample shows a shift.
    fn detect_shift(&self) -> Option<Millis> {
        let (now, _) = self.samples.back()?;
        let find_split = |&(window, min_share): &(Millis, f64)| {
            let old = |it: &(Millis, Counts)| now.since(it.0) >= window;
            let split = self.samples.iter().rposition(old)?;
            // If the samples before the split cover less than a window, their
            // counts are few and differ by chance.
            let before = self.samples.get(self.first_current_sample())?.0;
            if self.samples[split].0.since(before) < window {
                return None;
            }
            (self.moved_share(split)? > min_share).then_some(split)
        };
        let earliest = SHIFT_WINDOWS.iter().find_map(find_split)?;
        let splits = earliest..self.samples.len() - 1;
        let moved_share =
            |split: &usize| self.moved_share(*split).unwrap_or(0.0);
        let by_moved_share =
            |a: &usize, b: &usize| moved_share(a).total_cmp(&moved_share(b));
        let split = splits.max_by(by_moved_share)?;
        Some(self.samples[split].0)
    }

    /// Returns the share of the demand that moved to other experts after a
    /// sample, less the expected sampling noise; `None` if there is no
    /// earlier sample to compare.
    fn moved_share(&self, split: usize) -> Option<f64> {
        let first = self.first_current_sample();
        if split <= first {
            return None;
        }
        let (_, newest) = self.samples.back()?;
        let (_, middle) = &self.samples[split];
        let (_, oldest) = self.samples.get(first)?;
        let (after, before) =
            (count_increase(newest, middle), count_increase(middle, oldest));
        Some(
            variation_distance(&after, &before)
                - sampling_noise(&after)
                - sampling_noise(&before),
        )
    }

    /// Returns the index of the first sample of the current demand.
    fn first_current_sample(&self) -> usize {
        let since = |it: &(Millis, Counts)| it.0 >= self.shifted_at;
        self.samples.iter().position(since).unwrap_or(self.samples.len())
    }
}

/// Returns whether no count decreased and the layout is the same.
fn is_monotonic(old: &Counts, new: &Counts) -> bool {
    old.len() == new.len()
        && old.iter().zip(new).all(|(old, new)| {
            old.len() == new.len()
                && old.iter().zip(new).all(|(old, new)| new >= old)
        })
}

/// Returns the increase of each count from the old to the new sample.
fn count_increase(new: &Counts, old: &Counts) -> Vec<Vec<f64>> {
    let rows = new.iter().zip(old);
    rows.map(|(new, old)| {
        let pairs = new.iter().zip(old);
        pairs.map(|(new, old)| new.saturating_sub(*old) as f64).collect()
    })
    .collect()
}

/// Returns the total variation distance between two demands, averaged over all
/// layers.
fn variation_distance(a: &[Vec<f64>], b: &[Vec<f64>]) -> f64 {
    let layers = a.iter().zip(b).map(|(a, b)| {
        let (sum_a, sum_b): (f64, f64) = (a.iter().sum(), b.iter().sum());
        let pairs = a.iter().zip(b);
        let difference: f64 = pairs
            .map(|(a, b)| (a / sum_a.max(1.0) - b / sum_b.max(1.0)).abs())
            .sum();
        difference / 2.0
    });
    layers.sum::<f64>() / a.len().max(1) as f64
}

/// Returns the most by which counts of one demand are expected to deviate from
/// it by chance: the deviation of as many independent choices that are spread
/// evenly over all experts.
fn sampling_noise(loads: &[Vec<f64>]) -> f64 {
    let layers = loads.iter().map(|loads| {
        let counted = loads.iter().sum::<f64>().max(1.0);
        MEAN_DEVIATION / 2.0 * (loads.len() as f64 / counted).sqrt()
    });
    layers.sum::<f64>() / loads.len().max(1) as f64
}

/// The mean absolute deviation of a count, in standard deviations.
const MEAN_DEVIATION: f64 = 0.8;
