//! Numbers that targets tell of themselves, beside the limits that they name:
//! none that can't be is believed, and none outlives its time.
//!
//! Looked for after a limit that nobody read. Found: two loads that were added
//! without a bound ended the request that they came with; a load that was told
//! once held for good where no agent reports, so that a target that had been
//! busy for a moment stood idle; a time to keep connections for was multiplied
//! without a bound.

use std::time::Duration;

use cowsliproad_platform_standin::target::{Config, Target};

use crate::{harness::Plant, limits::load};

const PAUSE: Duration = Duration::from_millis(10);

/// Has a quick target tell something once beside a slow one, and counts what it
/// is sent in a second, some time after it told what it usually does.
async fn sent_after(
    told: &str,
    tell: impl Fn(&Target, Option<&str>),
    time: Duration,
) -> usize {
    let mut plant = Plant::start().await;
    let target = plant.target("i-1", "plain").await;
    let slow =
        Config::new("i-2", "plain", "a").with_delay(Duration::from_millis(15));
    plant.target_with(slow).await;
    let entries = plant.entries(2).await;
    tell(&target, Some(told));
    let heard =
        load(&entries, "/many/a", PAUSE, Duration::from_millis(300)).await;
    assert_eq!((heard.refused, heard.other), (0, 0), "{told}: {heard:?}");
    tell(&target, None);
    load(&entries, "/many/a", PAUSE, time).await;
    let before = target.arrivals();
    let heard = load(&entries, "/many/a", PAUSE, Duration::from_secs(1)).await;
    assert_eq!((heard.refused, heard.other), (0, 0), "{told}: {heard:?}");
    (target.arrivals() - before) as usize
}

#[tokio::test(flavor = "multi_thread")]
async fn a_load_that_cant_be_is_not_believed() {
    for told in ["4294967295,4294967295,8", "4000000000,0,8", "0,99999999,8"] {
        let time = Duration::from_millis(200);
        let sent = sent_after(told, |it, told| it.set_load(told), time).await;
        assert!(sent >= 50, "{told} is believed: {sent} of 100");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_load_that_was_told_once_does_not_hold_for_good() {
    let time = Duration::from_secs(6);
    let sent = sent_after("8,200,8", |it, told| it.set_load(told), time).await;
    assert!(sent >= 50, "it is left idle: {sent} of 100");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_time_to_keep_connections_that_cant_be_ends_no_request() {
    for told in ["18446744073709551615", "999999999999999", "0", "-1"] {
        let time = Duration::from_millis(200);
        let sent =
            sent_after(told, |it, told| it.set_keep_alive(told), time).await;
        assert!(sent >= 50, "{told}: {sent} of 100");
    }
}
