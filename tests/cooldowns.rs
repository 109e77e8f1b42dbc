//! Targets that turn a request away with `Retry-After`, on the product's own
//! path: their agents send them nothing until that time is over, and entries
//! send the work to others.

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

const HANGAR: &str = "harju-hangars";
const GATE: &str = "/v1/access/gate-check";
const TOW: &str = "/v1/access/tow-call";
const DRAFT: &str = "/v1/drafting/lease-draft";
const SUMMARY: &str = "/v1/drafting/slot-summary";

const PAUSE: Duration = Duration::from_millis(10);
const SECOND: Duration = Duration::from_secs(1);

/// How soon a refusal is an answer at once.
const AT_ONCE: Duration = Duration::from_millis(300);

async fn plant(engines: usize, plains: usize) -> Plant {
    let config = Config { engines, plains, entries: 2, ..Config::new() };
    started(config).await
}

async fn started(config: Config) -> Plant {
    let plant = Plant::start(config).await.expect("it starts");
    plant.settle().await.expect("agents are linked");
    plant
}

/// The requests of a target.
fn limit(plant: &Plant, site: usize) -> &Limit {
    match &plant.sites[site].backend {
        Backend::Plain(plain) => &plain.limit,
        Backend::Engine(engine) => &engine.limit,
    }
}

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
    let address = entry.expect("the entry is up").handle.http;
    let id: u64 = rand::random();
    let body = match path {
        DRAFT | SUMMARY => r#"{"messages":[],"max_tokens":4}"#.to_string(),
        _ => format!(r#"{{"id":"{id}"}}"#),
    };
    let key = format!("Bearer {}", workload::key(HANGAR));
    let mut request = Request::post(format!("http://{address}{path}"))
        .header("authorization", key);
    if let Some(ticket) = ticket {
        request = request.header("request-ticket", ticket);
    }
    request.body(Full::new(Bytes::from(body))).expect("the parts are valid")
}

async fn call(request: Request<Full<Bytes>>) -> Response<Bytes> {
    let patience = Duration::from_secs(60);
    let answer = Client::new().call(request, 1 << 20, patience).await;
    answer.expect("an answer")
}

/// Sends work, with a ticket of its own where it needs one.
async fn send(plant: &Plant, entry: usize, path: &str) -> Response<Bytes> {
    let answer = call(request(plant, entry, path, None)).await;
    if answer.status() != StatusCode::PRECONDITION_REQUIRED {
        return answer;
    }
    let ticket = answer.headers().get("request-ticket").expect("a ticket");
    let ticket = ticket.to_str().expect("text").to_string();
    call(request(plant, entry, path, Some(&ticket))).await
}

/// Has a target turn one request away. Returns as soon as its agent knows.
async fn reject_once(plant: &Plant, site: usize, path: &str, value: &str) {
    limit(plant, site).reject(1, value);
    let before = arrivals(plant, site);
    let begun = Instant::now();
    let mut asked = JoinSet::new();
    let mut turns = (0..2).cycle();
    while arrivals(plant, site) == before {
        assert!(begun.elapsed() < 20 * SECOND, "never: it turns one away");
        let turn = turns.next().unwrap_or_default();
        asked.spawn(call(request(plant, turn, path, None)));
        sleep(3 * PAUSE).await;
    }
    sleep(5 * PAUSE).await;
    asked.detach_all();
}

#[derive(Debug, Default)]
struct Heard {
    good: usize,
    not_run: usize,
    other: Vec<StatusCode>,
}

/// Sends requests a pause apart through all entries.
async fn load(plant: &Plant, path: &str, time: Duration) -> Heard {
    let mut asked = JoinSet::new();
    let mut due = interval(PAUSE);
    let end = Instant::now() + time;
    for turn in 0.. {
        due.tick().await;
        if Instant::now() >= end {
            break;
        }
        asked.spawn(call(request(plant, turn % 2, path, None)));
    }
    let mut heard = Heard::default();
    while let Some(answer) = asked.join_next().await {
        let answer = answer.expect("no panic");
        let text = String::from_utf8_lossy(answer.body());
        match answer.status() {
            StatusCode::OK => heard.good += 1,
            _ if text.contains("NOT_RUN") => heard.not_run += 1,
            status => heard.other.push(status),
        }
    }
    heard
}

fn retry_after_ms(answer: &Response<Bytes>) -> u64 {
    let body: Value = serde_json::from_slice(answer.body()).expect("JSON");
    body["retry_after_ms"].as_u64().expect("when to come back")
}

/// Guards against work that an agent sends within its target's Retry-After,
/// and that entries send there though others take it.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_keeps_its_targets_retry_after() {
    for (path, engines, plains) in [(GATE, 0, 3), (SUMMARY, 3, 0)] {
        let plant = plant(engines, plains).await;
        reject_once(&plant, 0, path, "2.2").await;
        let before = arrivals(&plant, 0);
        let time = Duration::from_millis(1_700);
        let heard = load(&plant, path, time).await;
        assert_eq!(heard.not_run, 0, "{path}: {heard:?}");
        assert!(heard.other.is_empty(), "{path}: {heard:?}");
        assert_eq!(arrivals(&plant, 0), before, "{path}");
        load(&plant, path, 2 * SECOND).await;
        assert!(arrivals(&plant, 0) > before + 5, "{path}: it is left idle");
    }
}

/// Guards against work with a ticket that is sent within a Retry-After.
#[tokio::test(flavor = "multi_thread")]
async fn work_with_a_ticket_keeps_a_retry_after() {
    let plant = plant(0, 2).await;
    reject_once(&plant, 0, GATE, "3").await;
    let before = arrivals(&plant, 0);
    for turn in 0..20 {
        let answer = send(&plant, turn % 2, TOW).await;
        assert_eq!(answer.status(), StatusCode::OK, "{answer:?}");
    }
    assert_eq!(arrivals(&plant, 0), before);
}

