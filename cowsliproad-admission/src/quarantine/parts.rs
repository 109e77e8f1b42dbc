//! Refusal of prompt parts that crash the targets of all requests with them.
//!
//! A crash suspects all parts of all requests that the target had not begun to
//! answer, though at most one of these parts is at fault. Three rules tell
//! that part from the others:
//!
//! * An answer that has begun clears all parts of its prompt. Parts that many
//!   requests have are cleared all the time.
//! * A crash that a refused part or request explains no longer counts against
//!   parts with weaker evidence: parts that targets answered in the last
//!   minutes, and parts that ran at fewer crashes. So a part that runs beside
//!   the one at fault is not refused with it.
//! * Parts that ran at exactly the same crashes are refused only together.
//!   A request with some of them tells them apart: its crash, or its answer,
//!   is new evidence.
//!
//! The refusals follow from the recorded crashes and survivals alone, so all
//! entry processes that have the same records refuse the same parts.
//!
//! A part may be refused that is not at fault, if targets crashed for another
//! reason. So now and then one request with the part is sent as a trial.
//! Entry processes begin trials at different times ([`admit_request`]); the
//! first answer frees the part at all of them, and a crash postpones all
//! trials. A part that most requests have is tried at once, because refusing
//! it stops the service.
//!
//! [`admit_request`]: CrashLedger::admit_request

use std::{cmp::Reverse, collections::BTreeSet};

use cowsliproad_kernel::clock::Millis;

use super::{
    CrashId, CrashLedger, Fingerprint, LEDGER_CLOCK_OFFSET, QuarantineChange,
    QuarantineVerdict, REFUSAL_TTL, SUSPECT_TTL, WorkDigest,
    case::{PartTrial, QuarantineCase},
};

/// The time from the refusal of a part to the first trial, which doubles with
/// each trial that crashes its target. Each trial may cost a target, or stop a
/// group.
const PART_TRIAL_INTERVAL: Millis = Millis(10 * 60 * 1_000);

/// The time from the refusal of a part to the first trial if most requests
/// have the part. Crashes that happen together are known by then.
const COMMON_PART_TRIAL_DELAY: Millis = Millis(1_000);

/// The interval between trials of a part that most requests have: the time for
/// an answer to begin and for other entry processes to learn of it.
const COMMON_PART_TRIAL_INTERVAL: Millis = Millis(2_000);

/// Most requests have a part if, since its refusal, at least this share of all
/// requests was rejected for it.
const MIN_COMMON_PART_PERCENT: u64 = 75;

/// The rejections for a part before it is known whether most requests have it.
const COMMON_PART_MIN_REJECTIONS: u64 = 8;

/// What may refuse a request that is not refused now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The content of the request, or the parts of its prompt.
    Regular,
    /// Only the content of the request, which is a trial of its parts.
    Trial,
}

/// The strength of the evidence against a part or a request. Evidence is
/// weaker if a target answered the part in the last minutes, and stronger with
/// more crashes. Among equals a request comes before the parts that it has.
type Evidence = (bool, Reverse<usize>, bool);

impl CrashLedger {
    /// Returns whether a request may run now, by its content and by the parts
    /// of its prompt.
    pub fn verdict_on_request(
        &self,
        fingerprint: &Fingerprint,
        now: Millis,
    ) -> QuarantineVerdict {
        match self.verdict(fingerprint.request, now) {
            QuarantineVerdict::Allowed => {
                self.verdict_on_parts(&fingerprint.prompt_parts, now)
            }
            verdict => verdict,
        }
    }

    /// Returns whether a request may run now that was admitted before.
    pub fn verdict_on_admitted(
        &self,
        fingerprint: &Fingerprint,
        admission: Admission,
        now: Millis,
    ) -> QuarantineVerdict {
        match admission {
            Admission::Regular => self.verdict_on_request(fingerprint, now),
            Admission::Trial => self.verdict(fingerprint.request, now),
        }
    }

