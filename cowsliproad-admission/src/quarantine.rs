//! Quarantine of crash-inducing requests, which crash the targets that run
//! them.
//!
//! The attempts of one caller have different request ids and arrive at any
//! entry process. A crash-inducing request would be new to each entry process,
//! and would crash one target after the other, unless entry processes
//! recognise the request by a digest of its content ([`WorkDigest`]). Each
//! entry process records which requests were running when a target crashed,
//! and gossips this to the other entry processes ([`CrashSuspectRequest`]).
//! Once [`CRASH_THRESHOLD`] targets have crashed under one request, all entry
//! processes refuse that request ([`CrashLedger::verdict`]).
//!
//! Where targets work in lock-step, the crash of one target stops its whole
//! group, and three crashes would stop the group three times. So requests that
//! a rank was running when it crashed, and had not begun to answer, are
//! suspended at once ([`CrashLedger::suspend_request`]): no target gets them
//! for [`SUSPENSION_TTL`], and for twice as long after each further crash.
//! Meanwhile this also rejects requests that the rank ran by chance. Their
//! number is bounded by what one rank runs, and requests that a target has
//! survived are not suspended.
//!
//! Other requests run beside a crash-inducing one, and targets crash for other
//! reasons, so a crash alone proves little. Three rules limit wrong refusals:
//!
//! * When a target survives a request, all crashes known so far no longer
//!   count against the request, at all entry processes, and from then on the
//!   request is refused only after [`SURVIVED_REQUEST_CRASH_THRESHOLD`]
//!   further crashes. A frequent request runs on many targets that are killed,
//!   and is survived all along.
//! * A crash report is retracted at all entry processes once the target shows
//!   signs of life ([`CrashLedger::retract_crash`]), because a target behind a
//!   network partition looks like a crashed one. The next crash of that target
//!   has another id ([`CrashLedger::crash_id`]) and counts again.
//! * Everything known about a request expires [`SUSPECT_TTL`] after the
//!   request last arrived, and [`REFUSAL_TTL`] after it was first refused, so
//!   that targets that were repaired get the request again. Retrying it sooner
//!   would cost a target each time.
//!
//! The sets that entry processes gossip (crashes, excused crashes, retracted
//! crashes) only grow, so messages may arrive late, twice and in any order,
//! and all entry processes converge.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap, HashSet},
};

use cowsliproad_kernel::{clock::Millis, gossip::CrashSuspectRequest};

use self::case::QuarantineCase;
pub use self::{
    parts::Admission,
    work::{CrashId, Fingerprint, PartList, WorkDigest},
};

mod case;
mod parts;
mod work;

/// The number of target crashes after which a request is refused, if no target
/// is known to have survived the request. A lower threshold would refuse
/// requests that ran by chance on two targets that were killed.
pub const CRASH_THRESHOLD: usize = 3;

/// The number of target crashes since the last survival after which a request
/// is refused, if a target survived the request in the last minutes.
pub const SURVIVED_REQUEST_CRASH_THRESHOLD: usize = 6;

/// How long a request is suspected after it last arrived at any entry process.
/// Each entry process decides by its own clock.
pub const SUSPECT_TTL: Millis = Millis(10 * 60 * 1_000);

/// The longest time for which a request is refused. Finding out whether the
/// request still crashes targets then costs three targets an hour.
pub const REFUSAL_TTL: Millis = Millis(60 * 60 * 1_000);

/// How long a request is suspended after the first crash of a rank that ran
/// the request.
pub const SUSPENSION_TTL: Millis = Millis(30_000);

/// How long an entry process broadcasts what it observed itself: in eight
/// gossip messages, one every half second, of which seven may be lost.
const OBSERVATION_BROADCAST_TTL: Millis = Millis(4_000);

/// How long an entry process relays what another entry process observed, for
/// the entry processes that the observer can't reach: in two gossip messages,
/// one every half second.
const OBSERVATION_RELAY_TTL: Millis = Millis(1_000);

/// The number of target crashes from which the case of a request is relayed to
/// other entry processes. With one crash, every request that ran on killed
/// targets would be relayed.
const MIN_CRASHES_TO_RELAY: usize = 2;

/// The maximum number of quarantine cases in one gossip message. With 8 to 35
/// bytes each, the cases take less than a third of the largest datagram.
const MAX_BROADCAST_CASES: usize = 512;

