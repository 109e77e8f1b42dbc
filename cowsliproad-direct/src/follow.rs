//! Follows the configuration and the targets in the platform's log.
//!
//! The configuration changes seldom and must be in force everywhere within
//! seconds, so its topic is read by long polling. A poll whose connection
//! carries nothing any more looks like one that nothing was written for, so
//! polls are checked by reads on other connections; see [`check`]. Targets
//! renew their records continuously, and a long poll would return for each
//! renewal. So the targets topic is read on a timer, well within the time in
//! which a leaving target has to be known, and by one entry process on behalf
//! of all.
//!
//! While the log refuses this entry process's calls or doesn't answer, other
//! entry processes send the state that they read; see [`crate::peers`].
//! Rollbacks of the log to an older copy are handled in [`crate::rollback`].

use std::{
    collections::{HashMap, HashSet},
    ops::RangeInclusive,
    rc::Rc,
};

use cowsliproad_kernel::{Name, clock::Millis, position::LogPosition};
use cowsliproad_net::timer::sleep;
use cowsliproad_platform::{
    catalog, log,
    log::{Client, Error, Page, Record},
    target,
};
use cowsliproad_routing::{
    fleet::{ProcessStartUnixMs, TargetChange, TargetList},
    listing::{ListingOutcome, ListingSchedule},
};
use rand::Rng;
use slog::{info, warn};

use crate::{
    entry::{Entry, StateChangeSource, TargetNews},
    peers,
};

mod check;

/// How long the log may hold a long poll for the configuration: the longest
/// hold that the log allows.
const LONG_POLL_TIMEOUT: Millis = Millis(30_000);

/// The first backoff after a failed call to the log; each further failure
/// doubles the backoff.
const MIN_LOG_CALL_BACKOFF: Millis = Millis(150);

/// The longest backoff after failed calls to the log.
const MAX_LOG_CALL_BACKOFF: Millis = Millis(1_200);

/// The part of a backoff that is waited for.
const LOG_CALL_BACKOFF_PERCENT: RangeInclusive<u64> = 75..=100;

/// The least time between two calls for one topic, so that a burst of new
/// configurations costs no more than 20 calls a second; only the newest
/// version counts.
const MIN_CONFIG_READ_INTERVAL: Millis = Millis(50);

/// How often some entry process reads the targets, in percent of the time in
/// which a leaving target must be known. Two reads may be late or lost before
/// a target gets requests for too long.
const TARGETS_READ_INTERVAL_PERCENT: u64 = 40;

/// When the entry process that read the targets last reads them again, and
/// when another one does, in percent of that interval.
const LAST_READER_INTERVAL_PERCENT: RangeInclusive<u64> = 85..=90;
const OTHER_READER_INTERVAL_PERCENT: RangeInclusive<u64> = 95..=100;

/// When an entry process reads all targets again, in percent of its interval
/// for that, so that the reads of entry processes spread out.
const LISTING_INTERVAL_PERCENT: RangeInclusive<u64> = 75..=100;

/// How long the log may take to answer a read of the targets on a connection
/// that was open before, in percent of the time in which a leaving target must
/// be known. Then a new connection is used.
const OPEN_CONNECTION_TIMEOUT_PERCENT: u64 = 30;

/// Successes and failures of one task's calls to the log.
#[derive(Debug)]
pub struct LogCallStatus {
    topic: &'static str,
    /// What the calls are for, in log lines.
    purpose: &'static str,
    last_success: Millis,
    failures: u32,
}

impl LogCallStatus {
    /// Creates the status of a task that has made no calls to the log yet.
    pub fn new(topic: &'static str, purpose: &'static str) -> LogCallStatus {
        let last_success = Millis::now();
        LogCallStatus { topic, purpose, last_success, failures: 0 }
    }

