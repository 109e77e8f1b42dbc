//! What follows when an attempt fails; see the parent module.

use std::sync::{Arc, atomic::Ordering};

use cowsliproad_admission::{patience, quarantine::QuarantineVerdict};
use cowsliproad_kernel::{
    clock::Millis,
    code::{Code, ExecutionStatus},
    id,
    sync::lock,
    wire::{Frame, ReclaimAnswer, RequestFailure},
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
    pub(super) fn time_out(&mut self, attempt: Attempt) {
        attempt.detach();
        self.maybe_ran = true;
        let failure = RequestFailure::new(
            Code::TimedOut,
            ExecutionStatus::OutcomeUnknown,
        );
        self.fail(failure.with_retry_after(ASK_AGAIN));
    }

    /// The link broke while the attempt was out.
    pub(super) async fn lost(&mut self, attempt: Attempt) {
        attempt.target.end(Outcome::Failed, Millis::now());
        match &self.task {
            Task::Work(order) if order.ticket.is_some() => {
                // Submitted again with the same ticket, the work is found or
                // truly not run.
                self.restart_given();
            }
            _ => self.resume(attempt).await,
        }
    }

    /// Goes on with the same work if the same process comes back soon.
    async fn resume(&mut self, attempt: Attempt) {
        let incarnation = attempt.link.incarnation();
        let Some(target) =
            self.holder(&attempt.target.name, incarnation).await
        else {
            self.tried.push(attempt.target.name.clone());
            let failure = RequestFailure::new(
                Code::LinkLost,
                ExecutionStatus::OutcomeUnknown,
            );
            return self.after_failure(failure);
        };
        let next = id::Attempt::random();
        let organisation = match &self.task {
            Task::Work(order) => order.organisation.clone(),
            Task::Kept { token, .. } => token.organisation.clone(),
        };
        let reclaim = ReclaimAnswer {
            attempt: next,
            request: attempt.request,
            organisation,
            first_byte_offset: attempt.assembly.next_byte_offset(),
        };
        let assembly = attempt.assembly.resume(next);
        self.send(
            target,
            Frame::ReclaimAnswer(reclaim),
            assembly,
            attempt.request,
        )
        .await;
    }

    /// Decides what follows a failed attempt.
    pub(super) fn after_failure(&mut self, failure: RequestFailure) {
        if matches!(
            failure.ran,
            ExecutionStatus::Ran | ExecutionStatus::OutcomeUnknown
        ) {
            self.maybe_ran = true;
        }
        if self.may_try_again(&failure) {
            return self.restart_given();
        }
        let failure = self.timed(failure);
        let ran = match &self.task {
            // Only the agent's own word counts for a ticket.
            Task::Work(order) if order.ticket.is_some() => failure.ran,
            Task::Kept { .. } => failure.ran,
            Task::Work(_) => self.ran(),
        };
        self.fail(RequestFailure { ran, ..failure });
    }

    /// Adds when to come back to a refusal of a request that crashes its
    /// targets, which the agent doesn't know.
    fn timed(&self, failure: RequestFailure) -> RequestFailure {
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

    fn may_try_again(&mut self, failure: &RequestFailure) -> bool {
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
        lock(budget).try_spend_retry()
    }

    /// What was given out belongs to an attempt that will not be finished.
    fn restart_given(&mut self) {
        if self.given > 0 {
            self.given = 0;
            self.ready.push_back(Item::Restart);
        }
    }

    pub(super) fn fail(&mut self, mut failure: RequestFailure) {
        if failure.code == Code::Overloaded {
            let spread = |it| patience::add_retry_jitter(it, rand::random());
            failure.retry_after = failure.retry_after.map(spread);
        }
        self.finished = true;
        self.ready.push_back(Item::Failed(failure));
    }

    pub(super) fn ran(&self) -> ExecutionStatus {
        if self.maybe_ran {
            ExecutionStatus::OutcomeUnknown
        } else {
            ExecutionStatus::NotRun
        }
    }

    pub(super) fn earn(&self) {
        if let Task::Work(order) = &self.task {
            let budget = &order.service.budget;
            lock(budget).record_success();
            quarantine::outlived(&self.shared, order);
        }
    }

    /// The answer when nobody can be asked about a process. It is final,
    /// without a time to ask again, only when the process is known to be no
    /// more.
    pub(super) fn out_of_reach(
        &self,
        incarnation: id::Incarnation,
    ) -> RequestFailure {
        let view = self.shared.published.load();
        if is_gone(&view, &self.task, incarnation) {
            return RequestFailure::new(
                Code::TargetGone,
                ExecutionStatus::OutcomeUnknown,
            );
        }
        unknown(Code::LinkLost)
    }

    /// The target that is, or answers for, a process, waiting a moment for
    /// a broken link to come back.
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

/// Whether the process that a token names is known to be no more, so that
/// only a peer that answers for it could help. Silence alone proves nothing.
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

pub(super) fn unknown(code: Code) -> RequestFailure {
    RequestFailure::new(code, ExecutionStatus::OutcomeUnknown)
        .with_retry_after(ASK_AGAIN)
}
