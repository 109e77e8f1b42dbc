//! What is demanded of each expert now, from counts that only grow.
//!
//! Ranks report how often their requests chose each expert since they
//! started. The demand is what was added over the last moments: over
//! [`MAX_WINDOW`] as long as it stays alike, so that chance averages out, and since
//! the shift right after it shifted, so that a new demand counts at once.
//!
//! A shift is looked for in spans of several lengths. A large one shows in
//! the tokens of two passes; a small one only once many requests have been
//! averaged, since each has likes of its own. Within the span that showed
//! it, the shift is taken to be where the two sides differ most: what was
//! counted before it would otherwise be planned for too.

use std::collections::VecDeque;

use cowsliproad_kernel::clock::Millis;

/// The span that demand is taken over while it is steady.
pub const MAX_WINDOW: Millis = Millis(2_000);

/// Spans that tell a shift, and the share of the demand that must have gone
/// elsewhere in each. Where nothing shifted, counts of a tenth of a second
/// differ by 0.2 at most from those of the seconds before, and those of a
/// quarter by 0.13, as requests with other likes come and go; a shift of
/// half of what is liked moves 0.33 and more.
pub const SHIFT_WINDOWS: [(Millis, f64); 3] =
    [(Millis(50), 0.3), (Millis(100), 0.25), (Millis(250), 0.15)];

/// Counts by set and expert.
pub type Counts = Vec<Vec<u64>>;

/// The counts of a group's last moments.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    samples: VecDeque<(Millis, Counts)>,
    /// Demand before this moment is of another kind.
    shifted_at: Millis,
}

impl Demand {
    /// No counts yet.
    pub fn new() -> Demand {
        Demand::default()
    }

    /// Takes the sums over all ranks in.
    pub fn record(&mut self, now: Millis, counts: Counts) {
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
        while self.samples.len() > 2
            && now.since(self.samples[1].0) >= MAX_WINDOW
        {
            self.samples.pop_front();
        }
        if let Some(at) = self.shift() {
            self.shifted_at = at;
        }
    }

    /// The demand by set and expert, or `None` before there is enough.
    pub fn loads(&self) -> Option<Vec<Vec<f64>>> {
        let (_, newest) = self.samples.back()?;
        let first = self.samples.get(self.first()).or(self.samples.front())?;
        let loads = difference(newest, &first.1);
        let counted: f64 = loads.iter().flatten().sum();
        (counted > 0.0).then_some(loads)
    }

    /// When the demand last shifted; zero before it ever did.
    pub fn shifted_at(&self) -> Millis {
        self.shifted_at
    }

    /// When the demand shifted, if the newest counts show that it did.
    fn shift(&self) -> Option<Millis> {
        let (now, _) = self.samples.back()?;
        let shows = |&(span, least): &(Millis, f64)| {
            let old = |it: &(Millis, Counts)| now.since(it.0) >= span;
            let split = self.samples.iter().rposition(old)?;
            // Little was counted before, and differs by chance.
            let before = self.samples.get(self.first())?.0;
            if self.samples[split].0.since(before) < span {
                return None;
            }
            (self.differs(split)? > least).then_some(split)
        };
        let earliest = SHIFT_WINDOWS.iter().find_map(shows)?;
        let splits = earliest..self.samples.len() - 1;
        let differs = |split: &usize| self.differs(*split).unwrap_or(0.0);
        let by_difference =
            |a: &usize, b: &usize| differs(a).total_cmp(&differs(b));
        let split = splits.max_by(by_difference)?;
        Some(self.samples[split].0)
    }

    /// The share of the demand that went elsewhere after a sample, less what
    /// may have by chance; `None` if there is nothing to compare.
    fn differs(&self, split: usize) -> Option<f64> {
        let first = self.first();
        if split <= first {
            return None;
        }
        let (_, newest) = self.samples.back()?;
        let (_, middle) = &self.samples[split];
        let (_, oldest) = self.samples.get(first)?;
        let (after, before) =
            (difference(newest, middle), difference(middle, oldest));
        Some(distance(&after, &before) - chance(&after) - chance(&before))
    }

    /// The first sample of the present demand.
    fn first(&self) -> usize {
        let since = |it: &(Millis, Counts)| it.0 >= self.shifted_at;
        self.samples.iter().position(since).unwrap_or(self.samples.len())
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

/// The distance by which counts of one demand differ by chance, at most: that
/// of as many independent choices, spread over all experts alike.
fn chance(loads: &[Vec<f64>]) -> f64 {
    let sets = loads.iter().map(|loads| {
        let counted = loads.iter().sum::<f64>().max(1.0);
        MEAN_DEVIATION / 2.0 * (loads.len() as f64 / counted).sqrt()
    });
    sets.sum::<f64>() / loads.len().max(1) as f64
}

/// The mean deviation of a count in units of its standard deviation.
const MEAN_DEVIATION: f64 = 0.8;
