//! The rate limit of a target: how many requests per second it accepts from
//! all VMs together.
//!
//! A target names its limit in its responses for as long as the limit applies.
//! This module decides two things:
//!
//! * *Which limit is in force* ([`CurrentLimit`]). Responses overtake one
//!   another, are delayed in stalled VMs, and are forwarded by other entry
//!   processes. A lower limit counts from the time its response was read. A
//!   higher limit, or the end of a limit, counts only from the time its
//!   request was sent: a response that was in transit when the target began to
//!   name a limit doesn't contradict that limit.
//! * *Who may send* ([`Limiter`]). Static shares of a limit don't work: with
//!   one request per second, each of a hundred entry processes would get one
//!   request in a hundred seconds, and the target would be idle while the one
//!   entry process that has callers waits. So for each target one entry
//!   process runs the limiter, and the other entry processes request a permit
//!   from it for each request. A new limiter starts as if a permit had just
//!   been granted. It grants at most the fraction of the limit that equals the
//!   fraction of all entry processes it reaches, so after a network partition
//!   the parts together grant one limit.

use cowsliproad_kernel::clock::Millis;

/// Lower bound for the rate of permits: a target with a lower limit still gets
/// one request in ten seconds from all entry processes together, because only
/// the target's response shows that the limit has ended.
const MIN_REQUESTS_PER_SECOND: f64 = 0.1;

/// How late a permit may be granted and still count from the time at which the
/// permit became free. A permit is requested only when a request arrives, some
/// time after the permit became free.
const MAX_PERMIT_LATENESS_MS: f64 = 250.0;

/// A limiter is stale after this time plus
/// [`LIMITER_IDLE_TIMEOUT_PERMIT_INTERVALS`] permit intervals in which no
/// permit was requested: another entry process may have run a limiter for the
/// target meanwhile.
const LIMITER_IDLE_TIMEOUT: Millis = Millis(1_000);
const LIMITER_IDLE_TIMEOUT_PERMIT_INTERVALS: f64 = 2.0;

/// The longest time that gossip about a target's last response takes between
/// entry processes that reach one another.
const MAX_GOSSIP_DELAY_MS: f64 = 4_000.0;

/// The longest value of a limit header that is parsed as a number, in bytes.
const MAX_LIMIT_HEADER_BYTES: usize = 24;

/// A rate limit in requests per second; finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Creates a rate, or returns `None` if the value is negative or not
    /// finite.
    pub fn new(requests_per_second: f64) -> Option<RequestRate> {
        let is_valid =
            requests_per_second.is_finite() && requests_per_second >= 0.0;
        is_valid.then_some(RequestRate(requests_per_second))
    }

    /// Parses a decimal number: digits, optionally followed by a point and
    /// more digits.
    pub fn parse(text: &[u8]) -> Option<RequestRate> {
        let text = std::str::from_utf8(text).ok()?.trim();
        let (integer, fraction) = text.split_once('.').unwrap_or((text, "0"));
        let is_digits = |it: &str| {
            !it.is_empty() && it.bytes().all(|it| it.is_ascii_digit())
        };
        if text.len() > MAX_LIMIT_HEADER_BYTES
            || !is_digits(integer)
            || !is_digits(fraction)
        {
            return None;
        }
        RequestRate::new(text.parse().ok()?)
    }

    /// Returns the rate in requests per second.
    pub fn requests_per_second(self) -> f64 {
        self.0
    }

    /// Returns the interval between two requests at this rate, in
    /// microseconds.
    pub fn request_interval_us(self) -> u32 {
        (self.permit_interval_ms(1.0) * 1_000.0) as u32
    }

    /// Returns the interval between two permits of a limiter that grants a
    /// fraction `limit_share` of the rate, in milliseconds.
    fn permit_interval_ms(self, limit_share: f64) -> f64 {
        1_000.0 / (self.0.max(MIN_REQUESTS_PER_SECOND) * limit_share)
    }
}

/// The last known limit of a target, as entry processes exchange it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// The target's limit; `None` once the target no longer names a limit.
    pub rate: Option<RequestRate>,
    /// How long the reported limit, or the absence of a limit, has been in
    /// force.
    pub rate_limit_age: Millis,
}

