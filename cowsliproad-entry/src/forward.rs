//! Forwards one request in one or more attempts and returns its one whole
//! answer.
//!
//! A [`Forward`] is a pull-based state machine: [`Forward::next`] returns the
//! next item for the caller. One attempt is relayed at a time. What happens
//! when an attempt fails depends on whether the work may be repeated:
//!
//! * Repeatable work whose link broke is first resumed where the answer
//!   stopped, if the same agent process is linked again soon. Otherwise
//!   another attempt starts at another target, within the retry budget, and
//!   the caller is sent a restart that discards the bytes so far.
//! * Work that must not be repeated is only submitted again with the same
//!   ticket, to the agent process that the ticket names or to the process that
//!   answers for it. When neither can be reached soon, the answer is
//!   OUTCOME_UNKNOWN at once, with a `Retry-After`.
//!
//! NOT_RUN is returned for repeatable work only when every attempt was refused
//! by its agent or never left this entry process.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use cowsliproad_admission::{
    quarantine::{QuarantineVerdict, WorkDigest},
    ticket::{self, Purpose, Ticket},
};
use cowsliproad_config::object::{Repeat, RequestType};
use cowsliproad_kernel::{
    Name,
    clock::Millis,
    code::{Code, Execution},
    id,
    wire::{
        Ack, AnswerEnd, Failure, Frame, Persistence, Reclaim,
        SEND_WINDOW_BYTES, Submit, SubmitMode,
    },
};
use cowsliproad_relay::{AnswerAssembly, Progress};
use tokio::{sync::mpsc, time::timeout};

use crate::{
    Shared, choose, quarantine,
    target::{Event, Link, Outcome, Target, outcome},
    view::Service,
};

use self::failure::unknown;

mod failure;

/// The maximum number of submissions of one request.
const MAX_ATTEMPTS: u32 = 4;

/// The maximum number of retries after refusals by leaving targets that cost
/// no retry budget.
const FREE_MOVES: u32 = 3;

/// The interval at which a request checks whether its broken link is up again.
const LOOK_AGAIN: Duration = Duration::from_millis(10);

/// How long after the deadline the agent may report. The agent reports at the
/// deadline whether the work ran; without the report the entry process can
/// only answer "unknown".
const AGENT_WORD: Millis = Millis(500);

/// The `Retry-After` of an answer with an unknown outcome.
const ASK_AGAIN: Millis = Millis(1_000);

/// The `Retry-After` when no target can be reached and no cooldown has a known
/// end.
const COME_BACK: Millis = Millis(1_000);

/// The lifetime of a resume token.
const TOKEN_LIFE: Millis = Millis(10 * 60 * 1000);

/// An item of the answer to a caller.
#[derive(Debug)]
pub enum Item {
    /// The agent recorded the work, which this resume token names.
    Accepted(String),
    /// Answer bytes.
    Bytes(Vec<u8>),
    /// All answer bytes so far are to be discarded: another attempt starts
    /// from the first byte.
    Restart,
    /// The answer is complete.
    Done(AnswerEnd),
    /// The request ended without a complete answer.
    Failed(Failure),
}

/// A request to be forwarded to a target.
#[derive(Clone, Debug)]
pub struct Order {
    /// The id of the request.
    pub request: id::Request,
    /// The organisation that sent the request.
    pub organisation: Name,
    /// The weight of the organisation in the agents' queues.
    pub share: u32,
    /// The service that the request is for.
    pub service: Arc<Service>,
    /// The type of the request.
    pub request_type: Arc<RequestType>,
    /// The signed text and the fields of the ticket, for work that must not be
    /// repeated.
    pub ticket: Option<(String, Ticket)>,
    /// The idempotency key that the caller sent.
    pub key: Option<Name>,
    /// Whether the agent keeps the work and its answer when no caller is
    /// connected.
    pub persistence: Persistence,
    /// The time after which the answer is of no use to the caller.
    pub deadline: Millis,
    /// The request body, one JSON value.
    pub body: Vec<u8>,
    /// A digest of the work, equal for all requests with the same
    /// organisation, service, type and body.
    pub work: WorkDigest,
}

