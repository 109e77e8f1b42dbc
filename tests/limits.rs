//! Rate limits that targets name in their responses, tested through entries
//! and agents.
//!
//! A target under pressure that named a limit kept getting its usual share of
//! requests: its agent sent it every request that had a slot, because nothing
//! read the headers of its responses. All requests for a target pass through
//! one agent, so the agent alone can keep the limit. The agent must not queue
//! requests that can't be served in time under the limit.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use cowsliproad_bench::{
    plant::{Backend, Config, Plant},
    workload,
};
use cowsliproad_net::client::Client;
use cowsliproad_standin::{limit::Limit, plain};
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::{
    task::JoinSet,
    time::{interval, sleep},
};

const ORGANISATION: &str = "harju-hangars";
/// A request type served by the plain target.
const PLAIN_PATH: &str = "/v1/access/gate-check";
/// A request type served by the engine.
const ENGINE_PATH: &str = "/v1/drafting/lease-draft";

/// The length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// The limit that targets name, in requests per second.
const LIMIT_PER_SECOND: usize = 5;

/// Requests that may arrive within a window beyond the limit: one at the end
/// of the window, and one from a permit that is used late.
const EXTRA_REQUESTS: usize = 2;

/// The answers to a load, by result.
#[derive(Debug, Default)]
struct Answers {
    succeeded: usize,
    /// Answers that say the request did not run.
    refused: usize,
    other: Vec<(StatusCode, Bytes)>,
    /// The longest time until a refusal.
    max_refusal_time: Duration,
}

async fn plant() -> Plant {
    let config = Config { engines: 1, plains: 1, entries: 3, ..Config::new() };
    let plant = Plant::start(config).await.expect("it starts");
    plant.settle().await.expect("agents are linked");
    plant
}

/// Returns the back end of each target and the path that it serves.
fn backends(plant: &Plant) -> Vec<(Backend, &'static str)> {
    let backends = plant.sites.iter().map(|it| it.backend.clone());
    backends
        .map(|it| match it {
            Backend::Plain(_) => (it, PLAIN_PATH),
            Backend::Engine(_) => (it, ENGINE_PATH),
        })
        .collect()
}

fn limit(backend: &Backend) -> &Limit {
    match backend {
        Backend::Plain(plain) => &plain.limit,
        Backend::Engine(engine) => &engine.limit,
    }
}

