//! Decides whether a lock-step group of ranks takes requests.
//!
//! Each time a group forms, the group gets a new epoch. A group closes when a
//! rank reports its formation broken, and opens again in a later formation, or
//! once no rank has reported it broken for `MAX_UNCONFIRMED_CLOSURE`. The
//! engines of a group notice a crash only after waiting for the lost rank, so
//! an agent's report that a rank's process is gone halts the group at once.
//! The agent's report may be wrong: the halt ends when the group's steps
//! advance, or after that time without a broken formation.

use cowsliproad_kernel::clock::Millis;

/// How long a group stays halted or closed without a report that its formation
/// is broken. If a rank is lost, the engines of the other ranks report so within
/// this time, and again every few hundred milliseconds. Without such a report no
/// rank may be lost, or all agents may be gone, and only a request shows which:
/// an idle group makes no steps.
const MAX_UNCONFIRMED_CLOSURE: Millis = Millis(2_500);

/// The longest delay of a rank's report of a step. A report that arrives
/// sooner after the loss of a rank may have been sent before the loss.
const MAX_STEP_REPORT_DELAY: Millis = Millis(100);

/// The number of further steps that ranks may report after the loss of a rank
/// although the group is stuck: the step that was in progress.
const MAX_STEPS_AFTER_RANK_LOSS: u64 = 1;

/// The state of a group's newest formation.
#[derive(Clone, Copy, Debug)]
pub struct GroupFormation {
    epoch: u64,
    /// When a rank last reported this formation broken.
    broken_at: Option<Millis>,
    /// Set while the group may be waiting for a rank whose process is gone.
    halt: Option<GroupHalt>,
}

#[derive(Clone, Copy, Debug)]
struct GroupHalt {
    halted_at: Millis,
    /// The first step that a rank reported after the group was halted.
    first_reported_step: Option<u64>,
}

impl GroupFormation {
    /// The state of a group after the first report of a rank.
    pub fn new(
        epoch: u64,
        accepts_requests: bool,
        now: Millis,
    ) -> GroupFormation {
        let broken_at = (!accepts_requests).then_some(now);
        GroupFormation { epoch, broken_at, halt: None }
    }

    /// Merges a rank's report whether the group accepts requests in an epoch.
    /// A group that one rank reports open is open at all ranks, and a formation
    /// that some rank reports broken stays broken whatever the others report.
    /// Returns whether the state changed.
    pub fn merge_rank_report(
        &mut self,
        epoch: u64,
        accepts_requests: bool,
        now: Millis,
    ) -> bool {
        if epoch < self.epoch || epoch == self.epoch && accepts_requests {
            return false;
        }
        let changes = epoch > self.epoch || !self.is_closed(now);
        *self = GroupFormation::new(epoch, accepts_requests, now);
        changes
    }

    /// Halts the group because a rank's process is gone. Returns whether the
    /// group was open in this epoch and is now halted.
    pub fn halt_for_lost_rank(&mut self, epoch: u64, now: Millis) -> bool {
        let halts = self.epoch == epoch && self.accepts_requests(now);
        if halts {
            self.halt =
                Some(GroupHalt { halted_at: now, first_reported_step: None });
        }
        halts
    }

    /// Records the step that a rank reports. Returns whether the step ends a
    /// halt of the group.
    pub fn record_rank_step_report(
        &mut self,
        epoch: u64,
        step: u64,
        now: Millis,
    ) -> bool {
        let halt = self.halt.as_mut().filter(|_| self.epoch == epoch);
        let halt =
            halt.filter(|it| now.since(it.halted_at) >= MAX_STEP_REPORT_DELAY);
        let Some(halt) = halt else { return false };
        let first_step = *halt.first_reported_step.get_or_insert(step);
        let resumes = step > first_step + MAX_STEPS_AFTER_RANK_LOSS;
        if resumes {
            self.halt = None;
        }
        resumes
    }

    /// Whether the group takes requests now.
    pub fn accepts_requests(&self, now: Millis) -> bool {
        let halted =
            |it: GroupHalt| now.since(it.halted_at) < MAX_UNCONFIRMED_CLOSURE;
        !self.is_closed(now) && !self.halt.is_some_and(halted)
    }

    /// Whether a rank has reported the formation broken lately.
    fn is_closed(&self, now: Millis) -> bool {
        self.broken_at
            .is_some_and(|at| now.since(at) < MAX_UNCONFIRMED_CLOSURE)
    }
}