    /// Records a successful call to the log and resets the backoff.
    pub fn record_success(&mut self, entry: &Entry) {
        let now = Millis::now();
        let call = (self.topic, self.purpose);
        entry.log_answer_times.borrow_mut().insert(call, now);
        let away = now.since(self.last_success);
        if self.failures > 0 {
            info!(entry.log, "log_regained"; "topic" => self.topic,
                "call" => self.purpose,
                "away" => away.0, "failures" => self.failures);
        }
        self.failures = 0;
        self.last_success = now;
    }

    /// Records a failed call to the log and waits for the backoff.
    pub async fn back_off_after_failure(
        &mut self,
        entry: &Entry,
        error: &Error,
    ) {
        if self.failures == 0 {
            let away = Millis::now().since(self.last_success);
            warn!(entry.log, "log_lost"; "topic" => self.topic,
                "call" => self.purpose,
                "away" => away.0, "error" => %error);
        }
        let doubled = MIN_LOG_CALL_BACKOFF.0 << self.failures.min(4);
        self.failures += 1;
        let pause = doubled.min(MAX_LOG_CALL_BACKOFF.0);
        let pause = draw_percent_of(Millis(pause), LOG_CALL_BACKOFF_PERCENT);
        sleep(pause.duration()).await;
    }
}

/// Returns a random time in a range of percentages of `time`, so that the calls
/// of entry processes spread out.
fn draw_percent_of(time: Millis, percent: RangeInclusive<u64>) -> Millis {
    let part = |percent| time.0 * percent / 100;
    let range = part(*percent.start())..=part(*percent.end());
    Millis(rand::rng().random_range(range))
}

/// Reads one topic of the log: first the newest record of every key, then the
/// records that follow.
#[derive(Debug)]
pub struct TopicReader {
    topic: &'static str,
    client: Client,
    contact: LogCallStatus,
    next_position: Option<LogPosition>,
    has_read: bool,
    /// Whether the next read returns the newest record of every key.
    reads_all: bool,
}

/// The result of reading a topic.
#[derive(Debug)]
pub struct TopicReadResult {
    /// The records that were read.
    pub records: Vec<Record>,
    /// The position up to which the topic had been read before, in the same
    /// era; `None` if it hadn't.
    pub start_position: Option<LogPosition>,
    /// The position in the topic after the last record that was read.
    pub end_position: LogPosition,
    /// Which records of the topic were read.
    pub scope: ReadScope,
}

/// Which records of a topic a read returned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadScope {
    /// The read returned the newest record of every key for the first time.
    First,
    /// The read returned the newest record of every key, as an earlier read
    /// did.
    All,
    /// The read returned the records since the previous read.
    New,
}

impl TopicReader {
    /// Creates a reader that starts with the newest record of every key.
    pub fn new(entry: &Entry, topic: &'static str) -> TopicReader {
        TopicReader {
            topic,
            client: Client::new(entry.settings().log_address),
            contact: LogCallStatus::new(topic, "read"),
            next_position: None,
            has_read: false,
            reads_all: false,
        }
    }

    /// Makes the next read return the newest record of every key.
    fn read_all_next(&mut self) {
        self.reads_all = true;
    }

    /// Leaves out the records before a position, which are known from a peer.
    fn skip_to(&mut self, position: LogPosition) {
        if let Some(next) = &mut self.next_position
            && next.era == position.era
        {
            *next = position.max(*next);
        }
    }