/// The maximum number of quarantine cases that a ledger keeps, 350 bytes each.
/// A target that crashes adds some 50 cases: the requests that were running or
/// queued there.
const MAX_QUARANTINE_CASES: usize = 4_096;

/// The maximum number of target crashes recorded against one request.
const MAX_CRASHES_PER_REQUEST: usize = 8;

/// The maximum number of target crashes recorded against one prompt part. Many
/// requests with a part may crash their targets at the same moment, and other
/// parts are compared by these crashes.
const MAX_CRASHES_PER_PROMPT_PART: usize = 16;

/// The maximum number of excused crashes recorded per request: target crashes
/// that no longer count against the request, because a target survived the
/// request later.
const MAX_EXCUSED_CRASHES_PER_REQUEST: usize = 16;

/// The maximum number of retracted crash reports that a ledger keeps: enough
/// for all targets of an availability zone that a network partition made look
/// crashed.
const MAX_CRASH_RETRACTIONS: usize = 1_024;

/// The maximum number of crash reports that may be retracted for one start of
/// a target. Further losses of contact with the target within an hour don't
/// count as crashes.
const MAX_RETRACTIONS_PER_TARGET_START: usize = 16;

/// The maximum number of requests in each of the two generations of survived
/// requests, 9 bytes each.
const MAX_SURVIVED_REQUESTS_PER_GENERATION: usize = 4_096;

/// The time after which a new generation of survived requests begins and the
/// older of the two generations is forgotten.
const SURVIVED_GENERATION_INTERVAL: Millis = Millis(5 * 60 * 1_000);

/// The longest gossip delay that is tolerated in the reported time of a
/// request's last arrival. Without a tolerance, each exchange between entry
/// processes would move that time forward by the delay and postpone the
/// expiry.
const MAX_GOSSIP_DELAY: Millis = Millis(1_000);

/// The longest suspension of a request: [`SUSPENSION_TTL`] doubles with each
/// further crash until [`CRASH_THRESHOLD`] crashes refuse the request.
const MAX_SUSPENSION_TIME: Millis =
    Millis(SUSPENSION_TTL.0 << (CRASH_THRESHOLD - 2));

/// The interval between removals of expired quarantine cases.
const EXPIRY_SWEEP_INTERVAL: Millis = Millis(10_000);

/// The offset added to all clock readings of a ledger, so that times before
/// the start of the process, which other entry processes report, are not
/// negative.
const LEDGER_CLOCK_OFFSET: Millis = Millis(24 * 60 * 60 * 1_000);

/// Whether a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineVerdict {
    /// The request may run.
    Allowed,
    /// The request is refused, and may be retried after this time.
    Refused(Millis),
    /// The request is suspended for this time.
    Suspended(Millis),
}

/// How an observation or a gossip message changed the state of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineChange {
    /// The state of the request is unchanged.
    None,
    /// The request is newly suspected, or its recorded crashes or survival
    /// changed.
    Suspected,
    /// The request is now suspended.
    Suspended,
    /// The request is now refused.
    Refused,
    /// The request is no longer refused or suspended.
    Freed,
}

/// The suspected, suspended and refused requests that one entry process or
/// agent has recorded.
#[derive(Debug, Default)]
pub struct CrashLedger {
    cases: HashMap<WorkDigest, QuarantineCase>,
    /// Retracted crashes, and when each crash was retracted or last reported
    /// by an entry process that missed the retraction.
    retracted: HashMap<CrashId, Millis>,
    survived_work: SurvivedRequests,
    /// Prompt parts with which an answer has begun.
    survived_parts: SurvivedRequests,
    /// Prompt parts that too many crashes count against.
    accused_parts: Vec<WorkDigest>,
    /// Changes of parts that followed from updates of other parts.
    part_changes: Vec<(WorkDigest, QuarantineChange)>,
    /// The requests that arrived at this process.
    request_count: u64,
    last_sweep_at: Millis,
}

/// Requests that targets survived, in two generations. Once the newer
/// generation is full or too old, it replaces the older one, so memory stays
/// bounded without an expiry time per request.
#[derive(Debug, Default)]
struct SurvivedRequests {
    newer_generation: HashSet<WorkDigest>,
    older_generation: HashSet<WorkDigest>,
    /// When the newer generation of survived requests began.
    newer_generation_start: Millis,
}

