//! The best of a few sampled targets.
//!
//! Sampling keeps the cost of a choice constant and keeps entries that see
//! the same stale report from all sending to the same target.

use rand::{Rng, seq::index};

/// Targets looked at for one choice.
pub const SAMPLES: usize = 4;

/// The outcome of a choice: indices into the list of targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The target to use.
    pub chosen: usize,
    /// The score it had, in microseconds.
    pub score_us: u64,
    /// The next best that was looked at, with its score.
    pub runner_up: Option<(usize, u64)>,
}

/// Chooses among `count` targets the one with the lowest score.
///
/// `score` returns `None` for a target that may not be used now. When no
/// sampled target may be used, all are looked at.
pub fn choose<R: Rng>(
    count: usize,
    random: &mut R,
    mut score: impl FnMut(usize) -> Option<u64>,
) -> Option<Choice> {
    if count <= SAMPLES {
        return best(rotation(count, random), &mut score);
    }
    let sampled = index::sample(random, count, SAMPLES);
    best(sampled.into_iter(), &mut score)
        .or_else(|| best(rotation(count, random), &mut score))
}

/// All indices from a random one on, so that ties fall evenly.
fn rotation<R: Rng>(
    count: usize,
    random: &mut R,
) -> impl Iterator<Item = usize> + use<R> {
    let first = if count == 0 { 0 } else { random.random_range(0..count) };
    (0..count).map(move |step| (first + step) % count)
}

fn best(
    indices: impl Iterator<Item = usize>,
    score: &mut impl FnMut(usize) -> Option<u64>,
) -> Option<Choice> {
    let mut found: Option<Choice> = None;
    for index in indices {
        let Some(score_us) = score(index) else { continue };
        found = Some(match found {
            None => Choice { chosen: index, score_us, runner_up: None },
            Some(it) if score_us < it.score_us => Choice {
                chosen: index,
                score_us,
                runner_up: Some((it.chosen, it.score_us)),
            },
            Some(it) => Choice {
                runner_up: Some(match it.runner_up {
                    Some(second) if second.1 <= score_us => second,
                    _ => (index, score_us),
                }),
                ..it
            },
        });
    }
    found
}
