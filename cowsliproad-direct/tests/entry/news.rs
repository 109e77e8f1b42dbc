//! Configuration and targets, with a log that has troubles.

use std::time::{Duration, Instant};

use cowsliproad_kernel::{
    clock::Millis,
    gossip::{self, Datagram, EngineLoad},
};
use cowsliproad_platform::log::{CONFIG_TOPIC, TARGETS_TOPIC};
use cowsliproad_platform_standin::{catalog::RouteKind, log::Fault, target};
use http::StatusCode;
use tokio::net::UdpSocket;

use crate::harness::{Entry, KEY, Plant, report, until};

/// The time in which news has to be in force.
const BOUND: Duration = Duration::from_millis(2_000);

async fn status(entry: &Entry, path: &str, key: &str) -> StatusCode {
    entry.status(path, key).await.expect("an answer")
}

#[tokio::test(flavor = "multi_thread")]
async fn routes_and_keys_come_and_go_in_time() {
    let mut plant = Plant::start().await;
    plant.target("i-1", "plain").await;
    let entry = plant.entry().await;
    assert_eq!(status(&entry, "/new/", KEY).await, StatusCode::NOT_FOUND);
    let catalog = plant
        .catalog
        .clone()
        .with_route("/new/", RouteKind::Idempotent, "plain", 1_000)
        .without_route("/once/")
        .with_organisation("harju", &["key-2"]);
    plant.catalog = catalog;
    plant.catalog.publish(&plant.log);
    let changed = Instant::now();
    until("the new key holds", async || {
        status(&entry, "/new/", "key-2").await == StatusCode::OK
    })
    .await;
    assert!(changed.elapsed() < BOUND);
    let old = status(&entry, "/new/", KEY).await;
    assert_eq!(old, StatusCode::UNAUTHORIZED);
    let gone = status(&entry, "/once/", "key-2").await;
    assert_eq!(gone, StatusCode::NOT_FOUND);
}

