//! What requests like: a model of a demand that shifts.
//!
//! In each set, a part of the choices goes to the same experts whatever the
//! request, by Zipf's law over some ranking; the rest goes by the ranking of
//! the request's topic. In a shift some of the places of every ranking are
//! dealt anew. This is what counts of the users' engines look like: there
//! the most liked expert of a set has 23% of the choices, the next 9% and
//! 5%, before and after each shift.

use rand::{Rng, rngs::StdRng, seq::SliceRandom};

/// The exponent of Zipf's law, and the part of the choices that all requests
/// have in common.
const EXPONENT: f64 = 1.3;
const COMMON: f64 = 0.7;

/// Topics of requests.
pub const TOPICS: usize = 9;

/// The demand of a group of experts at a moment.
#[derive(Clone, Debug)]
pub struct Likes {
    /// Rankings by set: the common one first, then one a topic.
    rankings: Vec<Vec<Vec<usize>>>,
    weights: Vec<f64>,
}

impl Likes {
    /// Some rankings.
    pub fn new(sets: usize, experts: usize, random: &mut StdRng) -> Likes {
        let mut ranking = |_| {
            let mut ranking: Vec<usize> = (0..experts).collect();
            ranking.shuffle(random);
            ranking
        };
        let rankings = (0..sets)
            .map(|_| (0..=TOPICS).map(&mut ranking).collect())
            .collect();
        let weight = |place: usize| (place as f64 + 1.0).powf(-EXPONENT);
        let weights: Vec<f64> = (0..experts).map(weight).collect();
        let sum: f64 = weights.iter().sum();
        let weights = weights.into_iter().map(|it| it / sum).collect();
        Likes { rankings, weights }
    }

    /// Deals a share of all places anew.
    pub fn shift(&mut self, share: f64, random: &mut StdRng) {
        for ranking in self.rankings.iter_mut().flatten() {
            let moves = |_: &usize| random.random_bool(share);
            let places: Vec<usize> =
                (0..ranking.len()).filter(moves).collect();
            let mut dealt: Vec<usize> =
                places.iter().map(|it| ranking[*it]).collect();
            dealt.shuffle(random);
            for (place, expert) in places.into_iter().zip(dealt) {
                ranking[place] = expert;
            }
        }
    }

    /// The choices of some tokens of each topic, by set and expert.
    pub fn choices(&self, tokens: &[f64; TOPICS]) -> Vec<Vec<f64>> {
        let all: f64 = tokens.iter().sum();
        let by_set = |rankings: &Vec<Vec<usize>>| {
            let mut loads = vec![0.0; self.weights.len()];
            let topics = tokens.iter().map(|it| it * (1.0 - COMMON));
            let parts = [all * COMMON].into_iter().chain(topics);
            for (part, ranking) in parts.zip(rankings) {
                for (expert, weight) in ranking.iter().zip(&self.weights) {
                    loads[*expert] += part * weight;
                }
            }
            loads
        };
        self.rankings.iter().map(by_set).collect()
    }
}
