//! Responses that the entry process creates itself, and the body type of all
//! responses.
//!
//! Only [`not_run_response`] builds a response that states "not run", so that
//! each use can be found and checked.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use cowsliproad_admission::memory::Charge;
use cowsliproad_kernel::clock::Millis;
use cowsliproad_net::body::Pieces;
use cowsliproad_platform::header;
use http::{HeaderValue, Response, StatusCode};
use http_body::Frame;
use tokio::sync::mpsc;

/// The body of a response.
#[derive(Debug)]
pub enum Body {
    /// A complete body in memory.
    Whole(Pieces),
    /// A stream of events. If the channel closes without [`StreamPiece::End`],
    /// the response is aborted.
    Events(mpsc::Receiver<StreamPiece>),
}

/// A part of an event stream.
#[derive(Debug)]
pub enum StreamPiece {
    /// One or more complete events, charged until they are passed on.
    Events(Bytes, Charge),
    /// The end of a complete stream.
    End,
}

/// The error that aborts the body of an incomplete stream.
#[derive(Debug)]
pub struct IncompleteStreamError;

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = IncompleteStreamError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteStreamError>>> {
        match self.get_mut() {
            Body::Whole(whole) => Pin::new(whole)
                .poll_frame(context)
                .map_err(|never: Infallible| match never {}),
            Body::Events(pieces) => {
                pieces.poll_recv(context).map(|it| match it {
                    Some(StreamPiece::Events(bytes, _)) => {
                        Some(Ok(Frame::data(bytes)))
                    }
                    Some(StreamPiece::End) => None,
                    None => Some(Err(IncompleteStreamError)),
                })
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Whole(whole) => whole.is_end_stream(),
            Body::Events(_) => false,
        }
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Body::Whole(whole) => whole.size_hint(),
            Body::Events(_) => http_body::SizeHint::new(),
        }
    }
}

/// A response with a line of plain text.
pub fn plain_text_response(
    status: StatusCode,
    text: &'static str,
) -> Response<Body> {
    let mut response = Response::new(Body::Whole(Pieces::from(text)));
    *response.status_mut() = status;
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("text/plain"),
    );
    response
}

/// A response stating that the request has not run and never will, with the
/// delay after which the caller may retry.
pub fn not_run_response(
    text: &'static str,
    retry_after: Millis,
) -> Response<Body> {
    let mut response =
        plain_text_response(StatusCode::SERVICE_UNAVAILABLE, text);
    let seconds =
        format!("{}.{:03}", retry_after.0 / 1_000, retry_after.0 % 1_000);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(http::header::RETRY_AFTER, value);
    }
    response
}

/// A response to a request that may or may not have run.
pub fn outcome_unknown_response(text: &'static str) -> Response<Body> {
    plain_text_response(StatusCode::BAD_GATEWAY, text)
}

/// A response to a request that may or may not have run by its deadline.
pub fn deadline_exceeded_response() -> Response<Body> {
    plain_text_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n")
}

/// States that the connection closes after the response.
pub fn set_connection_close(response: &mut Response<Body>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(http::header::CONNECTION, close);
}

/// Sets the response header that carries the id of the request.
pub fn set_request_id(response: &mut Response<Body>, id: &HeaderValue) {
    response.headers_mut().insert(header::REQUEST_ID, id.clone());
}

impl std::fmt::Display for IncompleteStreamError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the event stream ended before it was complete")
    }
}

impl std::error::Error for IncompleteStreamError {}
