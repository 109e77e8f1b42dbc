//! Transfer of the configuration and the targets from another entry process,
//! where the log doesn't bring them in time.

use std::{net::SocketAddr, rc::Rc};

use bytes::Bytes;
use cowsliproad_kernel::{
    Name,
    clock::Millis,
    gossip::{self, GossipDigest},
    position::LogPosition,
};
use cowsliproad_net::{
    client::Client,
    timer::{sleep, timeout},
};
use cowsliproad_platform::{catalog, log::Record};
use cowsliproad_routing::fleet::{GossipedDeparture, ProcessStartUnixMs};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::task::JoinSet;

use super::wait_for_seed_digests;
use crate::{
    entry::{Entry, StateChangeSource, TargetNews},
    follow,
};

/// How long this entry process waits for its own read of the log before it
/// fetches a peer's state.
const OWN_LOG_READ_DELAY: Millis = Millis(120);

/// How long this entry process waits for a check of its long poll before it
/// fetches a peer's state.
const LOG_CHECK_DELAY: Millis = Millis(150);

/// How long a peer may take to send its state before another one is asked.
const STATE_FETCH_HEDGE_DELAY: Millis = Millis(250);

/// The most peers that are asked for their state at once.
const MAX_ASKED_PEERS: usize = 6;

/// The same for an entry process that starts, which waits for the answer of
/// each for the whole timeout.
const MAX_PEERS_ASKED_AT_START: usize = 3;

/// The timeout for fetching a peer's state.
const STATE_FETCH_TIMEOUT: Millis = Millis(1_000);

/// How long after its start an entry process uses no configuration of a peer
/// that the log hasn't confirmed lately. Longer than that, serving by an older
/// configuration is better than not serving.
const UNCONFIRMED_STATE_DELAY: Millis = Millis(2_000);

/// The largest encoded state that is accepted from a peer.
const MAX_PEER_STATE_BYTES: usize = 16 << 20;

/// The HTTP path that serves an entry process's state.
const STATE_PATH: &str = "/state";

/// The configuration and the target announcements, as sent to an entry process
/// that starts, or whose calls the log refuses or doesn't answer.
#[derive(Debug, Deserialize, Serialize)]
struct EntryState {
    #[serde(with = "serde_bytes")]
    catalog: Vec<u8>,
    targets: Vec<TargetAnnouncement>,
    /// The position up to which the sender knows the targets: all changes
    /// before are in `targets` and `departed_targets`.
    #[serde(default)]
    targets_read_position: LogPosition,
    /// Targets that announced their departure, each with its start time as a
    /// Unix millisecond.
    #[serde(default)]
    departed_targets: Vec<(Name, u64)>,
    /// The time since the log last confirmed that nothing newer than `catalog`
    /// was written, in milliseconds; `None` if that is unknown.
    #[serde(default)]
    config_confirmed_age_ms: Option<u64>,
}

#[derive(Debug, Deserialize, Serialize)]
struct TargetAnnouncement {
    id: String,
    #[serde(with = "serde_bytes")]
    value: Vec<u8>,
    /// The position of the announcement in the log.
    #[serde(default)]
    position: LogPosition,
}

