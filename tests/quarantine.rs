//! Work that ends every target that runs it, on the product's own path.
//!
//! What was seen elsewhere: work that ends its target came again under new
//! ids and through other entries, and ended one target after the other. Here
//! one request alone ended four, since each attempt goes to another target,
//! and nothing was remembered of it. The cause is the same: attempts are
//! counted by request. The first two tests failed with all targets ended.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use cowsliproad_bench::{
    plant::{ANY, Config, Plant},
    workload,
};
use cowsliproad_net::client::Client;
use cowsliproad_standin::{
    engine,
    mortal::{self, Mortal},
};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

const HANGAR: &str = "harju-hangars";
const OTHER: &str = "wattleford";
const TOW: &str = "/v1/access/tow-call";
const GATE: &str = "/v1/access/gate-check";
const DRAFT: &str = "/v1/drafting/lease-draft";
const DEADLY: &str = "deadly";

/// By then all entries have to know.
const BOUND: Duration = Duration::from_secs(3);

/// A plant whose targets end under such work.
struct Scene {
    plant: Plant,
    targets: Vec<Arc<Mortal>>,
    client: Client,
    /// The idempotency key of all requests.
    key: Option<String>,
}

impl Scene {
    async fn start() -> Scene {
        Scene::start_with(engine::Config::new()).await
    }

    async fn start_with(engine: engine::Config) -> Scene {
        Scene::start_of(engine, mortal::Config::new(DEADLY)).await
    }

    async fn start_of(
        engine: engine::Config,
        mortal: mortal::Config,
    ) -> Scene {
        let config = Config {
            engines: 5,
            plains: 5,
            entries: 3,
            engine,
            ..Config::new()
        };
        let mut plant = Plant::start(config).await.expect("it starts");
        let mut targets = Vec::new();
        for index in 0..plant.sites.len() {
            plant.kill_agent(index).await;
            let behind = plant.sites[index].target;
            let started = mortal::start(ANY, behind, mortal.clone()).await;
            let (mortal, address) = started.expect("a target");
            plant.sites[index].target = address;
            targets.push(mortal);
            plant.start_agent(index).await.expect("it starts");
        }
        plant.settle().await.expect("agents are linked");
        Scene { plant, targets, client: Client::new(), key: None }
    }

    fn ends(&self) -> u32 {
        self.targets.iter().map(|it| it.ends()).sum()
    }

    async fn post(
        &self,
        entry: usize,
        organisation: &str,
        path: &str,
        ticket: Option<&str>,
        body: &str,
    ) -> Response<Bytes> {
        let entry = self.plant.gateways[entry].entry.as_ref();
        let address = entry.expect("the entry is up").handle.http;
        let key = format!("Bearer {}", workload::key(organisation));
        let mut request = Request::post(format!("http://{address}{path}"))
            .header("authorization", key);
        if let Some(ticket) = ticket {
            request = request.header("request-ticket", ticket);
        }
        if let Some(key) = &self.key {
            request = request.header("idempotency-key", key);
        }
        let body = Full::new(Bytes::from(body.to_string()));
        let request = request.body(body).expect("the parts are valid");
        let patience = Duration::from_secs(30);
        let answer = self.client.call(request, 1 << 20, patience).await;
        answer.expect("an answer")
    }

    /// Sends work, with a ticket of its own where it needs one.
    async fn send(
        &self,
        entry: usize,
        organisation: &str,
        path: &str,
        body: &str,
    ) -> Response<Bytes> {
        let first = self.post(entry, organisation, path, None, body).await;
        if first.status() != StatusCode::PRECONDITION_REQUIRED {
            return first;
        }
        let ticket = first.headers()["request-ticket"].to_str();
        let ticket = Some(ticket.expect("it is text"));
        self.post(entry, organisation, path, ticket, body).await
    }

    async fn end_three(&self, path: &str, body: &str) {
        let mut sent = 0;
        while self.ends() < 3 {
            assert!(sent < 10, "the work ends no target");
            self.send(sent % 3, HANGAR, path, body).await;
            sent += 1;
        }
    }

    async fn is_refused(&self, path: &str, body: &str) {
        let before = self.ends();
        for entry in [0, 1, 2, 0, 1, 2] {
            let answer = self.send(entry, HANGAR, path, body).await;
            assert_eq!(self.ends(), before);
            let said: Value =
                serde_json::from_slice(answer.body()).expect("JSON");
            assert_eq!(said["title"], json!("Quarantined"));
            assert_eq!(said["ran"], json!("NOT_RUN"));
            assert!(said["retry_after_ms"].is_u64());
        }
    }
}

