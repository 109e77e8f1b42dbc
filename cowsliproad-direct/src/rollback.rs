//! What an entry does when the platform's log comes back from an older copy.
//!
//! The newest records are gone then, and offsets that were read are given out
//! again. The log raises its era, which each answer states, so whoever calls
//! it notices, and entries tell one another.
//!
//! * Nothing that is believed is forgotten, and no older record replaces a
//!   newer one: a configuration counts by its version, an announcement of a
//!   target by its start and its sequence, and quarantined work by all that is
//!   known of it, never by when it is read.
//! * The newest record of every key is read again, since what was written
//!   since may lie where this entry has read before.
//! * Targets that the copy lacks stay in use for as long as a living one may
//!   take to write its entry again. The copy may list others that left, so
//!   other entries are told of those once more.
//! * Quarantined work that the copy lacks is written again; see
//!   [`crate::quarantine`].
//!
//! All entries notice at once, so each waits for a random time before it
//! reads.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
};

use cowsliproad_kernel::{clock::Millis, position::Era};
use cowsliproad_platform::log::{
    CONFIG_TOPIC, QUARANTINE_TOPIC, TARGETS_TOPIC,
};
use slog::info;
use tokio::sync::watch;

use crate::entry::{Entry, Source};

/// The time over which all entries read a topic again, for each of them.
const SPREAD_PER_ENTRY: Millis = Millis(10);

/// The longest of it: a new configuration is to be in force in two seconds.
const MAX_SPREAD: Millis = Millis(1_000);

/// How long other entries are told of targets that left before.
const BROADCAST_TTL: Millis = Millis(8_000);

/// How old the copy may be: targets that left since may be listed in it.
const MAX_AGE: Millis = Millis(60_000);

/// What is known of rollbacks.
#[derive(Debug)]
pub struct Rollbacks {
    /// The newest era that is known of.
    era: watch::Sender<Era>,
    /// Whether anything was read, so that a later era is a rollback.
    has_read: Cell<bool>,
    last: RefCell<Option<Rollback>>,
}

#[derive(Debug)]
struct Rollback {
    /// When it was noticed.
    at: Millis,
    /// What is yet to be read again.
    unread: BTreeSet<&'static str>,
}

impl Rollbacks {
    /// None met yet.
    pub fn new() -> Rollbacks {
        Rollbacks {
            era: watch::Sender::new(Era::default()),
            has_read: Cell::new(false),
            last: RefCell::new(None),
        }
    }

    /// The newest era that is known of.
    pub fn era(&self) -> Era {
        *self.era.borrow()
    }

    /// Waits until an era is over.
    pub async fn after(&self, era: Era) {
        let mut newest = self.era.subscribe();
        // The sender lives as long as the entry.
        let _ = newest.wait_for(|it| *it > era).await;
    }

    /// For how long back other entries are told of targets that left, if a
    /// rollback makes that more than usual.
    pub fn departures(&self, now: Millis) -> Option<Millis> {
        let last = self.last.borrow();
        let last = last.as_ref().filter(|it| now.since(it.at) < BROADCAST_TTL);
        last.map(|_| MAX_AGE)
    }
}

impl Default for Rollbacks {
    fn default() -> Rollbacks {
        Rollbacks::new()
    }
}

impl Entry {
    /// Takes in which era the log is in.
    pub fn learn_era(&self, era: Era, source: Source) {
        let before = self.rollbacks.era();
        if era <= before {
            return;
        }
        self.rollbacks.era.send_replace(era);
        self.readings.borrow_mut().enter_era(era);
        if !self.rollbacks.has_read.get() {
            return;
        }
        let now = Millis::now();
        info!(self.log, "log_rolled_back"; "era" => era.0,
            "before" => before.0, "source" => ?source);
        self.measure.rolled_back();
        self.fleet.borrow_mut().start_renewal_grace(now);
        let unread =
            BTreeSet::from([CONFIG_TOPIC, TARGETS_TOPIC, QUARANTINE_TOPIC]);
        *self.rollbacks.last.borrow_mut() = Some(Rollback { at: now, unread });
        self.behind.notify_one();
        self.rumour.notify_one();
    }

    /// How long this entry waits before it reads a topic again.
    pub fn reading_delay(&self) -> Millis {
        let entries = self.peers.borrow().entries() as u64;
        let spread = Millis(SPREAD_PER_ENTRY.0 * entries).min(MAX_SPREAD);
        Millis((spread.0 as f64 * self.draw()) as u64)
    }

    /// Notes that a topic was read whole, and how many of its records told
    /// something new.
    pub fn note_read(&self, topic: &'static str, records: usize, new: usize) {
        self.rollbacks.has_read.set(true);
        let mut last = self.rollbacks.last.borrow_mut();
        let Some(rollback) = last.as_mut() else { return };
        if !rollback.unread.remove(topic) {
            return;
        }
        let took = Millis::now().since(rollback.at);
        info!(self.log, "topic_read_again"; "topic" => topic,
            "era" => self.rollbacks.era().0, "records" => records,
            "new" => new, "took" => took.0);
        if rollback.unread.is_empty() {
            info!(self.log, "log_caught_up"; "took" => took.0);
            self.measure.caught_up(took);
        }
    }
}
