//! The quarantine state of the requests that have one digest.

use std::collections::BTreeSet;

use cowsliproad_kernel::{clock::Millis, gossip::CrashSuspectRequest};

use super::{
    CRASH_THRESHOLD, CrashId, MAX_EXCUSED_CRASHES_PER_REQUEST,
    MAX_SUSPENSION_TIME, QuarantineChange, REFUSAL_TTL,
    SURVIVED_REQUEST_CRASH_THRESHOLD, SUSPECT_TTL, WorkDigest,
};

/// The quarantine state of the requests that have one digest. All times
/// include [`super::LEDGER_CLOCK_OFFSET`].
#[derive(Clone, Debug)]
pub(super) struct QuarantineCase {
    /// Target crashes that count against the request.
    pub(super) crashes: BTreeSet<CrashId>,
    /// Target crashes that no longer count against the request, because a
    /// target survived the request later; newest last.
    pub(super) excused_crashes: Vec<CrashId>,
    /// Whether a target is known to have survived the request.
    pub(super) completed_without_crash: bool,
    /// When the request last arrived at any entry process.
    pub(super) last_arrival: Millis,
    /// The time since which the request is refused; `None` if the request is
    /// not refused.
    pub(super) refused_since: Option<Millis>,
    /// The time until which the request is suspended, if a target crash
    /// suspended the request.
    pub(super) suspended_until: Option<Millis>,
    /// The time until which this process broadcasts the case to entry
    /// processes.
    pub(super) broadcast_until: Millis,
    /// When a refused prompt part is tried; `None` for all other cases.
    pub(super) trial: Option<Box<PartTrial>>,
}

/// When this process sends a request with a refused part as a trial.
#[derive(Clone, Debug)]
pub(super) struct PartTrial {
    /// When the next trial is due.
    pub(super) due_at: Millis,
    /// When the next trial is due if most requests have the part.
    pub(super) due_at_if_common: Millis,
    /// Trials that this process has sent.
    pub(super) trials_begun: u32,
    /// Whether this process has sent a trial whose outcome is not known.
    pub(super) is_in_progress: bool,
    /// Trials that crashed their targets, at any entry process.
    pub(super) failed_trials: u32,
    /// Requests that this process rejected for the part.
    pub(super) rejections: u64,
    /// The number of requests that arrived here before the refusal.
    pub(super) request_count_before: u64,
}

impl QuarantineCase {
    /// Stops counting a target crash against the request.
    pub(super) fn stop_counting_crash(&mut self, crash: CrashId) {
        self.crashes.remove(&crash);
        if !self.excused_crashes.contains(&crash) {
            self.excused_crashes.push(crash);
        }
        if self.excused_crashes.len() > MAX_EXCUSED_CRASHES_PER_REQUEST {
            self.excused_crashes.remove(0);
        }
    }

    /// Merges the remaining suspension time that another process reports, and
    /// returns whether the suspension was extended.
    pub(super) fn extend_suspension(
        &mut self,
        reported_time: Option<Millis>,
        now: Millis,
    ) -> bool {
        let Some(reported_time) = reported_time else { return false };
        let until = now + reported_time.min(MAX_SUSPENSION_TIME);
        let is_longer = self.suspended_until.is_none_or(|it| until > it);
        let extends = is_longer
            && !self.completed_without_crash
            && !self.crashes.is_empty();
        if extends {
            self.suspended_until = Some(until);
        }
        extends
    }

    /// The number of crashes from which on the request is refused.
    pub(super) fn crash_threshold(&self) -> usize {
        if self.completed_without_crash {
            SURVIVED_REQUEST_CRASH_THRESHOLD
        } else {
            CRASH_THRESHOLD
        }
    }

    /// Updates whether the request is refused, after the set of counted
    /// crashes or the record of a survival changed. A request that no crash
    /// counts against, or that a target survived, is not suspended either.
    pub(super) fn update_refusal(&mut self, now: Millis) -> QuarantineChange {
        let was_suspended = self.suspended_until.is_some_and(|it| it > now);
        if self.completed_without_crash || self.crashes.is_empty() {
            self.suspended_until = None;
        }
        let is_refused = self.crashes.len() >= self.crash_threshold();
        match (self.refused_since, is_refused) {
            (None, true) => {
                self.refused_since = Some(now);
                QuarantineChange::Refused
            }
            (Some(_), false) => {
                self.refused_since = None;
                QuarantineChange::Freed
            }
            (None, false)
                if was_suspended && self.suspended_until.is_none() =>
            {
                QuarantineChange::Freed
            }
            _ => QuarantineChange::None,
        }
    }

    /// Returns whether the quarantine case has expired.
    pub(super) fn is_expired(&self, now: Millis) -> bool {
        let refusal_expired = |since| now.since(since) >= REFUSAL_TTL;
        now.since(self.last_arrival) >= SUSPECT_TTL
            || self.refused_since.is_some_and(refusal_expired)
    }

    /// Returns whether the quarantine case is broadcast: the case of a refused
    /// request always, any other case for a time after a change.
    pub(super) fn is_broadcast_due(&self, now: Millis) -> bool {
        !self.is_expired(now)
            && (self.refused_since.is_some() || now < self.broadcast_until)
    }

    /// Returns the remaining time of the request's suspension, if the request
    /// is suspended.
    pub(super) fn remaining_suspension(&self, now: Millis) -> Option<Millis> {
        let left = self.suspended_until.map(|it| it.since(now));
        left.filter(|it| *it > Millis(0))
    }

    /// Converts the quarantine case to the gossip message that entry processes
    /// exchange.
    pub(super) fn to_suspect(
        &self,
        work: WorkDigest,
        now: Millis,
    ) -> CrashSuspectRequest {
        CrashSuspectRequest {
            request_hash: work.0,
            crash_ids: self.crashes.iter().map(|it| it.0).collect(),
            excused_crash_ids: self
                .excused_crashes
                .iter()
                .map(|it| it.0)
                .collect(),
            completed_without_crash: self.completed_without_crash,
            since_last_received: now.since(self.last_arrival),
            rejected_for: self.refused_since.map(|it| now.since(it)),
            suspension_left: self.remaining_suspension(now),
            failed_trials: self
                .trial
                .as_ref()
                .map_or(0, |it| it.failed_trials),
        }
    }
}
