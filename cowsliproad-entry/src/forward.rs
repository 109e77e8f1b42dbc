//! Forwards one request in one or more attempts and returns its one whole
//! answer.
//!
//! A [`RequestForwarder`] is a pull-based state machine:
//! [`RequestForwarder::next_item`] returns the next item for the caller. One
//! attempt is relayed at a time. What happens when an attempt fails depends on
//! whether the work may be repeated:
//!
//! * Repeatable work whose link broke is first resumed where the answer
//!   stopped, if the same agent process is linked again soon. Otherwise
//!   another attempt starts at another target, within the retry budget, and
//!   the caller is sent a restart that discards the bytes so far.
//! * Work that must not be repeated is only submitted again with the same
//!   ticket, to the agent process that the ticket names or to the process that
//!   took over from it. When neither can be reached soon, the answer is
//!   OUTCOME_UNKNOWN at once, with a `Retry-After`.
//!
//! NOT_RUN is returned for repeatable work only when every attempt was refused
//! by its agent or never left this entry process.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use cowsliproad_admission::{
    memory::Charge,
    quarantine::{QuarantineVerdict, WorkDigest},
    ticket::{self, Ticket, TokenPurpose},
};
use cowsliproad_config::object::{RequestRepeatability, RequestType};
use cowsliproad_kernel::{
    Name,
    clock::Millis,
    code::{ExecutionStatus, ResultCode},
    id,
    wire::{
        AnswerAck, AnswerEnd, FetchAnswerRequest, Frame, RequestFailure,
        RequestPersistence, SEND_WINDOW_BYTES, SubmitMode, SubmitRequest,
    },
};
use cowsliproad_net::timer::timeout;
use cowsliproad_relay::{AnswerAssembly, AssemblyProgress};
use tokio::sync::mpsc;

use crate::{
    EntryState, choose, quarantine,
    target::{
        AgentLink, AttemptEvent, AttemptOutcome, Target, classify_failure,
    },
    view::Service,
};

use self::failure::unknown_outcome_failure;

mod failure;

/// The maximum number of submissions of one request.
const MAX_SUBMISSIONS_PER_REQUEST: u32 = 4;

/// The maximum number of retries after refusals by leaving targets that cost
/// no retry budget.
const MAX_FREE_RETRIES: u32 = 3;

/// The interval at which a request checks whether its broken link is up again.
const LINK_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How long after the deadline the agent may report. The agent reports at the
/// deadline whether the work ran; without the report the entry process can
/// only answer "unknown".
const AGENT_REPORT_TIMEOUT: Millis = Millis(500);

/// The `Retry-After` of an answer with an unknown outcome.
const UNKNOWN_OUTCOME_RETRY_AFTER: Millis = Millis(1_000);

/// The `Retry-After` when no target can be reached and none is in a cooldown.
const NO_TARGET_RETRY_AFTER: Millis = Millis(1_000);

/// The lifetime of a resume token.
const RESUME_TOKEN_TTL: Millis = Millis(10 * 60 * 1000);

/// An item of the answer to a caller.
#[derive(Debug)]
pub enum AnswerItem {
    /// The resume token of the work, which the agent has recorded.
    Accepted(String),
    /// The next bytes of the answer.
    Bytes(Vec<u8>),
    /// All answer bytes so far are to be discarded: another attempt starts
    /// from the first byte.
    Restart,
    /// The answer is complete.
    Done(AnswerEnd),
    /// The request ended without a complete answer.
    Failed(RequestFailure),
}

/// A request to be forwarded to a target.
#[derive(Clone, Debug)]
pub struct WorkRequest {
    /// The id of the request.
    pub request_id: id::Request,
    /// The organisation that sent the request.
    pub organisation: Name,
    /// The weight of the organisation in the agents' queues.
    pub organisation_weight: u32,
    /// The service that the request is for.
    pub service: Arc<Service>,
    /// The type of the request.
    pub request_type: Arc<RequestType>,
    /// The signed text and the fields of the ticket, for work that must not be
    /// repeated.
    pub signed_ticket: Option<(String, Ticket)>,
    /// The idempotency key that the caller sent.
    pub idempotency_key: Option<Name>,
    /// Whether the agent keeps the work and its answer when no caller is
    /// connected.
    pub persistence: RequestPersistence,
    /// The time after which the answer is of no use to the caller.
    pub answer_deadline: Millis,
    /// The request body, one JSON value.
    pub request_body: Vec<u8>,
    /// The charge of the body, which ends with the request.
    pub body_charge: Arc<Charge>,
    /// A digest of the work, equal for all requests with the same
    /// organisation, service, type and body.
    pub work_digest: WorkDigest,
}

