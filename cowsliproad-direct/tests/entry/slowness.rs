//! Targets that are slow, for a moment or for long.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use cowsliproad_platform_standin::target::{Fault, Target};
use http::StatusCode;
use tokio::time::sleep;

use crate::harness::{Entry, KEY, Plant, until};

/// How long a slow target takes, many times its usual time.
const SLOW: Duration = Duration::from_millis(50);

/// In which a target that was so slow for a moment is used again.
const RETURN_TIME: Duration = Duration::from_secs(12);

/// Between two calls: few enough that one target alone serves them.
const GAP: Duration = Duration::from_millis(20);

/// Two targets that answer at once, of which one was slow for a request.
async fn slow_once(plant: &mut Plant) -> (Entry, Arc<Target>) {
    plant.target("i-1", "plain").await;
    let slow = plant.target("i-2", "plain").await;
    slow.set_fault(Fault::Slow(SLOW));
    let entry = plant.entry().await;
    until("the slow target is used", async || {
        call(&entry).await;
        slow.arrivals() > 0
    })
    .await;
    (entry, slow)
}

async fn call(entry: &Entry) {
    let answer = entry.status("/many/a", KEY).await;
    assert_eq!(answer, Some(StatusCode::OK));
}

/// Guards against a target that gets nothing for good after one slow answer,
/// since only an answer changes what its answers usually take.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_was_slow_once_is_used_again() {
    let mut plant = Plant::start().await;
    let (entry, slow) = slow_once(&mut plant).await;
    slow.set_fault(Fault::None);
    let (begun, before) = (Instant::now(), slow.arrivals());
    // It has to get a fair part again, not only a request to measure it.
    while slow.arrivals() < before + 20 {
        assert!(begun.elapsed() < RETURN_TIME, "{}", slow.arrivals() - before);
        call(&entry).await;
        sleep(GAP).await;
    }
}

/// Guards against callers who wait because slow targets are measured often.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_stays_slow_is_seldom_used() {
    let mut plant = Plant::start().await;
    let (entry, slow) = slow_once(&mut plant).await;
    let (begun, before) = (Instant::now(), slow.arrivals());
    let mut calls = 0;
    while begun.elapsed() < RETURN_TIME {
        call(&entry).await;
        calls += 1;
        sleep(GAP).await;
    }
    let sent = slow.arrivals() - before;
    assert!(sent * 50 < calls, "{sent} of {calls}");
}
