//! What an entry knows of each target.
//!
//! A [`Target`] lives as long as its declaration and is shared by all views.
//! Traffic reads and updates its counters under a lock held for nanoseconds;
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
        AgentLoad, AnswerData, AnswerEnd, AttemptRefusal, Frame, Heartbeat,
        ProcessPhase, RequestFailure, TargetPresence,
    },
};
use cowsliproad_net::link::{SendError, Sender};
use cowsliproad_routing::{
    health::{self, AttemptAdmission, TargetHealth},
    score::TargetCandidate,
};
use tokio::{sync::mpsc, task::AbortHandle};

/// A target and its agent.
#[derive(Debug)]
pub struct Target {
    /// Its name.
    pub name: Name,
    /// The service that it serves.
    pub service: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Where its agent listens.
    pub address: SocketAddr,
    /// The link, while there is one.
    pub link: ArcSwapOption<Link>,
    /// The operators drain it.
    pub drained: AtomicBool,
    /// The VM list says that it is leaving.
    pub vm_leaving: AtomicBool,
    /// The VM list had it and has it no more.
    pub vm_gone: AtomicBool,
    stats: Mutex<Stats>,
    dialler: Mutex<Option<AbortHandle>>,
}

#[derive(Debug, Default)]
struct Stats {
    beat: Option<Heartbeat>,
    beat_at: Millis,
    sent_since: u32,
    done_since: u32,
    in_flight: u32,
    health: TargetHealth,
}

/// A link to an agent and the attempts on it.
#[derive(Debug)]
pub struct Link {
    sender: Sender,
    incarnation: id::Incarnation,
    attempts: Mutex<HashMap<id::Attempt, mpsc::UnboundedSender<Event>>>,
}

/// What an attempt hears from its agent.
#[derive(Debug)]
pub enum Event {
    /// The work was recorded under this request.
    Accepted(id::Request),
    /// A piece of the answer.
    Data(AnswerData),
    /// The end of the answer.
    End(AnswerEnd),
    /// The attempt ended without an answer.
    Refused(RequestFailure),
    /// The link broke.
    Lost,
}

/// How an attempt ended, for the target's counters.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// With a whole answer.
    Whole,
    /// The target or its link failed.
    Failed,
    /// It was refused for the time being, or the caller left.
    Neutral,
}

/// What is shown of a target to operators.
#[derive(Clone, Debug)]
pub struct Status {
    /// `unreachable`, `ended`, `leaving`, `cooling`, `ejected` or `serving`.
    pub state: &'static str,
    /// The last load report.
    pub load: AgentLoad,
    /// Its age.
    pub age: Millis,
    /// The configuration offset that the agent has folded up to.
    pub offset: u64,
}

impl Target {
    /// A target without a link.
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

    /// Notes the task that keeps the link up.
    pub fn set_dialler(&self, task: AbortHandle) {
        let mut dialler = lock(&self.dialler);
        if let Some(old) = dialler.replace(task) {
            old.abort();
        }
    }

    /// Ends the link for good.
    pub fn close(&self) {
        if let Some(task) = lock(&self.dialler).take() {
            task.abort();
        }
        self.unlink();
    }

    /// Drops the link; its attempts hear that it broke.
    pub fn unlink(&self) {
        if let Some(link) = self.link.swap(None) {
            link.lose();
        }
    }

    /// Takes a heartbeat in.
    pub fn take_beat(&self, beat: Heartbeat, now: Millis) {
        let mut stats = lock(&self.stats);
        stats.health.set_retry_after(now, beat.target_cooldown_remaining);
        stats.beat = Some(beat);
        stats.beat_at = now;
        stats.sent_since = 0;
        stats.done_since = 0;
    }

    /// The last heartbeat and when it came.
    pub fn beat(&self) -> Option<(Heartbeat, Millis)> {
        let stats = lock(&self.stats);
        stats.beat.clone().map(|beat| (beat, stats.beat_at))
    }

    /// Whether it is linked and its agent is, or answers for, a process.
    pub fn answers_for(&self, incarnation: id::Incarnation) -> bool {
        let linked = self.link.load().is_some();
        let stats = lock(&self.stats);
        let beat = stats.beat.as_ref();
        linked
            && beat.is_some_and(|it| {
                it.incarnation == incarnation
                    || it.taken_over_incarnations.contains(&incarnation)
            })
    }

    /// Whether new work may go there, leaving health aside.
    pub fn is_open(&self) -> bool {
        let stats = lock(&self.stats);
        let serving = stats
            .beat
            .as_ref()
            .is_some_and(|it| it.phase == ProcessPhase::Serving);
        let here = stats.presence() == TargetPresence::Here;
        drop(stats);
        serving
            && here
            && self.link.load().is_some()
            && !self.drained.load(Ordering::Relaxed)
            && !self.vm_leaving.load(Ordering::Relaxed)
    }