/// The work or the kept answer that is forwarded.
#[derive(Debug)]
enum ForwardTask {
    /// Work that is submitted to a target.
    Work(Box<WorkRequest>),
    /// A kept answer that is read out from a byte offset.
    KeptAnswer { token: Ticket, first_byte: u64 },
}

/// Forwards one request and returns its answer item by item.
#[derive(Debug)]
pub struct RequestForwarder {
    shared: Arc<EntryState>,
    task: ForwardTask,
    deadline: Millis,
    current_attempt: Option<ActiveAttempt>,
    pending_items: VecDeque<AnswerItem>,
    tried_targets: Vec<Name>,
    submission_count: u32,
    free_retry_count: u32,
    resume_token_sent: bool,
    delivered_bytes: u64,
    may_have_run: bool,
    finished: bool,
}

/// An attempt whose events are received.
#[derive(Debug)]
struct ActiveAttempt {
    target: Arc<Target>,
    link: Arc<AgentLink>,
    events: mpsc::UnboundedReceiver<AttemptEvent>,
    assembly: AnswerAssembly,
    request_id: id::Request,
    acknowledged_bytes: u64,
}

impl RequestForwarder {
    /// Forwards work to a target.
    pub fn new(
        shared: Arc<EntryState>,
        work_request: WorkRequest,
    ) -> RequestForwarder {
        let deadline = work_request.answer_deadline;
        RequestForwarder::with_task(
            shared,
            ForwardTask::Work(Box::new(work_request)),
            deadline,
            0,
        )
    }

    /// Reads out a kept answer, starting at the byte offset `first_byte`.
    pub fn for_kept_answer(
        shared: Arc<EntryState>,
        token: Ticket,
        first_byte: u64,
        deadline: Millis,
    ) -> RequestForwarder {
        RequestForwarder::with_task(
            shared,
            ForwardTask::KeptAnswer { token, first_byte },
            deadline,
            first_byte,
        )
    }

    fn with_task(
        shared: Arc<EntryState>,
        task: ForwardTask,
        deadline: Millis,
        delivered_bytes: u64,
    ) -> RequestForwarder {
        RequestForwarder {
            shared,
            task,
            deadline,
            current_attempt: None,
            pending_items: VecDeque::new(),
            tried_targets: Vec::new(),
            submission_count: 0,
            free_retry_count: 0,
            resume_token_sent: false,
            delivered_bytes,
            may_have_run: false,
            finished: false,
        }
    }

    /// Returns the next item for the caller, and `None` after
    /// [`AnswerItem::Done`] or [`AnswerItem::Failed`].
    pub async fn next_item(&mut self) -> Option<AnswerItem> {
        loop {
            if let Some(item) = self.pending_items.pop_front() {
                return Some(item);
            }
            if self.finished {
                return None;
            }
            match self.current_attempt.take() {
                None => self.start_attempt().await,
                Some(attempt) => self.handle_next_event(attempt).await,
            }
        }
    }

    /// Detaches from the current attempt. The agent goes on with the work, and
    /// the caller can reclaim the answer by its resume token.
    pub fn detach_from_work(mut self) {
        if let Some(attempt) = self.current_attempt.take() {
            attempt.link.unregister_attempt(attempt.assembly.attempt());
            attempt
                .target
                .record_attempt_end(AttemptOutcome::Neutral, Millis::now());
            let detach = Frame::Detach(attempt.assembly.attempt());
            let _ = attempt.link.try_send_frame(detach);
        }
    }

