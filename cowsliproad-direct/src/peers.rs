//! Gossip between entry processes.
//!
//! Each entry process sends a short digest to other entry processes twice a
//! second, and at once after a change: the version of its configuration, the
//! targets that it saw leave, rate limits and crash-inducing requests. An
//! entry process whose calls the platform's log refuses or doesn't answer thus
//! learns of a new configuration, fetches it from the entry process that has
//! it, and stops using a target in time. Entry processes find one another
//! through the seeds in their settings, then through the addresses in digests.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, rc::Rc};

use cowsliproad_kernel::{
    Name,
    clock::{self, Millis},
    gossip::{self, Datagram, GossipDigest, SenderTime},
    position::LogPosition,
};
use cowsliproad_net::timer::{sleep, timeout};
use cowsliproad_routing::{
    delay::DelayEstimator,
    fleet::{GossipedDeparture, ProcessStartUnixMs, Target, Withdrawal},
    owner::{
        self, EntryProcessLiveness, RateLimiterOwner,
        RateLimiterOwnerCandidate,
    },
};
use rand::seq::{IteratorRandom, SliceRandom};
use slog::{info, warn};
use tokio::net::UdpSocket;

use crate::{
    call::{COOLDOWN_PROBE_PERIOD, MAX_COOLDOWN_STAGGER},
    entry::{Entry, StateChangeSource, TargetNews},
    limits::{self, DigestScope},
    settings::Settings,
};

mod agents;
mod state;

pub use self::state::serve_entry_state;

/// The interval between digests. Two digests may be lost before an entry
/// process whose calls the log refuses or doesn't answer misses a change for
/// longer than allowed.
const DIGEST_INTERVAL: Millis = Millis(500);

/// A round that is later than this shows that the process stood still, as when
/// its VM was frozen.
const MAX_ROUND_DELAY: Millis = Millis(200);

/// How long digests that arrived while the process stood still are received.
const QUEUED_DIGESTS_TIME: Millis = Millis(300);

/// Digest rounds between requests to the agents to report. When targets
/// joined, agents are asked at once: after a restart of all processes they
/// wait for the request.
const DIGEST_ROUNDS_PER_AGENT_REQUEST: u32 = 2;

/// Digest rounds between full digests, which hold all limits and all suspended
/// work; the other digests hold only recent changes.
const DIGEST_ROUNDS_PER_FULL_DIGEST: u32 = 8;

/// Recipients of one digest. With more entry processes, changes spread over
/// several digests.
const MAX_DIGEST_RECIPIENTS: usize = 16;

/// An entry process that has sent no digest for this time is forgotten.
const PEER_TTL: Millis = Millis(12_000);

/// How long an entry process that left a request for its state unanswered is
/// asked after all others.
const MUTE_PEER_TIME: Millis = Millis(2_000);

/// How long the departure of a target is included in each digest.
const DEPARTURE_BROADCAST_TTL: Millis = Millis(8_000);

/// How long an entry process that starts waits for digests of all seeds.
const SEED_DIGEST_TIMEOUT: Millis = Millis(400);

/// How long an entry process that starts waits for a newer configuration that
/// another entry process announced.
const NEWER_CONFIG_TIMEOUT: Millis = Millis(2_000);

/// The pause after a failed receive.
const RECEIVE_ERROR_BACKOFF: Millis = Millis(120);

/// The other entry processes that are known, and the seeds.
#[derive(Debug)]
pub struct Peers {
    own_address: SocketAddr,
    seeds: Vec<SocketAddr>,
    known_peers: BTreeMap<SocketAddr, Peer>,
    /// The newest configuration version in any digest.
    newest_config_version: u64,
    fetching_state: bool,
    /// Identifies this process in its digests.
    own_incarnation: u64,
    /// When the last round of digests began. A process that runs begins one at
    /// least every [`DIGEST_INTERVAL`].
    last_round_at: Millis,
}

#[derive(Debug)]
struct Peer {
    vm: Name,
    zone: Name,
    config_version: u64,
    /// When the latest digest was sent, by the clock of this process.
    last_digest_at: Millis,
    /// `None` if the entry process doesn't say when it sends its digests.
    delay_estimator: Option<DelayEstimator>,
    /// When the entry process last left a request for its state unanswered.
    state_refused_at: Option<Millis>,
    /// Until when the entry process counts as unresponsive to permit requests.
    unresponsive_until: Millis,
}

