//! Entries are killed, several at once too, released, replaced at other
//! addresses, stopped and suspended while targets refuse everything at times
//! and the platform's log misbehaves; in series that overlap, drawn from a
//! seed. Counted is what arrives at targets beyond the first of each request.
//!
//! `FIRST_SEED=1 SEEDS=50 cargo test -p cowsliproad-direct --test entry retry_siege -- --nocapture`
//! plays more of them and prints a line for each, with `ENTRIES=60` at the
//! size of a larger fleet. With `LOGS=DIRECTORY` each entry's lines are kept
//! there.

use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

use cowsliproad_platform_standin::log;
use futures_util::future::join_all;
use rand::{Rng, SeedableRng, rngs::StdRng};
use rustix::process::Signal;
use tokio::time::sleep;

use crate::{processes::Address, retries::Load, siege};

/// Entries, where `ENTRIES` doesn't say how many.
const ENTRIES: usize = 4;

/// How long targets refuse before there is trouble, how long that lasts, and
/// how long targets refuse after it.
const BEFORE: Duration = Duration::from_secs(2);
const TROUBLE: Duration = Duration::from_secs(12);
const AFTER: Duration = Duration::from_secs(5);

struct Siege {
    load: Load,
    random: RefCell<StdRng>,
}

impl Siege {
    fn draw(&self, below: usize) -> usize {
        self.random.borrow_mut().random_range(0..below)
    }

    fn draw_place(&self) -> usize {
        self.draw(self.load.processes.count())
    }

    async fn change_targets(&self) {
        let begun = Instant::now();
        while begun.elapsed() < TROUBLE {
            match self.draw(4) {
                0 => self.load.set_failing(false),
                1 => self.load.set_target_failing(self.draw(4), true),
                _ => self.load.set_failing(true),
            }
            let pause = 300 + self.draw(1_500) as u64;
            sleep(Duration::from_millis(pause)).await;
        }
        self.load.set_failing(true);
    }

    /// Troubles in series; several series overlap.
    async fn make_trouble(&self) {
        let begun = Instant::now();
        while begun.elapsed() < TROUBLE {
            match self.draw(8) {
                0 | 1 => self.kill(self.draw_place()).await,
                2 => self.kill_several().await,
                3 => self.load.processes.release(self.draw_place()).await,
                4 => self.replace_elsewhere().await,
                5 => {
                    let time =
                        Duration::from_millis(200 + self.draw(2_000) as u64);
                    self.load.processes.suspend(self.draw_place(), time).await;
                }
                6 => self.set_log(log::Fault::Refusing),
                _ => self.set_log(log::Fault::None),
            }
            let pause = 100 + self.draw(900) as u64;
            sleep(Duration::from_millis(pause)).await;
        }
        self.set_log(log::Fault::None);
    }

    async fn kill(&self, place: usize) {
        let processes = &self.load.processes;
        processes.replace(place, Signal::KILL, Address::Same).await;
    }

    async fn kill_several(&self) {
        let spared = self.draw_place();
        let all = self.draw(3) == 0;
        let places = 0..self.load.processes.count();
        let killed = places.filter(|it| all || *it != spared);
        join_all(killed.map(|it| self.kill(it))).await;
    }

    async fn replace_elsewhere(&self) {
        let settings = self.load.plant.borrow_mut().settings(&[]);
        let address = Address::Of(Box::new(settings));
        let place = self.draw_place();
        let processes = &self.load.processes;
        processes.replace(place, Signal::KILL, address).await;
    }

    fn set_log(&self, fault: log::Fault) {
        self.load.plant.borrow().log.set_fault(fault);
    }
}

async fn play(seed: u64) {
    let load = Load::start(siege::size(ENTRIES)).await;
    let random = RefCell::new(StdRng::seed_from_u64(seed + 1_000));
    let siege = Siege { load, random };
    let begun = Instant::now();
    siege
        .load
        .send_during(seed, async {
            siege.load.pass_window().await;
            siege.load.set_failing(true);
            sleep(BEFORE).await;
            tokio::join!(
                siege.make_trouble(),
                siege.make_trouble(),
                siege.change_targets(),
            );
            sleep(AFTER).await;
        })
        .await;
    let usage = siege.load.usage(begun, Instant::now());
    println!(
        "seed {seed}: worst {:.2} of the budget, mean {:.2}; {} replaced, \
         served {}, other {}",
        usage.worst,
        usage.mean,
        siege.load.processes.replaced(),
        siege.load.good.get(),
        siege.load.other.get(),
    );
    assert!(usage.worst <= 1.0, "seed {seed}: {} of the budget", usage.worst);
}

#[tokio::test]
async fn a_siege_gets_targets_no_more_retries_than_the_budget() {
    for seed in siege::seeds() {
        play(seed).await;
    }
}