/// Fetches a peer's state unless this entry process's own read of the log
/// brings it in time.
pub(super) async fn catch_up_from_peers(
    entry: &Rc<Entry>,
    received_digest: &GossipDigest,
) {
    sleep(OWN_LOG_READ_DELAY.duration()).await;
    let knows = entry.catalog_version() >= received_digest.config_version
        && entry.is_ready_to_serve();
    if knows && !entry.log_read_schedule.borrow().needs_peer_state() {
        return;
    }
    if entry.catalog_version() < received_digest.config_version {
        info!(entry.log, "config_behind";
            "version" => received_digest.config_version,
            "peer" => &*received_digest.sender_vm,
            "in_force" => entry.catalog_version());
        if entry.is_ready_to_serve() {
            let version = received_digest.config_version;
            read_version_from_log(entry, version).await;
            if entry.catalog_version() >= version {
                return;
            }
        }
    }
    if entry.catalog().is_none() {
        wait_for_seed_digests(entry).await;
    }
    // The targets that this entry process lacks are known to the sender of the
    // digest; the configuration may also come from others.
    let lacks_only_targets =
        entry.catalog_version() >= received_digest.config_version;
    let peers = match lacks_only_targets {
        true => vec![received_digest.sender_address],
        false => {
            let own = entry.catalog_version();
            entry.peers.borrow().with_newer_config(own, Millis::now())
        }
    };
    if let Some((peer, state)) = fetch_state_from_any(entry, &peers).await {
        apply_peer_state(entry, peer, state);
    }
}

/// Reads a newer configuration from the log, by a check of the long poll, if
/// the log answers soon. The log carries the calls of all entry processes at
/// once more easily than one entry process does.
async fn read_version_from_log(entry: &Entry, version: u64) {
    entry.request_config_check();
    let adopted = async {
        loop {
            let changed = entry.targets_changed.notified();
            if entry.catalog_version() >= version {
                return;
            }
            changed.await;
        }
    };
    let _ = timeout(LOG_CHECK_DELAY.duration(), adopted).await;
}

/// Fetches the state of the first of several peers that answers. A peer that
/// was frozen or cut off after its digest doesn't answer, so the next one is
/// asked soon.
async fn fetch_state_from_any(
    entry: &Rc<Entry>,
    peers: &[SocketAddr],
) -> Option<(SocketAddr, EntryState)> {
    // An entry process that starts takes an older configuration only if the
    // newest is not to be had.
    let (delay, max_asked) = match entry.catalog().is_none() {
        true => (STATE_FETCH_TIMEOUT, MAX_PEERS_ASKED_AT_START),
        false => (STATE_FETCH_HEDGE_DELAY, MAX_ASKED_PEERS),
    };
    let mut fetches = JoinSet::new();
    for peer in peers.iter().copied().take(max_asked) {
        let fetching_entry = entry.clone();
        fetches.spawn_local(async move {
            let state = fetch_peer_state(&fetching_entry, peer).await?;
            Some((peer, state))
        });
        let first = timeout(delay.duration(), fetches.join_next()).await;
        if let Ok(Some(Ok(Some((peer, state))))) = first
            && may_use_state(entry, &state)
        {
            return Some((peer, state));
        }
    }
    while let Some(fetched) = fetches.join_next().await {
        if let Ok(Some((peer, state))) = fetched
            && may_use_state(entry, &state)
        {
            return Some((peer, state));
        }
    }
    None
}

/// Whether this entry process may use a peer's state. The configuration of a
/// peer that the log doesn't answer may be outdated, so an entry process that
/// starts first waits for its own reads and for other peers.
fn may_use_state(entry: &Entry, state: &EntryState) -> bool {
    let bound = entry.settings().config_apply_ms;
    let is_confirmed =
        state.config_confirmed_age_ms.is_some_and(|it| it < bound.0);
    let may_use = is_confirmed
        || entry.catalog().is_some()
        || Millis::now() > UNCONFIRMED_STATE_DELAY;
    if !may_use {
        info!(entry.log, "state_unconfirmed";
            "age" => state.config_confirmed_age_ms);
    }
    may_use
}

async fn fetch_peer_state(
    entry: &Entry,
    peer: SocketAddr,
) -> Option<EntryState> {
    let uri = format!("http://{peer}{STATE_PATH}");
    let request = Request::get(uri).body(Full::new(Bytes::new())).ok()?;
    let client = Client::new();
    let call = client.call(
        request,
        MAX_PEER_STATE_BYTES,
        STATE_FETCH_TIMEOUT.duration(),
    );
    let body = match call.await {
        Ok(answer) => answer.into_body(),
        Err(error) => {
            warn!(entry.log, "peer_gave_no_state"; "peer" => %peer,
                "error" => %error);
            entry.peers.borrow_mut().record_refused_state(peer, Millis::now());
            return None;
        }
    };
    let state = gossip::decode::<EntryState>(&body);
    if state.is_none() {
        warn!(entry.log, "strange_state"; "peer" => %peer);
    }
    state
}