/// The limit of one target, merged from the target's responses and from the
/// reports of other entry processes.
#[derive(Clone, Copy, Debug, Default)]
pub struct CurrentLimit {
    /// The latest limit; `None` if the target never named a limit.
    latest: Option<TimedLimit>,
    /// When the target's limit last changed to another value.
    limit_changed_at: Millis,
    /// Whether the last response named a limit that is not a number.
    is_limit_invalid: bool,
}

/// A target's limit and the time from which the limit applies.
#[derive(Clone, Copy, Debug)]
struct TimedLimit {
    rate: Option<RequestRate>,
    /// When the limit began to apply, in milliseconds; negative if another
    /// entry process observed the limit before this process started.
    in_force_since_ms: i64,
}

/// The effect of a response or a report on the limit in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitChange {
    /// The limit in force is unchanged.
    None,
    /// The limit in force is new or lower.
    Tightened,
    /// The limit in force is higher or has ended.
    Loosened,
}

/// The effect of a target's response on the target's limit in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitUpdate {
    /// How the limit in force changed.
    pub change: LimitChange,
    /// Whether the target's response named a limit that is not a number, and
    /// the target's previous response did not.
    pub limit_became_invalid: bool,
}

impl CurrentLimit {
    /// Returns the target's limit in force.
    pub fn rate(&self) -> Option<RequestRate> {
        self.latest?.rate
    }

    /// Returns the latest limit as a report to other entry processes, or
    /// `None` if the target never named a limit.
    pub fn limit_report(&self, now: Millis) -> Option<LimitReport> {
        let TimedLimit { rate, in_force_since_ms } = self.latest?;
        let rate_limit_age =
            Millis((now.0 as i64 - in_force_since_ms).max(0) as u64);
        Some(LimitReport { rate, rate_limit_age })
    }

    /// Returns when the limit last changed to another value.
    pub fn limit_changed_at(&self) -> Millis {
        self.limit_changed_at
    }

    /// Merges the limit header of a response whose request was sent at
    /// `sent_at`. A header that is not a number counts as no limit.
    pub fn observe_limit_header(
        &mut self,
        header: Option<&[u8]>,
        sent_at: Millis,
        now: Millis,
    ) -> LimitUpdate {
        let rate = header.and_then(RequestRate::parse);
        let is_limit_invalid = header.is_some() && rate.is_none();
        let was_limit_invalid =
            std::mem::replace(&mut self.is_limit_invalid, is_limit_invalid);
        let change = self.observe_response_limit(rate, sent_at, now);
        LimitUpdate {
            change,
            limit_became_invalid: is_limit_invalid && !was_limit_invalid,
        }
    }

    /// Merges the limit that a response named; the request of the response was
    /// sent at `sent_at`.
    pub fn observe_response_limit(
        &mut self,
        rate: Option<RequestRate>,
        sent_at: Millis,
        now: Millis,
    ) -> LimitChange {
        let is_limit_loosened = is_limit_loosened(self.rate(), rate);
        let rate_limit_age =
            if is_limit_loosened { now.since(sent_at) } else { Millis(0) };
        self.merge_limit_report(LimitReport { rate, rate_limit_age }, now)
    }

    /// Merges the limit that another entry process reports; a report that is
    /// older than the latest limit is ignored.
    pub fn merge_limit_report(
        &mut self,
        report: LimitReport,
        now: Millis,
    ) -> LimitChange {
        let LimitReport { rate, rate_limit_age } = report;
        let in_force_since_ms =
            now.0 as i64 - rate_limit_age.0.min(i64::MAX as u64 / 2) as i64;
        let Some(latest) = self.latest else {
            if rate.is_none() {
                return LimitChange::None;
            }
            self.latest = Some(TimedLimit { rate, in_force_since_ms });
            self.limit_changed_at = now;
            return LimitChange::Tightened;
        };
        if in_force_since_ms <= latest.in_force_since_ms {
            return LimitChange::None;
        }
        self.latest = Some(TimedLimit { rate, in_force_since_ms });
        if latest.rate == rate {
            return LimitChange::None;
        }
        self.limit_changed_at = now;
        match is_limit_loosened(latest.rate, rate) {
            true => LimitChange::Loosened,
            false => LimitChange::Tightened,
        }
    }
}

/// Returns whether the limit `after` allows more requests than `before`.
fn is_limit_loosened(
    before: Option<RequestRate>,
    after: Option<RequestRate>,
) -> bool {
    match (before, after) {
        (None, _) => false,
        (Some(_), None) => true,
        (Some(before), Some(after)) => after > before,
    }
}

