//! Schedules reads of the targets in the platform's log. Entry processes share
//! the results of their reads.
//!
//! Calls to the log are charged, and most reads bring only heartbeats of
//! targets. So an entry process reads only when no entry process is known to
//! have read for an interval, and gossips its read at once. Since each entry
//! process waits for a different part of the interval, usually one entry
//! process reads for all. An entry process that learns of a change that it has
//! not read itself reads at once, since only the log holds the announcements
//! of targets.
//!
//! An entry process that receives no gossip reads by itself, so no entry
//! process depends on another.
//!
//! When the log comes back from an older copy, a new era begins. Reads of the
//! earlier era no longer count, and each entry process reads the whole topic
//! again.

use cowsliproad_kernel::{
    clock::Millis,
    position::{Era, Position},
};

/// Decides when this entry process reads the announcements of targets in the
/// log, from the latest reads that it or a peer made.
#[derive(Clone, Copy, Debug)]
pub struct LogReadSchedule {
    /// The longest time between two reads in which no target's record can
    /// expire in the log unnoticed.
    max_read_gap: Millis,
    /// When any entry process last read the log in the newest era.
    last_read_at: Millis,
    /// The log position of the last known change of a target. Its era is the
    /// newest known era: a new era begins when the log comes back from an
    /// older copy.
    last_change_position: Position,
    /// The position up to which this entry process has read the log.
    read_position: Position,
    log_status: LogStatus,
}

/// Whether the log answered the last call of this entry process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LogStatus {
    Reachable,
    Unreachable,
}

/// Whether records of targets may have expired in the log between two reads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Continuity {
    /// No target's record can have expired since the previous read.
    Continuous,
    /// Records of targets may have expired since the previous read.
    Gap,
}

impl LogReadSchedule {
    /// A schedule without reads. A target's record expires in the log after
    /// three heartbeat intervals without a renewal, the first of which may lie
    /// before an outage of the log: in an outage shorter than two intervals,
    /// no record expires.
    pub fn new(heartbeat_interval: Millis) -> LogReadSchedule {
        LogReadSchedule {
            max_read_gap: Millis(heartbeat_interval.0 * 2),
            last_read_at: Millis(0),
            last_change_position: Position::default(),
            read_position: Position::default(),
            log_status: LogStatus::Reachable,
        }
    }

    /// When any entry process last read the targets in the log.
    pub fn last_read_at(&self) -> Millis {
        self.last_read_at
    }

    /// The log position of the last known change of a target.
    pub fn last_change_position(&self) -> Position {
        self.last_change_position
    }

    /// Records the current era of the log, and discards reads of earlier eras.
    pub fn enter_era(&mut self, era: Era) {
        if era > self.last_change_position.era {
            self.last_change_position = Position::start_of(era);
            self.last_read_at = Millis(0);
        }
    }

    /// Merges a peer's read of the log and the position of the last change
    /// that the peer knows; ignores a read of an earlier era.
    pub fn merge_peer_read(
        &mut self,
        read_at: Millis,
        last_change_position: Position,
    ) -> Continuity {
        self.enter_era(last_change_position.era);
        if last_change_position.era < self.last_change_position.era {
            return Continuity::Continuous;
        }
        self.last_change_position =
            self.last_change_position.max(last_change_position);
        self.advance_last_read(read_at)
    }

    /// Records that this entry process read the log up to a position.
    pub fn record_own_read(
        &mut self,
        read_at: Millis,
        position: Position,
    ) -> Continuity {
        self.enter_era(position.era);
        self.read_position = self.read_position.max(position);
        self.log_status = LogStatus::Reachable;
        if position.era < self.last_change_position.era {
            return Continuity::Continuous;
        }
        self.advance_last_read(read_at)
    }

    /// Records that the last read of the log brought a change of a target.
    pub fn record_target_change(&mut self) {
        self.last_change_position =
            self.last_change_position.max(self.read_position);
    }

    /// Records that the log did not answer a call of this entry process.
    pub fn mark_log_unreachable(&mut self) {
        self.log_status = LogStatus::Unreachable;
    }

    /// Records that the complete state of a peer was merged, which includes
    /// the last known change.
    pub fn record_merged_peer_state(&mut self) {
        self.read_position = self.read_position.max(self.last_change_position);
    }

    /// Whether this entry process has not yet read the last known change.
    pub fn has_unread_change(&self) -> bool {
        self.last_change_position > self.read_position
    }

    /// Whether this entry process needs the state of a peer, because a change
    /// is unread and the log does not answer.
    pub fn needs_peer_state(&self) -> bool {
        self.has_unread_change() && self.log_status == LogStatus::Unreachable
    }

    /// How long until this entry process has to read the log, if peers first
    /// get `wait_for_peers` after the last read to read the log.
    pub fn time_until_next_read(
        &self,
        wait_for_peers: Millis,
        now: Millis,
    ) -> Millis {
        if self.has_unread_change() || self.last_read_at == Millis(0) {
            return Millis(0);
        }
        (self.last_read_at + wait_for_peers).since(now)
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
