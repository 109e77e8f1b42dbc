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
    code::ResultCode,
    id,
    sync::lock,
    wire::{
        AgentLoad, AnswerData, AnswerEnd, AttemptRefusal, Frame, Heartbeat,
        ProcessPhase, RequestFailure, TargetProcessState,
    },
};
use cowsliproad_net::link::{SendError, Sender};
use cowsliproad_routing::{
    health::{self, AttemptAdmission, TargetHealth},
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
    pub agent_address: SocketAddr,
    /// The link to the agent, while the link is up.
    pub agent_link: ArcSwapOption<AgentLink>,
    /// Whether the operators drain the target.
    pub is_drained: AtomicBool,
    /// Whether the VM list shows the VM of the target as leaving.
    pub vm_leaving: AtomicBool,
    /// Whether the VM of the target was in the VM list and no longer is.
    pub vm_gone: AtomicBool,
    stats: Mutex<TargetStats>,
    dial_task: Mutex<Option<AbortHandle>>,
}

/// The last heartbeat of a target's agent, the attempts counted since then,
/// and the health of the target.
#[derive(Debug, Default)]
struct TargetStats {
    last_heartbeat: Option<Heartbeat>,
    heartbeat_received_at: Millis,
    sent_since_heartbeat: u32,
    completed_since_heartbeat: u32,
    in_flight: u32,
    health: TargetHealth,
}

/// A link to an agent and the attempts on the link.
#[derive(Debug)]
pub struct AgentLink {
    sender: Sender,
    incarnation: id::Incarnation,
    attempts: Mutex<HashMap<id::Attempt, mpsc::UnboundedSender<AttemptEvent>>>,
}

/// An event that an attempt receives from its agent.
#[derive(Debug)]
pub enum AttemptEvent {
    /// The agent recorded the work under this request id.
    Accepted(id::Request),
    /// A piece of the answer.
    Data(AnswerData),
    /// The end of the answer.
    End(AnswerEnd),
    /// The attempt ended without an answer.
    Refused(RequestFailure),
    /// The link to the agent broke.
    Lost,
}

/// The outcome of an attempt, for the health of its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The attempt returned a complete answer.
    Whole,
    /// The target or the link to its agent failed.
    Failed,
    /// The attempt was refused for the time being, or the caller left.
    Neutral,
}

/// The status of a target that operators see.
#[derive(Clone, Debug)]
pub struct TargetStatus {
    /// The state of the target: `unreachable`, `ended`, `leaving`, `cooling`,
    /// `ejected` or `serving`.
    pub state_name: &'static str,
    /// The last load report of the agent.
    pub agent_load: AgentLoad,
    /// The age of the last load report of the agent.
    pub agent_load_age: Millis,
    /// The configuration log offset up to which the agent has applied the
    /// records.
    pub next_config_offset: u64,
}

impl Target {
    /// Creates the state of a declared target, without a link.
    pub fn new(declaration: &cowsliproad_config::object::Target) -> Target {
        Target {
            name: declaration.name.clone(),
            service: declaration.service.clone(),
            zone: declaration.zone.clone(),
            agent_address: declaration.agent_address,
            agent_link: ArcSwapOption::empty(),
            is_drained: AtomicBool::new(false),
            vm_leaving: AtomicBool::new(false),
            vm_gone: AtomicBool::new(false),
            stats: Mutex::default(),
            dial_task: Mutex::default(),
        }
    }

    /// Stores the task that keeps the link to the agent up, and aborts the
    /// task that it replaces.
    pub fn set_dial_task(&self, task: AbortHandle) {
        let mut dial_task = lock(&self.dial_task);
        if let Some(old) = dial_task.replace(task) {
            old.abort();
        }
    }

    /// Drops the link to the agent and stops dialling.
    pub fn drop_link_and_stop_dialling(&self) {
        if let Some(task) = lock(&self.dial_task).take() {
            task.abort();
        }
        self.drop_link();
    }

    /// Drops the link to the agent. The attempts on the link receive
    /// [`AttemptEvent::Lost`].
    pub fn drop_link(&self) {
        if let Some(link) = self.agent_link.swap(None) {
            link.notify_link_lost();
        }
    }

