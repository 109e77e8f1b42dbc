//! Finds out whether a target's process crashed under its requests.
//!
//! A connection that breaks under a request proves little: the target may have
//! crashed, its group may have stalled, an answer may be lost, or only the
//! connection failed. A caller that disconnects proves nothing. So a probe
//! checks a moment later whether the target is alive. The target's agent, on
//! the same VM, states that it read the engine's report or that the process is
//! gone, and any answer of the target shows that it is alive. Without such a
//! sign, a new connection is tried: a VM whose process is gone refuses it. A
//! partition that resets connections to a zone looks the same, so a refusal
//! counts only while another VM of that zone sends messages. Silence proves
//! nothing, as when a VM is frozen, partitioned or without power.
//!
//! A target may continue with a request that was abandoned here until the
//! request's deadline: the request waits in the target's queue and runs though
//! its caller is gone. So a sign of life clears such a request only after the
//! deadline, and otherwise postpones the check. A request that was never
//! written to a connection raises no suspicion.

use std::{io, rc::Rc};

use cowsliproad_admission::quarantine::{Fingerprint, PartList, WorkDigest};
use cowsliproad_kernel::{Name, clock::Millis};
use cowsliproad_net::timer::{self, sleep};
use slog::info;
use tokio::net::TcpStream;

use crate::{
    entry::{ChosenTarget, Endpoint, Entry},
    quarantine::CrashExtent,
};

/// The longest latency of an agent's report or a target's answer: a message
/// that arrives within this time after a connection broke may have been sent
/// before.
pub const MAX_MESSAGE_LATENCY: Millis = Millis(100);

/// Delay before a target without an agent is probed. Requests whose
/// connections to the target broke together share one probe.
const CRASH_PROBE_DELAY_WITHOUT_AGENT: Millis = Millis(150);

/// Delay before a target with an agent is probed. An agent reports every 400
/// ms, so its report mostly makes the probe unnecessary: a partition of a
/// whole group causes no probe connections.
const CRASH_PROBE_DELAY_WITH_AGENT: Millis = Millis(550);

/// An agent that sent no report for this long before a connection broke isn't
/// expected to report on the target, which is probed as if it had no agent.
const AGENT_REPORT_TIMEOUT: Millis = Millis(1_000);

/// The timeout for the probe's connection to be accepted or refused.
const PROBE_CONNECT_TIMEOUT: Millis = Millis(250);

/// Probes without a conclusive answer before the target's state counts as
/// unknown.
const MAX_INCONCLUSIVE_PROBES: u32 = 3;

/// The pause between probes without a conclusive answer.
const PROBE_RETRY_BACKOFF: Millis = Millis(300);

/// Suspicions kept per target, some 70 bytes each: all requests of one entry
/// process that a target runs and queues. The oldest abandoned request gives
/// way to a new suspicion.
const MAX_SUSPICIONS_PER_TARGET: usize = 64;

/// A request during which its target may have crashed.
#[derive(Clone, Debug)]
pub struct CrashSuspicion {
    request_id: Name,
    fingerprint: Fingerprint,
    /// When the request's connection broke or was abandoned, or, if later,
    /// when the target was last known to be alive.
    broken_at: Millis,
    /// The delay after `broken_at` before the target of an abandoned request
    /// is probed, since the target may continue with the request; 0 if the
    /// connection broke.
    abandoned_probe_delay: Millis,
    /// The latest time at which the target may still run the request.
    may_run_until: Millis,
    /// Whether the target had begun to answer the request.
    answer_begun: bool,
}

impl CrashSuspicion {
    /// Creates the suspicion that a target crashed under a request whose
    /// connection broke.
    pub fn new_for_broken_connection(
        request_id: Name,
        fingerprint: Fingerprint,
    ) -> CrashSuspicion {
        let broken_at = Millis::now();
        CrashSuspicion {
            request_id,
            fingerprint,
            broken_at,
            abandoned_probe_delay: Millis(0),
            may_run_until: broken_at,
            answer_begun: false,
        }
    }

    /// Sets whether part of the request's answer had arrived.
    pub fn with_answer_begun(self, answer_begun: bool) -> CrashSuspicion {
        CrashSuspicion { answer_begun, ..self }
    }

    /// Creates the suspicion that a target crashed under an abandoned request.
    /// The target may continue with the request until its deadline.
    pub fn new_for_abandoned_request(
        request_id: Name,
        fingerprint: Fingerprint,
        may_run_until: Millis,
    ) -> CrashSuspicion {
        let broken =
            CrashSuspicion::new_for_broken_connection(request_id, fingerprint);
        let abandoned_probe_delay = ABANDONED_REQUEST_PROBE_INTERVAL;
        let may_run_until =
            may_run_until.min(broken.broken_at + MAX_REQUEST_DURATION);
        CrashSuspicion { abandoned_probe_delay, may_run_until, ..broken }
    }

