//! Smoothed token counts in two independent averages.
//!
//! The counts of successive intervals go alternately into two averages. An
//! imbalance that shows in only one average is noise. A plan is made on one
//! average, and its saving has to exceed its cost on both.

/// The weight of a new count in its moving average.
const NOISE_WEIGHT: f64 = 0.35;

/// The number of recorded intervals required before the first plan.
const MIN_SAMPLES: u64 = 6;

/// The weight of a new count that differs too much to be noise.
const JUMP_WEIGHT: f64 = 0.9;

/// The difference of a new count from its average, in standard deviations,
/// beyond which the count is a jump and not noise.
const MIN_JUMP_DEVIATIONS: f64 = 5.0;

/// Token counts by layer and expert.
pub type Counts = Vec<Vec<f64>>;

/// The smoothed token counts of a group, in two averages.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    averages: [Counts; 2],
    samples: u64,
}

impl Loads {
    /// Creates averages without counts.
    pub fn new() -> Loads {
        Loads::default()
    }

    /// Adds the counts of one interval to the average whose turn it is.
    pub fn record(&mut self, counts: &Counts) {
        let average = &mut self.averages[(self.samples % 2) as usize];
        self.samples += 1;
        if average.is_empty() {
            average.clone_from(counts);
            return;
        }
        for (old, new) in average.iter_mut().zip(counts) {
            for (old, new) in old.iter_mut().zip(new) {
                *old += (new - *old) * weight(*old, *new);
            }
        }
    }

    /// Returns whether both averages contain enough counts to tell noise from
    /// imbalance.
    pub fn is_ready(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// Returns the average on which a plan is made: the one updated last.
    pub fn planning_average(&self) -> &Counts {
        &self.averages[((self.samples + 1) % 2) as usize]
    }

    /// Returns the average on which a plan is validated.
    pub fn validation_average(&self) -> &Counts {
        &self.averages[(self.samples % 2) as usize]
    }

    /// Returns the mean of the two averages.
    pub fn mean(&self) -> Counts {
        let pairs = self.averages[0].iter().zip(&self.averages[1]);
        pairs
            .map(|(a, b)| {
                a.iter().zip(b).map(|(a, b)| (a + b) / 2.0).collect()
            })
            .collect()
    }
}

/// Returns the weight of a new count in its average. Counts vary like a
/// Poisson variable. A jump far beyond that variation, such as a restaurant's
/// new menu, replaces the average almost completely.
fn weight(old: f64, new: f64) -> f64 {
    let deviation = old.max(1.0).sqrt();
    if (new - old).abs() > MIN_JUMP_DEVIATIONS * deviation {
        JUMP_WEIGHT
    } else {
        NOISE_WEIGHT
    }
}