    /// Starts the next attempt.
    async fn start_attempt(&mut self) {
        match &self.task {
            ForwardTask::KeptAnswer { token, first_byte } => {
                let (token, first_byte) = (token.clone(), *first_byte);
                self.reclaim_kept_answer(token, first_byte).await;
            }
            ForwardTask::Work(work_request) => match &work_request
                .signed_ticket
            {
                Some((_, ticket)) => {
                    let name = ticket.target.clone();
                    self.submit_ticketed_work(name, ticket.incarnation).await;
                }
                None => self.submit_repeatable_work().await,
            },
        }
    }

    async fn reclaim_kept_answer(&mut self, token: Ticket, first_byte: u64) {
        let Some(target) = self
            .wait_for_answering_target(&token.target, token.incarnation)
            .await
        else {
            return self.finish_with_failure(
                self.unreachable_process_failure(token.incarnation),
            );
        };
        let attempt = id::Attempt::random();
        let reclaim = FetchAnswerRequest {
            attempt,
            request: token.request,
            organisation: token.organisation,
            first_byte_offset: first_byte,
        };
        let assembly = AnswerAssembly::starting_at(attempt, first_byte);
        self.send_first_frame(
            target,
            Frame::FetchAnswerRequest(reclaim),
            assembly,
            token.request,
        )
        .await;
    }

    /// Submits work to the agent process that its ticket names, or to the
    /// process that took over from it.
    async fn submit_ticketed_work(
        &mut self,
        target_name: Name,
        incarnation: id::Incarnation,
    ) {
        if self.submission_count >= MAX_SUBMISSIONS_PER_REQUEST {
            return self.finish_with_failure(unknown_outcome_failure(
                ResultCode::LinkLost,
            ));
        }
        let Some(target) =
            self.wait_for_answering_target(&target_name, incarnation).await
        else {
            return self.finish_with_failure(
                self.unreachable_process_failure(incarnation),
            );
        };
        self.submit_to_target(target).await;
    }

    /// Submits work that needs no ticket to a chosen target.
    async fn submit_repeatable_work(&mut self) {
        let ForwardTask::Work(work_request) = &self.task else { return };
        let chosen = choose::choose_attempt_target(
            &self.shared,
            work_request,
            &self.tried_targets,
        );
        let target = match chosen {
            Some(target) => target,
            None => match self.earliest_target_out_of_cooldown(work_request) {
                Ok(target) => target,
                Err(failure) => return self.finish_with_failure(failure),
            },
        };
        self.submit_to_target(target).await;
    }

    /// Returns the target whose cooldown ends first, if it ends before the
    /// request's deadline. The work waits at the agent of that target.
    fn earliest_target_out_of_cooldown(
        &self,
        work_request: &WorkRequest,
    ) -> Result<Arc<Target>, RequestFailure> {
        let (service, tried_targets) =
            (&work_request.service, &self.tried_targets);
        choose::earliest_target_out_of_cooldown(
            service,
            tried_targets,
            self.deadline,
        )
        .map_err(|wait| {
            let (code, wait) = match wait {
                Some(wait) => (ResultCode::Overloaded, wait),
                None => (ResultCode::NoTarget, NO_TARGET_RETRY_AFTER),
            };
            RequestFailure::new(code, self.execution_state())
                .with_retry_after(wait)
        })
    }

