//! Schedules reads of the targets in the platform's log. Entries share the
//! results of their reads.
//!
//! Calls to the log are charged, and most reads bring only heartbeats of
//! targets. So an entry reads only when no entry is known to have read for an
//! interval, and gossips its read at once. Since each entry waits for a
//! different part of the interval, usually one entry reads for all. An entry
//! that learns of a change that it has not read itself reads at once, since
//! only the log holds the announcements of targets.
//!
//! An entry that receives no gossip reads by itself, so no entry depends on
//! others.
//!
//! When the log comes back from an older copy, a new era begins. Reads of the
//! earlier era no longer count, and each entry reads the whole topic again.

use cowsliproad_kernel::{
    clock::Millis,
    position::{Era, Position},
};

/// The latest reads and changes of the targets in the log, by any entry.
#[derive(Clone, Copy, Debug)]
pub struct LogReads {
    /// The longest time between two reads in which no target's log entry can
    /// expire unnoticed.
    max_read_gap: Millis,
    /// When any entry last read the log in the newest era.
    last_read_at: Millis,
    /// The position of the last known change; its era is the newest.
    last_change: Position,
    /// The position in the log up to which this entry has read.
    read_position: Position,
    log_status: LogStatus,
}

/// Whether the log answers this entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LogStatus {
    Reachable,
    Unreachable,
}

/// Whether log entries may have expired between two reads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Continuity {
    /// No log entry can have expired since the previous read.
    Continuous,
    /// Log entries may have expired since the previous read.
    Gap,
}

impl LogReads {
    /// A schedule without reads. A target's log entry expires after three
    /// heartbeat intervals without a renewal, the first of which may lie
    /// before an outage: in an outage shorter than two intervals, none
    /// expires.
    pub fn new(heartbeat: Millis) -> LogReads {
        LogReads {
            max_read_gap: Millis(heartbeat.0 * 2),
            last_read_at: Millis(0),
            last_change: Position::default(),
            read_position: Position::default(),
            log_status: LogStatus::Reachable,
        }
    }

    /// When any entry last read the targets in the log.
    pub fn last_read_at(&self) -> Millis {
        self.last_read_at
    }

    /// The position of the last known change of the targets.
    pub fn last_change(&self) -> Position {
        self.last_change
    }

    /// Records that the log is in an era, and discards reads of earlier eras.
    pub fn enter_era(&mut self, era: Era) {
        if era > self.last_change.era {
            self.last_change = Position::start_of(era);
            self.last_read_at = Millis(0);
        }
    }

    /// Merges a peer's read of the log; ignores a read of an earlier era.
    pub fn merge_peer_read(
        &mut self,
        read_at: Millis,
        last_change: Position,
    ) -> Continuity {
        self.enter_era(last_change.era);
        if last_change.era < self.last_change.era {
            return Continuity::Continuous;
        }
        self.last_change = self.last_change.max(last_change);
        self.advance_last_read(read_at)
    }

    /// Records that this entry read the log up to a position.
    pub fn record_read(
        &mut self,
        read_at: Millis,
        position: Position,
    ) -> Continuity {
        self.enter_era(position.era);
        self.read_position = self.read_position.max(position);
        self.log_status = LogStatus::Reachable;
        if position.era < self.last_change.era {
            return Continuity::Continuous;
        }
        self.advance_last_read(read_at)
    }

    /// Records that the last read of the log brought a change of the targets.
    pub fn record_change(&mut self) {
        self.last_change = self.last_change.max(self.read_position);
    }

    /// Records that the log did not answer.
    pub fn mark_log_unreachable(&mut self) {
        self.log_status = LogStatus::Unreachable;
    }

    /// Records that the complete state of another entry was merged.
    pub fn mark_caught_up(&mut self) {
        self.read_position = self.read_position.max(self.last_change);
    }

    /// Whether this entry has not read the last known change.
    pub fn is_behind(&self) -> bool {
        self.last_change > self.read_position
    }

    /// Whether this entry needs the state of a peer, because it is behind and
    /// the log does not answer.
    pub fn needs_peer_state(&self) -> bool {
        self.is_behind() && self.log_status == LogStatus::Unreachable
    }

    /// How long until this entry has to read the log, if it first leaves other
    /// entries `interval` to read it.
    pub fn next_read_in(&self, interval: Millis, now: Millis) -> Millis {
        if self.is_behind() || self.last_read_at == Millis(0) {
            return Millis(0);
        }
        (self.last_read_at + interval).since(now)
    }

    fn advance_last_read(&mut self, read_at: Millis) -> Continuity {
        if read_at <= self.last_read_at {
            return Continuity::Continuous;
        }
        let is_first = self.last_read_at == Millis(0);
        let elapsed = read_at.since(self.last_read_at);
        self.last_read_at = read_at;
        if !is_first && elapsed > self.max_read_gap {
            Continuity::Gap
        } else {
            Continuity::Continuous
        }
    }
}
