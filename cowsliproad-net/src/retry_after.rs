//! The `Retry-After` of an answer that turns a request away.
//!
//! It is a number of seconds or a date. Fractions and exponents are read too,
//! as some servers print their numbers so. A date counts from the answer's own
//! `Date`, since the clocks of two VMs may differ.

use std::time::SystemTime;

use cowsliproad_kernel::clock::Millis;
use http::{
    HeaderMap, HeaderValue, StatusCode,
    header::{DATE, RETRY_AFTER},
};

/// Longer than any process lives, and far from overflow.
const MAX_WAIT: Millis = Millis(100 * 365 * 24 * 3_600 * 1_000);

/// Our clock counts whole milliseconds: a wait from now begins within one.
const TICK: Millis = Millis(1);

/// What an answer states.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryAfter {
    /// Nothing.
    None,
    /// A time that is no time.
    Unreadable,
    /// A time from now, zero for none.
    Wait(Millis),
}

/// Reads what an answer states. With several values the longest counts. The
/// time of day is asked for only where a date needs it.
pub fn read(
    status: StatusCode,
    headers: &HeaderMap,
    now: impl FnOnce() -> SystemTime,
) -> RetryAfter {
    let turned_away =
        [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS];
    if !turned_away.contains(&status) || !headers.contains_key(RETRY_AFTER) {
        return RetryAfter::None;
    }
    let date = headers.get(DATE).and_then(date).unwrap_or_else(now);
    let values = headers.get_all(RETRY_AFTER).iter();
    let waits =
        values.filter_map(|it| seconds(it).or_else(|| until(it, date)));
    match waits.max() {
        None => RetryAfter::Unreadable,
        Some(Millis(0)) => RetryAfter::Wait(Millis(0)),
        Some(wait) => RetryAfter::Wait(wait + TICK),
    }
}

fn seconds(value: &HeaderValue) -> Option<Millis> {
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

fn until(value: &HeaderValue, from: SystemTime) -> Option<Millis> {
    // A date that has passed states no wait.
    let wait = date(value)?.duration_since(from).unwrap_or_default();
    let wait = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    Some(Millis(wait).min(MAX_WAIT))
}

fn date(value: &HeaderValue) -> Option<SystemTime> {
    httpdate::parse_http_date(value.to_str().ok()?.trim()).ok()
}
