//! The adapter for model engines: chat completions as server-sent events.
//!
//! When a stream breaks, the engine is asked to resume it after the last token
//! received, so the tokens already sent to the caller stay valid. The request
//! fails only when resuming fails too.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use cowsliproad_kernel::{
    clock::Millis,
    code::{ExecutionStatus, ResultCode},
    plugin::inventory,
    wire::{AnswerFormat, RequestFailure},
};
use cowsliproad_net::{client::Client, timer::timeout};
use http::{Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde_json::Value;

use super::{Adapter, AdapterPlugin, plain, start_adapter};
use crate::{
    pace::RequestPacer,
    settings::Settings,
    work::{MAX_ANSWER_BYTES, RequestWork, RerunPolicy},
};

inventory::submit! {
    AdapterPlugin {
        adapter_name: "engine",
        description: "a model engine with chat completions",
        start_adapter: start_adapter::<EngineAdapter>,
    }
}

/// How often one stream may be resumed after it broke.
const MAX_STREAM_RESUMES: u32 = 2;

/// Sends requests to a model engine and streams its answers.
#[derive(Debug)]
pub struct EngineAdapter {
    client: Client,
    target_address: SocketAddr,
    silence_timeout: Duration,
    pacer: Arc<RequestPacer>,
}

/// The result of reading an event stream.
enum StreamResult {
    Complete,
    Broken,
    Silent,
}

impl Adapter for EngineAdapter {
    fn new(settings: &Settings, pacer: &Arc<RequestPacer>) -> EngineAdapter {
        EngineAdapter {
            client: Client::new(),
            pacer: pacer.clone(),
            target_address: settings.target_address,
            silence_timeout: settings.target_silence_timeout.duration(),
        }
    }

    async fn call_target(
        &self,
        work: &RequestWork,
    ) -> Result<AnswerFormat, RequestFailure> {
        tokio::select! {
            result = self.stream_answer(work) => result,
            () = work.wait_until_cancelled() => {
                self.cancel_at_target(work).await;
                Err(RequestFailure::new(
                    ResultCode::Cancelled,
                    ExecutionStatus::OutcomeUnknown,
                ))
            }
        }
    }
}

impl EngineAdapter {
    async fn stream_answer(
        &self,
        work: &RequestWork,
    ) -> Result<AnswerFormat, RequestFailure> {
        let mut events = EventParser::default();
        let patience = Patience::new(work, self.silence_timeout);
        let start = self.build_start_request(work)?;
        let mut response = self.send_request(start, &patience).await?;
        for _ in 0..=MAX_STREAM_RESUMES {
            if !response.status().is_success() {
                break;
            }
            let read =
                read_events(response, work, &mut events, &patience).await?;
            match read {
                StreamResult::Complete => return Ok(AnswerFormat::Text),
                StreamResult::Silent => break,
                StreamResult::Broken => {
                    events.unparsed_bytes.clear();
                    let resume = self
                        .build_resume_request(work, events.received_tokens)?;
                    // The longest wait for the permit that resuming needs, as
                    // one more request to the target.
                    let permit_timeout = patience.byte_timeout()?;
                    if timeout(permit_timeout, self.pacer.acquire_permit())
                        .await
                        .is_err()
                    {
                        break;
                    }
                    let resumed = self.send_request(resume, &patience).await;
                    // The engine has started the request, so a failed resume
                    // leaves the outcome unknown.
                    response = resumed.map_err(|it| RequestFailure {
                        ran: ExecutionStatus::OutcomeUnknown,
                        ..it
                    })?;
                }
            }
        }
        self.cancel_at_target(work).await;
        Err(RequestFailure::new(
            ResultCode::TargetFailed,
            ExecutionStatus::OutcomeUnknown,
        ))
    }

    async fn send_request(
        &self,
        request: Request<Full<Bytes>>,
        patience: &Patience,
    ) -> Result<Response<Incoming>, RequestFailure> {
        let sent_at = Millis::now();
        let head_timeout = patience.byte_timeout()?;
        let head = timeout(head_timeout, self.client.send(request)).await;
        let silent = RequestFailure::new(
            ResultCode::TimedOut,
            ExecutionStatus::OutcomeUnknown,
        );
        let head =
            head.map_err(|_| silent)?.map_err(plain::request_failure)?;
        self.pacer.observe_answer(head.status(), head.headers(), sent_at);
        Ok(head)
    }

    fn build_start_request(
        &self,
        work: &RequestWork,
    ) -> Result<Request<Full<Bytes>>, RequestFailure> {
        let bad =
            RequestFailure::new(ResultCode::BadJson, ExecutionStatus::NotRun);
        let mut body: Value =
            serde_json::from_slice(&work.request_body).map_err(|_| bad)?;
        let fields = body.as_object_mut().ok_or(bad)?;
        fields.insert("stream".into(), true.into());
        fields.insert("priority".into(), work.engine_priority.into());
        Request::post(format!(
            "http://{}/v1/chat/completions",
            self.target_address
        ))
        .header(header::CONTENT_TYPE, "application/json")
        .header("x-request-id", work.request_id.to_string())
        .body(Full::new(Bytes::from(body.to_string())))
        .map_err(|_| bad)
    }

    fn build_resume_request(
        &self,
        work: &RequestWork,
        from: u32,
    ) -> Result<Request<Full<Bytes>>, RequestFailure> {
        let id = work.request_id;
        let target = self.target_address;
        Request::get(format!("http://{target}/v1/streams/{id}?from={from}"))
            .body(Full::default())
            .map_err(|_| {
                RequestFailure::new(
                    ResultCode::BadRequest,
                    ExecutionStatus::NotRun,
                )
            })
    }

    async fn cancel_at_target(&self, work: &RequestWork) {
        if self.pacer.remaining_cooldown(Millis::now()).0 > 0 {
            return;
        }
        let id = work.request_id;
        let uri = format!("http://{}/v1/streams/{id}", self.target_address);
        let Ok(request) = Request::delete(uri).body(Full::default()) else {
            return;
        };
        let cancel_timeout = Duration::from_millis(500);
        let call = self.client.call(request, MAX_ANSWER_BYTES, cancel_timeout);
        // Best effort: without the cancellation the target only frees its
        // resources later.
        let _ = timeout(cancel_timeout, call).await;
    }
}

/// How long an engine's answer to one request is awaited.
#[derive(Debug)]
struct Patience {
    rerun_policy: RerunPolicy,
    silence_timeout: Duration,
    /// When the whole answer is given up.
    give_up_at: Millis,
}

impl Patience {
    /// A request that must not be repeated gets at least the silence timeout,
    /// since its outcome is worth knowing even late.
    fn new(work: &RequestWork, silence_timeout: Duration) -> Patience {
        let silence_end =
            Millis::now() + Millis(silence_timeout.as_millis() as u64);
        let give_up_at = match work.rerun_policy {
            RerunPolicy::Allowed => work.deadline,
            RerunPolicy::Never => work.deadline.max(silence_end),
        };
        let rerun_policy = work.rerun_policy;
        Patience { rerun_policy, silence_timeout, give_up_at }
    }

    /// How long to wait for the next byte of the answer. Silence ends only a
    /// request that may be repeated.
    fn byte_timeout(&self) -> Result<Duration, RequestFailure> {
        let left = self.give_up_at.since(Millis::now()).duration();
        match self.rerun_policy {
            _ if left.is_zero() => Err(RequestFailure::new(
                ResultCode::TimedOut,
                ExecutionStatus::OutcomeUnknown,
            )),
            RerunPolicy::Never => Ok(left),
            RerunPolicy::Allowed => Ok(self.silence_timeout.min(left)),
        }
    }
}

async fn read_events(
    response: Response<Incoming>,
    work: &RequestWork,
    events: &mut EventParser,
    patience: &Patience,
) -> Result<StreamResult, RequestFailure> {
    let mut body = response.into_body();
    loop {
        let wait = patience.byte_timeout()?;
        let Ok(frame) = timeout(wait, body.frame()).await else {
            return Ok(StreamResult::Silent);
        };
        let Some(Ok(frame)) = frame else {
            return Ok(StreamResult::Broken);
        };
        let Ok(bytes) = frame.into_data() else { continue };
        let text = events.push_bytes(&bytes);
        if !text.is_empty() {
            work.append_answer_bytes(text.as_bytes());
        }
        if events.is_done {
            return Ok(StreamResult::Complete);
        }
        if work.answer_length().max(events.unparsed_bytes.len())
            > MAX_ANSWER_BYTES
        {
            return Err(RequestFailure::new(
                ResultCode::TargetFailed,
                ExecutionStatus::OutcomeUnknown,
            ));
        }
    }
}

/// Parses the answer text from server-sent events that arrive in arbitrary
/// pieces.
#[derive(Debug, Default)]
struct EventParser {
    unparsed_bytes: Vec<u8>,
    received_tokens: u32,
    is_done: bool,
}

impl EventParser {
    /// Appends stream bytes and returns the text of the events that they
    /// complete.
    fn push_bytes(&mut self, bytes: &[u8]) -> String {
        // Earlier bytes hold no end of an event, save for its first half.
        let mut searched = self.unparsed_bytes.len().saturating_sub(1);
        self.unparsed_bytes.extend_from_slice(bytes);
        let mut text = String::new();
        while let Some(end) =
            find_bytes(&self.unparsed_bytes[searched..], b"\n\n")
        {
            let end = searched + end;
            searched = 0;
            let event: Vec<u8> =
                self.unparsed_bytes.drain(..end + 2).collect();
            let event = event.strip_prefix(b"data: ").unwrap_or(&event);
            let event = event.trim_ascii();
            if event == b"[DONE]" {
                self.is_done = true;
                continue;
            }
            let Ok(value) = serde_json::from_slice::<Value>(event) else {
                continue;
            };
            let token = &value["choices"][0]["delta"]["content"];
            if let Some(token) = token.as_str() {
                text.push_str(token);
                self.received_tokens += 1;
            }
        }
        text
    }
}

fn find_bytes(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}
