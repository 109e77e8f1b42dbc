//! Cooldowns after a target rejects a request with `Retry-After`, tested
//! through entries and agents: the agent sends the target nothing until that
//! time has passed, and entries send requests to other targets.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use cowsliproad_bench::{
    plant::{ANY, Backend, Config, Plant},
    workload,
};
use cowsliproad_net::client::Client;
use cowsliproad_standin::{
    limit::Limit,
    mortal::{self, Mortal},
    plain,
};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use serde_json::Value;
use tokio::{
    task::JoinSet,
    time::{interval, sleep},
};

const ORGANISATION: &str = "harju-hangars";
/// A repeatable request type of a plain target.
const PLAIN_PATH: &str = "/v1/access/gate-check";
/// A request type of a plain target whose requests need a ticket.
const TICKETED_PATH: &str = "/v1/access/tow-call";
/// A streamed request type of an engine.
const STREAM_PATH: &str = "/v1/drafting/lease-draft";
/// A request type of an engine with a single answer.
const ENGINE_PATH: &str = "/v1/drafting/slot-summary";

/// The time between two requests of a load.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
const SECOND: Duration = Duration::from_secs(1);

/// The longest time for an immediate answer.
const MAX_IMMEDIATE: Duration = Duration::from_millis(300);

async fn plant(engines: usize, plains: usize) -> Plant {
    let config = Config { engines, plains, entries: 2, ..Config::new() };
    start_plant(config).await
}

async fn start_plant(config: Config) -> Plant {
    let plant = Plant::start(config).await.expect("it starts");
    plant.settle().await.expect("agents are linked");
    plant
}

/// Returns the control of a target, which records its requests and makes it
/// reject requests.
fn limit(plant: &Plant, site: usize) -> &Limit {
    match &plant.sites[site].backend {
        Backend::Plain(plain) => &plain.limit,
        Backend::Engine(engine) => &engine.limit,
    }
}

/// Returns the number of requests that a target has received.
fn arrivals(plant: &Plant, site: usize) -> usize {
    limit(plant, site).times().len()
}

