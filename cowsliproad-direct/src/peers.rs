//! What entries and agents tell one another.
//!
//! Each entry sends a short digest to the others twice a second, and at once
//! when something changed: the version of its configuration and the targets
//! that it saw leave. One that the platform's log turns away so learns of a
//! new version, fetches it from whoever has it, and stops using a target in
//! time. Entries meet through seeds and then through one another.
//!
//! Agents beside model engines report to whoever asks them to, so a new
//! entry hears from all of them within a second, and nobody keeps a list.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use cowsliproad_kernel::{
    Name,
    clock::Millis,
    gossip::{self, Datagram, Digest, Load, Lost, Subscribe},
    position::{Era, Position},
};
use cowsliproad_net::client::Client;
use cowsliproad_platform::{catalog, log::Record};
use cowsliproad_routing::{
    catalog::{Engine, Service},
    fleet::{Parting, Start, Target},
    owner::{self, Member, Owner, Presence},
};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::{
    net::UdpSocket,
    time::{sleep, timeout},
};

use crate::{
    call::{MAX_STAGGER, PROBE_PERIOD},
    entry::{Entry, Group, Source},
    follow,
    limits::{self, Update},
    settings::Settings,
};

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

/// What the own reading of the log is given before a peer is asked.
const OWN_READ_DELAY: Millis = Millis(120);

/// The time for fetching a peer's state.
const FETCH_TIMEOUT: Millis = Millis(1_000);

/// The largest state that is fetched.
const MAX_STATE_BYTES: usize = 16 << 20;

/// Steps of a target's pace that are news to requests under way, in percent.
const NEWS_PERCENT: u32 = 100;

/// The path of an entry's state.
const STATE_PATH: &str = "/state";