impl CrashLedger {
    /// Creates a ledger without crashes.
    pub fn new() -> CrashLedger {
        CrashLedger::default()
    }

    /// Returns whether a request may run now.
    pub fn verdict(&self, work: WorkDigest, now: Millis) -> QuarantineVerdict {
        if self.cases.is_empty() {
            return QuarantineVerdict::Allowed;
        }
        let now = now + LEDGER_CLOCK_OFFSET;
        let case = self.cases.get(&work).filter(|it| !it.is_expired(now));
        let Some(case) = case else { return QuarantineVerdict::Allowed };
        if let Some(since) = case.refused_since {
            let left = (since + REFUSAL_TTL).since(now);
            return QuarantineVerdict::Refused(SUSPECT_TTL.min(left));
        }
        case.remaining_suspension(now)
            .map_or(QuarantineVerdict::Allowed, QuarantineVerdict::Suspended)
    }

    /// Suspends a request that a rank of a group was running when it crashed,
    /// unless a target is known to have survived the request.
    pub fn suspend_request(
        &mut self,
        work: WorkDigest,
        now: Millis,
    ) -> QuarantineChange {
        let now = now + LEDGER_CLOCK_OFFSET;
        let Some(case) = self.cases.get_mut(&work) else {
            return QuarantineChange::None;
        };
        if case.completed_without_crash
            || case.crashes.is_empty()
            || case.refused_since.is_some()
        {
            return QuarantineChange::None;
        }
        let doublings = case.crashes.len() as u32 - 1;
        case.suspended_until =
            Some(now + Millis(SUSPENSION_TTL.0 << doublings));
        case.broadcast_until = now + OBSERVATION_BROADCAST_TTL;
        QuarantineChange::Suspended
    }

    /// Records that a refused or suspended request arrived again.
    pub fn record_arrival(&mut self, work: WorkDigest, now: Millis) {
        if let Some(case) = self.cases.get_mut(&work) {
            case.last_arrival = now + LEDGER_CLOCK_OFFSET;
            if let Some(trial) = &mut case.trial {
                trial.rejections += 1;
            }
        }
    }

    /// Records that a target crashed while it ran a request.
    pub fn record_crash(
        &mut self,
        work: WorkDigest,
        crash: CrashId,
        now: Millis,
    ) -> QuarantineChange {
        let suspect = CrashSuspectRequest {
            request_hash: work.0,
            crash_ids: vec![crash.0],
            excused_crash_ids: Vec::new(),
            completed_without_crash: false,
            since_last_received: Millis(0),
            rejected_for: None,
            suspension_left: None,
            failed_trials: self.failed_trials_after_crash(work),
        };
        self.merge_suspect(&suspect, OBSERVATION_BROADCAST_TTL, now)
    }

    /// Records that a target survived a request, or began to answer a request
    /// with a prompt part.
    pub fn record_survived_request(
        &mut self,
        work: WorkDigest,
        now: Millis,
    ) -> QuarantineChange {
        let survived = if work.is_prompt_part() {
            &mut self.survived_parts
        } else {
            &mut self.survived_work
        };
        survived.insert_survived_request(work, now);
        let now = now + LEDGER_CLOCK_OFFSET;
        let Some(case) = self.cases.get_mut(&work) else {
            return QuarantineChange::None;
        };
        if case.completed_without_crash && case.crashes.is_empty() {
            return QuarantineChange::None;
        }
        case.completed_without_crash = true;
        let crashes = case.crashes.len();
        for crash in std::mem::take(&mut case.crashes) {
            case.stop_counting_crash(crash);
        }
        case.broadcast_until = now + OBSERVATION_BROADCAST_TTL;
        match self.update_refusal(work, crashes, now) {
            QuarantineChange::None => QuarantineChange::Suspected,
            change => change,
        }
    }

