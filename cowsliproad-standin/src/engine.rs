//! A model engine with the usual chat-completions interface.
//!
//! `POST /v1/chat/completions` streams server-sent events. The text depends
//! on the body's `messages` and `max_tokens` alone, so every engine gives
//! the same answer and a caller can tell its own. Waiting requests are taken
//! in order of `priority`, lowest first. A stream can be resumed by its
//! `x-request-id` and cancelled. `GET /v1/load` reports with a lag.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use cowsliproad_kernel::sync::lock;
use cowsliproad_net::{
    reply,
    server::{self, AcceptHandle, Handler, Listener},
};
use futures_util::stream;
use http::{HeaderValue, Method, StatusCode, header};
use http_body::Frame;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::{
    sync::{oneshot, watch},
    time::sleep,
};
use volo_http::{body::Body, request::Request, response::Response};

use crate::{
    fault::{Fault, Switch},
    limit::Limit,
    plain::set_fault,
};

/// Whether an engine refuses orders with an old fencing number.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// It refuses them.
    Checked,
    /// It obeys them.
    Ignored,
}

/// How an engine behaves when nothing is wrong.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Streams run at once.
    pub slots: u32,
    /// Time to the first token, in microseconds.
    pub first_us: u64,
    /// Time for each further token, in microseconds.
    pub token_us: u64,
    /// How old a load report is, in milliseconds.
    pub load_lag_ms: u64,
    /// What becomes of old fencing numbers.
    pub fencing: Fencing,
}

impl Config {
    /// A small engine.
    pub fn new() -> Config {
        Config {
            slots: 16,
            first_us: 5_000,
            token_us: 500,
            load_lag_ms: 500,
            fencing: Fencing::Checked,
        }
    }
}

impl Default for Config {
    fn default() -> Config {
        Config::new()
    }
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    config: Config,
    line: Mutex<Line>,
    streams: Mutex<HashMap<String, Arc<Generation>>>,
    fence: AtomicU64,
    runs: AtomicU64,
    reported: watch::Sender<(u32, u32)>,
    /// Its faults.
    pub switch: Switch,
    /// How many requests a second it takes.
    pub limit: Limit,
}

/// Requests that hold a slot or wait for one.
#[derive(Debug, Default)]
struct Line {
    running: u32,
    arrivals: u64,
    waiting: BTreeMap<(i64, u64), oneshot::Sender<()>>,
}

/// One text being generated.
#[derive(Debug)]
struct Generation {
    tokens: Vec<String>,
    made: AtomicU32,
    progress: watch::Sender<u32>,
    cancelled: AtomicBool,
}

/// Starts an engine and tells where it listens.
pub async fn start(
    address: SocketAddr,
    config: Config,
) -> io::Result<(Arc<Engine>, SocketAddr)> {
    let engine = Arc::new(Engine {
        config,
        line: Mutex::default(),
        streams: Mutex::default(),
        fence: AtomicU64::new(0),
        runs: AtomicU64::new(0),
        reported: watch::Sender::new((0, 0)),
        switch: Switch::new(),
        limit: Limit::default(),
    });
    let accept_handle = AcceptHandle::new();
    let listener = Listener::bind(address, &accept_handle).await?;
    let address = listener.address();
    tokio::spawn(report(engine.clone()));
    tokio::spawn(server::serve(
        listener,
        Arc::new(Front(engine.clone())),
        accept_handle,
    ));
    Ok((engine, address))
}

/// The answer to a body, which depends on nothing else.
pub fn answer(body: &Value) -> String {
    tokens(body).concat()
}

fn tokens(body: &Value) -> Vec<String> {
    let digest = blake3::hash(body["messages"].to_string().as_bytes());
    let digest = &digest.to_hex()[..8];
    let count = body["max_tokens"].as_u64().unwrap_or(8).clamp(1, 4096);
    (0..count).map(|index| format!("{digest}-{index} ")).collect()
}

impl Engine {
    /// Streams running and waiting now, which only an all-knowing baseline
    /// may use.
    pub fn truth(&self) -> (u32, u32) {
        let line = lock(&self.line);
        (line.running, line.waiting.len() as u32)
    }

    /// Texts started.
    pub fn runs(&self) -> u64 {
        self.runs.load(Ordering::Relaxed)
    }

    async fn enter(&self, priority: i64) {
        let turn = {
            let mut line = lock(&self.line);
            if line.running < self.config.slots {
                line.running += 1;
                return;
            }
            let (sender, turn) = oneshot::channel();
            line.arrivals += 1;
            let place = (priority, line.arrivals);
            line.waiting.insert(place, sender);
            turn
        };
        // The sender is dropped only with the engine.
        let _ = turn.await;
    }

