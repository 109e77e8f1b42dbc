//! Admission, the queue, tickets and kept answers.
//!
//! All of it stands behind one lock that is held for microseconds and never
//! across a call. Invariants:
//!
//! * a ticket's work enters the queue only when the register said to run it,
//!   and the register has recorded it by then;
//! * work that leaves the queue without having been started is given up in
//!   the register in the same critical section, so "not run" stays true;
//! * once leaving, nothing new is taken in.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use cowsliproad_admission::{
    limit::RequestRate,
    queue::{Queue, QueueConfig, ServiceRate},
    register::TicketRegister,
    ticket,
};
use cowsliproad_kernel::{
    Name,
    clock::Millis,
    code::{Code, ExecutionStatus},
    id,
    sync::lock,
    wire::{
        AgentLoad, CancelRequest, FetchAnswerRequest, Handover, Heartbeat,
        ProcessPhase, RequestFailure, StoredAnswer,
    },
};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter},
};
use slog::{Logger, info};
use tokio::sync::Notify;

use crate::{
    ends::Ends,
    pace,
    settings::Settings,
    work::{Ending, Repeat, Wanted, Work},
};

mod submit;

/// The gate in front of a target.
#[derive(Debug)]
pub struct Gate {
    /// The agent's settings.
    pub settings: Arc<Settings>,
    ticket_key: [u8; ticket::TICKET_KEY_BYTES],
    incarnation: id::Incarnation,
    /// Work under which the target's process ended.
    pub ends: Ends,
    /// How many requests a second the target takes.
    pub pace: Arc<pace::Pace>,
    inner: Mutex<Inner>,
    ready: Notify,
    log: Logger,
    results: Counter<u64>,
    held: Histogram<f64>,
}

#[derive(Debug)]
struct Inner {
    phase: ProcessPhase,
    register: TicketRegister,
    inherited: HashMap<id::Incarnation, Inherited>,
    queue: Queue<Arc<Work>>,
    running: u32,
    works: HashMap<id::Request, Arc<Work>>,
    keys: HashMap<(Name, Name), Keyed>,
    finished: VecDeque<Finished>,
    kept_bytes: u64,
    service_us: u64,
    count: u64,
}

/// The records of an agent that stopped.
#[derive(Debug)]
struct Inherited {
    register: TicketRegister,
    /// That agent's clock when it stopped.
    clock: Millis,
    /// This agent's clock then.
    since: Millis,
}

/// What an idempotency key stood for.
#[derive(Debug)]
struct Keyed {
    request: id::Request,
    body: blake3::Hash,
}

#[derive(Debug)]
struct Finished {
    at: Millis,
    request: id::Request,
    bytes: u64,
    key: Option<(Name, Name)>,
}

/// Service time assumed before the first measurement, in microseconds.
const FIRST_GUESS_US: u64 = 5_000;

/// The weight of a new measurement is one part in so many.
const SMOOTHING: u64 = 16;

/// How often waiting work is checked against its deadline.
const SWEEP: Duration = Duration::from_millis(20);

impl Gate {
    /// A gate that takes work.
    pub fn new(settings: Arc<Settings>, log: Logger, meter: &Meter) -> Gate {
        let queue = QueueConfig::new().with_capacity(settings.queue as usize);
        let inner = Inner {
            phase: ProcessPhase::Serving,
            register: TicketRegister::new(settings.tickets as usize),
            inherited: HashMap::new(),
            queue: Queue::new(queue),
            running: 0,
            works: HashMap::new(),
            keys: HashMap::new(),
            finished: VecDeque::new(),
            kept_bytes: 0,
            service_us: FIRST_GUESS_US,
            count: 0,
        };
        let incarnation = id::Incarnation::random();
        Gate {
            ticket_key: settings.key.derive("cowsliproad ticket").0,
            ends: Ends::new(&settings.name, incarnation),
            pace: Arc::new(pace::Pace::new(log.clone())),
            settings,
            incarnation,
            inner: Mutex::new(inner),
            ready: Notify::new(),
            log,
            results: meter.u64_counter("agent_results").build(),
            held: meter.f64_histogram("agent_slot_seconds").build(),
        }
    }

