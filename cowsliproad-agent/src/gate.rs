//! Admission, the queue, tickets and kept answers.
//!
//! One lock guards this state. The lock is held for microseconds and never
//! across a call to the target. Invariants:
//!
//! * a request with a ticket enters the queue only after the ticket register
//!   has recorded the ticket and allowed the run;
//! * when a request leaves the queue without having started, its ticket is
//!   refused in the register in the same critical section, so "not run" stays
//!   true;
//! * an agent that is leaving accepts no new requests.

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
    code::{Code, Execution},
    id,
    sync::lock,
    wire::{
        AgentLoad, CancelRequest, Handover, Heartbeat, ProcessPhase,
        ReclaimAnswer, RequestFailure, StoredAnswer,
    },
};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter},
};
use slog::{Logger, info};
use tokio::sync::Notify;

use crate::{
    crashes::TargetCrashes,
    pace,
    settings::Settings,
    work::{AnswerDemand, AnswerEnding, RequestWork, RerunPolicy},
};

mod submit;

/// Admits, queues and tracks all requests for one target.
#[derive(Debug)]
pub struct TargetGate {
    /// The agent's settings.
    pub settings: Arc<Settings>,
    ticket_key: [u8; ticket::TICKET_KEY_BYTES],
    incarnation: id::Incarnation,
    /// Crashes of the target's process and the requests suspected of them.
    pub crashes: TargetCrashes,
    /// The target's rate limit and cooldown.
    pub pacer: Arc<pace::RequestPacer>,
    inner: Mutex<GateState>,
    work_available: Notify,
    log: Logger,
    result_counter: Counter<u64>,
    slot_time_histogram: Histogram<f64>,
}

#[derive(Debug)]
struct GateState {
    phase: ProcessPhase,
    register: TicketRegister,
    inherited_registers: HashMap<id::Incarnation, InheritedRegister>,
    queue: Queue<Arc<RequestWork>>,
    running_requests: u32,
    work_by_request: HashMap<id::Request, Arc<RequestWork>>,
    idempotency_keys: HashMap<(Name, Name), KeyedRequest>,
    finished_work: VecDeque<FinishedWork>,
    kept_bytes: u64,
    mean_service_us: u64,
    accepted_total: u64,
}

/// The ticket register that a stopped agent handed over.
#[derive(Debug)]
struct InheritedRegister {
    register: TicketRegister,
    /// The stopped agent's clock at the handover.
    sender_clock: Millis,
    /// This agent's clock at the handover.
    inherited_at: Millis,
}

/// The request that first used an idempotency key, with the hash of its body.
#[derive(Debug)]
struct KeyedRequest {
    request: id::Request,
    body_hash: blake3::Hash,
}

#[derive(Debug)]
struct FinishedWork {
    finished_at: Millis,
    request: id::Request,
    answer_bytes: u64,
    idempotency_key: Option<(Name, Name)>,
}

/// The mean service time assumed before the first request finishes.
const INITIAL_SERVICE_TIME_US: u64 = 5_000;

/// Divisor of the moving average: each new service time has weight 1/16.
const SERVICE_TIME_SMOOTHING_DIVISOR: u64 = 16;

/// The time between checks of queued requests against their deadlines.
const QUEUE_SWEEP_INTERVAL: Duration = Duration::from_millis(20);

impl TargetGate {
    /// Creates a gate that accepts requests.
    pub fn new(
        settings: Arc<Settings>,
        log: Logger,
        meter: &Meter,
    ) -> TargetGate {
        let queue = QueueConfig::new()
            .with_capacity(settings.max_queued_requests as usize);
        let inner = GateState {
            phase: ProcessPhase::Serving,
            register: TicketRegister::new(
                settings.max_ticket_records as usize,
            ),
            inherited_registers: HashMap::new(),
            queue: Queue::new(queue),
            running_requests: 0,
            work_by_request: HashMap::new(),
            idempotency_keys: HashMap::new(),
            finished_work: VecDeque::new(),
            kept_bytes: 0,
            mean_service_us: INITIAL_SERVICE_TIME_US,
            accepted_total: 0,
        };
        let incarnation = id::Incarnation::random();
        TargetGate {
            ticket_key: settings.shared_key.derive("cowsliproad ticket").0,
            crashes: TargetCrashes::new(&settings.target_name, incarnation),
            pacer: Arc::new(pace::RequestPacer::new(log.clone())),
            settings,
            incarnation,
            inner: Mutex::new(inner),
            work_available: Notify::new(),
            log,
            result_counter: meter.u64_counter("agent_results").build(),
            slot_time_histogram: meter
                .f64_histogram("agent_slot_seconds")
                .build(),
        }
    }

