//! Fencing numbers from places in a log.
//!
//! Each coordinator appends a record and takes its number from the record's
//! place. Numbers grow with the offset and, as a log that comes back from an
//! older copy gives offsets out again, with the era before it.
//!
//! A place names one record only if the log was in its era all the time from
//! the call to the answer: a record that was appended before the rollback may
//! be answered after it, and its offset is given out once more. So the era
//! has to be known before the call.

use cowsliproad_kernel::position::{LogEra, LogPosition};

use super::VERSIONS;

/// Numbers of one era. A log that gives out one a second does so for half a
/// year.
const NUMBERS: u64 = 1 << 24;

/// Eras whose numbers leave room for the versions of maps, which count from
/// the number on.
const ERAS: u64 = u64::MAX / VERSIONS / NUMBERS;

/// The fencing number of whoever appended the record at a place; never 0, and
/// none where numbers have run out.
pub fn number(record: LogPosition) -> Option<u64> {
    let LogPosition { era, offset } = record;
    let fits = era.0 < ERAS && offset < NUMBERS - 1;
    fits.then(|| era.0 * NUMBERS + offset + 1)
}

/// Whether a record's place names it alone, for one who knew the log to be in
/// an era before it was appended.
pub fn is_unique(record: LogPosition, known: LogEra) -> bool {
    record.era == known
}
