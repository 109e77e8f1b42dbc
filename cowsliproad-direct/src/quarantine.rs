//! The entry's part in refusing requests that crash their targets.
//!
//! What is decided stands in [`cowsliproad_admission::quarantine`]. Here is
//! who is told: other entries at once and then by digests, so that it works
//! while the platform's log is away and within a zone that is cut off; and
//! the log, from the second end on, so that entries that all start anew know
//! it, and one that the others don't reach. What the log brings is waited
//! for, which costs two calls a minute.
//!
//! A log that comes back from an older copy has lost some of it. Whoever has
//! what it lacks writes that again after a random time, first those who wrote
//! it before; as all read what one of them writes, mostly one does.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    rc::Rc,
    time::{SystemTime, UNIX_EPOCH},
};

use cowsliproad_admission::quarantine::{
    CrashId, CrashLedger, QuarantineChange, QuarantineVerdict, WorkDigest,
};
use cowsliproad_kernel::{
    clock::Millis,
    gossip::{self, CrashSuspectRequest, CrashSuspectRequests},
};
use cowsliproad_platform::log::{self, Client, Record};
use cowsliproad_routing::fleet::{ProcessStartUnixMs, Target};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::{sync::Notify, time::timeout};

use crate::{
    ends::MAX_LATENCY,
    entry::{Entry, Source},
    follow::{Contact, Reader, Scope},
    limits::Update,
};

/// Ends from which on work is written to the log. After the first, one end
/// more is the price of all entries' starting anew; written from the first
/// on, each killed target would cost a call for all that it ran.
const WRITTEN_ENDS: usize = 2;

/// How long the log may hold a read: the longest that it allows.
const POLL_TIMEOUT: Millis = Millis(30_000);

/// The least time between two reads of which the first brought nothing.
const MIN_READ_INTERVAL: Millis = Millis(15_000);

/// When work that the log lost is written again: by whoever wrote it before,
/// and by others for each entry, so that one mostly goes first.
const OWN_REWRITE_DELAY: Millis = Millis(300);
const REWRITE_DELAY_PER_ENTRY: Millis = Millis(50);

/// The longest of the latter.
const MAX_REWRITE_DELAY: Millis = Millis(10_000);

/// A target that answers so soon after its end did not end: none has started
/// again by then.
const MIN_RESTART_DELAY: Millis = Millis(1_000);

/// Announcements of before an end are read by then.
const READ_DELAY: Millis = Millis(3_000);

/// Two announcements that lie further apart are not of one reading.
const MIN_RENEWAL_INTERVAL: Millis = Millis(1_000);

/// How often what is over is looked for.
const SWEEP_INTERVAL: Millis = Millis(10_000);

/// Ended targets whose signs of life are looked for, 100 bytes each.
const MAX_ENDED: usize = 1_024;

/// What the entry knows and has to do.
#[derive(Debug, Default)]
pub struct Quarantine {
    ledger: CrashLedger,
    /// Work of which this entry saw something itself.
    own: HashSet<WorkDigest>,
    /// Work that the log is to be told of, and that it was told of.
    unwritten: BTreeSet<WorkDigest>,
    written: HashSet<WorkDigest>,
    /// Work that the log lost, and when it is to be told again.
    lost: BTreeMap<WorkDigest, Millis>,
    /// Ends that are held against work, whose targets may yet show life.
    ended: HashMap<CrashId, Ended>,
    /// Wakes the task that writes.
    due: Rc<Notify>,
    swept: Millis,
}

/// A target that was taken for ended.
#[derive(Clone, Copy, Debug)]
struct Ended {
    /// When it was first heard of.
    at: Millis,
    /// An announcement that was read after the end, and when.
    announced: Option<(u64, Millis)>,
}

/// What stops working with a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Extent {
    /// It alone.
    Target,
    /// The group that goes in lock-step with it.
    Group,
}

/// What the log keeps of a piece of work.
#[derive(Debug, Deserialize, Serialize)]
struct Kept {
    #[serde(rename = "s")]
    suspect: CrashSuspectRequest,
    /// When it was written, as a Unix millisecond.
    #[serde(rename = "t")]
    at: u64,
}

