//! Places in a log that may come back from an older copy.
//!
//! Such a log has lost its newest records and gives their offsets out again,
//! so an offset by itself names no record. It does together with the era,
//! which the log raises each time.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Counts the times that a log came back from an older copy; 0 also where the
/// log states none.
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

/// A place in a log. Places of a later era come after all of an earlier one.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd,
)]
pub struct Position {
    /// The era in which the offset was given out.
    pub era: Era,
    /// Counts the records from 0.
    pub offset: u64,
}

impl Position {
    /// A place in an era.
    pub fn new(era: Era, offset: u64) -> Position {
        Position { era, offset }
    }

    /// The first place of an era.
    pub fn start_of(era: Era) -> Position {
        Position { era, offset: 0 }
    }
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
