//! Targets that name how many requests a second they take from all entries.
//!
//! What is decided stands in [`cowsliproad_admission::limit`]; here is who
//! tells and asks whom. What a target says is told to the other entries at
//! once and then by digests. A request that is to go to such a target first
//! gets a permit: from this entry, if it keeps the target's pace, else by one
//! datagram there and one back. An entry that is asked and knows of a better
//! owner passes the question on, so that entries that know different ones of
//! the others still keep one pace; one that gets no answer from the owner
//! takes its place, and begins anew.

use std::{cell::RefCell, collections::HashMap, fmt, net::SocketAddr, rc::Rc};

use cowsliproad_admission::limit::{
    self, LimitChange, LimitReport, Permit, PermitDecision, RequestRate,
};
use cowsliproad_kernel::{
    Name,
    clock::Millis,
    gossip::{self, Datagram, PermitReply, PermitRequest, RateLimit},
};
use cowsliproad_platform::header;
use cowsliproad_routing::{
    fleet::{ProcessStartUnixMs, Target},
    owner::RateLimiterOwner,
};
use http::{HeaderMap, HeaderValue};
use slog::{debug, info, warn};
use tokio::{
    net::UdpSocket,
    sync::oneshot,
    time::{sleep, timeout},
};

use crate::{
    attempt::Attempt,
    call::AttemptError,
    entry::{Choice, Endpoint, Entry, Recovery, Source},
};

/// How often a question for a permit may be passed on: to the entry that is
/// taken for the owner, and from there to the one that it takes for it.
const RELAYS: u8 = 2;

/// The time for an answer from an entry that asks nobody else.
const REPLY_TIMEOUT: Millis = Millis(120);

/// How long a request that can go elsewhere waits for its answer.
const SHORT_REPLY_TIMEOUT: Millis = Millis(40);

/// How long an entry that didn't answer is passed over.
const MUTE_TTL: Millis = Millis(2_000);

/// Entries that are asked for one permit. Each may be gone.
const MAX_ASKED: usize = 2;

/// When a permit is asked for again if nobody knows when one is free.
const RETRY_BACKOFF: Millis = Millis(250);

/// How long a permit is held for its request to get a connection.
const PERMIT_TTL: Millis = Millis(400);

/// How long a limit that has changed, or is over, is told with each digest.
const BROADCAST_TTL: Millis = Millis(8_000);

/// How long what is told of an unknown target is kept: it is announced by
/// then.
const UNKNOWN_TTL: Millis = Millis(10_000);

/// Limits that others are told of at a time, some 40 bytes each.
const MAX_UPDATES: usize = 256;

/// Changes of limits are told at once no more often than this, however often
/// targets change them.
const MIN_BROADCAST_INTERVAL: Millis = Millis(100);

/// How much others are told of limits and of suspended work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Update {
    /// What has changed lately.
    Changed,
    /// All of it.
    All,
}

/// The pace of requests to targets, and questions that are open.
#[derive(Default)]
pub struct Limits {
    socket: Option<Rc<UdpSocket>>,
    limiters: HashMap<Name, (ProcessStartUnixMs, limit::Limiter)>,
    open: HashMap<u64, oneshot::Sender<PermitReply>>,
    /// Limits of targets that are not known yet, and when they were heard.
    early: HashMap<Name, (RateLimit, Millis)>,
    told: Millis,
}

impl fmt::Debug for Limits {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Limits")
            .field("limiters", &self.limiters)
            .field("open", &self.open.len())
            .finish_non_exhaustive()
    }
}

impl Limits {
    /// Asks and answers through a socket from now on.
    pub fn speak(&mut self, socket: Rc<UdpSocket>) {
        self.socket = Some(socket);
    }

    /// Keeps what was told of a target that isn't known yet.
    fn keep_early(&mut self, limit: &RateLimit, now: Millis) {
        if self.early.len() >= MAX_UPDATES {
            self.early.retain(|_, it| now.since(it.1) < UNKNOWN_TTL);
        }
        if self.early.len() < MAX_UPDATES {
            self.early.insert(limit.target.clone(), (limit.clone(), now));
        }
    }

    /// Forgets the pace of a target that left.
    pub fn forget(&mut self, target: &str) {
        self.limiters.remove(target);
    }
}

impl Choice {
    /// Whether a request may be sent there now.
    pub fn may_send(&self, now: Millis) -> bool {
        let rate = self.endpoint.borrow().limit.rate();
        let Some(rate) = rate else { return true };
        self.permit.is_some_and(|it| it.is_valid(rate, now))
    }

    /// Gives back the permit of a request that wasn't sent.
    pub fn give_back(&self) {
        self.endpoint.borrow_mut().permits.extend(self.permit);
    }