    async fn submit_to_target(&mut self, target: Arc<Target>) {
        let ForwardTask::Work(work_request) = &self.task else { return };
        let submit_mode =
            match quarantine::check_quarantine(&self.shared, work_request) {
                QuarantineVerdict::Allowed => SubmitMode::Run,
                // The agent still reports the outcome of earlier submissions of
                // quarantined work.
                QuarantineVerdict::Refused(_)
                | QuarantineVerdict::Suspended(_)
                    if may_be_recorded_by_agent(work_request) =>
                {
                    SubmitMode::ReportOnly
                }
                QuarantineVerdict::Refused(after)
                | QuarantineVerdict::Suspended(after) => {
                    let (shared, ran) = (&self.shared, self.execution_state());
                    let failure = quarantine::refuse_quarantined(
                        shared,
                        work_request,
                        ran,
                        after,
                    );
                    return self.finish_with_failure(failure);
                }
            };
        let attempt = id::Attempt::random();
        let time_left = self.deadline.since(Millis::now());
        let submit = SubmitRequest {
            attempt,
            request: work_request.request_id,
            organisation: work_request.organisation.clone(),
            request_type: work_request.request_type.name.clone(),
            urgency: work_request.request_type.urgency,
            time_left,
            ticket: work_request
                .signed_ticket
                .as_ref()
                .map(|it| it.0.clone().into_bytes()),
            idempotency_key: work_request.idempotency_key.clone(),
            persistence: work_request.persistence,
            queue_weight: work_request.organisation_weight,
            body: work_request.request_body.clone(),
            mode: submit_mode,
        };
        let request = work_request.request_id;
        self.submission_count += 1;
        let frame = Frame::SubmitRequest(Box::new(submit));
        let assembly = AnswerAssembly::new(attempt);
        self.send_first_frame(target, frame, assembly, request).await;
    }

    /// Sends the first frame of an attempt to a target.
    async fn send_first_frame(
        &mut self,
        target: Arc<Target>,
        frame: Frame,
        assembly: AnswerAssembly,
        request: id::Request,
    ) {
        let Some(link) = target.agent_link.load_full() else {
            return self.handle_unsent_attempt(target);
        };
        let attempt = assembly.attempt();
        let events = link.register_attempt(attempt);
        target.record_attempt_start(Millis::now());
        if link.send_frame(frame).await.is_err() {
            link.unregister_attempt(attempt);
            target.record_attempt_end(AttemptOutcome::Failed, Millis::now());
            return self.handle_unsent_attempt(target);
        }
        let acknowledged_bytes = assembly.next_byte_offset();
        self.current_attempt = Some(ActiveAttempt {
            target,
            link,
            events,
            assembly,
            request_id: request,
            acknowledged_bytes,
        });
    }

    /// Handles an attempt that never left this entry process.
    fn handle_unsent_attempt(&mut self, target: Arc<Target>) {
        let failure = RequestFailure::new(
            ResultCode::LinkLost,
            ExecutionStatus::NotForwarded,
        );
        match &self.task {
            // The next attempt looks for the process of the ticket again.
            ForwardTask::Work(work_request)
                if work_request.signed_ticket.is_some() => {}
            _ => {
                self.tried_targets.push(target.name.clone());
                self.handle_failed_attempt(failure);
            }
        }
    }

    /// Waits for the next event of an attempt and handles it.
    async fn handle_next_event(&mut self, mut attempt: ActiveAttempt) {
        let left = self.deadline.since(Millis::now()) + AGENT_REPORT_TIMEOUT;
        let left = left.duration();
        let event = match timeout(left, attempt.events.recv()).await {
            Ok(Some(event)) => event,
            Ok(None) => AttemptEvent::Lost,
            Err(_) => return self.fail_timed_out(attempt),
        };
        match event {
            AttemptEvent::Accepted(request) => {
                self.handle_accepted(attempt, request)
            }
            AttemptEvent::Data(data) => {
                let progress = attempt.assembly.push_data(data);
                self.handle_progress(attempt, progress);
            }
            AttemptEvent::End(end) => {
                let progress = attempt.assembly.push_end(end);
                self.handle_progress(attempt, progress);
            }
            AttemptEvent::Refused(failure) => {
                attempt.record_outcome(classify_failure(&failure));
                self.tried_targets.push(attempt.target.name.clone());
                self.handle_failed_attempt(failure);
            }
            AttemptEvent::Lost => self.handle_lost_link(attempt).await,
        }
    }

    fn handle_accepted(
        &mut self,
        mut attempt: ActiveAttempt,
        request: id::Request,
    ) {
        attempt.request_id = request;
        if !self.resume_token_sent {
            self.resume_token_sent = true;
            let token = self.sign_resume_token(&attempt);
            self.pending_items.push_back(AnswerItem::Accepted(token));
        }
        self.current_attempt = Some(attempt);
    }

