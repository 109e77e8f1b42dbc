//! The target's rate limit and cooldown.
//!
//! All requests for a target pass through its agent, so the agent alone
//! enforces the rate limit. [`cowsliproad_admission::limit`] decides which
//! limit is in force and when the next permit is free. A target that rejects
//! a request may also ask for a cooldown with `Retry-After`; see
//! [`cowsliproad_routing::cooldown`].

use std::{
    sync::{Mutex, MutexGuard},
    time::SystemTime,
};

use cowsliproad_admission::limit::{
    CurrentLimit, LimitChange, Limiter, PermitDecision, RequestRate,
};
use cowsliproad_kernel::{clock::Millis, sync::lock};
use cowsliproad_net::retry_after::{self, RetryAfter};
use cowsliproad_routing::cooldown::Cooldown;
use http::{
    HeaderMap, HeaderName, HeaderValue, StatusCode, header::RETRY_AFTER,
};
use slog::{Logger, info, warn};
use tokio::{
    sync::{Notify, futures::Notified},
    time::sleep,
};

/// The response header with the target's limit in requests per second, a
/// decimal number. The limit holds for as long as answers carry the header.
const LIMIT_HEADER: HeaderName = HeaderName::from_static("x-request-limit");

/// Enforces the rate limit and the cooldown of one target.
#[derive(Debug)]
pub struct RequestPacer {
    inner: Mutex<PacerState>,
    /// Wakes the tasks that wait for a permit when the limit or the cooldown
    /// changes.
    changed: Notify,
    log: Logger,
}

#[derive(Debug, Default)]
struct PacerState {
    current_limit: CurrentLimit,
    cooldown: Cooldown,
    /// Whether a change of the cooldown must still be sent to entry processes.
    has_unsent_cooldown: bool,
    /// Whether the last `Retry-After` header was invalid.
    retry_after_invalid: bool,
    /// Whether the limit or the cooldown became stricter since the queue was
    /// last checked against deadlines.
    has_tightened: bool,
    limiter: Option<Limiter>,
}

impl PacerState {
    fn limiter_for_rate(
        &mut self,
        rate: RequestRate,
        now: Millis,
    ) -> &mut Limiter {
        self.limiter.get_or_insert(Limiter::new(rate, Millis(0), now))
    }
}

impl RequestPacer {
    /// Creates a pacer without a limit or a cooldown.
    pub fn new(log: Logger) -> RequestPacer {
        RequestPacer { inner: Mutex::default(), changed: Notify::new(), log }
    }

    /// Reads the limit and the cooldown from an answer to a request that was
    /// sent at `sent_at`.
    pub fn observe_answer(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        sent_at: Millis,
    ) {
        self.apply_retry_after_header(status, headers);
        let limit_header = headers.get(&LIMIT_HEADER);
        let mut inner = self.lock();
        let bytes = limit_header.map(HeaderValue::as_bytes);
        let observation = inner.current_limit.observe_limit_header(
            bytes,
            sent_at,
            Millis::now(),
        );
        let (change, rate) = (observation.change, inner.current_limit.rate());
        inner.has_tightened |= change == LimitChange::Tightened;
        drop(inner);
        if observation.limit_became_invalid {
            warn!(self.log, "limit_refused"; "limit" => ?limit_header);
        }
        if change != LimitChange::None {
            info!(self.log, "limit";
                "a_second" => rate.map(RequestRate::requests_per_second),
                "change" => ?change);
            self.changed.notify_waiters();
        }
    }

    fn apply_retry_after_header(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
    ) {
        let wait = match retry_after::parse_header(
            status,
            headers,
            SystemTime::now,
        ) {
            RetryAfter::None => return,
            RetryAfter::Unreadable => {
                if !std::mem::replace(
                    &mut self.lock().retry_after_invalid,
                    true,
                ) {
                    warn!(self.log, "retry_after_refused";
                        "stated" => ?headers.get(RETRY_AFTER));
                }
                return;
            }
            RetryAfter::Wait(wait) => wait,
        };
        let mut inner = self.lock();
        inner.retry_after_invalid = false;
        let extends = inner.cooldown.apply_retry_after(wait, Millis::now());
        inner.has_tightened |= extends;
        inner.has_unsent_cooldown |= extends;
        drop(inner);
        if extends {
            info!(self.log, "cooldown"; "status" => status.as_u16(),
                "stated" => ?headers.get(RETRY_AFTER), "wait" => wait.0);
            self.changed.notify_waiters();
        }
    }

    /// The time left of the target's cooldown.
    pub fn remaining_cooldown(&self, now: Millis) -> Millis {
        self.lock().cooldown.remaining_cooldown_time(now)
    }

    /// Whether a change of the cooldown must still be sent to entry processes.
    pub fn has_unsent_cooldown(&self) -> bool {
        self.lock().has_unsent_cooldown
    }

    /// Records that the cooldown was sent to entry processes.
    pub fn mark_cooldown_sent(&self) {
        self.lock().has_unsent_cooldown = false;
    }

    /// Drops the limit and the cooldown of a target process that is gone.
    pub fn reset(&self) {
        let mut inner = self.lock();
        let asked = inner.cooldown != Cooldown::default()
            || inner.current_limit.rate().is_some();
        *inner =
            PacerState { has_unsent_cooldown: asked, ..PacerState::default() };
        drop(inner);
        if asked {
            info!(self.log, "pace_forgotten");
            self.changed.notify_waiters();
        }
    }

    /// Whether the limit or the cooldown became stricter since the last call.
    pub fn take_tightened(&self) -> bool {
        std::mem::take(&mut self.lock().has_tightened)
    }

    /// The rate limit in force, and the wait until the next request may start.
    pub fn limit_and_wait(
        &self,
        now: Millis,
    ) -> (Option<RequestRate>, Millis) {
        let mut inner = self.lock();
        let wait = inner.cooldown.remaining_cooldown_time(now);
        let Some(rate) = inner.current_limit.rate() else {
            return (None, wait);
        };
        let permit_wait =
            inner.limiter_for_rate(rate, now).time_to_next_permit(now);
        (Some(rate), wait.max(permit_wait))
    }

    /// Acquires a permit to send a request now. The error is the wait until
    /// the next permit.
    pub fn try_acquire_permit(&self, now: Millis) -> Result<(), Millis> {
        let mut inner = self.lock();
        let left = inner.cooldown.remaining_cooldown_time(now);
        if left > Millis(0) {
            return Err(left);
        }
        let Some(rate) = inner.current_limit.rate() else {
            inner.limiter = None;
            return Ok(());
        };
        match inner.limiter_for_rate(rate, now).grant_permit(
            rate,
            1.0,
            Millis(0),
            now,
        ) {
            PermitDecision::Permit(_) => Ok(()),
            PermitDecision::Later(after) => Err(after),
        }
    }

    /// Waits for a permit and acquires it.
    pub async fn acquire_permit(&self) {
        loop {
            let changed = self.next_change();
            let Err(after) = self.try_acquire_permit(Millis::now()) else {
                return;
            };
            tokio::select! {
                () = changed => {}
                () = sleep(after.duration()) => {}
            }
        }
    }

    /// Waits for the next change of the limit or the cooldown after this call.
    pub fn next_change(&self) -> Notified<'_> {
        self.changed.notified()
    }

    fn lock(&self) -> MutexGuard<'_, PacerState> {
        lock(&self.inner)
    }
}