    /// Updates the refusals that may change with the case of a request or a
    /// prompt part, of which up to `crashes` counted before or after the
    /// update. Returns the change of that case.
    fn update_refusal(
        &mut self,
        work: WorkDigest,
        crashes: usize,
        now: Millis,
    ) -> QuarantineChange {
        let Some(case) = self.cases.get_mut(&work) else {
            return QuarantineChange::None;
        };
        if work.is_prompt_part() {
            return match crashes >= CRASH_THRESHOLD {
                true => self.update_part_refusals(Some(work), now),
                false => QuarantineChange::None,
            };
        }
        let change = case.update_refusal(now);
        if matches!(
            change,
            QuarantineChange::Refused | QuarantineChange::Freed
        ) {
            self.update_part_refusals(None, now);
        }
        change
    }

    /// Merges what another process, or the stored state of an earlier process,
    /// reports about a request.
    pub fn merge_remote_suspect(
        &mut self,
        suspect: &CrashSuspectRequest,
        now: Millis,
    ) -> QuarantineChange {
        self.merge_suspect(suspect, OBSERVATION_RELAY_TTL, now)
    }

    /// Merges an observation of a request, and broadcasts the request's case
    /// for `broadcast_ttl` if the observation changed the case.
    fn merge_suspect(
        &mut self,
        suspect: &CrashSuspectRequest,
        broadcast_ttl: Millis,
        now: Millis,
    ) -> QuarantineChange {
        let now = now + LEDGER_CLOCK_OFFSET;
        let refused = suspect.rejected_for.unwrap_or_default();
        if suspect.since_last_received >= SUSPECT_TTL || refused >= REFUSAL_TTL
        {
            return QuarantineChange::None;
        }
        let work = WorkDigest(suspect.request_hash);
        if !self.cases.contains_key(&work) {
            self.evict_case_if_full();
        }
        let (completed_without_crash, max_crashes) = if work.is_prompt_part() {
            let survived = self.survived_parts.is_survived_request(work);
            (survived, MAX_CRASHES_PER_PROMPT_PART)
        } else {
            let survived = self.survived_work.is_survived_request(work);
            (survived, MAX_CRASHES_PER_REQUEST)
        };
        let case = self.cases.entry(work).or_insert_with(|| QuarantineCase {
            crashes: BTreeSet::new(),
            excused_crashes: Vec::new(),
            completed_without_crash,
            last_arrival: now - suspect.since_last_received,
            refused_since: None,
            suspended_until: None,
            broadcast_until: now,
            trial: None,
        });
        if case.is_expired(now) {
            case.refused_since = None;
            case.trial = None;
            case.suspended_until = None;
            case.crashes.clear();
        }
        if now.since(case.last_arrival)
            > suspect.since_last_received + MAX_GOSSIP_DELAY
        {
            case.last_arrival = now - suspect.since_last_received;
        }
        let before = (
            case.crashes.len(),
            case.excused_crashes.len(),
            case.completed_without_crash,
        );
        // A sender that doesn't report the survival, or still counts a crash
        // that was excused or retracted, has missed that update and would soon
        // refuse a request that every caller sends.
        let mut missed_update =
            case.completed_without_crash && !suspect.completed_without_crash;
        case.completed_without_crash |= suspect.completed_without_crash;
        for crash in suspect.excused_crash_ids.iter().map(|it| CrashId(*it)) {
            case.stop_counting_crash(crash);
        }
        for crash in suspect.crash_ids.iter().map(|it| CrashId(*it)) {
            if let Some(reported_at) = self.retracted.get_mut(&crash) {
                *reported_at = now;
            } else if case.excused_crashes.contains(&crash) {
                missed_update = true;
            } else if case.crashes.len() < max_crashes {
                case.crashes.insert(crash);
            }
        }
        let after = (
            case.crashes.len(),
            case.excused_crashes.len(),
            case.completed_without_crash,
        );
        // Each crash extends a suspension at most once: a later message about
        // the same crash may have been delayed in a stalled process.
        let may_extend = after.0 > before.0 || case.suspended_until.is_none();
        let suspends =
            may_extend && case.extend_suspension(suspect.suspension_left, now);
        let has_changed = after != before || suspends;
        let is_relayed = case.crashes.len() >= MIN_CRASHES_TO_RELAY
            || case.completed_without_crash
            || suspends;
        if missed_update
            || has_changed
                && (is_relayed || broadcast_ttl == OBSERVATION_BROADCAST_TTL)
        {
            case.broadcast_until =
                case.broadcast_until.max(now + broadcast_ttl);
        }
        let change = self.update_refusal(work, before.0.max(after.0), now);
        if let Some(case) = self.cases.get_mut(&work)
            && let (Some(since), Some(_)) =
                (&mut case.refused_since, suspect.rejected_for)
        {
            *since = (*since).min(now - refused);
        }
        self.merge_failed_trials(work, suspect.failed_trials, now);
        match change {
            QuarantineChange::None if suspends => QuarantineChange::Suspended,
            QuarantineChange::None if has_changed => {
                QuarantineChange::Suspected
            }
            change => change,
        }
    }

