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
use cowsliproad_net::timer::sleep;
use cowsliproad_routing::cooldown::Cooldown;
use http::{
    HeaderMap, HeaderName, HeaderValue, StatusCode, header::RETRY_AFTER,
};
use slog::{Logger, info, warn};
use tokio::sync::{Notify, futures::Notified};

/// The response header with the target's limit in requests per second, a
/// decimal number. The limit holds for as long as answers carry the header.
const LIMIT_HEADER: HeaderName = HeaderName::from_static("x-request-limit");

/// Enforces the rate limit and the cooldown of one target.
#[derive(Debug)]
pub struct RequestPacer {
    state: Mutex<PacerState>,
    /// Wakes the tasks that wait for a permit when the limit or the cooldown
    /// changes.
    limits_changed: Notify,
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
        RequestPacer {
            state: Mutex::default(),
            limits_changed: Notify::new(),
            log,
        }
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
        let mut state = self.lock_state();
        let bytes = limit_header.map(HeaderValue::as_bytes);
        let observation = state.current_limit.observe_limit_header(
            bytes,
            sent_at,
            Millis::now(),
        );
        let (change, rate) = (observation.change, state.current_limit.rate());
        state.has_tightened |= change == LimitChange::Tightened;
        drop(state);
        if observation.limit_became_invalid {
            warn!(self.log, "limit_refused"; "limit" => ?limit_header);
        }
        if change != LimitChange::None {
            info!(self.log, "limit";
                "a_second" => rate.map(RequestRate::requests_per_second),
                "change" => ?change);
            self.limits_changed.notify_waiters();
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
                    &mut self.lock_state().retry_after_invalid,
                    true,
                ) {
                    warn!(self.log, "retry_after_refused";
                        "stated" => ?headers.get(RETRY_AFTER));
                }
                return;
            }
            RetryAfter::Wait(wait) => wait,
        };
        let mut state = self.lock_state();
        state.retry_after_invalid = false;
        let extends = state.cooldown.apply_retry_after(wait, Millis::now());
        state.has_tightened |= extends;
        state.has_unsent_cooldown |= extends;
        drop(state);
        if extends {
            info!(self.log, "cooldown"; "status" => status.as_u16(),
                "stated" => ?headers.get(RETRY_AFTER), "wait" => wait.0);
            self.limits_changed.notify_waiters();
        }
    }

    /// The time left of the target's cooldown.
    pub fn remaining_cooldown(&self, now: Millis) -> Millis {
        self.lock_state().cooldown.remaining_cooldown_time(now)
    }

    /// Whether a change of the cooldown must still be sent to entry processes.
    pub fn has_unsent_cooldown(&self) -> bool {
        self.lock_state().has_unsent_cooldown
    }

    /// Records that the cooldown was sent to entry processes.
    pub fn mark_cooldown_sent(&self) {
        self.lock_state().has_unsent_cooldown = false;
    }

    /// Drops the limit and the cooldown of a target process that is gone.
    pub fn clear_limits(&self) {
        let mut state = self.lock_state();
        let asked = state.cooldown != Cooldown::default()
            || state.current_limit.rate().is_some();
        *state =
            PacerState { has_unsent_cooldown: asked, ..PacerState::default() };
        drop(state);
        if asked {
            info!(self.log, "pace_forgotten");
            self.limits_changed.notify_waiters();
        }
    }

    /// Returns whether the limit or the cooldown became stricter since the
    /// last call.
    pub fn take_tightened_flag(&self) -> bool {
        std::mem::take(&mut self.lock_state().has_tightened)
    }

    /// The rate limit in force, and the wait until the next request may start.
    pub fn rate_limit_and_wait(
        &self,
        now: Millis,
    ) -> (Option<RequestRate>, Millis) {
        let mut state = self.lock_state();
        let wait = state.cooldown.remaining_cooldown_time(now);
        let Some(rate) = state.current_limit.rate() else {
            return (None, wait);
        };
        let permit_wait =
            state.limiter_for_rate(rate, now).time_to_next_permit(now);
        (Some(rate), wait.max(permit_wait))
    }

    /// Acquires a permit to send a request now. The error is the wait until
    /// the next permit.
    pub fn try_acquire_permit(&self, now: Millis) -> Result<(), Millis> {
        let mut state = self.lock_state();
        let left = state.cooldown.remaining_cooldown_time(now);
        if left > Millis(0) {
            return Err(left);
        }
        let Some(rate) = state.current_limit.rate() else {
            state.limiter = None;
            return Ok(());
        };
        match state.limiter_for_rate(rate, now).grant_permit(
            rate,
            1.0,
            Millis(0),
            now,
        ) {
            PermitDecision::Permit(_) => Ok(()),
            PermitDecision::Later(after) => Err(after),
        }
    }

    /// Waits for a permit to send a request to the target and acquires it.
    pub async fn acquire_permit(&self) {
        loop {
            let changed = self.wait_for_limit_change();
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
    pub fn wait_for_limit_change(&self) -> Notified<'_> {
        self.limits_changed.notified()
    }

    fn lock_state(&self) -> MutexGuard<'_, PacerState> {
        lock(&self.state)
    }
}