    /// Reads the next records. The log may hold the call for up to `max_hold`
    /// until there is a record.
    pub async fn read_next_records(
        &mut self,
        entry: &Entry,
        max_hold: Millis,
    ) -> Result<TopicReadResult, Error> {
        let is_old = |it: LogPosition| it.era < entry.rollbacks.newest_era();
        if self.next_position.is_some_and(is_old) {
            self.next_position = None;
            sleep(entry.draw_reread_delay().duration()).await;
        }
        let era = entry.rollbacks.newest_era();
        self.client.raise_era(era);
        let read_from = self.next_position.filter(|_| !self.reads_all);
        let call = async {
            match read_from {
                None => self.client.read_newest(self.topic).await,
                Some(from) => {
                    self.client.read(self.topic, from, max_hold).await
                }
            }
        };
        let read = tokio::select! {
            read = call => read,
            () = entry.rollbacks.wait_for_era_after(era) => Err(Error::RolledBack),
        };
        entry.observe_log_era(self.client.era(), StateChangeSource::Log);
        let Page { next_position: next, records } = read?;
        self.contact.record_success(entry);
        let start_position = self.next_position.replace(next);
        let scope = match read_from {
            None if self.has_read => ReadScope::All,
            None => ReadScope::First,
            Some(_) => ReadScope::New,
        };
        self.has_read = true;
        self.reads_all = false;
        let end_position = next;
        Ok(TopicReadResult { records, start_position, end_position, scope })
    }

    /// Reads the records that the log has. An open connection may have gone
    /// silent, so if there is no answer in `open_connection_timeout`, the read
    /// is repeated on a new one.
    async fn read_available_records(
        &mut self,
        entry: &Entry,
        open_connection_timeout: Millis,
    ) -> Result<TopicReadResult, Error> {
        if self.next_position.is_some() && self.client.is_connected() {
            self.client.set_response_timeout(open_connection_timeout);
            let read = self.read_next_records(entry, Millis(0)).await;
            self.client.set_response_timeout(log::RESPONSE_TIMEOUT);
            if !matches!(read, Err(Error::Timeout)) {
                return read;
            }
            info!(entry.log, "connection_silent"; "topic" => self.topic);
        }
        self.read_next_records(entry, Millis(0)).await
    }

    /// Reads the next records by a long poll. If a check finds records that the
    /// poll doesn't return, its connection is abandoned.
    async fn poll_with_checks(
        &mut self,
        entry: &Entry,
        max_hold: Millis,
    ) -> Result<TopicReadResult, Error> {
        let era = entry.rollbacks.newest_era();
        let position = self.next_position.filter(|it| it.era >= era);
        let Some(position) = position else {
            return self.read_next_records(entry, max_hold).await;
        };
        let check =
            check::wait_for_missed_records(entry, self.topic, position);
        let missed = tokio::select! {
            read = self.read_next_records(entry, max_hold) => return read,
            missed = check => missed?,
        };
        self.contact.record_success(entry);
        let end_position = missed.next_position;
        self.next_position = Some(end_position);
        let records = missed.records;
        let start_position = Some(position);
        let scope = ReadScope::New;
        Ok(TopicReadResult { records, start_position, end_position, scope })
    }

    /// Prepares the next read after a failed one; backs off unless records
    /// expired or the log was rolled back.
    pub async fn prepare_retry(&mut self, entry: &Entry, error: &Error) {
        match error {
            // The next read detects the log's new era and reads the newest
            // record of every key again.
            Error::RolledBack => {}
            Error::Expired => {
                info!(entry.log, "records_expired"; "topic" => self.topic);
                self.next_position = None;
            }
            error => self.contact.back_off_after_failure(entry, error).await,
        }
    }
}

/// Follows the configuration topic; never returns.
pub async fn follow_config_topic(entry: Rc<Entry>) {
    let mut reader = TopicReader::new(&entry, log::CONFIG_TOPIC);
    let mut called = Millis(0);
    loop {
        let pause = (called + MIN_CONFIG_READ_INTERVAL).since(Millis::now());
        sleep(pause.duration()).await;
        called = Millis::now();
        match reader.poll_with_checks(&entry, LONG_POLL_TIMEOUT).await {
            Ok(reading) => {
                entry.config_confirmation.borrow_mut().take_check_request();
                let before = entry.catalog_version();
                adopt_newest_catalog(&entry, &reading.records).await;
                if reading.scope != ReadScope::New {
                    entry
                        .config_confirmation
                        .borrow_mut()
                        .record_full_read(called, reading.end_position.era);
                    let new = usize::from(entry.catalog_version() > before);
                    let records = reading.records.len();
                    entry.record_full_topic_read(
                        log::CONFIG_TOPIC,
                        records,
                        new,
                    );
                }
            }
            Err(error) => reader.prepare_retry(&entry, &error).await,
        }
    }
}

