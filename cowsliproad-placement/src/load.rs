//! Smoothed token counts in two independent averages.
//!
//! The counts of successive intervals go alternately into two averages. An
//! imbalance that shows in only one average is noise. A plan is made on one
//! average, and its saving has to exceed its cost on both.

/// The weight of a new token count in its moving average, for a count that
/// differs from the average by noise only.
const MOVING_AVERAGE_WEIGHT_OF_NOISY_COUNT: f64 = 0.35;

/// The number of intervals whose counts have to be recorded before a map is
/// planned from them.
const MIN_INTERVALS_BEFORE_PLANNING: u64 = 6;

/// The weight of a new token count in its moving average, for a count that
/// differs too much from the average to be noise.
const JUMPED_COUNT_WEIGHT: f64 = 0.9;

/// The difference of a new token count from its average, in standard
/// deviations, beyond which the count is a jump and not noise.
const MIN_JUMP_IN_STANDARD_DEVIATIONS: f64 = 5.0;

/// Token counts, indexed by layer and then by expert.
pub type TokenCounts = Vec<Vec<f64>>;

/// The smoothed token counts of a group, in two independent moving averages.
#[derive(Clone, Debug, Default)]
pub struct SmoothedLoads {
    /// Two moving averages of the token counts. The intervals go to one and
    /// the other in turn.
    averages: [TokenCounts; 2],
    recorded_intervals: u64,
}

impl SmoothedLoads {
    /// Creates moving averages in which no counts have been recorded.
    pub fn new() -> SmoothedLoads {
        SmoothedLoads::default()
    }

    /// Records the token counts of one interval in the first and the second
    /// moving average alternately.
    pub fn record_interval(&mut self, counts: &TokenCounts) {
        let average =
            &mut self.averages[(self.recorded_intervals % 2) as usize];
        self.recorded_intervals += 1;
        if average.is_empty() {
            average.clone_from(counts);
            return;
        }
        for (old, new) in average.iter_mut().zip(counts) {
            for (old, new) in old.iter_mut().zip(new) {
                *old += (new - *old) * weight_of_new_count(*old, *new);
            }
        }
    }

    /// Returns whether both moving averages contain enough intervals to tell
    /// noise from imbalance.
    pub fn has_enough_intervals(&self) -> bool {
        self.recorded_intervals >= MIN_INTERVALS_BEFORE_PLANNING
    }

    /// Returns the moving average on which a plan is made: the average that
    /// was updated last.
    pub fn planning_average(&self) -> &TokenCounts {
        &self.averages[((self.recorded_intervals + 1) % 2) as usize]
    }

    /// Returns the moving average on which a plan is validated: the average
    /// that was not updated last.
    pub fn validation_average(&self) -> &TokenCounts {
        &self.averages[(self.recorded_intervals % 2) as usize]
    }

    /// Returns the mean of the two moving averages.
    pub fn mean_counts(&self) -> TokenCounts {
        let pairs = self.averages[0].iter().zip(&self.averages[1]);
        pairs
            .map(|(a, b)| {
                a.iter().zip(b).map(|(a, b)| (a + b) / 2.0).collect()
            })
            .collect()
    }
}

/// Returns the weight of a new token count in its moving average. Counts vary
/// like a Poisson variable. A jump far beyond that variation replaces the
/// average almost completely: the callers' prompts have changed suddenly, for
/// example with a new prompt template.
fn weight_of_new_count(average: f64, new_count: f64) -> f64 {
    let deviation = average.max(1.0).sqrt();
    if (new_count - average).abs()
        > MIN_JUMP_IN_STANDARD_DEVIATIONS * deviation
    {
        JUMPED_COUNT_WEIGHT
    } else {
        MOVING_AVERAGE_WEIGHT_OF_NOISY_COUNT
    }
}