    /// Retracts a crash whose target turned out to be alive. Returns the
    /// requests that are no longer refused or suspended.
    pub fn retract_crash(
        &mut self,
        crash: CrashId,
        now: Millis,
    ) -> Vec<WorkDigest> {
        let now = now + LEDGER_CLOCK_OFFSET;
        if self.is_crash_retracted(crash) {
            return Vec::new();
        }
        self.retracted.insert(crash, now);
        if self.retracted.len() > MAX_CRASH_RETRACTIONS {
            let oldest = self.retracted.iter().min_by_key(|it| it.1);
            if let Some(oldest) = oldest.map(|it| *it.0) {
                self.retracted.remove(&oldest);
            }
        }
        let mut freed = Vec::new();
        for (work, case) in &mut self.cases {
            if case.crashes.remove(&crash)
                && !work.is_prompt_part()
                && case.update_refusal(now) == QuarantineChange::Freed
            {
                freed.push(*work);
            }
        }
        self.update_part_refusals(None, now);
        freed
    }

    /// Returns the id for a new crash of the target that started at
    /// `target_start_time`: the first id for that start that was not
    /// retracted.
    pub fn crash_id(&self, target: &str, target_start_time: u64) -> CrashId {
        let mut crash = CrashId::new(target, target_start_time);
        for _ in 0..MAX_RETRACTIONS_PER_TARGET_START {
            if !self.is_crash_retracted(crash) {
                break;
            }
            crash = crash.crash_id_after_retraction();
        }
        crash
    }

    /// Returns whether the report of a target crash was retracted.
    pub fn is_crash_retracted(&self, crash: CrashId) -> bool {
        self.retracted.contains_key(&crash)
    }

    /// Returns whether the ledger has a quarantine case for a request.
    pub fn has_quarantine_case(&self, work: WorkDigest) -> bool {
        self.cases.contains_key(&work)
    }

    /// Returns whether a target crash counts against any request.
    pub fn is_crash_counted(&self, crash: CrashId) -> bool {
        self.cases.values().any(|it| it.crashes.contains(&crash))
    }

    /// Returns the number of target crashes that count against a request.
    pub fn crash_count(&self, work: WorkDigest) -> usize {
        self.cases.get(&work).map_or(0, |it| it.crashes.len())
    }

    /// Returns the number of requests that the ledger has a quarantine case
    /// for.
    pub fn case_count(&self) -> usize {
        self.cases.len()
    }

    /// Returns the quarantine case of a request as a gossip message, to be
    /// sent or stored.
    pub fn export_suspect(
        &self,
        work: WorkDigest,
        now: Millis,
    ) -> Option<CrashSuspectRequest> {
        let now = now + LEDGER_CLOCK_OFFSET;
        self.cases.get(&work).map(|it| it.to_suspect(work, now))
    }

    /// Returns the quarantine cases to broadcast: those of refused requests
    /// and those that changed recently.
    pub fn broadcast_suspects(&self, now: Millis) -> Vec<CrashSuspectRequest> {
        self.select_broadcast_suspects(now, |case, now| {
            case.is_broadcast_due(now)
        })
    }

    /// Returns the quarantine cases to broadcast and those of suspended
    /// requests, for entry processes that may have missed a suspension.
    pub fn broadcast_and_suspended_suspects(
        &self,
        now: Millis,
    ) -> Vec<CrashSuspectRequest> {
        self.select_broadcast_suspects(now, |case, now| {
            case.is_broadcast_due(now)
                || case.remaining_suspension(now).is_some()
        })
    }

