//! Model engines: chat completions as server-sent events.
//!
//! When a stream breaks in its middle the engine is asked to resume it
//! after the last token that came, so the tokens already passed on stay
//! good. Only when that fails too does the work fail.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use cowsliproad_kernel::{
    clock::Millis,
    code::{Code, ExecutionStatus},
    plugin::inventory,
    wire::{AnswerFormat, RequestFailure},
};
use cowsliproad_net::client::Client;
use http::{Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde_json::Value;
use tokio::time::{Instant, timeout};

use super::{Adapter, Plugin, plain, start};
use crate::{
    pace::Pace,
    settings::Settings,
    work::{MAX_ANSWER, Repeat, Work},
};

inventory::submit! {
    Plugin {
        name: "engine",
        about: "a model engine with chat completions",
        start: start::<Engine>,
    }
}

/// Times that one broken stream is resumed.
const RESUMES: u32 = 2;

/// An adapter for model engines.
#[derive(Debug)]
pub struct Engine {
    client: Client,
    target: SocketAddr,
    silence: Duration,
    pace: Arc<Pace>,
}

/// How reading a stream ended.
enum Reading {
    Done,
    Broken,
    Silent,
}

impl Adapter for Engine {
    fn new(settings: &Settings, pace: &Arc<Pace>) -> Engine {
        Engine {
            client: Client::new(),
            pace: pace.clone(),
            target: settings.target,
            silence: settings.silence_ms.duration(),
        }
    }

    async fn call(&self, work: &Work) -> Result<AnswerFormat, RequestFailure> {
        tokio::select! {
            result = self.stream(work) => result,
            () = work.cancelled() => {
                self.cancel(work).await;
                Err(RequestFailure::new(
                    Code::Cancelled,
                    ExecutionStatus::OutcomeUnknown,
                ))
            }
        }
    }
}

impl Engine {
    async fn stream(
        &self,
        work: &Work,
    ) -> Result<AnswerFormat, RequestFailure> {
        let mut events = Events::default();
        let start = self.start(work)?;
        let mut response = self.head(start).await?;
        for _ in 0..=RESUMES {
            if !response.status().is_success() {
                break;
            }
            match self.read(response, work, &mut events).await? {
                Reading::Done => return Ok(AnswerFormat::Text),
                Reading::Silent => break,
                Reading::Broken => {
                    events.rest.clear();
                    let resume = self.resume(work, events.tokens)?;
                    // It is one more request to the target.
                    let patience = self.patience(work)?;
                    if timeout(patience, self.pace.turn()).await.is_err() {
                        break;
                    }
                    let resumed = self.head(resume).await;
                    // It has begun, whatever became of the resumption.
                    response = resumed.map_err(|it| RequestFailure {
                        ran: ExecutionStatus::OutcomeUnknown,
                        ..it
                    })?;
                }
            }
        }
        self.cancel(work).await;
        Err(RequestFailure::new(
            Code::TargetFailed,
            ExecutionStatus::OutcomeUnknown,
        ))
    }

    async fn head(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, RequestFailure> {
        let sent = Millis::now();
        let head = timeout(self.silence, self.client.send(request)).await;
        let silent = RequestFailure::new(
            Code::TimedOut,
            ExecutionStatus::OutcomeUnknown,
        );
        let head = head.map_err(|_| silent)?.map_err(plain::failure)?;
        self.pace.answered(head.status(), head.headers(), sent);
        Ok(head)
    }

    async fn read(
        &self,
        response: Response<Incoming>,
        work: &Work,
        events: &mut Events,
    ) -> Result<Reading, RequestFailure> {
        let mut body = response.into_body();
        loop {
            let wait = self.patience(work)?;
            let Ok(frame) = timeout(wait, body.frame()).await else {
                return Ok(Reading::Silent);
            };
            let Some(Ok(frame)) = frame else { return Ok(Reading::Broken) };
            let Ok(bytes) = frame.into_data() else { continue };
            let text = events.push(&bytes);
            if !text.is_empty() {
                work.append(text.as_bytes());
            }
            if events.done {
                return Ok(Reading::Done);
            }
            if work.length() > MAX_ANSWER {
                return Err(RequestFailure::new(
                    Code::TargetFailed,
                    ExecutionStatus::OutcomeUnknown,
                ));
            }
        }
    }

    /// How long the next byte may take.
    fn patience(&self, work: &Work) -> Result<Duration, RequestFailure> {
        let left = work.deadline.since(Millis::now()).duration();
        match work.repeat {
            Repeat::Never => Ok(self.silence),
            Repeat::Allowed if left.is_zero() => Err(RequestFailure::new(
                Code::TimedOut,
                ExecutionStatus::OutcomeUnknown,
            )),
            Repeat::Allowed => Ok(self.silence.min(left)),
        }
    }

    fn start(
        &self,
        work: &Work,
    ) -> Result<Request<Full<Bytes>>, RequestFailure> {
        let bad = RequestFailure::new(Code::BadJson, ExecutionStatus::NotRun);
        let mut body: Value =
            serde_json::from_slice(&work.body).map_err(|_| bad)?;
        let fields = body.as_object_mut().ok_or(bad)?;
        fields.insert("stream".into(), true.into());
        fields.insert("priority".into(), work.priority.into());
        Request::post(format!("http://{}/v1/chat/completions", self.target))
            .header(header::CONTENT_TYPE, "application/json")
            .header("x-request-id", work.request.to_string())
            .body(Full::new(Bytes::from(body.to_string())))
            .map_err(|_| bad)
    }

    fn resume(
        &self,
        work: &Work,
        from: u32,
    ) -> Result<Request<Full<Bytes>>, RequestFailure> {
        let id = work.request;
        let target = self.target;
        Request::get(format!("http://{target}/v1/streams/{id}?from={from}"))
            .body(Full::default())
            .map_err(|_| {
                RequestFailure::new(Code::BadRequest, ExecutionStatus::NotRun)
            })
    }

    async fn cancel(&self, work: &Work) {
        if self.pace.cooldown(Millis::now()).0 > 0 {
            return;
        }
        let id = work.request;
        let uri = format!("http://{}/v1/streams/{id}", self.target);
        let Ok(request) = Request::delete(uri).body(Full::default()) else {
            return;
        };
        let wait = Duration::from_millis(500);
        let deadline = Instant::now() + wait;
        let call = self.client.call(request, MAX_ANSWER, wait);
        // A target that does not take the cancel frees itself in the end.
        let _ = tokio::time::timeout_at(deadline, call).await;
    }
}

/// The text in a stream of events, however its bytes are cut up.
#[derive(Debug, Default)]
struct Events {
    rest: Vec<u8>,
    tokens: u32,
    done: bool,
}

impl Events {
    /// Takes bytes in and returns the text that they complete.
    fn push(&mut self, bytes: &[u8]) -> String {
        self.rest.extend_from_slice(bytes);
        let mut text = String::new();
        while let Some(end) = find(&self.rest, b"\n\n") {
            let event: Vec<u8> = self.rest.drain(..end + 2).collect();
            let event = event.strip_prefix(b"data: ").unwrap_or(&event);
            let event = event.trim_ascii();
            if event == b"[DONE]" {
                self.done = true;
                continue;
            }
            let Ok(value) = serde_json::from_slice::<Value>(event) else {
                continue;
            };
            let token = &value["choices"][0]["delta"]["content"];
            if let Some(token) = token.as_str() {
                text.push_str(token);
                self.tokens += 1;
            }
        }
        text
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}
