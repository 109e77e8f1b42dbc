//! Connections to targets and to callers: kept, shared, and bounded.

use std::{io::ErrorKind, sync::Arc, time::Duration};

use cowsliproad_net::client::Client;
use cowsliproad_platform::header;
use cowsliproad_platform_standin::target::{Config, Target};
use http::{HeaderValue, StatusCode};
use http_body_util::BodyExt;
use tokio::{io::AsyncReadExt, time::sleep};

use crate::harness::{Entry, KEY, Plant, numbers, until};

#[tokio::test(flavor = "multi_thread")]
async fn requests_one_after_the_other_share_a_connection() {
    let mut plant = Plant::start().await;
    let target = plant.target("i-1", "plain").await;
    let entry = plant.entry().await;
    for _ in 0..20 {
        let answer = entry.ask("/many/a").await.expect("an answer");
        assert_eq!(answer.status(), StatusCode::OK);
    }
    assert_eq!(target.connections().opened, 1);
}

/// A target that takes so many connections from all entries together.
async fn narrow(most: u64) -> (Plant, Arc<Target>) {
    let mut plant = Plant::start().await;
    plant.catalog = plant.catalog.clone().with_max_connections("plain", most);
    plant.catalog.publish(&plant.log);
    let config =
        Config::new("i-1", "plain", "a").with_delay(Duration::from_millis(60));
    let target = plant.target_with(config).await;
    (plant, target)
}

/// Sends requests at once and counts the good answers.
async fn at_once(entries: &[Entry], path: &str, count: usize) -> usize {
    let asked = (0..count).map(|it| {
        let entry = &entries[it % entries.len()];
        let request = entry.request(path, KEY, "");
        tokio::spawn(async move {
            let patience = Duration::from_secs(10);
            Client::new().call(request, 1 << 20, patience).await
        })
    });
    let asked: Vec<_> = asked.collect();
    let mut good = 0;
    for answer in asked {
        let answer = answer.await.expect("no panic").expect("an answer");
        good += usize::from(answer.status() == StatusCode::OK);
    }
    good
}

/// As many entries as a target has connections: each was given two at least.
#[tokio::test(flavor = "multi_thread")]
async fn many_entries_together_keep_to_a_targets_connections() {
    const MOST: u64 = 4;
    let (mut plant, target) = narrow(MOST).await;
    let entries = plant.entries(MOST as usize).await;
    for path in ["/many/a", "/once/a"] {
        let good = at_once(&entries, path, 48).await;
        let connections = target.connections();
        let settled = connections.max_open_settled;
        assert!(settled <= MOST as usize, "{path}: {connections:?}");
        assert_eq!(good, 48, "{path}");
        // What must not be repeated takes no connection that idled for long.
        sleep(Duration::from_millis(400)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn all_entries_together_keep_to_a_targets_connections() {
    const MOST: u64 = 8;
    let (mut plant, target) = narrow(MOST).await;
    // Each has to know of the other before it knows its share.
    let entries = plant.entries(2).await;
    let good = at_once(&entries, "/many/a", 48).await;
    let connections = target.connections();
    assert!(connections.max_open <= MOST as usize, "{connections:?}");
    // Whoever found no connection free waited for one.
    assert_eq!(good, 48);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reader_that_pauses_holds_its_target_back_and_no_memory() {
    const EVENTS: u64 = 800;
    const BYTES: usize = 64 << 10;
    let mut plant = Plant::start().await;
    let config = Config::new("i-1", "model", "a")
        .with_events(EVENTS, Duration::ZERO)
        .with_event_padding(BYTES);
    let target = plant.target_with(config).await;
    let entry = plant.entry().await;
    let mut request = entry.request("/stream/a", KEY, "");
    let time = HeaderValue::from_static("8000");
    request.headers_mut().insert(header::TIME_LEFT, time);
    let client = Client::new();
    let answer = client.send(request).await.expect("an answer");
    let mut before = 0;
    until("the target is held back", async || {
        sleep(Duration::from_millis(250)).await;
        let sent = target.events_sent();
        std::mem::replace(&mut before, sent) == sent
    })
    .await;
    assert!(
        target.events_sent() < EVENTS,
        "all was taken in without a reader"
    );
    // 16 events wait in the entry, the rest in the system's buffers.
    let memory = entry.memory();
    assert!(memory < 40 << 20, "{memory} bytes");
    let body = answer.into_body().collect().await.expect("a whole stream");
    let body = body.to_bytes();
    assert_eq!(numbers(&body), (1..=EVENTS).collect::<Vec<_>>());
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_are_added_and_replaced_while_requests_go_on() {
    let mut plant = Plant::start().await;
    let target = plant.target("i-1", "plain").await;
    let first = plant.entry().await;
    let mut entries = Vec::new();
    for _ in 0..3 {
        let entry = Entry::start(plant.settings(&[&first]));
        entry.until_ready().await;
        entries.push(entry);
        let good = at_once(&entries, "/many/a", 12).await;
        assert_eq!(good, 12);
    }
    // One goes without a word, and another VM takes its place elsewhere.
    drop(entries.remove(0));
    let seed = &entries[0];
    let new = Entry::start(plant.settings(&[seed]));
    new.until_ready().await;
    entries.push(new);
    target.announce(&plant.log, "ready");
    let good = at_once(&entries, "/many/a", 12).await;
    assert_eq!(good, 12);
    until("all know of all that live", async || {
        for entry in &entries {
            // Those that went are still counted for a while.
            if entry.metric("peers").await.is_none_or(|it| it < 3.0) {
                return false;
            }
        }
        true
    })
    .await;
}

/// A target whose VM is frozen reads a request when it wakes. It must see
/// then that nobody waits for an answer, and not a caller that has merely
/// sent all that it had to say.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_sees_a_reset_where_the_caller_left() {
    let mut plant = Plant::start().await;
    let listener = plant.bare_target("i-1", "model", None).await;
    let entry = plant.entry().await;
    let request = entry.request("/stream/a", KEY, "");
    let asked = tokio::spawn(async move {
        let client = Client::new();
        client.send(request).await
    });
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut head = [0; 4_096];
    let read = stream.read(&mut head).await.expect("a request");
    assert!(head[..read].starts_with(b"POST /stream/a"));
    asked.abort();
    let after = stream.read(&mut head).await;
    let kind = after.map_err(|it| it.kind());
    assert_eq!(kind, Err(ErrorKind::ConnectionReset));
}
