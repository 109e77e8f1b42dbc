//! Detection of crashes of the target's process, and of the requests that ran
//! at the time of a crash.
//!
//! The agent runs on the target's own VM, so a refused connection proves that
//! no process listens there. The agent reports the requests that were
//! interrupted by a crash to all entry processes, also to those that connect
//! later. Entry processes decide on a quarantine, since they receive reports
//! about all targets; see [`cowsliproad_admission::quarantine`].
//!
//! The report is sent before the answer to the request, on the same link:
//! each retry of a crash-inducing request goes to another target, and the
//! request would crash four targets in the 250 ms between two heartbeats. The
//! agent also reports that the target's process is gone or back; entry
//! processes send no requests in between.

use std::{
    collections::VecDeque,
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

use cowsliproad_admission::quarantine::{
    self, CrashId, CrashLedger, QuarantineChange,
};
use cowsliproad_kernel::{
    clock::Millis,
    code::{ExecutionStatus, ResultCode},
    gossip::CrashSuspectRequest,
    id,
    sync::lock,
    wire::{RequestFailure, TargetProcessState},
};
use cowsliproad_net::timer::{sleep, timeout};
use slog::info;
use tokio::{io::AsyncReadExt, net::TcpStream, sync::Notify};

use crate::{gate::TargetGate, links::AgentLinks, work::RequestWork};

/// How long a connection on the same VM may take to be accepted or refused.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Failed requests within this time of each other belong to the same crash,
/// since no target restarts faster.
const MIN_CRASH_INTERVAL: Millis = Millis(300);

/// The delay before a second check for a crash. A process closes its listener
/// and its connections one after the other, and never restarts this fast.
const CRASH_RECHECK_DELAY: Duration = Duration::from_millis(50);

/// The time between checks whether the target's process is running, while it is
/// gone or may still run abandoned requests. A check costs one connection on
/// the same VM.
const PRESENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The least time that a target is assumed to run an abandoned request, even
/// past its deadline. Ten times the usual service time.
const MIN_ABANDONED_RUN_TIME: Millis = Millis(1_000);

/// The longest delay before reconnecting to a target that closes idle
/// connections.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(5);

/// The number of abandoned requests tracked, 16 bytes each: enough for all
/// requests queued inside a target.
const MAX_ABANDONED_REQUESTS: usize = 256;

/// Tracks crashes of the target's process and whether the process is running.
#[derive(Debug)]
pub struct TargetCrashes {
    /// The target's name and the agent's incarnation, which identify crashes
    /// together with the time.
    crash_source: String,
    state: Mutex<CrashState>,
    /// Notified when the target's process is gone or a request to the target
    /// is abandoned, to wake the task that watches the target.
    watch_needed: Notify,
}

#[derive(Debug, Default)]
struct CrashState {
    crash_ledger: CrashLedger,
    /// The last crash and the time it was detected.
    last_crash: Option<(CrashId, Millis)>,
    /// Digests of requests whose crash reports must still be sent to entry
    /// processes.
    unsent_reports: Vec<quarantine::WorkDigest>,
    presence: TargetProcessState,
    /// Whether a change of the target's presence must still be sent to entry
    /// processes.
    has_unsent_presence: bool,
    /// Abandoned requests, each with the time until which the target may still
    /// run it.
    abandoned_requests: VecDeque<(quarantine::WorkDigest, Millis)>,
}

/// The result of the check for a crash after a request failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashCheckOutcome {
    /// The check for a crash is complete.
    Complete,
    /// The target still accepts connections, as a crashing process may do for
    /// a moment; check again.
    StillListening,
}

impl TargetCrashes {
    /// Creates a crash tracker for a target, before any crash is recorded.
    pub fn new(target: &str, incarnation: id::Incarnation) -> TargetCrashes {
        TargetCrashes {
            crash_source: format!("{target} {incarnation}"),
            state: Mutex::default(),
            watch_needed: Notify::new(),
        }
    }

    /// Whether the target's process is running.
    pub fn target_presence(&self) -> TargetProcessState {
        lock(&self.state).presence
    }

    /// Whether a crash or presence report must still be sent to entry
    /// processes.
    pub fn has_unsent_reports(&self) -> bool {
        let state = lock(&self.state);
        state.has_unsent_presence || !state.unsent_reports.is_empty()
    }

