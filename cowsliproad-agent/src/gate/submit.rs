//! Admission of submitted requests: with a ticket, with an idempotency key or
//! with neither; see the parent module.

use std::sync::Arc;

use cowsliproad_admission::{
    queue::{PushOutcome, QueueItem},
    register::SubmitVerdict,
    ticket::{self, Ticket, TokenPurpose},
};
use cowsliproad_kernel::{
    clock::Millis,
    code::{ExecutionStatus, ResultCode},
    wire::{ProcessPhase, RequestFailure, SubmitMode, SubmitRequest},
};
use slog::{debug, info};

use super::{GateState, KeyedRequest, TargetGate};
use crate::work::{AnswerEnding, RequestWork};

/// Refuses a quarantined request, which crashes the targets that run it. The
/// entry process, which knows of all crashes, adds the time to retry after.
const QUARANTINED_REFUSAL: RequestFailure = RequestFailure {
    code: ResultCode::Quarantined,
    ran: ExecutionStatus::NotRun,
    retry_after: None,
};

impl TargetGate {
    /// Admits a request, or returns the accepted request if it was submitted
    /// before.
    pub fn submit_request(
        &self,
        submit: &SubmitRequest,
    ) -> Result<Arc<RequestWork>, RequestFailure> {
        let now = Millis::now();
        let mut state = self.lock_state();
        let outcome = match &submit.ticket {
            Some(text) => {
                self.submit_with_ticket(&mut state, text, submit, now)
            }
            None => self.submit_without_ticket(&mut state, submit, now),
        };
        drop(state);
        match &outcome {
            Ok(work) => {
                debug!(self.log, "admit";
                    "request" => %work.request_id,
                    "organisation" => %submit.organisation,
                    "type" => %submit.request_type);
                self.work_available.notify_one();
            }
            Err(failure) => {
                self.count_result(failure.code);
                info!(self.log, "refuse";
                    "request" => %submit.request,
                    "organisation" => %submit.organisation,
                    "type" => %submit.request_type,
                    "code" => failure.code.name(),
                    "ran" => failure.ran.as_str());
            }
        }
        outcome
    }

    fn submit_with_ticket(
        &self,
        state: &mut GateState,
        encoded_ticket: &[u8],
        submit: &SubmitRequest,
        now: Millis,
    ) -> Result<Arc<RequestWork>, RequestFailure> {
        let ticket = self.verify_ticket(encoded_ticket, submit)?;
        let leaving = state.phase == ProcessPhase::Leaving;
        let recalled = submit.mode == SubmitMode::ReportOnly;
        let verdict = if ticket.incarnation == self.incarnation {
            if leaving || recalled {
                state.ticket_register.refuse(&ticket, now)
            } else {
                state.ticket_register.submit(&ticket, now)
            }
        } else if let Some(it) =
            state.inherited_registers.get_mut(&ticket.incarnation)
        {
            let then = it.sender_clock_now(now);
            it.ticket_register.submit(&ticket, then)
        } else {
            return Err(RequestFailure::new(
                ResultCode::TargetGone,
                ExecutionStatus::OutcomeUnknown,
            ));
        };
        match verdict {
            SubmitVerdict::Run => self.enqueue_work(state, submit, now),
            SubmitVerdict::Seen => {
                state.work_by_request.get(&ticket.request).cloned().ok_or(
                    RequestFailure::new(
                        ResultCode::AnswerDropped,
                        ExecutionStatus::Ran,
                    ),
                )
            }
            SubmitVerdict::Burned if recalled => Err(QUARANTINED_REFUSAL),
            SubmitVerdict::Burned if leaving => Err(RequestFailure::new(
                ResultCode::Leaving,
                ExecutionStatus::NotRun,
            )),
            SubmitVerdict::Burned => Err(RequestFailure::new(
                ResultCode::TicketBurned,
                ExecutionStatus::NotRun,
            )),
            SubmitVerdict::Expired => Err(RequestFailure::new(
                ResultCode::TicketExpired,
                ExecutionStatus::NotRun,
            )),
            SubmitVerdict::TooOld => Err(RequestFailure::new(
                ResultCode::TicketExpired,
                ExecutionStatus::OutcomeUnknown,
            )),
            SubmitVerdict::Full => Err(RequestFailure::new(
                ResultCode::RegisterFull,
                ExecutionStatus::NotForwarded,
            )
            .with_retry_after(Millis(1_000))),
        }
    }