fn request(
    plant: &Plant,
    entry: usize,
    path: &str,
    ticket: Option<&str>,
) -> Request<Full<Bytes>> {
    let entry = plant.gateways[entry].entry.as_ref();
    let address = entry.expect("the entry is up").handle.caller_address;
    let id: u64 = rand::random();
    let body = match path {
        STREAM_PATH | ENGINE_PATH => {
            r#"{"messages":[],"max_tokens":4}"#.to_string()
        }
        _ => format!(r#"{{"id":"{id}"}}"#),
    };
    let key = format!("Bearer {}", workload::key(ORGANISATION));
    let mut request = Request::post(format!("http://{address}{path}"))
        .header("authorization", key);
    if let Some(ticket) = ticket {
        request = request.header("request-ticket", ticket);
    }
    request.body(Full::new(Bytes::from(body))).expect("the parts are valid")
}

async fn call(request: Request<Full<Bytes>>) -> Response<Bytes> {
    let timeout = Duration::from_secs(60);
    let answer = Client::new().call(request, 1 << 20, timeout).await;
    answer.expect("an answer")
}

/// Sends a request, with a new ticket if its type requires one.
async fn send(plant: &Plant, entry: usize, path: &str) -> Response<Bytes> {
    let answer = call(request(plant, entry, path, None)).await;
    if answer.status() != StatusCode::PRECONDITION_REQUIRED {
        return answer;
    }
    let ticket = answer.headers().get("request-ticket").expect("a ticket");
    let ticket = ticket.to_str().expect("text").to_string();
    call(request(plant, entry, path, Some(&ticket))).await
}

/// Makes a target reject one request with a `Retry-After`. Returns once its
/// agent has had time to process the rejection.
async fn reject_once(
    plant: &Plant,
    site: usize,
    path: &str,
    retry_after: &str,
) {
    limit(plant, site).reject(1, retry_after);
    let before = arrivals(plant, site);
    let start = Instant::now();
    let mut calls = JoinSet::new();
    let mut turns = (0..2).cycle();
    while arrivals(plant, site) == before {
        assert!(
            start.elapsed() < 20 * SECOND,
            "the target rejects no request"
        );
        let turn = turns.next().unwrap_or_default();
        calls.spawn(call(request(plant, turn, path, None)));
        sleep(3 * REQUEST_INTERVAL).await;
    }
    sleep(5 * REQUEST_INTERVAL).await;
    calls.detach_all();
}

/// The answers to a load, by result.
#[derive(Debug, Default)]
struct Answers {
    succeeded: usize,
    not_run: usize,
    other: Vec<StatusCode>,
}

/// Sends requests through all entries in turn, one per [`REQUEST_INTERVAL`],
/// for a duration of `time`.
async fn load(plant: &Plant, path: &str, time: Duration) -> Answers {
    let mut calls = JoinSet::new();
    let mut ticks = interval(REQUEST_INTERVAL);
    let end = Instant::now() + time;
    for turn in 0.. {
        ticks.tick().await;
        if Instant::now() >= end {
            break;
        }
        calls.spawn(call(request(plant, turn % 2, path, None)));
    }
    let mut heard = Answers::default();
    while let Some(answer) = calls.join_next().await {
        let answer = answer.expect("no panic");
        let text = String::from_utf8_lossy(answer.body());
        match answer.status() {
            StatusCode::OK => heard.succeeded += 1,
            _ if text.contains("NOT_RUN") => heard.not_run += 1,
            status => heard.other.push(status),
        }
    }
    heard
}

fn retry_after_ms(answer: &Response<Bytes>) -> u64 {
    let body: Value = serde_json::from_slice(answer.body()).expect("JSON");
    body["retry_after_ms"].as_u64().expect("the answer has a retry time")
}

/// Guards against requests that an agent sends to its target before the
/// target's Retry-After has passed, and against entries that still choose that
/// target although other targets are available.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_enforces_its_targets_retry_after() {
    for (path, engines, plains) in [(PLAIN_PATH, 0, 3), (ENGINE_PATH, 3, 0)] {
        let plant = plant(engines, plains).await;
        reject_once(&plant, 0, path, "2.2").await;
        let before = arrivals(&plant, 0);
        let time = Duration::from_millis(1_700);
        let heard = load(&plant, path, time).await;
        assert_eq!(heard.not_run, 0, "{path}: {heard:?}");
        assert!(heard.other.is_empty(), "{path}: {heard:?}");
        assert_eq!(arrivals(&plant, 0), before, "{path}");
        load(&plant, path, 2 * SECOND).await;
        assert!(
            arrivals(&plant, 0) > before + 5,
            "{path}: the target is left idle"
        );
    }
}

/// Guards against requests with a ticket that are sent to a target before its
/// Retry-After has passed.
#[tokio::test(flavor = "multi_thread")]
async fn requests_with_a_ticket_respect_a_retry_after() {
    let plant = plant(0, 2).await;
    reject_once(&plant, 0, PLAIN_PATH, "3").await;
    let before = arrivals(&plant, 0);
    for turn in 0..20 {
        let answer = send(&plant, turn % 2, TICKETED_PATH).await;
        assert_eq!(answer.status(), StatusCode::OK, "{answer:?}");
    }
    assert_eq!(arrivals(&plant, 0), before);
}

/// Guards against a cooldown that ends early, at the agent or at entries,
/// because a request that was already in flight succeeds.
#[tokio::test(flavor = "multi_thread")]
async fn an_in_flight_success_does_not_end_a_cooldown() {
    let config = Config {
        engines: 0,
        plains: 1,
        entries: 2,
        plain: plain::Config { slots: 4, service_us: 600_000 },
        ..Config::new()
    };
    let plant = start_plant(config).await;
    let slow = tokio::spawn(call(request(&plant, 0, PLAIN_PATH, None)));
    sleep(10 * REQUEST_INTERVAL).await;
    reject_once(&plant, 0, PLAIN_PATH, "20").await;
    let before = arrivals(&plant, 0);
    let answer = slow.await.expect("no panic");
    assert_eq!(answer.status(), StatusCode::OK);
    let heard = load(&plant, PLAIN_PATH, SECOND).await;
    assert_eq!(heard.succeeded, 0, "{heard:?}");
    assert_eq!(arrivals(&plant, 0), before);
}