    fn leave(&self) {
        let mut line = lock(&self.line);
        while let Some((_, next)) = line.waiting.pop_first() {
            if next.send(()).is_ok() {
                return;
            }
        }
        line.running -= 1;
    }

    async fn generate(
        self: Arc<Self>,
        generation: Arc<Generation>,
        priority: i64,
    ) {
        self.enter(priority).await;
        self.runs.fetch_add(1, Ordering::Relaxed);
        let first = Duration::from_micros(self.config.first_us);
        pause(self.switch.stretch(first)).await;
        let count = generation.tokens.len() as u32;
        let each = Duration::from_micros(self.config.token_us);
        let mut owed = Duration::ZERO;
        for made in 1..=count {
            if generation.cancelled.load(Ordering::Relaxed) {
                break;
            }
            owed += self.switch.stretch(each);
            if owed >= TICK {
                pause(owed).await;
                owed = Duration::ZERO;
            }
            generation.made.store(made, Ordering::Relaxed);
            generation.progress.send_replace(made);
        }
        self.leave();
    }
}

/// Token times are paid in sleeps of at least the timer's grain.
const TICK: Duration = Duration::from_millis(1);

async fn pause(time: Duration) {
    if !time.is_zero() {
        sleep(time).await;
    }
}

/// Publishes the load after the configured lag.
async fn report(engine: Arc<Engine>) {
    let lag = Duration::from_millis(engine.config.load_lag_ms.max(1));
    loop {
        let (running, waiting) = engine.truth();
        sleep(lag).await;
        engine.reported.send_replace((running, waiting));
    }
}

/// The HTTP side, which needs the engine's shared pointer.
struct Front(Arc<Engine>);

impl Front {
    async fn complete(&self, request: Request) -> Response {
        let engine = &self.0;
        match engine.switch.get() {
            Fault::Error => {
                return crate::status(StatusCode::INTERNAL_SERVER_ERROR);
            }
            Fault::BlackHole => std::future::pending::<()>().await,
            _ => {}
        }
        let id = header_text(&request, "x-request-id");
        let Ok(body) = crate::body(request).await else {
            return crate::status(StatusCode::BAD_REQUEST);
        };
        let Ok(body) = serde_json::from_slice::<Value>(&body) else {
            return crate::status(StatusCode::BAD_REQUEST);
        };
        let generation = Arc::new(Generation {
            tokens: tokens(&body),
            made: AtomicU32::new(0),
            progress: watch::Sender::new(0),
            cancelled: AtomicBool::new(false),
        });
        let priority = body["priority"].as_i64().unwrap_or(0);
        lock(&engine.streams).insert(id.clone(), generation.clone());
        tokio::spawn(engine.clone().generate(generation.clone(), priority));
        engine.switch.before_answer().await;
        let last = LastRead { engine: engine.clone(), id };
        respond(&engine.switch, generation, 0, Some(last))
    }

    fn resume(&self, id: &str, from: u32) -> Response {
        let known = lock(&self.0.streams).get(id).cloned();
        match known {
            Some(generation) => {
                respond(&self.0.switch, generation, from, None)
            }
            None => crate::status(StatusCode::NOT_FOUND),
        }
    }

    fn cancel(&self, id: &str) -> Response {
        let known = lock(&self.0.streams).remove(id);
        match known {
            Some(generation) => {
                generation.cancelled.store(true, Ordering::Relaxed);
                crate::status(StatusCode::NO_CONTENT)
            }
            None => crate::status(StatusCode::NOT_FOUND),
        }
    }

    async fn order(&self, request: Request) -> Response {
        let engine = &self.0;
        let Ok(body) = crate::body(request).await else {
            return crate::status(StatusCode::BAD_REQUEST);
        };
        let Ok(body) = serde_json::from_slice::<Value>(&body) else {
            return crate::status(StatusCode::BAD_REQUEST);
        };
        let fence = body["fence"].as_u64().unwrap_or(0);
        let seen = engine.fence.fetch_max(fence, Ordering::Relaxed);
        if seen > fence && engine.config.fencing == Fencing::Checked {
            return crate::status(StatusCode::CONFLICT);
        }
        crate::status(StatusCode::NO_CONTENT)
    }
}