    /// Decides whether a request that has arrived may run now, and records its
    /// arrival if not. A request that is refused for its parts may become the
    /// trial of these parts, `trial_stagger` after a trial is due.
    pub fn admit_request(
        &mut self,
        fingerprint: &Fingerprint,
        trial_stagger: Millis,
        now: Millis,
    ) -> (QuarantineVerdict, Admission) {
        let verdict = self.verdict(fingerprint.request, now);
        if verdict != QuarantineVerdict::Allowed {
            self.record_arrival(fingerprint.request, now);
            return (verdict, Admission::Regular);
        }
        let parts = &fingerprint.prompt_parts;
        let verdict = self.verdict_on_parts(parts, now);
        if verdict == QuarantineVerdict::Allowed {
            return (verdict, Admission::Regular);
        }
        let refused = self.refused_parts_of(parts, now);
        for part in &refused {
            self.record_arrival(*part, now);
        }
        let is_due = |it: &WorkDigest| {
            self.is_trial_due(*it, now - trial_stagger.min(now))
        };
        if !refused.iter().all(is_due) {
            return (verdict, Admission::Regular);
        }
        for part in &refused {
            self.postpone_trial(*part, now);
        }
        (QuarantineVerdict::Allowed, Admission::Trial)
    }

    /// Counts a request that arrived, whatever its parts.
    pub fn count_request(&mut self) {
        self.request_count += 1;
    }

    /// Removes the refusals and releases of parts that followed from updates
    /// of other parts and requests, and returns them.
    pub fn take_part_changes(
        &mut self,
    ) -> Vec<(WorkDigest, QuarantineChange)> {
        std::mem::take(&mut self.part_changes)
    }

    fn verdict_on_parts(
        &self,
        parts: &[WorkDigest],
        now: Millis,
    ) -> QuarantineVerdict {
        let refused = self.refused_parts_of(parts, now);
        let retry_after = |it: &WorkDigest| self.retry_after(*it, now);
        let longest = refused.iter().map(retry_after).max();
        longest.map_or(QuarantineVerdict::Allowed, QuarantineVerdict::Refused)
    }

    /// The parts for which a request with all of `parts` is refused.
    fn refused_parts_of(
        &self,
        parts: &[WorkDigest],
        now: Millis,
    ) -> Vec<WorkDigest> {
        if self.refused_parts.is_empty() {
            return Vec::new();
        }
        let now = now + LEDGER_CLOCK_OFFSET;
        let refused = |it: WorkDigest| {
            let case = self.cases.get(&it)?;
            (case.refused_since.is_some() && !case.is_expired(now))
                .then_some(&case.crashes)
        };
        let has_all_like = |crashes: &BTreeSet<CrashId>| {
            let alike = self.refused_parts.iter();
            let mut alike = alike.filter(|it| refused(**it) == Some(crashes));
            alike.all(|it| parts.contains(it))
        };
        let of_request = parts.iter().copied();
        of_request
            .filter(|it| refused(*it).is_some_and(has_all_like))
            .collect()
    }

    fn retry_after(&self, part: WorkDigest, now: Millis) -> Millis {
        let now = now + LEDGER_CLOCK_OFFSET;
        let case = self.cases.get(&part);
        let since = case.and_then(|it| it.refused_since);
        if case.is_some_and(|it| self.is_common_part(it)) {
            return COMMON_PART_TRIAL_INTERVAL;
        }
        let left = (since.unwrap_or_default() + REFUSAL_TTL).since(now);
        SUSPECT_TTL.min(left)
    }

    fn is_common_part(&self, case: &QuarantineCase) -> bool {
        let Some(trial) = &case.trial else { return false };
        let requests = self.request_count - trial.request_count_before;
        trial.failed_trials == 0
            && trial.rejections >= COMMON_PART_MIN_REJECTIONS
            && trial.rejections * 100 >= requests * MIN_COMMON_PART_PERCENT
    }

    fn is_trial_due(&self, part: WorkDigest, now: Millis) -> bool {
        let now = now + LEDGER_CLOCK_OFFSET;
        let Some(case) = self.cases.get(&part) else { return false };
        let Some(trial) = &case.trial else { return false };
        now >= trial.due_at
            || now >= trial.due_at_if_common && self.is_common_part(case)
    }

    fn postpone_trial(&mut self, part: WorkDigest, now: Millis) {
        let now = now + LEDGER_CLOCK_OFFSET;
        let Some(case) = self.cases.get_mut(&part) else { return };
        let Some(trial) = &mut case.trial else { return };
        trial.due_at = now + trial_interval(trial.failed_trials);
        trial.due_at_if_common = now + COMMON_PART_TRIAL_INTERVAL;
        trial.is_in_progress = true;
    }

