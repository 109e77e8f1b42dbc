//! Configuration and targets, followed in the platform's log.
//!
//! The configuration changes seldom and has to be in force everywhere within
//! seconds, so its topic is read with a long poll. Targets renew their
//! entries all the time: a long poll there would wake for each, so the topic
//! is read by a timer, well inside the time in which a leaving target has to
//! be known, and by one entry for all.
//!
//! When the log turns this entry away, the others tell it what they read; see
//! [`crate::peers`]. What happens when the log comes back from an older copy
//! stands in [`crate::rollback`].

use std::{collections::HashMap, rc::Rc};

use cowsliproad_kernel::{Name, clock::Millis, position::LogPosition};
use cowsliproad_platform::{
    catalog, log,
    log::{Client, Error, Page, Record},
    target,
};
use cowsliproad_routing::fleet::{ProcessStartUnixMs, TargetChange};
use rand::Rng;
use slog::{info, warn};
use tokio::time::sleep;

use crate::{
    entry::{Entry, Source},
    peers,
};

/// How long the log may hold a read of the configuration. A connection that
/// fell silent is noticed when this is over; other entries tell us sooner.
const POLL_TIMEOUT: Millis = Millis(15_000);

/// The pauses between calls that fail, doubled from the first to the last.
const MIN_BACKOFF: Millis = Millis(150);
const MAX_BACKOFF: Millis = Millis(1_200);

/// The least time between two calls for one topic, so that a storm of new
/// versions costs no more than 20 calls a second; only the newest counts.
const MIN_READ_INTERVAL: Millis = Millis(50);

/// The part of the time for a leaving target in which the targets are read
/// once at the latest by some entry, in percent. Two readings may be late or
/// lost before a target gets requests for too long.
const READ_PERCENT: u64 = 40;

/// Contact with the log as one task sees it.
#[derive(Debug)]
pub struct Contact {
    topic: &'static str,
    last: Millis,
    failures: u32,
}

impl Contact {
    /// Nothing called yet.
    pub fn new(topic: &'static str) -> Contact {
        Contact { topic, last: Millis::now(), failures: 0 }
    }

    /// Notes an answer.
    pub fn good(&mut self, entry: &Entry) {
        let now = Millis::now();
        let away = now.since(self.last);
        if self.failures > 0 {
            info!(entry.log, "log_regained"; "topic" => self.topic,
                "away" => away.0, "failures" => self.failures);
        }
        self.failures = 0;
        self.last = now;
    }

    /// Notes a failure and waits before the next call.
    pub async fn bad(&mut self, entry: &Entry, error: &Error) {
        if self.failures == 0 {
            warn!(entry.log, "log_lost"; "topic" => self.topic,
                "error" => %error);
        }
        let doubled = MIN_BACKOFF.0 << self.failures.min(4);
        self.failures += 1;
        let pause = doubled.min(MAX_BACKOFF.0);
        sleep(jittered(Millis(pause)).duration()).await;
    }
}

/// A time between three quarters and the whole of one, so that entries
/// spread.
fn jittered(time: Millis) -> Millis {
    Millis(rand::rng().random_range(time.0 * 3 / 4..=time.0))
}

/// Reads one topic: first the newest record of every key, then what follows.
#[derive(Debug)]
pub struct Reader {
    topic: &'static str,
    client: Client,
    contact: Contact,
    next: Option<LogPosition>,
    has_read: bool,
}

/// What a read brought.
#[derive(Debug)]
pub struct Reading {
    /// The records.
    pub records: Vec<Record>,
    /// The place after them.
    pub end: LogPosition,
    /// Which records they are.
    pub scope: Scope,
}

/// Which records a read brought.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// The newest of every key, for the first time.
    First,
    /// The newest of every key once more.
    All,
    /// Those since the last read.
    New,
}

impl Reader {
    /// Nothing read yet.
    pub fn new(entry: &Entry, topic: &'static str) -> Reader {
        Reader {
            topic,
            client: Client::new(entry.settings().log),
            contact: Contact::new(topic),
            next: None,
            has_read: false,
        }
    }

    /// Reads on. The log may hold the call for `hold` until there is a record.
    pub async fn read(
        &mut self,
        entry: &Entry,
        hold: Millis,
    ) -> Result<Reading, Error> {
        let is_over = |it: LogPosition| it.era < entry.rollbacks.era();
        if self.next.is_some_and(is_over) {
            self.next = None;
            sleep(entry.reading_delay().duration()).await;
        }
        let era = entry.rollbacks.era();
        self.client.raise_era(era);
        let call = async {
            match self.next {
                None => self.client.read_newest(self.topic).await,
                Some(from) => self.client.read(self.topic, from, hold).await,
            }
        };
        let read = tokio::select! {
            read = call => read,
            () = entry.rollbacks.after(era) => Err(Error::RolledBack),
        };
        entry.learn_era(self.client.era(), Source::Log);
        let Page { next_position: next, records } = read?;
        self.contact.good(entry);
        let scope = match self.next.replace(next) {
            None if self.has_read => Scope::All,
            None => Scope::First,
            Some(_) => Scope::New,
        };
        self.has_read = true;
        Ok(Reading { records, end: next, scope })
    }

    /// Prepares the next read after one that failed.
    pub async fn recover(&mut self, entry: &Entry, error: &Error) {
        match error {
            // The next read notices by itself.
            Error::RolledBack => {}
            Error::Expired => {
                info!(entry.log, "records_expired"; "topic" => self.topic);
                self.next = None;
            }
            error => self.contact.bad(entry, error).await,
        }
    }
}

