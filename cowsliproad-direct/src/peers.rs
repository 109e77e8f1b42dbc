//! What entries tell one another, and what they hear.
//!
//! Each entry sends a short digest to the others twice a second, and at once
//! when something changed: the version of its configuration and the targets
//! that it saw leave. One that the platform's log turns away so learns of a
//! new version, fetches it from whoever has it, and stops using a target in
//! time. Entries meet through seeds and then through one another.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc};

use cowsliproad_kernel::{
    Name,
    clock::Millis,
    gossip::{self, Datagram, GossipDigest},
    position::LogPosition,
};
use cowsliproad_routing::{
    fleet::{GossipedDeparture, ProcessStartUnixMs, Target},
    owner::{
        self, EntryProcessLiveness, RateLimiterOwner,
        RateLimiterOwnerCandidate,
    },
};
use rand::seq::IteratorRandom;
use slog::{info, warn};
use tokio::{
    net::UdpSocket,
    time::{sleep, timeout},
};

use crate::{
    call::{MAX_STAGGER, PROBE_PERIOD},
    entry::{Entry, Source},
    limits::{self, Update},
    settings::Settings,
};

mod agents;
mod state;

pub use self::state::state;

/// How often other entries are told. Two digests may be lost before an entry
/// that the log turns away misses a change for longer than its bound.
const BROADCAST_INTERVAL: Millis = Millis(500);

/// Every so many digests the agents are asked to report, and at once when
/// there are new ones: after a restart of everything they wait for it.
const ASK_EVERY: u32 = 2;

/// Every so many digests tell all limits and all suspended work, the others
/// what has changed.
const RENEW_EVERY: u32 = 8;

/// Entries told at a time. With more of them news travels on by digests.
const MAX_RECIPIENTS: usize = 16;

/// Without a word for so long an entry is no longer told to others.
const PEER_TTL: Millis = Millis(12_000);

/// How long the targets that left are told of.
const DEPARTURE_TTL: Millis = Millis(8_000);

/// How long an entry that starts waits for the word of another one.
const MEETING_TIMEOUT: Millis = Millis(400);

/// How long it waits for a newer configuration that another one told of.
const NEWER_TIMEOUT: Millis = Millis(2_000);

/// The pause after a datagram that could not be received.
const ERROR_BACKOFF: Millis = Millis(120);

/// Other entries.
#[derive(Debug)]
pub struct Peers {
    own: SocketAddr,
    seeds: Vec<SocketAddr>,
    known: BTreeMap<SocketAddr, Peer>,
    /// The newest version of the configuration that any of them told of, and
    /// who did.
    newest: (u64, SocketAddr),
    fetching: bool,
}

#[derive(Debug)]
struct Peer {
    vm: Name,
    zone: Name,
    heard: Millis,
    /// Until when it is taken for one that doesn't answer.
    mute_until: Millis,
}

impl Peers {
    /// Nobody met yet.
    pub fn new(settings: &Settings) -> Peers {
        let mut peers = Peers {
            own: settings.peer_address(),
            seeds: Vec::new(),
            known: BTreeMap::new(),
            newest: (0, settings.peer_address()),
            fetching: false,
        };
        peers.reseed(settings);
        peers
    }

    /// Takes new seeds.
    pub fn reseed(&mut self, settings: &Settings) {
        let own = self.own;
        let seeds = settings.seeds.iter();
        let seeds = seeds.map(|it| SocketAddr::new(it.ip(), own.port()));
        self.seeds = seeds.filter(|it| *it != own).collect();
    }

    /// The number of entries, this one included. Those that can't be reached
    /// count for a while, since they go on serving.
    pub fn entries(&self) -> usize {
        self.known.len().max(self.seeds.len()) + 1
    }

    fn hear(&mut self, digest: &GossipDigest, now: Millis) -> bool {
        self.newest =
            self.newest.max((digest.config_version, digest.sender_address));
        let known = self.known.get(&digest.sender_address);
        let peer = Peer {
            vm: digest.sender_vm.clone(),
            zone: digest.sender_zone.clone(),
            heard: now,
            mute_until: known.map_or(Millis(0), |it| it.mute_until),
        };
        // A VM that was replaced speaks from another address.
        self.known
            .retain(|at, it| it.vm != peer.vm || *at == digest.sender_address);
        self.known.insert(digest.sender_address, peer).is_none()
    }