    /// The number of failed trials of a part, including this process's trial in
    /// progress, whose target has crashed.
    pub(super) fn failed_trials_after_crash(&self, work: WorkDigest) -> u32 {
        let case = self.cases.get(&work);
        case.and_then(|it| it.trial.as_ref()).map_or(0, |trial| {
            trial.failed_trials + u32::from(trial.is_in_progress)
        })
    }

    /// Postpones the trials of a part of which more have failed than known.
    pub(super) fn merge_failed_trials(
        &mut self,
        work: WorkDigest,
        failed_trials: u32,
        now: Millis,
    ) {
        let case = self.cases.get_mut(&work);
        let trial = case.and_then(|it| it.trial.as_mut());
        let Some(trial) = trial else { return };
        if failed_trials > trial.failed_trials {
            trial.failed_trials = failed_trials;
            trial.due_at = now + trial_interval(failed_trials);
            trial.is_in_progress = false;
        }
    }

    /// Refuses the parts that the recorded crashes blame, and frees all others.
    /// Returns the change of the part `updated`; the changes of other parts are
    /// kept for [`CrashLedger::take_part_changes`].
    pub(super) fn update_part_refusals(
        &mut self,
        updated: Option<WorkDigest>,
        now: Millis,
    ) -> QuarantineChange {
        let refused = self.parts_to_refuse(now);
        let mut updated_change = QuarantineChange::None;
        let before = std::mem::replace(&mut self.refused_parts, refused);
        let freed = before
            .into_iter()
            .filter(|it| !self.refused_parts.contains(it))
            .map(|it| (it, QuarantineChange::Freed));
        let is_new = |it: &WorkDigest| {
            self.cases.get(it).is_some_and(|it| it.refused_since.is_none())
        };
        let new = self.refused_parts.iter().copied().filter(is_new);
        let new = new.map(|it| (it, QuarantineChange::Refused));
        let changes: Vec<_> = freed.chain(new).collect();
        for (part, change) in changes {
            if let Some(case) = self.cases.get_mut(&part) {
                let is_refused = change == QuarantineChange::Refused;
                case.refused_since = is_refused.then_some(now);
                case.trial = is_refused.then(|| {
                    Box::new(PartTrial {
                        due_at: now + PART_TRIAL_INTERVAL,
                        due_at_if_common: now + COMMON_PART_TRIAL_DELAY,
                        is_in_progress: false,
                        failed_trials: 0,
                        rejections: 0,
                        request_count_before: self.request_count,
                    })
                });
            }
            if Some(part) == updated {
                updated_change = change;
            } else {
                self.part_changes.push((part, change));
            }
        }
        updated_change
    }

    /// The parts that enough crashes count against which no stronger evidence
    /// explains.
    fn parts_to_refuse(&self, now: Millis) -> Vec<WorkDigest> {
        let cases = self.cases.iter();
        let mut accused: Vec<(Evidence, WorkDigest, &QuarantineCase)> = cases
            .filter(|(_, case)| !case.is_expired(now))
            .filter(|(_, case)| case.crashes.len() >= case.crash_threshold())
            .map(|(work, case)| {
                let evidence = (
                    case.completed_without_crash,
                    Reverse(case.crashes.len()),
                    work.is_prompt_part(),
                );
                (evidence, *work, case)
            })
            .collect();
        accused.sort_by_key(|it| (it.0, it.1));
        let mut explained: BTreeSet<CrashId> = BTreeSet::new();
        let mut refused = Vec::new();
        for equals in accused.chunk_by(|one, other| one.0 == other.0) {
            let is_refused = |case: &QuarantineCase, part: WorkDigest| {
                let unexplained = case.crashes.difference(&explained).count();
                !part.is_prompt_part() || unexplained >= case.crash_threshold()
            };
            let equals = equals.iter();
            let blamed: Vec<_> =
                equals.filter(|it| is_refused(it.2, it.1)).collect();
            for (_, work, case) in blamed {
                explained.extend(&case.crashes);
                if work.is_prompt_part() {
                    refused.push(*work);
                }
            }
        }
        refused
    }
}

fn trial_interval(failed_trials: u32) -> Millis {
    let interval = PART_TRIAL_INTERVAL.0 << failed_trials.min(8);
    Millis(interval).min(REFUSAL_TTL)
}