#[tokio::test(flavor = "multi_thread")]
async fn dropped_history_hides_nothing() {
    let mut plant = Plant::start().await;
    plant.target("i-1", "plain").await;
    let entry = plant.entry().await;
    plant.log.set_fault(Fault::Refusing);
    let two = plant.target("i-2", "plain").await;
    plant.catalog = plant.catalog.clone().with_route(
        "/new/",
        RouteKind::Idempotent,
        "plain",
        1_000,
    );
    plant.catalog.publish(&plant.log);
    plant.log.drop_history(CONFIG_TOPIC);
    plant.log.drop_history(TARGETS_TOPIC);
    plant.log.set_fault(Fault::None);
    until("the new route holds", async || {
        status(&entry, "/new/", KEY).await == StatusCode::OK
    })
    .await;
    until("the new target serves", async || {
        status(&entry, "/new/", KEY).await;
        two.arrival_count() > 0
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_the_log_turns_away_learns_from_another() {
    let mut plant = Plant::start().await;
    let target = plant.target("i-1", "plain").await;
    let first = plant.entry().await;
    let mut settings = plant.settings(&[&first]);
    // Nobody listens there.
    settings.log_address.set_port(1);
    let second = Entry::start(settings);
    second.until_ready().await;
    assert_eq!(status(&second, "/many/a", KEY).await, StatusCode::OK);
    plant.catalog =
        plant.catalog.clone().with_organisation("harju", &["key-2"]);
    plant.catalog.publish(&plant.log);
    let changed = Instant::now();
    until("the key is taken away", async || {
        status(&second, "/many/a", KEY).await == StatusCode::UNAUTHORIZED
    })
    .await;
    assert!(changed.elapsed() < BOUND);
    target.announce(&plant.log, "draining");
    let left = Instant::now();
    until("the leaving target gets nothing", async || {
        let before = target.arrival_count();
        status(&second, "/once/a", "key-2").await;
        target.arrival_count() == before
    })
    .await;
    // One answer above waits for a target for up to its own patience.
    let waited = Duration::from_millis(second.settings.target_wait_ms.0);
    assert!(left.elapsed() < BOUND + waited);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_target_gets_nothing_new() {
    let mut plant = Plant::start().await;
    let one = plant.target("i-1", "plain").await;
    plant.target("i-2", "plain").await;
    let entry = plant.entry().await;
    one.announce(&plant.log, "draining");
    tokio::time::sleep(BOUND).await;
    let before = one.arrival_count();
    for _ in 0..40 {
        assert_eq!(status(&entry, "/many/a", KEY).await, StatusCode::OK);
    }
    assert_eq!(one.arrival_count(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_address_used_again_runs_nothing_of_the_old_service() {
    let mut plant = Plant::start().await;
    let old = plant.target("i-1", "plain").await;
    let new = plant.target("i-2", "plain").await;
    let entry = plant.entry().await;
    // The log still lists the old incarnation at an address where another
    // listens now.
    let address = new.listen_address().expect("it listens");
    let entry_of_old = target::Announcement {
        service: "model",
        listen_address: address,
        zone: "a",
        state: "ready",
        sequence: 9,
        start_unix_ms: None,
    };
    plant.log.put(
        TARGETS_TOPIC,
        "i-gone",
        Some(entry_of_old.to_json().as_bytes()),
    );
    until("the old incarnation is met and found gone", async || {
        status(&entry, "/many/model/a", KEY).await
            == StatusCode::SERVICE_UNAVAILABLE
    })
    .await;
    assert_eq!(
        (old.executed_requests().len(), new.executed_requests().len()),
        (0, 0)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_starts_while_the_log_is_away() {
    let mut plant = Plant::start().await;
    plant.target("i-1", "plain").await;
    plant.log.set_fault(Fault::Silent);
    let settings = plant.settings(&[]);
    let entry = Entry::start(settings);
    until("the entry answers", async || entry.ask("/many/a").await.is_ok())
        .await;
    let early = status(&entry, "/many/a", KEY).await;
    assert_eq!(early, StatusCode::SERVICE_UNAVAILABLE);
    assert!(!entry.is_ready().await);
    plant.log.set_fault(Fault::None);
    entry.until_ready().await;
    assert_eq!(status(&entry, "/many/a", KEY).await, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_calm_entry_calls_the_log_at_most_twice_a_second() {
    let mut plant = Plant::start().await;
    plant.target("i-1", "plain").await;
    let entry = plant.entry().await;
    let before = plant.log.call_count();
    let span = Duration::from_secs(3);
    tokio::time::sleep(span).await;
    let calls = plant.log.call_count() - before;
    assert!(calls <= 2 * span.as_secs(), "{calls} calls");
    assert!(entry.settings.drain_ms > Millis(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_big_configuration_comes_in_force_while_requests_go_on() {
    let mut plant = Plant::start().await;
    plant.target("i-1", "plain").await;
    let entry = plant.entry().await;
    let mut catalog = plant.catalog.clone();
    for number in 0..3_000 {
        let prefix = format!("/big{number}/");
        catalog =
            catalog.with_route(&prefix, RouteKind::Idempotent, "plain", 1_000);
    }
    plant.catalog = catalog;
    plant.catalog.publish(&plant.log);
    let changed = Instant::now();
    until("the last of its routes serves", async || {
        assert_eq!(status(&entry, "/once/a", KEY).await, StatusCode::OK);
        status(&entry, "/big2999/", KEY).await == StatusCode::OK
    })
    .await;
    assert!(changed.elapsed() < BOUND);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_shorter_timeout_holds_for_new_requests() {
    let mut plant = Plant::start().await;
    let target = plant.target("i-1", "plain").await;
    let entry = plant.entry().await;
    plant.catalog = plant
        .catalog
        .clone()
        .without_route("/once/")
        .with_route("/once/", RouteKind::Once, "plain", 300)
        .with_route("/new/", RouteKind::Once, "plain", 300);
    plant.catalog.publish(&plant.log);
    until("it is in force", async || {
        status(&entry, "/new/", KEY).await == StatusCode::OK
    })
    .await;
    target.set_fault(target::Fault::Silent);
    let asked = Instant::now();
    let answer = status(&entry, "/once/a", KEY).await;
    assert_eq!(answer, StatusCode::GATEWAY_TIMEOUT);
    // The caller itself would wait for 4 s.
    assert!(asked.elapsed() < BOUND);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_lapsed_and_is_back_is_used_by_every_entry() {
    let mut plant = Plant::start().await;
    let lapsed = plant.target("i-1", "plain").await;
    plant.target("i-2", "plain").await;
    let first = plant.entry().await;
    let settings = plant.settings(&[&first]);
    let second = Entry::start(settings);
    second.until_ready().await;
    lapsed.withdraw_announcement(&plant.log);
    // Each entry has seen it go and was told so by the other.
    tokio::time::sleep(BOUND).await;
    lapsed.announce(&plant.log, "ready");
    for entry in [&first, &second] {
        until("it is used again", async || {
            let before = lapsed.arrival_count();
            status(entry, "/many/a", KEY).await;
            lapsed.arrival_count() > before
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_read_the_targets_for_one_another() {
    let mut plant = Plant::start().await;
    plant.target("i-1", "plain").await;
    let first = plant.entry().await;
    let mut entries = Vec::new();
    for _ in 0..4 {
        let entry = Entry::start(plant.settings(&[&first]));
        entry.until_ready().await;
        entries.push(entry);
    }
    let before = plant.log.call_count();
    let span = Duration::from_secs(4);
    tokio::time::sleep(span).await;
    let calls = plant.log.call_count() - before;
    // One alone reads up to 1.7 times a second.
    assert!(calls <= 3 * span.as_secs(), "{calls} calls of five entries");
    let new = plant.target("i-2", "plain").await;
    for entry in entries.iter().chain([&first]) {
        until("the new target is used", async || {
            let before = new.arrival_count();
            status(entry, "/many/a", KEY).await;
            new.arrival_count() > before
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_storm_of_versions_is_followed_with_few_calls() {
    let mut plant = Plant::start().await;
    plant.target("i-1", "plain").await;
    let entry = plant.entry().await;
    let before = plant.log.call_count();
    let begun = Instant::now();
    for number in 0..400 {
        let prefix = format!("/storm{number}/");
        plant.catalog = plant.catalog.clone().with_route(
            &prefix,
            RouteKind::Idempotent,
            "plain",
            1_000,
        );
        plant.catalog.publish(&plant.log);
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    until("the last version holds", async || {
        status(&entry, "/storm399/", KEY).await == StatusCode::OK
    })
    .await;
    let seconds = begun.elapsed().as_secs() + 1;
    let calls = plant.log.call_count() - before;
    // 20 for the configuration and 2 for the targets, each second.
    assert!(calls <= 22 * seconds, "{calls} calls in {seconds} s");
}

/// Guards against an operator who can't see from an entry's metrics how far a
/// group's expert map is from balance.
#[tokio::test(flavor = "multi_thread")]
async fn the_skew_of_a_groups_expert_map_is_a_metric() {
    let mut plant = Plant::start().await;
    let target = plant.target("i-1", "model").await;
    let entry = plant.entry().await;
    let load =
        EngineLoad { expert_map_skew_percent: Some(168), ..report(&target) };
    let bytes = gossip::encode(&Datagram::Load(load));
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let to = entry.settings.own_peer_address();
    socket.send_to(&bytes, to).await.expect("the report is sent");
    until("the metric shows the skew", async || {
        entry.metric("expert_map_skew_percent").await == Some(168.0)
    })
    .await;
}

/// Guards against metrics that hide whether the long poll or its check was
/// answered.
#[tokio::test(flavor = "multi_thread")]
async fn metrics_tell_polls_and_checks_of_the_log_apart() {
    let mut plant = Plant::start().await;
    plant.target("i-1", "plain").await;
    let entry = plant.entry().await;
    for call in ["read", "check"] {
        let age = format!("log_answer_age_ms{{call=\"{call}\"");
        until("the age is shown", async || entry.metric(&age).await.is_some())
            .await;
    }
}