    /// The prompt parts that may have crashed the target: none if it had begun
    /// to answer, since a part crashes its target before that.
    fn suspected_prompt_parts(&self) -> &[WorkDigest] {
        if self.answer_begun { &[] } else { &self.fingerprint.prompt_parts }
    }

    fn is_abandoned(&self) -> bool {
        self.abandoned_probe_delay > Millis(0)
    }

    /// The suspicion that remains after the target was seen alive; None after
    /// the request's deadline.
    fn renew_after_sign_of_life(&self, now: Millis) -> Option<CrashSuspicion> {
        (self.may_run_until > now)
            .then(|| CrashSuspicion { broken_at: now, ..self.clone() })
    }

    /// The earliest time of a sign of life that shows that the target survived
    /// the request.
    fn earliest_survival_proof_at(&self) -> Millis {
        self.broken_at + self.abandoned_probe_delay + MAX_MESSAGE_LATENCY
    }
}

/// Delay before a target is probed that may continue with a request whose
/// connection was reset, and the interval of later probes. Most targets drop
/// the request at once; one that reads the reset late has 100 ms to begin the
/// request and 100 ms to end it. Other targets keep the request queued until
/// its deadline.
const ABANDONED_REQUEST_PROBE_INTERVAL: Millis = Millis(500);

/// The longest that a request may take: the limit for streams plus a quarter.
const MAX_REQUEST_DURATION: Millis = Millis(10_000);

/// The result of a probe of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProbeOutcome {
    Alive,
    Crashed,
    /// The probe didn't show whether the target is alive.
    Unknown,
}

/// Records a suspicion that a target crashed under a request, and starts a
/// probe task unless one runs for the target.
pub fn add_crash_suspicion(
    entry: &Rc<Entry>,
    choice: &ChosenTarget,
    suspect: CrashSuspicion,
) {
    let mut endpoint = choice.endpoint.borrow_mut();
    if endpoint.crash_suspicions.len() >= MAX_SUSPICIONS_PER_TARGET {
        entry.metrics.record_suspicion_outcomes(1, "untold");
        let oldest = endpoint
            .crash_suspicions
            .iter()
            .position(CrashSuspicion::is_abandoned);
        let Some(oldest) = oldest else { return };
        endpoint.crash_suspicions.remove(oldest);
    }
    endpoint.crash_suspicions.push(suspect);
    if endpoint.crash_suspicions.len() == 1 {
        tokio::task::spawn_local(probe_target(entry.clone(), choice.clone()));
    }
}

/// Probes a target until no suspicion that it crashed is left.
async fn probe_target(entry: Rc<Entry>, choice: ChosenTarget) {
    let mut probes = 0;
    loop {
        let Some(due) = resolve_by_reports_and_answers(&entry, &choice) else {
            return;
        };
        let now = Millis::now();
        let cooldown_end = entry.cooldown_end(&choice.target, now);
        let due = cooldown_end
            .map_or(due, |end| due.max(end.min(due + MAX_REQUEST_DURATION)));
        let wait = due.since(now);
        if wait > Millis(0) {
            tokio::select! {
                () = sleep(wait.duration()) => {}
                // An agent may have reported on the target.
                () = entry.targets_changed.notified() => {}
            }
            continue;
        }
        let probed_at = Millis::now();
        let outcome = match cooldown_end {
            // A target in a cooldown gets no new connections, not even a
            // probe's.
            Some(_) => ProbeOutcome::Unknown,
            None => probe_by_connecting(&entry, &choice).await,
        };
        probes += 1;
        if outcome == ProbeOutcome::Unknown && probes < MAX_INCONCLUSIVE_PROBES
        {
            sleep(PROBE_RETRY_BACKOFF.duration()).await;
            continue;
        }
        resolve_suspicions(&entry, &choice, outcome, |it| {
            it.broken_at + it.abandoned_probe_delay <= probed_at
        });
        probes = 0;
    }
}

