//! Reads the headers of a caller's HTTP request.

use std::sync::Arc;

use cowsliproad_kernel::{
    Name,
    code::{ExecutionStatus, ResultCode},
    wire::RequestFailure,
};
use http::header;
use volo_http::request::Request;

use super::{
    AnswerDelivery, OVERLOAD_RETRY_AFTER, RequestRefusal, refuse_unforwarded,
};
use crate::view::{ConfigView, Organisation};

/// The maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;

/// Finds the organisation whose key is the bearer token of an HTTP request.
pub(super) fn authenticate_organisation(
    request: &Request,
    view: &ConfigView,
) -> Result<Arc<Organisation>, RequestRefusal> {
    if view.services.is_empty() {
        // Without a configuration no organisation key is known, so no key can
        // be rejected as wrong.
        let failure = RequestFailure::new(
            ResultCode::NotReady,
            ExecutionStatus::NotForwarded,
        );
        return Err(RequestRefusal::new(
            failure.with_retry_after(OVERLOAD_RETRY_AFTER),
        ));
    }
    let value = request
        .headers()
        .get(header::AUTHORIZATION)
        .ok_or_else(|| refuse_unforwarded(ResultCode::NoKey, ""))?;
    let key = value.to_str().ok().and_then(|it| it.strip_prefix("Bearer "));
    let key = key.ok_or_else(|| refuse_unforwarded(ResultCode::NoKey, ""))?;
    let hash = blake3::hash(key.as_bytes()).to_hex();
    view.organisations
        .get(hash.as_str())
        .cloned()
        .ok_or_else(|| refuse_unforwarded(ResultCode::WrongKey, ""))
}

/// Reads from the `Prefer` and `Accept` headers how the caller receives the
/// answer.
pub(super) fn requested_delivery(request: &Request) -> AnswerDelivery {
    let has = |name: &str, value: &str| {
        let given = request.headers().get(name);
        given
            .and_then(|it| it.to_str().ok())
            .is_some_and(|it| it.contains(value))
    };
    if has("prefer", "respond-async") {
        AnswerDelivery::Async
    } else if has("accept", "text/event-stream") {
        AnswerDelivery::Stream
    } else {
        AnswerDelivery::Whole
    }
}

/// Reads the idempotency key of an HTTP request, if the caller sent one.
pub(super) fn read_idempotency_key(
    request: &Request,
) -> Result<Option<Name>, RequestRefusal> {
    let Some(value) = request.headers().get("idempotency-key") else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&text.len()) => {
            Ok(Some(text.into()))
        }
        _ => {
            let text = "idempotency-key: 1 to 128 visible characters";
            Err(refuse_unforwarded(ResultCode::BadRequest, text))
        }
    }
}