    /// The agent's logger.
    pub fn logger(&self) -> &Logger {
        &self.log
    }

    /// The incarnation of this agent process, drawn at random at its start.
    pub fn incarnation(&self) -> id::Incarnation {
        self.incarnation
    }

    /// Finds queued, running or finished work on behalf of the organisation that
    /// submitted the request.
    pub fn find_work_to_reclaim(
        &self,
        reclaim: &ReclaimAnswer,
    ) -> Result<Arc<RequestWork>, RequestFailure> {
        self.find_work(reclaim.request, &reclaim.organisation)
    }

    /// Cancels a request for its caller. Returns the result to report.
    pub fn cancel_request(&self, cancel: &CancelRequest) -> RequestFailure {
        let work = match self.find_work(cancel.request, &cancel.organisation) {
            Ok(work) => work,
            Err(failure) => return failure,
        };
        let mut inner = self.lock_state();
        let queued = inner
            .queue
            .remove_first_matching(|it| it.request == cancel.request);
        if queued.is_some() {
            let failure =
                RequestFailure::new(Code::Cancelled, Execution::NotRun);
            inner.fail_unsent_work(&work, failure);
            return failure;
        }
        drop(inner);
        match (work.ending(), work.rerun_policy) {
            (Some(AnswerEnding::Whole { .. }), _) => {
                RequestFailure::new(Code::Cancelled, Execution::Ran)
            }
            (Some(AnswerEnding::Failed(failure)), _) => failure,
            (None, RerunPolicy::Allowed) => {
                work.request_cancellation();
                RequestFailure::new(Code::Cancelled, Execution::OutcomeUnknown)
            }
            // Non-repeatable work is never aborted while it runs, since the
            // outcome at the target would be unknown.
            (None, RerunPolicy::Never) => RequestFailure::new(
                Code::InProgress,
                Execution::OutcomeUnknown,
            ),
        }
    }

    /// Cancels work whose last listener left and whose answer need not be kept.
    pub fn abandon_unwanted_work(&self, work: &RequestWork) {
        if work.answer_demand() == AnswerDemand::Wanted
            || work.ending().is_some()
        {
            return;
        }
        let mut inner = self.lock_state();
        let queued =
            inner.queue.remove_first_matching(|it| it.request == work.request);
        if let Some(item) = queued {
            let failure =
                RequestFailure::new(Code::Cancelled, Execution::NotRun);
            inner.fail_unsent_work(&item.work, failure);
        } else {
            work.request_cancellation();
        }
    }

    /// Waits for the next work for the target and reserves a slot for it.
    pub async fn next_work(&self) -> Arc<RequestWork> {
        loop {
            let ready = self.work_available.notified();
            // Subscribed before the check, so that no limit change is missed.
            let changed = self.pacer.next_change();
            match self.try_next_work() {
                NextWork::Ready(work) => return work,
                NextWork::Unavailable => ready.await,
                NextWork::RateLimited(wait) => tokio::select! {
                    () = changed => {}
                    () = tokio::time::sleep(wait.duration()) => {}
                },
            }
        }
    }

    /// Records the result of work that held a slot and frees the slot.
    pub fn finish_running_work(
        &self,
        work: &Arc<RequestWork>,
        result: Result<cowsliproad_kernel::wire::AnswerFormat, RequestFailure>,
        held: Duration,
    ) {
        let code = result.err().map_or(Code::Ok, |failure| failure.code);
        work.record_result(result);
        let mut inner = self.lock_state();
        inner.running_requests -= 1;
        inner.observe_service_time(held);
        inner.retain_finished_work(work, Millis::now());
        inner.evict_finished_work(&self.settings, Millis::now());
        drop(inner);
        self.count_result(code);
        self.slot_time_histogram.record(held.as_secs_f64(), &[]);
        self.work_available.notify_one();
    }

    /// Builds a heartbeat with the agent's current state.
    pub fn build_heartbeat(&self, next_config_offset: u64) -> Heartbeat {
        let inner = self.lock_state();
        Heartbeat {
            sender_name: self.settings.target_name.clone(),
            incarnation: self.incarnation,
            sender_clock: Millis::now(),
            phase: inner.phase,
            load: inner.agent_load(self.service_rate(&inner)),
            presence: self.crashes.presence(),
            target_cooldown: self.pacer.remaining_cooldown(Millis::now()),
            taken_over_incarnations: inner
                .inherited_registers
                .keys()
                .copied()
                .collect(),
            next_config_offset,
        }
    }

