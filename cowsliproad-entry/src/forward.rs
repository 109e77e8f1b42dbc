//! One request's attempts, and its one whole answer.
//!
//! A [`Forward`] is a pull-based machine: [`Forward::next`] returns the next
//! thing to tell the caller. One attempt is relayed at a time. What happens
//! when an attempt fails depends on whether the work may be repeated:
//!
//! * Repeatable work whose link broke is first taken up again where it
//!   stopped, if the same agent process comes back soon; otherwise another
//!   attempt starts elsewhere, within the retry budget, and the caller is
//!   told to discard what it has.
//! * Work that must not be repeated is only ever submitted again with the
//!   same ticket, to the process that the ticket names or the one that
//!   answers for it. When neither can be reached soon, the answer is
//!   OUTCOME_UNKNOWN at once, with a time to ask again.
//!
//! NOT_RUN is said of repeatable work only when every attempt was refused
//! by its agent or never left this entry.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use cowsliproad_admission::{
    quarantine::{QuarantineVerdict, WorkDigest},
    ticket::{self, Ticket, TokenPurpose},
};
use cowsliproad_config::object::{RequestRepeatability, RequestType};
use cowsliproad_kernel::{
    Name,
    clock::Millis,
    code::{Code, ExecutionStatus},
    id,
    wire::{
        AnswerAck, AnswerEnd, Frame, ReclaimAnswer, RequestFailure,
        RequestPersistence, SEND_WINDOW_BYTES, SubmitMode, SubmitRequest,
    },
};
use cowsliproad_relay::{AnswerAssembly, AssemblyProgress};
use tokio::{sync::mpsc, time::timeout};

use crate::{
    Shared, choose, quarantine,
    target::{Event, Link, Outcome, Target, outcome},
    view::Service,
};

use self::failure::unknown;

mod failure;

/// Attempts that one request may take.
const MAX_ATTEMPTS: u32 = 4;

/// Attempts refused by leaving targets that cost no retry budget.
const FREE_MOVES: u32 = 3;

/// How often a lost link is looked for.
const LOOK_AGAIN: Duration = Duration::from_millis(10);

/// How long after the deadline the agent's own word may take. It says at
/// the deadline whether the work ran; this entry can only say "unknown".
const AGENT_WORD: Millis = Millis(500);

/// When to ask again after an unknown outcome.
const ASK_AGAIN: Millis = Millis(1_000);

/// When to come back after a refusal that states no time.
const COME_BACK: Millis = Millis(1_000);

/// The lifetime of a resume token.
const TOKEN_LIFE: Millis = Millis(10 * 60 * 1000);

/// What the caller is told next.
#[derive(Debug)]
pub enum Item {
    /// The request is kept under this token.
    Accepted(String),
    /// Bytes of the answer.
    Bytes(Vec<u8>),
    /// All bytes so far are to be discarded.
    Restart,
    /// The answer is whole.
    Done(AnswerEnd),
    /// There is no answer.
    Failed(RequestFailure),
}

/// A request to be forwarded.
#[derive(Clone, Debug)]
pub struct Order {
    /// The request.
    pub request: id::Request,
    /// Who asks.
    pub organisation: Name,
    /// The organisation's weight.
    pub share: u32,
    /// The service.
    pub service: Arc<Service>,
    /// The request type.
    pub request_type: Arc<RequestType>,
    /// The ticket, for work that must not be repeated.
    pub ticket: Option<(String, Ticket)>,
    /// The caller's idempotency key.
    pub key: Option<Name>,
    /// Whether the work goes on when nobody listens.
    pub persistence: RequestPersistence,
    /// When the answer has lost its use.
    pub deadline: Millis,
    /// The body.
    pub body: Vec<u8>,
    /// What the work is, whatever the request.
    pub work: WorkDigest,
}

/// What is forwarded.
#[derive(Debug)]
enum Task {
    /// Work to be done.
    Work(Box<Order>),
    /// A kept answer to be read out.
    Kept { token: Ticket, from: u64 },
}

/// A request on its way.
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

