//! How an answer is written to a caller: as one JSON document, or as a
//! stream of server-sent events.

use std::convert::Infallible;

use bytes::Bytes;
use cowsliproad_kernel::wire::{AnswerFormat, RequestFailure};
use cowsliproad_net::{reply, server::SyncStream};
use futures_util::stream;
use http::{HeaderValue, StatusCode, header};
use http_body::Frame;
use serde_json::json;
use volo_http::{body::Body, response::Response};

use crate::forward::{Forward, Item};

/// The header that carries the resume token.
pub const TOKEN_HEADER: &str = "request-token";

/// Waits for the whole answer and writes it as JSON.
pub async fn whole(
    mut forward: Forward,
) -> (Response, Option<RequestFailure>) {
    let mut bytes = Vec::new();
    let mut token = String::new();
    while let Some(item) = forward.next().await {
        match item {
            Item::Accepted(text) => token = text,
            Item::Bytes(more) => bytes.extend_from_slice(&more),
            Item::Restart => bytes.clear(),
            Item::Failed(failure) => {
                let mut response = reply::problem_response(&failure, "");
                set_token(&mut response, &token);
                return (response, Some(failure));
            }
            Item::Done(end) => {
                let body = document(end.format, bytes);
                let mut response = reply::json_response(StatusCode::OK, body);
                set_token(&mut response, &token);
                return (response, None);
            }
        }
    }
    // The machine always ends with one of the two items above.
    (reply::text_response(StatusCode::INTERNAL_SERVER_ERROR, ""), None)
}

fn document(format: AnswerFormat, bytes: Vec<u8>) -> String {
    let text = String::from_utf8_lossy(&bytes);
    match format {
        AnswerFormat::Json => text.into_owned(),
        AnswerFormat::Text => json!({ "text": text }).to_string(),
    }
}

/// Says that the request is kept and how to reclaim its answer.
pub fn accepted(token: &str) -> Response {
    let body = json!({
        "token": token,
        "reclaim": format!("/v1/requests/{token}"),
    });
    let mut response =
        reply::json_response(StatusCode::ACCEPTED, body.to_string());
    set_token(&mut response, token);
    response
}

/// Adds the resume token to a response.
pub fn set_token(response: &mut Response, token: &str) {
    if let Ok(value) = HeaderValue::from_str(token)
        && !token.is_empty()
    {
        response.headers_mut().insert(TOKEN_HEADER, value);
    }
}

/// What a streamed response keeps alive, and is told at its end.
pub trait Companion: Send + 'static {
    /// The answer ended.
    fn ended(&mut self, failure: Option<&RequestFailure>);
}

/// Writes an answer as it comes, once its first item is known to be good.
pub fn stream<C: Companion>(
    forward: Forward,
    first: Item,
    from: u64,
    companion: C,
) -> Response {
    let state = Streaming {
        forward,
        first: Some(first),
        offset: from,
        rest: Vec::new(),
        companion,
    };
    let events = stream::unfold(state, async |mut state| {
        let event = state.next().await?;
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

struct Streaming<C> {
    forward: Forward,
    first: Option<Item>,
    offset: u64,
    /// The start of a character whose end has not come.
    rest: Vec<u8>,
    companion: C,
}

impl<C: Companion> Streaming<C> {
    async fn next(&mut self) -> Option<String> {
        loop {
            let item = match self.first.take() {
                Some(item) => item,
                None => self.forward.next().await?,
            };
            if let Some(event) = self.event(item) {
                return Some(event);
            }
        }
    }

    fn event(&mut self, item: Item) -> Option<String> {
        match item {
            Item::Accepted(token) => {
                Some(event("accepted", None, &json!({ "token": token })))
            }
            Item::Bytes(bytes) => self.bytes(bytes),
            Item::Restart => {
                self.offset = 0;
                self.rest.clear();
                Some(event("restart", Some(0), &json!({})))
            }
            Item::Done(end) => {
                self.companion.ended(None);
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
                    "length": end.length,
                    "digest": digest,
                    "format": format,
                });
                Some(event("done", Some(end.length), &data))
            }
            Item::Failed(failure) => {
                self.companion.ended(Some(&failure));
                let data = reply::problem_body(&failure, "");
                Some(event("failed", None, &data))
            }
        }
    }

    fn bytes(&mut self, bytes: Vec<u8>) -> Option<String> {
        self.rest.extend_from_slice(&bytes);
        let whole = match std::str::from_utf8(&self.rest) {
            Ok(text) => text.len(),
            Err(error) if error.error_len().is_none() => error.valid_up_to(),
            // Not text at all: shown with replacement characters.
            Err(_) => self.rest.len(),
        };
        if whole == 0 {
            return None;
        }
        let text: Vec<u8> = self.rest.drain(..whole).collect();
        self.offset += whole as u64;
        let text = String::from_utf8_lossy(&text);
        Some(event("data", Some(self.offset), &json!({ "text": text })))
    }
}

fn event(name: &str, id: Option<u64>, data: &serde_json::Value) -> String {
    match id {
        Some(id) => format!("event: {name}\nid: {id}\ndata: {data}\n\n"),
        None => format!("event: {name}\ndata: {data}\n\n"),
    }
}
