//! Quarantine of crash-inducing requests, shared between entry processes.
//!
//! The rules for suspicion and refusal are in
//! [`cowsliproad_admission::quarantine`]. This module spreads the crash
//! records. Other entry processes get them at once and then in digests, so
//! that the quarantine works while the platform's log is down and within a
//! partitioned zone. From the second crash on, records are also written to the
//! log, so that they survive a restart of all entry processes and reach an
//! entry process that the others can't reach. The log is read by long polling,
//! which costs two calls a minute.
//!
//! A log that is rolled back to an older copy loses some records. Entry
//! processes that have a lost record write it again after a random delay,
//! first the entry processes that wrote it before. All entry processes read
//! the rewritten record, so mostly one entry process writes it.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    rc::Rc,
};

use cowsliproad_admission::quarantine::{
    Admission, CrashId, CrashLedger, Fingerprint, QuarantineChange,
    QuarantineVerdict, WorkDigest,
};
use cowsliproad_kernel::{
    clock::{Millis, unix_now_ms},
    gossip::{self, CrashSuspectRequest, CrashSuspectRequests},
};
use cowsliproad_net::timer::timeout;
use cowsliproad_platform::log::{self, Client, Record};
use cowsliproad_routing::fleet::{ProcessStartUnixMs, Target};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::sync::Notify;

use crate::{
    ends::MAX_MESSAGE_LATENCY,
    entry::{Entry, StateChangeSource},
    follow::{LogCallStatus, ReadScope, TopicReader},
    limits::DigestScope,
};

/// The number of crashes under a request from which on the request's record is
/// written to the platform's log. Without an earlier record, a restart of all
/// entry processes costs one more crash; if the first crash were written, each
/// killed target would cost a call for every request that it ran.
const MIN_CRASHES_FOR_LOG_RECORD: usize = 2;

/// How long the log may hold a long poll for quarantine records: the longest
/// hold that the log allows.
const LONG_POLL_TIMEOUT: Millis = Millis(30_000);

/// The least time between two reads of the quarantine topic if the first read
/// returned no records.
const MIN_QUARANTINE_READ_INTERVAL: Millis = Millis(15_000);

/// The longest random delay before an entry process rewrites a lost record
/// that it wrote itself.
const MAX_OWN_REWRITE_DELAY: Millis = Millis(300);

/// An entry process that didn't write a lost record itself delays its rewrite
/// by an additional random time, so that mostly one entry process rewrites the
/// record. The additional time is at most this delay times the number of entry
/// processes.
const RECORD_REWRITE_DELAY_PER_PEER: Millis = Millis(50);

/// The longest additional delay before an entry process rewrites a lost record
/// that it didn't write itself.
const MAX_PEER_REWRITE_DELAY: Millis = Millis(10_000);

/// A target that answers within this time after its supposed crash didn't
/// crash: no target restarts faster.
const MIN_TARGET_RESTART_TIME: Millis = Millis(1_000);

/// An announcement that a target wrote before it crashed is read from the log
/// within this time.
const MAX_ANNOUNCEMENT_READ_DELAY: Millis = Millis(3_000);

/// Two announcements of a target that arrive at least this far apart come from
/// different reads of the log.
const MIN_ANNOUNCEMENT_INTERVAL: Millis = Millis(1_000);

/// The trials of a refused prompt part at different entry processes begin at
/// different times within this time for each process, so that the first shows
/// whether others are needed.
const MAX_TRIAL_STAGGER_PER_ENTRY: Millis = Millis(250);

/// How often expired crash records are evicted.
const EXPIRED_CRASH_RECORD_EVICTION_INTERVAL: Millis = Millis(10_000);

/// Crashed targets that are watched for signs of life, 100 bytes each.
const MAX_WATCHED_CRASHES: usize = 1_024;

