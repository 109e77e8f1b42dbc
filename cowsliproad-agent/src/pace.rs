//! When the target takes requests, and how many a second.
//!
//! All work for a target passes through its agent, so the agent keeps the
//! limit alone. What holds and who may go next is decided in
//! [`cowsliproad_admission::limit`]. A target that turns a request away may
//! also ask to be left alone; see [`cowsliproad_routing::cooldown`].

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

/// Names the requests a second that a target takes, a decimal number, for as
/// long as its answers carry it.
const HEADER: HeaderName = HeaderName::from_static("x-request-limit");

/// The pace of requests to the target.
#[derive(Debug)]
pub struct Pace {
    inner: Mutex<Inner>,
    /// Wakes what waits for its turn under a limit that has changed.
    changed: Notify,
    log: Logger,
}

#[derive(Debug, Default)]
struct Inner {
    known: CurrentLimit,
    cooldown: Cooldown,
    /// Whether entries are to be told of that.
    has_news: bool,
    /// Whether its last refusal stated a time that is none.
    unreadable: bool,
    /// Whether less is taken than when the waiting work came in.
    tightened: bool,
    limiter: Option<Limiter>,
}

impl Inner {
    fn limiter(&mut self, rate: RequestRate, now: Millis) -> &mut Limiter {
        self.limiter.get_or_insert(Limiter::new(rate, Millis(0), now))
    }
}

impl Pace {
    /// No limit.
    pub fn new(log: Logger) -> Pace {
        Pace { inner: Mutex::default(), changed: Notify::new(), log }
    }

    /// Takes in an answer to a request that was sent at `sent`.
    pub fn answered(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        sent: Millis,
    ) {
        self.note_retry_after(status, headers);
        let named = headers.get(&HEADER);
        let mut inner = self.lock();
        let bytes = named.map(HeaderValue::as_bytes);
        let news =
            inner.known.observe_limit_header(bytes, sent, Millis::now());
        let (change, rate) = (news.change, inner.known.rate());
        inner.tightened |= change == LimitChange::Tightened;
        drop(inner);
        if news.limit_became_invalid {
            warn!(self.log, "limit_refused"; "limit" => ?named);
        }
        if change != LimitChange::None {
            info!(self.log, "limit";
                "a_second" => rate.map(RequestRate::requests_per_second),
                "change" => ?change);
            self.changed.notify_waiters();
        }
    }

    fn note_retry_after(&self, status: StatusCode, headers: &HeaderMap) {
        let wait = match retry_after::parse_header(
            status,
            headers,
            SystemTime::now,
        ) {
            RetryAfter::None => return,
            RetryAfter::Unreadable => {
                if !std::mem::replace(&mut self.lock().unreadable, true) {
                    warn!(self.log, "retry_after_refused";
                        "stated" => ?headers.get(RETRY_AFTER));
                }
                return;
            }
            RetryAfter::Wait(wait) => wait,
        };
        let mut inner = self.lock();
        inner.unreadable = false;
        let extends = inner.cooldown.apply_retry_after(wait, Millis::now());
        inner.tightened |= extends;
        inner.has_news |= extends;
        drop(inner);
        if extends {
            info!(self.log, "cooldown"; "status" => status.as_u16(),
                "stated" => ?headers.get(RETRY_AFTER), "wait" => wait.0);
            self.changed.notify_waiters();
        }
    }

    /// How long the target is left alone.
    pub fn cooldown(&self, now: Millis) -> Millis {
        self.lock().cooldown.remaining_cooldown_time(now)
    }

    /// Whether entries haven't been told yet of a change of that.
    pub fn has_news(&self) -> bool {
        self.lock().has_news
    }

    /// Notes that entries are told.
    pub fn take_news(&self) {
        self.lock().has_news = false;
    }

    /// Forgets what a process asked for that is gone.
    pub fn forget(&self) {
        let mut inner = self.lock();
        let asked = inner.cooldown != Cooldown::default()
            || inner.known.rate().is_some();
        *inner = Inner { has_news: asked, ..Inner::default() };
        drop(inner);
        if asked {
            info!(self.log, "pace_forgotten");
            self.changed.notify_waiters();
        }
    }

    /// Whether less is taken than when this was last asked.
    pub fn take_tightened(&self) -> bool {
        std::mem::take(&mut self.lock().tightened)
    }

    /// The limit in force, and how long no request may go.
    pub fn limit(&self, now: Millis) -> (Option<RequestRate>, Millis) {
        let mut inner = self.lock();
        let wait = inner.cooldown.remaining_cooldown_time(now);
        let Some(rate) = inner.known.rate() else { return (None, wait) };
        let full_for = inner.limiter(rate, now).time_to_next_permit(now);
        (Some(rate), wait.max(full_for))
    }

    /// Takes a permit for a request that goes now. Otherwise says how long
    /// none is free.
    pub fn take(&self, now: Millis) -> Result<(), Millis> {
        let mut inner = self.lock();
        let left = inner.cooldown.remaining_cooldown_time(now);
        if left > Millis(0) {
            return Err(left);
        }
        let Some(rate) = inner.known.rate() else {
            inner.limiter = None;
            return Ok(());
        };
        match inner.limiter(rate, now).grant_permit(rate, 1.0, Millis(0), now)
        {
            PermitDecision::Permit(_) => Ok(()),
            PermitDecision::Later(after) => Err(after),
        }
    }

    /// Waits for a permit.
    pub async fn turn(&self) {
        loop {
            let changed = self.changes();
            let Err(after) = self.take(Millis::now()) else { return };
            tokio::select! {
                () = changed => {}
                () = sleep(after.duration()) => {}
            }
        }
    }

    /// Waits for the next change of the limit from now on.
    pub fn changes(&self) -> Notified<'_> {
        self.changed.notified()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}
