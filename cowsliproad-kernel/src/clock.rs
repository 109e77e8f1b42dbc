//! Time in whole milliseconds.
//!
//! Functions that make decisions take the current time as an argument and
//! never read a clock, so programs, test scenarios and the bench can all use
//! the [`Millis`] type. As a point in time, a [`Millis`] counts from about
//! the start of the process that read the clock. Processes therefore never
//! exchange points in time for comparison, only time spans.

use std::{
    ops::{Add, Sub},
    sync::OnceLock,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

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
    /// Reads the monotonic clock of this process.
    pub fn now() -> Millis {
        Millis(process_start().elapsed().as_millis() as u64)
    }

    /// Returns the time span from `earlier` to `self`, or zero if `earlier`
    /// is the later time.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// Converts a time span to the standard library's type.
    pub fn duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
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

/// The first time that this process read the clock, from which [`Millis::now`]
/// counts.
fn process_start() -> Instant {
    static START: OnceLock<Instant> = OnceLock::new();
    *START.get_or_init(Instant::now)
}
