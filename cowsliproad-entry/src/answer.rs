//! Writes an answer to a caller, as one JSON document or as a stream of
//! server-sent events.

use std::convert::Infallible;

use bytes::Bytes;
use cowsliproad_admission::memory::{Account, Charge};
use cowsliproad_kernel::{
    clock::Millis,
    code::{ExecutionStatus, ResultCode},
    wire::{AnswerFormat, RequestFailure},
};
use cowsliproad_net::{reply, server::SyncStream};
use futures_util::stream;
use http::{HeaderValue, StatusCode, header};
use http_body::Frame;
use serde_json::json;
use volo_http::{body::Body, response::Response};

use crate::forward::{AnswerItem, RequestForwarder};

/// Copies of a whole answer: its bytes, and the document that is sent.
const ANSWER_COPIES: usize = 2;

/// The `Retry-After` of an answer that the entry process can't keep.
const NO_MEMORY_RETRY_AFTER: Millis = Millis(1_000);

/// The failure of an answer that the entry process can't keep. The agent keeps
/// an answer that the caller can reclaim.
const NO_MEMORY_FAILURE: RequestFailure = RequestFailure {
    code: ResultCode::AnswerTooMuch,
    ran: ExecutionStatus::OutcomeUnknown,
    retry_after: Some(NO_MEMORY_RETRY_AFTER),
};

/// The HTTP header that carries the resume token.
pub const RESUME_TOKEN_HEADER: &str = "request-token";

/// Waits for the whole answer and returns it as a JSON document. The answer and
/// the document are charged until the document is sent.
pub async fn whole_answer_response(
    mut forwarder: RequestForwarder,
    account: &Account,
) -> (Response, Option<RequestFailure>) {
    let mut bytes = Vec::new();
    let mut charges = Vec::new();
    let mut token = String::new();
    while let Some(item) = forwarder.next_item().await {
        match item {
            AnswerItem::Accepted(text) => token = text,
            AnswerItem::Bytes(more) => {
                let length = ANSWER_COPIES * more.len();
                let charge = account.charge(length, Millis::now());
                let Ok(charge) = charge else {
                    return failure_response(&NO_MEMORY_FAILURE, &token);
                };
                charges.push(charge);
                bytes.extend_from_slice(&more);
            }
            AnswerItem::Restart => {
                bytes.clear();
                charges.clear();
            }
            AnswerItem::Failed(failure) => {
                return failure_response(&failure, &token);
            }
            AnswerItem::Done(end) => {
                let text = json_document(end.format, bytes);
                let document = ChargedDocument { text, _charges: charges };
                let body = Body::from(Bytes::from_owner(document));
                let mut response = reply::json_response(StatusCode::OK, body);
                set_resume_token(&mut response, &token);
                return (response, None);
            }
        }
    }
    // A request forwarder always ends with `Done` or `Failed`.
    (reply::text_response(StatusCode::INTERNAL_SERVER_ERROR, ""), None)
}

fn failure_response(
    failure: &RequestFailure,
    token: &str,
) -> (Response, Option<RequestFailure>) {
    let mut response = reply::problem_response(failure, "");
    set_resume_token(&mut response, token);
    (response, Some(*failure))
}

/// A JSON document with the charges that end when it is sent.
struct ChargedDocument {
    text: String,
    _charges: Vec<Charge>,
}

impl AsRef<[u8]> for ChargedDocument {
    fn as_ref(&self) -> &[u8] {
        self.text.as_bytes()
    }
}

/// Wraps a text answer in a JSON document. A JSON answer is returned as it
/// stands.
fn json_document(format: AnswerFormat, bytes: Vec<u8>) -> String {
    let text = String::from_utf8_lossy(&bytes);
    match format {
        AnswerFormat::Json => text.into_owned(),
        AnswerFormat::Text => json!({ "text": text }).to_string(),
    }
}

/// The response for accepted work, with the resume token and the path at which
/// the caller reclaims the answer.
pub fn accepted_response(token: &str) -> Response {
    let body = json!({
        "token": token,
        "reclaim": format!("/v1/requests/{token}"),
    });
    let mut response =
        reply::json_response(StatusCode::ACCEPTED, body.to_string());
    set_resume_token(&mut response, token);
    response
}

