//! The platform's log comes back from older copies while agents are killed,
//! one or all of them, and stand still, and demand shifts; in series drawn
//! from a seed. No two coordinators ever have one fencing number, and no pass
//! is of two maps.
//!
//! `FIRST_SEED=1 SEEDS=50 cargo test -p cowsliproad-rank --test group siege -- --nocapture`
//! plays more of them and prints a line for each.

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::*;

/// Troubles of one seed.
const ROUNDS: usize = 16;

/// How old a copy may be, in milliseconds.
const MAX_AGE: u64 = 4_000;

struct Siege {
    plant: Plant,
    begun: Instant,
    random: StdRng,
    rollbacks: usize,
}

impl Siege {
    async fn start(seed: u64) -> Siege {
        let begun = Instant::now();
        let (plant, engines) = Plant::prepare().await;
        plant.log.set_era(Some(seed % 2));
        plant.ask(engines).await;
        let random = StdRng::seed_from_u64(seed);
        Siege { plant, begun, random, rollbacks: 0 }
    }

    fn draw_time(&mut self, to: u64) -> Duration {
        Duration::from_millis(self.random.random_range(0..to))
    }

    async fn make_trouble(&mut self) {
        let agent = self.random.random_range(0..usize::from(RANKS));
        match self.random.random_range(0..6) {
            0 | 1 => {
                let copy = Instant::now() - self.draw_time(MAX_AGE);
                self.plant.log.roll_back(copy.max(self.begun));
                self.rollbacks += 1;
            }
            2 => self.kill(agent..=agent),
            3 => self.kill(0..=usize::from(RANKS) - 1),
            4 => {
                let time = self.draw_time(1_500);
                self.plant.signal(agent, Signal::STOP);
                sleep(time).await;
                self.plant.signal(agent, Signal::CONT);
            }
            _ => {
                let first = self.random.random_range(0..EXPERTS);
                self.plant.group.concentrate_demand(first);
            }
        }
    }

    fn kill(&mut self, agents: std::ops::RangeInclusive<usize>) {
        for agent in agents.clone() {
            self.plant.signal(agent, Signal::KILL);
        }
        for agent in agents {
            self.plant.agents[agent].restart();
        }
    }

    /// The fencing numbers of all that ever led.
    fn numbers(&self) -> Vec<u64> {
        let mut numbers = Vec::new();
        for agent in &self.plant.agents {
            let text = fs::read_to_string(output(&agent.file));
            let text = text.expect("its lines");
            let leads = text.lines().filter(|it| it.contains("event=leads "));
            let fence = |it: &str| {
                let fields = &mut it.split_whitespace();
                let fence = fields.find_map(|it| it.strip_prefix("fence="));
                fence.and_then(|it| it.parse::<u64>().ok())
            };
            numbers.extend(leads.map(|it| fence(it).expect("a number")));
        }
        numbers.sort_unstable();
        numbers
    }
}

async fn play(seed: u64) {
    let mut siege = Siege::start(seed).await;
    for _ in 0..ROUNDS {
        siege.make_trouble().await;
        let pause = siege.draw_time(700);
        sleep(pause).await;
    }
    let plant = &siege.plant;
    plant.group.concentrate_demand(3);
    println!("seed {seed}: lines in {:?}", output(&plant.agents[0].file));
    plant.until_balanced().await;
    let (numbers, tally) = (siege.numbers(), plant.group.tally());
    println!(
        "seed {seed}: {} rollbacks, numbers {numbers:?}, {tally:?}",
        siege.rollbacks
    );
    assert!(!numbers.is_empty());
    let twice = numbers.windows(2).find(|it| it[0] == it[1]);
    assert_eq!(twice, None, "seed {seed}: {numbers:?}");
    assert_eq!(tally.mixed_passes, 0, "seed {seed}: {tally:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_siege_of_rollbacks_gives_no_number_out_twice() {
    let number = |name: &str| std::env::var(name).ok()?.parse().ok();
    let first = number("FIRST_SEED").unwrap_or(1);
    for seed in (first..).take(number("SEEDS").unwrap_or(1) as usize) {
        play(seed).await;
    }
}
