//! Random faults: the platform's log is restored from older copies while one
//! or all agents are killed or frozen, and demand shifts. The sequence of
//! faults is drawn from a seed. No two coordinators may ever have the same
//! fencing number, and no pass may mix two maps.
//!
//! `FIRST_SEED=1 SEEDS=50 cargo test -p cowsliproad-rank --test group siege -- --nocapture`
//! runs 50 seeds and prints a line for each.

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::*;

/// The number of faults that one seed injects.
const FAULTS_PER_SEED: usize = 16;

/// The maximum age of a restored copy of the log, in milliseconds.
const MAX_LOG_COPY_AGE_MS: u64 = 4_000;

struct FaultSequence {
    test_group: TestGroup,
    start_time: Instant,
    random: StdRng,
    rollback_count: usize,
}

impl FaultSequence {
    async fn start(seed: u64) -> FaultSequence {
        let start_time = Instant::now();
        let (test_group, engines) =
            TestGroup::start_without_load_subscription().await;
        test_group.log.set_era(Some(seed % 2));
        test_group.subscribe_to_agents(engines).await;
        let random = StdRng::seed_from_u64(seed);
        FaultSequence { test_group, start_time, random, rollback_count: 0 }
    }

    fn draw_random_duration(&mut self, max_ms: u64) -> Duration {
        Duration::from_millis(self.random.random_range(0..max_ms))
    }

    async fn inject_random_fault(&mut self) {
        let agent = self.random.random_range(0..usize::from(RANK_COUNT));
        match self.random.random_range(0..6) {
            0 | 1 => {
                let copy = Instant::now()
                    - self.draw_random_duration(MAX_LOG_COPY_AGE_MS);
                self.test_group.log.roll_back(copy.max(self.start_time));
                self.rollback_count += 1;
            }
            2 => self.kill_and_restart_agents(agent..=agent),
            3 => self.kill_and_restart_agents(0..=usize::from(RANK_COUNT) - 1),
            4 => {
                let time = self.draw_random_duration(1_500);
                self.test_group.send_signal_to_agent(agent, Signal::STOP);
                sleep(time).await;
                self.test_group.send_signal_to_agent(agent, Signal::CONT);
            }
            _ => {
                let first = self.random.random_range(0..EXPERTS_PER_SET);
                self.test_group.group.concentrate_demand(first);
            }
        }
    }

    fn kill_and_restart_agents(
        &mut self,
        agents: std::ops::RangeInclusive<usize>,
    ) {
        for agent in agents.clone() {
            self.test_group.send_signal_to_agent(agent, Signal::KILL);
        }
        for agent in agents {
            self.test_group.agents[agent].restart_agent_after_exit();
        }
    }

    /// Returns the fencing numbers of all coordinators so far, from the
    /// agents' log files.
    fn fencing_numbers_in_agent_logs(&self) -> Vec<u64> {
        let mut numbers = Vec::new();
        for agent in &self.test_group.agents {
            let text =
                fs::read_to_string(agent_log_path(&agent.settings_file));
            let text = text.expect("a readable log file");
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

async fn run_fault_sequence(seed: u64) {
    let mut fault_sequence = FaultSequence::start(seed).await;
    for _ in 0..FAULTS_PER_SEED {
        fault_sequence.inject_random_fault().await;
        let pause = fault_sequence.draw_random_duration(700);
        sleep(pause).await;
    }
    let test_group = &fault_sequence.test_group;
    test_group.group.concentrate_demand(3);
    println!(
        "seed {seed}: lines in {:?}",
        agent_log_path(&test_group.agents[0].settings_file)
    );
    test_group.wait_until_load_is_balanced().await;
    let (numbers, tally) = (
        fault_sequence.fencing_numbers_in_agent_logs(),
        test_group.group.pass_counts(),
    );
    println!(
        "seed {seed}: {} rollbacks, numbers {numbers:?}, {tally:?}",
        fault_sequence.rollback_count
    );
    assert!(!numbers.is_empty());
    let twice = numbers.windows(2).find(|it| it[0] == it[1]);
    assert_eq!(twice, None, "seed {seed}: {numbers:?}");
    assert_eq!(tally.mixed_passes, 0, "seed {seed}: {tally:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn log_rollbacks_reuse_no_fencing_number() {
    let variable = |name: &str| std::env::var(name).ok()?.parse().ok();
    let first = variable("FIRST_SEED").unwrap_or(1);
    for seed in (first..).take(variable("SEEDS").unwrap_or(1) as usize) {
        run_fault_sequence(seed).await;
    }
}
