//! When the platform's log last confirmed that no newer configuration has been
//! written, and when that has to be confirmed again.
//!
//! The configuration is read by long polls. A connection may carry nothing any
//! more without being closed, and that may happen to the connections of all
//! entry processes at once, so a poll that has no answer does not show that
//! nothing was written. A read that the log answers at once shows it, for the
//! moment of its request. The answer to a long poll shows it for no known
//! moment: a VM that was frozen receives it late. Entry processes gossip the
//! latest read that any of them made.
//!
//! One entry process makes checks, such reads at an interval. The others wait a
//! little longer, and one of them takes over if no read becomes known in that
//! time. So the checks of all entry processes cost no more calls than those of
//! one. An entry process that receives no gossip makes its own checks.

use cowsliproad_kernel::{clock::Millis, position::LogEra};

/// The latest read of the log that found no newer configuration, by this entry
/// process or another one.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigConfirmation {
    /// The newest known era of the log.
    era: LogEra,
    /// The time of the latest such read in that era, if there was one.
    confirmed_at: Option<Millis>,
    /// The time of this entry process's latest check in that era.
    own_check_at: Option<Millis>,
    check_requested: bool,
    /// Reads by other entry processes before this time are ignored.
    peer_reads_valid_from: Millis,
}

/// The time after which a check is due.
#[derive(Clone, Copy, Debug)]
pub struct CheckTiming {
    /// The time between two checks of the same entry process.
    pub interval: Millis,
    /// The age of the latest read at which another entry process takes over.
    pub takeover_age: Millis,
}

impl ConfigConfirmation {
    /// Creates the state before any read.
    pub fn new() -> ConfigConfirmation {
        ConfigConfirmation::default()
    }

    /// Records that this entry process read the newest configuration when it
    /// started or after the log came back from an older copy.
    pub fn record_full_read(&mut self, at: Millis, era: LogEra) {
        self.merge(at, era);
    }

    /// Records a check of this entry process that found nothing newer.
    pub fn record_check(&mut self, at: Millis, era: LogEra) {
        self.check_requested = false;
        if self.merge(at, era) {
            self.own_check_at = Some(at);
        }
    }

    /// Merges the latest read that another entry process knows of. That entry
    /// process must not use a newer configuration than this one.
    pub fn merge_peer_read(&mut self, at: Millis, era: LogEra) {
        if at >= self.peer_reads_valid_from {
            self.merge(at, era);
        }
    }

    /// Forgets all reads, since this process stood still. Gossip that arrived
    /// meanwhile is received late and seems to be new, so reads by other entry
    /// processes count only from `peer_reads_valid_from` on.
    pub fn forget_reads(&mut self, peer_reads_valid_from: Millis) {
        self.confirmed_at = None;
        self.own_check_at = None;
        self.peer_reads_valid_from = peer_reads_valid_from;
    }

    /// Requests a check at once, since another entry process uses a newer
    /// configuration.
    pub fn request_check(&mut self) {
        self.check_requested = true;
    }

    /// Ends the request for a check, since newer records were read. Returns
    /// whether there was one.
    pub fn take_check_request(&mut self) -> bool {
        std::mem::take(&mut self.check_requested)
    }

    /// The time of the latest read, if there was one.
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed_at
    }

    /// How long until this entry process has to make a check.
    pub fn time_until_check(
        &self,
        timing: CheckTiming,
        now: Millis,
    ) -> Millis {
        let Some(confirmed_at) = self.confirmed_at else { return Millis(0) };
        if self.check_requested {
            return Millis(0);
        }
        // A read by another entry process that is newer by more than half an
        // interval shows that the other one makes the checks now.
        let half = Millis(timing.interval.0 / 2);
        let own = self.own_check_at.filter(|it| confirmed_at <= *it + half);
        let due = match own {
            Some(at) => at + timing.interval,
            None => confirmed_at + timing.takeover_age,
        };
        due.since(now)
    }

    /// Merges a read unless it is of an earlier era: it says nothing of what
    /// was written since the log came back from an older copy.
    fn merge(&mut self, at: Millis, era: LogEra) -> bool {
        if era < self.era {
            return false;
        }
        if era > self.era {
            self.era = era;
            self.confirmed_at = None;
            self.own_check_at = None;
        }
        self.confirmed_at = self.confirmed_at.max(Some(at));
        true
    }
}