    /// Returns up to [`MAX_BROADCAST_CASES`] of the quarantine cases that
    /// `is_selected` accepts: refused requests first, then the requests with
    /// the most crashes.
    fn select_broadcast_suspects(
        &self,
        now: Millis,
        is_selected: impl Fn(&QuarantineCase, Millis) -> bool,
    ) -> Vec<CrashSuspectRequest> {
        let now = now + LEDGER_CLOCK_OFFSET;
        let mut selected: Vec<(&WorkDigest, &QuarantineCase)> =
            self.cases.iter().filter(|it| is_selected(it.1, now)).collect();
        // Cases that this process observed itself come before relayed cases,
        // because they are broadcast for longer.
        selected.sort_by_key(|(_, case)| {
            let crashes = Reverse(case.crashes.len());
            (
                case.refused_since.is_none(),
                crashes,
                Reverse(case.broadcast_until),
            )
        });
        selected.truncate(MAX_BROADCAST_CASES);
        selected.into_iter().map(|it| it.1.to_suspect(*it.0, now)).collect()
    }

    /// Returns the unexpired quarantine cases with the most crashes, for a
    /// peer that was unreachable.
    pub fn snapshot_suspects(&self, now: Millis) -> Vec<CrashSuspectRequest> {
        let now = now + LEDGER_CLOCK_OFFSET;
        let cases = self.cases.iter().filter(|it| !it.1.is_expired(now));
        let mut cases: Vec<CrashSuspectRequest> =
            cases.map(|it| it.1.to_suspect(*it.0, now)).collect();
        cases.sort_by_key(|it| {
            (Reverse(it.crash_ids.len()), it.since_last_received)
        });
        cases.truncate(MAX_BROADCAST_CASES);
        cases
    }

    /// Returns the ids of the crashes whose retraction is still broadcast.
    pub fn recently_retracted_crash_ids(&self, now: Millis) -> Vec<u64> {
        let now = now + LEDGER_CLOCK_OFFSET;
        let is_recent = |at: Millis| now.since(at) < OBSERVATION_BROADCAST_TTL;
        let recent = self.retracted.iter().filter(|it| is_recent(*it.1));
        recent.take(MAX_BROADCAST_CASES).map(|it| it.0.0).collect()
    }

    /// Removes expired quarantine cases and retractions, at most once in
    /// [`EXPIRY_SWEEP_INTERVAL`]. Returns the requests whose cases were
    /// removed.
    pub fn evict_expired_cases(&mut self, now: Millis) -> Vec<WorkDigest> {
        if now.since(self.last_sweep_at) < EXPIRY_SWEEP_INTERVAL {
            return Vec::new();
        }
        self.last_sweep_at = now;
        let now = now + LEDGER_CLOCK_OFFSET;
        self.retracted.retain(|_, at| now.since(*at) < REFUSAL_TTL);
        let is_expired = |it: &QuarantineCase| it.is_expired(now);
        let expired = self.cases.iter().filter(|it| is_expired(it.1));
        let expired: Vec<WorkDigest> = expired.map(|it| *it.0).collect();
        for work in &expired {
            self.cases.remove(work);
        }
        if !expired.is_empty() {
            self.update_part_refusals(None, now);
        }
        expired
    }

    /// Evicts one quarantine case if the ledger is full: preferably the case
    /// of a request that is not refused, then the case with the fewest
    /// crashes, then the case whose request arrived the longest time ago.
    fn evict_case_if_full(&mut self) {
        if self.cases.len() < MAX_QUARANTINE_CASES {
            return;
        }
        let priority = |it: &QuarantineCase| {
            (it.refused_since.is_some(), it.crashes.len(), it.last_arrival)
        };
        let lowest = self.cases.iter().min_by_key(|it| priority(it.1));
        if let Some(lowest) = lowest.map(|it| *it.0) {
            self.cases.remove(&lowest);
        }
    }
}

impl SurvivedRequests {
    fn insert_survived_request(&mut self, work: WorkDigest, now: Millis) {
        let is_old = now.since(self.newer_generation_start)
            >= SURVIVED_GENERATION_INTERVAL;
        if is_old
            || self.newer_generation.len()
                >= MAX_SURVIVED_REQUESTS_PER_GENERATION
        {
            self.older_generation = std::mem::take(&mut self.newer_generation);
            self.newer_generation_start = now;
        }
        self.newer_generation.insert(work);
    }

    fn is_survived_request(&self, work: WorkDigest) -> bool {
        self.newer_generation.contains(&work)
            || self.older_generation.contains(&work)
    }
}