    /// Notes that a request got no answer there.
    pub fn on_attempt_failed(&self, entry: &Entry, error: &AttemptError) {
        if matches!(error, AttemptError::Unsent(_) | AttemptError::Withheld(_))
        {
            self.give_back();
            let mut endpoint = self.endpoint.borrow_mut();
            if matches!(endpoint.recovery, Recovery::Probed(_)) {
                endpoint.recovery = Recovery::Pending;
            }
        }
        let now = Millis::now();
        // A target that says when it takes requests again needs no guess.
        let is_failure = match error {
            AttemptError::Withheld(_) => false,
            AttemptError::Refused(_) => {
                entry.cooldown_end(&self.target, now).is_none()
            }
            AttemptError::Unsent(_)
            | AttemptError::Unknown(_)
            | AttemptError::Broken(_) => true,
        };
        if is_failure {
            self.endpoint.borrow_mut().record.record_failure(now);
        }
    }
}

impl Endpoint {
    /// A permit that came too late for the request that asked for it.
    pub fn has_permit(&self, rate: RequestRate, now: Millis) -> bool {
        self.permits.iter().any(|it| it.is_valid(rate, now))
    }

    fn take_permit(
        &mut self,
        rate: RequestRate,
        now: Millis,
    ) -> Option<Permit> {
        self.permits.retain(|it| it.valid_until >= now && it.rate <= rate);
        let at = self.permits.iter().position(|it| it.is_valid(rate, now))?;
        Some(self.permits.swap_remove(at))
    }
}

/// Gets a permit at the target that was chosen, if it names a limit. One that
/// is free within `patience` is waited for.
pub async fn permit(
    entry: &Rc<Entry>,
    choice: &mut Choice,
    patience: Millis,
) -> bool {
    let Some(rate) = choice.limit else { return true };
    let now = Millis::now();
    let kept = choice.endpoint.borrow_mut().take_permit(rate, now);
    if kept.is_some() {
        choice.permit = kept;
        return true;
    }
    choice.endpoint.borrow_mut().asking = true;
    let (sender, given) = oneshot::channel();
    let asking = get(entry.clone(), choice.clone(), patience, sender);
    tokio::task::spawn_local(asking);
    let wait = match patience {
        Millis(0) => SHORT_REPLY_TIMEOUT,
        _ => Millis(REPLY_TIMEOUT.0 * u64::from(RELAYS + 1)),
    };
    let Ok(Ok(Some(permit))) = timeout(wait.duration(), given).await else {
        entry.measure.limited("none");
        return false;
    };
    let mut held =
        Held { endpoint: choice.endpoint.clone(), permit: Some(permit) };
    tokio::select! {
        () = sleep(permit.valid_from.since(Millis::now()).duration()) => {}
        () = entry.until_cooldown(&choice.target) => return false,
    }
    choice.permit = held.permit.take();
    entry.measure.limited("permit");
    true
}

/// A permit whose time has not come. If its request is gone by then another
/// one may have it.
struct Held {
    endpoint: Rc<RefCell<Endpoint>>,
    permit: Option<Permit>,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.endpoint.borrow_mut().permits.extend(self.permit.take());
    }
}

/// Asks for a permit, and keeps one that comes too late for the next request.
async fn get(
    entry: Rc<Entry>,
    choice: Choice,
    patience: Millis,
    given: oneshot::Sender<Option<Permit>>,
) {
    let verdict = decide(&entry, &choice.target, patience, RELAYS).await;
    let now = Millis::now();
    let mut endpoint = choice.endpoint.borrow_mut();
    endpoint.asking = false;
    match verdict {
        PermitDecision::Permit(after) => {
            let valid_from = now + after;
            let rate = endpoint.limit.rate().or(choice.limit);
            let Some(rate) = rate else { return };
            let permit = Permit {
                rate,
                valid_from,
                valid_until: valid_from + PERMIT_TTL,
            };
            if given.send(Some(permit)).is_err() {
                endpoint.permits.push(permit);
            }
        }
        PermitDecision::Later(after) => {
            endpoint.full_until = now + after;
            // Whoever asked may have gone elsewhere.
            let _ = given.send(None);
        }
    }
    drop(endpoint);
    debug!(entry.log, "permit"; "target" => &*choice.target.id,
        "verdict" => ?verdict, "patience" => patience.0);
}

