//! Streams: whole, in order, resumed, and followed when the caller leaves.

use std::time::Duration;

use cowsliproad_net::client::Client;
use cowsliproad_platform::header;
use cowsliproad_platform_standin::target::{Config, Fault};
use http_body_util::BodyExt;

use crate::harness::{KEY, Plant, numbers, until};

/// An engine that streams.
fn engine(id: &str, pause: u64) -> Config {
    Config::new(id, "model", "a").with_events(20, Duration::from_millis(pause))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_comes_whole_and_in_order() {
    let mut plant = Plant::start().await;
    plant.target_with(engine("i-1", 2)).await;
    let entry = plant.entry().await;
    let answer = entry.ask("/stream/a").await.expect("an answer");
    assert_eq!(numbers(answer.body()), (1..=20).collect::<Vec<_>>());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_cut_inside_an_event_goes_on_elsewhere() {
    let mut plant = Plant::start().await;
    let one = plant.target_with(engine("i-1", 2)).await;
    let two = plant.target_with(engine("i-2", 2)).await;
    let entry = plant.entry().await;
    for _ in 0..4 {
        one.set(Fault::Cut);
        let answer = entry.ask("/stream/a").await.expect("an answer");
        assert_eq!(numbers(answer.body()), (1..=20).collect::<Vec<_>>());
    }
    let resumed = two.runs().iter().any(|it| it.after == Some(2));
    assert!(resumed, "{:?}", two.runs());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_cannot_go_on_does_not_look_complete() {
    let mut plant = Plant::start().await;
    let one = plant.target_with(engine("i-1", 2)).await;
    let two = plant.target_with(engine("i-2", 2)).await;
    let entry = plant.entry().await;
    one.set(Fault::Cut);
    two.set(Fault::Cut);
    let answer = entry.ask("/stream/a").await;
    assert!(answer.is_err(), "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_may_resume_its_stream() {
    let mut plant = Plant::start().await;
    plant.target_with(engine("i-1", 2)).await;
    let entry = plant.entry().await;
    let mut request = entry.request("/stream/a", KEY, "");
    request.headers_mut().insert(header::LAST_EVENT, 5.into());
    let answer = Client::new().send(request).await.expect("an answer");
    let body = answer.into_body().collect().await.expect("a body");
    assert_eq!(numbers(&body.to_bytes()), (6..=20).collect::<Vec<_>>());
}

#[tokio::test(flavor = "multi_thread")]
async fn the_target_stops_soon_after_the_caller_left() {
    let mut plant = Plant::start().await;
    let target = plant.target_with(engine("i-1", 200)).await;
    let entry = plant.entry().await;
    let client = Client::new();
    let request = entry.request("/stream/a", KEY, "");
    let mut answer = client.send(request).await.expect("an answer");
    let first = answer.body_mut().frame().await;
    assert!(first.is_some_and(|it| it.is_ok()));
    assert_eq!(target.working(), 1);
    drop(answer);
    drop(client);
    let left = std::time::Instant::now();
    until("the target stops", async || target.working() == 0).await;
    assert!(left.elapsed() < Duration::from_millis(600), "{left:?}");
}