/// Other entries.
#[derive(Debug)]
pub struct Peers {
    own: SocketAddr,
    seeds: Vec<SocketAddr>,
    known: BTreeMap<SocketAddr, Peer>,
    /// The newest version of the configuration that any of them told of.
    newest: u64,
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

/// What an entry that starts without the log takes from another.
#[derive(Debug, Deserialize, Serialize)]
struct State {
    #[serde(with = "serde_bytes")]
    catalog: Vec<u8>,
    targets: Vec<Announcement>,
}

#[derive(Debug, Deserialize, Serialize)]
struct Announcement {
    id: String,
    #[serde(with = "serde_bytes")]
    value: Vec<u8>,
}

impl Peers {
    /// Nobody met yet.
    pub fn new(settings: &Settings) -> Peers {
        let mut peers = Peers {
            own: settings.peer_address(),
            seeds: Vec::new(),
            known: BTreeMap::new(),
            newest: 0,
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

    fn hear(&mut self, digest: &Digest, now: Millis) -> bool {
        self.newest = self.newest.max(digest.version);
        let known = self.known.get(&digest.address);
        let peer = Peer {
            vm: digest.vm.clone(),
            zone: digest.zone.clone(),
            heard: now,
            mute_until: known.map_or(Millis(0), |it| it.mute_until),
        };
        // A VM that was replaced speaks from another address.
        self.known.retain(|at, it| it.vm != peer.vm || *at == digest.address);
        self.known.insert(digest.address, peer).is_none()
    }

    /// The entry that keeps the pace of a target, this one too.
    pub fn owner(
        &self,
        target: &Target,
        own_zone: &Name,
        now: Millis,
    ) -> Owner<SocketAddr> {
        let silence = self.silence();
        let own = Member {
            address: self.own,
            zone: own_zone,
            presence: Presence::Heard,
        };
        let others = self.known.iter().map(|(address, peer)| {
            let silent = now.since(peer.heard) >= silence;
            let presence = match silent || peer.mute_until > now {
                true => Presence::Silent,
                false => Presence::Heard,
            };
            Member { address: *address, zone: &peer.zone, presence }
        });
        owner::owner(target, own, others)
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
        owner::silence(self.known.len(), MAX_RECIPIENTS)
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
        entry.measure.knows(known, entry.fleet.borrow().ready().count());
        entry.measure.knows_limits(entry.limits_known());
        // Some requests count cooldowns as longer.
        let over = now - MAX_STAGGER - PROBE_PERIOD;
        entry.cooldowns.borrow_mut().sweep(over);
        entry.measure.knows_cooling(entry.cooldowns.borrow().active(now));
        let joined = entry.joined.get();
        if round % ASK_EVERY == 0 || joined != asked {
            asked = joined;
            ask_agents(&entry, &socket).await;
        }
        round += 1;
        let _ =
            timeout(BROADCAST_INTERVAL.duration(), entry.rumour.notified())
                .await;
    }
}

fn digest(entry: &Entry, update: Update, now: Millis) -> Digest {
    let since = now - entry.rollbacks.departures(now).unwrap_or(DEPARTURE_TTL);
    let fleet = entry.fleet.borrow();
    let (suspects, lives) = entry.quarantine.borrow().updates(update, now);
    let (mut left, mut withdrawn) = (Vec::new(), Vec::new());
    for (id, parting) in fleet.left_since(since) {
        match parting {
            Parting::ForGood(start) => left.push((id.clone(), start.0)),
            Parting::After(start, last) => {
                withdrawn.push((id.clone(), start.0, last));
            }
        }
    }
    Digest {
        vm: entry.settings().vm.clone(),
        address: entry.settings().peer_address(),
        version: entry.version(),
        era: entry.rollbacks.era(),
        read_ms: now.since(entry.readings.borrow().at()).0,
        changed: entry.readings.borrow().changed().offset,
        left,
        withdrawn,
        peers: entry.peers.borrow().known.keys().copied().collect(),
        zone: entry.settings().zone.clone(),
        suspects,
        lives,
        limits: entry.limit_updates(update, now),
    }
}

async fn ask_agents(entry: &Entry, socket: &UdpSocket) {
    for whole in subscriptions(entry) {
        let named = Subscribe { targets: Vec::new(), ..whole.clone() };
        let (list, targets) = (whole.list, whole.targets.clone());
        let (whole, named) = (gossip::encode(&whole), gossip::encode(&named));
        for target in targets {
            let agent = agent_of(entry, target);
            let knows = entry.lists.borrow().get(&target) == Some(&list);
            let message = if knows { &named } else { &whole };
            send(entry, socket, message, agent).await;
        }
    }
}

/// Tells an agent that has just started of the others: it can do nothing
/// before it knows them.
async fn introduce(entry: &Entry, socket: &UdpSocket, target: SocketAddr) {
    let mut subscriptions = subscriptions(entry).into_iter();
    let whole = subscriptions.find(|it| it.targets.contains(&target));
    if let Some(whole) = whole {
        let message = gossip::encode(&whole);
        send(entry, socket, &message, agent_of(entry, target)).await;
    }
}

fn agent_of(entry: &Entry, target: SocketAddr) -> SocketAddr {
    SocketAddr::new(target.ip(), entry.settings().peer_port)
}

/// What the agents of each service of engines are told.
fn subscriptions(entry: &Entry) -> Vec<Subscribe> {
    let Some(catalog) = entry.catalog() else { return Vec::new() };
    let fleet = entry.fleet.borrow();
    let subscription = |service: &Service| {
        let engine = service.engine.as_ref()?;
        let own = fleet.ready().filter(|it| it.service == service.name);
        let targets: Vec<SocketAddr> = own.map(|it| it.address).collect();
        Some(subscribe(engine, &targets, entry.rollbacks.era()))
    };
    catalog.services().filter_map(subscription).collect()
}

fn subscribe(engine: &Engine, targets: &[SocketAddr], era: Era) -> Subscribe {
    Subscribe {
        list: gossip::list_of(targets),
        targets: targets.to_vec(),
        sets: engine.sets as u16,
        experts: engine.experts as u16,
        places: engine.places as u16,
        spare: engine.spare as u16,
        copy_ms: engine.copy_time.0,
        era,
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
    let mut buffer = vec![0; gossip::MAX_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // An unreachable peer shows here; the next datagram may be good.
            sleep(OWN_READ_DELAY.duration()).await;
            continue;
        };
        match gossip::decode::<Datagram>(&buffer[..length]) {
            Some(Datagram::Digest(digest)) => {
                hear(&entry, &socket, digest).await;
            }
            Some(Datagram::Load(load)) => {
                take_load(&entry, &load);
                if load.list == 0 {
                    introduce(&entry, &socket, load.target).await;
                }
            }
            Some(Datagram::Lost(lost)) => take_lost(&entry, &lost),
            Some(Datagram::Ask(ask)) => limits::answer(&entry, ask, from),
            Some(Datagram::Reply(reply)) => entry.hear_reply(reply),
            None => warn!(entry.log, "strange_datagram"; "bytes" => length),
        }
    }
}

async fn hear(entry: &Rc<Entry>, socket: &UdpSocket, heard: Digest) {
    let now = Millis::now();
    entry.learn_era(heard.era, Source::Peer);
    let left = heard.left.iter();
    let left = left.map(|it| (&it.0, Parting::ForGood(Start(it.1))));
    let withdrawn = heard.withdrawn.iter();
    let withdrawn =
        withdrawn.map(|it| (&it.0, Parting::After(Start(it.1), it.2)));
    for (id, parting) in left.chain(withdrawn) {
        let change = entry.fleet.borrow_mut().hear_parting(id, parting, now);
        entry.changed(id, change, Source::Peer);
    }
    entry.heard_from(&heard.zone, now);
    entry.hear_suspects(&heard.suspects, &heard.lives, now);
    entry.hear_limits(&heard.limits, now);
    let at = now - Millis(heard.read_ms);
    let changed = Position::new(heard.era, heard.changed);
    entry.note_reading(at, changed, now);
    let (is_new, others) = {
        let mut peers = entry.peers.borrow_mut();
        (peers.hear(&heard, now), peers.introduce(&heard.peers))
    };
    entry.met.notify_one();
    if is_new {
        info!(entry.log, "peer_met"; "peer" => &*heard.vm,
            "address" => %heard.address);
    }
    // One that starts waits for it.
    let starts = heard.version == 0 && entry.version() > 0;
    if is_new || starts {
        let own =
            gossip::encode(&Datagram::Digest(digest(entry, Update::All, now)));
        for other in others.into_iter().chain([heard.address]) {
            send(entry, socket, &own, other).await;
        }
    }
    let behind = heard.version > entry.version()
        || heard.version > 0 && !entry.is_ready()
        || entry.readings.borrow().needs_peer();
    if behind && !entry.peers.borrow().fetching {
        entry.peers.borrow_mut().fetching = true;
        let entry = entry.clone();
        tokio::task::spawn_local(async move {
            catch_up(&entry, &heard).await;
            entry.peers.borrow_mut().fetching = false;
        });
    }
}

/// Waits, in an entry that starts, until another one has told which version
/// of the configuration it uses, and has given it if it is newer than the one
/// that the log gave: the log may have come back from an older copy.
pub async fn meet(entry: &Entry, version: u64) {
    let begun = Millis::now();
    while entry.catalog().is_none() {
        let (newest, has_met_all) = {
            let peers = entry.peers.borrow();
            (peers.newest, peers.has_met_seeds())
        };
        let patience = match newest {
            0 if has_met_all => return,
            0 => MEETING_TIMEOUT,
            newest if newest <= version => return,
            _ => NEWER_TIMEOUT,
        };
        let left = (begun + patience).since(Millis::now());
        if left == Millis(0) {
            info!(entry.log, "nobody_met"; "newest" => newest,
                "version" => version);
            return;
        }
        let _ = timeout(left.duration(), entry.met.notified()).await;
    }
}

/// Fetches a peer's state if the log doesn't bring it in time.
async fn catch_up(entry: &Rc<Entry>, heard: &Digest) {
    sleep(OWN_READ_DELAY.duration()).await;
    let knows = entry.version() >= heard.version && entry.is_ready();
    if knows && !entry.readings.borrow().needs_peer() {
        return;
    }
    let uri = format!("http://{}{STATE_PATH}", heard.address);
    let Ok(request) = Request::get(uri).body(Full::new(Bytes::new())) else {
        return;
    };
    let client = Client::new();
    let call = client.call(request, MAX_STATE_BYTES, FETCH_TIMEOUT.duration());
    let body = match call.await {
        Ok(answer) => answer.into_body(),
        Err(error) => {
            warn!(entry.log, "peer_gave_no_state"; "peer" => &*heard.vm,
                "error" => %error);
            return;
        }
    };
    let Some(state) = gossip::decode::<State>(&body) else {
        warn!(entry.log, "strange_state"; "peer" => &*heard.vm);
        return;
    };
    take_state(entry, state);
}

fn take_state(entry: &Entry, state: State) {
    let raw = Bytes::from(state.catalog);
    match catalog::decode(&raw) {
        Ok(catalog) => entry.adopt(catalog, raw, Source::Peer),
        Err(error) => warn!(entry.log, "catalog_refused"; "error" => %error),
    }
    // Own knowledge of the targets goes first, as long as the log tells more.
    let knows = entry.fleet.borrow().ready().next().is_some();
    if knows && !entry.readings.borrow().needs_peer() {
        return;
    }
    let now = Millis::now();
    for announcement in state.targets {
        let value = Some(announcement.value.into());
        let record = Record { key: announcement.id, value };
        follow::announce(entry, &record, now, Source::Peer);
    }
    entry.readings.borrow_mut().merged();
}

/// Takes an agent's report in.
fn take_load(entry: &Entry, load: &Load) {
    entry.lists.borrow_mut().insert(load.target, load.list);
    let now = Millis::now();
    let Some(target) = target_at(entry, load.target, load.start) else {
        return;
    };
    entry.heard_from(&target.zone, now);
    entry.note_report(&target, Start(load.start), now);
    if load.leaving && target.start == Start(load.start) {
        info!(entry.log, "target_leaving"; "target" => &*target.id,
            "source" => ?Source::Peer);
        return entry.note_left(&target);
    }
    let id = target.id;
    let endpoint = entry.endpoint(&id);
    let mut endpoint = endpoint.borrow_mut();
    let stands = |it: &Group| (it.epoch, it.open, it.pace / NEWS_PERCENT);
    let before = endpoint.group.as_ref().map(stands);
    endpoint.record.report(load.running.saturating_add(load.queued), now);
    endpoint.lived = Some(now);
    endpoint.lost = None;
    let group = Group {
        name: load.group.clone(),
        epoch: load.epoch,
        open: load.open,
        step: load.step,
        pace: load.pace,
        heard: now,
    };
    let after = stands(&group);
    entry.note_formation(&group.name, group.epoch, group.open);
    entry.note_step(&group.name, group.epoch, group.step, now);
    endpoint.group = Some(group);
    drop(endpoint);
    if before != Some(after) {
        info!(entry.log, "group"; "target" => &*id, "epoch" => load.epoch,
            "open" => load.open, "step" => load.step, "pace" => load.pace);
        entry.tell_news();
    }
}

/// Takes in that an agent finds no process of its engine.
fn take_lost(entry: &Entry, lost: &Lost) {
    let now = Millis::now();
    let Some(target) = target_at(entry, lost.target, lost.start) else {
        return;
    };
    entry.heard_from(&target.zone, now);
    let endpoint = entry.endpoint(&target.id);
    let before = endpoint.borrow_mut().lost.replace(now);
    if before.is_none() {
        info!(entry.log, "target_lost"; "target" => &*target.id);
        if let Some(group) = &endpoint.borrow().group {
            entry.note_lost_rank(group, now);
        }
        entry.tell_news();
    }
}

/// The target that listens at an address, of the start that its agent saw.
/// One that took the place of another is announced before that one lapses.
fn target_at(
    entry: &Entry,
    address: SocketAddr,
    start: u64,
) -> Option<Target> {
    let same = |it: &Target| {
        it.address == address
            && (start == 0 || it.start.0 == 0 || it.start.0 == start)
    };
    entry.fleet.borrow().ready().find(|it| same(it)).cloned()
}

/// The entry's state, for one that starts or is turned away by the log.
pub fn state(
    entry: &Entry,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    let raw = entry.raw_catalog();
    let (Some(raw), STATE_PATH) = (raw, request.uri().path()) else {
        let mut answer = Response::new(Full::new(Bytes::new()));
        *answer.status_mut() = StatusCode::NOT_FOUND;
        return answer;
    };
    let announced = entry.announced.borrow();
    let targets = announced.iter().map(|(id, value)| Announcement {
        id: id.to_string(),
        value: value.to_vec(),
    });
    let state = State { catalog: raw.to_vec(), targets: targets.collect() };
    Response::new(Full::new(gossip::encode(&state).into()))
}