/// Decides on a permit, here or where the target's pace is kept.
async fn decide(
    entry: &Rc<Entry>,
    target: &Target,
    patience: Millis,
    relays: u8,
) -> PermitDecision {
    for asked in 0..MAX_ASKED {
        let now = Millis::now();
        let zone = entry.settings().zone.clone();
        let owner = entry.peers.borrow().owner(target, &zone, now);
        let other = match owner {
            // Whoever asked waits for one question more, not for two.
            RateLimiterOwner::Remote(_) if asked > 0 && relays < RELAYS => {
                break;
            }
            RateLimiterOwner::Remote(other) if relays > 0 => other,
            _ => return entry.give(target, owner, patience, now),
        };
        match ask(entry, other, target, patience, relays - 1).await {
            Some(it) if it.permit_granted => {
                return PermitDecision::Permit(it.wait_before_send_or_retry);
            }
            Some(it) => {
                return PermitDecision::Later(it.wait_before_send_or_retry);
            }
            None => {
                let until = Millis::now() + MUTE_TTL;
                entry.peers.borrow_mut().mute(other, until);
                info!(entry.log, "keeper_mute"; "peer" => %other,
                    "target" => &*target.id);
            }
        }
    }
    PermitDecision::Later(RETRY_BACKOFF)
}

/// Asks another entry for a permit.
async fn ask(
    entry: &Entry,
    other: SocketAddr,
    target: &Target,
    patience: Millis,
    relays: u8,
) -> Option<PermitReply> {
    let number = rand::random();
    let rate_limit = entry.current_limit(target, Millis::now());
    let question = PermitRequest {
        request_id: number,
        rate_limit,
        max_permit_wait: patience,
        forwards_left: relays,
    };
    let (sender, reply) = oneshot::channel();
    entry.limits.borrow_mut().open.insert(number, sender);
    entry.say(Datagram::PermitRequest(question), other).await;
    let wait = Millis(REPLY_TIMEOUT.0 * (u64::from(relays) + 1));
    let reply = timeout(wait.duration(), reply).await;
    entry.limits.borrow_mut().open.remove(&number);
    reply.ok()?.ok()
}

/// Answers another entry's question.
pub fn answer(entry: &Rc<Entry>, ask: PermitRequest, from: SocketAddr) {
    entry.hear_limit(&ask.rate_limit, Millis::now());
    let entry = entry.clone();
    let relays = ask.forwards_left.min(RELAYS - 1);
    tokio::task::spawn_local(async move {
        let target = entry.fleet.borrow().get(&ask.rate_limit.target).cloned();
        let same = target
            .filter(|it| it.start.0 == ask.rate_limit.target_start_unix_ms);
        let (verdict, rate_limit) = match same {
            Some(target) => {
                let verdict =
                    decide(&entry, &target, ask.max_permit_wait, relays).await;
                (verdict, entry.current_limit(&target, Millis::now()))
            }
            // Its announcement has not come here yet.
            None => (PermitDecision::Later(RETRY_BACKOFF), ask.rate_limit),
        };
        let (given, after) = match verdict {
            PermitDecision::Permit(after) => (true, after),
            PermitDecision::Later(after) => (false, after),
        };
        let reply = PermitReply {
            request_id: ask.request_id,
            rate_limit,
            permit_granted: given,
            wait_before_send_or_retry: after,
        };
        entry.say(Datagram::PermitReply(reply), from).await;
    });
}

impl Entry {
    /// Takes in what a target says of its limit with an answer.
    pub fn note_limit(
        &self,
        choice: &Choice,
        attempt: &Attempt,
        headers: &HeaderMap,
    ) {
        let named = headers.get(&header::RATE_LIMIT);
        let now = Millis::now();
        let sent = attempt.sent_at().unwrap_or(now);
        let bytes = named.map(HeaderValue::as_bytes);
        let mut endpoint = choice.endpoint.borrow_mut();
        let news = endpoint.limit.observe_limit_header(bytes, sent, now);
        drop(endpoint);
        if news.limit_became_invalid {
            warn!(self.log, "limit_refused"; "target" => &*choice.target.id,
                "limit" => ?named);
        }
        self.limit_changed(&choice.target.id, news.change, Source::Own);
    }

    /// Takes in what another entry tells of limits.
    pub fn hear_limits(&self, limits: &[RateLimit], now: Millis) {
        for limit in limits {
            self.hear_limit(limit, now);
        }
    }

    fn hear_limit(&self, limit: &RateLimit, now: Millis) {
        let start = self.fleet.borrow().get(&limit.target).map(|it| it.start);
        if start != Some(ProcessStartUnixMs(limit.target_start_unix_ms)) {
            self.limits.borrow_mut().keep_early(limit, now);
            return;
        }
        let rate = limit.requests_per_second.and_then(RequestRate::new);
        if rate.is_none() != limit.requests_per_second.is_none() {
            return;
        }
        let report =
            LimitReport { rate, rate_limit_age: limit.rate_limit_age };
        let endpoint = self.endpoint(&limit.target);
        let change =
            endpoint.borrow_mut().limit.merge_limit_report(report, now);
        self.limit_changed(&limit.target, change, Source::Peer);
    }

