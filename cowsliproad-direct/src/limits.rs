//! Enforces rate limits that targets set for the sum of all entry processes.
//!
//! The limiter itself is in [`cowsliproad_admission::limit`]; this module
//! exchanges limits and permits between entry processes. A limit that a target
//! states is broadcast to the other entry processes at once and then in
//! digests. A request to such a target first acquires a permit: from this
//! entry process, if it owns the target's limiter, otherwise by one datagram
//! to the owner and one back. An entry process that gets a permit request but
//! knows a better owner forwards the request, so that entry processes with
//! different views of the peers share one limiter. An entry process that gets
//! no answer from the owner substitutes for the owner, with a new limiter.

use std::{cell::RefCell, collections::HashMap, fmt, net::SocketAddr, rc::Rc};

use cowsliproad_admission::limit::{
    self, LimitChange, LimitReport, Permit, PermitDecision, RequestRate,
};
use cowsliproad_kernel::{
    Name,
    clock::Millis,
    gossip::{self, Datagram, PermitReply, PermitRequest, RateLimit},
};
use cowsliproad_net::timer::{sleep, timeout};
use cowsliproad_platform::header;
use cowsliproad_routing::{
    fleet::{ProcessStartUnixMs, Target},
    owner::RateLimiterOwner,
};
use http::{HeaderMap, HeaderValue};
use slog::{debug, info, warn};
use tokio::{net::UdpSocket, sync::oneshot};

use crate::{
    attempt::Attempt,
    call::AttemptError,
    entry::{
        ChosenTarget, CooldownRecovery, Endpoint, Entry, StateChangeSource,
    },
};

/// How often a permit request may be forwarded: to the supposed owner of the
/// limiter, and from there to the owner that the supposed owner knows.
const MAX_PERMIT_REQUEST_FORWARDS: u8 = 2;

/// The timeout for a reply to a permit request that isn't forwarded.
const PERMIT_REPLY_TIMEOUT: Millis = Millis(120);

/// The timeout for a reply to a request for a permit that is to be valid at
/// once. Without a reply, the caller's request can go to another target.
const IMMEDIATE_PERMIT_REPLY_TIMEOUT: Millis = Millis(40);

/// How long an entry process that didn't reply to a permit request is passed
/// over as owner of limiters.
const UNRESPONSIVE_OWNER_TTL: Millis = Millis(2_000);

/// Supposed owners of a limiter that are asked for the same permit. Each may
/// be gone.
const MAX_LIMIT_OWNERS_ASKED_FOR_PERMIT: usize = 2;

/// The delay before a permit is requested again if no entry process knows when
/// one becomes free.
const PERMIT_RETRY_BACKOFF: Millis = Millis(250);

/// How long a permit stays valid while its request gets a connection.
const PERMIT_TTL: Millis = Millis(400);

/// How long a limit that has changed or was removed is part of each digest.
const LIMIT_BROADCAST_TTL: Millis = Millis(8_000);

/// How long a limit of an unknown target is kept: the target is announced by
/// then.
const UNKNOWN_TARGET_LIMIT_TTL: Millis = Millis(10_000);

/// Limits in one digest, some 40 bytes each.
const MAX_LIMITS_PER_DIGEST: usize = 256;

/// The least time between immediate broadcasts of changed limits, however
/// often targets change them.
const MIN_LIMIT_BROADCAST_INTERVAL: Millis = Millis(100);

/// Which rate limits and quarantined requests a digest includes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DigestScope {
    /// Rate limits and crash records that changed recently, and refused
    /// requests.
    Changed,
    /// All rate limits and all suspended requests, in addition to recent
    /// changes and refused requests.
    All,
}

