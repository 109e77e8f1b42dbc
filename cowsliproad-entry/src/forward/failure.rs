//! Handles failed attempts: resumes, retries or ends the request. The parent
//! module describes the rules.

use std::sync::{Arc, atomic::Ordering};

use cowsliproad_admission::{patience, quarantine::QuarantineVerdict};
use cowsliproad_kernel::{
    clock::Millis,
    code::{ExecutionStatus, ResultCode},
    id,
    sync::lock,
    wire::{FetchAnswerRequest, Frame, RequestFailure},
};
use cowsliproad_net::timer::sleep;

use super::{
    ActiveAttempt, AnswerItem, ForwardTask, LINK_POLL_INTERVAL,
    MAX_FREE_RETRIES, MAX_SUBMISSIONS_PER_REQUEST, RequestForwarder,
    UNKNOWN_OUTCOME_RETRY_AFTER,
};
use crate::{
    quarantine,
    target::{AttemptOutcome, Target},
};

impl RequestForwarder {
    /// Ends a request whose agent did not report in time.
    pub(super) fn fail_timed_out(&mut self, attempt: ActiveAttempt) {
        attempt.detach_attempt();
        self.may_have_run = true;
        let failure = RequestFailure::new(
            ResultCode::TimedOut,
            ExecutionStatus::OutcomeUnknown,
        );
        self.finish_with_failure(
            failure.with_retry_after(UNKNOWN_OUTCOME_RETRY_AFTER),
        );
    }

    /// Handles a link that broke during an attempt.
    pub(super) async fn handle_lost_link(&mut self, attempt: ActiveAttempt) {
        attempt
            .target
            .record_attempt_end(AttemptOutcome::Failed, Millis::now());
        match &self.task {
            ForwardTask::Work(work_request)
                if work_request.signed_ticket.is_some() =>
            {
                // The work is submitted again with the same ticket, so the
                // agent either finds it or certainly has not run it.
                self.discard_delivered_bytes();
            }
            _ => self.resume_attempt(attempt).await,
        }
    }

    /// Resumes the answer where it stopped, if the same agent process is
    /// linked again soon.
    async fn resume_attempt(&mut self, attempt: ActiveAttempt) {
        let incarnation = attempt.link.agent_incarnation();
        let Some(target) = self
            .wait_for_answering_target(&attempt.target.name, incarnation)
            .await
        else {
            self.tried_targets.push(attempt.target.name.clone());
            let failure = RequestFailure::new(
                ResultCode::LinkLost,
                ExecutionStatus::OutcomeUnknown,
            );
            return self.handle_failed_attempt(failure);
        };
        let next = id::Attempt::random();
        let organisation = match &self.task {
            ForwardTask::Work(work_request) => {
                work_request.organisation.clone()
            }
            ForwardTask::KeptAnswer { token, .. } => {
                token.organisation.clone()
            }
        };
        let reclaim = FetchAnswerRequest {
            attempt: next,
            request: attempt.request_id,
            organisation,
            first_byte_offset: attempt.assembly.next_byte_offset(),
        };
        let assembly = attempt.assembly.resume(next);
        self.send_first_frame(
            target,
            Frame::FetchAnswerRequest(reclaim),
            assembly,
            attempt.request_id,
        )
        .await;
    }

    /// Retries or ends the request after a failed attempt.
    pub(super) fn handle_failed_attempt(&mut self, failure: RequestFailure) {
        if matches!(
            failure.ran,
            ExecutionStatus::Ran | ExecutionStatus::OutcomeUnknown
        ) {
            self.may_have_run = true;
        }
        if self.may_retry(&failure) {
            return self.discard_delivered_bytes();
        }
        let failure = self.add_quarantine_retry_after(failure);
        let ran = match &self.task {
            // For work with a ticket only the agent's own report states
            // whether the work ran.
            ForwardTask::Work(work_request)
                if work_request.signed_ticket.is_some() =>
            {
                failure.ran
            }
            ForwardTask::KeptAnswer { .. } => failure.ran,
            ForwardTask::Work(_) => self.execution_state(),
        };
        self.finish_with_failure(RequestFailure { ran, ..failure });
    }

    /// Adds a `Retry-After` to the refusal of a crash-inducing request. The
    /// agent, which refused the request, does not know the time.
    fn add_quarantine_retry_after(
        &self,
        failure: RequestFailure,
    ) -> RequestFailure {
        let ForwardTask::Work(work_request) = &self.task else {
            return failure;
        };
        if failure.code != ResultCode::Quarantined {
            return failure;
        }
        let after =
            match quarantine::check_quarantine(&self.shared, work_request) {
                QuarantineVerdict::Refused(after)
                | QuarantineVerdict::Suspended(after) => after,
                QuarantineVerdict::Allowed => UNKNOWN_OUTCOME_RETRY_AFTER,
            };
        quarantine::refuse_quarantined(
            &self.shared,
            work_request,
            failure.ran,
            after,
        )
    }