impl Peers {
    /// Creates the state before any digest has arrived.
    pub fn new(settings: &Settings) -> Peers {
        let mut peers = Peers {
            own_address: settings.own_peer_address(),
            seeds: Vec::new(),
            known_peers: BTreeMap::new(),
            newest_config_version: 0,
            fetching_state: false,
            own_incarnation: rand::random(),
            last_round_at: Millis::now(),
        };
        peers.replace_seeds(settings);
        peers
    }

    /// Replaces the seeds; this entry process's own address is left out.
    pub fn replace_seeds(&mut self, settings: &Settings) {
        let own = self.own_address;
        let seeds = settings.seed_addresses.iter();
        let seeds = seeds.map(|it| SocketAddr::new(it.ip(), own.port()));
        self.seeds = seeds.filter(|it| *it != own).collect();
    }

    /// Other entry processes with a newer configuration than `version`: first
    /// those that answer, of them those with the newest, otherwise in random
    /// order.
    fn with_newer_config(&self, version: u64, now: Millis) -> Vec<SocketAddr> {
        let known = self.known_peers.iter();
        let mut found: Vec<_> =
            known.filter(|it| it.1.config_version > version).collect();
        found.shuffle(&mut rand::rng());
        found.sort_by_key(|(_, peer)| {
            (peer.is_mute(now), Reverse(peer.config_version))
        });
        found.into_iter().map(|it| *it.0).collect()
    }

    /// Records that an entry process left a request for its state unanswered.
    fn record_refused_state(&mut self, address: SocketAddr, now: Millis) {
        if let Some(peer) = self.known_peers.get_mut(&address) {
            peer.state_refused_at = Some(now);
        }
    }

    /// Returns when a digest was sent, by the clock of this process. A digest
    /// may have waited in the socket while this process stood still.
    fn digest_sent_at(
        &mut self,
        digest: &GossipDigest,
        now: Millis,
    ) -> Millis {
        let peer = self.known_peers.get_mut(&digest.sender_address);
        let estimator = peer.and_then(|it| it.delay_estimator.as_mut());
        let (Some(estimator), Some(sent)) = (estimator, digest.sent_at) else {
            return now;
        };
        now - estimator.observe(sent.incarnation, sent.clock, now)
    }

    /// Whether no other entry process is known.
    pub fn is_empty(&self) -> bool {
        self.known_peers.is_empty()
    }

    /// The number of entry processes, including this one. Entry processes that
    /// can't be reached count for a while, since they continue to serve.
    pub fn entry_process_count(&self) -> usize {
        self.known_peers.len().max(self.seeds.len()) + 1
    }

    /// The number of entry processes that sent a digest lately, including this
    /// one.
    pub fn met_entry_process_count(&self) -> usize {
        self.known_peers.len() + 1
    }

    fn merge_peer_digest(
        &mut self,
        digest: &GossipDigest,
        sent_at: Millis,
    ) -> bool {
        self.newest_config_version =
            self.newest_config_version.max(digest.config_version);
        let known = self.known_peers.get(&digest.sender_address);
        let new_estimator = || {
            let sent = digest.sent_at?;
            Some(DelayEstimator::new(sent.incarnation, sent.clock, sent_at))
        };
        let peer = Peer {
            vm: digest.sender_vm.clone(),
            zone: digest.sender_zone.clone(),
            config_version: digest.config_version,
            last_digest_at: sent_at,
            delay_estimator: known
                .and_then(|it| it.delay_estimator)
                .or_else(new_estimator),
            state_refused_at: known.and_then(|it| it.state_refused_at),
            unresponsive_until: known
                .map_or(Millis(0), |it| it.unresponsive_until),
        };
        // A VM that was replaced has a new address.
        self.known_peers
            .retain(|at, it| it.vm != peer.vm || *at == digest.sender_address);
        self.known_peers.insert(digest.sender_address, peer).is_none()
    }

    /// The entry process that owns the rate limiter of a target; it may be
    /// this entry process.
    pub fn limiter_owner(
        &self,
        target: &Target,
        own_zone: &Name,
        now: Millis,
    ) -> RateLimiterOwner<SocketAddr> {
        let silence = self.peer_silence_timeout();
        let own = RateLimiterOwnerCandidate {
            address: self.own_address,
            zone: own_zone,
            liveness: EntryProcessLiveness::Responsive,
        };
        let others = self.known_peers.iter().map(|(address, peer)| {
            let silent = now.since(peer.last_digest_at) >= silence;
            let liveness = match silent || peer.unresponsive_until > now {
                true => EntryProcessLiveness::Unresponsive,
                false => EntryProcessLiveness::Responsive,
            };
            RateLimiterOwnerCandidate {
                address: *address,
                zone: &peer.zone,
                liveness,
            }
        });
        owner::choose_limiter_owner(target, own, others)
    }

