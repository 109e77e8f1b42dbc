//! Time in whole milliseconds.
//!
//! Decisions take the time as an argument and never read a clock, so one
//! [`Millis`] type serves the programs, the scenarios and the bench. A
//! [`Millis`] counts from the start of the process that read it. Two
//! processes never compare absolute values, only spans.

use std::{
    ops::{Add, Sub},
    sync::OnceLock,
    time::Instant,
};

use serde::{Deserialize, Serialize};

/// A point in time, or a span, in milliseconds.
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
    /// The process's monotonic time.
    pub fn now() -> Millis {
        Millis(start().elapsed().as_millis() as u64)
    }

    /// The span from `earlier` to `self`, zero when `earlier` is later.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// The span as the standard library's duration.
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

fn start() -> Instant {
    static START: OnceLock<Instant> = OnceLock::new();
    *START.get_or_init(Instant::now)
}