    /// Whether the request is retried after a failed attempt. A retry is
    /// charged to the retry budget, except for the first refusals by leaving
    /// targets.
    fn may_retry(&mut self, failure: &RequestFailure) -> bool {
        let ForwardTask::Work(work_request) = &self.task else { return false };
        if work_request.signed_ticket.is_some()
            || Millis::now() >= self.deadline
        {
            return false;
        }
        let retryable = matches!(
            failure.code,
            ResultCode::Leaving
                | ResultCode::Overloaded
                | ResultCode::Shed
                | ResultCode::TargetFailed
                | ResultCode::TargetGone
                | ResultCode::TimedOut
                | ResultCode::LinkLost
                | ResultCode::RegisterFull
                | ResultCode::UnknownToken
        );
        if !retryable || self.submission_count >= MAX_SUBMISSIONS_PER_REQUEST {
            return false;
        }
        if failure.code == ResultCode::Leaving
            && self.free_retry_count < MAX_FREE_RETRIES
        {
            self.free_retry_count += 1;
            return true;
        }
        let budget = &work_request.service.retry_budget;
        lock(budget).try_spend_retry()
    }

    /// Discards the bytes delivered to the caller, which belong to an attempt
    /// that will not be finished.
    fn discard_delivered_bytes(&mut self) {
        if self.delivered_bytes > 0 {
            self.delivered_bytes = 0;
            self.pending_items.push_back(AnswerItem::Restart);
        }
    }

    /// Ends the request with a failure. The `Retry-After` of an overload gets
    /// jitter, so that callers don't come back all at once.
    pub(super) fn finish_with_failure(&mut self, mut failure: RequestFailure) {
        if failure.code == ResultCode::Overloaded {
            let spread = |it| patience::add_retry_jitter(it, rand::random());
            failure.retry_after = failure.retry_after.map(spread);
        }
        self.finished = true;
        self.pending_items.push_back(AnswerItem::Failed(failure));
    }

    /// Whether the work certainly did not run, or may have run in an earlier
    /// attempt.
    pub(super) fn execution_state(&self) -> ExecutionStatus {
        if self.may_have_run {
            ExecutionStatus::OutcomeUnknown
        } else {
            ExecutionStatus::NotRun
        }
    }

    /// Records the success of the work in the retry budget and in the
    /// quarantine.
    pub(super) fn record_success(&self) {
        if let ForwardTask::Work(work_request) = &self.task {
            let budget = &work_request.service.retry_budget;
            lock(budget).record_success();
            quarantine::record_crash_free_request(&self.shared, work_request);
        }
    }

    /// The failure when no linked agent is, or took over from, an agent
    /// process. The failure is final, without a `Retry-After`, only when the
    /// process is known to have ended.
    pub(super) fn unreachable_process_failure(
        &self,
        incarnation: id::Incarnation,
    ) -> RequestFailure {
        let view = self.shared.published_view.current_view();
        if is_process_ended(&view, &self.task, incarnation) {
            return RequestFailure::new(
                ResultCode::TargetGone,
                ExecutionStatus::OutcomeUnknown,
            );
        }
        unknown_outcome_failure(ResultCode::LinkLost)
    }

    /// Returns the target whose agent is, or took over from, an agent process.
    /// Waits a short time for a broken link to come up again.
    pub(super) async fn wait_for_answering_target(
        &self,
        target_name: &str,
        incarnation: id::Incarnation,
    ) -> Option<Arc<Target>> {
        let now = Millis::now();
        let until = now + self.shared.settings.link_resume_timeout;
        let until = until.min(self.deadline.max(now));
        loop {
            let view = self.shared.published_view.current_view();
            let found = view.target_answering_for(target_name, incarnation);
            if found.is_some() || Millis::now() >= until {
                return found;
            }
            if is_process_ended(&view, &self.task, incarnation) {
                return None;
            }
            sleep(LINK_POLL_INTERVAL).await;
        }
    }
}

/// Whether the agent process that a ticket or resume token names is known to
/// have ended, so that only an agent that took over from it could help.
/// Missing heartbeats alone prove nothing.
fn is_process_ended(
    view: &crate::view::ConfigView,
    task: &ForwardTask,
    incarnation: id::Incarnation,
) -> bool {
    let name = match task {
        ForwardTask::Work(work_request) => {
            work_request.signed_ticket.as_ref().map(|it| &it.1.target)
        }
        ForwardTask::KeptAnswer { token, .. } => Some(&token.target),
    };
    let Some(name) = name else { return false };
    let Some(target) = view.targets.get(name) else {
        // The operators have removed the target.
        return true;
    };
    match target.agent_link.load_full() {
        Some(link) => link.agent_incarnation() != incarnation,
        None => target.vm_gone.load(Ordering::Relaxed),
    }
}

/// A failure whose outcome is unknown, with a `Retry-After`.
pub(super) fn unknown_outcome_failure(code: ResultCode) -> RequestFailure {
    RequestFailure::new(code, ExecutionStatus::OutcomeUnknown)
        .with_retry_after(UNKNOWN_OUTCOME_RETRY_AFTER)
}