    /// Its logger.
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// This process start.
    pub fn incarnation(&self) -> id::Incarnation {
        self.incarnation
    }

    /// Finds kept or running work for its organisation.
    pub fn reclaim(
        &self,
        reclaim: &FetchAnswerRequest,
    ) -> Result<Arc<Work>, RequestFailure> {
        self.find(reclaim.request, &reclaim.organisation)
    }

    /// Cancels work at its caller's wish.
    pub fn cancel(&self, cancel: &CancelRequest) -> RequestFailure {
        let work = match self.find(cancel.request, &cancel.organisation) {
            Ok(work) => work,
            Err(failure) => return failure,
        };
        let mut inner = self.lock();
        let queued = inner
            .queue
            .remove_first_matching(|it| it.request == cancel.request);
        if queued.is_some() {
            let failure =
                RequestFailure::new(Code::Cancelled, ExecutionStatus::NotRun);
            inner.give_up(&work, failure);
            return failure;
        }
        drop(inner);
        match (work.ending(), work.repeat) {
            (Some(Ending::Whole { .. }), _) => {
                RequestFailure::new(Code::Cancelled, ExecutionStatus::Ran)
            }
            (Some(Ending::Failed(failure)), _) => failure,
            (None, Repeat::Allowed) => {
                work.cancel();
                RequestFailure::new(
                    Code::Cancelled,
                    ExecutionStatus::OutcomeUnknown,
                )
            }
            // Work that must not be repeated is never broken off in its
            // middle, since nobody could say what the target did of it.
            (None, Repeat::Never) => RequestFailure::new(
                Code::InProgress,
                ExecutionStatus::OutcomeUnknown,
            ),
        }
    }

    /// Lets go of work whose last listener left.
    pub fn abandon(&self, work: &Work) {
        if work.wanted() == Wanted::Yes || work.ending().is_some() {
            return;
        }
        let mut inner = self.lock();
        let queued =
            inner.queue.remove_first_matching(|it| it.request == work.request);
        if let Some(item) = queued {
            let failure =
                RequestFailure::new(Code::Cancelled, ExecutionStatus::NotRun);
            inner.give_up(&item.work, failure);
        } else {
            work.cancel();
        }
    }

    /// The next work for the target, holding a slot for it.
    pub async fn next(&self) -> Arc<Work> {
        loop {
            let ready = self.ready.notified();
            // A limit that changes from here on is not missed.
            let changed = self.pace.changes();
            match self.try_next() {
                Next::Work(work) => return work,
                Next::Nothing => ready.await,
                Next::After(wait) => tokio::select! {
                    () = changed => {}
                    () = tokio::time::sleep(wait.duration()) => {}
                },
            }
        }
    }

    /// Ends work that held a slot.
    pub fn finish(
        &self,
        work: &Arc<Work>,
        result: Result<cowsliproad_kernel::wire::AnswerFormat, RequestFailure>,
        held: Duration,
    ) {
        let code = result.err().map_or(Code::Ok, |failure| failure.code);
        work.finish(result);
        let mut inner = self.lock();
        inner.running -= 1;
        inner.measure(held);
        inner.keep(work, Millis::now());
        inner.evict(&self.settings, Millis::now());
        drop(inner);
        self.count(code);
        self.held.record(held.as_secs_f64(), &[]);
        self.ready.notify_one();
    }

    /// The present heartbeat.
    pub fn beat(&self, offset: u64) -> Heartbeat {
        let inner = self.lock();
        Heartbeat {
            sender_name: self.settings.name.clone(),
            incarnation: self.incarnation,
            sender_clock: Millis::now(),
            phase: inner.phase,
            load: inner.load(self.speed(&inner)),
            presence: self.ends.presence(),
            target_cooldown_remaining: self.pace.cooldown(Millis::now()),
            taken_over_incarnations: inner.inherited.keys().copied().collect(),
            next_config_offset: offset,
        }
    }

