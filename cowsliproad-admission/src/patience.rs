//! Whether a stream whose request had to wait should still be started.
//!
//! A caller disconnects from a stream that sends no event for the silence
//! timeout. After waiting for a closed group of ranks, a caller may have so
//! little of that timeout left when the group opens that no first event can
//! arrive in time. The caller then disconnects, its stream is generated for
//! nobody, and the engine is kept from the other requests that start at the
//! same moment. Asked to retry instead, the caller waits for a full silence
//! timeout again. Many callers are asked to retry at one moment, so the
//! backoff is spread. Few callers retry twice, so the stream of a retry starts
//! whatever time is left.

use cowsliproad_kernel::clock::Millis;

/// Whether a request is its caller's first attempt or a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerAttempt {
    /// The caller's first attempt.
    First,
    /// A retry by the caller.
    Return,
}

impl CallerAttempt {
    /// Classifies a caller's attempt by the time left until the caller's
    /// deadline. A caller with much less time left than the maximum has
    /// already made an attempt, possibly at another entry process.
    pub fn classify_by_time_to_deadline(
        time_to_deadline: Millis,
        max_time_to_deadline: Millis,
    ) -> CallerAttempt {
        if max_time_to_deadline.since(time_to_deadline)
            > MAX_FIRST_ATTEMPT_TRANSIT_TIME
        {
            CallerAttempt::Return
        } else {
            CallerAttempt::First
        }
    }
}

/// The longest time for which the first attempt of a caller may be in transit
/// to an entry process when packets are retransmitted.
const MAX_FIRST_ATTEMPT_TRANSIT_TIME: Millis = Millis(300);

/// A queued stream request that could be started now.
#[derive(Clone, Copy, Debug)]
pub struct PendingStream {
    /// When the stream request arrived.
    pub arrived_at: Millis,
    /// How long the caller waits for an event of the stream before
    /// disconnecting.
    pub silence_timeout: Millis,
    /// The intended time to the first event of the stream, usually met even
    /// while a backlog of streams is started.
    pub expected_first_event_delay: Millis,
    /// The time left until the deadline of the stream's caller.
    pub time_to_deadline: Millis,
    /// Whether the stream request is a first attempt or a retry.
    pub caller_try: CallerAttempt,
}

/// Whether a stream is started or its caller is asked to retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamAdmission {
    /// The stream is started now.
    Now,
    /// The caller is asked to retry after this time.
    RetryAfter(Millis),
}

impl PendingStream {
    /// Decides whether the stream is started now. `random` is a random number
    /// from 0 to 1 that spreads the backoff.
    pub fn decide_admission(
        &self,
        now: Millis,
        random: f64,
    ) -> StreamAdmission {
        let silence_left = (self.arrived_at + self.silence_timeout).since(now);
        let third = Millis(self.time_to_deadline.0 / 3);
        let is_too_late = silence_left < self.expected_first_event_delay
            && self.caller_try == CallerAttempt::First;
        if !is_too_late || third < MIN_CALLER_BACKOFF {
            return StreamAdmission::Now;
        }
        let spread = third.min(MAX_CALLER_BACKOFF).since(MIN_CALLER_BACKOFF);
        StreamAdmission::RetryAfter(
            MIN_CALLER_BACKOFF + Millis((spread.0 as f64 * random) as u64),
        )
    }
}

/// Adds random jitter to the time after which callers are asked to retry, so
/// that the retries of many callers don't arrive all at once: up to a quarter
/// of that time, or up to [`MIN_RETRY_JITTER_RANGE`] if that is longer.
/// `random` is a random number from 0 to 1.
pub fn add_retry_jitter(retry_after: Millis, random: f64) -> Millis {
    let max_jitter = Millis(retry_after.0 / RETRY_JITTER_DIVISOR)
        .max(MIN_RETRY_JITTER_RANGE);
    retry_after + Millis((max_jitter.0 as f64 * random) as u64)
}

/// The maximum jitter of a retry time is the retry time divided by this
/// number.
const RETRY_JITTER_DIVISOR: u64 = 4;

/// Lower bound for the maximum retry jitter, so that short retry times are
/// spread too.
const MIN_RETRY_JITTER_RANGE: Millis = Millis(100);

/// The shortest backoff of a caller whose stream is not started: streams that
/// can still start are dispatched first.
const MIN_CALLER_BACKOFF: Millis = Millis(100);

/// The longest backoff of a caller whose stream is not started. The callers of
/// a two-second backlog retry within one second, and each of them can then
/// wait as long as on its first attempt.
const MAX_CALLER_BACKOFF: Millis = Millis(1_100);
