//! When an entry reads the targets in the platform's log, where all entries
//! share their readings.
//!
//! Calls to the log are charged, and most readings bring nothing but signs of
//! life. So an entry reads only when nobody is known to have read for a
//! period, and tells the others at once. As each waits for another part of
//! the period, one of them mostly reads for all. Whoever hears of a change
//! that it has not read itself reads at once, since what a target says of
//! itself stands in the log only.
//!
//! An entry that hears nobody reads by itself, so nothing depends on others.
//!
//! When the log comes back from an older copy, what was read in the era before
//! counts no longer, and each entry reads all once more.

use cowsliproad_kernel::{
    clock::Millis,
    position::{LogEra, LogPosition},
};

/// What is known of readings.
#[derive(Clone, Copy, Debug)]
pub struct Readings {
    /// Without a reading for longer, entries may have lapsed unseen.
    gap: Millis,
    /// When anybody read last in the newest era.
    at: Millis,
    /// Where the last change stands that is known of; its era is the newest.
    changed: LogPosition,
    /// Up to where this entry has read.
    position: LogPosition,
    contact: Contact,
}

/// Whether the log answers this entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Contact {
    Good,
    Lost,
}

/// What a reading follows on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Found {
    /// Another reading shortly before.
    Unbroken,
    /// A time in which entries may have lapsed.
    Gap,
}

impl Readings {
    /// Nothing read yet. A target's entry lapses after three heartbeats
    /// without a sign of life, the first of which may lie before an outage:
    /// in one shorter than two heartbeats none lapses.
    pub fn new(heartbeat: Millis) -> Readings {
        Readings {
            gap: Millis(heartbeat.0 * 2),
            at: Millis(0),
            changed: LogPosition::default(),
            position: LogPosition::default(),
            contact: Contact::Good,
        }
    }

    /// When anybody read last.
    pub fn at(&self) -> Millis {
        self.at
    }

    /// Where the last change stands that is known of.
    pub fn changed(&self) -> LogPosition {
        self.changed
    }

    /// Notes that the log is in an era.
    pub fn enter(&mut self, era: LogEra) {
        if era > self.changed.era {
            self.changed = LogPosition::start_of(era);
            self.at = Millis(0);
        }
    }

    /// Takes another's reading in. One of an earlier era says nothing.
    pub fn hear(&mut self, at: Millis, changed: LogPosition) -> Found {
        self.enter(changed.era);
        if changed.era < self.changed.era {
            return Found::Unbroken;
        }
        self.changed = self.changed.max(changed);
        self.take(at)
    }

    /// Takes an own reading in, up to a position.
    pub fn read(&mut self, at: Millis, position: LogPosition) -> Found {
        self.enter(position.era);
        self.position = self.position.max(position);
        self.contact = Contact::Good;
        if position.era < self.changed.era {
            return Found::Unbroken;
        }
        self.take(at)
    }

    /// Notes a change of the targets in what was read.
    pub fn note_change(&mut self) {
        self.changed = self.changed.max(self.position);
    }

    /// Notes that the log did not answer.
    pub fn lost(&mut self) {
        self.contact = Contact::Lost;
    }

    /// Notes that all that another entry knows was merged.
    pub fn merged(&mut self) {
        self.position = self.position.max(self.changed);
    }

    /// Whether a change is known of that was not read.
    pub fn is_behind(&self) -> bool {
        self.changed > self.position
    }

    /// Whether another entry has to tell, as the log doesn't.
    pub fn needs_peer(&self) -> bool {
        self.is_behind() && self.contact == Contact::Lost
    }

    /// How long until this entry has to read, if it lets others go first for
    /// `patience`.
    pub fn due_in(&self, patience: Millis, now: Millis) -> Millis {
        if self.is_behind() || self.at == Millis(0) {
            return Millis(0);
        }
        (self.at + patience).since(now)
    }

    fn take(&mut self, at: Millis) -> Found {
        if at <= self.at {
            return Found::Unbroken;
        }
        let first = self.at == Millis(0);
        let away = at.since(self.at);
        self.at = at;
        if !first && away > self.gap { Found::Gap } else { Found::Unbroken }
    }
}