fn call() -> String {
    json!({ "id": DEADLY }).to_string()
}

fn draft() -> String {
    json!({ "messages": [DEADLY], "max_tokens": 20 }).to_string()
}

async fn check(path: &str, body: &str) {
    let scene = Scene::start().await;
    scene.end_three(path, body).await;
    sleep(BOUND).await;
    scene.is_refused(path, body).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn agents_see_a_call_that_ends_its_targets() {
    check(GATE, &call()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn agents_see_ticketed_work_that_ends_its_targets() {
    check(TOW, &call()).await;
}

/// Resends with a key go to the same target while it is there.
#[tokio::test(flavor = "multi_thread")]
async fn agents_see_keyed_work_that_ends_its_targets() {
    let mut scene = Scene::start().await;
    scene.key = Some("of-the-gate".into());
    scene.end_three(GATE, &call()).await;
    sleep(BOUND).await;
    scene.is_refused(GATE, &call()).await;
    scene.key = Some("another".into());
    scene.is_refused(GATE, &call()).await;
    let other = json!({ "id": "other" }).to_string();
    let served = scene.send(0, HANGAR, GATE, &other).await;
    assert_eq!(served.status(), StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn agents_see_a_stream_that_ends_its_targets() {
    check(DRAFT, &draft()).await;
}

/// Each attempt goes to another target, so one request could end four.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_by_itself_ends_no_more_than_three() {
    for _ in 0..3 {
        let scene = Scene::start().await;
        let answer = scene.send(0, HANGAR, GATE, &call()).await;
        let said: Value = serde_json::from_slice(answer.body()).expect("JSON");
        assert!(scene.ends() <= 3, "{said}");
        assert_eq!(said["ran"], json!("OUTCOME_UNKNOWN"), "{said}");
    }
}

/// A process closes its listener and its connections one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn an_end_is_seen_where_the_listener_goes_last() {
    let lag = Duration::from_millis(20);
    let mortal = mortal::Config::new(DEADLY).with_lag(lag);
    let scene = Scene::start_of(engine::Config::new(), mortal).await;
    scene.end_three(TOW, &call()).await;
    sleep(BOUND).await;
    scene.is_refused(TOW, &call()).await;
}

/// Callers leave, or their time is over, and targets go on all the same and
/// end later. Nobody waits for an answer any more when they do.
#[tokio::test(flavor = "multi_thread")]
async fn work_that_targets_go_on_with_when_it_was_given_up_is_refused() {
    // Agents give up after two seconds.
    for stubborn in [1_200, 2_500].map(Duration::from_millis) {
        let mortal = mortal::Config::new(DEADLY).with_stubborn(stubborn);
        let scene = Scene::start_of(engine::Config::new(), mortal).await;
        let body = call();
        let mut sent = 0;
        while scene.ends() < 3 {
            assert!(sent < 10, "the work ends no target");
            let asked = scene.send(sent % 3, HANGAR, GATE, &body);
            let left = timeout(Duration::from_millis(300), asked).await;
            assert!(left.is_err(), "it was answered");
            sleep(stubborn).await;
            sent += 1;
        }
        sleep(BOUND).await;
        scene.is_refused(GATE, &body).await;
    }
}

/// Work with a ticket is for one target only. While that one's process is
/// gone it was answered 502, one in five such requests here.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_ended_gets_nothing_until_it_is_back() {
    let down = Duration::from_secs(4);
    let mortal = mortal::Config::new(DEADLY).with_down(down);
    let scene = Scene::start_of(engine::Config::new(), mortal).await;
    scene.send(0, HANGAR, TOW, &call()).await;
    assert_eq!(scene.ends(), 1);
    for number in 0..30 {
        let body = json!({ "id": format!("other-{number}") }).to_string();
        let answer = scene.send(0, HANGAR, TOW, &body).await;
        let said = String::from_utf8_lossy(answer.body()).into_owned();
        assert_eq!(answer.status(), StatusCode::OK, "{number}: {said}");
    }
    sleep(down + BOUND).await;
    scene.plant.settle().await.expect("it is back");
}

/// With every target gone the answer is prompt, true and has a time.
#[tokio::test(flavor = "multi_thread")]
async fn no_target_is_said_while_all_are_gone() {
    let down = Duration::from_secs(20);
    let mortal = mortal::Config::new(DEADLY).with_down(down);
    let scene = Scene::start_of(engine::Config::new(), mortal).await;
    for number in 0..5 {
        let body = json!({ "id": DEADLY, "number": number }).to_string();
        scene.send(0, HANGAR, TOW, &body).await;
    }
    assert_eq!(scene.ends(), 5);
    let other = json!({ "id": "other" }).to_string();
    for (path, ran) in [(TOW, "NOT_FORWARDED"), (GATE, "NOT_RUN")] {
        let began = Instant::now();
        let answer = scene.send(0, HANGAR, path, &other).await;
        assert!(began.elapsed() < Duration::from_secs(1));
        let said: Value = serde_json::from_slice(answer.body()).expect("JSON");
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE, "{said}");
        assert_eq!(said["title"], json!("NoTarget"), "{said}");
        assert_eq!(said["ran"], json!(ran), "{said}");
        assert!(said["retry_after_ms"].is_u64(), "{said}");
    }
}

/// Other words, another caller's and another type's are served.
#[tokio::test(flavor = "multi_thread")]
async fn what_looks_like_it_is_served() {
    let scene = Scene::start().await;
    scene.end_three(GATE, &call()).await;
    sleep(BOUND).await;
    let other = json!({ "id": "other" }).to_string();
    let served = scene.send(0, HANGAR, GATE, &other).await;
    assert_eq!(served.status(), StatusCode::OK);
    let another = json!({ "id": "another", "note": DEADLY }).to_string();
    for (organisation, path, body) in [
        (HANGAR, TOW, call()),
        (OTHER, "/v1/access/label-print", call()),
        (HANGAR, GATE, another),
    ] {
        let before = scene.ends();
        let answer = scene.send(0, organisation, path, &body).await;
        let said = String::from_utf8_lossy(answer.body()).into_owned();
        assert!(scene.ends() > before, "{path}: {said}");
    }
}

/// Entries that all start anew hear of it from the agents.
#[tokio::test(flavor = "multi_thread")]
async fn entries_that_start_anew_hear_of_it() {
    let mut scene = Scene::start().await;
    scene.end_three(GATE, &call()).await;
    sleep(BOUND).await;
    for index in 0..3 {
        scene.plant.kill_entry(index).await;
    }
    for index in 0..3 {
        scene.plant.start_entry(index).await.expect("it starts");
    }
    scene.plant.settle().await.expect("agents are linked");
    sleep(BOUND).await;
    scene.is_refused(GATE, &call()).await;
}

/// A stream has begun and its engine's process ends. That nobody listens when
/// it is asked to go on doesn't mean that it never ran.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_engine_ends_is_not_said_to_have_never_run() {
    let slow = engine::Config { token_us: 50_000, ..engine::Config::new() };
    let scene = Scene::start_with(slow).await;
    let body = json!({ "messages": ["a lease"], "max_tokens": 20 });
    let body = body.to_string();
    let asked = scene.send(0, HANGAR, DRAFT, &body);
    let ended = async {
        sleep(Duration::from_millis(400)).await;
        scene.targets.iter().for_each(|it| it.end());
    };
    let (answer, ()) = tokio::join!(asked, ended);
    let said: Value = serde_json::from_slice(answer.body()).expect("JSON");
    assert_eq!(said["ran"], json!("OUTCOME_UNKNOWN"), "{said}");
}

/// The work of a ticket ended its target. Asked again once such work is
/// refused, its outcome is still what it was.
#[tokio::test(flavor = "multi_thread")]
async fn a_ticket_that_ran_is_not_said_to_have_never_run() {
    let scene = Scene::start().await;
    let first = scene.post(0, HANGAR, TOW, None, &call()).await;
    let ticket = first.headers()["request-ticket"].to_str();
    let ticket = Some(ticket.expect("it is text"));
    scene.post(0, HANGAR, TOW, ticket, &call()).await;
    assert_eq!(scene.ends(), 1);
    scene.end_three(TOW, &call()).await;
    sleep(BOUND).await;
    let before = scene.ends();
    for entry in 0..3 {
        let answer = scene.post(entry, HANGAR, TOW, ticket, &call()).await;
        let said: Value = serde_json::from_slice(answer.body()).expect("JSON");
        assert_eq!(said["title"], json!("TargetFailed"), "{said}");
        assert_eq!(said["ran"], json!("OUTCOME_UNKNOWN"), "{said}");
    }
    assert_eq!(scene.ends(), before);
}
