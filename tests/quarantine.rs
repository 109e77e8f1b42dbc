//! Crash-inducing requests, sent through entry processes and agents to targets
//! that crash when they run the request.
//!
//! A crash-inducing request arrived again with new request ids and through
//! other entry processes, and crashed one target after the other. A single
//! request crashed four targets, because each attempt goes to another target.
//! Attempts are counted per request id, so nothing was remembered of earlier
//! crashes, and all targets of a service crashed. These tests check that a
//! request is refused after three crashes, and that no other request is
//! refused with it.

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

const ORGANISATION: &str = "harju-hangars";
const OTHER_ORGANISATION: &str = "wattleford";
/// The path of a request type whose requests need a ticket.
const TICKETED_REQUEST_PATH: &str = "/v1/access/tow-call";
/// The path of a request type whose requests may be repeated.
const REPEATABLE_REQUEST_PATH: &str = "/v1/access/gate-check";
/// The path of a request type that is answered as a stream.
const STREAM_REQUEST_PATH: &str = "/v1/drafting/lease-draft";
/// The text in a request body that makes a target crash.
const CRASH_MARKER: &str = "deadly";

/// The time within which all entry processes must know of a target crash.
const CRASH_PROPAGATION_TIMEOUT: Duration = Duration::from_secs(3);

/// A deployment whose targets crash when they run a request with
/// [`CRASH_MARKER`] in its body.
struct Deployment {
    cluster: Plant,
    targets: Vec<Arc<Mortal>>,
    client: Client,
    /// The idempotency key that is sent with all requests, if there is one.
    idempotency_key: Option<String>,
}

impl Deployment {
    async fn start() -> Deployment {
        Deployment::start_with_engines(engine::Config::new()).await
    }

    async fn start_with_engines(engine: engine::Config) -> Deployment {
        Deployment::start_with_targets(
            engine,
            mortal::Config::new(CRASH_MARKER),
        )
        .await
    }

    async fn start_with_targets(
        engine: engine::Config,
        mortal: mortal::Config,
    ) -> Deployment {
        let config = Config {
            engines: 5,
            plains: 5,
            entries: 3,
            engine,
            ..Config::new()
        };
        let mut cluster = Plant::start(config).await.expect("it starts");
        let mut targets = Vec::new();
        for index in 0..cluster.sites.len() {
            cluster.kill_agent(index).await;
            let backend = cluster.sites[index].target;
            let started = mortal::start(ANY, backend, mortal.clone()).await;
            let (mortal, address) = started.expect("a target");
            cluster.sites[index].target = address;
            targets.push(mortal);
            cluster.start_agent(index).await.expect("it starts");
        }
        cluster.settle().await.expect("agents are linked");
        Deployment {
            cluster,
            targets,
            client: Client::new(),
            idempotency_key: None,
        }
    }

    /// Returns the number of target crashes so far.
    fn crash_count(&self) -> u32 {
        self.targets.iter().map(|it| it.ends()).sum()
    }

    async fn post_request(
        &self,
        entry_index: usize,
        organisation: &str,
        path: &str,
        ticket: Option<&str>,
        body: &str,
    ) -> Response<Bytes> {
        let entry = self.cluster.gateways[entry_index].entry.as_ref();
        let address = entry.expect("the entry is up").handle.caller_address;
        let key = format!("Bearer {}", workload::key(organisation));
        let mut request = Request::post(format!("http://{address}{path}"))
            .header("authorization", key);
        if let Some(ticket) = ticket {
            request = request.header("request-ticket", ticket);
        }
        if let Some(key) = &self.idempotency_key {
            request = request.header("idempotency-key", key);
        }
        let body = Full::new(Bytes::from(body.to_string()));
        let request = request.body(body).expect("the parts are valid");
        let answer_timeout = Duration::from_secs(30);
        let answer = self.client.call(request, 1 << 20, answer_timeout).await;
        answer.expect("an answer")
    }

    /// Sends a request; if its type requires a ticket, sends the request again
    /// with a new ticket.
    async fn send_with_ticket(
        &self,
        entry_index: usize,
        organisation: &str,
        path: &str,
        body: &str,
    ) -> Response<Bytes> {
        let first = self
            .post_request(entry_index, organisation, path, None, body)
            .await;
        if first.status() != StatusCode::PRECONDITION_REQUIRED {
            return first;
        }
        let ticket = first.headers()["request-ticket"].to_str();
        let ticket = Some(ticket.expect("it is text"));
        self.post_request(entry_index, organisation, path, ticket, body).await
    }

