//! A zone that is cut off, and a target that leaves.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use cowsliproad_bench::{
    caller::{Balancer, Caller},
    plant::{Backend, Config, Plant},
    tally::{Runs, Tally},
    workload::{Job, KINDS},
};
use cowsliproad_config::{ConfigObject, object::DrainOrder};
use cowsliproad_standin::vms;
use rand::{SeedableRng, rngs::StdRng};

fn gate_check(number: u64) -> Job {
    let kind = KINDS.iter().find(|it| it.name == "gate-check");
    let mut random = StdRng::seed_from_u64(number);
    Job { number, ..Job::of(kind.expect("it is declared"), &mut random) }
}

/// The time until an entry has called nothing new at a target for a while.
async fn quiet_after(plant: &Plant, caller: &Caller, site: usize) -> Duration {
    let Backend::Plain(plain) = &plant.sites[site].backend else {
        panic!("the site is plain");
    };
    let start = Instant::now();
    let mut last = Duration::ZERO;
    let mut calls = plain.calls();
    let mut number = 0;
    while start.elapsed() < Duration::from_secs(4) {
        number += 1;
        caller.send(&gate_check(number)).await;
        if plain.calls() != calls {
            calls = plain.calls();
            last = start.elapsed();
        }
    }
    last
}

fn caller(plant: &Plant) -> (Caller, Arc<Tally>) {
    let tally = Arc::new(Tally::new());
    (Caller::new(plant.balancer.clone(), tally.clone()), tally)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_target_gets_nothing_new_within_two_seconds() {
    let plant = Plant::start(Config::new()).await.expect("it starts");
    let (caller, tally) = caller(&plant);
    let drain = ConfigObject::Drain(DrainOrder { target: "plain-1".into() });
    plant.load(&[drain]).await.expect("it is accepted");
    let quiet = quiet_after(&plant, &caller, 3).await;
    assert!(quiet < Duration::from_secs(2), "{quiet:?}");
    assert!(tally.is_kept(Runs::default()));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_the_vm_list_calls_leaving_gets_nothing_new() {
    let plant = Plant::start(Config::new()).await.expect("it starts");
    let (caller, tally) = caller(&plant);
    plant.vms.set("plain-1", vms::State::Leaving);
    // The list itself lags by half a second and is read every half second.
    let quiet = quiet_after(&plant, &caller, 3).await;
    assert!(quiet < Duration::from_secs(2), "{quiet:?}");
    assert!(tally.is_kept(Runs::default()));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_that_is_cut_off_serves_its_callers() {
    let plant = Plant::start(Config::new()).await.expect("it starts");
    plant.cut_zone(0, Duration::from_secs(60));
    // The cut breaks links; a moment later each side knows.
    tokio::time::sleep(Duration::from_millis(300)).await;
    for zone in 0..2 {
        let gateway = plant.gateways.iter().find(|it| it.zone == zone);
        let entry = gateway.and_then(|it| it.entry.as_ref());
        let balancer = Arc::new(Balancer::new());
        balancer.add(entry.expect("an entry is up").handle.caller_address);
        let tally = Arc::new(Tally::new());
        let caller = Caller::new(balancer, tally.clone());
        let mut random = StdRng::seed_from_u64(zone as u64);
        for number in 0..60 {
            let job = Job::draw(1_000 * zone as u64 + number, &mut random);
            caller.send(&job).await;
        }
        let runs = tally.runs(&plant.runs());
        assert!(tally.is_kept(runs), "{}", tally.json(runs));
        let figures = tally.json(runs);
        assert_eq!(figures["whole"], 60, "{figures}");
    }
}