/// An attempt that is listened to.
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
    /// Forwards work.
    pub fn new(shared: Arc<Shared>, order: Order) -> Forward {
        let deadline = order.deadline;
        Forward::of(shared, Task::Work(Box::new(order)), deadline, 0)
    }

    /// Reads out a kept answer from an offset.
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

    /// The next thing to tell the caller; after [`Item::Done`] and
    /// [`Item::Failed`] there is none.
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

    /// Lets the work go on unheard, to be reclaimed by its token.
    pub fn leave(mut self) {
        if let Some(attempt) = self.current.take() {
            attempt.link.forget(attempt.assembly.attempt());
            attempt.target.end(Outcome::Neutral, Millis::now());
            let detach = Frame::Detach(attempt.assembly.attempt());
            let _ = attempt.link.try_send(detach);
        }
    }

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
        let reclaim = ReclaimAnswer {
            attempt,
            request: token.request,
            organisation: token.organisation,
            first_byte_offset: from,
        };
        let assembly = AnswerAssembly::starting_at(attempt, from);
        self.send(
            target,
            Frame::ReclaimAnswer(reclaim),
            assembly,
            token.request,
        )
        .await;
    }

    /// Submits with the ticket to the process that it names.
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

    /// The target at whose agent work waits that no target takes now, if one
    /// takes it in time.
    fn wait_for_return(
        &self,
        order: &Order,
    ) -> Result<Arc<Target>, RequestFailure> {
        let (service, tried) = (&order.service, &self.tried);
        choose::first_to_return(service, tried, self.deadline).map_err(
            |wait| {
                let (code, wait) = match wait {
                    Some(wait) => (Code::Overloaded, wait),
                    None => (Code::NoTarget, COME_BACK),
                };
                RequestFailure::new(code, self.ran()).with_retry_after(wait)
            },
        )
    }

    async fn submit(&mut self, target: Arc<Target>) {
        let Task::Work(order) = &self.task else { return };
        let permit = match quarantine::verdict(&self.shared, order) {
            QuarantineVerdict::Allowed => SubmitMode::Run,
            // What became of earlier submissions is still told.
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
        let submit = SubmitRequest {
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
        let frame = Frame::SubmitRequest(Box::new(submit));
        let assembly = AnswerAssembly::new(attempt);
        self.send(target, frame, assembly, request).await;
    }

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
        let acknowledged = assembly.next_byte_offset();
        self.current = Some(Attempt {
            target,
            link,
            events,
            assembly,
            request,
            acknowledged,
        });
    }

    /// The attempt never left this entry.
    fn not_sent(&mut self, target: Arc<Target>) {
        let failure =
            RequestFailure::new(Code::LinkLost, ExecutionStatus::NotForwarded);
        match &self.task {
            // The next round looks for the ticket's process again.
            Task::Work(order) if order.ticket.is_some() => {}
            _ => {
                self.tried.push(target.name.clone());
                self.after_failure(failure);
            }
        }
    }

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

    fn token(&self, attempt: &Attempt) -> String {
        let clock = attempt
            .target
            .beat()
            .map(|(beat, at)| beat.sender_clock + Millis::now().since(at));
        let token = match &self.task {
            Task::Work(order) => Ticket {
                purpose: TokenPurpose::Resume,
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

    fn on_progress(&mut self, attempt: Attempt, progress: AssemblyProgress) {
        match progress {
            AssemblyProgress::Pending => self.current = Some(attempt),
            AssemblyProgress::Bytes(bytes) => {
                self.give(bytes);
                self.current = Some(attempt);
                self.acknowledge();
            }
            AssemblyProgress::Complete(bytes) => {
                self.give(bytes);
                let end = attempt.assembly.end_frame().cloned();
                attempt.end(Outcome::Whole);
                self.earn();
                self.finished = true;
                self.ready.extend(end.map(Item::Done));
            }
            AssemblyProgress::Broken => {
                attempt.detach();
                self.tried.push(attempt.target.name.clone());
                let failure = RequestFailure::new(
                    Code::TargetFailed,
                    ExecutionStatus::OutcomeUnknown,
                );
                self.after_failure(failure);
            }
        }
    }

    fn give(&mut self, bytes: Vec<u8>) {
        if !bytes.is_empty() {
            self.given += bytes.len() as u64;
            self.ready.push_back(Item::Bytes(bytes));
        }
    }

    /// Opens the agent's window, once a good part of it is used up. This
    /// runs when the caller asks for more, so a slow caller holds the agent
    /// back.
    fn acknowledge(&mut self) {
        let Some(attempt) = &mut self.current else { return };
        let reached = attempt.assembly.next_byte_offset();
        if reached - attempt.acknowledged < SEND_WINDOW_BYTES / 4 {
            return;
        }
        attempt.acknowledged = reached;
        let ack = AnswerAck {
            attempt: attempt.assembly.attempt(),
            delivered_bytes: reached,
        };
        let _ = attempt.link.try_send(Frame::AnswerAck(ack));
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
    fn end(&self, outcome: Outcome) {
        self.link.forget(self.assembly.attempt());
        self.target.end(outcome, Millis::now());
    }

    /// Stops listening before the end.
    fn detach(&self) {
        self.end(Outcome::Neutral);
        let detach = Frame::Detach(self.assembly.attempt());
        let _ = self.link.try_send(detach);
    }
}

/// Whether an agent may have taken the work in before.
fn may_be_known(order: &Order) -> bool {
    order.ticket.is_some() || order.key.is_some()
}

/// Whether a type's work needs a ticket.
pub fn needs_ticket(request_type: &RequestType) -> bool {
    request_type.repeat == RequestRepeatability::Never
}