impl Entry {
    /// Has the long poll for the configuration checked at once.
    pub fn request_config_check(&self) {
        self.config_confirmation.borrow_mut().request_check();
        self.config_check_wakeup.notify_one();
    }
}

async fn adopt_newest_catalog(entry: &Entry, records: &[Record]) {
    let versions = records.iter().rev();
    for record in versions.filter(|it| it.key == catalog::CONFIG_KEY) {
        let Some(raw) = &record.value else { continue };
        match catalog::decode(raw) {
            Ok(catalog) => {
                peers::wait_for_newest_catalog(
                    entry,
                    catalog.config_version(),
                )
                .await;
                return entry.adopt_catalog(
                    catalog,
                    raw.clone(),
                    StateChangeSource::Log,
                );
            }
            Err(error) => {
                warn!(entry.log, "catalog_refused"; "error" => %error);
            }
        }
    }
}

/// Follows the targets topic; never returns.
pub async fn follow_targets_topic(entry: Rc<Entry>) {
    let mut reader = TopicReader::new(&entry, log::TARGETS_TOPIC);
    loop {
        wait_until_read_is_due(&entry).await;
        let begun = Millis::now();
        reader.skip_to(entry.log_read_schedule.borrow().read_position());
        if entry.target_listing.borrow().next_listing_at() <= begun {
            reader.read_all_next();
        }
        let open_connection_timeout = Millis(
            entry.settings().drain_ms.0 * OPEN_CONNECTION_TIMEOUT_PERCENT
                / 100,
        );
        let read = reader
            .read_available_records(&entry, open_connection_timeout)
            .await;
        match read {
            Ok(reading) => {
                let now = Millis::now();
                let found = entry
                    .log_read_schedule
                    .borrow_mut()
                    .record_own_log_read(now, reading.end_position);
                entry.extend_target_leases_after_log_read_gap(found, now);
                apply_target_records(&entry, &reading, now);
                // Targets that renewed their records before the read began are
                // among the records just read.
                let gone =
                    entry.fleet.borrow_mut().apply_due_withdrawals(begun);
                let news = TargetNews::new(StateChangeSource::Log);
                record_left_targets(&entry, &gone, &news);
                // The digest shows that this entry process has just read the
                // topic, so that other entry processes don't.
                entry.digest_wakeup.notify_one();
            }
            Err(error) => {
                entry
                    .target_listing
                    .borrow_mut()
                    .record_failed_listing(Millis::now());
                if !matches!(error, Error::Expired | Error::RolledBack) {
                    entry
                        .log_read_schedule
                        .borrow_mut()
                        .mark_log_unreachable();
                }
                reader.prepare_retry(&entry, &error).await;
            }
        }
    }
}

/// Waits until the latest read of the targets by any entry process is too old,
/// or until a target's lease ends unless it is renewed.
async fn wait_until_read_is_due(entry: &Rc<Entry>) {
    let period = Millis(
        entry.settings().drain_ms.0 * TARGETS_READ_INTERVAL_PERCENT / 100,
    );
    let last_reader_max_age =
        draw_percent_of(period, LAST_READER_INTERVAL_PERCENT);
    let other_reader_max_age =
        draw_percent_of(period, OTHER_READER_INTERVAL_PERCENT);
    loop {
        let now = Millis::now();
        let is_last = entry
            .log_read_schedule
            .borrow()
            .is_last_reader(Millis(period.0 / 2));
        let is_lone = entry.peers.borrow().is_empty();
        let max_age = match is_last && !is_lone {
            true => last_reader_max_age,
            false => other_reader_max_age,
        };
        let wait = entry
            .log_read_schedule
            .borrow()
            .time_until_next_log_read(max_age, now);
        let lapse = entry.fleet.borrow().next_withdrawal_due_at();
        let wait = lapse.map_or(wait, |at| wait.min(at.since(now)));
        let listing_at = entry.target_listing.borrow().next_listing_at();
        let wait = wait.min(listing_at.since(now));
        if wait == Millis(0) {
            return;
        }
        tokio::select! {
            () = sleep(wait.duration()) => {}
            () = entry.targets_read_wakeup.notified() => {}
        }
    }
}

