//! Parsing of the `Retry-After` header of responses that reject a request.
//!
//! The value is a number of seconds or a date. Fractions and exponents are
//! accepted as well because some servers format numbers that way. A date is
//! compared with the `Date` header of the same response because the clocks of
//! two VMs may differ.

use std::time::SystemTime;

use cowsliproad_kernel::clock::Millis;
use http::{
    HeaderMap, HeaderValue, StatusCode,
    header::{DATE, RETRY_AFTER},
};

/// The upper bound of a wait, a hundred years. It is longer than any process
/// runs, and adding it to a point in time can't overflow.
const MAX_WAIT: Millis = Millis(100 * 365 * 24 * 3_600 * 1_000);

/// The resolution of the clock, which is added to every wait. The clock truncates
/// the current time to whole milliseconds, so a wait without this addition
/// could end up to one millisecond early.
const CLOCK_RESOLUTION: Millis = Millis(1);

/// The `Retry-After` value of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryAfter {
    /// The response is not a rejection or has no `Retry-After` header.
    None,
    /// The `Retry-After` header is neither a number nor a date.
    Unreadable,
    /// The time to wait from now on, zero for no wait.
    Wait(Millis),
}

/// Parses the `Retry-After` header of a response with status 503 or 429. If
/// there are several values, the longest wait is returned. `now` is called
/// only if a date needs it and the response has no `Date` header.
pub fn parse_header(
    status: StatusCode,
    headers: &HeaderMap,
    now: impl FnOnce() -> SystemTime,
) -> RetryAfter {
    let rejections =
        [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS];
    if !rejections.contains(&status) || !headers.contains_key(RETRY_AFTER) {
        return RetryAfter::None;
    }
    let date = headers.get(DATE).and_then(parse_date).unwrap_or_else(now);
    let values = headers.get_all(RETRY_AFTER).iter();
    let waits = values.filter_map(|it| {
        parse_seconds(it).or_else(|| parse_date_wait(it, date))
    });
    match waits.max() {
        None => RetryAfter::Unreadable,
        Some(Millis(0)) => RetryAfter::Wait(Millis(0)),
        Some(wait) => RetryAfter::Wait(wait + CLOCK_RESOLUTION),
    }
}

fn parse_seconds(value: &HeaderValue) -> Option<Millis> {
    let text = value.to_str().ok()?.trim();
    let is_number = |it: u8| it.is_ascii_digit() || b".eE+-".contains(&it);
    if !text.starts_with(|it: char| it.is_ascii_digit())
        || !text.bytes().all(is_number)
    {
        return None;
    }
    let seconds: f64 = text.parse().ok()?;
    let wait = Millis((seconds * 1_000.0).ceil() as u64);
    Some(wait.min(MAX_WAIT))
}

fn parse_date_wait(value: &HeaderValue, from: SystemTime) -> Option<Millis> {
    // A date in the past means that there is no wait.
    let wait = parse_date(value)?.duration_since(from).unwrap_or_default();
    let wait = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    Some(Millis(wait).min(MAX_WAIT))
}

fn parse_date(value: &HeaderValue) -> Option<SystemTime> {
    httpdate::parse_http_date(value.to_str().ok()?.trim()).ok()
}