    /// Takes in nothing new from now on.
    pub fn leave(&self) {
        let mut inner = self.lock();
        inner.phase = ProcessPhase::Leaving;
        info!(self.log, "leave";
            "queued" => inner.queue.len(), "running" => inner.running);
    }

    /// Whether it takes new work.
    pub fn phase(&self) -> ProcessPhase {
        self.lock().phase
    }

    /// Requests waiting or at the target.
    pub fn in_hand(&self) -> usize {
        let inner = self.lock();
        inner.queue.len() + inner.running as usize
    }

    /// Everything a peer needs to answer for this agent. The register is
    /// sealed first, so what it never saw is not run for good.
    pub fn hand_over(&self) -> Estate {
        let mut inner = self.lock();
        inner.register.seal();
        let answers = inner
            .finished
            .iter()
            .filter_map(|it| inner.works.get(&it.request)?.to_answer())
            .collect();
        let mut registers = vec![Sealed {
            incarnation: self.incarnation,
            clock: Millis::now(),
            register: inner.register.clone(),
        }];
        for (incarnation, inherited) in &inner.inherited {
            registers.push(Sealed {
                incarnation: *incarnation,
                clock: inherited.now(Millis::now()),
                register: inherited.register.clone(),
            });
        }
        Estate { registers, answers }
    }

    /// Takes over what a stopping peer hands on.
    pub fn inherit(
        &self,
        handover: Handover,
        register: Option<TicketRegister>,
    ) {
        let now = Millis::now();
        let mut inner = self.lock();
        for answer in handover.stored_answers {
            let work = Arc::new(Work::finished(answer));
            inner.keep(&work, now);
            inner.works.insert(work.request, work);
        }
        if let Some(register) = register {
            let inherited = Inherited {
                register,
                clock: handover.sender_clock,
                since: now,
            };
            inner.inherited.insert(handover.incarnation, inherited);
        }
        inner.evict(&self.settings, now);
        info!(self.log, "inherit";
            "incarnation" => %handover.incarnation,
            "kept" => inner.finished.len());
    }

    fn find(
        &self,
        request: id::Request,
        organisation: &str,
    ) -> Result<Arc<Work>, RequestFailure> {
        let inner = self.lock();
        match inner.works.get(&request) {
            Some(work) if &*work.organisation == organisation => {
                Ok(work.clone())
            }
            Some(_) => Err(RequestFailure::new(
                Code::ForeignToken,
                ExecutionStatus::NotForwarded,
            )),
            None => Err(RequestFailure::new(
                Code::UnknownToken,
                ExecutionStatus::OutcomeUnknown,
            )),
        }
    }

    fn try_next(&self) -> Next {
        let mut inner = self.lock();
        let now = Millis::now();
        let speed = self.speed(&inner);
        inner.lapse(speed, now);
        if inner.running >= self.settings.slots || inner.queue.is_empty() {
            return Next::Nothing;
        }
        if let Err(wait) = self.pace.take(now) {
            return Next::After(wait);
        }
        let Some(item) = inner.queue.pop(now) else { return Next::Nothing };
        inner.running += 1;
        Next::Work(item.work)
    }

    /// How fast the queue empties.
    fn speed(&self, inner: &Inner) -> ServiceRate {
        let (slots, mean_service_us) =
            (self.settings.slots, inner.service_us as u32);
        let (rate, next) = self.pace.limit(Millis::now());
        let min_start_interval_us =
            rate.map_or(0, RequestRate::request_interval_us);
        let next_start_delay_us = u32::try_from(next.0.saturating_mul(1_000));
        let next_start_delay_us = next_start_delay_us.unwrap_or(u32::MAX);
        ServiceRate {
            slots,
            mean_service_us,
            min_start_interval_us,
            next_start_delay_us,
        }
    }