    /// Takes the crash reports that must still be sent to entry processes.
    pub fn take_unsent_suspects(&self) -> Vec<CrashSuspectRequest> {
        let mut state = lock(&self.state);
        state.has_unsent_presence = false;
        let reports = std::mem::take(&mut state.unsent_reports);
        let now = Millis::now();
        let known = |it: &quarantine::WorkDigest| {
            state.crash_ledger.export_suspect(*it, now)
        };
        reports.iter().filter_map(known).collect()
    }

    /// All requests suspected of crashing the target, for an entry process that
    /// has just connected.
    pub fn all_suspected_requests(&self) -> Vec<CrashSuspectRequest> {
        let mut state = lock(&self.state);
        let now = Millis::now();
        state.crash_ledger.evict_expired_cases(now);
        state.crash_ledger.snapshot_suspects(now)
    }

    /// Records that the target survived a request.
    pub fn record_survived_request(
        &self,
        request_digest: quarantine::WorkDigest,
    ) {
        let mut state = lock(&self.state);
        if state
            .crash_ledger
            .record_survived_request(request_digest, Millis::now())
            != QuarantineChange::None
        {
            state.unsent_reports.push(request_digest);
        }
    }

    fn record_crash_during(&self, request_digest: quarantine::WorkDigest) {
        let now = Millis::now();
        let mut state = lock(&self.state);
        let crash = match state.last_crash {
            Some((crash, at)) if now.since(at) < MIN_CRASH_INTERVAL => crash,
            _ => CrashId::new(&self.crash_source, now.0),
        };
        state.last_crash = Some((crash, now));
        state.crash_ledger.record_crash(request_digest, crash, now);
        state.unsent_reports.push(request_digest);
    }

    /// Records whether the target's process is running. Returns whether the
    /// presence changed.
    fn set_target_presence(&self, presence: TargetProcessState) -> bool {
        let mut state = lock(&self.state);
        let is_new = state.presence != presence;
        state.presence = presence;
        state.has_unsent_presence |= is_new;
        drop(state);
        if presence == TargetProcessState::Gone {
            self.watch_needed.notify_one();
        }
        is_new
    }

    /// Records an abandoned request that the target may still run until
    /// `may_run_until`.
    fn record_abandoned_request(
        &self,
        request_digest: quarantine::WorkDigest,
        may_run_until: Millis,
    ) {
        let mut state = lock(&self.state);
        if state.abandoned_requests.len() >= MAX_ABANDONED_REQUESTS {
            state.abandoned_requests.pop_front();
        }
        state.abandoned_requests.push_back((request_digest, may_run_until));
        drop(state);
        self.watch_needed.notify_one();
    }

    /// Whether the target's process must be checked regularly.
    fn needs_presence_check(&self) -> bool {
        let state = lock(&self.state);
        state.presence == TargetProcessState::Gone
            || !state.abandoned_requests.is_empty()
    }

    /// Records that the target was alive at `alive_at`. Clears the abandoned
    /// requests that it no longer ran then.
    fn record_alive_at(&self, alive_at: Millis) {
        lock(&self.state).abandoned_requests.retain(|it| alive_at < it.1);
    }

    /// Takes the requests that the agent abandoned and that the target may have
    /// been running.
    fn take_abandoned_requests(&self) -> Vec<quarantine::WorkDigest> {
        let abandoned =
            std::mem::take(&mut lock(&self.state).abandoned_requests);
        abandoned.into_iter().map(|it| it.0).collect()
    }
}

/// Checks whether the target crashed while it ran a request that failed.
pub async fn check_for_crash(
    gate: &TargetGate,
    work: &RequestWork,
    failure: RequestFailure,
) -> CrashCheckOutcome {
    if failure.code != ResultCode::TargetFailed {
        if failure.ran == ExecutionStatus::OutcomeUnknown {
            let until = Millis::now() + MIN_ABANDONED_RUN_TIME;
            gate.crashes.record_abandoned_request(
                work.submission_digest(),
                until.max(work.deadline),
            );
        }
        return CrashCheckOutcome::Complete;
    }
    let is_gone = is_target_gone(gate).await;
    match (failure.ran, is_gone) {
        (ExecutionStatus::OutcomeUnknown, true) => {
            report_crash(gate, work);
            CrashCheckOutcome::Complete
        }
        (ExecutionStatus::OutcomeUnknown, false) => {
            CrashCheckOutcome::StillListening
        }
        // The target's process was gone before the request was sent.
        (_, true) => {
            report_presence(gate, TargetProcessState::Gone);
            CrashCheckOutcome::Complete
        }
        (_, false) => CrashCheckOutcome::Complete,
    }
}

