//! What a stand-in says of how many requests it takes.

use std::{sync::Mutex, time::Instant};

use cowsliproad_kernel::sync::lock;
use http::{HeaderValue, StatusCode, header::RETRY_AFTER};
use volo_http::response::Response;

/// The header that names it.
const HEADER: &str = "x-request-limit";

/// A limit that is named in answers, and when requests came.
#[derive(Debug, Default)]
pub struct Limit {
    named: Mutex<Option<String>>,
    /// Requests that are turned away from now on, and with what `Retry-After`.
    rejected: Mutex<(usize, String)>,
    times: Mutex<Vec<Instant>>,
}

impl Limit {
    /// Names a limit from now on, or none.
    pub fn set(&self, limit: Option<&str>) {
        *lock(&self.named) = limit.map(str::to_string);
    }

    /// Turns so many requests away, with a `Retry-After`.
    pub fn reject(&self, count: usize, retry_after: &str) {
        *lock(&self.rejected) = (count, retry_after.to_string());
    }

    /// The answer to a request that is turned away.
    pub(crate) fn rejection(&self) -> Option<Response> {
        let mut rejected = lock(&self.rejected);
        rejected.0 = rejected.0.checked_sub(1)?;
        let mut answer = crate::status(StatusCode::SERVICE_UNAVAILABLE);
        if let Ok(value) = HeaderValue::from_str(&rejected.1) {
            answer.headers_mut().insert(RETRY_AFTER, value);
        }
        Some(answer)
    }

    /// When requests came.
    pub fn times(&self) -> Vec<Instant> {
        lock(&self.times).clone()
    }

    /// Notes a request.
    pub(crate) fn came(&self) {
        lock(&self.times).push(Instant::now());
    }

    /// Names the limit in an answer.
    pub(crate) fn name(&self, mut answer: Response) -> Response {
        let named = lock(&self.named).clone();
        let value = named.and_then(|it| HeaderValue::from_str(&it).ok());
        if let Some(value) = value {
            answer.headers_mut().insert(HEADER, value);
        }
        answer
    }
}
