//! What a stand-in says of how many requests a second it takes.

use std::{sync::Mutex, time::Instant};

use cowsliproad_kernel::sync::lock;
use http::HeaderValue;
use volo_http::response::Response;

/// The header that names it.
const HEADER: &str = "x-request-limit";

/// A limit that is named in answers, and when requests came.
#[derive(Debug, Default)]
pub struct Limit {
    named: Mutex<Option<String>>,
    times: Mutex<Vec<Instant>>,
}

impl Limit {
    /// Names a limit from now on, or none.
    pub fn set(&self, limit: Option<&str>) {
        *lock(&self.named) = limit.map(str::to_string);
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
