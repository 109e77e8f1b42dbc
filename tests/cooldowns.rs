//! Cooldowns after a target rejects a request with `Retry-After`, tested
//! through entry processes and agents: the agent sends the target nothing
//! until that time has passed, and entry processes send requests to other
//! targets.

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
/// The path of a repeatable request type whose targets are plain HTTP servers.
const REPEATABLE_REQUEST_PATH: &str = "/v1/access/gate-check";
/// The path of a request type whose requests need a ticket and whose targets
/// are plain HTTP servers.
const TICKETED_REQUEST_PATH: &str = "/v1/access/tow-call";
/// The path of a request type that engines answer as a stream.
const STREAM_REQUEST_PATH: &str = "/v1/drafting/lease-draft";
/// The path of a request type that engines answer with a single message.
const ENGINE_REQUEST_PATH: &str = "/v1/drafting/slot-summary";

/// The time between two consecutive requests that a test sends.
const LOAD_REQUEST_INTERVAL: Duration = Duration::from_millis(10);
const SECOND: Duration = Duration::from_secs(1);

/// The longest time until an answer that counts as immediate.
const MAX_IMMEDIATE_ANSWER_TIME: Duration = Duration::from_millis(300);

async fn start_cluster(engines: usize, plains: usize) -> Plant {
    let config = Config { engines, plains, entries: 2, ..Config::new() };
    start_cluster_with_config(config).await
}

async fn start_cluster_with_config(config: Config) -> Plant {
    let cluster = Plant::start(config).await.expect("it starts");
    cluster.settle().await.expect("agents are linked");
    cluster
}

/// Returns the simulated rate limit of a stand-in target, which also records
/// the requests that the target receives and can make the target reject
/// requests.
fn simulated_rate_limit(cluster: &Plant, target_index: usize) -> &Limit {
    match &cluster.sites[target_index].backend {
        Backend::Plain(plain) => &plain.limit,
        Backend::Engine(engine) => &engine.limit,
    }
}

/// Returns the number of requests that a target has received.
fn received_request_count(cluster: &Plant, target_index: usize) -> usize {
    simulated_rate_limit(cluster, target_index).times().len()
}