    /// Takes in what was told of a target before it was known here.
    pub fn recall_limit(&self, target: &str, now: Millis) {
        let early = self.limits.borrow_mut().early.remove(target);
        if let Some((limit, heard)) = early {
            let age = limit.rate_limit_age + now.since(heard);
            self.hear_limit(&RateLimit { rate_limit_age: age, ..limit }, now);
        }
    }

    fn limit_changed(
        &self,
        target: &Name,
        change: LimitChange,
        source: Source,
    ) {
        if change == LimitChange::None {
            return;
        }
        let Some(endpoint) = self.known_endpoint(target) else { return };
        let mut endpoint = endpoint.borrow_mut();
        let rate = endpoint.limit.rate();
        if change == LimitChange::Loosened {
            endpoint.full_until = Millis(0);
        }
        drop(endpoint);
        info!(self.log, "limit"; "target" => &**target,
            "a_second" => rate.map(RequestRate::requests_per_second),
            "change" => ?change,
            "source" => ?source);
        if change == LimitChange::Loosened {
            self.tell_news();
        }
        // Others hand it on too: there may be more entries than one tells.
        let now = Millis::now();
        let mut limits = self.limits.borrow_mut();
        if now.since(limits.told) >= MIN_BROADCAST_INTERVAL {
            limits.told = now;
            self.rumour.notify_one();
        }
    }

    /// What others are told of limits.
    pub fn limit_updates(&self, which: Update, now: Millis) -> Vec<RateLimit> {
        let fleet = self.fleet.borrow();
        let told = |target: &Target| {
            let endpoint = self.known_endpoint(&target.id)?;
            let limit = endpoint.borrow().limit;
            let report = limit.limit_report(now)?;
            let is_news = now.since(limit.limit_changed_at()) < BROADCAST_TTL;
            let is_told = match which {
                Update::Changed => is_news,
                Update::All => is_news || report.rate.is_some(),
            };
            is_told.then(|| limit_of(target, report))
        };
        fleet.ready_targets().filter_map(told).take(MAX_UPDATES).collect()
    }

    /// Targets that name a limit.
    pub fn limits_known(&self) -> usize {
        let fleet = self.fleet.borrow();
        let limited = |target: &&Target| {
            let endpoint = self.known_endpoint(&target.id);
            endpoint.is_some_and(|it| it.borrow().limit.rate().is_some())
        };
        fleet.ready_targets().filter(limited).count()
    }

    /// What is known of a target's limit.
    fn current_limit(&self, target: &Target, now: Millis) -> RateLimit {
        let report =
            self.endpoint(&target.id).borrow().limit.limit_report(now);
        let never =
            LimitReport { rate: None, rate_limit_age: Millis(u64::MAX) };
        limit_of(target, report.unwrap_or(never))
    }

    /// Decides on a permit as the one that keeps the target's pace.
    fn give(
        &self,
        target: &Target,
        owner: RateLimiterOwner<SocketAddr>,
        patience: Millis,
        now: Millis,
    ) -> PermitDecision {
        let report =
            self.endpoint(&target.id).borrow().limit.limit_report(now);
        let Some(LimitReport { rate: Some(rate), rate_limit_age }) = report
        else {
            return PermitDecision::Permit(Millis(0));
        };
        let share = self.peers.borrow().reached(now);
        let new =
            (target.start, limit::Limiter::new(rate, rate_limit_age, now));
        let mut limits = self.limits.borrow_mut();
        let kept = limits.limiters.entry(target.id.clone()).or_insert(new);
        let stands_in = owner == RateLimiterOwner::Substitute;
        let stale = stands_in && kept.1.is_stale(share, now);
        if kept.0 != target.start || stale {
            *kept = new;
        }
        kept.1.grant_permit(rate, share, patience, now)
    }

    /// Takes in the answer to a question.
    pub fn hear_reply(&self, reply: PermitReply) {
        self.hear_limit(&reply.rate_limit, Millis::now());
        let open = self.limits.borrow_mut().open.remove(&reply.request_id);
        if let Some(open) = open {
            // Whoever asked may have stopped waiting just now.
            let _ = open.send(reply);
        }
    }

    async fn say(&self, message: Datagram, to: SocketAddr) {
        let Some(socket) = self.limits.borrow().socket.clone() else {
            return;
        };
        let bytes = gossip::encode(&message);
        if let Err(error) = socket.send_to(&bytes, to).await {
            debug!(self.log, "not_said"; "peer" => %to, "error" => %error);
        }
    }
}

fn limit_of(target: &Target, report: LimitReport) -> RateLimit {
    RateLimit {
        target: target.id.clone(),
        target_start_unix_ms: target.start.0,
        requests_per_second: report.rate.map(RequestRate::requests_per_second),
        rate_limit_age: report.rate_limit_age,
    }
}