impl Quarantine {
    /// Whether work may run now. Work that is refused counts as seen.
    pub fn admit(
        &mut self,
        work: WorkDigest,
        now: Millis,
    ) -> QuarantineVerdict {
        let verdict = self.ledger.verdict(work, now);
        if verdict != QuarantineVerdict::Allowed {
            self.ledger.record_arrival(work, now);
        }
        verdict
    }

    /// Whether work is refused.
    pub fn refuses(&self, work: WorkDigest, now: Millis) -> bool {
        self.ledger.verdict(work, now) != QuarantineVerdict::Allowed
    }

    /// What other entries are told.
    pub fn updates(
        &self,
        update: Update,
        now: Millis,
    ) -> (CrashSuspectRequests, Vec<u64>) {
        let suspects = match update {
            Update::Changed => self.ledger.broadcast_suspects(now),
            Update::All => self.ledger.broadcast_and_suspended_suspects(now),
        };
        (
            CrashSuspectRequests::pack(suspects),
            self.ledger.recently_retracted_crash_ids(now),
        )
    }

    fn note(&mut self, work: WorkDigest) {
        let known = self.ledger.crash_count(work);
        if self.own.contains(&work) && known >= WRITTEN_ENDS {
            self.unwritten.insert(work);
            self.due.notify_one();
        }
    }

    /// Forgets what is over, and has the log forget it.
    pub fn sweep(&mut self, now: Millis) {
        if now.since(self.swept) < SWEEP_INTERVAL {
            return;
        }
        self.swept = now;
        for work in self.ledger.evict_expired_cases(now) {
            if self.written.remove(&work) {
                self.unwritten.insert(work);
                self.due.notify_one();
            }
        }
        let ledger = &self.ledger;
        self.own.retain(|it| ledger.has_quarantine_case(*it));
        self.written.retain(|it| ledger.has_quarantine_case(*it));
        self.lost.retain(|it, _| ledger.has_quarantine_case(*it));
        self.ended.retain(|end, _| ledger.is_crash_counted(*end));
    }

    /// Work that the log is to be told of now, or when there is some.
    fn due(&mut self, now: Millis) -> Result<WorkDigest, Option<Millis>> {
        let next = self.lost.iter().min_by_key(|it| it.1);
        let next = next.map(|it| (*it.0, *it.1));
        if let Some((work, at)) = next
            && at <= now
        {
            self.lost.remove(&work);
            self.unwritten.insert(work);
        }
        let first = self.unwritten.first().copied();
        first.ok_or(next.map(|it| it.1))
    }

    /// Notes that the log keeps so much of a piece of work.
    fn note_kept(&mut self, kept: &CrashSuspectRequest, now: Millis) {
        let work = WorkDigest(kept.request_hash);
        if let Some(own) = self.ledger.export_suspect(work, now)
            && covers(kept, &own)
        {
            self.lost.remove(&work);
        }
    }

    fn watch(&mut self, end: CrashId, now: Millis) {
        if self.ended.len() < MAX_ENDED {
            let new = Ended { at: now, announced: None };
            self.ended.entry(end).or_insert(new);
        }
    }

    /// What is known of the end of a target, if it is held against work.
    fn end_of(&mut self, target: &Target) -> Option<(CrashId, &mut Ended)> {
        if self.ended.is_empty() {
            return None;
        }
        let end = self.ledger.crash_id(&target.id, target.start.0);
        self.ended.get_mut(&end).map(|it| (end, it))
    }
}

impl Entry {
    /// Notes that a target ended under work, and with it a whole group or the
    /// target alone.
    pub fn note_ended(
        &self,
        target: &Target,
        work: WorkDigest,
        extent: Extent,
        now: Millis,
    ) {
        let mut quarantine = self.quarantine.borrow_mut();
        let end = quarantine.ledger.crash_id(&target.id, target.start.0);
        quarantine.watch(end, now);
        quarantine.own.insert(work);
        let change = quarantine.ledger.record_crash(work, end, now);
        let suspended = match extent {
            Extent::Group => quarantine.ledger.suspend_request(work, now),
            Extent::Target => QuarantineChange::None,
        };
        drop(quarantine);
        self.judged(work, change, Source::Own);
        self.judged(work, suspended, Source::Own);
    }