/// The crash ledger of this entry process, and the crash records that it has
/// yet to write to the platform's log.
#[derive(Debug, Default)]
pub struct RequestQuarantine {
    ledger: CrashLedger,
    /// Digests of requests under which this entry process itself observed a
    /// crash or a survival of a target.
    observed_work: HashSet<WorkDigest>,
    /// Digests of requests whose records have to be written to the log or
    /// deleted from the log.
    pending_writes: BTreeSet<WorkDigest>,
    /// Digests of requests whose records in the log this entry process wrote.
    written_work: HashSet<WorkDigest>,
    /// Digests of requests whose records the log lost, and when to write each
    /// record again.
    lost_records: BTreeMap<WorkDigest, Millis>,
    /// Crashes that are counted against requests, whose targets may yet show
    /// signs of life.
    watched_crashes: HashMap<CrashId, WatchedCrash>,
    /// Wakes the task that writes records to the log.
    write_wakeup: Rc<Notify>,
    last_eviction: Millis,
}

/// A supposed crash of a target.
#[derive(Clone, Copy, Debug)]
struct WatchedCrash {
    /// When the crash was first reported or observed.
    reported_at: Millis,
    /// Sequence number and read time of the target's first announcement that
    /// was read long enough after the crash.
    announced: Option<(u64, Millis)>,
}

/// How much of a group stops working when a target crashes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashExtent {
    /// Only the crashed target stops running requests.
    Target,
    /// All ranks of the crashed target's group stop running requests, because
    /// they run in lock-step.
    Group,
}

/// The log's record of a crash-inducing request.
#[derive(Debug, Deserialize, Serialize)]
struct SuspectLogRecord {
    #[serde(rename = "s")]
    suspect: CrashSuspectRequest,
    /// When the record was written, as a Unix time in milliseconds.
    #[serde(rename = "t")]
    written_at: u64,
}

impl RequestQuarantine {
    /// Counts a request that arrived from a caller.
    pub fn count_request(&mut self) {
        self.ledger.count_request();
    }

    /// Whether a request that was admitted before is refused now.
    pub fn refuses_request(
        &self,
        fingerprint: &Fingerprint,
        admission: Admission,
        now: Millis,
    ) -> bool {
        self.ledger.verdict_on_admitted(fingerprint, admission, now)
            != QuarantineVerdict::Allowed
    }

    /// The suspected requests and the retracted crashes to include in a digest
    /// for other entry processes.
    pub fn suspects_for_digest(
        &self,
        scope: DigestScope,
        now: Millis,
    ) -> (CrashSuspectRequests, Vec<u64>) {
        let suspects = match scope {
            DigestScope::Changed => self.ledger.broadcast_suspects(now),
            DigestScope::All => {
                self.ledger.broadcast_and_suspended_suspects(now)
            }
        };
        (
            CrashSuspectRequests::pack(suspects),
            self.ledger.recently_retracted_crash_ids(now),
        )
    }

    fn queue_record_write_if_observed(&mut self, work: WorkDigest) {
        let known = self.ledger.crash_count(work);
        // A record that blames a part which targets have answered since would
        // mislead entry processes that start later.
        let is_outdated = known == 0 && self.written_work.contains(&work);
        if self.observed_work.contains(&work)
            && known >= MIN_CRASHES_FOR_LOG_RECORD
            || is_outdated
        {
            self.pending_writes.insert(work);
            self.write_wakeup.notify_one();
        }
    }

    /// Evicts expired records, and deletes them from the log.
    pub fn evict_expired_records(&mut self, now: Millis) {
        if now.since(self.last_eviction)
            < EXPIRED_CRASH_RECORD_EVICTION_INTERVAL
        {
            return;
        }
        self.last_eviction = now;
        for work in self.ledger.evict_expired_cases(now) {
            if self.written_work.remove(&work) {
                self.pending_writes.insert(work);
                self.write_wakeup.notify_one();
            }
        }
        let ledger = &self.ledger;
        self.observed_work.retain(|it| ledger.has_quarantine_case(*it));
        self.written_work.retain(|it| ledger.has_quarantine_case(*it));
        self.lost_records.retain(|it, _| ledger.has_quarantine_case(*it));
        self.watched_crashes
            .retain(|crash_id, _| ledger.is_crash_counted(*crash_id));
    }