/// Resolves the suspicions that reports and answers decide, and returns when
/// to probe for the rest.
fn resolve_by_reports_and_answers(
    entry: &Entry,
    choice: &ChosenTarget,
) -> Option<Millis> {
    let (last_seen_alive, target_exit_reported_at) = {
        let endpoint = choice.endpoint.borrow();
        (endpoint.last_seen_alive, endpoint.target_exit_reported_at)
    };
    let survived = |it: &CrashSuspicion| {
        last_seen_alive.is_some_and(|at| it.earliest_survival_proof_at() <= at)
    };
    resolve_suspicions(entry, choice, ProbeOutcome::Alive, survived);
    let crashed = |it: &CrashSuspicion| {
        target_exit_reported_at
            .is_some_and(|at| it.broken_at <= at + MAX_MESSAGE_LATENCY)
    };
    resolve_suspicions(entry, choice, ProbeOutcome::Crashed, crashed);
    let endpoint = choice.endpoint.borrow();
    let due = |it: &CrashSuspicion| {
        it.broken_at
            + it.abandoned_probe_delay
            + probe_delay(&endpoint, it.broken_at)
    };
    endpoint.crash_suspicions.iter().map(due).min()
}

fn probe_delay(endpoint: &Endpoint, since: Millis) -> Millis {
    let report_age =
        endpoint.group.as_ref().map(|it| since.since(it.reported_at));
    match report_age {
        Some(age) if age < AGENT_REPORT_TIMEOUT => {
            CRASH_PROBE_DELAY_WITH_AGENT
        }
        _ => CRASH_PROBE_DELAY_WITHOUT_AGENT,
    }
}

async fn probe_by_connecting(
    entry: &Entry,
    choice: &ChosenTarget,
) -> ProbeOutcome {
    let newest = choice
        .endpoint
        .borrow()
        .crash_suspicions
        .last()
        .map(|it| it.broken_at);
    let since = newest.unwrap_or_default() + MAX_MESSAGE_LATENCY;
    let opening = TcpStream::connect(choice.target.address);
    match timer::timeout(PROBE_CONNECT_TIMEOUT.duration(), opening).await {
        Ok(Ok(_)) => ProbeOutcome::Alive,
        Ok(Err(error))
            if error.kind() == io::ErrorKind::ConnectionRefused
                && entry
                    .has_zone_contact_since(&choice.target.zone, since) =>
        {
            ProbeOutcome::Crashed
        }
        Ok(Err(_)) | Err(_) => ProbeOutcome::Unknown,
    }
}

fn resolve_suspicions(
    entry: &Entry,
    choice: &ChosenTarget,
    outcome: ProbeOutcome,
    is_settled: impl Fn(&CrashSuspicion) -> bool,
) {
    let now = Millis::now();
    let mut settled = Vec::new();
    choice.endpoint.borrow_mut().crash_suspicions.retain_mut(|it| {
        if !is_settled(it) {
            return true;
        }
        let is_alive = outcome == ProbeOutcome::Alive;
        if let Some(renewed) =
            it.renew_after_sign_of_life(now).filter(|_| is_alive)
        {
            *it = renewed;
            return true;
        }
        settled.push(it.clone());
        false
    });
    if settled.is_empty() {
        return;
    }
    match outcome {
        ProbeOutcome::Alive => {
            entry.metrics.record_suspicion_outcomes(settled.len(), "lives")
        }
        ProbeOutcome::Unknown => {
            entry.metrics.record_suspicion_outcomes(settled.len(), "unknown")
        }
        ProbeOutcome::Crashed => {
            entry.metrics.record_suspicion_outcomes(settled.len(), "ended");
            for suspect in settled {
                record_suspected_crash(entry, choice, &suspect);
            }
        }
    }
}

/// Records in the quarantine that a target crashed under a suspected request.
fn record_suspected_crash(
    entry: &Entry,
    choice: &ChosenTarget,
    suspect: &CrashSuspicion,
) {
    let age = Millis::now().since(suspect.broken_at);
    // A rank has begun to answer most requests that it runs, and a
    // crash-inducing request mostly crashes the rank before that.
    let in_group = choice.endpoint.borrow().group.is_some();
    let is_likely = !suspect.answer_begun && !suspect.is_abandoned();
    let extent = if in_group && is_likely {
        CrashExtent::Group
    } else {
        CrashExtent::Target
    };
    let parts = suspect.suspected_prompt_parts();
    entry.metrics.record_suspected_prompt_parts(parts.len());
    info!(entry.log, "ended_under"; "target" => &*choice.target.id,
        "request" => &*suspect.request_id,
        "work" => %suspect.fingerprint.request,
        "parts" => %PartList(parts),
        "known_after" => age.0, "extent" => ?extent);
    entry.record_crash_during_work(
        &choice.target,
        suspect.fingerprint.request,
        parts,
        extent,
        Millis::now(),
    );
}