    /// Records a heartbeat of the agent and resets the counters since the last
    /// heartbeat.
    pub fn record_heartbeat(&self, heartbeat: Heartbeat, now: Millis) {
        let mut stats = lock(&self.stats);
        stats.health.set_retry_after(now, heartbeat.target_cooldown_remaining);
        stats.last_heartbeat = Some(heartbeat);
        stats.heartbeat_received_at = now;
        stats.sent_since_heartbeat = 0;
        stats.completed_since_heartbeat = 0;
    }

    /// Returns the last heartbeat of the agent and the time at which it
    /// arrived.
    pub fn last_heartbeat(&self) -> Option<(Heartbeat, Millis)> {
        let stats = lock(&self.stats);
        stats
            .last_heartbeat
            .clone()
            .map(|heartbeat| (heartbeat, stats.heartbeat_received_at))
    }

    /// Whether the target is linked and its agent is, or took over from, an
    /// agent process.
    pub fn answers_for_incarnation(
        &self,
        incarnation: id::Incarnation,
    ) -> bool {
        let linked = self.agent_link.load().is_some();
        let stats = lock(&self.stats);
        let heartbeat = stats.last_heartbeat.as_ref();
        linked
            && heartbeat.is_some_and(|it| {
                it.incarnation == incarnation
                    || it.taken_over_incarnations.contains(&incarnation)
            })
    }

    /// Whether the target may get new work. Ejection and cooldown are ignored.
    pub fn accepts_new_work(&self) -> bool {
        let stats = lock(&self.stats);
        let serving = stats
            .last_heartbeat
            .as_ref()
            .is_some_and(|it| it.phase == ProcessPhase::Serving);
        let here = stats.reported_presence() == TargetProcessState::Here;
        drop(stats);
        serving
            && here
            && self.agent_link.load().is_some()
            && !self.is_drained.load(Ordering::Relaxed)
            && !self.vm_leaving.load(Ordering::Relaxed)
    }

    /// When the cooldown that the target asked for ends, if the target is in a
    /// cooldown.
    pub fn cooldown_end(&self, now: Millis) -> Option<Millis> {
        lock(&self.stats).health.cooldown_end(now)
    }

    /// Whether the health of the target admits an attempt now.
    pub fn health_admission(&self, now: Millis) -> AttemptAdmission {
        lock(&self.stats).health.peek_admission(now)
    }

    /// The predicted time to the first token at the target, in microseconds.
    pub fn predicted_first_token_us(&self, zone_rtt_us: u32) -> u64 {
        let stats = lock(&self.stats);
        let load = stats
            .last_heartbeat
            .as_ref()
            .map_or(AgentLoad::default(), |it| it.load);
        let candidate = TargetCandidate {
            reported_load: load,
            requests_sent_since_report: stats.sent_since_heartbeat,
            requests_completed_since_report: stats.completed_since_heartbeat,
            in_flight: stats.in_flight,
            zone_rtt_us,
            cached_prompt_percent: 0,
            full_prompt_prefill_us: 0,
        };
        candidate.predicted_first_token_us()
    }

    /// Records the start of an attempt.
    pub fn record_attempt_start(&self, now: Millis) {
        let mut stats = lock(&self.stats);
        stats.sent_since_heartbeat += 1;
        stats.in_flight += 1;
        // Uses up the probe that admitted this attempt, if there was one.
        let _ = stats.health.admit_attempt(now);
    }

    /// Records the outcome of an attempt.
    pub fn record_attempt_end(&self, outcome: AttemptOutcome, now: Millis) {
        let mut stats = lock(&self.stats);
        stats.completed_since_heartbeat += 1;
        stats.in_flight = stats.in_flight.saturating_sub(1);
        match outcome {
            AttemptOutcome::Whole => stats.health.record_success(),
            AttemptOutcome::Failed => {
                let jitter = rand::random_range(0..100);
                let config = health::EjectionConfig::new();
                stats.health.record_failure(&config, now, jitter);
            }
            AttemptOutcome::Neutral => {}
        }
    }