/// Checks for a crash once more, after `CRASH_RECHECK_DELAY`.
pub async fn recheck_for_crash(gate: &TargetGate, work: &RequestWork) {
    sleep(CRASH_RECHECK_DELAY).await;
    if is_target_gone(gate).await {
        report_crash(gate, work);
    }
}

/// Watches for the return of a target that is gone, and for a crash while the
/// target may run abandoned requests. Reports both to entry processes, for as
/// long as the agent runs.
pub async fn watch_target_presence(
    gate: Arc<TargetGate>,
    links: Arc<AgentLinks>,
) {
    loop {
        gate.crashes.watch_needed.notified().await;
        while gate.crashes.needs_presence_check() {
            let check_started = Millis::now();
            if is_target_gone(&gate).await {
                report_crash_with_abandoned_requests(&gate);
                report_presence(&gate, TargetProcessState::Gone);
            } else {
                gate.crashes.record_alive_at(check_started);
                report_presence(&gate, TargetProcessState::Here);
            }
            links.send_unsent_reports();
            sleep(PRESENCE_CHECK_INTERVAL).await;
        }
    }
}

/// Ends a cooldown early if the target process that asked for it is gone,
/// since its successor asked for none, and reports it to entry processes. Runs
/// for as long as the agent runs.
pub async fn watch_target_during_cooldown(
    gate: Arc<TargetGate>,
    links: Arc<AgentLinks>,
) {
    loop {
        let changed = gate.pacer.wait_for_limit_change();
        let left = gate.pacer.remaining_cooldown(Millis::now());
        if left.0 == 0 {
            changed.await;
            continue;
        }
        tokio::select! {
            () = changed => {}
            () = sleep(left.duration()) => {}
            () = wait_until_target_gone(&gate) => {
                report_presence(&gate, TargetProcessState::Gone);
                links.send_unsent_reports();
            }
        }
    }
}

/// Waits until the target's process is gone. An idle connection, which costs
/// the process no work, closes when the process exits.
async fn wait_until_target_gone(gate: &TargetGate) {
    let mut pause = CRASH_RECHECK_DELAY;
    loop {
        match TcpStream::connect(gate.settings.target_address).await {
            Ok(mut stream) => {
                let mut bytes = [0; 64];
                while matches!(stream.read(&mut bytes).await, Ok(1..)) {}
            }
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return;
            }
            Err(_) => {}
        }
        // Wait before reconnecting: an exiting process may close its listener
        // after its connections.
        sleep(pause).await;
        pause = MAX_RECONNECT_DELAY.min(2 * pause);
    }
}

/// Records that the target crashed while it may have been running requests that
/// the agent had abandoned.
fn report_crash_with_abandoned_requests(gate: &TargetGate) {
    for digest in gate.crashes.take_abandoned_requests() {
        info!(gate.logger(), "ended_under_left"; "work" => %digest,
            "target" => %gate.settings.target_address);
        gate.crashes.record_crash_during(digest);
    }
}

fn report_crash(gate: &TargetGate, work: &RequestWork) {
    let digest = work.submission_digest();
    info!(gate.logger(), "ended_under";
        "request" => %work.request_id, "work" => %digest,
        "target" => %gate.settings.target_address);
    gate.crashes.record_crash_during(digest);
    report_presence(gate, TargetProcessState::Gone);
}

fn report_presence(gate: &TargetGate, presence: TargetProcessState) {
    if presence == TargetProcessState::Gone {
        gate.pacer.clear_limits();
    }
    if gate.crashes.set_target_presence(presence) {
        info!(gate.logger(), "target_presence";
            "target" => %gate.settings.target_address, "is" => ?presence);
    }
}

async fn is_target_gone(gate: &TargetGate) -> bool {
    let connecting = TcpStream::connect(gate.settings.target_address);
    let refused = io::ErrorKind::ConnectionRefused;
    match timeout(CRASH_CHECK_TIMEOUT, connecting).await {
        Ok(Err(error)) => error.kind() == refused,
        // A target that is frozen or overloaded has not crashed.
        Ok(Ok(_)) | Err(_) => false,
    }
}
