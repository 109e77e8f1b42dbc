//! Where requests go when many entries hear the same reports.
//!
//! Ranks of one group work in step, so a request takes as long wherever it
//! runs, and it waits where more are sent than there are slots.
//! Agents report every 400 ms, each at its own moment. A policy sees what its
//! entry sent and got back, and the last report of each rank. The model
//! leaves out the time of the way, retries, and that a fuller batch is
//! slower. Policies are compared on the same arrivals.

use std::{cmp::Reverse, collections::BinaryHeap};

use cowsliproad_kernel::plugin::inventory;
use cowsliproad_routing::pick;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};

use super::{Options, Outcome, Plugin, lognormal};

inventory::submit! {
    Plugin {
        name: "routing",
        about: "Which rank a request goes to, by policy",
        start: run,
    }
}

/// The time between two reports of a rank, in milliseconds.
const REPORT_MS: u64 = 400;

/// The time for which others' requests are allowed for, in milliseconds: as
/// in the entry, two reports.
const UNSEEN_MS: u64 = 800;

/// The time of an event, in milliseconds.
const EVENT_MS: f64 = 55.0;

/// Events of a request: the median, the spread of their logarithm, and the
/// most, so that the mean is 28.
const EVENTS: (f64, f64, f64) = (22.5, 0.75, 70.0);

/// How long is played, in milliseconds.
const PLAYED_MS: u64 = 60_000;

/// A deployment.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Entries.
    pub entries: usize,
    /// Ranks of the group.
    pub ranks: usize,
    /// Requests that a rank runs at once.
    pub slots: u32,
    /// Requests a second.
    pub rate: f64,
}

/// The users' deployments, and the label works' once it has grown.
pub const SIZES: [Size; 2] = [
    Size { entries: 7, ranks: 16, slots: 12, rate: 71.0 },
    Size { entries: 31, ranks: 72, slots: 10, rate: 268.0 },
];

/// How a rank is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// Each entry in turn.
    RoundRobin,
    /// The better of two that are drawn.
    TwoChoices,
    /// The one with the least that is known of.
    Least,
    /// As all entries would fill them up together.
    Spread,
    /// The one with the least, as nobody can know it.
    AllKnowing,
}

/// What a policy came to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Score {
    /// The share of requests that found no free slot.
    pub waited: f64,
    /// The busiest rank beside the mean, at requests' arrivals.
    pub busiest: f64,
}

/// A rank as it is, and as the last report says.
#[derive(Clone, Copy, Debug, Default)]
struct Rank {
    now: u32,
    reported: u32,
}

/// What an entry sent to a rank and got back since its last report.
#[derive(Clone, Copy, Debug, Default)]
struct Own {
    sent: u32,
    done: u32,
}

impl Own {
    fn known(self, rank: Rank) -> f64 {
        f64::from((rank.reported + self.sent).saturating_sub(self.done))
    }
}

