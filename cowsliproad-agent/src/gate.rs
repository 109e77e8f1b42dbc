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
    code::{ExecutionStatus, ResultCode},
    id,
    sync::lock,
    wire::{
        AgentLoad, CancelRequest, FetchAnswerRequest, Handover, Heartbeat,
        ProcessPhase, RequestFailure, StoredAnswer,
    },
};
use cowsliproad_net::timer;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter},
};
use slog::{Logger, info};
use tokio::sync::Notify;

use crate::{
    ends::TargetCrashes,
    pace,
    settings::Settings,
    work::{AnswerEnding, AnswerInterest, RequestWork, RerunPolicy},
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
    state: Mutex<GateState>,
    work_available: Notify,
    log: Logger,
    result_counter: Counter<u64>,
    slot_time_histogram: Histogram<f64>,
}

#[derive(Debug)]
struct GateState {
    phase: ProcessPhase,
    ticket_register: TicketRegister,
    inherited_registers: HashMap<id::Incarnation, InheritedRegister>,
    request_queue: Queue<Arc<RequestWork>>,
    running_requests: u32,
    work_by_request: HashMap<id::Request, Arc<RequestWork>>,
    idempotency_keys: HashMap<(Name, Name), KeyedRequest>,
    finished_work: VecDeque<FinishedWork>,
    kept_answer_bytes: u64,
    mean_service_us: u64,
    accepted_total: u64,
}