    /// The entry that keeps the pace of a target, this one too.
    pub fn owner(
        &self,
        target: &Target,
        own_zone: &Name,
        now: Millis,
    ) -> RateLimiterOwner<SocketAddr> {
        let silence = self.silence();
        let own = RateLimiterOwnerCandidate {
            address: self.own,
            zone: own_zone,
            liveness: EntryProcessLiveness::Responsive,
        };
        let others = self.known.iter().map(|(address, peer)| {
            let silent = now.since(peer.heard) >= silence;
            let liveness = match silent || peer.mute_until > now {
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

    /// Notes that an entry doesn't answer questions.
    pub fn mute(&mut self, address: SocketAddr, until: Millis) {
        if let Some(peer) = self.known.get_mut(&address) {
            peer.mute_until = until;
        }
    }

    /// The part of all entries that are heard from, this one included. Seeds
    /// that a new entry hasn't met yet are among them, until it would have
    /// forgotten them.
    pub fn reached(&self, now: Millis) -> f64 {
        let silence = self.silence();
        let known = self.known.values();
        let heard = known.filter(|it| now.since(it.heard) < silence);
        let unmet = |it: &&SocketAddr| !self.known.contains_key(*it);
        let unmet = match now < PEER_TTL {
            true => self.seeds.iter().filter(unmet).count(),
            false => 0,
        };
        let all = self.known.len() + unmet + 1;
        (heard.count() + 1) as f64 / all as f64
    }

    /// Whether all seeds were met.
    fn has_met_seeds(&self) -> bool {
        self.seeds.iter().all(|it| self.known.contains_key(it))
    }

    fn silence(&self) -> Millis {
        owner::gossip_silence_timeout(self.known.len(), MAX_RECIPIENTS)
    }

    /// Notes entries that others speak of.
    fn introduce(&mut self, peers: &[SocketAddr]) -> Vec<SocketAddr> {
        let new = |it: &&SocketAddr| {
            **it != self.own && !self.known.contains_key(*it)
        };
        peers.iter().filter(new).copied().collect()
    }

    fn recipients(&mut self, now: Millis) -> Vec<SocketAddr> {
        self.known.retain(|_, it| now.since(it.heard) < PEER_TTL);
        let known = self.known.keys().copied();
        let mut told = known.choose_multiple(&mut rand::rng(), MAX_RECIPIENTS);
        let unmet = |it: &&SocketAddr| !self.known.contains_key(*it);
        told.extend(self.seeds.iter().filter(unmet));
        told
    }
}

/// Tells other entries and asks agents, for ever.
pub async fn tell(entry: Rc<Entry>, socket: Rc<UdpSocket>) {
    let mut round = 0;
    let mut asked = 0;
    loop {
        let now = Millis::now();
        entry.quarantine.borrow_mut().sweep(now);
        let recipients = entry.peers.borrow_mut().recipients(now);
        let all = round % RENEW_EVERY == 0;
        let which = if all { Update::All } else { Update::Changed };
        let digest =
            gossip::encode(&Datagram::Digest(digest(&entry, which, now)));
        for peer in recipients {
            send(&entry, &socket, &digest, peer).await;
        }
        let known = entry.peers.borrow().known.len();
        entry
            .measure
            .knows(known, entry.fleet.borrow().ready_targets().count());
        entry.measure.knows_limits(entry.limits_known());
        // Some requests count cooldowns as longer.
        let over = now - MAX_STAGGER - PROBE_PERIOD;
        entry.cooldowns.borrow_mut().remove_expired_cooldowns(over);
        entry.measure.knows_cooling(
            entry.cooldowns.borrow().active_cooldown_count(now),
        );
        let joined = entry.joined.get();
        if round % ASK_EVERY == 0 || joined != asked {
            asked = joined;
            agents::ask_agents(&entry, &socket).await;
        }
        round += 1;
        let _ =
            timeout(BROADCAST_INTERVAL.duration(), entry.rumour.notified())
                .await;
    }
}

fn digest(entry: &Entry, update: Update, now: Millis) -> GossipDigest {
    let since = now - entry.rollbacks.departures(now).unwrap_or(DEPARTURE_TTL);
    let fleet = entry.fleet.borrow();
    let (suspected_requests, lives) =
        entry.quarantine.borrow().updates(update, now);
    let (mut left, mut withdrawn_targets_with_start_and_sequence) =
        (Vec::new(), Vec::new());
    for (id, departure) in fleet.target_departures_since(since) {
        match departure {
            GossipedDeparture::Announced(start) => {
                left.push((id.clone(), start.0))
            }
            GossipedDeparture::Withdrawn(start, last) => {
                withdrawn_targets_with_start_and_sequence.push((
                    id.clone(),
                    start.0,
                    last,
                ));
            }
        }
    }
    GossipDigest {
        sender_vm: entry.settings().vm.clone(),
        sender_address: entry.settings().peer_address(),
        config_version: entry.version(),
        log_era: entry.rollbacks.era(),
        targets_read_age_ms: now
            .since(entry.readings.borrow().last_log_read_at())
            .0,
        last_target_change_offset: entry
            .readings
            .borrow()
            .last_target_change_log_position()
            .offset,
        departed_targets_with_start_unix_ms: left,
        withdrawn_targets_with_start_and_sequence,
        peers: entry.peers.borrow().known.keys().copied().collect(),
        sender_zone: entry.settings().zone.clone(),
        suspected_requests,
        retracted_crash_ids: lives,
        rate_limits: entry.limit_updates(update, now),
    }
}

async fn send(
    entry: &Entry,
    socket: &UdpSocket,
    message: &[u8],
    to: SocketAddr,
) {
    if let Err(error) = socket.send_to(message, to).await {
        slog::debug!(entry.log, "not_told"; "peer" => %to, "error" => %error);
    }
}

/// Takes datagrams for ever.
pub async fn listen(entry: Rc<Entry>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; gossip::MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // An unreachable peer shows here; the next datagram may be good.
            sleep(ERROR_BACKOFF.duration()).await;
            continue;
        };
        match gossip::decode::<Datagram>(&buffer[..length]) {
            Some(Datagram::Digest(digest)) => {
                hear(&entry, &socket, digest).await;
            }
            Some(Datagram::Load(load)) => {
                agents::take_load(&entry, &load);
                if load.target_list_id == 0 {
                    agents::introduce(&entry, &socket, load.engine_address)
                        .await;
                }
            }
            Some(Datagram::EngineExit(lost)) => {
                agents::take_lost(&entry, &lost)
            }
            Some(Datagram::PermitRequest(ask)) => {
                limits::answer(&entry, ask, from)
            }
            Some(Datagram::PermitReply(reply)) => entry.hear_reply(reply),
            None => warn!(entry.log, "strange_datagram"; "bytes" => length),
        }
    }
}

async fn hear(entry: &Rc<Entry>, socket: &UdpSocket, heard: GossipDigest) {
    let now = Millis::now();
    entry.learn_era(heard.log_era, Source::Peer);
    let left = heard.departed_targets_with_start_unix_ms.iter();
    let left = left.map(|it| {
        (&it.0, GossipedDeparture::Announced(ProcessStartUnixMs(it.1)))
    });
    let withdrawn = heard.withdrawn_targets_with_start_and_sequence.iter();
    let withdrawn = withdrawn.map(|it| {
        (&it.0, GossipedDeparture::Withdrawn(ProcessStartUnixMs(it.1), it.2))
    });
    for (id, departure) in left.chain(withdrawn) {
        let change = entry
            .fleet
            .borrow_mut()
            .merge_gossiped_departure(id, departure, now);
        entry.changed(id, change, Source::Peer);
    }
    entry.heard_from(&heard.sender_zone, now);
    entry.hear_suspects(
        &heard.suspected_requests,
        &heard.retracted_crash_ids,
        now,
    );
    entry.hear_limits(&heard.rate_limits, now);
    let at = now - Millis(heard.targets_read_age_ms);
    let changed =
        LogPosition::new(heard.log_era, heard.last_target_change_offset);
    entry.note_reading(at, changed, now);
    let (is_new, others) = {
        let mut peers = entry.peers.borrow_mut();
        (peers.hear(&heard, now), peers.introduce(&heard.peers))
    };
    entry.met.notify_waiters();
    if is_new {
        info!(entry.log, "peer_met"; "peer" => &*heard.sender_vm,
            "address" => %heard.sender_address);
    }
    // One that starts waits for it.
    let starts = heard.config_version == 0 && entry.version() > 0;
    if is_new || starts {
        let own =
            gossip::encode(&Datagram::Digest(digest(entry, Update::All, now)));
        for other in others.into_iter().chain([heard.sender_address]) {
            send(entry, socket, &own, other).await;
        }
    }
    let behind = heard.config_version > entry.version()
        || heard.config_version > 0 && !entry.is_ready()
        || entry.readings.borrow().needs_peer_state();
    if behind && !entry.peers.borrow().fetching {
        entry.peers.borrow_mut().fetching = true;
        let entry = entry.clone();
        tokio::task::spawn_local(async move {
            state::catch_up(&entry, &heard).await;
            entry.peers.borrow_mut().fetching = false;
        });
    }
}

/// Waits, in an entry that starts, until all others that it was told of have
/// said which version of the configuration they use, or as long as those that
/// run need for that, and until it has the newest of these: the log may have
/// come back from an older copy, and some others may be as far behind.
pub async fn meet(entry: &Entry, version: u64) {
    let has_heard_all = hear_all(entry).await;
    let has_newest =
        |it: &Peers| entry.catalog().is_some() || it.newest.0 <= version;
    let has_newest = hear_until(entry, NEWER_TIMEOUT, has_newest).await;
    if !(has_heard_all && has_newest) {
        info!(entry.log, "not_all_met"; "version" => version,
            "newest" => entry.peers.borrow().newest.0);
    }
}

/// Waits until all others that an entry was told of have spoken, or as long as
/// those that run need for that. Returns whether they have.
async fn hear_all(entry: &Entry) -> bool {
    hear_until(entry, MEETING_TIMEOUT, Peers::has_met_seeds).await
}

/// Waits for others until something holds; returns whether it does in time.
async fn hear_until(
    entry: &Entry,
    time: Millis,
    holds: impl Fn(&Peers) -> bool,
) -> bool {
    let end = Millis::now() + time;
    loop {
        let met = entry.met.notified();
        if holds(&entry.peers.borrow()) {
            return true;
        }
        let left = end.since(Millis::now());
        if left == Millis(0) {
            return false;
        }
        let _ = timeout(left.duration(), met).await;
    }
}