    /// Stops accepting new requests.
    pub fn start_leaving(&self) {
        let mut inner = self.lock_state();
        inner.phase = ProcessPhase::Leaving;
        info!(self.log, "leave";
            "queued" => inner.queue.len(), "running" => inner.running_requests);
    }

    /// Whether the agent accepts new requests or is leaving.
    pub fn phase(&self) -> ProcessPhase {
        self.lock_state().phase
    }

    /// The number of requests queued or running at the target.
    pub fn unfinished_requests(&self) -> usize {
        let inner = self.lock_state();
        inner.queue.len() + inner.running_requests as usize
    }

    /// Returns all that a peer needs to answer for this agent. The register is
    /// sealed first, so a ticket it never saw can never run.
    pub fn seal_for_handover(&self) -> HandoverData {
        let mut inner = self.lock_state();
        inner.register.seal();
        let answers = inner
            .finished_work
            .iter()
            .filter_map(|it| {
                inner.work_by_request.get(&it.request)?.to_stored_answer()
            })
            .collect();
        let mut registers = vec![SealedRegister {
            incarnation: self.incarnation,
            clock: Millis::now(),
            register: inner.register.clone(),
        }];
        for (incarnation, inherited) in &inner.inherited_registers {
            registers.push(SealedRegister {
                incarnation: *incarnation,
                clock: inherited.sender_now(Millis::now()),
                register: inherited.register.clone(),
            });
        }
        HandoverData { registers, answers }
    }

    /// Stores the answers and ticket register that a stopping peer hands over.
    pub fn accept_handover(
        &self,
        handover: Handover,
        register: Option<TicketRegister>,
    ) {
        let now = Millis::now();
        let mut inner = self.lock_state();
        for answer in handover.stored_answers {
            let work = Arc::new(RequestWork::from_stored_answer(answer));
            inner.retain_finished_work(&work, now);
            inner.work_by_request.insert(work.request, work);
        }
        if let Some(register) = register {
            let inherited = InheritedRegister {
                register,
                sender_clock: handover.sender_clock,
                inherited_at: now,
            };
            inner.inherited_registers.insert(handover.incarnation, inherited);
        }
        inner.evict_finished_work(&self.settings, now);
        info!(self.log, "inherit";
            "incarnation" => %handover.incarnation,
            "kept" => inner.finished_work.len());
    }

    fn find_work(
        &self,
        request: id::Request,
        organisation: &str,
    ) -> Result<Arc<RequestWork>, RequestFailure> {
        let inner = self.lock_state();
        match inner.work_by_request.get(&request) {
            Some(work) if &*work.organisation == organisation => {
                Ok(work.clone())
            }
            Some(_) => Err(RequestFailure::new(
                Code::ForeignToken,
                Execution::NotForwarded,
            )),
            None => Err(RequestFailure::new(
                Code::UnknownToken,
                Execution::OutcomeUnknown,
            )),
        }
    }

    fn try_next_work(&self) -> NextWork {
        let mut inner = self.lock_state();
        let now = Millis::now();
        let service_rate = self.service_rate(&inner);
        inner.expire_queued_work(service_rate, now);
        if inner.running_requests >= self.settings.target_slots
            || inner.queue.is_empty()
        {
            return NextWork::Unavailable;
        }
        if let Err(wait) = self.pacer.try_acquire_permit(now) {
            return NextWork::RateLimited(wait);
        }
        let Some(item) = inner.queue.pop(now) else {
            return NextWork::Unavailable;
        };
        inner.running_requests += 1;
        NextWork::Ready(item.work)
    }

    /// How fast the target takes queued requests: slots, mean service time and
    /// rate limit.
    fn service_rate(&self, inner: &GateState) -> ServiceRate {
        let (slots, mean_service_us) =
            (self.settings.target_slots, inner.mean_service_us as u32);
        let (rate, next) = self.pacer.limit_and_wait(Millis::now());
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

    fn count_result(&self, code: Code) {
        self.result_counter.add(1, &[KeyValue::new("code", code.name())]);
    }

    fn lock_state(&self) -> MutexGuard<'_, GateState> {
        lock(&self.inner)
    }
}

/// The result of a look for the next work to start.
enum NextWork {
    Ready(Arc<RequestWork>),
    Unavailable,
    /// Work is queued, but the rate limit or cooldown allows no request for
    /// this long.
    RateLimited(Millis),
}