/// A ticket register that a stopping agent handed over to this agent.
#[derive(Debug)]
struct InheritedRegister {
    ticket_register: TicketRegister,
    /// The clock of the agent process that recorded the tickets, at the
    /// handover.
    sender_clock: Millis,
    /// This agent's clock when it accepted the handover.
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

/// The weight of a new service time in the moving average is one divided by
/// this number.
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
            .with_capacity(settings.max_queued_requests as usize)
            .with_byte_capacity(settings.max_queued_bytes);
        let state = GateState {
            phase: ProcessPhase::Serving,
            ticket_register: TicketRegister::new(
                settings.max_ticket_records as usize,
            ),
            inherited_registers: HashMap::new(),
            request_queue: Queue::new(queue),
            running_requests: 0,
            work_by_request: HashMap::new(),
            idempotency_keys: HashMap::new(),
            finished_work: VecDeque::new(),
            kept_answer_bytes: 0,
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
            state: Mutex::new(state),
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

    /// Finds a queued, running or finished request on behalf of the
    /// organisation that submitted it.
    pub fn find_work_to_reclaim(
        &self,
        reclaim: &FetchAnswerRequest,
    ) -> Result<Arc<RequestWork>, RequestFailure> {
        self.find_work(reclaim.request, &reclaim.organisation)
    }

    /// Cancels a request for its caller. Returns the failure to report to the
    /// caller.
    pub fn cancel_request(&self, cancel: &CancelRequest) -> RequestFailure {
        let work = match self.find_work(cancel.request, &cancel.organisation) {
            Ok(work) => work,
            Err(failure) => return failure,
        };
        let mut state = self.lock_state();
        let queued = state
            .request_queue
            .remove_first_matching(|it| it.request_id == cancel.request);
        if queued.is_some() {
            let failure = RequestFailure::new(
                ResultCode::Cancelled,
                ExecutionStatus::NotRun,
            );
            state.fail_unsent_work(&work, failure);
            return failure;
        }
        drop(state);
        match (work.answer_ending(), work.rerun_policy) {
            (Some(AnswerEnding::Whole { .. }), _) => RequestFailure::new(
                ResultCode::Cancelled,
                ExecutionStatus::Ran,
            ),
            (Some(AnswerEnding::Failed(failure)), _) => failure,
            (None, RerunPolicy::Allowed) => {
                work.request_cancellation();
                RequestFailure::new(
                    ResultCode::Cancelled,
                    ExecutionStatus::OutcomeUnknown,
                )
            }
            // A caller that cancels a running non-repeatable request gets this
            // failure. The request isn't aborted, since its outcome at the
            // target would then be unknown.
            (None, RerunPolicy::Never) => RequestFailure::new(
                ResultCode::InProgress,
                ExecutionStatus::OutcomeUnknown,
            ),
        }
    }

    /// Cancels a request whose last listener left and whose answer need not be
    /// kept.
    pub fn abandon_unwanted_work(&self, work: &RequestWork) {
        if work.answer_interest() == AnswerInterest::Wanted
            || work.answer_ending().is_some()
        {
            return;
        }
        let mut state = self.lock_state();
        let queued = state
            .request_queue
            .remove_first_matching(|it| it.request_id == work.request_id);
        if let Some(item) = queued {
            let failure = RequestFailure::new(
                ResultCode::Cancelled,
                ExecutionStatus::NotRun,
            );
            state.fail_unsent_work(&item.work, failure);
        } else {
            work.request_cancellation();
        }
    }

    /// Waits for the next request to send to the target, and reserves a slot
    /// for it.
    pub async fn next_work(&self) -> Arc<RequestWork> {
        loop {
            let ready = self.work_available.notified();
            // Subscribed before the check for a request to start, so that no
            // change of the rate limit is missed.
            let changed = self.pacer.wait_for_limit_change();
            match self.try_take_next_work() {
                NextWork::Ready(work) => return work,
                NextWork::Unavailable => ready.await,
                NextWork::RateLimited(wait) => tokio::select! {
                    () = changed => {}
                    () = timer::sleep(wait.duration()) => {}
                },
            }
        }
    }

    /// Records the result of a request that held a slot at the target, and
    /// frees the slot.
    pub fn finish_running_work(
        &self,
        work: &Arc<RequestWork>,
        result: Result<cowsliproad_kernel::wire::AnswerFormat, RequestFailure>,
        slot_time: Duration,
    ) {
        let code = result.err().map_or(ResultCode::Ok, |failure| failure.code);
        work.record_result(result);
        let mut state = self.lock_state();
        state.running_requests -= 1;
        state.observe_service_time(slot_time);
        state.retain_finished_work(work, Millis::now());
        state.evict_finished_work(&self.settings, Millis::now());
        drop(state);
        self.count_result(code);
        self.slot_time_histogram.record(slot_time.as_secs_f64(), &[]);
        self.work_available.notify_one();
    }

    /// Builds a heartbeat with the agent's current state.
    pub fn build_heartbeat(&self, next_config_offset: u64) -> Heartbeat {
        let state = self.lock_state();
        Heartbeat {
            sender_name: self.settings.target_name.clone(),
            incarnation: self.incarnation,
            sender_clock: Millis::now(),
            phase: state.phase,
            load: state.agent_load(self.service_rate(&state)),
            presence: self.crashes.target_presence(),
            target_cooldown_remaining: self
                .pacer
                .remaining_cooldown(Millis::now()),
            taken_over_incarnations: state
                .inherited_registers
                .keys()
                .copied()
                .collect(),
            next_config_offset,
        }
    }

    /// Stops accepting new requests.
    pub fn start_leaving(&self) {
        let mut state = self.lock_state();
        state.phase = ProcessPhase::Leaving;
        info!(self.log, "leave";
            "queued" => state.request_queue.len(),
            "running" => state.running_requests);
    }

    /// Whether the agent is serving (accepts new requests) or leaving.
    pub fn process_phase(&self) -> ProcessPhase {
        self.lock_state().phase
    }

    /// The number of requests queued or running at the target.
    pub fn unfinished_request_count(&self) -> usize {
        let state = self.lock_state();
        state.request_queue.len() + state.running_requests as usize
    }

    /// Returns all that a peer needs to answer for this agent. The ticket
    /// register is sealed first, so a ticket that is not yet recorded can
    /// never run.
    pub fn seal_for_handover(&self) -> HandoverData {
        let mut state = self.lock_state();
        state.ticket_register.seal();
        let stored_answers = state
            .finished_work
            .iter()
            .filter_map(|it| {
                state.work_by_request.get(&it.request)?.to_stored_answer()
            })
            .collect();
        let mut ticket_registers = vec![SealedRegister {
            incarnation: self.incarnation,
            clock_at_handover: Millis::now(),
            ticket_register: state.ticket_register.clone(),
        }];
        for (incarnation, inherited) in &state.inherited_registers {
            ticket_registers.push(SealedRegister {
                incarnation: *incarnation,
                clock_at_handover: inherited.sender_clock_now(Millis::now()),
                ticket_register: inherited.ticket_register.clone(),
            });
        }
        HandoverData { ticket_registers, stored_answers }
    }

    /// Stores the answers and ticket register that a stopping peer hands over.
    pub fn accept_handover(
        &self,
        handover: Handover,
        ticket_register: Option<TicketRegister>,
    ) {
        let now = Millis::now();
        let mut state = self.lock_state();
        for answer in handover.stored_answers {
            let work = Arc::new(RequestWork::from_stored_answer(answer));
            state.retain_finished_work(&work, now);
            state.work_by_request.insert(work.request_id, work);
        }
        if let Some(ticket_register) = ticket_register {
            let inherited = InheritedRegister {
                ticket_register,
                sender_clock: handover.sender_clock,
                inherited_at: now,
            };
            state.inherited_registers.insert(handover.incarnation, inherited);
        }
        state.evict_finished_work(&self.settings, now);
        info!(self.log, "inherit";
            "incarnation" => %handover.incarnation,
            "kept" => state.finished_work.len());
    }

    fn find_work(
        &self,
        request: id::Request,
        organisation: &str,
    ) -> Result<Arc<RequestWork>, RequestFailure> {
        let state = self.lock_state();
        match state.work_by_request.get(&request) {
            Some(work) if &*work.organisation == organisation => {
                Ok(work.clone())
            }
            Some(_) => Err(RequestFailure::new(
                ResultCode::ForeignToken,
                ExecutionStatus::NotForwarded,
            )),
            None => Err(RequestFailure::new(
                ResultCode::UnknownToken,
                ExecutionStatus::OutcomeUnknown,
            )),
        }
    }

    fn try_take_next_work(&self) -> NextWork {
        let mut state = self.lock_state();
        let now = Millis::now();
        let service_rate = self.service_rate(&state);
        state.expire_queued_work(service_rate, now);
        if state.running_requests >= self.settings.target_slots
            || state.request_queue.is_empty()
        {
            return NextWork::Unavailable;
        }
        if let Err(wait) = self.pacer.try_acquire_permit(now) {
            return NextWork::RateLimited(wait);
        }
        let Some(item) = state.request_queue.pop(now) else {
            return NextWork::Unavailable;
        };
        state.running_requests += 1;
        NextWork::Ready(item.work)
    }

    /// How fast the target serves queued requests: slots, mean service time
    /// and rate limit.
    fn service_rate(&self, state: &GateState) -> ServiceRate {
        let (slots, mean_service_us) =
            (self.settings.target_slots, state.mean_service_us as u32);
        let (rate, next) = self.pacer.rate_limit_and_wait(Millis::now());
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

    fn count_result(&self, code: ResultCode) {
        self.result_counter.add(1, &[KeyValue::new("code", code.name())]);
    }

    fn lock_state(&self) -> MutexGuard<'_, GateState> {
        lock(&self.state)
    }
}

/// The result of taking the next request from the queue.
enum NextWork {
    Ready(Arc<RequestWork>),
    Unavailable,
    /// Requests are queued, but the rate limit or the cooldown allows none to
    /// start for this long.
    RateLimited(Millis),
}

/// The ticket registers and answers that a stopping agent hands to a peer.
#[derive(Debug)]
pub struct HandoverData {
    /// The agent's own ticket register first, then the registers it inherited
    /// from stopped peers.
    pub ticket_registers: Vec<SealedRegister>,
    /// The answers of finished requests.
    pub stored_answers: Vec<StoredAnswer>,
}

/// The final ticket register of an agent process that hands over: no more
/// tickets are recorded in it.
#[derive(Debug)]
pub struct SealedRegister {
    /// The incarnation of the agent process that recorded the tickets.
    pub incarnation: id::Incarnation,
    /// The clock of the agent process that recorded the tickets, at the
    /// handover.
    pub clock_at_handover: Millis,
    /// Whether the agent process accepted or refused each recorded ticket, and
    /// when the ticket expires.
    pub ticket_register: TicketRegister,
}

/// Fails queued requests that can no longer meet their deadline, without
/// waiting for a slot, and evicts old answers, for as long as the agent runs.
pub async fn sweep_queue_and_answers(gate: Arc<TargetGate>) {
    loop {
        timer::sleep(QUEUE_SWEEP_INTERVAL).await;
        let mut state = gate.lock_state();
        let service_rate = gate.service_rate(&state);
        state.expire_queued_work(service_rate, Millis::now());
        if gate.pacer.take_tightened_flag() {
            state.fail_late_work(service_rate, Millis::now());
        }
        state.evict_finished_work(&gate.settings, Millis::now());
    }
}

impl GateState {
    fn agent_load(&self, service_rate: ServiceRate) -> AgentLoad {
        AgentLoad {
            queued_requests: self.request_queue.len() as u32,
            running_requests: self.running_requests,
            target_request_slots: service_rate.slots,
            // Entry processes estimate queueing delay from this value, so it
            // includes the rate limit.
            mean_service_time_us: service_rate.effective_service_us(),
            accepted_requests_total: self.accepted_total,
        }
    }

