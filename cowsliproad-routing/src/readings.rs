//! Schedules reads of the targets in the platform's log. Entry processes share
//! the results of their reads.
//!
//! Calls to the log are charged, and most reads bring only heartbeats of
//! targets. So an entry process reads only when no entry process is known to
//! have read for an interval, and gossips its read at once. The entry process
//! that read last waits for a shorter part of the interval than the others, and
//! each of these for a different one, so usually one entry process reads for
//! all. An entry process that learns of a change that it has not read itself
//! reads at once, since only the log holds the announcements of targets.
//!
//! An entry process that receives no gossip reads by itself, so no entry
//! process depends on another.
//!
//! When the log comes back from an older copy, a new era begins. Reads of the
//! earlier era no longer count, and each entry process reads the whole topic
//! again.

use cowsliproad_kernel::{
    clock::Millis,
    position::{LogEra, LogPosition},
};

/// Decides when this entry process reads the announcements of targets in the
/// log, from the latest reads that it or a peer made.
#[derive(Clone, Copy, Debug)]
pub struct LogReadSchedule {
    /// The longest time between two reads of the log in which no record of a
    /// target can expire unnoticed.
    max_read_gap: Millis,
    /// When any entry process last read the log in the newest era.
    last_log_read_at: Millis,
    /// When this entry process last read the log in the newest era.
    own_log_read_at: Millis,
    /// The log position of the last known change of a target. Its era is the
    /// newest known era: a new era begins when the log comes back from an
    /// older copy.
    last_target_change_log_position: LogPosition,
    /// The position up to which this entry process has read the log.
    read_position: LogPosition,
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
pub enum LogReadContinuity {
    /// No target's record can have expired since the previous read.
    Continuous,
    /// Records of targets may have expired since the previous read.
    Gap,
}

impl LogReadSchedule {
    /// A schedule before the first read of the log. Reads up to two heartbeat
    /// intervals apart count as continuous: a target's record expires in the
    /// log after three intervals without a renewal, and the first of these may
    /// lie before an outage of the log, so no record expires in an outage
    /// shorter than two intervals.
    pub fn new(heartbeat_interval: Millis) -> LogReadSchedule {
        LogReadSchedule {
            max_read_gap: Millis(heartbeat_interval.0 * 2),
            last_log_read_at: Millis(0),
            own_log_read_at: Millis(0),
            last_target_change_log_position: LogPosition::default(),
            read_position: LogPosition::default(),
            log_status: LogStatus::Reachable,
        }
    }

    /// When any entry process last read the targets in the log.
    pub fn last_log_read_at(&self) -> Millis {
        self.last_log_read_at
    }

    /// The log position of the last known change of a target.
    pub fn last_target_change_log_position(&self) -> LogPosition {
        self.last_target_change_log_position
    }

    /// The position up to which this entry process knows the targets in the
    /// log, by its own reads or from the state of a peer.
    pub fn read_position(&self) -> LogPosition {
        self.read_position
    }

    /// Records the current era of the log, and discards reads of earlier eras.
    pub fn enter_log_era(&mut self, era: LogEra) {
        if era > self.last_target_change_log_position.era {
            self.last_target_change_log_position = LogPosition::start_of(era);
            self.last_log_read_at = Millis(0);
            self.own_log_read_at = Millis(0);
        }
    }

    /// Merges a peer's read of the log and the position of the last change
    /// that the peer knows; ignores a read of an earlier era.
    pub fn merge_peer_log_read(
        &mut self,
        read_at: Millis,
        last_target_change_log_position: LogPosition,
    ) -> LogReadContinuity {
        self.enter_log_era(last_target_change_log_position.era);
        if last_target_change_log_position.era
            < self.last_target_change_log_position.era
        {
            return LogReadContinuity::Continuous;
        }
        self.last_target_change_log_position = self
            .last_target_change_log_position
            .max(last_target_change_log_position);
        self.advance_last_log_read(read_at)
    }

    /// Records that this entry process read the log up to a position.
    pub fn record_own_log_read(
        &mut self,
        read_at: Millis,
        position: LogPosition,
    ) -> LogReadContinuity {
        self.enter_log_era(position.era);
        self.read_position = self.read_position.max(position);
        self.log_status = LogStatus::Reachable;
        if position.era < self.last_target_change_log_position.era {
            return LogReadContinuity::Continuous;
        }
        self.own_log_read_at = read_at;
        self.advance_last_log_read(read_at)
    }

    /// Whether no other entry process has read the log by `margin` later than
    /// this one. This entry process's own read, as gossiped back to it, seems
    /// to be a little later than it was.
    pub fn is_last_reader(&self, margin: Millis) -> bool {
        self.last_log_read_at <= self.own_log_read_at + margin
    }

    /// Records that the last read of the log brought a change of a target.
    pub fn record_target_change(&mut self) {
        self.last_target_change_log_position =
            self.last_target_change_log_position.max(self.read_position);
    }

    /// Records that the log did not answer a call of this entry process.
    pub fn mark_log_unreachable(&mut self) {
        self.log_status = LogStatus::Unreachable;
    }

    /// Records that the complete state of a peer was merged, which has read the
    /// log up to a position. Later changes are still unread.
    pub fn record_merged_peer_state(&mut self, read_position: LogPosition) {
        self.read_position = self.read_position.max(read_position);
    }

    /// Whether this entry process has not yet read the last known change of a
    /// target from the log.
    pub fn has_unread_target_change(&self) -> bool {
        self.last_target_change_log_position > self.read_position
    }

    /// Whether this entry process needs the state of a peer, because a change
    /// of a target is unread and the log does not answer.
    pub fn needs_peer_state(&self) -> bool {
        self.has_unread_target_change()
            && self.log_status == LogStatus::Unreachable
    }

    /// Whether this entry process needs the state of a peer that has read the
    /// targets up to a position.
    pub fn needs_peer_state_of(&self, read_position: LogPosition) -> bool {
        self.needs_peer_state() && read_position > self.read_position
    }

    /// How long until this entry process has to read the log, if peers first
    /// get `wait_for_peers` after the last read to read the log.
    pub fn time_until_next_log_read(
        &self,
        wait_for_peers: Millis,
        now: Millis,
    ) -> Millis {
        if self.has_unread_target_change()
            || self.last_log_read_at == Millis(0)
        {
            return Millis(0);
        }
        (self.last_log_read_at + wait_for_peers).since(now)
    }

    fn advance_last_log_read(&mut self, read_at: Millis) -> LogReadContinuity {
        if read_at <= self.last_log_read_at {
            return LogReadContinuity::Continuous;
        }
        let is_first = self.last_log_read_at == Millis(0);
        let elapsed = read_at.since(self.last_log_read_at);
        self.last_log_read_at = read_at;
        if !is_first && elapsed > self.max_read_gap {
            LogReadContinuity::Gap
        } else {
            LogReadContinuity::Continuous
        }
    }
}