/// Rate limiters of targets, and permit requests to other entry processes that
/// await a reply.
#[derive(Default)]
pub struct RateLimits {
    socket: Option<Rc<UdpSocket>>,
    limiters: HashMap<Name, (ProcessStartUnixMs, limit::Limiter)>,
    pending_requests: HashMap<u64, oneshot::Sender<PermitReply>>,
    /// Rate limits of targets that this entry process doesn't know yet, and
    /// when each limit arrived.
    early_limits: HashMap<Name, (RateLimit, Millis)>,
    last_broadcast: Millis,
}

impl fmt::Debug for RateLimits {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Limits")
            .field("limiters", &self.limiters)
            .field("open", &self.pending_requests.len())
            .finish_non_exhaustive()
    }
}

impl RateLimits {
    /// The socket for messages to other entry processes and agents.
    pub fn peer_socket(&self) -> Option<Rc<UdpSocket>> {
        self.socket.clone()
    }

    /// Sets the socket for permit requests and replies.
    pub fn set_permit_socket(&mut self, socket: Rc<UdpSocket>) {
        self.socket = Some(socket);
    }

    /// Keeps the rate limit of a target that isn't known yet.
    fn store_early_limit(&mut self, limit: &RateLimit, now: Millis) {
        if self.early_limits.len() >= MAX_LIMITS_PER_DIGEST {
            self.early_limits
                .retain(|_, it| now.since(it.1) < UNKNOWN_TARGET_LIMIT_TTL);
        }
        if self.early_limits.len() < MAX_LIMITS_PER_DIGEST {
            self.early_limits
                .insert(limit.target.clone(), (limit.clone(), now));
        }
    }

    /// Removes the limiter of a target that left.
    pub fn remove_target_limiter(&mut self, target: &str) {
        self.limiters.remove(target);
    }
}

impl ChosenTarget {
    /// Whether a request may be sent to the chosen target now: the target has
    /// no limit, or the request holds a valid permit.
    pub fn may_send_request(&self, now: Millis) -> bool {
        let rate = self.endpoint.borrow().rate_limit.rate();
        let Some(rate) = rate else { return true };
        self.permit.is_some_and(|it| it.is_valid(rate, now))
    }

    /// Returns the permit of a request that wasn't sent, for use by another
    /// request.
    pub fn return_permit(&self) {
        self.endpoint.borrow_mut().spare_permits.extend(self.permit);
    }

    /// Records a failed attempt at the chosen target: returns an unused
    /// permit, restarts an unused probe, and counts the failure.
    pub fn record_failed_attempt(&self, entry: &Entry, error: &AttemptError) {
        if matches!(error, AttemptError::Unsent(_) | AttemptError::Withheld(_))
        {
            self.return_permit();
            let mut endpoint = self.endpoint.borrow_mut();
            if matches!(
                endpoint.cooldown_recovery,
                CooldownRecovery::Probed(_)
            ) {
                endpoint.cooldown_recovery = CooldownRecovery::Pending;
            }
        }
        let now = Millis::now();
        // A refusal with a cooldown already keeps requests away from the
        // target.
        let is_failure = match error {
            // A failure status of a stream's target doesn't count against the
            // target, whether or not the body ends.
            AttemptError::Withheld(_)
            | AttemptError::EndlessFailure
            | AttemptError::AnswerDropped => false,
            AttemptError::Refused(_) => {
                entry.cooldown_end(&self.target, now).is_none()
            }
            AttemptError::Unsent(_)
            | AttemptError::MayHaveRun(_)
            | AttemptError::ConnectionBroken(_) => true,
        };
        if is_failure {
            self.endpoint.borrow_mut().request_stats.record_failure(now);
        }
    }
}

impl Endpoint {
    /// Whether there is a spare permit, granted too late for the request that
    /// asked for it.
    pub fn has_spare_permit(&self, rate: RequestRate, now: Millis) -> bool {
        self.spare_permits.iter().any(|it| it.is_valid(rate, now))
    }

