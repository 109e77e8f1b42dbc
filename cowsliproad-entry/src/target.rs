//! The state that an entry process keeps for each target.
//!
//! A [`Target`] lives as long as its declaration and is shared by all views.
//! Requests read and update its counters under a lock held for nanoseconds;
//! the link is swapped as a whole.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
};

use arc_swap::ArcSwapOption;
use cowsliproad_kernel::{
    Name,
    clock::Millis,
    code::Code,
    id,
    sync::lock,
    wire::{
        AgentLoad, AnswerData, AnswerEnd, Failure, Frame, Heartbeat, Phase,
        Presence, Refusal,
    },
};
use cowsliproad_net::link::{SendError, Sender};
use cowsliproad_routing::{
    health::{self, Admission, Health},
    score::TargetCandidate,
};
use tokio::{sync::mpsc, task::AbortHandle};

/// A target and the link to its agent.
#[derive(Debug)]
pub struct Target {
    /// The name of the target.
    pub name: Name,
    /// The service that the target serves.
    pub service: Name,
    /// The availability zone of the target.
    pub zone: Name,
    /// The address at which the agent of the target listens.
    pub address: SocketAddr,
    /// The link to the agent, while the link is up.
    pub link: ArcSwapOption<Link>,
    /// Whether the operators drain the target.
    pub drained: AtomicBool,
    /// Whether the VM list shows the VM of the target as leaving.
    pub vm_leaving: AtomicBool,
    /// Whether the VM of the target was in the VM list and no longer is.
    pub vm_gone: AtomicBool,
    stats: Mutex<Stats>,
    dialler: Mutex<Option<AbortHandle>>,
}

/// The last heartbeat of a target's agent, the attempts counted since then,
/// and the health of the target.
#[derive(Debug, Default)]
struct Stats {
    beat: Option<Heartbeat>,
    beat_at: Millis,
    sent_since: u32,
    done_since: u32,
    in_flight: u32,
    health: Health,
}

/// A link to an agent and the attempts on the link.
#[derive(Debug)]
pub struct Link {
    sender: Sender,
    incarnation: id::Incarnation,
    attempts: Mutex<HashMap<id::Attempt, mpsc::UnboundedSender<Event>>>,
}

/// An event that an attempt receives from its agent.
#[derive(Debug)]
pub enum Event {
    /// The agent recorded the work under this request id.
    Accepted(id::Request),
    /// A piece of the answer.
    Data(AnswerData),
    /// The end of the answer.
    End(AnswerEnd),
    /// The attempt ended without an answer.
    Refused(Failure),
    /// The link to the agent broke.
    Lost,
}

/// The outcome of an attempt, for the health of its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The attempt returned a complete answer.
    Whole,
    /// The target or the link to its agent failed.
    Failed,
    /// The attempt was refused for the time being, or the caller left.
    Neutral,
}

/// The status of a target that operators see.
#[derive(Clone, Debug)]
pub struct Status {
    /// The state of the target: `unreachable`, `ended`, `leaving`, `cooling`,
    /// `ejected` or `serving`.
    pub state: &'static str,
    /// The last load report of the agent.
    pub load: AgentLoad,
    /// The age of the last load report.
    pub age: Millis,
    /// The configuration offset up to which the agent has folded the log.
    pub offset: u64,
}

impl Target {
    /// Creates the state of a declared target, without a link.
    pub fn new(declared: &cowsliproad_config::object::Target) -> Target {
        Target {
            name: declared.name.clone(),
            service: declared.service.clone(),
            zone: declared.zone.clone(),
            address: declared.agent_address,
            link: ArcSwapOption::empty(),
            drained: AtomicBool::new(false),
            vm_leaving: AtomicBool::new(false),
            vm_gone: AtomicBool::new(false),
            stats: Mutex::default(),
            dialler: Mutex::default(),
        }
    }

