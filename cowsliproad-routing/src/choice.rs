//! Chooses the best of a few sampled targets.
//!
//! Sampling keeps the cost of a choice constant. It also prevents entry
//! processes that see the same stale report from all sending to the same
//! target.

use rand::{Rng, seq::index};

/// The number of targets that are sampled for one choice.
pub const TARGET_SAMPLE_SIZE: usize = 4;

/// The result of a choice: the chosen target and the runner-up, as indices
/// into the list of targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetChoice {
    /// The index of the chosen target.
    pub chosen_index: usize,
    /// The score of the chosen target, in microseconds.
    pub chosen_score_us: u64,
    /// The index of the sampled target with the second lowest score, and that
    /// score in microseconds.
    pub runner_up_index_and_score_us: Option<(usize, u64)>,
}

/// Chooses the target with the lowest score from a sample of `target_count`
/// targets.
///
/// `score` returns the score of the target with an index in microseconds, or
/// `None` for a target that may not be used now. When no sampled target may be
/// used, all targets are considered.
pub fn choose_target<R: Rng>(
    target_count: usize,
    random: &mut R,
    mut score: impl FnMut(usize) -> Option<u64>,
) -> Option<TargetChoice> {
    if target_count <= TARGET_SAMPLE_SIZE {
        return choose_lowest_scoring_target(
            rotated_target_indices(target_count, random),
            &mut score,
        );
    }
    let sampled = index::sample(random, target_count, TARGET_SAMPLE_SIZE);
    choose_lowest_scoring_target(sampled.into_iter(), &mut score).or_else(
        || {
            choose_lowest_scoring_target(
                rotated_target_indices(target_count, random),
                &mut score,
            )
        },
    )
}

/// All indices of targets in order, starting at a random index, so that ties
/// between scores are broken evenly.
fn rotated_target_indices<R: Rng>(
    target_count: usize,
    random: &mut R,
) -> impl Iterator<Item = usize> + use<R> {
    let first = if target_count == 0 {
        0
    } else {
        random.random_range(0..target_count)
    };
    (0..target_count).map(move |step| (first + step) % target_count)
}

fn choose_lowest_scoring_target(
    indices: impl Iterator<Item = usize>,
    score: &mut impl FnMut(usize) -> Option<u64>,
) -> Option<TargetChoice> {
    let mut choice: Option<TargetChoice> = None;
    for index in indices {
        let Some(score_us) = score(index) else { continue };
        choice = Some(match choice {
            None => TargetChoice {
                chosen_index: index,
                chosen_score_us: score_us,
                runner_up_index_and_score_us: None,
            },
            Some(it) if score_us < it.chosen_score_us => TargetChoice {
                chosen_index: index,
                chosen_score_us: score_us,
                runner_up_index_and_score_us: Some((
                    it.chosen_index,
                    it.chosen_score_us,
                )),
            },
            Some(it) => TargetChoice {
                runner_up_index_and_score_us: Some(
                    match it.runner_up_index_and_score_us {
                        Some(second) if second.1 <= score_us => second,
                        _ => (index, score_us),
                    },
                ),
                ..it
            },
        });
    }
    choice
}