/// Guards against callers that wait in vain, or are all told to retry at the
/// same moment, while every target of a service is in a cooldown.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_while_all_targets_cool_down() {
    let plant = plant(0, 2).await;
    for site in 0..2 {
        reject_once(&plant, site, PLAIN_PATH, "30").await;
    }
    let before = arrivals(&plant, 0) + arrivals(&plant, 1);
    for path in [PLAIN_PATH, TICKETED_PATH] {
        let start = Instant::now();
        let mut retry_times = BTreeSet::new();
        for turn in 0..20 {
            let answer = send(&plant, turn % 2, path).await;
            let status = answer.status();
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
            let text = String::from_utf8_lossy(answer.body()).into_owned();
            assert!(text.contains("NOT_RUN"), "{path}: {text}");
            let after = retry_after_ms(&answer);
            assert!((25_000..=45_000).contains(&after), "{path}: {after}");
            retry_times.insert(after / 100);
        }
        assert!(start.elapsed() < 5 * MAX_IMMEDIATE, "{path}");
        assert!(retry_times.len() >= 8, "{path}: {retry_times:?}");
    }
    assert_eq!(arrivals(&plant, 0) + arrivals(&plant, 1), before);
}

/// Guards against a request that is refused although the cooldown of its
/// target ends before the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn requests_wait_for_the_end_of_a_short_cooldown() {
    let plant = plant(0, 1).await;
    reject_once(&plant, 0, PLAIN_PATH, "1").await;
    let before = arrivals(&plant, 0);
    let start = Instant::now();
    let heard = load(&plant, PLAIN_PATH, SECOND / 2).await;
    assert_eq!(heard.not_run, 0, "{heard:?}");
    assert!(heard.other.is_empty(), "{heard:?}");
    assert!(start.elapsed() > SECOND / 2);
    assert!(arrivals(&plant, 0) >= before + heard.succeeded);
}

/// Guards against requests that stay queued at an agent until their deadline
/// although the cooldown of the target ends only after that.
#[tokio::test(flavor = "multi_thread")]
async fn queued_requests_that_a_cooldown_makes_late_are_refused() {
    let config = Config {
        engines: 0,
        plains: 1,
        entries: 2,
        plain: plain::Config { slots: 1, service_us: 100_000 },
        ..Config::new()
    };
    let plant = start_plant(config).await;
    // The first two requests hold both slots of the agent when the others
    // arrive.
    let mut calls = JoinSet::new();
    let start = Instant::now();
    for _ in 0..2 {
        calls.spawn(call(request(&plant, 0, PLAIN_PATH, None)));
    }
    sleep(2 * REQUEST_INTERVAL).await;
    limit(&plant, 0).reject(1_000, "60");
    for _ in 0..60 {
        calls.spawn(call(request(&plant, 0, PLAIN_PATH, None)));
    }
    let answers = calls.join_all().await;
    let text =
        |it: &Response<Bytes>| String::from_utf8_lossy(it.body()).into_owned();
    let not_run = answers.iter().filter(|it| text(it).contains("NOT_RUN"));
    assert!(not_run.count() >= 30);
    assert!(start.elapsed() < SECOND, "{:?}", start.elapsed());
}

/// Guards against an invalid Retry-After value that starts a cooldown.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_retry_after_values_are_ignored() {
    let plant = plant(0, 1).await;
    for value in ["", "0", "-1", "soon", "NaN", "0x10"] {
        reject_once(&plant, 0, PLAIN_PATH, value).await;
        let start = Instant::now();
        let answer = send(&plant, 1, PLAIN_PATH).await;
        assert_eq!(answer.status(), StatusCode::OK, "{value:?}");
        assert!(start.elapsed() < MAX_IMMEDIATE, "{value:?}");
    }
}

/// Guards against a cooldown that still applies after its target restarted.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_target_has_no_cooldown() {
    for value in ["1e9", "1000000000"] {
        let mut plant = plant(0, 1).await;
        plant.kill_agent(0).await;
        let backend = plant.sites[0].target;
        let config = mortal::Config::new("deadly");
        let started = mortal::start(ANY, backend, config).await;
        let (target, address): (Arc<Mortal>, _) = started.expect("a target");
        plant.sites[0].target = address;
        plant.start_agent(0).await.expect("it starts");
        plant.settle().await.expect("agents are linked");
        reject_once(&plant, 0, PLAIN_PATH, value).await;
        let answer = send(&plant, 0, PLAIN_PATH).await;
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        target.end();
        let start = Instant::now();
        while send(&plant, 0, PLAIN_PATH).await.status() != StatusCode::OK {
            assert!(start.elapsed() < 10 * SECOND, "{value}: never served");
            sleep(REQUEST_INTERVAL).await;
        }
    }
}