fn apply_peer_state(entry: &Entry, peer: SocketAddr, state: EntryState) {
    let raw = Bytes::from(state.catalog);
    match catalog::decode(&raw) {
        Ok(catalog) => {
            entry.adopt_catalog(catalog, raw, StateChangeSource::Peer)
        }
        Err(error) => warn!(entry.log, "catalog_refused"; "error" => %error),
    }
    // The peer's list of targets is taken over only while this entry process
    // has no ready target, or while the log doesn't answer and a change of a
    // target is unread.
    let knows = entry.fleet.borrow().ready_targets().next().is_some();
    if knows && !entry.log_read_schedule.borrow().needs_peer_state() {
        return;
    }
    let now = Millis::now();
    let read_position = entry.log_read_schedule.borrow().read_position();
    info!(entry.log, "targets_taken"; "peer" => %peer,
        "targets" => state.targets.len(),
        "read_to" => %state.targets_read_position,
        "own_read_to" => %read_position);
    let news = TargetNews::from_peer(peer.to_string().into());
    for (id, start) in &state.departed_targets {
        let departure =
            GossipedDeparture::Announced(ProcessStartUnixMs(*start));
        let change = entry
            .fleet
            .borrow_mut()
            .merge_gossiped_departure(id, departure, now);
        entry.apply_target_change(id, change, &news);
    }
    let announcements = state.targets.into_iter();
    let records: Vec<Record> = announcements.map(Record::from).collect();
    for record in &records {
        follow::apply_target_record(entry, record, None, now, &news);
    }
    // A peer that has read more of the log knows all targets up to there.
    if state.targets_read_position > read_position {
        follow::withdraw_unlisted_targets(
            entry,
            &records,
            state.targets_read_position,
            now,
            &news,
        );
    }
    entry
        .log_read_schedule
        .borrow_mut()
        .record_merged_peer_state(state.targets_read_position);
}

impl From<TargetAnnouncement> for Record {
    fn from(announcement: TargetAnnouncement) -> Record {
        Record {
            key: announcement.id,
            value: Some(announcement.value.into()),
            position: announcement.position,
        }
    }
}

/// Serves this entry process's state to an entry process that starts, or whose
/// calls the log refuses or doesn't answer.
pub fn serve_entry_state(
    entry: &Entry,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    let raw = entry.encoded_routing_catalog();
    let (Some(raw), STATE_PATH) = (raw, request.uri().path()) else {
        let mut answer = Response::new(Full::new(Bytes::new()));
        *answer.status_mut() = StatusCode::NOT_FOUND;
        return answer;
    };
    let announced = entry.raw_announcements_by_target.borrow();
    let fleet = entry.fleet.borrow();
    let departed = fleet.announced_departures();
    let departed = departed.map(|(id, start)| (id.clone(), start.0));
    let targets = announced.iter().map(|(id, value)| TargetAnnouncement {
        id: id.to_string(),
        value: value.to_vec(),
        position: fleet.announcement_position(id).unwrap_or_default(),
    });
    let confirmed_at = entry.config_confirmation.borrow().confirmed_at();
    let state = EntryState {
        catalog: raw.to_vec(),
        targets: targets.collect(),
        targets_read_position: entry
            .log_read_schedule
            .borrow()
            .read_position(),
        departed_targets: departed.collect(),
        config_confirmed_age_ms: confirmed_at
            .map(|it| Millis::now().since(it).0),
    };
    Response::new(Full::new(gossip::encode(&state).into()))
}