    /// Signs the resume token for the work of an attempt.
    fn sign_resume_token(&self, attempt: &ActiveAttempt) -> String {
        let clock =
            attempt.target.last_heartbeat().map(|(heartbeat, received_at)| {
                heartbeat.sender_clock + Millis::now().since(received_at)
            });
        let token = match &self.task {
            ForwardTask::Work(work_request) => Ticket {
                purpose: TokenPurpose::Resume,
                organisation: work_request.organisation.clone(),
                service: work_request.service.name.clone(),
                request_type: work_request.request_type.name.clone(),
                target: attempt.target.name.clone(),
                incarnation: attempt.link.agent_incarnation(),
                request: attempt.request_id,
                expiry: clock.unwrap_or_default() + RESUME_TOKEN_TTL,
            },
            ForwardTask::KeptAnswer { token, .. } => token.clone(),
        };
        ticket::sign(&token, &self.shared.ticket_key)
    }

    fn handle_progress(
        &mut self,
        attempt: ActiveAttempt,
        progress: AssemblyProgress,
    ) {
        match progress {
            AssemblyProgress::Pending => self.current_attempt = Some(attempt),
            AssemblyProgress::Bytes(bytes) => {
                self.queue_answer_bytes(bytes);
                self.current_attempt = Some(attempt);
                self.acknowledge_received_bytes();
            }
            AssemblyProgress::Complete(bytes) => {
                self.queue_answer_bytes(bytes);
                let end = attempt.assembly.end_frame().cloned();
                attempt.record_outcome(AttemptOutcome::Whole);
                self.record_success();
                self.finished = true;
                self.pending_items.extend(end.map(AnswerItem::Done));
            }
            AssemblyProgress::Broken => {
                attempt.detach_attempt();
                self.tried_targets.push(attempt.target.name.clone());
                let failure = RequestFailure::new(
                    ResultCode::TargetFailed,
                    ExecutionStatus::OutcomeUnknown,
                );
                self.handle_failed_attempt(failure);
            }
        }
    }

    /// Queues answer bytes for the caller.
    fn queue_answer_bytes(&mut self, bytes: Vec<u8>) {
        if !bytes.is_empty() {
            self.delivered_bytes += bytes.len() as u64;
            self.pending_items.push_back(AnswerItem::Bytes(bytes));
        }
    }

    /// Acknowledges received bytes to the agent once a quarter of its send
    /// window is used. This runs when the caller reads on, so a slow caller
    /// slows the agent down.
    fn acknowledge_received_bytes(&mut self) {
        let Some(attempt) = &mut self.current_attempt else { return };
        let reached = attempt.assembly.next_byte_offset();
        if reached - attempt.acknowledged_bytes < SEND_WINDOW_BYTES / 4 {
            return;
        }
        attempt.acknowledged_bytes = reached;
        let ack = AnswerAck {
            attempt: attempt.assembly.attempt(),
            delivered_bytes: reached,
        };
        let _ = attempt.link.try_send_frame(Frame::AnswerAck(ack));
    }
}

impl Drop for RequestForwarder {
    fn drop(&mut self) {
        if let Some(attempt) = self.current_attempt.take() {
            attempt.detach_attempt();
        }
    }
}

impl ActiveAttempt {
    /// Records the outcome of an attempt and stops receiving its events.
    fn record_outcome(&self, outcome: AttemptOutcome) {
        self.link.unregister_attempt(self.assembly.attempt());
        self.target.record_attempt_end(outcome, Millis::now());
    }

    /// Stops receiving the events of an unfinished attempt and sends the agent
    /// a detach frame.
    fn detach_attempt(&self) {
        self.record_outcome(AttemptOutcome::Neutral);
        let detach = Frame::Detach(self.assembly.attempt());
        let _ = self.link.try_send_frame(detach);
    }
}

/// Whether an agent may have recorded the work before.
fn may_be_recorded_by_agent(work_request: &WorkRequest) -> bool {
    work_request.signed_ticket.is_some()
        || work_request.idempotency_key.is_some()
}

/// Whether requests of a type need a ticket.
pub fn needs_ticket(request_type: &RequestType) -> bool {
    request_type.repeat == RequestRepeatability::Never
}