    /// When the time ends for which the target asked to be left alone.
    pub fn cooldown_end(&self, now: Millis) -> Option<Millis> {
        lock(&self.stats).health.cooldown_end(now)
    }

    /// Whether health admits an attempt now.
    pub fn admits(&self, now: Millis) -> AttemptAdmission {
        lock(&self.stats).health.peek_admission(now)
    }

    /// The predicted time to the first token there, in microseconds.
    pub fn score(&self, zone_rtt_us: u32) -> u64 {
        let stats = lock(&self.stats);
        let load =
            stats.beat.as_ref().map_or(AgentLoad::default(), |it| it.load);
        let candidate = TargetCandidate {
            reported_load: load,
            requests_sent_since_report: stats.sent_since,
            requests_completed_since_report: stats.done_since,
            in_flight: stats.in_flight,
            zone_rtt_us,
            cached_prompt_percent: 0,
            full_prompt_prefill_us: 0,
        };
        candidate.predicted_first_token_us()
    }

    /// Notes that an attempt starts.
    pub fn begin(&self, now: Millis) {
        let mut stats = lock(&self.stats);
        stats.sent_since += 1;
        stats.in_flight += 1;
        // A probe is used up by the attempt that it admitted.
        let _ = stats.health.admit_attempt(now);
    }

    /// Notes how an attempt ended.
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

    /// What operators see.
    pub fn status(&self, now: Millis) -> Status {
        let open = self.is_open();
        let linked = self.link.load().is_some();
        let stats = lock(&self.stats);
        let is_ejected = stats.health.is_ejected();
        let is_cooling = stats.health.cooldown_end(now).is_some();
        let state = match (linked, stats.presence(), open) {
            (false, _, _) => "unreachable",
            (true, TargetPresence::Gone, _) => "ended",
            (true, TargetPresence::Here, false) => "leaving",
            (true, TargetPresence::Here, true) if is_cooling => "cooling",
            (true, TargetPresence::Here, true) if is_ejected => "ejected",
            (true, TargetPresence::Here, true) => "serving",
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
    /// Whether the target's process is there, by its agent's last word.
    fn presence(&self) -> TargetPresence {
        self.beat.as_ref().map_or(TargetPresence::Here, |it| it.presence)
    }
}

impl Link {
    /// A link without attempts.
    pub fn new(sender: Sender, incarnation: id::Incarnation) -> Link {
        Link { sender, incarnation, attempts: Mutex::default() }
    }

    /// The agent process at the other end.
    pub fn incarnation(&self) -> id::Incarnation {
        self.incarnation
    }

    /// Starts to listen for the frames of an attempt.
    pub fn listen(
        &self,
        attempt: id::Attempt,
    ) -> mpsc::UnboundedReceiver<Event> {
        let (sender, events) = mpsc::unbounded_channel();
        lock(&self.attempts).insert(attempt, sender);
        events
    }

    /// Stops listening.
    pub fn forget(&self, attempt: id::Attempt) {
        lock(&self.attempts).remove(&attempt);
    }

    /// Sends a frame.
    pub async fn send(&self, frame: Frame) -> Result<(), SendError> {
        self.sender.send(frame).await
    }

    /// Sends a frame if there is room.
    pub fn try_send(&self, frame: Frame) -> Result<(), SendError> {
        self.sender.try_send(frame)
    }

    /// Gives a frame to its attempt, if it is for one.
    pub fn deliver(&self, frame: Frame) {
        let (attempt, event) = match frame {
            Frame::RequestAccepted(it) => {
                (it.attempt, Event::Accepted(it.request))
            }
            Frame::Data(it) => (it.attempt, Event::Data(it)),
            Frame::End(it) => (it.attempt, Event::End(it)),
            Frame::AttemptRefusal(it) => {
                (it.attempt, Event::Refused(failure(it)))
            }
            _ => return,
        };
        // An attempt that is not listened to any more is dropped here.
        if let Some(listener) = lock(&self.attempts).get(&attempt) {
            let _ = listener.send(event);
        }
    }

    fn lose(&self) {
        for (_, listener) in lock(&self.attempts).drain() {
            let _ = listener.send(Event::Lost);
        }
    }
}

fn failure(refusal: AttemptRefusal) -> RequestFailure {
    RequestFailure {
        code: refusal.code,
        ran: refusal.ran,
        retry_after: refusal.retry_after,
    }
}

/// How a failure counts for the target that reported it.
pub fn outcome(failure: &RequestFailure) -> Outcome {
    match failure.code {
        Code::TargetFailed | Code::TimedOut | Code::LinkLost => {
            Outcome::Failed
        }
        _ => Outcome::Neutral,
    }
}