/// Guards against a success of other work that ends a cooldown, at the agent
/// and at entries.
#[tokio::test(flavor = "multi_thread")]
async fn a_success_meanwhile_ends_no_retry_after() {
    let config = Config {
        engines: 0,
        plains: 1,
        entries: 2,
        plain: plain::Config { slots: 4, service_us: 600_000 },
        ..Config::new()
    };
    let plant = started(config).await;
    let slow = tokio::spawn(call(request(&plant, 0, GATE, None)));
    sleep(10 * PAUSE).await;
    reject_once(&plant, 0, GATE, "20").await;
    let before = arrivals(&plant, 0);
    let answer = slow.await.expect("no panic");
    assert_eq!(answer.status(), StatusCode::OK);
    let heard = load(&plant, GATE, SECOND).await;
    assert_eq!(heard.good, 0, "{heard:?}");
    assert_eq!(arrivals(&plant, 0), before);
}

/// Guards against callers that wait in vain, or all return at one moment,
/// while every target of a service asked for a pause.
#[tokio::test(flavor = "multi_thread")]
async fn what_no_target_takes_in_time_is_not_run_and_told_when() {
    let plant = plant(0, 2).await;
    for site in 0..2 {
        reject_once(&plant, site, GATE, "30").await;
    }
    let before = arrivals(&plant, 0) + arrivals(&plant, 1);
    for path in [GATE, TOW] {
        let begun = Instant::now();
        let mut returns = BTreeSet::new();
        for turn in 0..20 {
            let answer = send(&plant, turn % 2, path).await;
            let status = answer.status();
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
            let text = String::from_utf8_lossy(answer.body()).into_owned();
            assert!(text.contains("NOT_RUN"), "{path}: {text}");
            let after = retry_after_ms(&answer);
            assert!((25_000..=45_000).contains(&after), "{path}: {after}");
            returns.insert(after / 100);
        }
        assert!(begun.elapsed() < 5 * AT_ONCE, "{path}");
        assert!(returns.len() >= 8, "{path}: {returns:?}");
    }
    assert_eq!(arrivals(&plant, 0) + arrivals(&plant, 1), before);
}

/// Guards against work that is refused though its target takes it in time.
#[tokio::test(flavor = "multi_thread")]
async fn work_waits_for_the_end_of_a_short_retry_after() {
    let plant = plant(0, 1).await;
    reject_once(&plant, 0, GATE, "1").await;
    let before = arrivals(&plant, 0);
    let begun = Instant::now();
    let heard = load(&plant, GATE, SECOND / 2).await;
    assert_eq!(heard.not_run, 0, "{heard:?}");
    assert!(heard.other.is_empty(), "{heard:?}");
    assert!(begun.elapsed() > SECOND / 2);
    assert!(arrivals(&plant, 0) >= before + heard.good);
}

/// Guards against work that waits at an agent for a slot until its deadline
/// though its target takes nothing before.
#[tokio::test(flavor = "multi_thread")]
async fn what_waits_when_a_retry_after_comes_is_refused_at_once() {
    let config = Config {
        engines: 0,
        plains: 1,
        entries: 2,
        plain: plain::Config { slots: 1, service_us: 100_000 },
        ..Config::new()
    };
    let plant = started(config).await;
    // Both slots of the agent are taken when the rest comes.
    let mut asked = JoinSet::new();
    let begun = Instant::now();
    for _ in 0..2 {
        asked.spawn(call(request(&plant, 0, GATE, None)));
    }
    sleep(2 * PAUSE).await;
    limit(&plant, 0).reject(1_000, "60");
    for _ in 0..60 {
        asked.spawn(call(request(&plant, 0, GATE, None)));
    }
    let answers = asked.join_all().await;
    let text =
        |it: &Response<Bytes>| String::from_utf8_lossy(it.body()).into_owned();
    let not_run = answers.iter().filter(|it| text(it).contains("NOT_RUN"));
    assert!(not_run.count() >= 30);
    assert!(begun.elapsed() < SECOND, "{:?}", begun.elapsed());
}

/// Guards against values that name no time and keep a target out of use.
#[tokio::test(flavor = "multi_thread")]
async fn values_that_name_no_time_are_not_kept() {
    let plant = plant(0, 1).await;
    for value in ["", "0", "-1", "soon", "NaN", "0x10"] {
        reject_once(&plant, 0, GATE, value).await;
        let begun = Instant::now();
        let answer = send(&plant, 1, GATE).await;
        assert_eq!(answer.status(), StatusCode::OK, "{value:?}");
        assert!(begun.elapsed() < AT_ONCE, "{value:?}");
    }
}

/// Guards against a cooldown that outlives the process that asked for it.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_starts_again_inherits_no_retry_after() {
    for value in ["1e9", "1000000000"] {
        let mut plant = plant(0, 1).await;
        plant.kill_agent(0).await;
        let behind = plant.sites[0].target;
        let config = mortal::Config::new("deadly");
        let started = mortal::start(ANY, behind, config).await;
        let (target, address): (Arc<Mortal>, _) = started.expect("a target");
        plant.sites[0].target = address;
        plant.start_agent(0).await.expect("it starts");
        plant.settle().await.expect("agents are linked");
        reject_once(&plant, 0, GATE, value).await;
        let answer = send(&plant, 0, GATE).await;
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        target.end();
        let begun = Instant::now();
        while send(&plant, 0, GATE).await.status() != StatusCode::OK {
            assert!(begun.elapsed() < 10 * SECOND, "{value}: never served");
            sleep(PAUSE).await;
        }
    }
}