    /// The digest of the request whose record is to be written to the log now;
    /// otherwise the time of the next write, if one is scheduled.
    fn next_record_write(
        &mut self,
        now: Millis,
    ) -> Result<WorkDigest, Option<Millis>> {
        let next = self.lost_records.iter().min_by_key(|it| it.1);
        let next = next.map(|it| (*it.0, *it.1));
        if let Some((work, at)) = next
            && at <= now
        {
            self.lost_records.remove(&work);
            self.pending_writes.insert(work);
        }
        let first = self.pending_writes.first().copied();
        first.ok_or(next.map(|it| it.1))
    }

    /// Cancels the rewrite of a lost record that the log holds again.
    fn cancel_record_rewrite_if_in_log(
        &mut self,
        kept: &CrashSuspectRequest,
        now: Millis,
    ) {
        let work = WorkDigest(kept.request_hash);
        if let Some(own) = self.ledger.export_suspect(work, now)
            && record_covers_ledger(kept, &own)
        {
            self.lost_records.remove(&work);
        }
    }

    fn watch_crash(&mut self, crash_id: CrashId, now: Millis) {
        if self.watched_crashes.len() < MAX_WATCHED_CRASHES {
            let new = WatchedCrash { reported_at: now, announced: None };
            self.watched_crashes.entry(crash_id).or_insert(new);
        }
    }

    /// The watched crash of a target since the target's latest start, if there
    /// is one.
    fn watched_crash_of(
        &mut self,
        target: &Target,
    ) -> Option<(CrashId, &mut WatchedCrash)> {
        if self.watched_crashes.is_empty() {
            return None;
        }
        let crash_id = self.ledger.crash_id(&target.id, target.start.0);
        self.watched_crashes.get_mut(&crash_id).map(|it| (crash_id, it))
    }
}

impl Entry {
    /// Decides whether a request of a caller may be sent to a target now, and
    /// whether that is a trial of its prompt parts.
    pub fn admit_request(
        &self,
        fingerprint: &Fingerprint,
        admission: Admission,
        now: Millis,
    ) -> (QuarantineVerdict, Admission) {
        let mut quarantine = self.request_quarantine.borrow_mut();
        if !quarantine.refuses_request(fingerprint, admission, now) {
            return (QuarantineVerdict::Allowed, admission);
        }
        let entries = self.peers.borrow().entry_process_count() as f64;
        let stagger =
            MAX_TRIAL_STAGGER_PER_ENTRY.0 as f64 * entries * self.trial_rank;
        let stagger = Millis(stagger as u64);
        quarantine.ledger.admit_request(fingerprint, stagger, now)
    }

    /// Records that a target, alone or with its whole group, crashed under a
    /// request with this work digest, and before it had begun to answer a
    /// request with these prompt parts.
    pub fn record_crash_during_work(
        &self,
        target: &Target,
        work: WorkDigest,
        prompt_parts: &[WorkDigest],
        extent: CrashExtent,
        now: Millis,
    ) {
        let mut quarantine = self.request_quarantine.borrow_mut();
        let crash_id = quarantine.ledger.crash_id(&target.id, target.start.0);
        quarantine.watch_crash(crash_id, now);
        quarantine.observed_work.insert(work);
        let change = quarantine.ledger.record_crash(work, crash_id, now);
        let suspended = match extent {
            CrashExtent::Group => quarantine.ledger.suspend_request(work, now),
            CrashExtent::Target => QuarantineChange::None,
        };
        drop(quarantine);
        self.handle_quarantine_change(work, change, StateChangeSource::Own);
        self.handle_quarantine_change(work, suspended, StateChangeSource::Own);
        for part in prompt_parts {
            let mut quarantine = self.request_quarantine.borrow_mut();
            quarantine.observed_work.insert(*part);
            let change = quarantine.ledger.record_crash(*part, crash_id, now);
            drop(quarantine);
            self.handle_quarantine_change(
                *part,
                change,
                StateChangeSource::Own,
            );
        }
    }

