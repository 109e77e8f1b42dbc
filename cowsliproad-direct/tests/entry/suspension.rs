//! VMs that are suspended for seconds: the monotonic clock of a process doesn't
//! count that time, and nothing that the process knows is younger for it.

use std::{
    process::Stdio,
    time::{Duration, Instant},
};

use cowsliproad_platform_standin::{
    proxy::{LinkState, Proxy},
    target::{Fault, TargetConfig},
};
use http::StatusCode;
use tokio::time::sleep;

use crate::{
    harness::{Entry, KEY, Plant, until},
    limits::{SPAN, load, most_within},
    processes::LOG_PORT,
};

/// The time in which a change is in force (`config_apply_ms`, `drain_ms`).
const BOUND: Duration = Duration::from_millis(2_000);

/// How long a suspension may be that leaves an entry time for a change that
/// was made as it began.
const SUSPENSION: Duration = Duration::from_millis(1_600);

/// The timeout of the route to a service, and how much later an answer may
/// come.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(4_000);
const MAX_DELAY: Duration = Duration::from_millis(500);

/// How long an entry needs to send its next long poll.
const POLL_SENT: Duration = Duration::from_millis(100);

/// An entry that can be suspended, and its link to the log.
struct Site {
    plant: Plant,
    entry: Entry,
    link: Proxy,
}

impl Site {
    async fn start(plant: Plant) -> Site {
        let mut plant = plant;
        let mut settings = plant.settings(&[]);
        let ip = settings.caller_listen_address.ip();
        let link = Proxy::start((ip, LOG_PORT).into(), plant.log_address);
        let link = link.await.expect("a proxy");
        settings.log_address = link.listen_address();
        let entry = Entry::start_suspendable(settings, Stdio::null());
        entry.until_ready().await;
        Site { plant, entry, link }
    }
}

/// Guards against an entry that counts its last check of the configuration as
/// younger than it is.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_is_in_force_in_time_after_a_suspension() {
    let mut plant = Plant::start().await;
    plant.target("i-1", "plain").await;
    let mut site = Site::start(plant).await;
    sleep(POLL_SENT).await;
    site.link.silence_open_connections(LinkState::Cut);
    let catalog = site.plant.catalog.clone();
    site.plant.catalog = catalog.with_organisation("harju", &["k"]);
    site.plant.catalog.publish(&site.plant.log);
    let published = Instant::now();
    site.entry.suspend(SUSPENSION).await;
    until("the key is good", async || {
        site.entry.status("/many/a", "k").await == Some(StatusCode::OK)
    })
    .await;
    let took = published.elapsed();
    assert!(took < BOUND, "{took:?}");
}

/// Guards against targets that get requests after they left, since the last
/// read of the targets seems younger than it is.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_left_gets_nothing_after_a_suspension() {
    let mut plant = Plant::start().await;
    plant.target("i-1", "plain").await;
    let leaving = plant.target("i-2", "plain").await;
    let site = Site::start(plant).await;
    until("the target is used", async || {
        site.entry.status("/many/a", KEY).await;
        leaving.arrival_count() > 0
    })
    .await;
    let calls = site.plant.log.call_count();
    until("the targets are read", async || {
        site.plant.log.call_count() > calls
    })
    .await;
    sleep(POLL_SENT).await;
    leaving.announce(&site.plant.log, "draining");
    let announced = Instant::now();
    site.entry.suspend(SUSPENSION).await;
    sleep(BOUND.saturating_sub(announced.elapsed())).await;
    let before = leaving.arrival_count();
    for _ in 0..20 {
        let status = site.entry.status("/many/a", KEY).await;
        assert_eq!(status, Some(StatusCode::OK));
    }
    assert_eq!(leaving.arrival_count(), before);
}

/// Guards against requests in hand that are answered late by the time of the
/// suspension.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_in_hand_is_answered_by_its_deadline() {
    let mut plant = Plant::start().await;
    let slow = TargetConfig::new("i-1", "plain", "a");
    let slow = slow.with_response_delay(5 * ROUTE_TIMEOUT);
    plant.target_with(slow).await;
    let site = Site::start(plant).await;
    let sent = Instant::now();
    let asked = site.entry.ask("/many/a");
    let suspending = async {
        sleep(Duration::from_millis(500)).await;
        site.entry.suspend(Duration::from_millis(3_000)).await;
    };
    let (answer, ()) = tokio::join!(asked, suspending);
    let took = sent.elapsed();
    assert!(answer.is_ok(), "{answer:?}");
    assert!(took < ROUTE_TIMEOUT + MAX_DELAY, "{took:?}");
}

/// Guards against cooldowns that last longer by the time of the suspension.
#[tokio::test(flavor = "multi_thread")]
async fn a_cooldown_ends_though_the_entry_was_suspended() {
    let mut plant = Plant::start().await;
    let target = plant.target("i-1", "plain").await;
    let site = Site::start(plant).await;
    target.set_retry_after(Some("4"));
    target.set_fault(Fault::Refuse);
    let refused = site.entry.status("/once/a", KEY).await;
    assert_eq!(refused, Some(StatusCode::SERVICE_UNAVAILABLE));
    target.set_retry_after(None);
    target.set_fault(Fault::None);
    site.entry.suspend(Duration::from_millis(4_000)).await;
    let resumed = Instant::now();
    until("the target is used", async || {
        site.entry.status("/many/a", KEY).await == Some(StatusCode::OK)
    })
    .await;
    let took = resumed.elapsed();
    assert!(took < BOUND, "{took:?}");
}

/// Guards against permits of a rate-limited target that pile up over a
/// suspension and are used together after it.
#[tokio::test(flavor = "multi_thread")]
async fn a_limit_is_kept_after_a_suspension() {
    const RATE: usize = 5;
    let mut plant = Plant::start().await;
    let target = plant.target("i-1", "plain").await;
    let site = Site::start(plant).await;
    target.set_rate_limit(Some("5"));
    let pause = Duration::from_millis(20);
    load(&[&site.entry], "/many/a", pause, SPAN / 2).await;
    site.entry.suspend(Duration::from_millis(6_000)).await;
    let resumed = Instant::now();
    load(&[&site.entry], "/many/a", pause, SPAN).await;
    let most = most_within(&target, resumed, SPAN);
    let allowed = 1.5 * RATE as f64 * SPAN.as_secs_f64() + 5.0;
    assert!(most as f64 <= allowed, "{most} in 4 s");
    assert!(most >= RATE, "the target is left idle: {most} in 4 s");
}
