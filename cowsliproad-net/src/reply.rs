//! Responses to callers: JSON, and `application/problem+json` for failures.

use cowsliproad_kernel::{clock::Millis, wire::RequestFailure};
use http::{HeaderValue, StatusCode, header};
use serde_json::json;
use volo_http::{body::Body, response::Response};

/// Creates a JSON response.
pub fn json_response(status: StatusCode, body: impl Into<Body>) -> Response {
    response_with_content_type(status, "application/json", body)
}

/// Creates a plain text response.
pub fn text_response(status: StatusCode, body: &str) -> Response {
    response_with_content_type(
        status,
        "text/plain; charset=utf-8",
        body.to_string(),
    )
}

/// Creates a problem response for a failure. If `detail` is empty, the
/// standard text of the result code is used.
pub fn problem_response(failure: &RequestFailure, detail: &str) -> Response {
    let status = StatusCode::from_u16(failure.code.status())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = problem_body(failure, detail).to_string();
    let mut response =
        response_with_content_type(status, "application/problem+json", body);
    if let Some(wait) = failure.retry_after {
        let seconds = HeaderValue::from(retry_after_seconds(wait));
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

/// Returns the problem document of a failure. Streams send it as their last
/// event.
pub fn problem_body(
    failure: &RequestFailure,
    detail: &str,
) -> serde_json::Value {
    let mut body = json!({
        "status": failure.code.status(),
        "code": failure.code.number(),
        "title": failure.code.name(),
        "detail": if detail.is_empty() { failure.code.text() } else { detail },
        "ran": failure.ran.as_str(),
    });
    if let Some(wait) = failure.retry_after {
        body["retry_after_ms"] = wait.0.into();
    }
    body
}

fn response_with_content_type(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Body>,
) -> Response {
    let mut response = Response::new(body.into());
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn retry_after_seconds(wait: Millis) -> u64 {
    wait.0.div_ceil(1000).max(1)
}