    /// Stores the task that keeps the link to the agent up, and aborts the
    /// task that it replaces.
    pub fn set_dialler(&self, task: AbortHandle) {
        let mut dialler = lock(&self.dialler);
        if let Some(old) = dialler.replace(task) {
            old.abort();
        }
    }

    /// Drops the link to the agent and stops dialling.
    pub fn close(&self) {
        if let Some(task) = lock(&self.dialler).take() {
            task.abort();
        }
        self.unlink();
    }

    /// Drops the link to the agent. The attempts on the link receive
    /// [`Event::Lost`].
    pub fn unlink(&self) {
        if let Some(link) = self.link.swap(None) {
            link.lose();
        }
    }

    /// Records a heartbeat of the agent and resets the counters since the last
    /// heartbeat.
    pub fn take_beat(&self, beat: Heartbeat, now: Millis) {
        let mut stats = lock(&self.stats);
        stats.health.set_retry_after(now, beat.cooldown);
        stats.beat = Some(beat);
        stats.beat_at = now;
        stats.sent_since = 0;
        stats.done_since = 0;
    }

    /// Returns the last heartbeat of the agent and the time at which it
    /// arrived.
    pub fn beat(&self) -> Option<(Heartbeat, Millis)> {
        let stats = lock(&self.stats);
        stats.beat.clone().map(|beat| (beat, stats.beat_at))
    }

    /// Whether the target is linked and its agent is, or answers for, an agent
    /// process.
    pub fn answers_for(&self, incarnation: id::Incarnation) -> bool {
        let linked = self.link.load().is_some();
        let stats = lock(&self.stats);
        let beat = stats.beat.as_ref();
        linked
            && beat.is_some_and(|it| {
                it.incarnation == incarnation
                    || it.inherited_incarnations.contains(&incarnation)
            })
    }

    /// Whether the target may get new work. Ejection and cooldown are ignored.
    pub fn is_open(&self) -> bool {
        let stats = lock(&self.stats);
        let serving =
            stats.beat.as_ref().is_some_and(|it| it.phase == Phase::Serving);
        let here = stats.presence() == Presence::Here;
        drop(stats);
        serving
            && here
            && self.link.load().is_some()
            && !self.drained.load(Ordering::Relaxed)
            && !self.vm_leaving.load(Ordering::Relaxed)
    }

    /// When the cooldown that the target asked for ends, if the target is in a
    /// cooldown.
    pub fn cooldown_end(&self, now: Millis) -> Option<Millis> {
        lock(&self.stats).health.cooldown_end(now)
    }

    /// Whether the health of the target admits an attempt now.
    pub fn admits(&self, now: Millis) -> Admission {
        lock(&self.stats).health.peek_admission(now)
    }

    /// The predicted time to the first token at the target, in microseconds.
    pub fn score(&self, zone_rtt_us: u32) -> u64 {
        let stats = lock(&self.stats);
        let load =
            stats.beat.as_ref().map_or(AgentLoad::default(), |it| it.load);
        let candidate = TargetCandidate {
            load,
            sent_since_report: stats.sent_since,
            completed_since_report: stats.done_since,
            in_flight: stats.in_flight,
            zone_rtt_us,
            cached_prompt_percent: 0,
            prefill_us: 0,
        };
        candidate.predicted_first_token_us()
    }

    /// Records the start of an attempt.
    pub fn begin(&self, now: Millis) {
        let mut stats = lock(&self.stats);
        stats.sent_since += 1;
        stats.in_flight += 1;
        // Uses up the probe that admitted this attempt, if there was one.
        let _ = stats.health.admit_attempt(now);
    }