/// Follows the configuration for ever.
pub async fn catalog(entry: Rc<Entry>) {
    let mut reader = Reader::new(&entry, log::CONFIG_TOPIC);
    let mut called = Millis(0);
    loop {
        let pause = (called + MIN_READ_INTERVAL).since(Millis::now());
        sleep(pause.duration()).await;
        called = Millis::now();
        match reader.read(&entry, POLL_TIMEOUT).await {
            Ok(reading) => {
                let before = entry.version();
                adopt_newest(&entry, &reading.records).await;
                if reading.scope != Scope::New {
                    let new = usize::from(entry.version() > before);
                    let records = reading.records.len();
                    entry.note_read(log::CONFIG_TOPIC, records, new);
                }
            }
            Err(error) => reader.recover(&entry, &error).await,
        }
    }
}

async fn adopt_newest(entry: &Entry, records: &[Record]) {
    let versions = records.iter().rev();
    for record in versions.filter(|it| it.key == catalog::CONFIG_KEY) {
        let Some(raw) = &record.value else { continue };
        match catalog::decode(raw) {
            Ok(catalog) => {
                peers::meet(entry, catalog.config_version()).await;
                return entry.adopt(catalog, raw.clone(), Source::Log);
            }
            Err(error) => {
                warn!(entry.log, "catalog_refused"; "error" => %error);
            }
        }
    }
}

/// Follows the targets for ever.
pub async fn targets(entry: Rc<Entry>) {
    let mut reader = Reader::new(&entry, log::TARGETS_TOPIC);
    loop {
        wait_for_turn(&entry).await;
        let begun = Millis::now();
        match reader.read(&entry, Millis(0)).await {
            Ok(reading) => {
                let now = Millis::now();
                let found = entry
                    .readings
                    .borrow_mut()
                    .record_own_log_read(now, reading.end);
                entry.note_gap(found, now);
                take(&entry, &reading, now);
                // What was back by then has been read.
                let gone =
                    entry.fleet.borrow_mut().apply_due_withdrawals(begun);
                note_gone(&entry, &gone);
                // The others need not read.
                entry.rumour.notify_one();
            }
            Err(error) => {
                if !matches!(error, Error::Expired | Error::RolledBack) {
                    entry.readings.borrow_mut().mark_log_unreachable();
                }
                reader.recover(&entry, &error).await;
            }
        }
    }
}

/// Waits until nobody is known to have read the targets for too long, or until
/// a target counts as gone unless it is back.
async fn wait_for_turn(entry: &Rc<Entry>) {
    let period = Millis(entry.settings().drain_ms.0 * READ_PERCENT / 100);
    let patience = jittered(period);
    loop {
        let now = Millis::now();
        let wait =
            entry.readings.borrow().time_until_next_log_read(patience, now);
        let lapse = entry.fleet.borrow().next_withdrawal_due_at();
        let wait = lapse.map_or(wait, |at| wait.min(at.since(now)));
        if wait == Millis(0) {
            return;
        }
        tokio::select! {
            () = sleep(wait.duration()) => {}
            () = entry.behind.notified() => {}
        }
    }
}

/// Takes announcements in; all of them withdraw those that are missing.
fn take(entry: &Entry, reading: &Reading, now: Millis) {
    let records = &reading.records;
    let news = records
        .iter()
        .map(|it| announce(entry, it, now, Source::Log))
        .filter(|it| *it != TargetChange::None)
        .count();
    if reading.scope == Scope::New {
        return;
    }
    entry.note_read(log::TARGETS_TOPIC, records.len(), news);
    if reading.scope == Scope::First {
        // Others told of the targets known so far, and the log may have come
        // back from a copy that lacks them.
        entry.fleet.borrow_mut().start_record_renewal_grace(now);
    }
    let listed: HashMap<&str, ProcessStartUnixMs> =
        records.iter().filter_map(start).collect();
    let gone = entry
        .fleet
        .borrow_mut()
        .withdraw_unlisted_targets(|id| listed.get(id).copied(), now);
    note_gone(entry, &gone);
}

/// Which start of a target a record is of. One of another writer may hide a
/// target, and counts as its newest.
fn start(record: &Record) -> Option<(&str, ProcessStartUnixMs)> {
    let raw = record.value.as_ref()?;
    let start = target::decode(&record.key, raw).map(|it| it.start);
    Some((&record.key, start.unwrap_or(ProcessStartUnixMs(u64::MAX))))
}

fn note_gone(entry: &Entry, gone: &[Name]) {
    for id in gone {
        entry.changed(id, TargetChange::Left, Source::Log);
    }
}

/// Takes one announcement or withdrawal in, and says what it changed.
pub fn announce(
    entry: &Entry,
    record: &Record,
    now: Millis,
    source: Source,
) -> TargetChange {
    let change = match &record.value {
        None => {
            entry.fleet.borrow_mut().merge_target_withdrawal(&record.key, now)
        }
        Some(raw) => match target::decode(&record.key, raw) {
            Ok(target) => {
                let id = target.id.clone();
                entry.note_announcement(&target, now);
                let change = entry
                    .fleet
                    .borrow_mut()
                    .merge_target_announcement(target, now);
                if entry.fleet.borrow().is_target_ready(&id) {
                    entry.announced.borrow_mut().insert(id, raw.clone());
                }
                change
            }
            // Another writer's entry names no target, and changes nothing of
            // one that has that name.
            Err(error) => {
                entry.refuse_target(&record.key, &error);
                return TargetChange::None;
            }
        },
    };
    entry.changed(&record.key, change, source);
    change
}
