//! Rate limits that targets name in their responses, tested through entry
//! processes and agents.
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
/// The path of a request type whose target is a plain HTTP server.
const PLAIN_SERVER_REQUEST_PATH: &str = "/v1/access/gate-check";
/// The path of a request type whose target is an engine.
const ENGINE_REQUEST_PATH: &str = "/v1/drafting/lease-draft";

/// The length of the time window in which arriving requests are counted.
const ARRIVAL_COUNT_WINDOW: Duration = Duration::from_secs(4);

/// The rate limit that targets name, in requests per second.
const LIMIT_REQUESTS_PER_SECOND: usize = 5;

/// Requests that may arrive at a target within a window beyond the limit: one
/// request at the end of the window, and one from a permit that is used late.
const MAX_REQUESTS_OVER_LIMIT: usize = 2;

/// The answers to the requests that a test sent, by result.
#[derive(Debug, Default)]
struct LoadAnswers {
    succeeded: usize,
    /// The number of answers that say the request did not run.
    refused: usize,
    other_answers: Vec<(StatusCode, Bytes)>,
    /// The longest time from sending a request until the request was refused.
    max_refusal_time: Duration,
}

async fn start_cluster() -> Plant {
    let config = Config { engines: 1, plains: 1, entries: 3, ..Config::new() };
    let cluster = Plant::start(config).await.expect("it starts");
    cluster.settle().await.expect("agents are linked");
    cluster
}

/// Returns the back end of each target and a request path that the target
/// serves.
fn backends_with_paths(cluster: &Plant) -> Vec<(Backend, &'static str)> {
    let backends = cluster.sites.iter().map(|it| it.backend.clone());
    backends
        .map(|it| match it {
            Backend::Plain(_) => (it, PLAIN_SERVER_REQUEST_PATH),
            Backend::Engine(_) => (it, ENGINE_REQUEST_PATH),
        })
        .collect()
}

fn simulated_rate_limit(backend: &Backend) -> &Limit {
    match backend {
        Backend::Plain(plain) => &plain.limit,
        Backend::Engine(engine) => &engine.limit,
    }
}

/// Sends requests through all entry processes in turn, one per
/// `request_interval`, for a time of `duration`.
async fn send_load(
    cluster: &Plant,
    path: &str,
    request_interval: Duration,
    duration: Duration,
) -> LoadAnswers {
    let client = Arc::new(Client::new());
    let mut calls = JoinSet::new();
    let mut ticks = interval(request_interval);
    let end = Instant::now() + duration;
    for turn in 0.. {
        ticks.tick().await;
        if Instant::now() >= end {
            break;
        }
        let gateway = &cluster.gateways[turn % cluster.gateways.len()];
        let entry = gateway.entry.as_ref().expect("the entry is up");
        let address = entry.handle.caller_address;
        let body = match path {
            ENGINE_REQUEST_PATH => {
                r#"{"messages":[],"max_tokens":4}"#.to_string()
            }
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
    let mut answers = LoadAnswers::default();
    while let Some(answer) = calls.join_next().await {
        let (answer, took) = answer.expect("no panic");
        let body = String::from_utf8_lossy(answer.body());
        if answer.status() == StatusCode::OK {
            answers.succeeded += 1;
        } else if body.contains("NOT_RUN") {
            answers.refused += 1;
            answers.max_refusal_time = answers.max_refusal_time.max(took);
        } else {
            answers.other_answers.push((answer.status(), answer.into_body()));
        }
    }
    answers
}

/// Returns the maximum number of requests that arrived at a target within one
/// [`ARRIVAL_COUNT_WINDOW`], counting only requests that arrived since
/// `since`.
fn max_arrivals_in_window(limit: &Limit, since: Instant) -> usize {
    let mut arrivals = limit.times();
    arrivals.retain(|it| *it >= since);
    let count_from = |from: &Instant| {
        arrivals
            .iter()
            .filter(|it| (*from..*from + ARRIVAL_COUNT_WINDOW).contains(it))
            .count()
    };
    arrivals.iter().map(count_from).max().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_enforces_its_targets_limit() {
    const LOAD_DURATION: Duration = Duration::from_secs(6);
    let cluster = start_cluster().await;
    for (backend, path) in backends_with_paths(&cluster) {
        simulated_rate_limit(&backend).set(Some("5"));
        let start = Instant::now();
        let request_interval = Duration::from_millis(100);
        let answers =
            send_load(&cluster, path, request_interval, LOAD_DURATION).await;
        assert!(
            answers.other_answers.is_empty(),
            "{path}: {:?}",
            answers.other_answers
        );
        // Requests that held a slot of the agent when the target's first
        // response named the limit don't count.
        let limit_known = start + Duration::from_millis(500);
        let most = max_arrivals_in_window(
            simulated_rate_limit(&backend),
            limit_known,
        );
        let allowed = LIMIT_REQUESTS_PER_SECOND
            * ARRIVAL_COUNT_WINDOW.as_secs() as usize
            + MAX_REQUESTS_OVER_LIMIT;
        assert!(most <= allowed, "{path}: {most} in 4 s");
        let least = LIMIT_REQUESTS_PER_SECOND * 5 * 8 / 10;
        assert!(
            answers.succeeded >= least,
            "{path}: target left idle, {} succeeded",
            answers.succeeded
        );
        // Requests to the engine may wait for longer than this test lasts.
        let may_wait = path == ENGINE_REQUEST_PATH;
        assert!(may_wait || answers.refused > 0, "{path}: {answers:?}");
        let most = Duration::from_millis(100);
        assert!(answers.max_refusal_time < most, "{path}: {answers:?}");
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
    let cluster = Plant::start(config).await.expect("it starts");
    cluster.settle().await.expect("agents are linked");
    for (backend, _) in backends_with_paths(&cluster) {
        simulated_rate_limit(&backend).set(Some("1"));
    }
    // Requests are sent so fast that all requests are queued before the
    // target's first response names the limit.
    let request_interval = Duration::from_millis(2);
    let time = Duration::from_millis(120);
    let answers =
        send_load(&cluster, PLAIN_SERVER_REQUEST_PATH, request_interval, time)
            .await;
    assert!(answers.other_answers.is_empty(), "{:?}", answers.other_answers);
    assert!(answers.refused >= 30, "{answers:?}");
    // The target's first response arrives after 0.2 s.
    let most = Duration::from_millis(500);
    assert!(answers.max_refusal_time < most, "{answers:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_limit_ends_when_responses_stop_naming_it() {
    let cluster = start_cluster().await;
    for (backend, path) in backends_with_paths(&cluster) {
        let request_interval = Duration::from_millis(50);
        simulated_rate_limit(&backend).set(Some("2"));
        send_load(&cluster, path, request_interval, Duration::from_secs(2))
            .await;
        simulated_rate_limit(&backend).set(None);
        sleep(Duration::from_millis(600)).await;
        send_load(&cluster, path, request_interval, Duration::from_secs(1))
            .await;
        let answers = send_load(
            &cluster,
            path,
            request_interval,
            Duration::from_secs(2),
        )
        .await;
        assert!(
            answers.succeeded >= 38,
            "{path}: the limit is still applied, {answers:?}"
        );
        for invalid in ["none", "-1", "NaN", "", "1e3"] {
            simulated_rate_limit(&backend).set(Some(invalid));
            let time = Duration::from_millis(500);
            let answers =
                send_load(&cluster, path, request_interval, time).await;
            assert!(
                answers.succeeded >= 9,
                "{path}: {invalid:?} limits requests, {answers:?}"
            );
        }
    }
}