/// The work or the kept answer that is forwarded.
#[derive(Debug)]
enum Task {
    /// Work that is submitted to a target.
    Work(Box<Order>),
    /// A kept answer that is read out from an offset.
    Kept { token: Ticket, from: u64 },
}

/// A request being forwarded.
#[derive(Debug)]
pub struct Forward {
    shared: Arc<Shared>,
    task: Task,
    deadline: Millis,
    current: Option<Attempt>,
    ready: VecDeque<Item>,
    tried: Vec<Name>,
    attempts: u32,
    free_moves: u32,
    told_token: bool,
    given: u64,
    maybe_ran: bool,
    finished: bool,
}

/// An attempt whose events are received.
#[derive(Debug)]
struct Attempt {
    target: Arc<Target>,
    link: Arc<Link>,
    events: mpsc::UnboundedReceiver<Event>,
    assembly: AnswerAssembly,
    request: id::Request,
    acknowledged: u64,
}

impl Forward {
    /// Forwards work to a target.
    pub fn new(shared: Arc<Shared>, order: Order) -> Forward {
        let deadline = order.deadline;
        Forward::of(shared, Task::Work(Box::new(order)), deadline, 0)
    }

    /// Reads out a kept answer, starting at the byte offset `from`.
    pub fn kept(
        shared: Arc<Shared>,
        token: Ticket,
        from: u64,
        deadline: Millis,
    ) -> Forward {
        Forward::of(shared, Task::Kept { token, from }, deadline, from)
    }

    fn of(
        shared: Arc<Shared>,
        task: Task,
        deadline: Millis,
        given: u64,
    ) -> Forward {
        Forward {
            shared,
            task,
            deadline,
            current: None,
            ready: VecDeque::new(),
            tried: Vec::new(),
            attempts: 0,
            free_moves: 0,
            told_token: false,
            given,
            maybe_ran: false,
            finished: false,
        }
    }

    /// Returns the next item for the caller, and `None` after [`Item::Done`]
    /// or [`Item::Failed`].
    pub async fn next(&mut self) -> Option<Item> {
        loop {
            if let Some(item) = self.ready.pop_front() {
                return Some(item);
            }
            if self.finished {
                return None;
            }
            match self.current.take() {
                None => self.start().await,
                Some(attempt) => self.listen(attempt).await,
            }
        }
    }

    /// Detaches from the current attempt. The agent goes on with the work, and
    /// the caller can reclaim the answer by its resume token.
    pub fn leave(mut self) {
        if let Some(attempt) = self.current.take() {
            attempt.link.forget(attempt.assembly.attempt());
            attempt.target.end(Outcome::Neutral, Millis::now());
            let detach = Frame::Detach(attempt.assembly.attempt());
            let _ = attempt.link.try_send(detach);
        }
    }

    /// Starts the next attempt.
    async fn start(&mut self) {
        match &self.task {
            Task::Kept { token, from } => {
                let (token, from) = (token.clone(), *from);
                self.start_kept(token, from).await;
            }
            Task::Work(order) => match &order.ticket {
                Some((_, ticket)) => {
                    let name = ticket.target.clone();
                    self.start_ticket(name, ticket.incarnation).await;
                }
                None => self.start_plain().await,
            },
        }
    }

    async fn start_kept(&mut self, token: Ticket, from: u64) {
        let Some(target) = self.holder(&token.target, token.incarnation).await
        else {
            return self.fail(self.out_of_reach(token.incarnation));
        };
        let attempt = id::Attempt::random();
        let reclaim = Reclaim {
            attempt,
            request: token.request,
            organisation: token.organisation,
            first_byte: from,
        };
        let assembly = AnswerAssembly::starting_at(attempt, from);
        self.send(target, Frame::Reclaim(reclaim), assembly, token.request)
            .await;
    }

    /// Submits work to the agent process that its ticket names, or to the
    /// process that answers for it.
    async fn start_ticket(
        &mut self,
        name: Name,
        incarnation: id::Incarnation,
    ) {
        if self.attempts >= MAX_ATTEMPTS {
            return self.fail(unknown(Code::LinkLost));
        }
        let Some(target) = self.holder(&name, incarnation).await else {
            return self.fail(self.out_of_reach(incarnation));
        };
        self.submit(target).await;
    }

