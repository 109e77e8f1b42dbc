//! Handles failed attempts: resumes, retries or ends the request. The parent
//! module describes the rules.

use std::sync::{Arc, atomic::Ordering};

use cowsliproad_admission::{patience, quarantine::QuarantineVerdict};
use cowsliproad_kernel::{
    clock::Millis,
    code::{Code, Execution},
    id,
    sync::lock,
    wire::{Failure, Frame, Reclaim},
};
use tokio::time::sleep;

use super::{
    ASK_AGAIN, Attempt, FREE_MOVES, Forward, Item, LOOK_AGAIN, MAX_ATTEMPTS,
    Task,
};
use crate::{
    quarantine,
    target::{Outcome, Target},
};

impl Forward {
    /// Ends a request whose agent did not report in time.
    pub(super) fn time_out(&mut self, attempt: Attempt) {
        attempt.detach();
        self.maybe_ran = true;
        let failure = Failure::new(Code::TimedOut, Execution::OutcomeUnknown);
        self.fail(failure.with_retry_after(ASK_AGAIN));
    }

    /// Handles a link that broke during an attempt.
    pub(super) async fn lost(&mut self, attempt: Attempt) {
        attempt.target.end(Outcome::Failed, Millis::now());
        match &self.task {
            Task::Work(order) if order.ticket.is_some() => {
                // The work is submitted again with the same ticket, so the
                // agent either finds it or certainly has not run it.
                self.restart_given();
            }
            _ => self.resume(attempt).await,
        }
    }

    /// Resumes the answer where it stopped, if the same agent process is
    /// linked again soon.
    async fn resume(&mut self, attempt: Attempt) {
        let incarnation = attempt.link.incarnation();
        let Some(target) =
            self.holder(&attempt.target.name, incarnation).await
        else {
            self.tried.push(attempt.target.name.clone());
            let failure =
                Failure::new(Code::LinkLost, Execution::OutcomeUnknown);
            return self.after_failure(failure);
        };
        let next = id::Attempt::random();
        let organisation = match &self.task {
            Task::Work(order) => order.organisation.clone(),
            Task::Kept { token, .. } => token.organisation.clone(),
        };
        let reclaim = Reclaim {
            attempt: next,
            request: attempt.request,
            organisation,
            first_byte: attempt.assembly.length(),
        };
        let assembly = attempt.assembly.resume(next);
        self.send(target, Frame::Reclaim(reclaim), assembly, attempt.request)
            .await;
    }

    /// Retries or ends the request after a failed attempt.
    pub(super) fn after_failure(&mut self, failure: Failure) {
        if matches!(failure.ran, Execution::Ran | Execution::OutcomeUnknown) {
            self.maybe_ran = true;
        }
        if self.may_try_again(&failure) {
            return self.restart_given();
        }
        let failure = self.timed(failure);
        let ran = match &self.task {
            // For work with a ticket only the agent's own report states
            // whether the work ran.
            Task::Work(order) if order.ticket.is_some() => failure.ran,
            Task::Kept { .. } => failure.ran,
            Task::Work(_) => self.ran(),
        };
        self.fail(Failure { ran, ..failure });
    }

    /// Adds a `Retry-After` to the refusal of a crash-inducing request. The
    /// agent, which refused the request, does not know the time.
    fn timed(&self, failure: Failure) -> Failure {
        let Task::Work(order) = &self.task else { return failure };
        if failure.code != Code::Quarantined {
            return failure;
        }
        let after = match quarantine::verdict(&self.shared, order) {
            QuarantineVerdict::Refused(after)
            | QuarantineVerdict::Suspended(after) => after,
            QuarantineVerdict::Allowed => ASK_AGAIN,
        };
        quarantine::refusal(&self.shared, order, failure.ran, after)
    }

