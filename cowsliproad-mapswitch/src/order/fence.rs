//! Derives fencing numbers from positions of log records.
//!
//! Each coordinator appends a record to the log and derives its fencing number
//! from the record's position. Numbers grow with the offset. They also grow
//! with the log's era: a new era begins whenever the platform's log comes back
//! from an older copy, because the log then assigns the same offsets again.
//!
//! A position identifies one record only if the log stayed in one era from the
//! append call to its answer: a record that was appended before a rollback may
//! be acknowledged after it, and its offset is then assigned a second time. So
//! the appender has to know the log's era before the call.

use cowsliproad_kernel::position::{LogEra, LogPosition};

use super::VERSIONS_PER_COORDINATOR;

/// How many fencing numbers are reserved for one era of the log: enough for
/// half a year at one number a second.
const FENCING_NUMBERS_PER_ERA: u64 = 1 << 24;

/// The number of eras whose fencing numbers can be multiplied by
/// [`VERSIONS_PER_COORDINATOR`] without overflow.
const MAX_LOG_ERAS: u64 =
    u64::MAX / VERSIONS_PER_COORDINATOR / FENCING_NUMBERS_PER_ERA;

/// Returns the fencing number of the coordinator that appended a record. The
/// number is never 0. `None` if the log's era or the record's offset is too
/// large.
pub fn fencing_number(record: LogPosition) -> Option<u64> {
    let LogPosition { era, offset } = record;
    let is_in_range =
        era.0 < MAX_LOG_ERAS && offset < FENCING_NUMBERS_PER_ERA - 1;
    is_in_range.then(|| era.0 * FENCING_NUMBERS_PER_ERA + offset + 1)
}

/// Returns whether a record's position identifies it uniquely, given the log's
/// era that the appender knew before the append call.
pub fn is_position_unique(
    record: LogPosition,
    era_before_call: LogEra,
) -> bool {
    record.era == era_before_call
}