    fn take_spare_permit(
        &mut self,
        rate: RequestRate,
        now: Millis,
    ) -> Option<Permit> {
        self.spare_permits
            .retain(|it| it.valid_until >= now && it.rate <= rate);
        let at =
            self.spare_permits.iter().position(|it| it.is_valid(rate, now))?;
        Some(self.spare_permits.swap_remove(at))
    }
}

/// Acquires a permit for the chosen target, if the target has a rate limit;
/// returns whether the request may be sent. Waits for a permit that becomes
/// valid within `max_permit_wait`.
pub async fn acquire_permit(
    entry: &Rc<Entry>,
    choice: &mut ChosenTarget,
    max_permit_wait: Millis,
) -> bool {
    let Some(rate) = choice.rate_limit else { return true };
    let now = Millis::now();
    let kept = choice.endpoint.borrow_mut().take_spare_permit(rate, now);
    if kept.is_some() {
        choice.permit = kept;
        return true;
    }
    choice.endpoint.borrow_mut().permit_request_in_flight = true;
    let (sender, given) = oneshot::channel();
    let task =
        request_permit(entry.clone(), choice.clone(), max_permit_wait, sender);
    tokio::task::spawn_local(task);
    let wait = match max_permit_wait {
        Millis(0) => IMMEDIATE_PERMIT_REPLY_TIMEOUT,
        _ => Millis(
            PERMIT_REPLY_TIMEOUT.0
                * u64::from(MAX_PERMIT_REQUEST_FORWARDS + 1),
        ),
    };
    let Ok(Ok(Some(permit))) = timeout(wait.duration(), given).await else {
        entry.metrics.record_permit_outcome("none");
        return false;
    };
    let mut held = PendingPermit {
        endpoint: choice.endpoint.clone(),
        permit: Some(permit),
    };
    tokio::select! {
        () = sleep(permit.valid_from.since(Millis::now()).duration()) => {}
        () = entry.wait_until_in_cooldown(&choice.target) => return false,
    }
    choice.permit = held.permit.take();
    entry.metrics.record_permit_outcome("permit");
    true
}

/// A permit that isn't valid yet. If its request is dropped before, another
/// request may use the permit.
struct PendingPermit {
    endpoint: Rc<RefCell<Endpoint>>,
    permit: Option<Permit>,
}

impl Drop for PendingPermit {
    fn drop(&mut self) {
        self.endpoint.borrow_mut().spare_permits.extend(self.permit.take());
    }
}

/// Requests a permit for a request. If the request no longer waits, the permit
/// is kept for the next request.
async fn request_permit(
    entry: Rc<Entry>,
    choice: ChosenTarget,
    max_permit_wait: Millis,
    given: oneshot::Sender<Option<Permit>>,
) {
    let verdict = decide_permit(
        &entry,
        &choice.target,
        max_permit_wait,
        MAX_PERMIT_REQUEST_FORWARDS,
    )
    .await;
    let now = Millis::now();
    let mut endpoint = choice.endpoint.borrow_mut();
    endpoint.permit_request_in_flight = false;
    match verdict {
        PermitDecision::Permit(after) => {
            let valid_from = now + after;
            let rate = endpoint.rate_limit.rate().or(choice.rate_limit);
            let Some(rate) = rate else { return };
            let permit = Permit {
                rate,
                valid_from,
                valid_until: valid_from + PERMIT_TTL,
            };
            if given.send(Some(permit)).is_err() {
                endpoint.spare_permits.push(permit);
            }
        }
        PermitDecision::Later(after) => {
            endpoint.next_permit_request_at = now + after;
            endpoint.permit_denied_at_fraction =
                entry.peers.borrow().reachable_entry_fraction(now);
            // Fails if the request that needed the permit no longer waits for
            // it, for example because the request went to another target.
            let _ = given.send(None);
        }
    }
    drop(endpoint);
    debug!(entry.log, "permit"; "target" => &*choice.target.id,
        "verdict" => ?verdict, "patience" => max_permit_wait.0);
}