/// The ticket registers and answers that a stopping agent hands to a peer.
#[derive(Debug)]
pub struct HandoverData {
    /// The agent's own register first, then the registers it inherited.
    pub registers: Vec<SealedRegister>,
    /// The answers of finished requests.
    pub answers: Vec<StoredAnswer>,
}

/// The ticket register of one agent process, sealed for the handover.
#[derive(Debug)]
pub struct SealedRegister {
    /// The agent process that recorded the tickets.
    pub incarnation: id::Incarnation,
    /// The clock of that agent process at the handover.
    pub clock: Millis,
    /// The ticket records.
    pub register: TicketRegister,
}

/// Fails queued requests that can no longer meet their deadline, without
/// waiting for a slot, and evicts old answers, for as long as the agent runs.
pub async fn sweep_queue(gate: Arc<TargetGate>) {
    loop {
        tokio::time::sleep(QUEUE_SWEEP_INTERVAL).await;
        let mut inner = gate.lock_state();
        let service_rate = gate.service_rate(&inner);
        inner.expire_queued_work(service_rate, Millis::now());
        if gate.pacer.take_tightened() {
            inner.shed_late_work(service_rate, Millis::now());
        }
        inner.evict_finished_work(&gate.settings, Millis::now());
    }
}

impl GateState {
    fn agent_load(&self, service_rate: ServiceRate) -> AgentLoad {
        AgentLoad {
            queued_requests: self.queue.len() as u32,
            running_requests: self.running_requests,
            target_slots: service_rate.slots,
            // Entry processes estimate queueing delay from this value, so it
            // includes the rate limit.
            mean_service_time_us: service_rate.effective_service_us(),
            accepted_requests_total: self.accepted_total,
        }
    }

    fn observe_service_time(&mut self, held: Duration) {
        let held = held.as_micros().min(u128::from(u32::MAX)) as u64;
        let old = self.mean_service_us * (SERVICE_TIME_SMOOTHING_DIVISOR - 1);
        self.mean_service_us = (old + held) / SERVICE_TIME_SMOOTHING_DIVISOR;
    }

    fn expire_queued_work(&mut self, service_rate: ServiceRate, now: Millis) {
        while let Some(item) =
            self.queue.remove_expired_item(service_rate, now)
        {
            let failure =
                RequestFailure::new(Code::DeadlinePassed, Execution::NotRun);
            self.fail_unsent_work(&item.work, failure);
        }
    }

    /// Fails queued requests that can't meet their deadline under a lower rate
    /// limit.
    fn shed_late_work(&mut self, service_rate: ServiceRate, now: Millis) {
        for item in self.queue.remove_items_missing_deadline(service_rate, now)
        {
            let failure =
                RequestFailure::new(Code::Overloaded, Execution::NotRun);
            let wait = self.queue.estimate_retry_after(service_rate);
            self.fail_unsent_work(&item.work, failure.with_retry_after(wait));
        }
    }

    /// Fails work that was never sent to the target, and refuses its ticket.
    fn fail_unsent_work(
        &mut self,
        work: &Arc<RequestWork>,
        failure: RequestFailure,
    ) {
        self.register.refuse_unsent_ticket(work.request);
        work.record_result(Err(failure));
        self.retain_finished_work(work, Millis::now());
    }

    fn retain_finished_work(&mut self, work: &Arc<RequestWork>, now: Millis) {
        let answer_bytes = work.answer_length() as u64;
        self.kept_bytes += answer_bytes;
        let key = work.idempotency_key.clone();
        self.finished_work.push_back(FinishedWork {
            finished_at: now,
            request: work.request,
            answer_bytes,
            idempotency_key: key.map(|key| (work.organisation.clone(), key)),
        });
    }

    fn evict_finished_work(&mut self, settings: &Settings, now: Millis) {
        while let Some(oldest) = self.finished_work.front() {
            let young =
                now.since(oldest.finished_at) < settings.answer_retention_time;
            if young && self.kept_bytes <= settings.max_kept_answer_bytes {
                return;
            }
            let Some(oldest) = self.finished_work.pop_front() else { return };
            self.kept_bytes -= oldest.answer_bytes;
            self.work_by_request.remove(&oldest.request);
            if let Some(key) = oldest.idempotency_key
                && self
                    .idempotency_keys
                    .get(&key)
                    .is_some_and(|it| it.request == oldest.request)
            {
                self.idempotency_keys.remove(&key);
            }
        }
    }
}

impl InheritedRegister {
    /// The current time on the stopped agent's clock.
    fn sender_now(&self, now: Millis) -> Millis {
        self.sender_clock + now.since(self.inherited_at)
    }
}