    /// Records that a target began to answer a request with these prompt
    /// parts.
    pub fn record_answered_parts(
        &self,
        prompt_parts: &[WorkDigest],
        now: Millis,
    ) {
        for part in prompt_parts {
            let before =
                self.request_quarantine.borrow().ledger.crash_count(*part);
            self.record_survived_work(*part, now);
            if before > 0 {
                self.metrics.record_prompt_part_event("cleared");
                info!(self.log, "part_cleared"; "part" => %part,
                    "ends" => before);
            }
        }
    }

    /// Records that a target survived a request with this work digest.
    pub fn record_survived_work(&self, work: WorkDigest, now: Millis) {
        let mut quarantine = self.request_quarantine.borrow_mut();
        let change = quarantine.ledger.record_survived_request(work, now);
        if change != QuarantineChange::None {
            // The log's record must state the survival too.
            quarantine.observed_work.insert(work);
        }
        drop(quarantine);
        self.handle_quarantine_change(work, change, StateChangeSource::Own);
    }

    /// Retracts a target's crash if the target answers a request that was sent
    /// after the crash was reported. An answer that arrives later may come
    /// from a new start under the same name.
    pub fn retract_crash_on_answer(
        &self,
        target: &Target,
        sent: Millis,
        now: Millis,
    ) {
        let mut quarantine = self.request_quarantine.borrow_mut();
        let Some((id, watched)) = quarantine.watched_crash_of(target) else {
            return;
        };
        let is_later = sent > watched.reported_at;
        let is_soon = now.since(watched.reported_at) < MIN_TARGET_RESTART_TIME;
        drop(quarantine);
        if is_later && is_soon {
            self.retract_crash(id, now, StateChangeSource::Own);
        }
    }

    /// Retracts a target's crash if the target's agent still reads reports of
    /// the same start. If the agent states no start, its report may be about a
    /// later start.
    pub fn retract_crash_on_agent_report(
        &self,
        target: &Target,
        start: ProcessStartUnixMs,
        now: Millis,
    ) {
        if start != target.start || start == ProcessStartUnixMs::default() {
            return;
        }
        let mut quarantine = self.request_quarantine.borrow_mut();
        let Some((id, watched)) = quarantine.watched_crash_of(target) else {
            return;
        };
        let is_later = now.since(watched.reported_at) >= MAX_MESSAGE_LATENCY;
        drop(quarantine);
        if is_later {
            self.retract_crash(id, now, StateChangeSource::Own);
        }
    }

    /// Retracts a target's crash if the target renews its announcement in a
    /// later read.
    pub fn retract_crash_on_renewal(&self, target: &Target, now: Millis) {
        let mut quarantine = self.request_quarantine.borrow_mut();
        let Some((id, watched)) = quarantine.watched_crash_of(target) else {
            return;
        };
        if now.since(watched.reported_at) < MAX_ANNOUNCEMENT_READ_DELAY {
            return;
        }
        let (first, at) = *watched
            .announced
            .get_or_insert((target.announcement_sequence, now));
        drop(quarantine);
        if target.announcement_sequence > first
            && now.since(at) >= MIN_ANNOUNCEMENT_INTERVAL
        {
            self.retract_crash(id, now, StateChangeSource::Log);
        }
    }

    /// Retracts a supposed crash whose target is alive.
    fn retract_crash(
        &self,
        crash_id: CrashId,
        now: Millis,
        source: StateChangeSource,
    ) {
        let mut quarantine = self.request_quarantine.borrow_mut();
        if quarantine.ledger.is_crash_retracted(crash_id) {
            return;
        }
        let was_counted = quarantine.ledger.is_crash_counted(crash_id);
        let freed = quarantine.ledger.retract_crash(crash_id, now);
        quarantine.watched_crashes.remove(&crash_id);
        drop(quarantine);
        self.handle_part_changes(source);
        if !was_counted {
            return;
        }
        info!(self.log, "end_taken_back"; "end" => ?crash_id, "source" => ?source);
        for work in freed {
            self.handle_quarantine_change(
                work,
                QuarantineChange::Freed,
                source,
            );
        }
        if source != StateChangeSource::Peer {
            self.digest_wakeup.notify_one();
        }
    }