/// Sends requests through all entries in turn, one per `pause`, for a duration
/// of `time`.
async fn load(
    plant: &Plant,
    path: &str,
    pause: Duration,
    time: Duration,
) -> Answers {
    let client = Arc::new(Client::new());
    let mut calls = JoinSet::new();
    let mut ticks = interval(pause);
    let end = Instant::now() + time;
    for turn in 0.. {
        ticks.tick().await;
        if Instant::now() >= end {
            break;
        }
        let gateway = &plant.gateways[turn % plant.gateways.len()];
        let entry = gateway.entry.as_ref().expect("the entry is up");
        let address = entry.handle.caller_address;
        let body = match path {
            ENGINE_PATH => r#"{"messages":[],"max_tokens":4}"#.to_string(),
            _ => format!(r#"{{"id":"{turn}"}}"#),
        };
        let request = Request::post(format!("http://{address}{path}"))
            .header(
                "authorization",
                format!("Bearer {}", workload::key(ORGANISATION)),
            )
            .body(Full::new(Bytes::from(body)))
            .expect("the parts are valid");
        let client = client.clone();
        calls.spawn(async move {
            let start = Instant::now();
            let timeout = Duration::from_secs(60);
            let answer = client.call(request, 1 << 20, timeout).await;
            (answer.expect("an answer"), start.elapsed())
        });
    }
    let mut heard = Answers::default();
    while let Some(answer) = calls.join_next().await {
        let (answer, took) = answer.expect("no panic");
        let body = String::from_utf8_lossy(answer.body());
        if answer.status() == StatusCode::OK {
            heard.succeeded += 1;
        } else if body.contains("NOT_RUN") {
            heard.refused += 1;
            heard.max_refusal_time = heard.max_refusal_time.max(took);
        } else {
            heard.other.push((answer.status(), answer.into_body()));
        }
    }
    heard
}

/// Returns the maximum number of requests that arrived within one window, of
/// those since `after`.
fn max_in_window(limit: &Limit, after: Instant) -> usize {
    let mut arrivals = limit.times();
    arrivals.retain(|it| *it >= after);
    let count_from = |from: &Instant| {
        arrivals
            .iter()
            .filter(|it| (*from..*from + WINDOW).contains(it))
            .count()
    };
    arrivals.iter().map(count_from).max().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_enforces_its_targets_limit() {
    const TIME: Duration = Duration::from_secs(6);
    let plant = plant().await;
    for (backend, path) in backends(&plant) {
        limit(&backend).set(Some("5"));
        let start = Instant::now();
        let pause = Duration::from_millis(100);
        let heard = load(&plant, path, pause, TIME).await;
        assert!(heard.other.is_empty(), "{path}: {:?}", heard.other);
        // Requests that held a slot of the agent when the first response
        // named the limit don't count.
        let limit_known = start + Duration::from_millis(500);
        let most = max_in_window(limit(&backend), limit_known);
        let allowed =
            LIMIT_PER_SECOND * WINDOW.as_secs() as usize + EXTRA_REQUESTS;
        assert!(most <= allowed, "{path}: {most} in 4 s");
        let least = LIMIT_PER_SECOND * 5 * 8 / 10;
        assert!(
            heard.succeeded >= least,
            "{path}: target left idle, {} succeeded",
            heard.succeeded
        );
        // Requests to the engine may wait for longer than this test lasts.
        let may_wait = path == ENGINE_PATH;
        assert!(may_wait || heard.refused > 0, "{path}: {heard:?}");
        let most = Duration::from_millis(100);
        assert!(heard.max_refusal_time < most, "{path}: {heard:?}");
    }
}

/// Guards against requests that stay queued when a new limit leaves no time to
/// serve them before their deadline.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_a_new_limit_makes_late_are_refused() {
    let config = Config {
        engines: 0,
        plains: 1,
        entries: 2,
        plain: plain::Config { slots: 2, service_us: 200_000 },
        ..Config::new()
    };
    let plant = Plant::start(config).await.expect("it starts");
    plant.settle().await.expect("agents are linked");
    for (backend, _) in backends(&plant) {
        limit(&backend).set(Some("1"));
    }
    // Fast, so that all requests are queued before the first response names
    // the limit.
    let pause = Duration::from_millis(2);
    let time = Duration::from_millis(120);
    let heard = load(&plant, PLAIN_PATH, pause, time).await;
    assert!(heard.other.is_empty(), "{:?}", heard.other);
    assert!(heard.refused >= 30, "{heard:?}");
    // The first response arrives after 0.2 s.
    let most = Duration::from_millis(500);
    assert!(heard.max_refusal_time < most, "{heard:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_limit_ends_when_responses_stop_naming_it() {
    let plant = plant().await;
    for (backend, path) in backends(&plant) {
        let pause = Duration::from_millis(50);
        limit(&backend).set(Some("2"));
        load(&plant, path, pause, Duration::from_secs(2)).await;
        limit(&backend).set(None);
        sleep(Duration::from_millis(600)).await;
        load(&plant, path, pause, Duration::from_secs(1)).await;
        let heard = load(&plant, path, pause, Duration::from_secs(2)).await;
        assert!(
            heard.succeeded >= 38,
            "{path}: the limit is still applied, {heard:?}"
        );
        for invalid in ["none", "-1", "NaN", "", "1e3"] {
            limit(&backend).set(Some(invalid));
            let time = Duration::from_millis(500);
            let heard = load(&plant, path, pause, time).await;
            assert!(
                heard.succeeded >= 9,
                "{path}: {invalid:?} limits requests, {heard:?}"
            );
        }
    }
}
