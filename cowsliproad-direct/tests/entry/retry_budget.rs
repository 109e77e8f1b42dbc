//! All entries together keep the retry budget over any window, also when
//! entries restart inside it.

use std::time::{Duration, Instant};

use rustix::process::Signal;
use tokio::time::sleep;

use crate::{
    harness::write,
    processes::Address,
    retries::{BUDGET, Load, Usage},
};

const ENTRIES: usize = 4;

/// From the start of the failures to the first restart.
const BEFORE: Duration = Duration::from_millis(1_500);

/// Plays a disruption while all targets fail, and returns what arrived.
async fn usage_during(
    load: &Load,
    disruption: impl AsyncFnOnce(&Load),
) -> Usage {
    let begun = Instant::now();
    load.send_during(1, async {
        load.pass_window().await;
        load.set_failing(true);
        sleep(BEFORE).await;
        disruption(load).await;
        load.pass_window().await;
    })
    .await;
    let usage = load.usage(begun, Instant::now());
    println!("{usage:?}");
    usage
}

async fn check_kept(disruption: impl AsyncFnOnce(&Load)) {
    let load = Load::start(ENTRIES).await;
    let usage = usage_during(&load, disruption).await;
    assert!(usage.worst <= 1.0, "{} of the budget", usage.worst);
}

async fn kill(load: &Load, place: usize) {
    load.processes.replace(place, Signal::KILL, Address::Same).await;
}

#[tokio::test]
async fn targets_that_fail_get_no_more_retries_than_the_budget() {
    check_kept(async |_| {}).await;
}

/// Guards against windows that are lost with all processes at once: the new
/// ones spend the budget again.
#[tokio::test]
async fn entries_killed_at_once_spend_no_budget_twice() {
    check_kept(async |load| {
        let all = (0..ENTRIES).map(|it| kill(load, it));
        futures_util::future::join_all(all).await;
    })
    .await;
}

/// Guards against windows that are lost one after the other.
#[tokio::test]
async fn entries_killed_in_turn_spend_no_budget_twice() {
    check_kept(async |load| {
        for place in 0..ENTRIES {
            kill(load, place).await;
            sleep(Duration::from_millis(600)).await;
        }
    })
    .await;
}

/// Guards against one place whose processes spend their part each.
#[tokio::test]
async fn an_entry_killed_again_and_again_spends_its_part_once() {
    check_kept(async |load| {
        for _ in 0..4 {
            kill(load, 1).await;
            sleep(Duration::from_millis(700)).await;
        }
    })
    .await;
}

/// Guards against releases that spend the budget twice: each process ends well
/// and its successor has to know what it spent.
#[tokio::test]
async fn a_rolling_release_spends_no_budget_twice() {
    check_kept(async |load| {
        let (first, second) =
            (0..ENTRIES).partition::<Vec<_>, _>(|it| it % 2 == 0);
        for places in [first, second] {
            let places = places.iter().map(|it| load.processes.release(*it));
            futures_util::future::join_all(places).await;
        }
    })
    .await;
}

/// Guards against entries that join with a part beside those that have spent
/// theirs.
#[tokio::test]
async fn entries_that_join_get_no_part_that_others_have_spent() {
    check_kept(async |load| {
        for place in 0..ENTRIES {
            let settings = load.plant.borrow_mut().settings(&[]);
            let address = Address::Of(Box::new(settings));
            load.processes.replace(place, Signal::KILL, address).await;
        }
    })
    .await;
}

/// Guards against a budget that is left unused although no entry restarts.
#[tokio::test]
async fn entries_that_never_restart_use_their_budget() {
    let load = Load::start(ENTRIES).await;
    let mut failing_since = Instant::now();
    load.send_during(1, async {
        load.pass_window().await;
        load.set_failing(true);
        failing_since = Instant::now();
        load.pass_window().await;
        load.pass_window().await;
    })
    .await;
    let whole = BUDGET.window_ms.duration();
    let usage = load.usage(failing_since + whole, failing_since + 2 * whole);
    println!("{usage:?}");
    assert!(usage.mean >= 0.85, "{} of the budget is used", usage.mean);
}

/// Guards against a reload that forgets what was spent.
#[tokio::test]
async fn a_reload_with_another_budget_spends_nothing_twice() {
    check_kept(async |load| {
        for place in 0..ENTRIES {
            load.processes.with(place, |_, entry| {
                let mut settings = entry.settings.clone();
                settings.retries.extra_retries -= 0.5;
                write(&entry.file, &settings);
                entry.signal(Signal::HUP);
            });
        }
    })
    .await;
}