    /// Records the outcome of an attempt.
    pub fn end(&self, outcome: Outcome, now: Millis) {
        let mut stats = lock(&self.stats);
        stats.done_since += 1;
        stats.in_flight = stats.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Whole => stats.health.record_success(),
            Outcome::Failed => {
                let jitter = rand::random_range(0..100);
                let config = health::EjectionConfig::new();
                stats.health.record_failure(&config, now, jitter);
            }
            Outcome::Neutral => {}
        }
    }

    /// Returns the status of the target that operators see.
    pub fn status(&self, now: Millis) -> Status {
        let open = self.is_open();
        let linked = self.link.load().is_some();
        let stats = lock(&self.stats);
        let is_ejected = stats.health.is_ejected();
        let is_cooling = stats.health.cooldown_end(now).is_some();
        let state = match (linked, stats.presence(), open) {
            (false, _, _) => "unreachable",
            (true, Presence::Gone, _) => "ended",
            (true, Presence::Here, false) => "leaving",
            (true, Presence::Here, true) if is_cooling => "cooling",
            (true, Presence::Here, true) if is_ejected => "ejected",
            (true, Presence::Here, true) => "serving",
        };
        let beat = stats.beat.as_ref();
        Status {
            state,
            load: beat.map_or(AgentLoad::default(), |it| it.load),
            age: now.since(stats.beat_at),
            offset: beat.map_or(0, |it| it.next_config_offset),
        }
    }
}

impl Stats {
    /// Whether the process of the target runs, by the last heartbeat of its
    /// agent.
    fn presence(&self) -> Presence {
        self.beat.as_ref().map_or(Presence::Here, |it| it.presence)
    }
}

impl Link {
    /// Creates a link without attempts.
    pub fn new(sender: Sender, incarnation: id::Incarnation) -> Link {
        Link { sender, incarnation, attempts: Mutex::default() }
    }

    /// The incarnation of the agent process at the other end of the link.
    pub fn incarnation(&self) -> id::Incarnation {
        self.incarnation
    }

    /// Registers an attempt and returns the channel of its events.
    pub fn listen(
        &self,
        attempt: id::Attempt,
    ) -> mpsc::UnboundedReceiver<Event> {
        let (sender, events) = mpsc::unbounded_channel();
        lock(&self.attempts).insert(attempt, sender);
        events
    }

    /// Unregisters an attempt. Later frames for the attempt are dropped.
    pub fn forget(&self, attempt: id::Attempt) {
        lock(&self.attempts).remove(&attempt);
    }

    /// Sends a frame to the agent.
    pub async fn send(&self, frame: Frame) -> Result<(), SendError> {
        self.sender.send(frame).await
    }

    /// Sends a frame to the agent if the send queue has room.
    pub fn try_send(&self, frame: Frame) -> Result<(), SendError> {
        self.sender.try_send(frame)
    }

    /// Delivers a frame from the agent to the attempt that the frame names.
    /// Other frames are dropped.
    pub fn deliver(&self, frame: Frame) {
        let (attempt, event) = match frame {
            Frame::Accepted(it) => (it.attempt, Event::Accepted(it.request)),
            Frame::Data(it) => (it.attempt, Event::Data(it)),
            Frame::End(it) => (it.attempt, Event::End(it)),
            Frame::Refusal(it) => (it.attempt, Event::Refused(failure(it))),
            _ => return,
        };
        // A frame for an unregistered attempt is dropped here.
        if let Some(listener) = lock(&self.attempts).get(&attempt) {
            let _ = listener.send(event);
        }
    }

    /// Sends [`Event::Lost`] to all attempts on the link.
    fn lose(&self) {
        for (_, listener) in lock(&self.attempts).drain() {
            let _ = listener.send(Event::Lost);
        }
    }
}

fn failure(refusal: Refusal) -> Failure {
    Failure {
        code: refusal.code,
        ran: refusal.ran,
        retry_after: refusal.retry_after,
    }
}

/// The outcome for a target's health of an attempt that ended with a failure.
pub fn outcome(failure: &Failure) -> Outcome {
    match failure.code {
        Code::TargetFailed | Code::TimedOut | Code::LinkLost => {
            Outcome::Failed
        }
        _ => Outcome::Neutral,
    }
}
