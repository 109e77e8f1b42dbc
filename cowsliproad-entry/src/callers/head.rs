//! What a request's head says.

use std::sync::Arc;

use cowsliproad_kernel::{
    Name,
    code::{Code, ExecutionStatus},
    wire::RequestFailure,
};
use http::header;
use volo_http::request::Request;

use super::{Delivery, OVER_SHARE, Refused, refused};
use crate::view::{Organisation, View};

/// The longest idempotency key.
const MAX_KEY: usize = 128;

/// Who asks, by its bearer token.
pub(super) fn organisation(
    request: &Request,
    view: &View,
) -> Result<Arc<Organisation>, Refused> {
    if view.services.is_empty() {
        // Nobody's key is known yet, so no key can be called wrong.
        let failure =
            RequestFailure::new(Code::NotReady, ExecutionStatus::NotForwarded);
        return Err(Refused::new(failure.with_retry_after(OVER_SHARE)));
    }
    let value = request
        .headers()
        .get(header::AUTHORIZATION)
        .ok_or_else(|| refused(Code::NoKey, ""))?;
    let key = value.to_str().ok().and_then(|it| it.strip_prefix("Bearer "));
    let key = key.ok_or_else(|| refused(Code::NoKey, ""))?;
    let hash = blake3::hash(key.as_bytes()).to_hex();
    view.organisations
        .get(hash.as_str())
        .cloned()
        .ok_or_else(|| refused(Code::WrongKey, ""))
}

/// How the answer is wanted.
pub(super) fn delivery(request: &Request) -> Delivery {
    let has = |name: &str, value: &str| {
        let given = request.headers().get(name);
        given
            .and_then(|it| it.to_str().ok())
            .is_some_and(|it| it.contains(value))
    };
    if has("prefer", "respond-async") {
        Delivery::Async
    } else if has("accept", "text/event-stream") {
        Delivery::Stream
    } else {
        Delivery::Whole
    }
}

/// The idempotency key, if one was sent.
pub(super) fn idempotency_key(
    request: &Request,
) -> Result<Option<Name>, Refused> {
    let Some(value) = request.headers().get("idempotency-key") else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if (1..=MAX_KEY).contains(&text.len()) => {
            Ok(Some(text.into()))
        }
        _ => {
            let text = "idempotency-key: 1 to 128 visible characters";
            Err(refused(Code::BadRequest, text))
        }
    }
}
