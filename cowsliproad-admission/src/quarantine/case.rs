//! The quarantine state of one request digest.

use std::collections::BTreeSet;

use cowsliproad_kernel::{clock::Millis, gossip::SuspectedRequest};

use super::{
    CRASH_THRESHOLD, CrashId, MAX_EXCUSED_CRASHES, MAX_SUSPENSION,
    QuarantineChange, REJECT_TTL, SURVIVED_CRASH_THRESHOLD, SUSPECT_TTL,
    WorkDigest,
};

/// The quarantine state of one request digest. All times include
/// [`super::CLOCK_OFFSET`].
#[derive(Clone, Debug)]
pub(super) struct Case {
    /// Target crashes that count against the request.
    pub(super) crashes: BTreeSet<CrashId>,
    /// Target crashes from before a target survived the request, which no
    /// longer count; newest last.
    pub(super) excused: Vec<CrashId>,
    /// Whether a target is known to have survived the request.
    pub(super) survived: bool,
    /// When the request last arrived at any entry.
    pub(super) last_seen: Millis,
    /// The time since which the request is refused, if it is.
    pub(super) refused_since: Option<Millis>,
    /// The time until which the request is suspended.
    pub(super) suspended_until: Option<Millis>,
    /// The time until which this entry broadcasts the case to others.
    pub(super) broadcast_until: Millis,
}

impl Case {
    /// Stops counting a crash against the request.
    pub(super) fn excuse(&mut self, crash: CrashId) {
        self.crashes.remove(&crash);
        if !self.excused.contains(&crash) {
            self.excused.push(crash);
        }
        if self.excused.len() > MAX_EXCUSED_CRASHES {
            self.excused.remove(0);
        }
    }

    /// Merges the remaining suspension time that another entry reports;
    /// returns whether the suspension was extended.
    pub(super) fn extend_suspension(
        &mut self,
        reported: Option<Millis>,
        now: Millis,
    ) -> bool {
        let Some(reported) = reported else { return false };
        let until = now + reported.min(MAX_SUSPENSION);
        let is_longer = self.suspended_until.is_none_or(|it| until > it);
        let extends = is_longer && !self.survived && !self.crashes.is_empty();
        if extends {
            self.suspended_until = Some(until);
        }
        extends
    }

    /// Updates whether the request is refused, after its crashes or its
    /// survival changed. A request that no crash counts against, or that a
    /// target survived, is not suspended either.
    pub(super) fn update_refusal(&mut self, now: Millis) -> QuarantineChange {
        let was_suspended = self.suspended_until.is_some_and(|it| it > now);
        if self.survived || self.crashes.is_empty() {
            self.suspended_until = None;
        }
        let threshold = if self.survived {
            SURVIVED_CRASH_THRESHOLD
        } else {
            CRASH_THRESHOLD
        };
        let is_refused = self.crashes.len() >= threshold;
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

    /// Returns whether the case has expired.
    pub(super) fn is_expired(&self, now: Millis) -> bool {
        let refusal_expired = |since| now.since(since) >= REJECT_TTL;
        now.since(self.last_seen) >= SUSPECT_TTL
            || self.refused_since.is_some_and(refusal_expired)
    }

    /// Returns whether the case is broadcast: a refused request always, any
    /// other request for a time after a change.
    pub(super) fn is_broadcast(&self, now: Millis) -> bool {
        !self.is_expired(now)
            && (self.refused_since.is_some() || now < self.broadcast_until)
    }

    /// Returns the remaining time of the suspension, if there is one.
    pub(super) fn suspension(&self, now: Millis) -> Option<Millis> {
        let left = self.suspended_until.map(|it| it.since(now));
        left.filter(|it| *it > Millis(0))
    }

    /// Returns the case as the gossip message that entries exchange.
    pub(super) fn suspect(
        &self,
        work: WorkDigest,
        now: Millis,
    ) -> SuspectedRequest {
        SuspectedRequest {
            request_hash: work.0,
            crash_ids: self.crashes.iter().map(|it| it.0).collect(),
            excused_crash_ids: self.excused.iter().map(|it| it.0).collect(),
            survived_by_target: self.survived,
            since_last_received: now.since(self.last_seen),
            rejected_for: self.refused_since.map(|it| now.since(it)),
            suspension_left: self.suspension(now),
        }
    }
}