    /// Submits work that needs no ticket to a chosen target.
    async fn start_plain(&mut self) {
        let Task::Work(order) = &self.task else { return };
        let chosen = choose::target(&self.shared, order, &self.tried);
        let target = match chosen {
            Some(target) => target,
            None => match self.wait_for_return(order) {
                Ok(target) => target,
                Err(failure) => return self.fail(failure),
            },
        };
        self.submit(target).await;
    }

    /// Returns the target whose cooldown ends first, if it ends before the
    /// deadline. The work waits at the agent of that target.
    fn wait_for_return(&self, order: &Order) -> Result<Arc<Target>, Failure> {
        let (service, tried) = (&order.service, &self.tried);
        choose::first_to_return(service, tried, self.deadline).map_err(
            |wait| {
                let (code, wait) = match wait {
                    Some(wait) => (Code::Overloaded, wait),
                    None => (Code::NoTarget, COME_BACK),
                };
                Failure::new(code, self.ran()).with_retry_after(wait)
            },
        )
    }

    async fn submit(&mut self, target: Arc<Target>) {
        let Task::Work(order) = &self.task else { return };
        let permit = match quarantine::verdict(&self.shared, order) {
            QuarantineVerdict::Allowed => SubmitMode::Run,
            // The agent still reports the outcome of earlier submissions of
            // quarantined work.
            QuarantineVerdict::Refused(_)
            | QuarantineVerdict::Suspended(_)
                if may_be_known(order) =>
            {
                SubmitMode::ReportOnly
            }
            QuarantineVerdict::Refused(after)
            | QuarantineVerdict::Suspended(after) => {
                let (shared, ran) = (&self.shared, self.ran());
                let failure = quarantine::refusal(shared, order, ran, after);
                return self.fail(failure);
            }
        };
        let attempt = id::Attempt::random();
        let budget = self.deadline.since(Millis::now());
        let submit = Submit {
            attempt,
            request: order.request,
            organisation: order.organisation.clone(),
            request_type: order.request_type.name.clone(),
            urgency: order.request_type.urgency,
            time_left: budget,
            ticket: order.ticket.as_ref().map(|it| it.0.clone().into_bytes()),
            idempotency_key: order.key.clone(),
            persistence: order.persistence,
            queue_weight: order.share,
            body: order.body.clone(),
            mode: permit,
        };
        let request = order.request;
        self.attempts += 1;
        let frame = Frame::Submit(Box::new(submit));
        let assembly = AnswerAssembly::new(attempt);
        self.send(target, frame, assembly, request).await;
    }

    /// Sends the first frame of an attempt to a target.
    async fn send(
        &mut self,
        target: Arc<Target>,
        frame: Frame,
        assembly: AnswerAssembly,
        request: id::Request,
    ) {
        let Some(link) = target.link.load_full() else {
            return self.not_sent(target);
        };
        let attempt = assembly.attempt();
        let events = link.listen(attempt);
        target.begin(Millis::now());
        if link.send(frame).await.is_err() {
            link.forget(attempt);
            target.end(Outcome::Failed, Millis::now());
            return self.not_sent(target);
        }
        let acknowledged = assembly.length();
        self.current = Some(Attempt {
            target,
            link,
            events,
            assembly,
            request,
            acknowledged,
        });
    }

    /// Handles an attempt that never left this entry process.
    fn not_sent(&mut self, target: Arc<Target>) {
        let failure = Failure::new(Code::LinkLost, Execution::NotForwarded);
        match &self.task {
            // The next attempt looks for the process of the ticket again.
            Task::Work(order) if order.ticket.is_some() => {}
            _ => {
                self.tried.push(target.name.clone());
                self.after_failure(failure);
            }
        }
    }

    /// Waits for the next event of an attempt and handles it.
    async fn listen(&mut self, mut attempt: Attempt) {
        let left = self.deadline.since(Millis::now()) + AGENT_WORD;
        let left = left.duration();
        let event = match timeout(left, attempt.events.recv()).await {
            Ok(Some(event)) => event,
            Ok(None) => Event::Lost,
            Err(_) => return self.time_out(attempt),
        };
        match event {
            Event::Accepted(request) => self.accepted(attempt, request),
            Event::Data(data) => {
                let progress = attempt.assembly.push_data(data);
                self.on_progress(attempt, progress);
            }
            Event::End(end) => {
                let progress = attempt.assembly.push_end(end);
                self.on_progress(attempt, progress);
            }
            Event::Refused(failure) => {
                attempt.end(outcome(&failure));
                self.tried.push(attempt.target.name.clone());
                self.after_failure(failure);
            }
            Event::Lost => self.lost(attempt).await,
        }
    }