    /// Records that an entry process doesn't answer permit requests.
    pub fn mark_owner_unresponsive(
        &mut self,
        address: SocketAddr,
        until: Millis,
    ) {
        if let Some(peer) = self.known_peers.get_mut(&address) {
            peer.unresponsive_until = until;
        }
    }

    /// The fraction of all entry processes, including this one, that sent a
    /// digest lately. Seeds without a digest count as unreachable entry
    /// processes until this entry process has run for as long as a silent peer
    /// is kept.
    pub fn reachable_entry_fraction(&self, now: Millis) -> f64 {
        let silence = self.peer_silence_timeout();
        let known = self.known_peers.values();
        let reachable =
            known.filter(|it| now.since(it.last_digest_at) < silence);
        let unknown_seeds =
            |it: &&SocketAddr| !self.known_peers.contains_key(*it);
        let unknown_seeds = match now < PEER_TTL {
            true => self.seeds.iter().filter(unknown_seeds).count(),
            false => 0,
        };
        let all = self.known_peers.len() + unknown_seeds + 1;
        (reachable.count() + 1) as f64 / all as f64
    }

    /// The number of other seeds.
    pub fn seed_count(&self) -> usize {
        self.seeds.len()
    }

    /// Identifies this process in its messages.
    pub fn own_incarnation(&self) -> u64 {
        self.own_incarnation
    }

    /// The addresses of the known entry processes and of the seeds.
    pub fn known_addresses(&self) -> Vec<SocketAddr> {
        let unknown_seeds =
            |it: &&SocketAddr| !self.known_peers.contains_key(*it);
        let seeds = self.seeds.iter().filter(unknown_seeds);
        self.known_peers.keys().chain(seeds).copied().collect()
    }

    /// How long a known entry process may send no digest before it counts as
    /// silent.
    pub fn digest_silence_timeout(&self) -> Millis {
        self.peer_silence_timeout() + DIGEST_INTERVAL
    }

    /// Whether a digest from each seed has arrived.
    fn has_digest_of_each_seed(&self) -> bool {
        self.seeds.iter().all(|it| self.known_peers.contains_key(it))
    }

    fn peer_silence_timeout(&self) -> Millis {
        owner::gossip_silence_timeout(
            self.known_peers.len(),
            MAX_DIGEST_RECIPIENTS,
        )
    }

    /// Returns the addresses of entry processes in another one's digest that
    /// are not known yet.
    fn unknown_peer_addresses(
        &mut self,
        peers: &[SocketAddr],
    ) -> Vec<SocketAddr> {
        let new = |it: &&SocketAddr| {
            **it != self.own_address && !self.known_peers.contains_key(*it)
        };
        peers.iter().filter(new).copied().collect()
    }

    fn pick_digest_recipients(&mut self, now: Millis) -> Vec<SocketAddr> {
        self.known_peers
            .retain(|_, it| now.since(it.last_digest_at) < PEER_TTL);
        let known = self.known_peers.keys().copied();
        let mut recipients =
            known.choose_multiple(&mut rand::rng(), MAX_DIGEST_RECIPIENTS);
        let unknown_seeds =
            |it: &&SocketAddr| !self.known_peers.contains_key(*it);
        recipients.extend(self.seeds.iter().filter(unknown_seeds));
        recipients
    }
}

impl Peer {
    /// Whether the entry process left a request for its state unanswered, and
    /// has sent no digest since or did so lately. It may be frozen or cut off,
    /// perhaps in one direction.
    fn is_mute(&self, now: Millis) -> bool {
        self.state_refused_at.is_some_and(|it| {
            it >= self.last_digest_at || now.since(it) < MUTE_PEER_TIME
        })
    }
}