    /// Whether the request is retried after a failed attempt. A retry is
    /// charged to the retry budget, except for the first refusals by leaving
    /// targets.
    fn may_try_again(&mut self, failure: &Failure) -> bool {
        let Task::Work(order) = &self.task else { return false };
        if order.ticket.is_some() || Millis::now() >= self.deadline {
            return false;
        }
        let elsewhere = matches!(
            failure.code,
            Code::Leaving
                | Code::Overloaded
                | Code::Shed
                | Code::TargetFailed
                | Code::TargetGone
                | Code::TimedOut
                | Code::LinkLost
                | Code::RegisterFull
                | Code::UnknownToken
        );
        if !elsewhere || self.attempts >= MAX_ATTEMPTS {
            return false;
        }
        if failure.code == Code::Leaving && self.free_moves < FREE_MOVES {
            self.free_moves += 1;
            return true;
        }
        let budget = &order.service.budget;
        lock(budget).try_spend()
    }

    /// Discards the bytes delivered to the caller, which belong to an attempt
    /// that will not be finished.
    fn restart_given(&mut self) {
        if self.given > 0 {
            self.given = 0;
            self.ready.push_back(Item::Restart);
        }
    }

    /// Ends the request with a failure. The `Retry-After` of an overload gets
    /// jitter, so that callers don't come back all at once.
    pub(super) fn fail(&mut self, mut failure: Failure) {
        if failure.code == Code::Overloaded {
            let spread = |it| patience::jittered_retry(it, rand::random());
            failure.retry_after = failure.retry_after.map(spread);
        }
        self.finished = true;
        self.ready.push_back(Item::Failed(failure));
    }

    /// Whether the work certainly did not run, or may have run in an earlier
    /// attempt.
    pub(super) fn ran(&self) -> Execution {
        if self.maybe_ran {
            Execution::OutcomeUnknown
        } else {
            Execution::NotRun
        }
    }

    /// Records the success of the work in the retry budget and in the
    /// quarantine.
    pub(super) fn earn(&self) {
        if let Task::Work(order) = &self.task {
            let budget = &order.service.budget;
            lock(budget).record_success();
            quarantine::outlived(&self.shared, order);
        }
    }

    /// The failure when no linked agent answers for an agent process. The
    /// failure is final, without a `Retry-After`, only when the process is
    /// known to have ended.
    pub(super) fn out_of_reach(
        &self,
        incarnation: id::Incarnation,
    ) -> Failure {
        let view = self.shared.published.load();
        if is_gone(&view, &self.task, incarnation) {
            return Failure::new(Code::TargetGone, Execution::OutcomeUnknown);
        }
        unknown(Code::LinkLost)
    }

    /// Returns the target whose agent is, or answers for, an agent process.
    /// Waits a short time for a broken link to come up again.
    pub(super) async fn holder(
        &self,
        name: &str,
        incarnation: id::Incarnation,
    ) -> Option<Arc<Target>> {
        let now = Millis::now();
        let until = now + self.shared.settings.resume_ms;
        let until = until.min(self.deadline.max(now));
        loop {
            let view = self.shared.published.load();
            let found = view.holder(name, incarnation);
            if found.is_some() || Millis::now() >= until {
                return found;
            }
            if is_gone(&view, &self.task, incarnation) {
                return None;
            }
            sleep(LOOK_AGAIN).await;
        }
    }
}

/// Whether the agent process that a ticket or resume token names is known to
/// have ended, so that only a peer that answers for it could help. Missing
/// heartbeats alone prove nothing.
fn is_gone(
    view: &crate::view::View,
    task: &Task,
    incarnation: id::Incarnation,
) -> bool {
    let name = match task {
        Task::Work(order) => order.ticket.as_ref().map(|it| &it.1.target),
        Task::Kept { token, .. } => Some(&token.target),
    };
    let Some(name) = name else { return false };
    let Some(target) = view.targets.get(name) else {
        // The operators have removed the target.
        return true;
    };
    match target.link.load_full() {
        Some(link) => link.incarnation() != incarnation,
        None => target.vm_gone.load(Ordering::Relaxed),
    }
}

/// A failure whose outcome is unknown, with a `Retry-After`.
pub(super) fn unknown(code: Code) -> Failure {
    Failure::new(code, Execution::OutcomeUnknown).with_retry_after(ASK_AGAIN)
}