    /// Merges suspects and retracted crashes of another entry process's
    /// digest.
    pub fn merge_peer_suspects(
        &self,
        suspects: &CrashSuspectRequests,
        retracted_crashes: &[u64],
        now: Millis,
    ) {
        for crash_id in retracted_crashes.iter().map(|it| CrashId(*it)) {
            self.retract_crash(crash_id, now, StateChangeSource::Peer);
        }
        for suspect in suspects.unpack() {
            self.merge_suspect(&suspect, now, StateChangeSource::Peer);
        }
    }

    fn merge_suspect(
        &self,
        suspect: &CrashSuspectRequest,
        now: Millis,
        source: StateChangeSource,
    ) -> QuarantineChange {
        let mut quarantine = self.request_quarantine.borrow_mut();
        let change = quarantine.ledger.merge_remote_suspect(suspect, now);
        for crash_id in suspect.crash_ids.iter().map(|it| CrashId(*it)) {
            if change != QuarantineChange::None
                && !quarantine.ledger.is_crash_retracted(crash_id)
            {
                quarantine.watch_crash(crash_id, now);
            }
        }
        drop(quarantine);
        self.handle_quarantine_change(
            WorkDigest(suspect.request_hash),
            change,
            source,
        );
        change
    }

    /// Logs, counts and broadcasts a change of the quarantine's verdict on a
    /// request, and wakes waiting requests.
    fn handle_quarantine_change(
        &self,
        work: WorkDigest,
        change: QuarantineChange,
        source: StateChangeSource,
    ) {
        self.handle_part_changes(source);
        if change == QuarantineChange::None {
            return;
        }
        if work.is_prompt_part() {
            self.handle_part_change(work, change, source);
            return;
        }
        let now = Millis::now();
        let crashes =
            self.request_quarantine.borrow().ledger.crash_count(work);
        match change {
            QuarantineChange::None | QuarantineChange::Suspected => {}
            QuarantineChange::Refused => {
                info!(self.log, "work_refused"; "work" => %work,
                    "ends" => crashes, "source" => ?source);
                self.metrics.record_quarantine_event("refused");
                // Waiting requests with this work digest are rejected now.
                self.notify_target_change();
            }
            QuarantineChange::Suspended => {
                let verdict =
                    self.request_quarantine.borrow().ledger.verdict(work, now);
                info!(self.log, "work_suspended"; "work" => %work,
                    "ends" => crashes, "verdict" => ?verdict,
                    "source" => ?source);
                self.metrics.record_quarantine_event("suspended");
                self.notify_target_change();
            }
            QuarantineChange::Freed => {
                info!(self.log, "work_freed"; "work" => %work,
                    "ends" => crashes, "source" => ?source);
                self.metrics.record_quarantine_event("freed");
            }
        }
        self.spread_quarantine_change(work, source);
    }

    /// Handles the refusals and releases of prompt parts that followed from
    /// updates of other parts and requests.
    fn handle_part_changes(&self, source: StateChangeSource) {
        let changes =
            self.request_quarantine.borrow_mut().ledger.take_part_changes();
        for (part, change) in changes {
            self.handle_part_change(part, change, source);
        }
    }

    fn handle_part_change(
        &self,
        part: WorkDigest,
        change: QuarantineChange,
        source: StateChangeSource,
    ) {
        let crashes =
            self.request_quarantine.borrow().ledger.crash_count(part);
        match change {
            QuarantineChange::Refused => {
                info!(self.log, "part_refused"; "part" => %part,
                    "ends" => crashes, "source" => ?source);
                self.metrics.record_prompt_part_event("refused");
                // Waiting requests with this part are rejected now.
                self.notify_target_change();
            }
            QuarantineChange::Freed => {
                info!(self.log, "part_freed"; "part" => %part,
                    "ends" => crashes, "source" => ?source);
                self.metrics.record_prompt_part_event("freed");
            }
            QuarantineChange::None
            | QuarantineChange::Suspected
            | QuarantineChange::Suspended => {}
        }
        self.spread_quarantine_change(part, source);
    }

