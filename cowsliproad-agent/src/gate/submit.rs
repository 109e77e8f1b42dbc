//! Taking work in: with a ticket, with a key or as it comes; see the parent
//! module.

use std::sync::Arc;

use cowsliproad_admission::{
    queue::{PushOutcome, QueueItem},
    register::SubmitVerdict,
    ticket::{self, Ticket, TokenPurpose},
};
use cowsliproad_kernel::{
    clock::Millis,
    code::{Code, Execution},
    wire::{ProcessPhase, RequestFailure, SubmitMode, SubmitRequest},
};
use slog::{debug, info};

use super::{Gate, Inner, Keyed};
use crate::work::{Ending, Work};

/// The refusal of work that ends the targets that run it. The entry, which
/// knows of all ends, says when to come back.
const QUARANTINED: RequestFailure = RequestFailure {
    code: Code::Quarantined,
    ran: Execution::NotRun,
    retry_after: None,
};

impl Gate {
    /// Takes work in, or finds what an earlier submission left of it.
    pub fn submit(
        &self,
        submit: &SubmitRequest,
    ) -> Result<Arc<Work>, RequestFailure> {
        let now = Millis::now();
        let mut inner = self.lock();
        let outcome = match &submit.ticket {
            Some(text) => self.submit_ticket(&mut inner, text, submit, now),
            None => self.submit_plain(&mut inner, submit, now),
        };
        drop(inner);
        match &outcome {
            Ok(work) => {
                debug!(self.log, "admit";
                    "request" => %work.request,
                    "organisation" => %submit.organisation,
                    "type" => %submit.request_type);
                self.ready.notify_one();
            }
            Err(failure) => {
                self.count(failure.code);
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

    fn submit_ticket(
        &self,
        inner: &mut Inner,
        text: &[u8],
        submit: &SubmitRequest,
        now: Millis,
    ) -> Result<Arc<Work>, RequestFailure> {
        let ticket = self.open(text, submit)?;
        let leaving = inner.phase == ProcessPhase::Leaving;
        let recalled = submit.mode == SubmitMode::ReportOnly;
        let verdict = if ticket.incarnation == self.incarnation {
            if leaving || recalled {
                inner.register.refuse(&ticket, now)
            } else {
                inner.register.submit(&ticket, now)
            }
        } else if let Some(it) = inner.inherited.get_mut(&ticket.incarnation) {
            let then = it.now(now);
            it.register.submit(&ticket, then)
        } else {
            return Err(RequestFailure::new(
                Code::TargetGone,
                Execution::OutcomeUnknown,
            ));
        };
        match verdict {
            SubmitVerdict::Run => self.enqueue(inner, submit, now),
            SubmitVerdict::Duplicate => {
                inner.works.get(&ticket.request).cloned().ok_or(
                    RequestFailure::new(Code::AnswerDropped, Execution::Ran),
                )
            }
            SubmitVerdict::Refused if recalled => Err(QUARANTINED),
            SubmitVerdict::Refused if leaving => {
                Err(RequestFailure::new(Code::Leaving, Execution::NotRun))
            }
            SubmitVerdict::Refused => {
                Err(RequestFailure::new(Code::TicketBurned, Execution::NotRun))
            }
            SubmitVerdict::Expired => Err(RequestFailure::new(
                Code::TicketExpired,
                Execution::NotRun,
            )),
            SubmitVerdict::TooOld => Err(RequestFailure::new(
                Code::TicketExpired,
                Execution::OutcomeUnknown,
            )),
            SubmitVerdict::RegisterFull => Err(RequestFailure::new(
                Code::RegisterFull,
                Execution::NotForwarded,
            )
            .with_retry_after(Millis(1_000))),
        }
    }

    fn submit_plain(
        &self,
        inner: &mut Inner,
        submit: &SubmitRequest,
        now: Millis,
    ) -> Result<Arc<Work>, RequestFailure> {
        let key = submit.idempotency_key.as_ref();
        let key = key.map(|it| (submit.organisation.clone(), it.clone()));
        if let Some(key) = &key
            && let Some(keyed) = inner.keys.get(key)
        {
            if keyed.body != blake3::hash(&submit.body) {
                return Err(RequestFailure::new(
                    Code::KeyReused,
                    Execution::NotRun,
                ));
            }
            let known = inner.works.get(&keyed.request);
            if let Some(work) = known.filter(|it| !has_failed(it)) {
                return Ok(work.clone());
            }
        }
        let known = inner.works.get(&submit.request);
        if let Some(work) = known.filter(|it| !has_failed(it)) {
            let own = work.organisation == submit.organisation;
            let foreign = RequestFailure::new(
                Code::ForeignToken,
                Execution::NotForwarded,
            );
            return own.then(|| work.clone()).ok_or(foreign);
        }
        if submit.mode == SubmitMode::ReportOnly {
            return Err(QUARANTINED);
        }
        if inner.phase == ProcessPhase::Leaving {
            return Err(RequestFailure::new(Code::Leaving, Execution::NotRun));
        }
        let work = self.enqueue(inner, submit, now)?;
        if let Some(key) = key {
            let body = blake3::hash(&submit.body);
            inner.keys.insert(key, Keyed { request: work.request, body });
        }
        Ok(work)
    }

    fn enqueue(
        &self,
        inner: &mut Inner,
        submit: &SubmitRequest,
        now: Millis,
    ) -> Result<Arc<Work>, RequestFailure> {
        let work = Arc::new(Work::new(submit, now));
        let item = QueueItem {
            organisation: submit.organisation.clone(),
            organisation_weight: submit.queue_weight,
            urgency: submit.urgency,
            deadline: work.deadline,
            work: work.clone(),
        };
        let pace = self.speed(inner);
        // With a free slot nothing waits, so only the deadline can refuse.
        match inner.queue.push(item, pace, now) {
            PushOutcome::Queued => {}
            PushOutcome::Displaced(loser, wait) => {
                let failure =
                    RequestFailure::new(Code::Shed, Execution::NotRun);
                inner.give_up(&loser.work, failure.with_retry_after(wait));
            }
            PushOutcome::Refused(_, wait) => {
                inner.register.refuse_unsent_ticket(work.request);
                return Err(RequestFailure::new(
                    Code::Overloaded,
                    Execution::NotRun,
                )
                .with_retry_after(wait));
            }
        }
        inner.count += 1;
        inner.works.insert(work.request, work.clone());
        Ok(work)
    }

    fn open(
        &self,
        text: &[u8],
        submit: &SubmitRequest,
    ) -> Result<Ticket, RequestFailure> {
        let forged =
            RequestFailure::new(Code::ForgedToken, Execution::NotForwarded);
        let text = std::str::from_utf8(text).map_err(|_| forged)?;
        let ticket =
            ticket::verify(text, &self.ticket_key).map_err(|_| forged)?;
        let fits = ticket.purpose == TokenPurpose::Ticket
            && ticket.organisation == submit.organisation
            && ticket.request_type == submit.request_type
            && ticket.request == submit.request;
        if !fits {
            return Err(RequestFailure::new(
                Code::ForeignToken,
                Execution::NotForwarded,
            ));
        }
        Ok(ticket)
    }
}

fn has_failed(work: &Work) -> bool {
    matches!(work.ending(), Some(Ending::Failed(_)))
}
