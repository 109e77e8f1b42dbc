//! Smoothed token counts, kept twice.
//!
//! Counts of successive intervals go in turn into one of two averages. What
//! looks like an imbalance in one and is none in the other is noise. A plan
//! is made on one and has to pay for itself on both.

/// The weight of a new count in its average.
const WEIGHT: f64 = 0.35;

/// Counts before the first plan.
const ENOUGH: u64 = 6;

/// The weight of a new count that no noise explains.
const JUMP_WEIGHT: f64 = 0.9;

/// Standard deviations of a count beyond which it is a jump, not noise.
const JUMP: f64 = 5.0;

/// Counts by layer and expert.
pub type Counts = Vec<Vec<f64>>;

/// The counts of a group.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    halves: [Counts; 2],
    samples: u64,
}

impl Loads {
    /// No counts yet.
    pub fn new() -> Loads {
        Loads::default()
    }

    /// Takes the counts of an interval in.
    pub fn record(&mut self, counts: &Counts) {
        let half = &mut self.halves[(self.samples % 2) as usize];
        self.samples += 1;
        if half.is_empty() {
            half.clone_from(counts);
            return;
        }
        for (old, new) in half.iter_mut().zip(counts) {
            for (old, new) in old.iter_mut().zip(new) {
                *old += (new - *old) * weight(*old, *new);
            }
        }
    }

    /// Whether both averages rest on enough counts to tell noise apart.
    pub fn is_ready(&self) -> bool {
        self.samples >= ENOUGH
    }

    /// The average that a plan is made on: the fresher one.
    pub fn planning_average(&self) -> &Counts {
        &self.halves[((self.samples + 1) % 2) as usize]
    }

    /// The average that a plan is checked on.
    pub fn validation_average(&self) -> &Counts {
        &self.halves[(self.samples % 2) as usize]
    }

    /// The mean of both.
    pub fn mean(&self) -> Counts {
        let pairs = self.halves[0].iter().zip(&self.halves[1]);
        pairs
            .map(|(a, b)| {
                a.iter().zip(b).map(|(a, b)| (a + b) / 2.0).collect()
            })
            .collect()
    }
}

/// Counts are noisy like a Poisson variable. What lies far outside of that,
/// a new menu for example, counts almost in full at once.
fn weight(old: f64, new: f64) -> f64 {
    let noise = old.max(1.0).sqrt();
    if (new - old).abs() > JUMP * noise { JUMP_WEIGHT } else { WEIGHT }
}