/// A limiter's answer to a request for a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PermitDecision {
    /// The permit is granted; the request may be sent after this delay.
    Permit(Millis),
    /// No permit is granted now; the next permit is free after this time.
    Later(Millis),
}

/// Spaces out the requests that all entry processes together send to one
/// target, by the limit that the target names.
#[derive(Clone, Copy, Debug)]
pub struct Limiter {
    rate: RequestRate,
    /// The interval between two permits at the latest request for one.
    permit_interval_ms: f64,
    /// When the limiter's next permit is free, in milliseconds.
    next_permit_ms: f64,
    /// When a permit was last requested from the limiter.
    last_permit_request: Millis,
}

impl Limiter {
    /// Creates a limiter whose predecessor at another entry process may have
    /// granted a permit just now. `since_last_response` is the age of the
    /// target's last known response and shortens the first wait: at a low
    /// rate, a limiter that always waited for a whole interval would never
    /// grant a permit where limiters are replaced often.
    pub fn new(
        rate: RequestRate,
        since_last_response: Millis,
        now: Millis,
    ) -> Limiter {
        let permit_interval_ms = rate.permit_interval_ms(1.0);
        let min_wait_ms = permit_interval_ms.min(MAX_GOSSIP_DELAY_MS);
        let wait_ms = (permit_interval_ms - since_last_response.0 as f64)
            .clamp(min_wait_ms, permit_interval_ms);
        let next_permit_ms = now.0 as f64 + wait_ms;
        Limiter {
            rate,
            permit_interval_ms,
            next_permit_ms,
            last_permit_request: now,
        }
    }

    /// Returns whether no permit was requested from this limiter for so long
    /// that another entry process may have run a limiter meanwhile. That time
    /// grows with the permit interval, because at a low rate permits are
    /// requested rarely.
    pub fn is_stale(&self, limit_share: f64, now: Millis) -> bool {
        let intervals_ms = LIMITER_IDLE_TIMEOUT_PERMIT_INTERVALS
            * self.rate.permit_interval_ms(limit_share);
        now.since(self.last_permit_request)
            > LIMITER_IDLE_TIMEOUT + Millis(intervals_ms as u64)
    }

    /// Returns the time until the next permit is free.
    pub fn time_to_next_permit(&self, now: Millis) -> Millis {
        Millis((self.next_permit_ms - now.0 as f64).max(0.0).ceil() as u64)
    }

    /// Grants a permit if one becomes free within `max_wait`. `limit_share` is
    /// the fraction of the limit that this limiter may grant, above 0 and up
    /// to 1.
    pub fn grant_permit(
        &mut self,
        rate: RequestRate,
        limit_share: f64,
        max_wait: Millis,
        now: Millis,
    ) -> PermitDecision {
        let permit_interval_ms = rate.permit_interval_ms(limit_share);
        let now_ms = now.0 as f64;
        // Permits scheduled under an earlier limit don't delay or speed up
        // permits under the new limit. Nor do permits delay others that were
        // scheduled while fewer entry processes could be reached.
        if rate < self.rate {
            self.next_permit_ms =
                self.next_permit_ms.max(now_ms + permit_interval_ms);
        } else if permit_interval_ms < self.permit_interval_ms {
            self.next_permit_ms =
                self.next_permit_ms.min(now_ms + permit_interval_ms);
        }
        self.rate = rate;
        self.permit_interval_ms = permit_interval_ms;
        self.last_permit_request = now;
        let wait = self.time_to_next_permit(now);
        if wait > max_wait {
            return PermitDecision::Later(wait);
        }
        self.next_permit_ms =
            self.next_permit_ms.max(now_ms - MAX_PERMIT_LATENESS_MS)
                + permit_interval_ms;
        PermitDecision::Permit(wait)
    }
}

/// A permit to send one request to a target, as the entry process that
/// requested the permit holds it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Permit {
    /// The target's limit when the permit was granted.
    pub rate: RequestRate,
    /// The time from which the permit may be used.
    pub valid_from: Millis,
    /// The time at which the permit expires.
    pub valid_until: Millis,
}

impl Permit {
    /// Returns whether a request may be sent with this permit now. A permit
    /// that was granted under a higher limit than `current_rate_limit` is not
    /// valid.
    pub fn is_valid(
        &self,
        current_rate_limit: RequestRate,
        now: Millis,
    ) -> bool {
        self.valid_from <= now
            && now <= self.valid_until
            && self.rate <= current_rate_limit
    }
}