/// Grants or refuses a permit, here or at the entry process that owns the
/// target's limiter.
async fn decide_permit(
    entry: &Rc<Entry>,
    target: &Target,
    max_permit_wait: Millis,
    hops: u8,
) -> PermitDecision {
    for asked in 0..MAX_LIMIT_OWNERS_ASKED_FOR_PERMIT {
        let now = Millis::now();
        let zone = entry.settings().zone.clone();
        let owner = entry.peers.borrow().limiter_owner(target, &zone, now);
        let other = match owner {
            // The asking entry process's reply timeout allows for one
            // forwarded request, not for two.
            RateLimiterOwner::Remote(_)
                if asked > 0 && hops < MAX_PERMIT_REQUEST_FORWARDS =>
            {
                break;
            }
            RateLimiterOwner::Remote(other) if hops > 0 => other,
            _ => {
                return entry.decide_permit_as_owner(
                    target,
                    owner,
                    max_permit_wait,
                    now,
                );
            }
        };
        match request_permit_from(
            entry,
            other,
            target,
            max_permit_wait,
            hops - 1,
        )
        .await
        {
            Some(it) if it.permit_granted => {
                return PermitDecision::Permit(it.wait_before_send_or_retry);
            }
            Some(it) => {
                return PermitDecision::Later(it.wait_before_send_or_retry);
            }
            None => {
                let until = Millis::now() + UNRESPONSIVE_OWNER_TTL;
                entry.peers.borrow_mut().mark_owner_unresponsive(other, until);
                info!(entry.log, "keeper_mute"; "peer" => %other,
                    "target" => &*target.id);
            }
        }
    }
    PermitDecision::Later(PERMIT_RETRY_BACKOFF)
}

/// Requests a permit from another entry process; None without a reply in time.
async fn request_permit_from(
    entry: &Entry,
    other: SocketAddr,
    target: &Target,
    max_wait: Millis,
    hops: u8,
) -> Option<PermitReply> {
    let id = rand::random();
    let rate_limit = entry.current_rate_limit(target, Millis::now());
    let request = PermitRequest {
        request_id: id,
        rate_limit,
        max_permit_wait: max_wait,
        forwards_left: hops,
    };
    let (sender, reply) = oneshot::channel();
    entry.limits.borrow_mut().pending_requests.insert(id, sender);
    entry.send_permit_message(Datagram::PermitRequest(request), other).await;
    let wait = Millis(PERMIT_REPLY_TIMEOUT.0 * (u64::from(hops) + 1));
    let reply = timeout(wait.duration(), reply).await;
    entry.limits.borrow_mut().pending_requests.remove(&id);
    reply.ok()?.ok()
}

/// Answers another entry process's permit request.
pub fn answer_permit_request(
    entry: &Rc<Entry>,
    request: PermitRequest,
    from: SocketAddr,
) {
    entry.merge_rate_limit(&request.rate_limit, Millis::now());
    let entry = entry.clone();
    let hops = request.forwards_left.min(MAX_PERMIT_REQUEST_FORWARDS - 1);
    tokio::task::spawn_local(async move {
        let target =
            entry.fleet.borrow().get(&request.rate_limit.target).cloned();
        let same = target.filter(|it| {
            it.start.0 == request.rate_limit.target_start_unix_ms
        });
        let (verdict, rate_limit) = match same {
            Some(target) => {
                let verdict = decide_permit(
                    &entry,
                    &target,
                    request.max_permit_wait,
                    hops,
                )
                .await;
                (verdict, entry.current_rate_limit(&target, Millis::now()))
            }
            // The target's announcement has not arrived here yet.
            None => (
                PermitDecision::Later(PERMIT_RETRY_BACKOFF),
                request.rate_limit,
            ),
        };
        let (given, after) = match verdict {
            PermitDecision::Permit(after) => (true, after),
            PermitDecision::Later(after) => (false, after),
        };
        let reply = PermitReply {
            request_id: request.request_id,
            rate_limit,
            permit_granted: given,
            wait_before_send_or_retry: after,
        };
        entry.send_permit_message(Datagram::PermitReply(reply), from).await;
    });
}