    fn observe_service_time(&mut self, slot_time: Duration) {
        let slot_time_us =
            slot_time.as_micros().min(u128::from(u32::MAX)) as u64;
        let old = self.mean_service_us * (SERVICE_TIME_SMOOTHING_DIVISOR - 1);
        self.mean_service_us =
            (old + slot_time_us) / SERVICE_TIME_SMOOTHING_DIVISOR;
    }

    fn expire_queued_work(&mut self, service_rate: ServiceRate, now: Millis) {
        while let Some(item) =
            self.request_queue.remove_expired_item(service_rate, now)
        {
            let failure = RequestFailure::new(
                ResultCode::DeadlinePassed,
                ExecutionStatus::NotRun,
            );
            self.fail_unsent_work(&item.work, failure);
        }
    }

    /// Fails queued requests that can't meet their deadline under a lower rate
    /// limit.
    fn fail_late_work(&mut self, service_rate: ServiceRate, now: Millis) {
        for item in
            self.request_queue.remove_items_missing_deadline(service_rate, now)
        {
            let failure = RequestFailure::new(
                ResultCode::Overloaded,
                ExecutionStatus::NotRun,
            );
            let wait = self.request_queue.estimate_retry_after(service_rate);
            self.fail_unsent_work(&item.work, failure.with_retry_after(wait));
        }
    }