/// Adds the resume token to a response.
pub fn set_resume_token(response: &mut Response, token: &str) {
    if let Ok(value) = HeaderValue::from_str(token)
        && !token.is_empty()
    {
        response.headers_mut().insert(RESUME_TOKEN_HEADER, value);
    }
}

/// A value that lives as long as a streamed response and is notified when the
/// answer ends.
pub trait AnswerObserver: Send + 'static {
    /// Called when the answer is complete, or ended with a failure.
    fn answer_ended(&mut self, failure: Option<&RequestFailure>);
}

/// Streams an answer as server-sent events. The caller of this function has
/// checked that `first_item` is not a failure.
pub fn stream_answer<C: AnswerObserver>(
    forwarder: RequestForwarder,
    first_item: AnswerItem,
    first_byte: u64,
    observer: C,
) -> Response {
    let state = AnswerEvents {
        forwarder,
        first_item: Some(first_item),
        answer_offset: first_byte,
        incomplete_character: Vec::new(),
        observer,
    };
    let events = stream::unfold(state, async |mut state| {
        let event = state.next_event().await?;
        let frame = Frame::data(Bytes::from(event));
        Some((Ok::<_, Infallible>(frame), state))
    });
    let events = futures_util::StreamExt::map(events, |event| {
        event.map_err(Into::into)
    });
    let mut response =
        Response::new(Body::from_stream(SyncStream::new(events)));
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    headers
        .insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}

/// The state of an answer that is written as server-sent events.
struct AnswerEvents<C> {
    forwarder: RequestForwarder,
    first_item: Option<AnswerItem>,
    answer_offset: u64,
    /// The first bytes of a UTF-8 character whose last bytes have not arrived.
    incomplete_character: Vec<u8>,
    observer: C,
}

impl<C: AnswerObserver> AnswerEvents<C> {
    async fn next_event(&mut self) -> Option<String> {
        loop {
            let item = match self.first_item.take() {
                Some(item) => item,
                None => self.forwarder.next_item().await?,
            };
            if let Some(event) = self.event_for_item(item) {
                return Some(event);
            }
        }
    }

    fn event_for_item(&mut self, item: AnswerItem) -> Option<String> {
        match item {
            AnswerItem::Accepted(token) => Some(format_event(
                "accepted",
                None,
                &json!({ "token": token }),
            )),
            AnswerItem::Bytes(bytes) => self.data_event(bytes),
            AnswerItem::Restart => {
                self.answer_offset = 0;
                self.incomplete_character.clear();
                Some(format_event("restart", Some(0), &json!({})))
            }
            AnswerItem::Done(end) => {
                self.observer.answer_ended(None);
                let digest: String = end
                    .answer_blake3_digest
                    .iter()
                    .map(|it| format!("{it:02x}"))
                    .collect();
                let format = match end.format {
                    AnswerFormat::Text => "text",
                    AnswerFormat::Json => "json",
                };
                let data = json!({
                    "length": end.answer_bytes_total,
                    "digest": digest,
                    "format": format,
                });
                Some(format_event("done", Some(end.answer_bytes_total), &data))
            }
            AnswerItem::Failed(failure) => {
                self.observer.answer_ended(Some(&failure));
                let data = reply::problem_body(&failure, "");
                Some(format_event("failed", None, &data))
            }
        }
    }

    fn data_event(&mut self, bytes: Vec<u8>) -> Option<String> {
        self.incomplete_character.extend_from_slice(&bytes);
        let whole = match std::str::from_utf8(&self.incomplete_character) {
            Ok(text) => text.len(),
            Err(error) if error.error_len().is_none() => error.valid_up_to(),
            // Bytes that are not UTF-8 are sent with replacement characters.
            Err(_) => self.incomplete_character.len(),
        };
        if whole == 0 {
            return None;
        }
        let text: Vec<u8> = self.incomplete_character.drain(..whole).collect();
        self.answer_offset += whole as u64;
        let text = String::from_utf8_lossy(&text);
        Some(format_event(
            "data",
            Some(self.answer_offset),
            &json!({ "text": text }),
        ))
    }
}

fn format_event(
    name: &str,
    event_id: Option<u64>,
    data: &serde_json::Value,
) -> String {
    match event_id {
        Some(id) => format!("event: {name}\nid: {id}\ndata: {data}\n\n"),
        None => format!("event: {name}\ndata: {data}\n\n"),
    }
}