impl Entry {
    /// Applies the rate limit in the headers of a target's answer.
    pub fn apply_rate_limit_header(
        &self,
        choice: &ChosenTarget,
        attempt: &Attempt,
        headers: &HeaderMap,
    ) {
        let named = headers.get(&header::RATE_LIMIT);
        let now = Millis::now();
        let sent = attempt.sent_at().unwrap_or(now);
        let bytes = named.map(HeaderValue::as_bytes);
        let mut endpoint = choice.endpoint.borrow_mut();
        let observed =
            endpoint.rate_limit.observe_limit_header(bytes, sent, now);
        drop(endpoint);
        if observed.limit_became_invalid {
            warn!(self.log, "limit_refused"; "target" => &*choice.target.id,
                "limit" => ?named);
        }
        self.handle_limit_change(
            &choice.target.id,
            observed.change,
            StateChangeSource::Own,
        );
    }

    /// Merges the rate limits in another entry process's digest.
    pub fn merge_peer_limits(&self, limits: &[RateLimit], now: Millis) {
        for limit in limits {
            self.merge_rate_limit(limit, now);
        }
    }

    fn merge_rate_limit(&self, limit: &RateLimit, now: Millis) {
        let start = self.fleet.borrow().get(&limit.target).map(|it| it.start);
        if start != Some(ProcessStartUnixMs(limit.target_start_unix_ms)) {
            self.limits.borrow_mut().store_early_limit(limit, now);
            return;
        }
        let rate = limit.requests_per_second.and_then(RequestRate::new);
        if rate.is_none() != limit.requests_per_second.is_none() {
            return;
        }
        let report =
            LimitReport { rate, rate_limit_age: limit.rate_limit_age };
        let endpoint = self.endpoint_or_insert(&limit.target);
        let change =
            endpoint.borrow_mut().rate_limit.merge_limit_report(report, now);
        self.handle_limit_change(
            &limit.target,
            change,
            StateChangeSource::Peer,
        );
    }

    /// Applies a rate limit that another entry process sent before the target
    /// was known here.
    pub fn apply_early_limit(&self, target: &str, now: Millis) {
        let early = self.limits.borrow_mut().early_limits.remove(target);
        if let Some((limit, heard)) = early {
            let age = limit.rate_limit_age + now.since(heard);
            self.merge_rate_limit(
                &RateLimit { rate_limit_age: age, ..limit },
                now,
            );
        }
    }

    fn handle_limit_change(
        &self,
        target: &Name,
        change: LimitChange,
        source: StateChangeSource,
    ) {
        if change == LimitChange::None {
            return;
        }
        let Some(endpoint) = self.existing_endpoint(target) else { return };
        let mut endpoint = endpoint.borrow_mut();
        let rate = endpoint.rate_limit.rate();
        if change == LimitChange::Loosened {
            endpoint.next_permit_request_at = Millis(0);
        }
        drop(endpoint);
        info!(self.log, "limit"; "target" => &**target,
            "a_second" => rate.map(RequestRate::requests_per_second), "change" => ?change,
            "source" => ?source);
        if change == LimitChange::Loosened {
            self.notify_target_change();
        }
        // Every entry process broadcasts the change: there may be more entry
        // processes than one digest reaches.
        let now = Millis::now();
        let mut limits = self.limits.borrow_mut();
        if now.since(limits.last_broadcast) >= MIN_LIMIT_BROADCAST_INTERVAL {
            limits.last_broadcast = now;
            self.digest_wakeup.notify_one();
        }
    }

