//! Estimates the current demand for each expert from cumulative counts.
//!
//! Ranks report how often their requests have chosen each expert since the
//! rank started. The demand is the recent increase of these counts: over
//! [`MAX_DEMAND_WINDOW`] while the distribution is stable, so that sampling
//! noise averages out, and since the last shift after the distribution has
//! shifted, so that a new demand counts at once.
//!
//! Shifts are detected in windows of several lengths. A large shift shows in
//! the tokens of two passes. A small shift shows only in the average of many
//! requests, because each request prefers different experts. Within the window
//! that shows a shift, the shift is placed where the demand before and after
//! differs most. Otherwise, plans would still include counts from before it.

use std::collections::VecDeque;

use cowsliproad_kernel::clock::Millis;

/// The longest time over which the demand is averaged: the averaging window
/// of a stable demand.
pub const MAX_DEMAND_WINDOW: Millis = Millis(2_000);

/// Pairs of a window and a threshold. The demand has shifted if more than the
/// threshold, a share of the demand from 0 to 1, has moved to other experts
/// within the window. Without a shift, the counts of 100 ms differ from those
/// of the seconds before by up to 0.2, and the counts of 250 ms by up to 0.13,
/// as requests that prefer other experts come and go. A shift of half of the
/// preferred experts moves 0.33 and more.
pub const DEMAND_SHIFT_THRESHOLDS: [(Millis, f64); 3] =
    [(Millis(50), 0.3), (Millis(100), 0.25), (Millis(250), 0.15)];

/// How often requests have chosen each expert since the ranks started, indexed
/// by layer and then by expert.
pub type CumulativeCounts = Vec<Vec<u64>>;

/// Estimates a group's demand for its experts from samples of cumulative
/// counts.
#[derive(Clone, Debug, Default)]
pub struct DemandEstimator {
    /// The recent samples, oldest first: when each was taken, and its counts.
    samples: VecDeque<(Millis, CumulativeCounts)>,
    /// When the demand last shifted; earlier samples are not part of the
    /// current demand.
    demand_shifted_at: Millis,
}

impl DemandEstimator {
    /// Creates a demand estimator without samples.
    pub fn new() -> DemandEstimator {
        DemandEstimator::default()
    }

    /// Records a sample: the cumulative counts of a group, summed over its
    /// ranks.
    pub fn record_counts(&mut self, now: Millis, counts: CumulativeCounts) {
        if let Some((_, last)) = self.samples.back()
            && !has_no_decreased_count(last, &counts)
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
            && now.since(self.samples[1].0) >= MAX_DEMAND_WINDOW
        {
            self.samples.pop_front();
        }
        if let Some(at) = self.detect_demand_shift() {
            self.demand_shifted_at = at;
        }
    }

    /// Returns the current demand, indexed by layer and then by expert; `None`
    /// if the samples don't show any demand yet.
    pub fn current_loads(&self) -> Option<Vec<Vec<f64>>> {
        let (_, newest) = self.samples.back()?;
        let (_, oldest) = self.oldest_current_sample()?;
        let loads = increase_of_counts(newest, oldest);
        let counted: f64 = loads.iter().flatten().sum();
        (counted > 0.0).then_some(loads)
    }

    /// Returns the time over which the current demand was counted; `None`
    /// without samples.
    pub fn counting_duration(&self) -> Option<Millis> {
        let (newest, _) = self.samples.back()?;
        let (oldest, _) = self.oldest_current_sample()?;
        Some(newest.since(*oldest))
    }

    /// Returns the first sample since the demand last shifted.
    fn oldest_current_sample(&self) -> Option<&(Millis, CumulativeCounts)> {
        let first = self.first_sample_index_since_shift();
        self.samples.get(first).or(self.samples.front())
    }

    /// Returns when the demand last shifted, or zero before its first shift.
    pub fn demand_shifted_at(&self) -> Millis {
        self.demand_shifted_at
    }

