//! Positions in a log that may be restored from an older copy.
//!
//! A restored log has lost its newest records and assigns their offsets again
//! to new records, so an offset alone doesn't identify a record. The log
//! increments its era at each restore, and the era and the offset together
//! identify a record.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The number of times that a log was restored from an older copy; 0 if the
/// log doesn't report its era.
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
pub struct Era(pub u64);

/// A position in a log. Every position of a later era is greater than all
/// positions of an earlier era.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd,
)]
pub struct Position {
    /// The era in which the log assigned the offset.
    pub era: Era,
    /// The index of the record in the log, from 0.
    pub offset: u64,
}

impl Position {
    /// Creates a position from an era and an offset.
    pub fn new(era: Era, offset: u64) -> Position {
        Position { era, offset }
    }

    /// Returns the first position of an era.
    pub fn start_of(era: Era) -> Position {
        Position { era, offset: 0 }
    }
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