    fn count(&self, code: Code) {
        self.results.add(1, &[KeyValue::new("code", code.name())]);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

/// What the target is to do next.
enum Next {
    Work(Arc<Work>),
    Nothing,
    /// Work waits, but the target takes none for so long.
    After(Millis),
}

/// What a stopping agent leaves to a peer.
#[derive(Debug)]
pub struct Estate {
    /// The records, its own and inherited ones.
    pub registers: Vec<Sealed>,
    /// The kept answers.
    pub answers: Vec<StoredAnswer>,
}

/// The sealed records of one agent process.
#[derive(Debug)]
pub struct Sealed {
    /// Which process.
    pub incarnation: id::Incarnation,
    /// Its clock at the handover.
    pub clock: Millis,
    /// The records.
    pub register: TicketRegister,
}

/// Gives back waiting work that can't meet its deadline any more, at once
/// and without waiting for a slot.
pub async fn sweep(gate: Arc<Gate>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        let mut inner = gate.lock();
        let speed = gate.speed(&inner);
        inner.lapse(speed, Millis::now());
        if gate.pace.take_tightened() {
            inner.shed(speed, Millis::now());
        }
        inner.evict(&gate.settings, Millis::now());
    }
}

impl Inner {
    fn load(&self, speed: ServiceRate) -> AgentLoad {
        AgentLoad {
            queued_requests: self.queue.len() as u32,
            running_requests: self.running,
            target_request_slots: speed.slots,
            // Entries go by how fast the queue empties.
            mean_service_time_us: speed.effective_service_us(),
            accepted_requests_total: self.count,
        }
    }

    fn measure(&mut self, held: Duration) {
        let held = held.as_micros().min(u128::from(u32::MAX)) as u64;
        let old = self.service_us * (SMOOTHING - 1);
        self.service_us = (old + held) / SMOOTHING;
    }

    fn lapse(&mut self, pace: ServiceRate, now: Millis) {
        while let Some(item) = self.queue.remove_expired_item(pace, now) {
            let failure = RequestFailure::new(
                Code::DeadlinePassed,
                ExecutionStatus::NotRun,
            );
            self.give_up(&item.work, failure);
        }
    }

    /// Gives back what a lower limit leaves no time for.
    fn shed(&mut self, pace: ServiceRate, now: Millis) {
        for item in self.queue.remove_items_missing_deadline(pace, now) {
            let failure =
                RequestFailure::new(Code::Overloaded, ExecutionStatus::NotRun);
            let wait = self.queue.estimate_retry_after(pace);
            self.give_up(&item.work, failure.with_retry_after(wait));
        }
    }

    /// Ends work that never reached the target.
    fn give_up(&mut self, work: &Arc<Work>, failure: RequestFailure) {
        self.register.refuse_unsent_ticket(work.request);
        work.finish(Err(failure));
        self.keep(work, Millis::now());
    }

    fn keep(&mut self, work: &Arc<Work>, now: Millis) {
        let bytes = work.length() as u64;
        self.kept_bytes += bytes;
        let key = work.key.clone();
        self.finished.push_back(Finished {
            at: now,
            request: work.request,
            bytes,
            key: key.map(|key| (work.organisation.clone(), key)),
        });
    }

    fn evict(&mut self, settings: &Settings, now: Millis) {
        while let Some(oldest) = self.finished.front() {
            let young = now.since(oldest.at) < settings.kept_ms;
            if young && self.kept_bytes <= settings.kept_bytes {
                return;
            }
            let Some(oldest) = self.finished.pop_front() else { return };
            self.kept_bytes -= oldest.bytes;
            self.works.remove(&oldest.request);
            if let Some(key) = oldest.key
                && self
                    .keys
                    .get(&key)
                    .is_some_and(|it| it.request == oldest.request)
            {
                self.keys.remove(&key);
            }
        }
    }
}

impl Inherited {
    /// What the stopped agent's clock would show now.
    fn now(&self, now: Millis) -> Millis {
        self.clock + now.since(self.since)
    }
}