    /// Has a changed case broadcast and written to the log.
    fn spread_quarantine_change(
        &self,
        work: WorkDigest,
        source: StateChangeSource,
    ) {
        self.request_quarantine
            .borrow_mut()
            .queue_record_write_if_observed(work);
        if source == StateChangeSource::Own {
            self.digest_wakeup.notify_one();
        }
    }
}

/// Follows the quarantine topic of the log; never returns.
pub async fn follow_quarantine_topic(entry: Rc<Entry>) {
    let mut reader = TopicReader::new(&entry, log::QUARANTINE_TOPIC);
    loop {
        let called = Millis::now();
        let reading =
            match reader.read_next_records(&entry, LONG_POLL_TIMEOUT).await {
                Ok(reading) => reading,
                Err(error) => {
                    reader.prepare_retry(&entry, &error).await;
                    continue;
                }
            };
        let records = reading.records.iter();
        let kept: Vec<SuspectLogRecord> = records
            .filter_map(|it| decode_suspect_record(&entry, it))
            .collect();
        let new =
            kept.iter().filter(|it| merge_log_record(&entry, it)).count();
        if reading.scope != ReadScope::New {
            let records = reading.records.len();
            entry.record_full_topic_read(log::QUARANTINE_TOPIC, records, new);
            schedule_record_rewrites(&entry, &kept);
        } else if reading.records.is_empty() {
            // Pauses between reads, in case the log answers every long poll at
            // once.
            let rest =
                (called + MIN_QUARANTINE_READ_INTERVAL).since(Millis::now());
            let era = entry.rollbacks.newest_era();
            let over = entry.rollbacks.wait_for_era_after(era);
            let _ = timeout(rest.duration(), over).await;
        }
    }
}

/// Decodes a record of the quarantine topic; None for a deleted or malformed
/// one. Records deleted by another entry process expire here in their own
/// time.
fn decode_suspect_record(
    entry: &Entry,
    record: &Record,
) -> Option<SuspectLogRecord> {
    let kept = gossip::decode::<SuspectLogRecord>(record.value.as_ref()?);
    if kept.is_none() {
        warn!(entry.log, "strange_record"; "topic" => log::QUARANTINE_TOPIC,
            "key" => &record.key);
    }
    kept
}

/// Merges a quarantine record of the log into the crash ledger, and returns
/// whether the ledger changed.
fn merge_log_record(entry: &Entry, kept: &SuspectLogRecord) -> bool {
    let now = Millis::now();
    let age = Millis(unix_now_ms()).since(Millis(kept.written_at));
    let mut suspect = kept.suspect.clone();
    match &mut suspect.rejected_for {
        // The refused request may have arrived again since the record was
        // written: not every arrival is written to the log.
        Some(refused) => {
            *refused = *refused + age;
            suspect.since_last_received = Millis(0);
        }
        None => {
            suspect.since_last_received = suspect.since_last_received + age
        }
    }
    let change = entry.merge_suspect(&suspect, now, StateChangeSource::Log);
    let work = WorkDigest(suspect.request_hash);
    let mut quarantine = entry.request_quarantine.borrow_mut();
    quarantine.cancel_record_rewrite_if_in_log(&suspect, now);
    if quarantine.ledger.export_suspect(work, now).is_none() {
        // Delete the expired record from the log, since the entry process that
        // wrote it may be gone.
        quarantine.pending_writes.insert(work);
        quarantine.write_wakeup.notify_one();
    }
    change != QuarantineChange::None
}

