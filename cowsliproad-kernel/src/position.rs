//! Positions in a log that may be restored from an older copy.
//!
//! A restored log has lost its newest records and assigns their offsets again
//! to new records, so an offset alone doesn't identify a record. The log
//! increments its era at each restore, and the era and the offset together
//! identify a record.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The number of times that the platform's log was restored from an older
/// copy, like a term or an epoch; 0 if the log doesn't report its era.
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
pub struct LogEra(pub u64);

/// A position in the platform's log. Every position of a later era is greater
/// than all positions of an earlier era.
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
#[serde(from = "(LogEra, u64)", into = "(LogEra, u64)")]
pub struct LogPosition {
    /// The era in which the log assigned the offset.
    pub era: LogEra,
    /// The index of the record in the log, from 0.
    pub offset: u64,
}

impl LogPosition {
    /// Creates a log position from an era and an offset.
    pub fn new(era: LogEra, offset: u64) -> LogPosition {
        LogPosition { era, offset }
    }

    /// Returns the log position at offset 0 of an era.
    pub fn start_of(era: LogEra) -> LogPosition {
        LogPosition { era, offset: 0 }
    }

    /// Returns the position after the record at this position.
    pub fn successor(self) -> LogPosition {
        LogPosition { offset: self.offset.saturating_add(1), ..self }
    }
}

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.offset)
    }
}

impl From<(LogEra, u64)> for LogPosition {
    fn from((era, offset): (LogEra, u64)) -> LogPosition {
        LogPosition { era, offset }
    }
}

impl From<LogPosition> for (LogEra, u64) {
    fn from(position: LogPosition) -> (LogEra, u64) {
        (position.era, position.offset)
    }
}

impl fmt::Display for LogEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