    fn accepted(&mut self, mut attempt: Attempt, request: id::Request) {
        attempt.request = request;
        if !self.told_token {
            self.told_token = true;
            let token = self.token(&attempt);
            self.ready.push_back(Item::Accepted(token));
        }
        self.current = Some(attempt);
    }

    /// Signs the resume token for the work of an attempt.
    fn token(&self, attempt: &Attempt) -> String {
        let clock = attempt
            .target
            .beat()
            .map(|(beat, at)| beat.sender_clock + Millis::now().since(at));
        let token = match &self.task {
            Task::Work(order) => Ticket {
                purpose: Purpose::Resume,
                organisation: order.organisation.clone(),
                service: order.service.name.clone(),
                request_type: order.request_type.name.clone(),
                target: attempt.target.name.clone(),
                incarnation: attempt.link.incarnation(),
                request: attempt.request,
                expiry: clock.unwrap_or_default() + TOKEN_LIFE,
            },
            Task::Kept { token, .. } => token.clone(),
        };
        ticket::sign(&token, &self.shared.ticket_key)
    }

    fn on_progress(&mut self, attempt: Attempt, progress: Progress) {
        match progress {
            Progress::Pending => self.current = Some(attempt),
            Progress::Bytes(bytes) => {
                self.give(bytes);
                self.current = Some(attempt);
                self.acknowledge();
            }
            Progress::Complete(bytes) => {
                self.give(bytes);
                let end = attempt.assembly.end_frame().cloned();
                attempt.end(Outcome::Whole);
                self.earn();
                self.finished = true;
                self.ready.extend(end.map(Item::Done));
            }
            Progress::Broken => {
                attempt.detach();
                self.tried.push(attempt.target.name.clone());
                let failure = Failure::new(
                    Code::TargetFailed,
                    Execution::OutcomeUnknown,
                );
                self.after_failure(failure);
            }
        }
    }

    /// Queues answer bytes for the caller.
    fn give(&mut self, bytes: Vec<u8>) {
        if !bytes.is_empty() {
            self.given += bytes.len() as u64;
            self.ready.push_back(Item::Bytes(bytes));
        }
    }

    /// Acknowledges received bytes to the agent once a quarter of its send
    /// window is used. This runs when the caller reads on, so a slow caller
    /// slows the agent down.
    fn acknowledge(&mut self) {
        let Some(attempt) = &mut self.current else { return };
        let reached = attempt.assembly.length();
        if reached - attempt.acknowledged < SEND_WINDOW_BYTES / 4 {
            return;
        }
        attempt.acknowledged = reached;
        let ack = Ack {
            attempt: attempt.assembly.attempt(),
            delivered_bytes: reached,
        };
        let _ = attempt.link.try_send(Frame::Ack(ack));
    }
}

impl Drop for Forward {
    fn drop(&mut self) {
        if let Some(attempt) = self.current.take() {
            attempt.detach();
        }
    }
}

impl Attempt {
    /// Records the outcome of an attempt and stops receiving its events.
    fn end(&self, outcome: Outcome) {
        self.link.forget(self.assembly.attempt());
        self.target.end(outcome, Millis::now());
    }

    /// Stops receiving the events of an unfinished attempt and sends the agent
    /// a detach frame.
    fn detach(&self) {
        self.end(Outcome::Neutral);
        let detach = Frame::Detach(self.assembly.attempt());
        let _ = self.link.try_send(detach);
    }
}

/// Whether an agent may have recorded the work before.
fn may_be_known(order: &Order) -> bool {
    order.ticket.is_some() || order.key.is_some()
}

/// Whether requests of a type need a ticket.
pub fn needs_ticket(request_type: &RequestType) -> bool {
    request_type.repeat == Repeat::Never
}