    fn submit_without_ticket(
        &self,
        state: &mut GateState,
        submit: &SubmitRequest,
        now: Millis,
    ) -> Result<Arc<RequestWork>, RequestFailure> {
        let key = submit.idempotency_key.as_ref();
        let key = key.map(|it| (submit.organisation.clone(), it.clone()));
        if let Some(key) = &key
            && let Some(keyed) = state.idempotency_keys.get(key)
        {
            if keyed.body_hash != blake3::hash(&submit.body) {
                return Err(RequestFailure::new(
                    ResultCode::KeyReused,
                    ExecutionStatus::NotRun,
                ));
            }
            let known = state.work_by_request.get(&keyed.request);
            if let Some(work) = known.filter(|it| !has_failed(it)) {
                return Ok(work.clone());
            }
        }
        let known = state.work_by_request.get(&submit.request);
        if let Some(work) = known.filter(|it| !has_failed(it)) {
            let own = work.organisation == submit.organisation;
            let foreign = RequestFailure::new(
                ResultCode::ForeignToken,
                ExecutionStatus::NotForwarded,
            );
            return own.then(|| work.clone()).ok_or(foreign);
        }
        if submit.mode == SubmitMode::ReportOnly {
            return Err(QUARANTINED_REFUSAL);
        }
        if state.phase == ProcessPhase::Leaving {
            return Err(RequestFailure::new(
                ResultCode::Leaving,
                ExecutionStatus::NotRun,
            ));
        }
        let work = self.enqueue_work(state, submit, now)?;
        if let Some(key) = key {
            let body_hash = blake3::hash(&submit.body);
            state.idempotency_keys.insert(
                key,
                KeyedRequest { request: work.request_id, body_hash },
            );
        }
        Ok(work)
    }

    fn enqueue_work(
        &self,
        state: &mut GateState,
        submit: &SubmitRequest,
        now: Millis,
    ) -> Result<Arc<RequestWork>, RequestFailure> {
        let work = Arc::new(RequestWork::new(submit, now));
        let item = QueueItem {
            organisation: submit.organisation.clone(),
            organisation_weight: submit.queue_weight,
            urgency: submit.urgency,
            deadline: work.deadline,
            bytes: work.request_body.len(),
            work: work.clone(),
        };
        let service_rate = self.service_rate(state);
        // If no request waits for a slot or for the rate limit, the queue is
        // empty. `push` then refuses this request only if it would miss its
        // deadline.
        match state.request_queue.push(item, service_rate, now) {
            PushOutcome::Queued => {}
            PushOutcome::Displaced(loser, wait) => {
                let failure = RequestFailure::new(
                    ResultCode::Shed,
                    ExecutionStatus::NotRun,
                );
                state.fail_unsent_work(
                    &loser.work,
                    failure.with_retry_after(wait),
                );
            }
            PushOutcome::Refused(_, wait) => {
                state.ticket_register.refuse_unsent_ticket(work.request_id);
                return Err(RequestFailure::new(
                    ResultCode::Overloaded,
                    ExecutionStatus::NotRun,
                )
                .with_retry_after(wait));
            }
        }
        state.accepted_total += 1;
        state.work_by_request.insert(work.request_id, work.clone());
        Ok(work)
    }

    fn verify_ticket(
        &self,
        encoded_ticket: &[u8],
        submit: &SubmitRequest,
    ) -> Result<Ticket, RequestFailure> {
        let forged = RequestFailure::new(
            ResultCode::ForgedToken,
            ExecutionStatus::NotForwarded,
        );
        let text = std::str::from_utf8(encoded_ticket).map_err(|_| forged)?;
        let ticket =
            ticket::verify(text, &self.ticket_key).map_err(|_| forged)?;
        let fits = ticket.purpose == TokenPurpose::Ticket
            && ticket.organisation == submit.organisation
            && ticket.request_type == submit.request_type
            && ticket.request == submit.request;
        if !fits {
            return Err(RequestFailure::new(
                ResultCode::ForeignToken,
                ExecutionStatus::NotForwarded,
            ));
        }
        Ok(ticket)
    }
}

fn has_failed(work: &RequestWork) -> bool {
    matches!(work.answer_ending(), Some(AnswerEnding::Failed(_)))
}