    /// Returns the status of the target that operators see.
    pub fn operator_status(&self, now: Millis) -> TargetStatus {
        let accepting_work = self.accepts_new_work();
        let linked = self.agent_link.load().is_some();
        let stats = lock(&self.stats);
        let is_ejected = stats.health.is_ejected();
        let is_cooling = stats.health.cooldown_end(now).is_some();
        let state = match (linked, stats.reported_presence(), accepting_work) {
            (false, _, _) => "unreachable",
            (true, TargetProcessState::Gone, _) => "ended",
            (true, TargetProcessState::Here, false) => "leaving",
            (true, TargetProcessState::Here, true) if is_cooling => "cooling",
            (true, TargetProcessState::Here, true) if is_ejected => "ejected",
            (true, TargetProcessState::Here, true) => "serving",
        };
        let heartbeat = stats.last_heartbeat.as_ref();
        TargetStatus {
            state_name: state,
            agent_load: heartbeat.map_or(AgentLoad::default(), |it| it.load),
            agent_load_age: now.since(stats.heartbeat_received_at),
            next_config_offset: heartbeat
                .map_or(0, |it| it.next_config_offset),
        }
    }
}

impl TargetStats {
    /// Whether the process of the target runs, by the last heartbeat of its
    /// agent.
    fn reported_presence(&self) -> TargetProcessState {
        self.last_heartbeat
            .as_ref()
            .map_or(TargetProcessState::Here, |it| it.presence)
    }
}

impl AgentLink {
    /// Creates a link without attempts.
    pub fn new(sender: Sender, incarnation: id::Incarnation) -> AgentLink {
        AgentLink { sender, incarnation, attempts: Mutex::default() }
    }

    /// The incarnation of the agent process at the other end of the link.
    pub fn agent_incarnation(&self) -> id::Incarnation {
        self.incarnation
    }

    /// Registers an attempt and returns the channel of its events.
    pub fn register_attempt(
        &self,
        attempt: id::Attempt,
    ) -> mpsc::UnboundedReceiver<AttemptEvent> {
        let (sender, events) = mpsc::unbounded_channel();
        lock(&self.attempts).insert(attempt, sender);
        events
    }

    /// Unregisters an attempt. Later frames for the attempt are dropped.
    pub fn unregister_attempt(&self, attempt: id::Attempt) {
        lock(&self.attempts).remove(&attempt);
    }

    /// Sends a frame to the agent.
    pub async fn send_frame(&self, frame: Frame) -> Result<(), SendError> {
        self.sender.send(frame).await
    }

    /// Sends a frame to the agent if the send queue has room.
    pub fn try_send_frame(&self, frame: Frame) -> Result<(), SendError> {
        self.sender.try_send(frame)
    }

    /// Delivers a frame from the agent to the attempt that the frame names.
    /// Other frames are dropped.
    pub fn deliver_to_attempt(&self, frame: Frame) {
        let (attempt, event) = match frame {
            Frame::RequestAccepted(it) => {
                (it.attempt, AttemptEvent::Accepted(it.request))
            }
            Frame::Data(it) => (it.attempt, AttemptEvent::Data(it)),
            Frame::End(it) => (it.attempt, AttemptEvent::End(it)),
            Frame::AttemptRefusal(it) => {
                (it.attempt, AttemptEvent::Refused(failure_from_refusal(it)))
            }
            _ => return,
        };
        // A frame for an unregistered attempt is dropped here.
        if let Some(listener) = lock(&self.attempts).get(&attempt) {
            let _ = listener.send(event);
        }
    }

    /// Sends [`AttemptEvent::Lost`] to all attempts on the link.
    fn notify_link_lost(&self) {
        for (_, listener) in lock(&self.attempts).drain() {
            let _ = listener.send(AttemptEvent::Lost);
        }
    }
}

fn failure_from_refusal(refusal: AttemptRefusal) -> RequestFailure {
    RequestFailure {
        code: refusal.code,
        ran: refusal.ran,
        retry_after: refusal.retry_after,
    }
}

/// The outcome for a target's health of an attempt that ended with a failure.
pub fn classify_failure(failure: &RequestFailure) -> AttemptOutcome {
    match failure.code {
        ResultCode::TargetFailed
        | ResultCode::TimedOut
        | ResultCode::LinkLost => AttemptOutcome::Failed,
        _ => AttemptOutcome::Neutral,
    }
}