/// Broadcasts digests to other entry processes and asks agents to report;
/// never returns.
pub async fn broadcast_digests(entry: Rc<Entry>, socket: Rc<UdpSocket>) {
    let mut round = 0;
    let mut counted_joins = 0;
    loop {
        let now = Millis::now();
        detect_stall(&entry, now);
        entry.peers.borrow_mut().last_round_at = now;
        entry.request_quarantine.borrow_mut().evict_expired_records(now);
        entry.update_retry_budget(now);
        let recipients = entry.peers.borrow_mut().pick_digest_recipients(now);
        let all = round % DIGEST_ROUNDS_PER_FULL_DIGEST == 0;
        let scope = if all { DigestScope::All } else { DigestScope::Changed };
        let digest = encode_digest(&entry, scope, now);
        for peer in recipients {
            send_datagram(&entry, &socket, &digest, peer).await;
        }
        let known = entry.peers.borrow().known_peers.len();
        entry.metrics.set_known_peers_and_targets(
            known,
            entry.fleet.borrow().ready_targets().count(),
        );
        entry.metrics.set_limited_targets(entry.limited_target_count());
        record_config_metrics(&entry, now);
        // Expired cooldowns are kept a while, since some requests avoid a
        // target beyond the end of its cooldown.
        let over = now - MAX_COOLDOWN_STAGGER - COOLDOWN_PROBE_PERIOD;
        entry.cooldowns.borrow_mut().remove_expired_cooldowns(over);
        entry.metrics.set_cooling_targets(
            entry.cooldowns.borrow().active_cooldown_count(now),
        );
        let joined = entry.joined_target_count.get();
        if round % DIGEST_ROUNDS_PER_AGENT_REQUEST == 0
            || joined != counted_joins
        {
            counted_joins = joined;
            agents::request_agent_reports(&entry, &socket).await;
        }
        round += 1;
        let _ = timeout(
            DIGEST_INTERVAL.duration(),
            entry.digest_wakeup.notified(),
        )
        .await;
    }
}

/// Has the configuration checked at once if the process stood still. Called
/// before anything that arrived meanwhile is used.
fn detect_stall(entry: &Entry, now: Millis) {
    let last_round_at = entry.peers.borrow().last_round_at;
    let stall = now.since(last_round_at + DIGEST_INTERVAL);
    if stall <= MAX_ROUND_DELAY {
        return;
    }
    entry.peers.borrow_mut().last_round_at = now;
    info!(entry.log, "stood_still"; "for" => stall.0,
        "suspended_in_all" => clock::suspended_time().0);
    entry
        .config_confirmation
        .borrow_mut()
        .forget_reads(now + QUEUED_DIGESTS_TIME);
    entry.config_check_wakeup.notify_one();
    entry.targets_read_wakeup.notify_one();
}

fn record_config_metrics(entry: &Entry, now: Millis) {
    let in_force = entry.catalog_version();
    let announced = entry.peers.borrow().newest_config_version;
    entry.metrics.set_config_versions(in_force, in_force.max(announced));
    let confirmed = entry.config_confirmation.borrow().confirmed_at();
    let age = now.since(confirmed.unwrap_or_default());
    entry.metrics.set_config_confirmed_age(age);
    for ((topic, call), answered_at) in entry.log_answer_times.borrow().iter()
    {
        let age = now.since(*answered_at);
        entry.metrics.set_log_answer_age(topic, call, age);
    }
}

fn encode_digest(entry: &Entry, scope: DigestScope, now: Millis) -> Vec<u8> {
    let digest = Box::new(build_digest(entry, scope, now));
    gossip::encode(&Datagram::Digest(digest))
}

fn build_digest(
    entry: &Entry,
    scope: DigestScope,
    now: Millis,
) -> GossipDigest {
    let since = now
        - entry
            .rollbacks
            .departure_window_after_rollback(now)
            .unwrap_or(DEPARTURE_BROADCAST_TTL);
    let fleet = entry.fleet.borrow();
    let (suspected_requests, retracted) =
        entry.request_quarantine.borrow().suspects_for_digest(scope, now);
    let (mut left, mut withdrawn_targets_with_start_and_sequence) =
        (Vec::new(), Vec::new());
    let mut withdrawal_end_positions = Vec::new();
    for (id, departure) in fleet.target_departures_since(since) {
        match departure {
            GossipedDeparture::Announced(start) => {
                left.push((id.clone(), start.0))
            }
            GossipedDeparture::Withdrawn(it) => {
                withdrawn_targets_with_start_and_sequence.push((
                    id.clone(),
                    it.start.0,
                    it.last_sequence,
                ));
                withdrawal_end_positions.push(it.end_position);
            }
        }
    }
    GossipDigest {
        sender_vm: entry.settings().vm.clone(),
        sender_address: entry.settings().own_peer_address(),
        sent_at: Some(SenderTime {
            incarnation: entry.peers.borrow().own_incarnation,
            clock: now,
        }),
        config_version: entry.catalog_version(),
        config_confirmed_age_ms: entry
            .config_confirmation
            .borrow()
            .confirmed_at()
            .map(|it| now.since(it).0),
        log_era: entry.rollbacks.newest_era(),
        targets_read_age_ms: now
            .since(entry.log_read_schedule.borrow().last_log_read_at())
            .0,
        last_target_change_offset: entry
            .log_read_schedule
            .borrow()
            .last_target_change_log_position()
            .offset,
        targets_read_position: entry
            .log_read_schedule
            .borrow()
            .read_position(),
        last_contradiction: entry.target_listing.borrow().last_contradiction(),
        departed_targets_with_start_unix_ms: left,
        withdrawn_targets_with_start_and_sequence,
        withdrawal_end_positions,
        peers: entry.peers.borrow().known_peers.keys().copied().collect(),
        sender_zone: entry.settings().zone.clone(),
        suspected_requests,
        retracted_crash_ids: retracted,
        rate_limits: entry.limits_for_digest(scope, now),
    }
}