    /// Notes that a target outlived work.
    pub fn note_outlived(&self, work: WorkDigest, now: Millis) {
        let mut quarantine = self.quarantine.borrow_mut();
        let change = quarantine.ledger.record_survived_request(work, now);
        if change != QuarantineChange::None {
            // What the log keeps of it is to say so too.
            quarantine.own.insert(work);
        }
        drop(quarantine);
        self.judged(work, change, Source::Own);
    }

    /// Notes that a target answers what was sent to it after its end was heard
    /// of. Later it may have started again under its name.
    pub fn note_answer(&self, target: &Target, sent: Millis, now: Millis) {
        let mut quarantine = self.quarantine.borrow_mut();
        let Some((end, ended)) = quarantine.end_of(target) else { return };
        let is_later = sent > ended.at;
        let is_soon = now.since(ended.at) < MIN_RESTART_DELAY;
        drop(quarantine);
        if is_later && is_soon {
            self.note_lives(end, now, Source::Own);
        }
    }

    /// Notes that an agent reads the report of its engine's start. Where the
    /// start isn't told it may be one that came after the target.
    pub fn note_report(
        &self,
        target: &Target,
        start: ProcessStartUnixMs,
        now: Millis,
    ) {
        if start != target.start || start == ProcessStartUnixMs::default() {
            return;
        }
        let mut quarantine = self.quarantine.borrow_mut();
        let Some((end, ended)) = quarantine.end_of(target) else { return };
        let is_later = now.since(ended.at) >= MAX_LATENCY;
        drop(quarantine);
        if is_later {
            self.note_lives(end, now, Source::Own);
        }
    }

    /// Notes that a target renews its announcement.
    pub fn note_announcement(&self, target: &Target, now: Millis) {
        let mut quarantine = self.quarantine.borrow_mut();
        let Some((end, ended)) = quarantine.end_of(target) else { return };
        if now.since(ended.at) < READ_DELAY {
            return;
        }
        let (first, at) = *ended
            .announced
            .get_or_insert((target.announcement_sequence, now));
        drop(quarantine);
        if target.announcement_sequence > first
            && now.since(at) >= MIN_RENEWAL_INTERVAL
        {
            self.note_lives(end, now, Source::Log);
        }
    }

    /// Notes that what was taken for the end of a target was none.
    fn note_lives(&self, end: CrashId, now: Millis, source: Source) {
        let mut quarantine = self.quarantine.borrow_mut();
        if quarantine.ledger.is_crash_retracted(end) {
            return;
        }
        let held = quarantine.ledger.is_crash_counted(end);
        let freed = quarantine.ledger.retract_crash(end, now);
        quarantine.ended.remove(&end);
        drop(quarantine);
        if !held {
            return;
        }
        info!(self.log, "end_taken_back"; "end" => ?end, "source" => ?source);
        for work in freed {
            self.judged(work, QuarantineChange::Freed, source);
        }
        if source != Source::Peer {
            self.rumour.notify_one();
        }
    }

    /// Takes in what another entry tells of work that ends targets.
    pub fn hear_suspects(
        &self,
        suspects: &CrashSuspectRequests,
        lives: &[u64],
        now: Millis,
    ) {
        for end in lives.iter().map(|it| CrashId(*it)) {
            self.note_lives(end, now, Source::Peer);
        }
        for suspect in suspects.unpack() {
            self.hear_suspect(&suspect, now, Source::Peer);
        }
    }