/// Schedules rewrites of quarantine records that the log has lost.
fn schedule_record_rewrites(entry: &Entry, kept: &[SuspectLogRecord]) {
    let now = Millis::now();
    let kept = kept.iter().map(|it| (it.suspect.request_hash, &it.suspect));
    let kept: HashMap<u64, &CrashSuspectRequest> = kept.collect();
    let entries = entry.peers.borrow().entry_process_count() as u64;
    let others = Millis(RECORD_REWRITE_DELAY_PER_PEER.0 * entries);
    let others = others.min(MAX_PEER_REWRITE_DELAY);
    let known =
        entry.request_quarantine.borrow().ledger.snapshot_suspects(now);
    let known = known
        .into_iter()
        .filter(|it| it.crash_ids.len() >= MIN_CRASHES_FOR_LOG_RECORD);
    for suspect in known {
        let work = WorkDigest(suspect.request_hash);
        if kept
            .get(&work.0)
            .is_some_and(|it| record_covers_ledger(it, &suspect))
        {
            continue;
        }
        let drawn = entry.random_fraction();
        let mut quarantine = entry.request_quarantine.borrow_mut();
        let wait = match quarantine.written_work.contains(&work) {
            true => drawn * MAX_OWN_REWRITE_DELAY.0 as f64,
            false => MAX_OWN_REWRITE_DELAY.0 as f64 + drawn * others.0 as f64,
        };
        let at = now + Millis(wait as u64);
        quarantine.lost_records.insert(work, at);
        quarantine.write_wakeup.notify_one();
        info!(entry.log, "work_lost"; "work" => %work, "wait" => wait as u64);
    }
}

/// Whether the log's record of a request includes everything in this entry
/// process's ledger.
fn record_covers_ledger(
    kept: &CrashSuspectRequest,
    own: &CrashSuspectRequest,
) -> bool {
    let tells = |it: &u64| {
        kept.crash_ids.contains(it) || kept.excused_crash_ids.contains(it)
    };
    own.crash_ids.iter().all(tells)
        && own
            .excused_crash_ids
            .iter()
            .all(|it| kept.excused_crash_ids.contains(it))
        && kept.completed_without_crash >= own.completed_without_crash
        && kept.rejected_for.is_some() >= own.rejected_for.is_some()
}

/// Writes and deletes records of the quarantine topic; never returns.
pub async fn write_quarantine_records(entry: Rc<Entry>) {
    let mut client = Client::new(entry.settings().log_address);
    let mut contact = LogCallStatus::new(log::QUARANTINE_TOPIC, "write");
    let write_wakeup = entry.request_quarantine.borrow().write_wakeup.clone();
    loop {
        let now = Millis::now();
        let next =
            entry.request_quarantine.borrow_mut().next_record_write(now);
        let work = match next {
            Ok(work) => work,
            Err(None) => {
                write_wakeup.notified().await;
                continue;
            }
            Err(Some(at)) => {
                let wait = at.since(now).duration();
                let _ = timeout(wait, write_wakeup.notified()).await;
                continue;
            }
        };
        let value = encode_suspect_record(&entry, work);
        let key = work.to_string();
        client.raise_era(entry.rollbacks.newest_era());
        let written = client.put(log::QUARANTINE_TOPIC, &key, &value).await;
        entry.observe_log_era(client.era(), StateChangeSource::Log);
        if let Err(error) = written {
            contact.back_off_after_failure(&entry, &error).await;
            continue;
        }
        contact.record_success(&entry);
        let mut quarantine = entry.request_quarantine.borrow_mut();
        quarantine.pending_writes.remove(&work);
        if value.is_empty() {
            quarantine.written_work.remove(&work);
        } else {
            quarantine.written_work.insert(work);
        }
        drop(quarantine);
        info!(entry.log, "work_written"; "work" => %work,
            "bytes" => value.len());
    }
}

/// Encodes the quarantine record of a request for the log; empty if the record
/// is to be deleted.
fn encode_suspect_record(entry: &Entry, work: WorkDigest) -> Vec<u8> {
    let suspect = entry
        .request_quarantine
        .borrow()
        .ledger
        .export_suspect(work, Millis::now());
    // The record states no suspension, which ends before other entry processes
    // read the record.
    let suspect =
        suspect.map(|it| CrashSuspectRequest { suspension_left: None, ..it });
    let kept = suspect.map(|suspect| SuspectLogRecord {
        suspect,
        written_at: unix_now_ms(),
    });
    kept.map(|it| gossip::encode(&it)).unwrap_or_default()
}
