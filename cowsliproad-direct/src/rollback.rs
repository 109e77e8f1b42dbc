//! Handles rollbacks of the platform's log to an older copy.
//!
//! After a rollback the newest records are gone, and offsets that were read
//! are assigned again. The log raises its era, which each answer states, so
//! every client notices, and entry processes pass the era on in their digests.
//!
//! * No state is dropped, and no older record replaces a newer one: a
//!   configuration counts by its version, an announcement of a target by its
//!   start and its sequence, and quarantined work by all that is known about
//!   it, never by the time of the read.
//! * The newest record of every key is read again, since records written after
//!   the rollback may lie at offsets that this entry process has read before.
//! * Targets that the copy lacks stay in use for as long as a living target
//!   may take to write its record again. The copy may list targets that left,
//!   so their departures are broadcast to other entry processes once more.
//! * Quarantined work that the copy lacks is written again; see
//!   [`crate::quarantine`].
//!
//! All entry processes notice a rollback at once, so each waits for a random
//! time before it reads.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
};

use cowsliproad_kernel::{clock::Millis, position::LogEra};
use cowsliproad_platform::log::{
    CONFIG_TOPIC, QUARANTINE_TOPIC, TARGETS_TOPIC,
};
use cowsliproad_routing::fleet::ListState;
use slog::info;
use tokio::sync::watch;

use crate::entry::{Entry, StateChangeSource};

/// The time, per entry process, over which all entry processes spread their
/// reads of a topic after a rollback.
const REREAD_SPREAD_PER_ENTRY_PROCESS: Millis = Millis(10);

/// The longest time over which reads after a rollback are spread: a new
/// configuration must be in force within two seconds.
const MAX_REREAD_SPREAD: Millis = Millis(1_000);

/// The period after a rollback in which the earlier departures of targets are
/// broadcast again, since the rolled-back log may list these targets.
const REPEATED_DEPARTURE_BROADCAST_TTL: Millis = Millis(8_000);

/// The greatest age of the copy to which the log is rolled back. The copy may
/// list targets that have left since.
const MAX_LOG_COPY_AGE: Millis = Millis(60_000);

/// The heartbeat intervals after which the log lists no target any more that
/// left before the log came back from an older copy. Targets write a record
/// that the log lost within two seconds, and a record expires after three
/// intervals without a heartbeat.
const SETTLING_HEARTBEATS: u64 = 5;

/// The log's newest known era and the latest rollback.
#[derive(Debug)]
pub struct LogRollbacks {
    /// The newest known era of the log, which raises its era at each rollback.
    era: watch::Sender<LogEra>,
    /// Whether anything was read from the log, so that a later era means a
    /// rollback.
    has_read_log: Cell<bool>,
    last_rollback: RefCell<Option<LogRollback>>,
}

#[derive(Debug)]
struct LogRollback {
    /// When this entry process noticed the rollback of the log.
    noticed_at: Millis,
    /// The topics that have not been read again since the rollback.
    unread_topics: BTreeSet<&'static str>,
}

impl LogRollbacks {
    /// Creates the state before any rollback.
    pub fn new() -> LogRollbacks {
        LogRollbacks {
            era: watch::Sender::new(LogEra::default()),
            has_read_log: Cell::new(false),
            last_rollback: RefCell::new(None),
        }
    }

    /// The newest known era of the log, which raises its era at each rollback.
    pub fn newest_era(&self) -> LogEra {
        *self.era.borrow()
    }

    /// Waits until the log is in a newer era than `era`.
    pub async fn wait_for_era_after(&self, era: LogEra) {
        let mut newest = self.era.subscribe();
        // The sender exists as long as the entry process.
        let _ = newest.wait_for(|it| *it > era).await;
    }

    /// Whether a list of the log's targets read now can hold targets that
    /// departed before the log came back from an older copy.
    pub fn list_state(&self, heartbeat: Millis, now: Millis) -> ListState {
        let last = self.last_rollback.borrow();
        // Without a known rollback, the last one may have been just before
        // this process started.
        let noticed_at = last.as_ref().map_or(Millis(0), |it| it.noticed_at);
        let settled_after = Millis(heartbeat.0 * SETTLING_HEARTBEATS);
        if now < noticed_at + settled_after {
            ListState::Restored
        } else {
            ListState::Settled
        }
    }

    /// The time before now whose departures of targets are broadcast again
    /// after a recent rollback; `None` without a recent rollback.
    pub fn departure_window_after_rollback(
        &self,
        now: Millis,
    ) -> Option<Millis> {
        let last = self.last_rollback.borrow();
        let last = last.as_ref().filter(|it| {
            now.since(it.noticed_at) < REPEATED_DEPARTURE_BROADCAST_TTL
        });
        last.map(|_| MAX_LOG_COPY_AGE)
    }
}

impl Default for LogRollbacks {
    fn default() -> LogRollbacks {
        LogRollbacks::new()
    }
}

impl Entry {
    /// Records the log's era. Once anything was read from the log, a newer era
    /// means that the log was rolled back.
    pub fn observe_log_era(&self, era: LogEra, source: StateChangeSource) {
        let before = self.rollbacks.newest_era();
        if era <= before {
            return;
        }
        self.rollbacks.era.send_replace(era);
        self.log_read_schedule.borrow_mut().enter_log_era(era);
        if !self.rollbacks.has_read_log.get() {
            return;
        }
        let now = Millis::now();
        info!(self.log, "log_rolled_back"; "era" => era.0,
            "before" => before.0, "source" => ?source);
        self.metrics.record_log_rollback();
        self.fleet.borrow_mut().start_record_renewal_grace(now);
        let unread_topics =
            BTreeSet::from([CONFIG_TOPIC, TARGETS_TOPIC, QUARANTINE_TOPIC]);
        *self.rollbacks.last_rollback.borrow_mut() =
            Some(LogRollback { noticed_at: now, unread_topics });
        self.targets_read_wakeup.notify_one();
        self.digest_wakeup.notify_one();
    }

    /// A random delay before this entry process reads a topic again after a
    /// rollback.
    pub fn draw_reread_delay(&self) -> Millis {
        let entries = self.peers.borrow().entry_process_count() as u64;
        let spread = Millis(REREAD_SPREAD_PER_ENTRY_PROCESS.0 * entries)
            .min(MAX_REREAD_SPREAD);
        Millis((spread.0 as f64 * self.random_fraction()) as u64)
    }

    /// Records that a topic was read in full after a rollback, and how many of
    /// its records changed the state.
    pub fn record_full_topic_read(
        &self,
        topic: &'static str,
        records: usize,
        new: usize,
    ) {
        self.rollbacks.has_read_log.set(true);
        let mut last = self.rollbacks.last_rollback.borrow_mut();
        let Some(rollback) = last.as_mut() else { return };
        if !rollback.unread_topics.remove(topic) {
            return;
        }
        let took = Millis::now().since(rollback.noticed_at);
        info!(self.log, "topic_read_again"; "topic" => topic,
            "era" => self.rollbacks.newest_era().0, "records" => records,
            "new" => new, "took" => took.0);
        if rollback.unread_topics.is_empty() {
            info!(self.log, "log_caught_up"; "took" => took.0);
            self.metrics.record_log_catch_up(took);
        }
    }
}