async fn send_datagram(
    entry: &Entry,
    socket: &UdpSocket,
    message: &[u8],
    to: SocketAddr,
) {
    if let Err(error) = socket.send_to(message, to).await {
        slog::debug!(entry.log, "not_told"; "peer" => %to, "error" => %error);
    }
}

/// Receives datagrams and dispatches them by type; never returns.
pub async fn receive_datagrams(entry: Rc<Entry>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; gossip::MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // An unreachable peer causes errors here; the next datagram may be
            // good.
            sleep(RECEIVE_ERROR_BACKOFF.duration()).await;
            continue;
        };
        match gossip::decode::<Datagram>(&buffer[..length]) {
            Some(Datagram::Digest(digest)) => {
                handle_digest(&entry, &socket, *digest).await;
            }
            Some(Datagram::Load(load)) => {
                agents::apply_engine_load(&entry, &load);
                if load.target_list_id == 0 {
                    agents::send_target_list(
                        &entry,
                        &socket,
                        load.engine_address,
                    )
                    .await;
                }
            }
            Some(Datagram::EngineExit(lost)) => {
                agents::apply_engine_exit(&entry, &lost)
            }
            Some(Datagram::PermitRequest(ask)) => {
                limits::answer_permit_request(&entry, ask, from)
            }
            Some(Datagram::PermitReply(reply)) => {
                entry.deliver_permit_reply(reply)
            }
            Some(Datagram::RetryReport(report)) => {
                entry.merge_retry_report(report, Millis::now())
            }
            Some(Datagram::RetryHistory(history)) => {
                entry.merge_retry_history(&history, from, Millis::now())
            }
            None => warn!(entry.log, "strange_datagram"; "bytes" => length),
        }
    }
}