/// Applies target records that were read from the log. Targets that are
/// missing from a full read count as withdrawn.
fn apply_target_records(
    entry: &Entry,
    reading: &TopicReadResult,
    now: Millis,
) {
    let records = &reading.records;
    let news = TargetNews::new(StateChangeSource::Log);
    let list = (reading.scope != ReadScope::New).then(|| TargetList {
        end_position: reading.end_position,
        state: entry.rollbacks.list_state(entry.settings().heartbeat_ms, now),
    });
    let renewals = last_announcement_positions(records);
    let is_renewed = |it: &Record| {
        it.value.is_none()
            && renewals.get(&*it.key).is_some_and(|at| *at > it.position)
    };
    if records.iter().any(is_renewed) {
        // Others may have read the withdrawal alone.
        entry.log_read_schedule.borrow_mut().record_target_change();
    }
    let changed: Vec<LogPosition> = records
        .iter()
        .filter(|it| !is_renewed(it))
        .filter(|it| {
            apply_target_record(entry, it, list, now, &news)
                != TargetChange::None
        })
        .map(|it| it.position)
        .collect();
    if !changed.is_empty() {
        let from = reading.start_position.unwrap_or_default();
        info!(entry.log, "targets_read"; "from" => %from,
            "to" => %reading.end_position, "scope" => ?reading.scope,
            "records" => records.len(), "changes" => changed.len());
    }
    if reading.scope == ReadScope::New {
        return;
    }
    entry.record_target_list(reading, &changed, now);
    entry.record_full_topic_read(
        log::TARGETS_TOPIC,
        records.len(),
        changed.len(),
    );
    if reading.scope == ReadScope::First {
        // Other entry processes announced the targets known so far, and the
        // log may be an older copy that lacks them.
        entry.fleet.borrow_mut().start_record_renewal_grace(now);
    }
    withdraw_unlisted_targets(
        entry,
        records,
        reading.end_position,
        now,
        &news,
    );
}

/// The positions of the last announcements of the targets whose records expired
/// among the same records. Such a target renewed its record, and its endpoint
/// keeps its state.
fn last_announcement_positions(
    records: &[Record],
) -> HashMap<&str, LogPosition> {
    let expired = records.iter().filter(|it| it.value.is_none());
    let expired: HashSet<&str> = expired.map(|it| &*it.key).collect();
    let is_announcement = |it: &&Record| {
        let raw = it.value.as_ref().filter(|_| expired.contains(&*it.key));
        raw.is_some_and(|raw| target::decode(&it.key, raw).is_ok())
    };
    let renewed = records.iter().filter(is_announcement);
    renewed.map(|it| (&*it.key, it.position)).collect()
}

/// Withdraws the targets that a complete list of records lacks, which holds all
/// changes before a position.
pub fn withdraw_unlisted_targets(
    entry: &Entry,
    records: &[Record],
    end_position: LogPosition,
    now: Millis,
    news: &TargetNews,
) {
    let listed: HashMap<&str, ProcessStartUnixMs> =
        records.iter().filter_map(announced_start_time).collect();
    let gone = entry.fleet.borrow_mut().withdraw_unlisted_targets(
        |id| listed.get(id).copied(),
        end_position,
        now,
    );
    record_left_targets(entry, &gone, news);
}