    /// Fails a request that was never sent to the target, and refuses its
    /// ticket.
    fn fail_unsent_work(
        &mut self,
        work: &Arc<RequestWork>,
        failure: RequestFailure,
    ) {
        self.ticket_register.refuse_unsent_ticket(work.request_id);
        work.record_result(Err(failure));
        self.retain_finished_work(work, Millis::now());
    }

    fn retain_finished_work(&mut self, work: &Arc<RequestWork>, now: Millis) {
        let answer_bytes = work.answer_length() as u64;
        self.kept_answer_bytes += answer_bytes;
        let key = work.idempotency_key.clone();
        self.finished_work.push_back(FinishedWork {
            finished_at: now,
            request: work.request_id,
            answer_bytes,
            idempotency_key: key.map(|key| (work.organisation.clone(), key)),
        });
    }

    fn evict_finished_work(&mut self, settings: &Settings, now: Millis) {
        while let Some(oldest) = self.finished_work.front() {
            let young =
                now.since(oldest.finished_at) < settings.answer_retention_time;
            if young
                && self.kept_answer_bytes <= settings.max_kept_answer_bytes
            {
                return;
            }
            let Some(oldest) = self.finished_work.pop_front() else { return };
            self.kept_answer_bytes -= oldest.answer_bytes;
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
    /// Converts `now` from this agent's clock to the clock of the agent process
    /// that recorded the tickets.
    fn sender_clock_now(&self, now: Millis) -> Millis {
        self.sender_clock + now.since(self.inherited_at)
    }
}
