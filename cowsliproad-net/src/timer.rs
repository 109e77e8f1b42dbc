//! Timers that count the time for which the VM is suspended.
//!
//! The runtime's timers count on the monotonic clock, which stands still while
//! a VM is suspended, so a timeout that was pending would be late by that time.
//! The timers here wait on the runtime's, and are checked again against
//! [`Millis::now`] once [`watch_suspensions`] finds that the VM woke.

use std::time::Duration;

use cowsliproad_kernel::clock::{self, Millis};
use tokio::sync::Notify;

/// How often a process checks whether its VM was suspended, which is how late
/// its timers may be after it woke.
const SUSPENSION_CHECK_INTERVAL: Millis = Millis(100);

/// The two clocks may differ by this much without a suspension: each is read
/// in whole milliseconds, and adjusted on its own.
const MIN_SUSPENSION: Millis = Millis(20);

/// Wakes all timers of the process.
static SUSPENSION_ENDED: Notify = Notify::const_new();

/// A timer ended before the future that it limits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Elapsed;

/// Waits for a time span.
pub async fn sleep(time: Duration) {
    sleep_until(Millis::now() + time.into()).await;
}

/// Waits until a point in time.
pub async fn sleep_until(deadline: Millis) {
    loop {
        let woken = SUSPENSION_ENDED.notified();
        let left = deadline.since(Millis::now());
        if left == Millis(0) {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(left.duration()) => {}
            () = woken => {}
        }
    }
}

/// Waits for a future for a time span at most.
pub async fn timeout<F: Future>(
    time: Duration,
    future: F,
) -> Result<F::Output, Elapsed> {
    timeout_at(Millis::now() + time.into(), future).await
}

/// Waits for a future until a point in time at most.
pub async fn timeout_at<F: Future>(
    deadline: Millis,
    future: F,
) -> Result<F::Output, Elapsed> {
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = sleep_until(deadline) => Err(Elapsed),
    }
}

/// Wakes the timers of this process each time that its VM was suspended; never
/// returns.
pub async fn watch_suspensions() {
    let mut known = clock::suspended_time();
    loop {
        tokio::time::sleep(SUSPENSION_CHECK_INTERVAL.duration()).await;
        let suspended = clock::suspended_time();
        if suspended > known + MIN_SUSPENSION {
            SUSPENSION_ENDED.notify_waiters();
        }
        known = known.max(suspended);
    }
}