/// Plays a policy.
pub fn play(size: Size, policy: Policy, seed: u64) -> Score {
    let mut random = StdRng::seed_from_u64(seed);
    let mut ranks = vec![Rank::default(); size.ranks];
    let mut own = vec![vec![Own::default(); size.ranks]; size.entries];
    let mut turns = vec![0; size.entries];
    let mut ends = BinaryHeap::new();
    let (mut asked, mut waited, mut busiest) = (0.0, 0.0, 0.0);
    for now in 0..PLAYED_MS {
        while let Some(Reverse((end, entry, rank))) = ends.peek().copied()
            && end <= now
        {
            ends.pop();
            let (entry, rank): (usize, usize) = (entry, rank);
            ranks[rank].now -= 1;
            own[entry][rank].done += 1;
        }
        for rank in 0..size.ranks {
            let phase = rank as u64 * REPORT_MS / size.ranks as u64;
            if now % REPORT_MS == phase {
                ranks[rank].reported = ranks[rank].now;
                own.iter_mut().for_each(|it| it[rank] = Own::default());
            }
        }
        if !random.random_bool(size.rate / 1_000.0) {
            continue;
        }
        let entry = random.random_range(0..size.entries);
        let rank = match policy {
            Policy::RoundRobin => {
                turns[entry] += 1;
                (turns[entry] + entry * 5) % size.ranks
            }
            Policy::TwoChoices => {
                let draw = |random: &mut StdRng| {
                    let rank = random.random_range(0..size.ranks);
                    (own[entry][rank].known(ranks[rank]), rank)
                };
                let (one, other) = (draw(&mut random), draw(&mut random));
                if one.0 <= other.0 { one.1 } else { other.1 }
            }
            Policy::Least => least(&costs(&own[entry], &ranks), &mut random),
            Policy::Spread => {
                let others = (size.entries - 1) as f64;
                let usual = size.rate / size.entries as f64 * UNSEEN_MS as f64
                    / 1_000.0;
                let sent: u32 = own[entry].iter().map(|it| it.sent).sum();
                let unseen = usual.max(f64::from(sent)) * others;
                let costs = costs(&own[entry], &ranks);
                let draw = random.random();
                pick::choose_target_by_cost(&costs, 1.0, unseen, draw)
                    .unwrap_or_default()
            }
            Policy::AllKnowing => {
                let now: Vec<f64> =
                    ranks.iter().map(|it| it.now.into()).collect();
                least(&now, &mut random)
            }
        };
        let most = ranks.iter().map(|it| it.now).max().unwrap_or_default();
        let sum: u32 = ranks.iter().map(|it| it.now).sum();
        let mean = f64::from(sum.max(1)) / size.ranks as f64;
        asked += 1.0;
        busiest += f64::from(most) / mean;
        waited += f64::from(u8::from(ranks[rank].now >= size.slots));
        ranks[rank].now += 1;
        own[entry][rank].sent += 1;
        let work = work_ms(&mut random);
        ends.push(Reverse((now + work, entry, rank)));
    }
    Score { waited: waited / asked, busiest: busiest / asked }
}

/// A request's time at a rank.
fn work_ms(random: &mut StdRng) -> u64 {
    (lognormal(EVENTS, random) * EVENT_MS) as u64
}

fn costs(own: &[Own], ranks: &[Rank]) -> Vec<f64> {
    let pairs = own.iter().zip(ranks);
    pairs.map(|(own, rank)| own.known(*rank)).collect()
}

/// One of the least, drawn.
fn least(costs: &[f64], random: &mut StdRng) -> usize {
    let least = costs.iter().copied().fold(f64::INFINITY, f64::min);
    let mut chosen = 0;
    let mut ties = 0;
    for (rank, cost) in costs.iter().enumerate() {
        if *cost <= least {
            ties += 1;
            if random.random_range(0..ties) == 0 {
                chosen = rank;
            }
        }
    }
    chosen
}

fn run(options: Options) -> Outcome {
    let policies = [
        ("round_robin", Policy::RoundRobin),
        ("two_choices", Policy::TwoChoices),
        ("least", Policy::Least),
        ("spread", Policy::Spread),
        ("all_knowing", Policy::AllKnowing),
    ];
    let mut figures = json!({});
    let mut table = String::new();
    for size in options.extent.sizes(&SIZES) {
        let name = format!("{}x{}", size.entries, size.ranks);
        for (policy_name, policy) in policies {
            let score = play(*size, policy, options.seed);
            figures[&name][policy_name] = row(score);
            table += &format!(
                "{name:<8}{policy_name:<14}waited {:>6.3}  busiest {:>5.2}\n",
                score.waited, score.busiest,
            );
        }
    }
    Outcome::new(figures).with_table(table)
}

fn row(score: Score) -> Value {
    json!({ "waited": score.waited, "busiest": score.busiest })
}