    /// Sends a crash-inducing request until there were three target crashes.
    async fn cause_three_crashes(&self, path: &str, body: &str) {
        let mut sent = 0;
        while self.crash_count() < 3 {
            assert!(sent < 10, "the request crashes no target");
            self.send_with_ticket(sent % 3, ORGANISATION, path, body).await;
            sent += 1;
        }
    }

    /// Asserts that every entry process refuses a request and that no target
    /// crashes.
    async fn assert_refused(&self, path: &str, body: &str) {
        let before = self.crash_count();
        for entry in [0, 1, 2, 0, 1, 2] {
            let answer =
                self.send_with_ticket(entry, ORGANISATION, path, body).await;
            assert_eq!(self.crash_count(), before);
            let answer_body: Value =
                serde_json::from_slice(answer.body()).expect("JSON");
            assert_eq!(answer_body["title"], json!("Quarantined"));
            assert_eq!(answer_body["ran"], json!("NOT_RUN"));
            assert!(answer_body["retry_after_ms"].is_u64());
        }
    }
}

fn crashing_body() -> String {
    json!({ "id": CRASH_MARKER }).to_string()
}

fn crashing_stream_body() -> String {
    json!({ "messages": [CRASH_MARKER], "max_tokens": 20 }).to_string()
}

/// Asserts that a crash-inducing request is refused after three target
/// crashes.
async fn check_refused_after_three_crashes(path: &str, body: &str) {
    let deployment = Deployment::start().await;
    deployment.cause_three_crashes(path, body).await;
    sleep(CRASH_PROPAGATION_TIMEOUT).await;
    deployment.assert_refused(path, body).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn agents_detect_a_crashing_request() {
    check_refused_after_three_crashes(
        REPEATABLE_REQUEST_PATH,
        &crashing_body(),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn agents_detect_crashing_ticketed_work() {
    check_refused_after_three_crashes(TICKETED_REQUEST_PATH, &crashing_body())
        .await;
}

/// Requests with the same idempotency key go to the same target while that
/// target is up.
#[tokio::test(flavor = "multi_thread")]
async fn agents_detect_crashing_work_with_an_idempotency_key() {
    let mut deployment = Deployment::start().await;
    deployment.idempotency_key = Some("of-the-gate".into());
    deployment
        .cause_three_crashes(REPEATABLE_REQUEST_PATH, &crashing_body())
        .await;
    sleep(CRASH_PROPAGATION_TIMEOUT).await;
    deployment.assert_refused(REPEATABLE_REQUEST_PATH, &crashing_body()).await;
    deployment.idempotency_key = Some("another".into());
    deployment.assert_refused(REPEATABLE_REQUEST_PATH, &crashing_body()).await;
    let other = json!({ "id": "other" }).to_string();
    let served = deployment
        .send_with_ticket(0, ORGANISATION, REPEATABLE_REQUEST_PATH, &other)
        .await;
    assert_eq!(served.status(), StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn agents_detect_a_crashing_stream() {
    check_refused_after_three_crashes(
        STREAM_REQUEST_PATH,
        &crashing_stream_body(),
    )
    .await;
}

/// Guards against one request that crashes four targets, because each of its
/// attempts goes to another target.
#[tokio::test(flavor = "multi_thread")]
async fn one_request_crashes_at_most_three_targets() {
    for _ in 0..3 {
        let deployment = Deployment::start().await;
        let answer = deployment
            .send_with_ticket(
                0,
                ORGANISATION,
                REPEATABLE_REQUEST_PATH,
                &crashing_body(),
            )
            .await;
        let answer_body: Value =
            serde_json::from_slice(answer.body()).expect("JSON");
        assert!(deployment.crash_count() <= 3, "{answer_body}");
        assert_eq!(
            answer_body["ran"],
            json!("OUTCOME_UNKNOWN"),
            "{answer_body}"
        );
    }
}

/// Guards against a crash that is missed because the target process closes its
/// connections before its listener.
#[tokio::test(flavor = "multi_thread")]
async fn a_crash_is_detected_if_the_listener_closes_last() {
    let listener_delay = Duration::from_millis(20);
    let mortal = mortal::Config::new(CRASH_MARKER).with_lag(listener_delay);
    let deployment =
        Deployment::start_with_targets(engine::Config::new(), mortal).await;
    deployment
        .cause_three_crashes(TICKETED_REQUEST_PATH, &crashing_body())
        .await;
    sleep(CRASH_PROPAGATION_TIMEOUT).await;
    deployment.assert_refused(TICKETED_REQUEST_PATH, &crashing_body()).await;
}

/// Guards against a crash that is missed because the caller has disconnected,
/// or its deadline has passed, before the target crashes.
#[tokio::test(flavor = "multi_thread")]
async fn abandoned_work_that_crashes_its_target_is_refused() {
    // Agents abandon a request after two seconds.
    for crash_delay in [1_200, 2_500].map(Duration::from_millis) {
        let mortal =
            mortal::Config::new(CRASH_MARKER).with_stubborn(crash_delay);
        let deployment =
            Deployment::start_with_targets(engine::Config::new(), mortal)
                .await;
        let body = crashing_body();
        let mut sent = 0;
        while deployment.crash_count() < 3 {
            assert!(sent < 10, "the request crashes no target");
            let call = deployment.send_with_ticket(
                sent % 3,
                ORGANISATION,
                REPEATABLE_REQUEST_PATH,
                &body,
            );
            let answer = timeout(Duration::from_millis(300), call).await;
            assert!(answer.is_err(), "the request was answered");
            sleep(crash_delay).await;
            sent += 1;
        }
        sleep(CRASH_PROPAGATION_TIMEOUT).await;
        deployment.assert_refused(REPEATABLE_REQUEST_PATH, &body).await;
    }
}

/// Guards against 502 answers to requests with a ticket, which is bound to one
/// target: while that target's process was down, one in five such requests in
/// this test got a 502.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashed_target_gets_no_work_until_it_restarts() {
    let down = Duration::from_secs(4);
    let mortal = mortal::Config::new(CRASH_MARKER).with_down(down);
    let deployment =
        Deployment::start_with_targets(engine::Config::new(), mortal).await;
    deployment
        .send_with_ticket(
            0,
            ORGANISATION,
            TICKETED_REQUEST_PATH,
            &crashing_body(),
        )
        .await;
    assert_eq!(deployment.crash_count(), 1);
    for number in 0..30 {
        let body = json!({ "id": format!("other-{number}") }).to_string();
        let answer = deployment
            .send_with_ticket(0, ORGANISATION, TICKETED_REQUEST_PATH, &body)
            .await;
        let answer_body = String::from_utf8_lossy(answer.body()).into_owned();
        assert_eq!(answer.status(), StatusCode::OK, "{number}: {answer_body}");
    }
    sleep(down + CRASH_PROPAGATION_TIMEOUT).await;
    deployment.cluster.settle().await.expect("it is back");
}

/// While every target is down, an entry process answers a request at once, and
/// says correctly whether the request ran and when to retry.
#[tokio::test(flavor = "multi_thread")]
async fn requests_fail_at_once_while_all_targets_are_down() {
    let down = Duration::from_secs(20);
    let mortal = mortal::Config::new(CRASH_MARKER).with_down(down);
    let deployment =
        Deployment::start_with_targets(engine::Config::new(), mortal).await;
    for number in 0..5 {
        let body = json!({ "id": CRASH_MARKER, "number": number }).to_string();
        deployment
            .send_with_ticket(0, ORGANISATION, TICKETED_REQUEST_PATH, &body)
            .await;
    }
    assert_eq!(deployment.crash_count(), 5);
    let other = json!({ "id": "other" }).to_string();
    for (path, ran) in [
        (TICKETED_REQUEST_PATH, "NOT_FORWARDED"),
        (REPEATABLE_REQUEST_PATH, "NOT_RUN"),
    ] {
        let start = Instant::now();
        let answer =
            deployment.send_with_ticket(0, ORGANISATION, path, &other).await;
        assert!(start.elapsed() < Duration::from_secs(1));
        let answer_body: Value =
            serde_json::from_slice(answer.body()).expect("JSON");
        assert_eq!(
            answer.status(),
            StatusCode::SERVICE_UNAVAILABLE,
            "{answer_body}"
        );
        assert_eq!(answer_body["title"], json!("NoTarget"), "{answer_body}");
        assert_eq!(answer_body["ran"], json!(ran), "{answer_body}");
        assert!(answer_body["retry_after_ms"].is_u64(), "{answer_body}");
    }
}

/// Requests with another body, organisation or type than the refused request
/// still reach targets.
#[tokio::test(flavor = "multi_thread")]
async fn similar_work_is_not_refused() {
    let deployment = Deployment::start().await;
    deployment
        .cause_three_crashes(REPEATABLE_REQUEST_PATH, &crashing_body())
        .await;
    sleep(CRASH_PROPAGATION_TIMEOUT).await;
    let other = json!({ "id": "other" }).to_string();
    let served = deployment
        .send_with_ticket(0, ORGANISATION, REPEATABLE_REQUEST_PATH, &other)
        .await;
    assert_eq!(served.status(), StatusCode::OK);
    let another = json!({ "id": "another", "note": CRASH_MARKER }).to_string();
    for (organisation, path, body) in [
        (ORGANISATION, TICKETED_REQUEST_PATH, crashing_body()),
        (OTHER_ORGANISATION, "/v1/access/label-print", crashing_body()),
        (ORGANISATION, REPEATABLE_REQUEST_PATH, another),
    ] {
        let before = deployment.crash_count();
        let answer =
            deployment.send_with_ticket(0, organisation, path, &body).await;
        let answer_body = String::from_utf8_lossy(answer.body()).into_owned();
        assert!(deployment.crash_count() > before, "{path}: {answer_body}");
    }
}

/// Guards against crashes that are forgotten when all entry processes restart
/// at once: the agents report the crashes again.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_entry_processes_learn_of_crashes_from_agents() {
    let mut deployment = Deployment::start().await;
    deployment
        .cause_three_crashes(REPEATABLE_REQUEST_PATH, &crashing_body())
        .await;
    sleep(CRASH_PROPAGATION_TIMEOUT).await;
    for index in 0..3 {
        deployment.cluster.kill_entry(index).await;
    }
    for index in 0..3 {
        deployment.cluster.start_entry(index).await.expect("it starts");
    }
    deployment.cluster.settle().await.expect("agents are linked");
    sleep(CRASH_PROPAGATION_TIMEOUT).await;
    deployment.assert_refused(REPEATABLE_REQUEST_PATH, &crashing_body()).await;
}

/// Guards against a stream that has begun and is reported as not run, because
/// its target crashed and refuses the connection that would resume the stream.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_cut_by_a_crash_is_not_reported_as_not_run() {
    let slow = engine::Config { token_us: 50_000, ..engine::Config::new() };
    let deployment = Deployment::start_with_engines(slow).await;
    let body = json!({ "messages": ["a lease"], "max_tokens": 20 });
    let body = body.to_string();
    let call = deployment.send_with_ticket(
        0,
        ORGANISATION,
        STREAM_REQUEST_PATH,
        &body,
    );
    let crash = async {
        sleep(Duration::from_millis(400)).await;
        deployment.targets.iter().for_each(|it| it.end());
    };
    let (answer, ()) = tokio::join!(call, crash);
    let answer_body: Value =
        serde_json::from_slice(answer.body()).expect("JSON");
    assert_eq!(answer_body["ran"], json!("OUTCOME_UNKNOWN"), "{answer_body}");
}

/// Guards against work that crashed its target but is reported as not run when
/// its ticket is sent again after the work was quarantined.
#[tokio::test(flavor = "multi_thread")]
async fn a_ticket_that_ran_is_not_reported_as_not_run() {
    let deployment = Deployment::start().await;
    let first = deployment
        .post_request(
            0,
            ORGANISATION,
            TICKETED_REQUEST_PATH,
            None,
            &crashing_body(),
        )
        .await;
    let ticket = first.headers()["request-ticket"].to_str();
    let ticket = Some(ticket.expect("it is text"));
    deployment
        .post_request(
            0,
            ORGANISATION,
            TICKETED_REQUEST_PATH,
            ticket,
            &crashing_body(),
        )
        .await;
    assert_eq!(deployment.crash_count(), 1);
    deployment
        .cause_three_crashes(TICKETED_REQUEST_PATH, &crashing_body())
        .await;
    sleep(CRASH_PROPAGATION_TIMEOUT).await;
    let before = deployment.crash_count();
    for entry in 0..3 {
        let answer = deployment
            .post_request(
                entry,
                ORGANISATION,
                TICKETED_REQUEST_PATH,
                ticket,
                &crashing_body(),
            )
            .await;
        let answer_body: Value =
            serde_json::from_slice(answer.body()).expect("JSON");
        assert_eq!(
            answer_body["title"],
            json!("TargetFailed"),
            "{answer_body}"
        );
        assert_eq!(
            answer_body["ran"],
            json!("OUTCOME_UNKNOWN"),
            "{answer_body}"
        );
    }
    assert_eq!(deployment.crash_count(), before);
}
