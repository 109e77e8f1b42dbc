//! Time in whole milliseconds.
//!
//! Functions that make decisions take the current time as an argument and
//! never read a clock, so programs, test scenarios and the bench can all use
//! the [`Millis`] type. As a point in time, a [`Millis`] counts from about
//! the start of the process that read the clock. Processes therefore never
//! exchange points in time for comparison, only time spans.
//!
//! The clock counts the time for which the VM was suspended. On the monotonic
//! clock, which doesn't, a process that wakes would take old facts for new.

use std::{
    ops::{Add, Sub},
    sync::OnceLock,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use rustix::time::{ClockId, Timespec, clock_gettime};
use serde::{Deserialize, Serialize};

/// A point in time or a time span, in milliseconds.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Reads the clock of this process. It never goes back, and counts the
    /// time for which the VM was suspended.
    pub fn now() -> Millis {
        since_boot() - process_start().since_boot
    }

    /// Returns the time span from `earlier` to `self`, or zero if `earlier`
    /// is the later time.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// Converts a time span to the standard library's type.
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<Duration> for Millis {
    fn from(time: Duration) -> Millis {
        Millis(time.as_millis() as u64)
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, other: Millis) -> Millis {
        Millis(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Millis;

    fn sub(self, other: Millis) -> Millis {
        Millis(self.0.saturating_sub(other.0))
    }
}

impl std::fmt::Display for Millis {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

/// Returns the current Unix time in milliseconds, for what outlives this
/// process, such as records and log lines; 0 if the system's clock is set
/// before 1970.
pub fn unix_now_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |it| it.as_millis() as u64)
}

/// Returns for how long the VM has been suspended since this process started.
///
/// The monotonic clock is read last, so a thread that is interrupted between
/// the two reads returns too little rather than too much.
pub fn suspended_time() -> Millis {
    let start = process_start();
    let elapsed = since_boot() - start.since_boot;
    let running = start.monotonic.elapsed().as_millis() as u64;
    elapsed - Millis(running)
}

/// The time since the VM booted, including the time for which the VM was
/// suspended.
fn since_boot() -> Millis {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    Millis(tv_sec as u64 * 1_000 + tv_nsec as u64 / 1_000_000)
}

/// The first time that this process read its clocks.
struct ProcessStart {
    since_boot: Millis,
    monotonic: Instant,
}

fn process_start() -> &'static ProcessStart {
    static START: OnceLock<ProcessStart> = OnceLock::new();
    START.get_or_init(|| ProcessStart {
        since_boot: since_boot(),
        monotonic: Instant::now(),
    })
}