fn build_request(
    cluster: &Plant,
    entry_index: usize,
    path: &str,
    ticket: Option<&str>,
) -> Request<Full<Bytes>> {
    let entry = cluster.gateways[entry_index].entry.as_ref();
    let address = entry.expect("the entry is up").handle.caller_address;
    let id: u64 = rand::random();
    let body = match path {
        STREAM_REQUEST_PATH | ENGINE_REQUEST_PATH => {
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

async fn send_request(request: Request<Full<Bytes>>) -> Response<Bytes> {
    let timeout = Duration::from_secs(60);
    let answer = Client::new().call(request, 1 << 20, timeout).await;
    answer.expect("an answer")
}

/// Sends a request; if its type requires a ticket, sends the request again
/// with a new ticket.
async fn send_with_ticket(
    cluster: &Plant,
    entry_index: usize,
    path: &str,
) -> Response<Bytes> {
    let answer =
        send_request(build_request(cluster, entry_index, path, None)).await;
    if answer.status() != StatusCode::PRECONDITION_REQUIRED {
        return answer;
    }
    let ticket = answer.headers().get("request-ticket").expect("a ticket");
    let ticket = ticket.to_str().expect("text").to_string();
    send_request(build_request(cluster, entry_index, path, Some(&ticket)))
        .await
}

/// Makes a target reject one request with a `Retry-After` header. Returns once
/// the target's agent has had time to process the rejection.
async fn make_target_reject_once(
    cluster: &Plant,
    target_index: usize,
    path: &str,
    retry_after: &str,
) {
    simulated_rate_limit(cluster, target_index).reject(1, retry_after);
    let before = received_request_count(cluster, target_index);
    let start = Instant::now();
    let mut calls = JoinSet::new();
    let mut turns = (0..2).cycle();
    while received_request_count(cluster, target_index) == before {
        assert!(
            start.elapsed() < 20 * SECOND,
            "the target rejects no request"
        );
        let turn = turns.next().unwrap_or_default();
        calls.spawn(send_request(build_request(cluster, turn, path, None)));
        sleep(3 * LOAD_REQUEST_INTERVAL).await;
    }
    sleep(5 * LOAD_REQUEST_INTERVAL).await;
    calls.detach_all();
}

/// The answers to the requests that a test sent, by result.
#[derive(Debug, Default)]
struct LoadAnswers {
    succeeded: usize,
    not_run: usize,
    other_statuses: Vec<StatusCode>,
}

/// Sends requests through all entry processes in turn, one per
/// [`LOAD_REQUEST_INTERVAL`], for a time of `duration`.
async fn send_load(
    cluster: &Plant,
    path: &str,
    duration: Duration,
) -> LoadAnswers {
    let mut calls = JoinSet::new();
    let mut ticks = interval(LOAD_REQUEST_INTERVAL);
    let end = Instant::now() + duration;
    for turn in 0.. {
        ticks.tick().await;
        if Instant::now() >= end {
            break;
        }
        calls.spawn(send_request(build_request(
            cluster,
            turn % 2,
            path,
            None,
        )));
    }
    let mut answers = LoadAnswers::default();
    while let Some(answer) = calls.join_next().await {
        let answer = answer.expect("no panic");
        let text = String::from_utf8_lossy(answer.body());
        match answer.status() {
            StatusCode::OK => answers.succeeded += 1,
            _ if text.contains("NOT_RUN") => answers.not_run += 1,
            status => answers.other_statuses.push(status),
        }
    }
    answers
}

fn retry_after_ms(answer: &Response<Bytes>) -> u64 {
    let body: Value = serde_json::from_slice(answer.body()).expect("JSON");
    body["retry_after_ms"].as_u64().expect("the answer has a retry time")
}

/// Guards against requests that an agent sends to its target before the
/// target's Retry-After has passed, and against entry processes that still
/// choose that target although other targets are available.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_enforces_its_targets_retry_after() {
    for (path, engines, plains) in
        [(REPEATABLE_REQUEST_PATH, 0, 3), (ENGINE_REQUEST_PATH, 3, 0)]
    {
        let cluster = start_cluster(engines, plains).await;
        make_target_reject_once(&cluster, 0, path, "2.2").await;
        let before = received_request_count(&cluster, 0);
        let time = Duration::from_millis(1_700);
        let answers = send_load(&cluster, path, time).await;
        assert_eq!(answers.not_run, 0, "{path}: {answers:?}");
        assert!(answers.other_statuses.is_empty(), "{path}: {answers:?}");
        assert_eq!(received_request_count(&cluster, 0), before, "{path}");
        send_load(&cluster, path, 2 * SECOND).await;
        assert!(
            received_request_count(&cluster, 0) > before + 5,
            "{path}: the target is left idle"
        );
    }
}

/// Guards against requests with a ticket that are sent to a target before the
/// target's Retry-After has passed.
#[tokio::test(flavor = "multi_thread")]
async fn requests_with_a_ticket_respect_a_retry_after() {
    let cluster = start_cluster(0, 2).await;
    make_target_reject_once(&cluster, 0, REPEATABLE_REQUEST_PATH, "3").await;
    let before = received_request_count(&cluster, 0);
    for turn in 0..20 {
        let answer =
            send_with_ticket(&cluster, turn % 2, TICKETED_REQUEST_PATH).await;
        assert_eq!(answer.status(), StatusCode::OK, "{answer:?}");
    }
    assert_eq!(received_request_count(&cluster, 0), before);
}

/// Guards against a cooldown that ends early, at the agent or at entry
/// processes, because a request that was already in flight succeeds.
#[tokio::test(flavor = "multi_thread")]
async fn an_in_flight_success_does_not_end_a_cooldown() {
    let config = Config {
        engines: 0,
        plains: 1,
        entries: 2,
        plain: plain::Config { slots: 4, service_us: 600_000 },
        ..Config::new()
    };
    let cluster = start_cluster_with_config(config).await;
    let slow = tokio::spawn(send_request(build_request(
        &cluster,
        0,
        REPEATABLE_REQUEST_PATH,
        None,
    )));
    sleep(10 * LOAD_REQUEST_INTERVAL).await;
    make_target_reject_once(&cluster, 0, REPEATABLE_REQUEST_PATH, "20").await;
    let before = received_request_count(&cluster, 0);
    let answer = slow.await.expect("no panic");
    assert_eq!(answer.status(), StatusCode::OK);
    let answers = send_load(&cluster, REPEATABLE_REQUEST_PATH, SECOND).await;
    assert_eq!(answers.succeeded, 0, "{answers:?}");
    assert_eq!(received_request_count(&cluster, 0), before);
}

/// Guards against callers that wait in vain, or are all asked to retry at the
/// same moment, while every target of a service is in a cooldown.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_while_all_targets_cool_down() {
    let cluster = start_cluster(0, 2).await;
    for target_index in 0..2 {
        make_target_reject_once(
            &cluster,
            target_index,
            REPEATABLE_REQUEST_PATH,
            "30",
        )
        .await;
    }
    let before = received_request_count(&cluster, 0)
        + received_request_count(&cluster, 1);
    for path in [REPEATABLE_REQUEST_PATH, TICKETED_REQUEST_PATH] {
        let start = Instant::now();
        let mut retry_times = BTreeSet::new();
        for turn in 0..20 {
            let answer = send_with_ticket(&cluster, turn % 2, path).await;
            let status = answer.status();
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
            let text = String::from_utf8_lossy(answer.body()).into_owned();
            assert!(text.contains("NOT_RUN"), "{path}: {text}");
            let after = retry_after_ms(&answer);
            assert!((25_000..=45_000).contains(&after), "{path}: {after}");
            retry_times.insert(after / 100);
        }
        assert!(start.elapsed() < 5 * MAX_IMMEDIATE_ANSWER_TIME, "{path}");
        assert!(retry_times.len() >= 8, "{path}: {retry_times:?}");
    }
    assert_eq!(
        received_request_count(&cluster, 0)
            + received_request_count(&cluster, 1),
        before
    );
}

/// Guards against a request that is refused although the cooldown of its
/// target ends before the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn requests_wait_for_the_end_of_a_short_cooldown() {
    let cluster = start_cluster(0, 1).await;
    make_target_reject_once(&cluster, 0, REPEATABLE_REQUEST_PATH, "1").await;
    let before = received_request_count(&cluster, 0);
    let start = Instant::now();
    let answers =
        send_load(&cluster, REPEATABLE_REQUEST_PATH, SECOND / 2).await;
    assert_eq!(answers.not_run, 0, "{answers:?}");
    assert!(answers.other_statuses.is_empty(), "{answers:?}");
    assert!(start.elapsed() > SECOND / 2);
    assert!(received_request_count(&cluster, 0) >= before + answers.succeeded);
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
    let cluster = start_cluster_with_config(config).await;
    // The first two requests hold both slots of the agent when the later
    // requests arrive.
    let mut calls = JoinSet::new();
    let start = Instant::now();
    for _ in 0..2 {
        calls.spawn(send_request(build_request(
            &cluster,
            0,
            REPEATABLE_REQUEST_PATH,
            None,
        )));
    }
    sleep(2 * LOAD_REQUEST_INTERVAL).await;
    simulated_rate_limit(&cluster, 0).reject(1_000, "60");
    for _ in 0..60 {
        calls.spawn(send_request(build_request(
            &cluster,
            0,
            REPEATABLE_REQUEST_PATH,
            None,
        )));
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
    let cluster = start_cluster(0, 1).await;
    for value in ["", "0", "-1", "soon", "NaN", "0x10"] {
        make_target_reject_once(&cluster, 0, REPEATABLE_REQUEST_PATH, value)
            .await;
        let start = Instant::now();
        let answer =
            send_with_ticket(&cluster, 1, REPEATABLE_REQUEST_PATH).await;
        assert_eq!(answer.status(), StatusCode::OK, "{value:?}");
        assert!(start.elapsed() < MAX_IMMEDIATE_ANSWER_TIME, "{value:?}");
    }
}

/// Guards against a cooldown that still applies after the target restarted.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_target_has_no_cooldown() {
    for value in ["1e9", "1000000000"] {
        let mut cluster = start_cluster(0, 1).await;
        cluster.kill_agent(0).await;
        let backend = cluster.sites[0].target;
        let config = mortal::Config::new("deadly");
        let started = mortal::start(ANY, backend, config).await;
        let (target, address): (Arc<Mortal>, _) = started.expect("a target");
        cluster.sites[0].target = address;
        cluster.start_agent(0).await.expect("it starts");
        cluster.settle().await.expect("agents are linked");
        make_target_reject_once(&cluster, 0, REPEATABLE_REQUEST_PATH, value)
            .await;
        let answer =
            send_with_ticket(&cluster, 0, REPEATABLE_REQUEST_PATH).await;
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        target.end();
        let start = Instant::now();
        while send_with_ticket(&cluster, 0, REPEATABLE_REQUEST_PATH)
            .await
            .status()
            != StatusCode::OK
        {
            assert!(start.elapsed() < 10 * SECOND, "{value}: never served");
            sleep(LOAD_REQUEST_INTERVAL).await;
        }
    }
}