    /// Returns when the demand shifted, if the newest sample shows a shift.
    fn detect_demand_shift(&self) -> Option<Millis> {
        let (now, _) = self.samples.back()?;
        let find_split = |&(window, min_share): &(Millis, f64)| {
            let old =
                |it: &(Millis, CumulativeCounts)| now.since(it.0) >= window;
            let split = self.samples.iter().rposition(old)?;
            // The split is the newest sample that is at least a window old. If
            // the samples before it cover less than a window, their
            // counts are few and differ by chance.
            let before =
                self.samples.get(self.first_sample_index_since_shift())?.0;
            if self.samples[split].0.since(before) < window {
                return None;
            }
            (self.moved_demand_share(split)? > min_share).then_some(split)
        };
        let earliest = DEMAND_SHIFT_THRESHOLDS.iter().find_map(find_split)?;
        let splits = earliest..self.samples.len() - 1;
        let moved_demand_share =
            |split: &usize| self.moved_demand_share(*split).unwrap_or(0.0);
        let by_moved_share = |a: &usize, b: &usize| {
            moved_demand_share(a).total_cmp(&moved_demand_share(b))
        };
        let split = splits.max_by(by_moved_share)?;
        Some(self.samples[split].0)
    }

    /// Returns the share of the demand that moved to other experts after a
    /// sample, less the expected sampling noise; `None` if there is no
    /// earlier sample to compare.
    fn moved_demand_share(&self, split_sample: usize) -> Option<f64> {
        let first = self.first_sample_index_since_shift();
        if split_sample <= first {
            return None;
        }
        let (_, newest) = self.samples.back()?;
        let (_, middle) = &self.samples[split_sample];
        let (_, oldest) = self.samples.get(first)?;
        let (after, before) = (
            increase_of_counts(newest, middle),
            increase_of_counts(middle, oldest),
        );
        Some(
            demand_variation_distance(&after, &before)
                - sampling_noise(&after)
                - sampling_noise(&before),
        )
    }

    /// Returns the index of the first sample taken since the last shift of the
    /// demand.
    fn first_sample_index_since_shift(&self) -> usize {
        let since =
            |it: &(Millis, CumulativeCounts)| it.0 >= self.demand_shifted_at;
        self.samples.iter().position(since).unwrap_or(self.samples.len())
    }
}

/// Returns whether no cumulative count decreased from the old to the new
/// sample, and both have the same layers and experts.
fn has_no_decreased_count(
    old: &CumulativeCounts,
    new: &CumulativeCounts,
) -> bool {
    old.len() == new.len()
        && old.iter().zip(new).all(|(old, new)| {
            old.len() == new.len()
                && old.iter().zip(new).all(|(old, new)| new >= old)
        })
}

/// Returns the increase of each cumulative count from an old to a new sample,
/// indexed by layer and then by expert.
fn increase_of_counts(
    new: &CumulativeCounts,
    old: &CumulativeCounts,
) -> Vec<Vec<f64>> {
    let rows = new.iter().zip(old);
    rows.map(|(new, old)| {
        let pairs = new.iter().zip(old);
        pairs.map(|(new, old)| new.saturating_sub(*old) as f64).collect()
    })
    .collect()
}

/// Returns the total variation distance between two demands, from 0 to 1,
/// averaged over all layers.
fn demand_variation_distance(a: &[Vec<f64>], b: &[Vec<f64>]) -> f64 {
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

/// Returns the expected sampling noise of a demand, as a variation distance:
/// the deviation by chance if the counted choices of experts were independent
/// and spread evenly over all experts, which is the largest deviation.
fn sampling_noise(loads: &[Vec<f64>]) -> f64 {
    let layers = loads.iter().map(|loads| {
        let counted = loads.iter().sum::<f64>().max(1.0);
        MEAN_DEVIATION_PER_STANDARD_DEVIATION / 2.0
            * (loads.len() as f64 / counted).sqrt()
    });
    layers.sum::<f64>() / loads.len().max(1) as f64
}

/// The mean absolute deviation of a count, in standard deviations, as of a
/// normal distribution.
const MEAN_DEVIATION_PER_STANDARD_DEVIATION: f64 = 0.8;