    /// The rate limits of targets to include in a digest.
    pub fn limits_for_digest(
        &self,
        scope: DigestScope,
        now: Millis,
    ) -> Vec<RateLimit> {
        let fleet = self.fleet.borrow();
        let to_update = |target: &Target| {
            let endpoint = self.existing_endpoint(&target.id)?;
            let limit = endpoint.borrow().rate_limit;
            let report = limit.limit_report(now)?;
            let is_recent =
                now.since(limit.limit_changed_at()) < LIMIT_BROADCAST_TTL;
            let is_included = match scope {
                DigestScope::Changed => is_recent,
                DigestScope::All => is_recent || report.rate.is_some(),
            };
            is_included.then(|| encode_limit(target, report))
        };
        fleet
            .ready_targets()
            .filter_map(to_update)
            .take(MAX_LIMITS_PER_DIGEST)
            .collect()
    }

    /// The number of targets with a rate limit.
    pub fn limited_target_count(&self) -> usize {
        let fleet = self.fleet.borrow();
        let limited = |target: &&Target| {
            let endpoint = self.existing_endpoint(&target.id);
            endpoint.is_some_and(|it| it.borrow().rate_limit.rate().is_some())
        };
        fleet.ready_targets().filter(limited).count()
    }

    /// The known rate limit of a target; if none is known, an unlimited rate
    /// of the greatest age.
    fn current_rate_limit(&self, target: &Target, now: Millis) -> RateLimit {
        let report = self
            .endpoint_or_insert(&target.id)
            .borrow()
            .rate_limit
            .limit_report(now);
        let never =
            LimitReport { rate: None, rate_limit_age: Millis(u64::MAX) };
        encode_limit(target, report.unwrap_or(never))
    }

    /// Grants or refuses a permit as the owner of the target's limiter.
    fn decide_permit_as_owner(
        &self,
        target: &Target,
        owner: RateLimiterOwner<SocketAddr>,
        max_permit_wait: Millis,
        now: Millis,
    ) -> PermitDecision {
        let report = self
            .endpoint_or_insert(&target.id)
            .borrow()
            .rate_limit
            .limit_report(now);
        let Some(LimitReport { rate: Some(rate), rate_limit_age }) = report
        else {
            return PermitDecision::Permit(Millis(0));
        };
        let share = self.peers.borrow().reachable_entry_fraction(now);
        let new =
            (target.start, limit::Limiter::new(rate, rate_limit_age, now));
        let mut limits = self.limits.borrow_mut();
        let kept = limits.limiters.entry(target.id.clone()).or_insert(new);
        let stands_in = owner == RateLimiterOwner::Substitute;
        let stale = stands_in && kept.1.is_stale(share, now);
        if kept.0 != target.start || stale {
            *kept = new;
        }
        kept.1.grant_permit(rate, share, max_permit_wait, now)
    }

    /// Passes a permit reply to the task that awaits it.
    pub fn deliver_permit_reply(&self, reply: PermitReply) {
        self.merge_rate_limit(&reply.rate_limit, Millis::now());
        let pending_request = self
            .limits
            .borrow_mut()
            .pending_requests
            .remove(&reply.request_id);
        if let Some(pending_request) = pending_request {
            // The task that awaited the permit reply may have stopped waiting
            // just now.
            let _ = pending_request.send(reply);
        }
    }

    async fn send_permit_message(&self, message: Datagram, to: SocketAddr) {
        let Some(socket) = self.limits.borrow().socket.clone() else {
            return;
        };
        let bytes = gossip::encode(&message);
        if let Err(error) = socket.send_to(&bytes, to).await {
            debug!(self.log, "not_said"; "peer" => %to, "error" => %error);
        }
    }
}

fn encode_limit(target: &Target, report: LimitReport) -> RateLimit {
    RateLimit {
        target: target.id.clone(),
        target_start_unix_ms: target.start.0,
        requests_per_second: report.rate.map(RequestRate::requests_per_second),
        rate_limit_age: report.rate_limit_age,
    }
}