    fn hear_suspect(
        &self,
        suspect: &CrashSuspectRequest,
        now: Millis,
        source: Source,
    ) -> QuarantineChange {
        let mut quarantine = self.quarantine.borrow_mut();
        let change = quarantine.ledger.merge_remote_suspect(suspect, now);
        for end in suspect.crash_ids.iter().map(|it| CrashId(*it)) {
            if change != QuarantineChange::None
                && !quarantine.ledger.is_crash_retracted(end)
            {
                quarantine.watch(end, now);
            }
        }
        drop(quarantine);
        self.judged(WorkDigest(suspect.request_hash), change, source);
        change
    }

    /// Does what follows when something is learnt of a piece of work.
    fn judged(
        &self,
        work: WorkDigest,
        change: QuarantineChange,
        source: Source,
    ) {
        if change == QuarantineChange::None {
            return;
        }
        let now = Millis::now();
        let ends = self.quarantine.borrow().ledger.crash_count(work);
        match change {
            QuarantineChange::None | QuarantineChange::Suspected => {}
            QuarantineChange::Refused => {
                info!(self.log, "work_refused"; "work" => %work,
                    "ends" => ends, "source" => ?source);
                self.measure.quarantined("refused");
                // Requests that wait with it are answered now.
                self.tell_news();
            }
            QuarantineChange::Suspended => {
                let verdict =
                    self.quarantine.borrow().ledger.verdict(work, now);
                info!(self.log, "work_suspended"; "work" => %work,
                    "ends" => ends, "verdict" => ?verdict,
                    "source" => ?source);
                self.measure.quarantined("suspended");
                self.tell_news();
            }
            QuarantineChange::Freed => {
                info!(self.log, "work_freed"; "work" => %work,
                    "ends" => ends, "source" => ?source);
                self.measure.quarantined("freed");
            }
        }
        self.quarantine.borrow_mut().note(work);
        if source == Source::Own {
            self.rumour.notify_one();
        }
    }
}

/// Follows what the log keeps, for ever.
pub async fn follow(entry: Rc<Entry>) {
    let mut reader = Reader::new(&entry, log::QUARANTINE_TOPIC);
    loop {
        let called = Millis::now();
        let reading = match reader.read(&entry, POLL_TIMEOUT).await {
            Ok(reading) => reading,
            Err(error) => {
                reader.recover(&entry, &error).await;
                continue;
            }
        };
        let records = reading.records.iter();
        let kept: Vec<Kept> =
            records.filter_map(|it| decode(&entry, it)).collect();
        let new = kept.iter().filter(|it| take(&entry, it)).count();
        if reading.scope != Scope::New {
            let records = reading.records.len();
            entry.note_read(log::QUARANTINE_TOPIC, records, new);
            note_lost(&entry, &kept);
        } else if reading.records.is_empty() {
            // A log that doesn't hold reads is not asked all the time.
            let rest = (called + MIN_READ_INTERVAL).since(Millis::now());
            let era = entry.rollbacks.era();
            let over = entry.rollbacks.after(era);
            let _ = timeout(rest.duration(), over).await;
        }
    }
}

/// What a record of the log keeps, if it keeps anything. Work that was
/// forgotten elsewhere is forgotten here in its own time.
fn decode(entry: &Entry, record: &Record) -> Option<Kept> {
    let kept = gossip::decode::<Kept>(record.value.as_ref()?);
    if kept.is_none() {
        warn!(entry.log, "strange_record"; "topic" => log::QUARANTINE_TOPIC,
            "key" => &record.key);
    }
    kept
}

/// Takes in what the log keeps, and says whether it told something new.
fn take(entry: &Entry, kept: &Kept) -> bool {
    let now = Millis::now();
    let age = Millis(unix_now()).since(Millis(kept.at));
    let mut suspect = kept.suspect.clone();
    match &mut suspect.rejected_for {
        // It may have come since, which is not written each time.
        Some(refused) => {
            *refused = *refused + age;
            suspect.since_last_received = Millis(0);
        }
        None => {
            suspect.since_last_received = suspect.since_last_received + age
        }
    }
    let change = entry.hear_suspect(&suspect, now, Source::Log);
    let work = WorkDigest(suspect.request_hash);
    let mut quarantine = entry.quarantine.borrow_mut();
    quarantine.note_kept(&suspect, now);
    if quarantine.ledger.export_suspect(work, now).is_none() {
        // It is over, and whoever wrote it may be gone.
        quarantine.unwritten.insert(work);
        quarantine.due.notify_one();
    }
    change != QuarantineChange::None
}

