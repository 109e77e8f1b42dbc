//! The whole path as separate processes, and under signals.

mod harness;

use std::{sync::Arc, sync::atomic::Ordering, time::Duration};

use cowsliproad_bench::{
    caller::Caller,
    experiment::demo,
    tally::{Runs, Tally},
    workload::{Job, KINDS},
};
use rand::{SeedableRng, rngs::StdRng};
use rustix::process::Signal;

use crate::harness::Plant;

#[tokio::test(flavor = "multi_thread")]
async fn each_request_type_is_answered_end_to_end() {
    let plant = Plant::start("thin", 1, 2).await;
    let tally = Arc::new(Tally::new());
    let caller = Caller::new(plant.balancer.clone(), tally.clone());
    let mut random = StdRng::seed_from_u64(1);
    for (number, kind) in KINDS.iter().enumerate() {
        let job = Job { number: number as u64, ..Job::of(kind, &mut random) };
        caller.send(&job).await;
    }
    assert!(tally.is_kept(Runs::default()), "{}", tally.json(Runs::default()));
    assert_eq!(tally.whole.load(Ordering::Relaxed), KINDS.len() as u64);
}

#[tokio::test(flavor = "multi_thread")]
async fn stopping_programs_exit_with_success() {
    let mut plant = Plant::start("stop", 1, 2).await;
    let patience = Duration::from_secs(20);
    let agent = &mut plant.sites[1].agent;
    assert!(agent.is_running());
    agent.signal(Signal::TERM);
    assert!(agent.ended(patience).await.success());
    let entry = &mut plant.entries[0].program;
    entry.signal(Signal::TERM);
    assert!(entry.ended(patience).await.success());
}

/// Requests in the run under signals.
const REQUESTS: u64 = 1_500;

#[tokio::test(flavor = "multi_thread")]
async fn signals_lose_and_double_nothing() {
    let mut plant = Plant::start("signals", 3, 5).await;
    let tally = Arc::new(Tally::new());
    let caller = Caller::new(plant.balancer.clone(), tally.clone());
    let load = tokio::spawn(demo::load(caller, REQUESTS, 7));

    demo::reach(&tally, REQUESTS / 5).await;
    plant.sites[1].agent.signal(Signal::STOP);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    plant.sites[1].agent.signal(Signal::CONT);

    demo::reach(&tally, REQUESTS * 2 / 5).await;
    let agent = &mut plant.sites[2].agent;
    agent.signal(Signal::TERM);
    assert!(agent.ended(Duration::from_secs(20)).await.success());
    plant.restart_agent(2).await;

    demo::reach(&tally, REQUESTS * 3 / 5).await;
    let address = plant.entries[0].settings.caller_address;
    plant.entries[0].program.signal(Signal::KILL);
    plant.balancer.remove(address);

    demo::reach(&tally, REQUESTS * 4 / 5).await;
    let address = plant.entries[1].settings.caller_address;
    plant.balancer.stopping(address);
    let entry = &mut plant.entries[1].program;
    entry.signal(Signal::TERM);
    assert!(entry.ended(Duration::from_secs(20)).await.success());
    plant.balancer.remove(address);

    load.await.expect("the load ends");
    let runs = tally.runs(&plant.runs().await);
    assert!(tally.is_kept(runs), "{}", tally.json(runs));
    let whole = tally.whole.load(Ordering::Relaxed);
    assert_eq!(whole, REQUESTS, "{}", tally.json(runs));
}