async fn handle_digest(
    entry: &Rc<Entry>,
    socket: &UdpSocket,
    received_digest: GossipDigest,
) {
    let now = Millis::now();
    detect_stall(entry, now);
    let sent_at =
        entry.peers.borrow_mut().digest_sent_at(&received_digest, now);
    if now.since(sent_at) > MAX_ROUND_DELAY {
        entry.metrics.record_late_digest();
    }
    entry.observe_log_era(received_digest.log_era, StateChangeSource::Peer);
    let left = received_digest.departed_targets_with_start_unix_ms.iter();
    let left = left.map(|it| {
        (&it.0, GossipedDeparture::Announced(ProcessStartUnixMs(it.1)))
    });
    let withdrawn =
        received_digest.withdrawn_targets_with_start_and_sequence.iter();
    // A withdrawal without a position can't be told from an outdated one.
    let ends = received_digest.withdrawal_end_positions.iter();
    let withdrawn = withdrawn.zip(ends).map(|(it, end_position)| {
        let withdrawal = Withdrawal {
            start: ProcessStartUnixMs(it.1),
            last_sequence: it.2,
            end_position: *end_position,
        };
        (&it.0, GossipedDeparture::Withdrawn(withdrawal))
    });
    let news = TargetNews::from_peer(received_digest.sender_vm.clone());
    for (id, departure) in left.chain(withdrawn) {
        let change = entry
            .fleet
            .borrow_mut()
            .merge_gossiped_departure(id, departure, now);
        entry.apply_target_change(id, change, &news);
    }
    entry.record_zone_contact(&received_digest.sender_zone, sent_at);
    entry.record_budget_members(&received_digest, sent_at, PEER_TTL);
    entry.merge_peer_suspects(
        &received_digest.suspected_requests,
        &received_digest.retracted_crash_ids,
        sent_at,
    );
    entry.merge_peer_limits(&received_digest.rate_limits, sent_at);
    let at = sent_at - Millis(received_digest.targets_read_age_ms);
    let changed = LogPosition::new(
        received_digest.log_era,
        received_digest.last_target_change_offset,
    );
    entry.merge_peer_targets_read(at, changed, now);
    if let Some(list_end) = received_digest.last_contradiction {
        entry.merge_peer_contradiction(list_end, now);
    }
    merge_config_confirmation(entry, &received_digest, sent_at);
    let (is_new, others) = {
        let mut peers = entry.peers.borrow_mut();
        (
            peers.merge_peer_digest(&received_digest, sent_at),
            peers.unknown_peer_addresses(&received_digest.peers),
        )
    };
    entry.digest_received.notify_waiters();
    if is_new {
        info!(entry.log, "peer_met"; "peer" => &*received_digest.sender_vm,
            "address" => %received_digest.sender_address);
    }
    // An entry process that starts waits for a digest of every seed.
    let starts =
        received_digest.config_version == 0 && entry.catalog_version() > 0;
    if is_new || starts {
        let own = encode_digest(entry, DigestScope::All, now);
        for other in others.into_iter().chain([received_digest.sender_address])
        {
            send_datagram(entry, socket, &own, other).await;
        }
    }
    let behind = received_digest.config_version > entry.catalog_version()
        || received_digest.config_version > 0 && !entry.is_ready_to_serve()
        || entry
            .log_read_schedule
            .borrow()
            .needs_peer_state_of(received_digest.targets_read_position);
    if behind && !entry.peers.borrow().fetching_state {
        entry.peers.borrow_mut().fetching_state = true;
        let entry = entry.clone();
        tokio::task::spawn_local(async move {
            state::catch_up_from_peers(&entry, &received_digest).await;
            entry.peers.borrow_mut().fetching_state = false;
        });
    }
}

/// Merges the latest read of the configuration that another entry process knows
/// of, unless that one has a newer version, which this one has yet to read.
fn merge_config_confirmation(
    entry: &Entry,
    digest: &GossipDigest,
    sent_at: Millis,
) {
    let Some(age) = digest.config_confirmed_age_ms else { return };
    if digest.config_version <= entry.catalog_version() {
        entry
            .config_confirmation
            .borrow_mut()
            .merge_peer_read(sent_at - Millis(age), digest.log_era);
    }
}

/// Waits, at startup, for digests of all seeds and then for the newest
/// configuration that any digest announces; each wait has a timeout. The log
/// may have been rolled back to an older copy, and some other entry processes
/// may be as far behind.
pub async fn wait_for_newest_catalog(entry: &Entry, version: u64) {
    if entry.catalog().is_some() {
        return;
    }
    let has_heard_all = wait_for_seed_digests(entry).await;
    let has_newest = |it: &Peers| {
        entry.catalog().is_some() || it.newest_config_version <= version
    };
    let has_newest =
        wait_for_digests_until(entry, NEWER_CONFIG_TIMEOUT, has_newest).await;
    if !(has_heard_all && has_newest) {
        info!(entry.log, "not_all_met"; "version" => version,
            "newest" => entry.peers.borrow().newest_config_version);
    }
}

/// Waits until a digest from each seed has arrived, or for the time that a
/// running entry process needs to send one. Returns whether all arrived.
async fn wait_for_seed_digests(entry: &Entry) -> bool {
    wait_for_digests_until(
        entry,
        SEED_DIGEST_TIMEOUT,
        Peers::has_digest_of_each_seed,
    )
    .await
}

/// Waits for digests until a condition on the peers holds; returns whether it
/// holds in time.
async fn wait_for_digests_until(
    entry: &Entry,
    max_wait: Millis,
    condition: impl Fn(&Peers) -> bool,
) -> bool {
    let end = Millis::now() + max_wait;
    loop {
        let met = entry.digest_received.notified();
        if condition(&entry.peers.borrow()) {
            return true;
        }
        let left = end.since(Millis::now());
        if left == Millis(0) {
            return false;
        }
        let _ = timeout(left.duration(), met).await;
    }
}