impl Handler for Front {
    async fn handle_request(&self, request: Request) -> Response {
        let path = crate::path(&request);
        let path: Vec<&str> = path.iter().map(String::as_str).collect();
        match (request.method().clone(), &path[..]) {
            (Method::POST, ["v1", "chat", "completions"]) => {
                self.0.limit.came();
                if let Some(rejection) = self.0.limit.rejection() {
                    return rejection;
                }
                let answer = self.complete(request).await;
                self.0.limit.name(answer)
            }
            (Method::GET, ["v1", "streams", id]) => {
                let from = server::query_number(&request, "from").unwrap_or(0);
                self.0.limit.came();
                if let Some(rejection) = self.0.limit.rejection() {
                    return rejection;
                }
                self.0.limit.name(self.resume(id, from as u32))
            }
            (Method::DELETE, ["v1", "streams", id]) => self.cancel(id),
            (Method::GET, ["v1", "load"]) => {
                let (running, waiting) = *self.0.reported.borrow();
                let body = json!({ "running": running, "waiting": waiting });
                reply::json_response(StatusCode::OK, body.to_string())
            }
            (Method::POST, ["v1", "orders"]) => self.order(request).await,
            (Method::POST, ["fault"]) => {
                set_fault(&self.0.switch, request).await
            }
            _ => crate::status(StatusCode::NOT_FOUND),
        }
    }
}

/// Forgets a finished text a while after its stream was read.
struct LastRead {
    engine: Arc<Engine>,
    id: String,
}

/// How long a text can be resumed after its stream ended.
const RESUMABLE: Duration = Duration::from_secs(5);

impl Drop for LastRead {
    fn drop(&mut self) {
        let engine = self.engine.clone();
        let id = std::mem::take(&mut self.id);
        tokio::spawn(async move {
            sleep(RESUMABLE).await;
            lock(&engine.streams).remove(&id);
        });
    }
}

struct Reading {
    generation: Arc<Generation>,
    progress: watch::Receiver<u32>,
    switch: Switch,
    next: u32,
    stage: Stage,
    _last: Option<LastRead>,
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Tokens,
    Done,
}

fn respond(
    switch: &Switch,
    generation: Arc<Generation>,
    from: u32,
    last: Option<LastRead>,
) -> Response {
    let reading = Reading {
        progress: generation.progress.subscribe(),
        generation,
        switch: switch.clone(),
        next: from,
        stage: Stage::Tokens,
        _last: last,
    };
    let events = stream::unfold(reading, async |mut reading| {
        let event = next_event(&mut reading).await?;
        Some((event, reading))
    });
    event_stream(Body::from_stream(SyncStream::new(events)))
}

type Event = Result<Frame<Bytes>, Box<dyn std::error::Error + Send + Sync>>;

async fn next_event(reading: &mut Reading) -> Option<Event> {
    if reading.stage == Stage::Done {
        return None;
    }
    let count = reading.generation.tokens.len() as u32;
    if reading.next > count / 2 {
        match reading.switch.get() {
            Fault::Cut | Fault::LoseAnswer => {
                return Some(Err("the stand-in cuts the stream".into()));
            }
            Fault::Stall => std::future::pending::<()>().await,
            _ => {}
        }
    }
    if reading.next >= count {
        reading.stage = Stage::Done;
        return Some(Ok(frame("data: [DONE]\n\n".into())));
    }
    let next = reading.next;
    let made = reading.progress.wait_for(|made| *made > next).await;
    let made = made.map_or(next, |made| *made);
    let tokens = &reading.generation.tokens[next as usize..made as usize];
    let text: String = tokens.iter().map(|token| event(token)).collect();
    reading.next = made;
    Some(Ok(frame(text)))
}

fn event(token: &str) -> String {
    let chunk = json!({ "choices": [{ "delta": { "content": token } }] });
    format!("data: {chunk}\n\n")
}

fn frame(text: String) -> Frame<Bytes> {
    Frame::data(Bytes::from(text))
}

fn event_stream(body: Body) -> Response {
    let mut response = Response::new(body);
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    response
}

/// A response whose connection closes before the body is whole.
pub(crate) fn cut_response() -> Response {
    let broken: Event = Err("the stand-in loses the answer".into());
    let frames = stream::iter([Ok(frame("{".into())), broken]);
    event_stream(Body::from_stream(frames))
}

fn header_text(request: &Request, name: &str) -> String {
    let value = request.headers().get(name);
    value.and_then(|it| it.to_str().ok()).unwrap_or_default().to_string()
}

/// A stream that may be shared between threads, as response bodies must,
/// although only one of them ever polls it.
pub(crate) use cowsliproad_net::server::SyncStream;