impl Entry {
    /// Records a full read of the targets. A change that an earlier read had
    /// passed contradicts what this entry process knew, and other entry
    /// processes may have lost it too.
    fn record_target_list(
        &self,
        reading: &TopicReadResult,
        changed: &[LogPosition],
        now: Millis,
    ) {
        let read_before = reading.start_position.unwrap_or_default();
        let missed = changed.iter().filter(|it| **it < read_before).count();
        let outcome = match missed {
            0 => ListingOutcome::Agreed,
            _ => ListingOutcome::Contradicted,
        };
        if outcome == ListingOutcome::Contradicted {
            warn!(self.log, "targets_missed"; "missed" => missed,
                "read_before" => %read_before, "to" => %reading.end_position);
            self.metrics.record_missed_targets(missed);
        }
        let interval = ListingSchedule::interval(
            self.peers.borrow().entry_process_count(),
            reading.records.len(),
        );
        let next = now + draw_percent_of(interval, LISTING_INTERVAL_PERCENT);
        self.target_listing.borrow_mut().record_listing(
            reading.end_position,
            outcome,
            next,
        );
        self.targets_read_wakeup.notify_one();
    }

    /// Has the list of targets read soon because it contradicted another entry
    /// process.
    pub fn merge_peer_contradiction(
        &self,
        list_end: LogPosition,
        now: Millis,
    ) {
        let spread = ListingSchedule::request_spread(
            self.peers.borrow().entry_process_count(),
            self.fleet.borrow().ready_targets().count(),
        );
        let list_at = now + draw_percent_of(spread, 0..=100);
        self.target_listing
            .borrow_mut()
            .merge_peer_contradiction(list_end, list_at);
        self.targets_read_wakeup.notify_one();
    }
}

/// The start of the target that a record announces. A malformed record may
/// hide a target, and counts as the target's newest start.
fn announced_start_time(
    record: &Record,
) -> Option<(&str, ProcessStartUnixMs)> {
    let raw = record.value.as_ref()?;
    let start = target::decode(&record.key, raw).map(|it| it.start);
    Some((&record.key, start.unwrap_or(ProcessStartUnixMs(u64::MAX))))
}

fn record_left_targets(entry: &Entry, gone: &[Name], news: &TargetNews) {
    for id in gone {
        entry.apply_target_change(id, TargetChange::Left, news);
    }
}

/// Applies one announcement or withdrawal of a target and returns the
/// resulting change. `list` is the complete list that the record is part of,
/// if it is part of one.
pub fn apply_target_record(
    entry: &Entry,
    record: &Record,
    list: Option<TargetList>,
    now: Millis,
    news: &TargetNews,
) -> TargetChange {
    let position = record.position;
    let Some(raw) = &record.value else {
        let change = entry.fleet.borrow_mut().merge_target_withdrawal(
            &record.key,
            position.successor(),
            now,
        );
        entry.apply_target_change(&record.key, change, news);
        return change;
    };
    let target = match target::decode(&record.key, raw) {
        Ok(target) => target,
        // A malformed record describes no target, and leaves a known target of
        // the same name as it is.
        Err(error) => {
            entry.record_invalid_target(&record.key, &error);
            return TargetChange::None;
        }
    };
    entry.retract_crash_on_renewal(&target, now);
    let id = target.id.clone();
    let mut fleet = entry.fleet.borrow_mut();
    let change = match list {
        Some(list) => {
            fleet.merge_listed_announcement(target, position, list, now)
        }
        None => fleet.merge_target_announcement(target, position, now),
    };
    // Other entry processes get the announcement that is in use here, with its
    // position.
    if fleet.announcement_position(&id) == Some(position) {
        entry.raw_announcements_by_target.borrow_mut().insert(id, raw.clone());
    }
    drop(fleet);
    entry.apply_target_change(&record.key, change, news);
    change
}
