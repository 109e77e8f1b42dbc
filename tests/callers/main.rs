//! The callers' interface on a small plant: good use, bad input, and who may
//! read what.

use std::time::Duration;

use bytes::Bytes;
use cowsliproad_bench::{
    plant::{Backend, Config, Plant},
    workload,
};
use cowsliproad_net::client::Client;
use cowsliproad_standin::fault::Fault;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// A plant and a client of its first entry.
struct Scene {
    plant: Plant,
    client: Client,
}

/// What came back.
struct Reply {
    status: StatusCode,
    headers: http::HeaderMap,
    body: String,
}

impl Reply {
    fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("a JSON body")
    }

    fn header(&self, name: &str) -> String {
        let value = self.headers.get(name).expect("the header is there");
        value.to_str().expect("it is text").to_string()
    }

    fn check(&self, code: &str, ran: &str) {
        let body = self.json();
        assert_eq!(
            (&body["title"], &body["ran"]),
            (&json!(code), &json!(ran))
        );
    }
}

impl Scene {
    async fn new() -> Scene {
        let plant = Plant::start(Config::new()).await.expect("it starts");
        Scene { plant, client: Client::new() }
    }

    fn address(&self, entry: usize) -> std::net::SocketAddr {
        let entry = self.plant.gateways[entry].entry.as_ref();
        entry.expect("the entry is up").handle.caller_address
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Reply {
        self.call_at(0, method, path, headers, body).await
    }

    async fn call_at(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Reply {
        let uri = format!("http://{}{path}", self.address(entry));
        let mut request = Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let body = Full::new(Bytes::from(body.to_string()));
        let request = request.body(body).expect("the parts are valid");
        let patience = Duration::from_secs(30);
        let reply = self.client.call(request, 1 << 20, patience).await;
        let reply: Response<Bytes> = reply.expect("an answer");
        let (parts, body) = reply.into_parts();
        let body = String::from_utf8_lossy(&body).into_owned();
        Reply { status: parts.status, headers: parts.headers, body }
    }

    /// Posts with the key of an organisation.
    async fn post(
        &self,
        organisation: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Reply {
        let key = format!("Bearer {}", workload::key(organisation));
        let mut all = vec![("authorization", key.as_str())];
        all.extend_from_slice(headers);
        self.call(Method::POST, path, &all, body).await
    }

    fn runs(&self, id: &str) -> u32 {
        self.plant.runs().get(id).copied().unwrap_or(0)
    }
}

const HANGAR: &str = "harju-hangars";
const OTHER: &str = "wattleford";
const TOW: &str = "/v1/access/tow-call";
const GATE: &str = "/v1/access/gate-check";
const DRAFT: &str = "/v1/drafting/lease-draft";

fn draft() -> String {
    json!({ "messages": ["a lease"], "max_tokens": 20 }).to_string()
}

fn expected_draft() -> String {
    let body = serde_json::from_str(&draft()).expect("it is JSON");
    cowsliproad_standin::engine::answer(&body)
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_gets_a_clear_error() {
    let scene = Scene::new().await;
    let none = scene.call(Method::POST, GATE, &[], "{}").await;
    none.check("NoKey", "NOT_FORWARDED");
    let wrong = [("authorization", "Bearer nobody")];
    let wrong = scene.call(Method::POST, GATE, &wrong, "{}").await;
    wrong.check("WrongKey", "NOT_FORWARDED");
    let cases = [
        ("/v1/nothing/gate-check", "{}", "UnknownService"),
        ("/v1/access/nothing", "{}", "UnknownType"),
        (GATE, "{\"id\":", "BadJson"),
        (GATE, "{} {}", "BadJson"),
        ("/v2", "{}", "UnknownPath"),
        ("/v1/access/gate-check/tickets", "", "BadRequest"),
    ];
    for (path, body, code) in cases {
        let reply = scene.post(HANGAR, path, &[], body).await;
        reply.check(code, "NOT_FORWARDED");
    }
    let large = format!("\"{}\"", "x".repeat(70_000));
    let reply = scene.post(HANGAR, GATE, &[], &large).await;
    reply.check("TooLarge", "NOT_FORWARDED");
    let key = "k".repeat(200);
    let key = [("idempotency-key", key.as_str())];
    let reply = scene.post(HANGAR, GATE, &key, "{}").await;
    reply.check("BadRequest", "NOT_FORWARDED");
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_configuration_no_key_is_called_wrong() {
    let plant = Plant::start_empty(Config::new()).await.expect("it starts");
    let scene = Scene { plant, client: Client::new() };
    let reply = scene.post(HANGAR, GATE, &[], "{}").await;
    reply.check("NotReady", "NOT_FORWARDED");
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(reply.json()["retry_after_ms"].is_u64());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_that_dribbles_its_head_is_dropped() {
    let scene = Scene::new().await;
    let mut socket =
        TcpStream::connect(scene.address(0)).await.expect("it connects");
    socket.write_all(b"POST /v1/access").await.expect("it is open");
    let mut rest = Vec::new();
    let wait = cowsliproad_net::server::REQUEST_HEAD_TIMEOUT * 2;
    let end = tokio::time::timeout(wait, socket.read_to_end(&mut rest));
    let end = end.await.expect("the entry drops it");
    assert!(end.is_err() || rest.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_ticket_runs_once_through_any_entry() {
    let scene = Scene::new().await;
    let body = json!({ "id": "n1-0" }).to_string();
    let first = scene.post(HANGAR, TOW, &[], &body).await;
    assert_eq!(first.status, StatusCode::PRECONDITION_REQUIRED);
    first.check("TicketNeeded", "NOT_RUN");
    let ticket = first.header("request-ticket");
    let with = [("request-ticket", ticket.as_str())];
    let answer = scene.post(HANGAR, TOW, &with, &body).await;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
    let key = format!("Bearer {}", workload::key(HANGAR));
    let headers = [("authorization", key.as_str()), with[0]];
    let again = scene.call_at(1, Method::POST, TOW, &headers, &body).await;
    assert_eq!(again.body, answer.body);
    assert_eq!(scene.runs("n1-0"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_ticket_is_its_organisations_and_its_types_alone() {
    let scene = Scene::new().await;
    let body = json!({ "id": "n2-0" }).to_string();
    let first = scene.post(HANGAR, TOW, &[], &body).await;
    let ticket = first.header("request-ticket");
    let with = [("request-ticket", ticket.as_str())];
    let reply = scene.post(OTHER, TOW, &with, &body).await;
    reply.check("ForeignToken", "NOT_FORWARDED");
    let print = "/v1/access/label-print";
    let reply = scene.post(HANGAR, print, &with, &body).await;
    reply.check("ForeignToken", "NOT_FORWARDED");
    let middle = ticket.len() / 2;
    let other = if &ticket[middle..=middle] == "A" { "B" } else { "A" };
    let (head, tail) = (&ticket[..middle], &ticket[middle + 1..]);
    let forged = format!("{head}{other}{tail}");
    let with = [("request-ticket", forged.as_str())];
    let reply = scene.post(HANGAR, TOW, &with, &body).await;
    reply.check("ForgedToken", "NOT_FORWARDED");
    assert_eq!(scene.runs("n2-0"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_kept_answer_is_reclaimed_by_its_organisation_alone() {
    let scene = Scene::new().await;
    let prefer = [("prefer", "respond-async")];
    let reply = scene.post(HANGAR, DRAFT, &prefer, &draft()).await;
    assert_eq!(reply.status, StatusCode::ACCEPTED, "{}", reply.body);
    let token = reply.header("request-token");
    let path = format!("/v1/requests/{token}");
    let own = format!("Bearer {}", workload::key(HANGAR));
    let own = [("authorization", own.as_str())];
    for entry in 0..2 {
        let kept = scene.call_at(entry, Method::GET, &path, &own, "").await;
        assert_eq!(kept.json()["text"], json!(expected_draft()));
    }
    let other = format!("Bearer {}", workload::key(OTHER));
    let other = [("authorization", other.as_str())];
    let reply = scene.call(Method::GET, &path, &other, "").await;
    reply.check("ForeignToken", "NOT_FORWARDED");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_whole_and_resumes_at_its_last_event() {
    let scene = Scene::new().await;
    let accept = [("accept", "text/event-stream")];
    let reply = scene.post(HANGAR, DRAFT, &accept, &draft()).await;
    let events = events(&reply.body);
    let (text, token) = joined(&events);
    assert_eq!(text, expected_draft());
    assert_eq!(events.last().map(|it| it.name.as_str()), Some("done"));
    let middle = 10;
    let last = middle.to_string();
    let own = format!("Bearer {}", workload::key(HANGAR));
    let headers = [
        ("authorization", own.as_str()),
        accept[0],
        ("last-event-id", last.as_str()),
    ];
    let path = format!("/v1/requests/{token}");
    let rest = scene.call_at(1, Method::GET, &path, &headers, "").await;
    let (rest, _) = joined(&self::events(&rest.body));
    assert_eq!(rest, expected_draft()[middle..]);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotency_key_names_one_request() {
    let scene = Scene::new().await;
    let key = [("idempotency-key", "lease-77")];
    let body = json!({ "id": "r7-0" }).to_string();
    let first = scene.post(HANGAR, GATE, &key, &body).await;
    let second = scene.post(HANGAR, GATE, &key, &body).await;
    assert_eq!(first.body, second.body);
    assert_eq!(scene.runs("r7-0"), 1);
    let reply = scene.post(HANGAR, GATE, &key, "{\"id\":\"x\"}").await;
    assert_eq!(reply.json()["title"], json!("KeyReused"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failing_target_says_unknown_for_a_ticket_and_runs_it_once() {
    let scene = Scene::new().await;
    for site in &scene.plant.sites {
        if let Backend::Plain(plain) = &site.backend {
            plain.switch.set(Fault::LoseAnswer);
        }
    }
    let body = json!({ "id": "n3-0" }).to_string();
    let first = scene.post(HANGAR, TOW, &[], &body).await;
    let ticket = first.header("request-ticket");
    let with = [("request-ticket", ticket.as_str())];
    for _ in 0..3 {
        let reply = scene.post(HANGAR, TOW, &with, &body).await;
        reply.check("TargetFailed", "OUTCOME_UNKNOWN");
    }
    assert_eq!(scene.runs("n3-0"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_agents_tickets_are_answered_by_its_peer() {
    let mut scene = Scene::new().await;
    let body = json!({ "id": "n4-0" }).to_string();
    let tickets = scene
        .post(HANGAR, "/v1/access/tow-call/tickets?count=20", &[], "")
        .await;
    let tickets: Vec<String> =
        serde_json::from_value(tickets.json()["tickets"].clone())
            .expect("tickets");
    let used = &tickets[0];
    let with = [("request-ticket", used.as_str())];
    let answer = scene.post(HANGAR, TOW, &with, &body).await;
    assert_eq!(answer.status, StatusCode::OK);
    // Both plain targets in turn, so that every ticket's agent has stopped.
    scene.plant.stop_agent(2).await;
    scene.plant.start_agent(2).await.expect("it starts");
    scene.plant.settle().await.expect("it is linked");
    scene.plant.stop_agent(3).await;
    scene.plant.start_agent(3).await.expect("it starts");
    scene.plant.settle().await.expect("it is linked");
    let again = scene.post(HANGAR, TOW, &with, &body).await;
    assert_eq!(again.body, answer.body);
    assert_eq!(scene.runs("n4-0"), 1);
    for unused in &tickets[1..] {
        let with = [("request-ticket", unused.as_str())];
        let reply = scene.post(HANGAR, TOW, &with, &body).await;
        reply.check("TicketBurned", "NOT_RUN");
    }
    assert_eq!(scene.runs("n4-0"), 1);
}

/// A server-sent event.
struct Event {
    name: String,
    data: Value,
}

fn events(body: &str) -> Vec<Event> {
    let blocks = body.split("\n\n").filter(|it| !it.is_empty());
    blocks
        .map(|block| {
            let field = |name: &str| {
                let mut lines = block.lines();
                let line = lines.find_map(|it| it.strip_prefix(name));
                line.unwrap_or_default().to_string()
            };
            let data = serde_json::from_str(&field("data: "));
            Event { name: field("event: "), data: data.expect("JSON") }
        })
        .collect()
}

fn joined(events: &[Event]) -> (String, String) {
    let text = |name: &str, field: &str| {
        let found = events.iter().filter(|it| it.name == name);
        found.filter_map(|it| it.data[field].as_str()).collect::<String>()
    };
    (text("data", "text"), text("accepted", "token"))
}
