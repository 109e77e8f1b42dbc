//! The entry's own answers, and the body type of all answers.
//!
//! A status that says "not run" is only built by [`not_run`], so that each
//! use can be found and checked.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use cowsliproad_kernel::clock::Millis;
use cowsliproad_platform::header;
use http::{HeaderValue, Response, StatusCode};
use http_body::Frame;
use http_body_util::Full;
use tokio::sync::mpsc;

/// The body of an answer.
#[derive(Debug)]
pub enum Body {
    /// At hand.
    Whole(Full<Bytes>),
    /// Events as they come. Without [`Piece::End`] the answer is cut.
    Events(mpsc::Receiver<Piece>),
}

/// A piece of a stream.
#[derive(Debug)]
pub enum Piece {
    /// Whole events.
    Events(Bytes),
    /// The stream is complete.
    End,
}

/// Why the body of an answer ends early.
#[derive(Debug)]
pub struct Cut;

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Body::Whole(whole) => Pin::new(whole)
                .poll_frame(context)
                .map_err(|never: Infallible| match never {}),
            Body::Events(pieces) => {
                pieces.poll_recv(context).map(|it| match it {
                    Some(Piece::Events(bytes)) => Some(Ok(Frame::data(bytes))),
                    Some(Piece::End) => None,
                    None => Some(Err(Cut)),
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

/// An answer with a line of text for whoever reads it.
pub fn plain(status: StatusCode, text: &'static str) -> Response<Body> {
    let body = Full::new(Bytes::from_static(text.as_bytes()));
    let mut answer = Response::new(Body::Whole(body));
    *answer.status_mut() = status;
    answer.headers_mut().insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("text/plain"),
    );
    answer
}

/// Says that the request has not run and never will, and when to come back.
pub fn not_run(text: &'static str, after: Millis) -> Response<Body> {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, text);
    let seconds = format!("{}.{:03}", after.0 / 1_000, after.0 % 1_000);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(http::header::RETRY_AFTER, value);
    }
    answer
}

/// Says nothing of whether the request has run.
pub fn unknown(text: &'static str) -> Response<Body> {
    plain(StatusCode::BAD_GATEWAY, text)
}

/// Says that the time is over, and nothing of whether the request has run.
pub fn overdue() -> Response<Body> {
    plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n")
}

/// Names the request that an answer belongs to.
pub fn belongs(answer: &mut Response<Body>, id: &HeaderValue) {
    answer.headers_mut().insert(header::REQUEST_ID, id.clone());
}

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stream can't be completed")
    }
}

impl std::error::Error for Cut {}