/// Finds the work that the log should keep and lost.
fn note_lost(entry: &Entry, kept: &[Kept]) {
    let now = Millis::now();
    let kept = kept.iter().map(|it| (it.suspect.request_hash, &it.suspect));
    let kept: HashMap<u64, &CrashSuspectRequest> = kept.collect();
    let entries = entry.peers.borrow().entries() as u64;
    let others = Millis(REWRITE_DELAY_PER_ENTRY.0 * entries);
    let others = others.min(MAX_REWRITE_DELAY);
    let known = entry.quarantine.borrow().ledger.snapshot_suspects(now);
    let known =
        known.into_iter().filter(|it| it.crash_ids.len() >= WRITTEN_ENDS);
    for suspect in known {
        let work = WorkDigest(suspect.request_hash);
        if kept.get(&work.0).is_some_and(|it| covers(it, &suspect)) {
            continue;
        }
        let drawn = entry.draw();
        let mut quarantine = entry.quarantine.borrow_mut();
        let wait = match quarantine.written.contains(&work) {
            true => drawn * OWN_REWRITE_DELAY.0 as f64,
            false => OWN_REWRITE_DELAY.0 as f64 + drawn * others.0 as f64,
        };
        let at = now + Millis(wait as u64);
        quarantine.lost.insert(work, at);
        quarantine.due.notify_one();
        info!(entry.log, "work_lost"; "work" => %work, "wait" => wait as u64);
    }
}

/// Whether what the log keeps of a piece of work says all that is known.
fn covers(kept: &CrashSuspectRequest, own: &CrashSuspectRequest) -> bool {
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

/// Writes to the log what it has to keep, for ever.
pub async fn write(entry: Rc<Entry>) {
    let mut client = Client::new(entry.settings().log);
    let mut contact = Contact::new(log::QUARANTINE_TOPIC);
    let due = entry.quarantine.borrow().due.clone();
    loop {
        let now = Millis::now();
        let next = entry.quarantine.borrow_mut().due(now);
        let work = match next {
            Ok(work) => work,
            Err(None) => {
                due.notified().await;
                continue;
            }
            Err(Some(at)) => {
                let wait = at.since(now).duration();
                let _ = timeout(wait, due.notified()).await;
                continue;
            }
        };
        let value = value_of(&entry, work);
        let key = work.to_string();
        client.raise_era(entry.rollbacks.era());
        let written = client.put(log::QUARANTINE_TOPIC, &key, &value).await;
        entry.learn_era(client.era(), Source::Log);
        if let Err(error) = written {
            contact.bad(&entry, &error).await;
            continue;
        }
        contact.good(&entry);
        let mut quarantine = entry.quarantine.borrow_mut();
        quarantine.unwritten.remove(&work);
        if value.is_empty() {
            quarantine.written.remove(&work);
        } else {
            quarantine.written.insert(work);
        }
        drop(quarantine);
        info!(entry.log, "work_written"; "work" => %work,
            "bytes" => value.len());
    }
}

/// What the log is to keep of work; nothing if it is to forget it.
fn value_of(entry: &Entry, work: WorkDigest) -> Vec<u8> {
    let suspect =
        entry.quarantine.borrow().ledger.export_suspect(work, Millis::now());
    // A suspension is over before others read it again.
    let suspect =
        suspect.map(|it| CrashSuspectRequest { suspension_left: None, ..it });
    let kept = suspect.map(|suspect| Kept { suspect, at: unix_now() });
    kept.map(|it| gossip::encode(&it)).unwrap_or_default()
}

/// The time of day, for records that outlive this process.
fn unix_now() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |it| it.as_millis() as u64)
}
