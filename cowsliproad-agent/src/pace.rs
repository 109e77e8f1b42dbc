//! How many requests a second the target takes.
//!
//! All work for a target passes through its agent, so the agent keeps the
//! limit alone. What holds and who may go next is decided in
//! [`cowsliproad_admission::limit`].

use std::sync::{Mutex, MutexGuard};

use cowsliproad_admission::limit::{Change, Keeper, Known, Rate, Verdict};
use cowsliproad_kernel::{clock::Millis, sync::lock};
use http::{HeaderMap, HeaderName, HeaderValue};
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
    known: Known,
    /// Whether less is taken than when the waiting work came in.
    tightened: bool,
    keeper: Option<Keeper>,
}

impl Inner {
    fn keeper(&mut self, rate: Rate, now: Millis) -> &mut Keeper {
        self.keeper.get_or_insert(Keeper::new(rate, Millis(0), now))
    }
}

impl Pace {
    /// No limit.
    pub fn new(log: Logger) -> Pace {
        Pace { inner: Mutex::default(), changed: Notify::new(), log }
    }

    /// Takes in an answer to a request that was sent at `sent`.
    pub fn answered(&self, headers: &HeaderMap, sent: Millis) {
        let named = headers.get(&HEADER);
        let mut inner = self.lock();
        let bytes = named.map(HeaderValue::as_bytes);
        let news = inner.known.read(bytes, sent, Millis::now());
        let (change, rate) = (news.change, inner.known.rate());
        inner.tightened |= change == Change::Tightened;
        drop(inner);
        if news.unreadable {
            warn!(self.log, "limit_refused"; "limit" => ?named);
        }
        if change != Change::None {
            info!(self.log, "limit"; "a_second" => rate.map(Rate::a_second),
                "change" => ?change);
            self.changed.notify_waiters();
        }
    }

    /// Whether less is taken than when this was last asked.
    pub fn take_tightened(&self) -> bool {
        std::mem::take(&mut self.lock().tightened)
    }

    /// The limit in force, and how long no request may go.
    pub fn limit(&self, now: Millis) -> Option<(Rate, Millis)> {
        let mut inner = self.lock();
        let rate = inner.known.rate()?;
        let keeper = inner.keeper(rate, now);
        Some((rate, keeper.full_for(now)))
    }

    /// Takes a place for a request that goes now. Otherwise says how long
    /// none is free.
    pub fn take(&self, now: Millis) -> Result<(), Millis> {
        let mut inner = self.lock();
        let Some(rate) = inner.known.rate() else {
            inner.keeper = None;
            return Ok(());
        };
        match inner.keeper(rate, now).ask(rate, 1.0, Millis(0), now) {
            Verdict::Place(_) => Ok(()),
            Verdict::Later(after) => Err(after),
        }
    }

    /// Waits for a place.
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
