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
    queue::{self, Item, Outcome, Pace, Queue},
    register::{Register, Verdict},
    ticket::{self, Purpose, Ticket},
};
use cowsliproad_kernel::{
    Name,
    clock::Millis,
    code::{Code, Ran},
    id,
    sync::lock,
    wire::{
        Answer, Beat, Cancel, Failure, Handover, Load, Permit, Phase, Reclaim,
        Submit,
    },
};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter},
};
use slog::{Logger, debug, info};
use tokio::sync::Notify;

use crate::{
    ends::Ends,
    settings::Settings,
    work::{Ending, Repeat, Wanted, Work},
};

/// The gate in front of a target.
#[derive(Debug)]
pub struct Gate {
    /// The agent's settings.
    pub settings: Arc<Settings>,
    ticket_key: [u8; ticket::KEY],
    incarnation: id::Incarnation,
    /// Work under which the target's process ended.
    pub ends: Ends,
    inner: Mutex<Inner>,
    ready: Notify,
    log: Logger,
    results: Counter<u64>,
    held: Histogram<f64>,
}

#[derive(Debug)]
struct Inner {
    phase: Phase,
    register: Register,
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
    register: Register,
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

/// The refusal of work that ends the targets that run it. The entry, which
/// knows of all ends, says when to come back.
const QUARANTINED: Failure =
    Failure { code: Code::Quarantined, ran: Ran::NotRun, retry_after: None };

/// How often waiting work is checked against its deadline.
const SWEEP: Duration = Duration::from_millis(20);

impl Gate {
    /// A gate that takes work.
    pub fn new(settings: Arc<Settings>, log: Logger, meter: &Meter) -> Gate {
        let queue =
            queue::Config::new().with_capacity(settings.queue as usize);
        let inner = Inner {
            phase: Phase::Serving,
            register: Register::new(settings.tickets as usize),
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

    /// Takes work in, or finds what an earlier submission left of it.
    pub fn submit(&self, submit: &Submit) -> Result<Arc<Work>, Failure> {
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

    /// Finds kept or running work for its organisation.
    pub fn reclaim(&self, reclaim: &Reclaim) -> Result<Arc<Work>, Failure> {
        self.find(reclaim.request, &reclaim.organisation)
    }

    /// Cancels work at its caller's wish.
    pub fn cancel(&self, cancel: &Cancel) -> Failure {
        let work = match self.find(cancel.request, &cancel.organisation) {
            Ok(work) => work,
            Err(failure) => return failure,
        };
        let mut inner = self.lock();
        let queued = inner.queue.take(|it| it.request == cancel.request);
        if queued.is_some() {
            let failure = Failure::new(Code::Cancelled, Ran::NotRun);
            inner.give_up(&work, failure);
            return failure;
        }
        drop(inner);
        match (work.ending(), work.repeat) {
            (Some(Ending::Whole { .. }), _) => {
                Failure::new(Code::Cancelled, Ran::Ran)
            }
            (Some(Ending::Failed(failure)), _) => failure,
            (None, Repeat::Allowed) => {
                work.cancel();
                Failure::new(Code::Cancelled, Ran::OutcomeUnknown)
            }
            // Work that must not be repeated is never broken off in its
            // middle, since nobody could say what the target did of it.
            (None, Repeat::Never) => {
                Failure::new(Code::InProgress, Ran::OutcomeUnknown)
            }
        }
    }

    /// Lets go of work whose last listener left.
    pub fn abandon(&self, work: &Work) {
        if work.wanted() == Wanted::Yes || work.ending().is_some() {
            return;
        }
        let mut inner = self.lock();
        let queued = inner.queue.take(|it| it.request == work.request);
        if let Some(item) = queued {
            let failure = Failure::new(Code::Cancelled, Ran::NotRun);
            inner.give_up(&item.work, failure);
        } else {
            work.cancel();
        }
    }

    /// The next work for the target, holding a slot for it.
    pub async fn next(&self) -> Arc<Work> {
        loop {
            let ready = self.ready.notified();
            if let Some(work) = self.try_next() {
                return work;
            }
            ready.await;
        }
    }

    /// Ends work that held a slot.
    pub fn finish(
        &self,
        work: &Arc<Work>,
        result: Result<cowsliproad_kernel::wire::Format, Failure>,
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
    pub fn beat(&self, offset: u64) -> Beat {
        let inner = self.lock();
        Beat {
            name: self.settings.name.clone(),
            incarnation: self.incarnation,
            clock: Millis::now(),
            phase: inner.phase,
            load: inner.load(self.settings.slots),
            presence: self.ends.presence(),
            holds: inner.inherited.keys().copied().collect(),
            offset,
        }
    }

    /// Takes in nothing new from now on.
    pub fn leave(&self) {
        let mut inner = self.lock();
        inner.phase = Phase::Leaving;
        info!(self.log, "leave";
            "queued" => inner.queue.len(), "running" => inner.running);
    }

    /// Whether it takes new work.
    pub fn phase(&self) -> Phase {
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
    pub fn inherit(&self, handover: Handover, register: Option<Register>) {
        let now = Millis::now();
        let mut inner = self.lock();
        for answer in handover.answers {
            let work = Arc::new(Work::finished(answer));
            inner.keep(&work, now);
            inner.works.insert(work.request, work);
        }
        if let Some(register) = register {
            let inherited =
                Inherited { register, clock: handover.clock, since: now };
            inner.inherited.insert(handover.incarnation, inherited);
        }
        inner.evict(&self.settings, now);
        info!(self.log, "inherit";
            "incarnation" => %handover.incarnation,
            "kept" => inner.finished.len());
    }

    fn submit_ticket(
        &self,
        inner: &mut Inner,
        text: &[u8],
        submit: &Submit,
        now: Millis,
    ) -> Result<Arc<Work>, Failure> {
        let ticket = self.open(text, submit)?;
        let leaving = inner.phase == Phase::Leaving;
        let recalled = submit.permit == Permit::Recall;
        let verdict = if ticket.incarnation == self.incarnation {
            if leaving || recalled {
                inner.register.burn(&ticket, now)
            } else {
                inner.register.submit(&ticket, now)
            }
        } else if let Some(it) = inner.inherited.get_mut(&ticket.incarnation) {
            let then = it.now(now);
            it.register.submit(&ticket, then)
        } else {
            return Err(Failure::new(Code::TargetGone, Ran::OutcomeUnknown));
        };
        match verdict {
            Verdict::Run => self.enqueue(inner, submit, now),
            Verdict::Seen => inner
                .works
                .get(&ticket.request)
                .cloned()
                .ok_or(Failure::new(Code::AnswerDropped, Ran::Ran)),
            Verdict::Burned if recalled => Err(QUARANTINED),
            Verdict::Burned if leaving => {
                Err(Failure::new(Code::Leaving, Ran::NotRun))
            }
            Verdict::Burned => {
                Err(Failure::new(Code::TicketBurned, Ran::NotRun))
            }
            Verdict::Expired => {
                Err(Failure::new(Code::TicketExpired, Ran::NotRun))
            }
            Verdict::TooOld => {
                Err(Failure::new(Code::TicketExpired, Ran::OutcomeUnknown))
            }
            Verdict::Full => {
                Err(Failure::new(Code::RegisterFull, Ran::NotForwarded)
                    .with_retry_after(Millis(1_000)))
            }
        }
    }

    fn submit_plain(
        &self,
        inner: &mut Inner,
        submit: &Submit,
        now: Millis,
    ) -> Result<Arc<Work>, Failure> {
        let key = submit.key.as_ref();
        let key = key.map(|it| (submit.organisation.clone(), it.clone()));
        if let Some(key) = &key
            && let Some(keyed) = inner.keys.get(key)
        {
            if keyed.body != blake3::hash(&submit.body) {
                return Err(Failure::new(Code::KeyReused, Ran::NotRun));
            }
            let known = inner.works.get(&keyed.request);
            if let Some(work) = known.filter(|it| !has_failed(it)) {
                return Ok(work.clone());
            }
        }
        let known = inner.works.get(&submit.request);
        if let Some(work) = known.filter(|it| !has_failed(it)) {
            let own = work.organisation == submit.organisation;
            let foreign = Failure::new(Code::ForeignToken, Ran::NotForwarded);
            return own.then(|| work.clone()).ok_or(foreign);
        }
        if submit.permit == Permit::Recall {
            return Err(QUARANTINED);
        }
        if inner.phase == Phase::Leaving {
            return Err(Failure::new(Code::Leaving, Ran::NotRun));
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
        submit: &Submit,
        now: Millis,
    ) -> Result<Arc<Work>, Failure> {
        let work = Arc::new(Work::new(submit, now));
        let item = Item {
            organisation: submit.organisation.clone(),
            share: submit.share,
            urgency: submit.urgency,
            deadline: work.deadline,
            work: work.clone(),
        };
        let pace = inner.pace(self.settings.slots);
        // With a free slot nothing waits, so only the deadline can refuse.
        match inner.queue.push(item, pace, now) {
            Outcome::Queued => {}
            Outcome::Displaced(loser, wait) => {
                let failure = Failure::new(Code::Shed, Ran::NotRun);
                inner.give_up(&loser.work, failure.with_retry_after(wait));
            }
            Outcome::Refused(_, wait) => {
                inner.register.give_up(work.request);
                return Err(Failure::new(Code::Overloaded, Ran::NotRun)
                    .with_retry_after(wait));
            }
        }
        inner.count += 1;
        inner.works.insert(work.request, work.clone());
        Ok(work)
    }

    fn open(&self, text: &[u8], submit: &Submit) -> Result<Ticket, Failure> {
        let forged = Failure::new(Code::ForgedToken, Ran::NotForwarded);
        let text = std::str::from_utf8(text).map_err(|_| forged)?;
        let ticket =
            ticket::open(text, &self.ticket_key).map_err(|_| forged)?;
        let fits = ticket.purpose == Purpose::Ticket
            && ticket.organisation == submit.organisation
            && ticket.request_type == submit.request_type
            && ticket.request == submit.request;
        if !fits {
            return Err(Failure::new(Code::ForeignToken, Ran::NotForwarded));
        }
        Ok(ticket)
    }

    fn find(
        &self,
        request: id::Request,
        organisation: &str,
    ) -> Result<Arc<Work>, Failure> {
        let inner = self.lock();
        match inner.works.get(&request) {
            Some(work) if &*work.organisation == organisation => {
                Ok(work.clone())
            }
            Some(_) => {
                Err(Failure::new(Code::ForeignToken, Ran::NotForwarded))
            }
            None => Err(Failure::new(Code::UnknownToken, Ran::OutcomeUnknown)),
        }
    }

    fn try_next(&self) -> Option<Arc<Work>> {
        let mut inner = self.lock();
        inner.lapse(self.settings.slots, Millis::now());
        if inner.running >= self.settings.slots {
            return None;
        }
        let item = inner.queue.pop(Millis::now())?;
        inner.running += 1;
        Some(item.work)
    }

    fn count(&self, code: Code) {
        self.results.add(1, &[KeyValue::new("code", code.name())]);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

/// What a stopping agent leaves to a peer.
#[derive(Debug)]
pub struct Estate {
    /// The records, its own and inherited ones.
    pub registers: Vec<Sealed>,
    /// The kept answers.
    pub answers: Vec<Answer>,
}

/// The sealed records of one agent process.
#[derive(Debug)]
pub struct Sealed {
    /// Which process.
    pub incarnation: id::Incarnation,
    /// Its clock at the handover.
    pub clock: Millis,
    /// The records.
    pub register: Register,
}

/// Gives back waiting work that can't meet its deadline any more, at once
/// and without waiting for a slot.
pub async fn sweep(gate: Arc<Gate>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        let mut inner = gate.lock();
        inner.lapse(gate.settings.slots, Millis::now());
        inner.evict(&gate.settings, Millis::now());
    }
}

impl Inner {
    fn load(&self, slots: u32) -> Load {
        Load {
            queued: self.queue.len() as u32,
            running: self.running,
            slots,
            service_us: self.service_us as u32,
            count: self.count,
        }
    }

    fn pace(&self, slots: u32) -> Pace {
        Pace { slots, service_us: self.service_us as u32 }
    }

    fn measure(&mut self, held: Duration) {
        let held = held.as_micros().min(u128::from(u32::MAX)) as u64;
        let old = self.service_us * (SMOOTHING - 1);
        self.service_us = (old + held) / SMOOTHING;
    }

    fn lapse(&mut self, slots: u32, now: Millis) {
        let pace = self.pace(slots);
        while let Some(item) = self.queue.lapsed(pace, now) {
            let failure = Failure::new(Code::DeadlinePassed, Ran::NotRun);
            self.give_up(&item.work, failure);
        }
    }

    /// Ends work that never reached the target.
    fn give_up(&mut self, work: &Arc<Work>, failure: Failure) {
        self.register.give_up(work.request);
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

fn has_failed(work: &Work) -> bool {
    matches!(work.ending(), Some(Ending::Failed(_)))
}
