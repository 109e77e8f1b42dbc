//! Configuration and targets, followed in the platform's log.
//!
//! The configuration changes seldom and has to be in force everywhere within
//! seconds, so its topic is read with a long poll. Targets renew their
//! entries all the time: a long poll there would wake for each, so the topic
//! is read by a timer, well inside the time in which a leaving target has to
//! be known, and by one entry for all.
//!
//! When the log turns this entry away, the others tell it what they read; see
//! [`crate::peers`].

use std::{collections::HashSet, rc::Rc};

use cowsliproad_kernel::{Name, clock::Millis};
use cowsliproad_platform::{
    catalog, log,
    log::{Client, Error, Page, Record},
    target,
};
use cowsliproad_routing::fleet::Change;
use rand::Rng;
use slog::{info, warn};
use tokio::time::sleep;

use crate::entry::{Entry, Source};

/// How long the log may hold a read of the configuration. A connection that
/// fell silent is noticed when this is over; other entries tell us sooner.
const HOLD_TIME: Millis = Millis(15_000);

/// The pauses between calls that fail, doubled from the first to the last.
const FIRST_PAUSE: Millis = Millis(150);
const LONGEST_PAUSE: Millis = Millis(1_200);

/// The least time between two calls for one topic, so that a storm of new
/// versions costs no more than 20 calls a second; only the newest counts.
const MIN_PAUSE: Millis = Millis(50);

/// The part of the time for a leaving target in which the targets are read
/// once at the latest by some entry, in percent. Two readings may be late or
/// lost before a target gets requests for too long.
const READ_PERCENT: u64 = 40;

/// Contact with the log as one task sees it.
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
        let doubled = FIRST_PAUSE.0 << self.failures.min(4);
        self.failures += 1;
        let pause = doubled.min(LONGEST_PAUSE.0);
        sleep(jittered(Millis(pause)).duration()).await;
    }
}

/// A time between three quarters and the whole of one, so that entries
/// spread.
fn jittered(time: Millis) -> Millis {
    Millis(rand::rng().random_range(time.0 * 3 / 4..=time.0))
}

/// Follows the configuration for ever.
pub async fn catalog(entry: Rc<Entry>) {
    let mut client = Client::new(entry.settings().log);
    let mut contact = Contact::new(log::OPERATORS);
    let mut next = None;
    let mut called = Millis(0);
    loop {
        let pause = (called + MIN_PAUSE).since(Millis::now());
        sleep(pause.duration()).await;
        called = Millis::now();
        let read = match next {
            None => client.newest(log::OPERATORS).await,
            Some(from) => client.read(log::OPERATORS, from, HOLD_TIME).await,
        };
        match read {
            Ok(page) => {
                contact.good(&entry);
                next = Some(page.next);
                adopt_newest(&entry, page);
            }
            Err(Error::Expired) => {
                info!(entry.log, "records_expired"; "topic" => log::OPERATORS);
                next = None;
            }
            Err(error) => contact.bad(&entry, &error).await,
        }
    }
}

fn adopt_newest(entry: &Entry, page: Page) {
    let versions = page.records.into_iter().rev();
    for record in versions.filter(|it| it.key == catalog::KEY) {
        let Some(raw) = record.value else { continue };
        match catalog::decode(&raw) {
            Ok(catalog) => return entry.adopt(catalog, raw, Source::Log),
            Err(error) => {
                warn!(entry.log, "catalog_refused"; "error" => %error);
            }
        }
    }
}

/// Follows the targets for ever.
pub async fn targets(entry: Rc<Entry>) {
    let mut client = Client::new(entry.settings().log);
    let mut contact = Contact::new(log::TARGETS);
    let mut next = None;
    loop {
        wait_for_turn(&entry).await;
        let read = match next {
            None => client.newest(log::TARGETS).await,
            Some(from) => client.read(log::TARGETS, from, Millis(0)).await,
        };
        let now = Millis::now();
        match read {
            Ok(page) => {
                contact.good(&entry);
                let found = entry.readings.borrow_mut().read(now, page.next);
                entry.note_gap(found, now);
                let complete = next.is_none();
                next = Some(page.next);
                take(&entry, &page, complete, now);
                // The others need not read.
                entry.rumour.notify_one();
            }
            Err(Error::Expired) => {
                info!(entry.log, "records_expired"; "topic" => log::TARGETS);
                next = None;
            }
            Err(error) => {
                entry.readings.borrow_mut().lost();
                contact.bad(&entry, &error).await;
            }
        }
        let gone = entry.fleet.borrow_mut().tick(Millis::now());
        note_gone(&entry, &gone);
    }
}

/// Waits until nobody is known to have read the targets for too long.
async fn wait_for_turn(entry: &Rc<Entry>) {
    let period = Millis(entry.settings().drain_ms.0 * READ_PERCENT / 100);
    let patience = jittered(period);
    loop {
        let now = Millis::now();
        let gone = entry.fleet.borrow_mut().tick(now);
        note_gone(entry, &gone);
        let wait = entry.readings.borrow().due_in(patience, now);
        if wait == Millis(0) {
            return;
        }
        tokio::select! {
            () = sleep(wait.duration()) => {}
            () = entry.behind.notified() => {}
        }
    }
}

/// Takes a page of announcements in; a complete one withdraws all others.
fn take(entry: &Entry, page: &Page, complete: bool, now: Millis) {
    for record in &page.records {
        announce(entry, record, now, Source::Log);
    }
    if !complete {
        return;
    }
    let listed: HashSet<&str> =
        page.records.iter().map(|it| it.key.as_str()).collect();
    let gone =
        entry.fleet.borrow_mut().keep_only(|id| listed.contains(id), now);
    note_gone(entry, &gone);
}

fn note_gone(entry: &Entry, gone: &[Name]) {
    for id in gone {
        entry.changed(id, Change::Left, Source::Log);
    }
}

/// Takes one announcement or withdrawal in.
pub fn announce(entry: &Entry, record: &Record, now: Millis, source: Source) {
    let change = match &record.value {
        None => entry.fleet.borrow_mut().withdraw(&record.key, now),
        Some(raw) => match target::decode(&record.key, raw) {
            Ok(target) => {
                let id = target.id.clone();
                entry.note_announcement(&target, now);
                let change = entry.fleet.borrow_mut().announce(target, now);
                if entry.fleet.borrow().is_ready(&id) {
                    entry.announced.borrow_mut().insert(id, raw.clone());
                }
                change
            }
            // Another writer's entry names no target, and changes nothing of
            // one that has that name.
            Err(error) => return entry.refuse_target(&record.key, &error),
        },
    };
    entry.changed(&record.key, change, source);
}
