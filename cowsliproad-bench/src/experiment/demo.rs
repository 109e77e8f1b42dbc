//! The main job: two entries and four agents serve both users' requests
//! while a target is taken out and an entry goes down.

use std::{
    io,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cowsliproad_config::{ConfigObject, object::DrainOrder};
use cowsliproad_kernel::plugin::inventory;
use rand::{SeedableRng, rngs::StdRng};
use tokio::{sync::Semaphore, task::JoinSet, time::sleep};

use super::{Ending, Extent, Options, Outcome, Plugin, block_on};
use crate::{
    caller::Caller,
    plant::{Config, Plant},
    tally::Tally,
    workload::Job,
};

inventory::submit! {
    Plugin {
        name: "demo",
        about: "Serves both users while a target and an entry go",
        start: |options| block_on(run(options)),
    }
}

/// Requests under way at once.
const CALLERS: usize = 64;

async fn run(options: Options) -> io::Result<Outcome> {
    let count = match options.extent {
        Extent::Full => 4_000,
        Extent::Quick => 800,
    };
    eprintln!("starting two entries and four agents in two zones");
    let mut plant =
        Plant::start(Config { log: options.log, ..Config::new() }).await?;
    let tally = Arc::new(Tally::new());
    let caller = Caller::new(plant.balancer.clone(), tally.clone());
    eprintln!("sending {count} requests");
    let load = tokio::spawn(load(caller, count, options.seed));
    reach(&tally, count / 3).await;
    eprintln!("draining engine-1 and stopping its agent");
    let drain = ConfigObject::Drain(DrainOrder { target: "engine-1".into() });
    plant.load(&[drain]).await?;
    plant.stop_agent(1).await;
    reach(&tally, count * 2 / 3).await;
    eprintln!("killing entry-1");
    plant.kill_entry(1).await;
    load.await.map_err(io::Error::other)?;
    let runs = tally.runs(&plant.runs());
    let figures = tally.json(runs);
    let mut broken = Vec::new();
    if !tally.is_kept(runs) {
        broken.push(figures.to_string());
    }
    let table = format!("{}\n{}", summary(&figures), tally.table());
    if options.ending == Ending::Hold {
        hold(&plant).await;
    }
    Ok(Outcome::new(figures).with_table(table).with_broken(broken))
}

/// Sends requests with a bounded number under way.
pub async fn load(caller: Caller, count: u64, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let places = Arc::new(Semaphore::new(CALLERS));
    let mut calls = JoinSet::new();
    for number in 0..count {
        let job = Job::draw(number, &mut random);
        let place = places.clone().acquire_owned().await;
        let caller = caller.clone();
        calls.spawn(async move {
            caller.send(&job).await;
            drop(place);
        });
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
}

/// Waits until so many requests were sent.
pub async fn reach(tally: &Tally, count: u64) {
    while tally.sent.load(Ordering::Relaxed) < count {
        sleep(Duration::from_millis(5)).await;
    }
}

fn summary(figures: &serde_json::Value) -> String {
    let names = [
        "sent",
        "whole",
        "lost",
        "doubled",
        "mixed",
        "false_not_run",
        "refused",
        "resent",
    ];
    let lines =
        names.iter().map(|name| format!("{name:<14} {}\n", figures[name]));
    lines.collect()
}

async fn hold(plant: &Plant) {
    let up = plant.gateways.iter().filter_map(|it| it.entry.as_ref());
    for entry in up {
        let entry = &entry.handle;
        eprintln!(
            "callers http://{}  operators {}",
            entry.caller_address, entry.admin_address
        );
    }
    eprintln!("organisation key: {}", crate::workload::key("harju-hangars"));
    eprintln!("holding until SIGINT");
    // Without a signal handler there is nothing to wait for.
    let _ = tokio::signal::ctrl_c().await;
}
