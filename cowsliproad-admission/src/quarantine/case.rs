//! What is known of one piece of work, and what follows from it.

use std::collections::BTreeSet;

use cowsliproad_kernel::{clock::Millis, gossip::Suspect};

use super::{
    Change, ENDS, End, MAX_EXCUSED, MAX_SUSPENSION, PROVEN_ENDS, REJECT_TTL,
    SUSPECT_TTL, Work,
};

/// What is known of one piece of work. Times are counted from [`super::BEFORE`].
#[derive(Clone, Debug)]
pub(super) struct Case {
    pub(super) ends: BTreeSet<End>,
    /// Ends that were before some target outlived it, the newest last.
    pub(super) excused: Vec<End>,
    /// Whether a target is known to have outlived it.
    pub(super) proven: bool,
    /// When it came last.
    pub(super) seen: Millis,
    /// Since when it is refused.
    pub(super) since: Option<Millis>,
    /// Until when it is suspended.
    pub(super) suspended_until: Option<Millis>,
    /// Until when it is told.
    pub(super) told_until: Millis,
}

impl Case {
    /// Holds an end against it no longer.
    pub(super) fn excuse(&mut self, end: End) {
        self.ends.remove(&end);
        if !self.excused.contains(&end) {
            self.excused.push(end);
        }
        if self.excused.len() > MAX_EXCUSED {
            self.excused.remove(0);
        }
    }

    /// Suspends it for as long as others do, if that is longer than known.
    pub(super) fn extend(
        &mut self,
        told: Option<Millis>,
        now: Millis,
    ) -> bool {
        let Some(told) = told else { return false };
        let until = now + told.min(MAX_SUSPENSION);
        let is_longer = self.suspended_until.is_none_or(|it| until > it);
        let extends = is_longer && !self.proven && !self.ends.is_empty();
        if extends {
            self.suspended_until = Some(until);
        }
        extends
    }

    /// Sees whether it is to be refused. What no end is held against is not
    /// suspended either.
    pub(super) fn judge(&mut self, now: Millis) -> Change {
        let was_suspended = self.suspended_until.is_some_and(|it| it > now);
        if self.proven || self.ends.is_empty() {
            self.suspended_until = None;
        }
        let most = if self.proven { PROVEN_ENDS } else { ENDS };
        let refused = self.ends.len() >= most;
        match (self.since, refused) {
            (None, true) => {
                self.since = Some(now);
                Change::Refused
            }
            (Some(_), false) => {
                self.since = None;
                Change::Freed
            }
            (None, false)
                if was_suspended && self.suspended_until.is_none() =>
            {
                Change::Freed
            }
            _ => Change::None,
        }
    }

    pub(super) fn is_over(&self, now: Millis) -> bool {
        let longest = |since| now.since(since) >= REJECT_TTL;
        now.since(self.seen) >= SUSPECT_TTL || self.since.is_some_and(longest)
    }

    pub(super) fn is_news(&self, now: Millis) -> bool {
        !self.is_over(now) && (self.since.is_some() || now < self.told_until)
    }

    /// For how long it is still suspended.
    pub(super) fn suspension(&self, now: Millis) -> Option<Millis> {
        let left = self.suspended_until.map(|it| it.since(now));
        left.filter(|it| *it > Millis(0))
    }

    pub(super) fn suspect(&self, work: Work, now: Millis) -> Suspect {
        Suspect {
            work_digest: work.0,
            crashes: self.ends.iter().map(|it| it.0).collect(),
            excused_crashes: self.excused.iter().map(|it| it.0).collect(),
            survived: self.proven,
            since_last_seen: now.since(self.seen),
            rejected_for: self.since.map(|it| now.since(it)),
            suspended_for: self.suspension(now),
        }
    }
}
