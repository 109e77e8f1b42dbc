//! Refusal of prompt parts that crash the targets of all requests with them.
//!
//! A crash suspects all parts of all requests that the target had not begun to
//! answer, though at most one of these parts is at fault. These rules tell
//! that part from the others:
//!
//! * An answer that has begun clears all parts of its prompt. Parts that many
//!   requests have are cleared all the time.
//! * A part is accused once too many crashes count against it. A crash doesn't
//!   count against a part that targets answered lately if it also counts
//!   against a part with too many crashes that they didn't answer, nor if it
//!   counts against a request that is refused for its content, unless the part
//!   has more crashes than the request.
//! * Parts that are accused only of crashes at which other accused parts ran
//!   are cleared, the weakest evidence first.
//! * The parts that are left may have run together. So a request is refused for
//!   an accused part only if too many of its crashes are left that no accused
//!   part outside the request, with evidence as strong, explains. A request
//!   with some of these parts tells them apart: its crash, or its answer, is
//!   new evidence.
//!
//! The refusals follow from the recorded crashes and survivals alone, so all
//! entry processes that have the same records refuse the same parts.
//!
//! A part may be refused that is not at fault, if targets crashed for another
//! reason. So now and then one request with the part is sent as a trial.
//! Entry processes begin trials at different times ([`admit_request`]); the
//! first answer frees the part at all of them, and a crash postpones all
//! trials. A part that most requests have is tried at once, and soon again,
//! because refusing it stops the service.
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
/// an answer to begin and for other entry processes to learn of it. Doubles
/// with each trial.
const COMMON_PART_TRIAL_INTERVAL: Millis = Millis(1_000);

/// How often the interval between trials of such a part doubles.
const MAX_COMMON_PART_DOUBLINGS: u32 = 5;

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
        if self.accused_parts.is_empty() {
            return Vec::new();
        }
        let now = now + LEDGER_CLOCK_OFFSET;
        let accused = self.accused_parts.iter().filter_map(|it| {
            let case = self.cases.get(it)?;
            let is_accused = case.refused_since.is_some();
            (is_accused && !case.is_expired(now)).then_some((*it, case))
        });
        let (inside, outside): (Vec<_>, Vec<_>) =
            accused.partition(|it| parts.contains(&it.0));
        let is_refused = |case: &QuarantineCase| {
            let rivals = outside.iter().map(|it| it.1);
            let rivals = rivals.filter(|it| it.is_no_weaker_than(case));
            case.unexplained_crashes(rivals) >= case.crash_threshold()
        };
        inside.iter().filter(|it| is_refused(it.1)).map(|it| it.0).collect()
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
        trial.rejections >= COMMON_PART_MIN_REJECTIONS
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
        let doublings = trial.trials_begun.min(MAX_COMMON_PART_DOUBLINGS);
        let interval = COMMON_PART_TRIAL_INTERVAL.0 << doublings;
        trial.due_at_if_common = now + Millis(interval);
        trial.trials_begun += 1;
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

    /// Accuses the parts that too many of the recorded crashes count against,
    /// and clears all others. Returns the change of the part `updated`; the
    /// changes of other parts are kept for
    /// [`CrashLedger::take_part_changes`].
    pub(super) fn update_part_refusals(
        &mut self,
        updated: Option<WorkDigest>,
        now: Millis,
    ) -> QuarantineChange {
        let accused = self.parts_to_accuse(now);
        let mut updated_change = QuarantineChange::None;
        let before = std::mem::replace(&mut self.accused_parts, accused);
        let freed = before
            .into_iter()
            .filter(|it| !self.accused_parts.contains(it))
            .map(|it| (it, QuarantineChange::Freed));
        let is_new = |it: &WorkDigest| {
            self.cases.get(it).is_some_and(|it| it.refused_since.is_none())
        };
        let new = self.accused_parts.iter().copied().filter(is_new);
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
                        trials_begun: 0,
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

    /// The parts with too many crashes that neither refused requests nor, for
    /// parts that were answered lately, other parts explain.
    fn parts_to_accuse(&self, now: Millis) -> Vec<WorkDigest> {
        let cases = self.cases.iter();
        let suspects: Vec<(WorkDigest, &QuarantineCase)> = cases
            .filter(|(_, case)| !case.is_expired(now))
            .filter(|(_, case)| case.crashes.len() >= case.crash_threshold())
            .map(|(work, case)| (*work, case))
            .collect();
        let explains = |work: WorkDigest,
                        other: &QuarantineCase,
                        case: &QuarantineCase| {
            if work.is_prompt_part() {
                case.completed_without_crash && !other.completed_without_crash
            } else {
                other.crashes.len() >= case.crashes.len()
            }
        };
        let is_accused = |case: &QuarantineCase| {
            let others = suspects.iter();
            let others = others.filter(|it| explains(it.0, it.1, case));
            case.unexplained_crashes(others.map(|it| it.1))
                >= case.crash_threshold()
        };
        let parts = suspects.iter().filter(|it| it.0.is_prompt_part());
        let mut accused: Vec<(WorkDigest, &QuarantineCase)> =
            parts.filter(|it| is_accused(it.1)).copied().collect();
        accused.sort_by_key(|(part, case)| {
            let weight = case.crashes.len();
            (Reverse(case.completed_without_crash), weight, *part)
        });
        // Parts that are accused only of crashes of other accused parts are
        // cleared, those with the weakest evidence first.
        let mut index = 0;
        while index < accused.len() {
            let case = accused[index].1;
            let others = accused.iter().map(|it| it.1);
            let others = others.filter(|it| {
                it.crashes != case.crashes && it.was_answered_no_later(case)
            });
            if case.unexplained_crashes(others) == 0 {
                accused.remove(index);
            } else {
                index += 1;
            }
        }
        accused.into_iter().map(|it| it.0).collect()
    }
}

impl QuarantineCase {
    /// Whether the evidence against this part is as strong as that against the
    /// other part: it ran at as many crashes, and was answered no more
    /// recently.
    fn is_no_weaker_than(&self, other: &QuarantineCase) -> bool {
        self.crashes.len() >= other.crashes.len()
            && self.was_answered_no_later(other)
    }

    /// Whether targets answered this part no more recently than the other
    /// part.
    fn was_answered_no_later(&self, other: &QuarantineCase) -> bool {
        other.completed_without_crash || !self.completed_without_crash
    }

    /// The number of crashes that none of the other cases explains.
    fn unexplained_crashes<'a>(
        &self,
        others: impl Iterator<Item = &'a QuarantineCase>,
    ) -> usize {
        let mut unexplained: BTreeSet<CrashId> = self.crashes.clone();
        for other in others {
            unexplained.retain(|it| !other.crashes.contains(it));
        }
        unexplained.len()
    }
}

fn trial_interval(failed_trials: u32) -> Millis {
    let interval = PART_TRIAL_INTERVAL.0 << failed_trials.min(8);
    Millis(interval).min(REFUSAL_TTL)
}
