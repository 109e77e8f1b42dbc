//! The state that an entry takes from another one: the configuration and the
//! targets, where the log doesn't bring them in time.

use std::{net::SocketAddr, rc::Rc};

use bytes::Bytes;
use cowsliproad_kernel::{
    clock::Millis,
    gossip::{self, GossipDigest},
};
use cowsliproad_net::client::Client;
use cowsliproad_platform::{catalog, log::Record};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use slog::warn;
use tokio::time::sleep;

use super::hear_all;
use crate::{
    entry::{Entry, Source},
    follow,
};

/// What the own reading of the log is given before a peer is asked.
const OWN_READ_DELAY: Millis = Millis(120);

/// The time for fetching a peer's state.
const FETCH_TIMEOUT: Millis = Millis(1_000);

/// The largest state that is fetched.
const MAX_STATE_BYTES: usize = 16 << 20;

/// The path of an entry's state.
const STATE_PATH: &str = "/state";

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

/// Fetches a peer's state if the log doesn't bring it in time.
pub(super) async fn catch_up(entry: &Rc<Entry>, heard: &GossipDigest) {
    sleep(OWN_READ_DELAY.duration()).await;
    let knows = entry.version() >= heard.config_version && entry.is_ready();
    if knows && !entry.readings.borrow().needs_peer_state() {
        return;
    }
    if entry.catalog().is_none() {
        hear_all(entry).await;
    }
    let (newest, ahead) = entry.peers.borrow().newest;
    let ahead = (newest > heard.config_version).then_some(ahead);
    for address in ahead.into_iter().chain([heard.address]) {
        if let Some(state) = fetch(entry, address).await {
            return take_state(entry, state);
        }
    }
}

async fn fetch(entry: &Entry, peer: SocketAddr) -> Option<State> {
    let uri = format!("http://{peer}{STATE_PATH}");
    let request = Request::get(uri).body(Full::new(Bytes::new())).ok()?;
    let client = Client::new();
    let call = client.call(request, MAX_STATE_BYTES, FETCH_TIMEOUT.duration());
    let body = match call.await {
        Ok(answer) => answer.into_body(),
        Err(error) => {
            warn!(entry.log, "peer_gave_no_state"; "peer" => %peer,
                "error" => %error);
            return None;
        }
    };
    let state = gossip::decode::<State>(&body);
    if state.is_none() {
        warn!(entry.log, "strange_state"; "peer" => %peer);
    }
    state
}

fn take_state(entry: &Entry, state: State) {
    let raw = Bytes::from(state.catalog);
    match catalog::decode(&raw) {
        Ok(catalog) => entry.adopt(catalog, raw, Source::Peer),
        Err(error) => warn!(entry.log, "catalog_refused"; "error" => %error),
    }
    // Own knowledge of the targets goes first, as long as the log tells more.
    let knows = entry.fleet.borrow().ready_targets().next().is_some();
    if knows && !entry.readings.borrow().needs_peer_state() {
        return;
    }
    let now = Millis::now();
    for announcement in state.targets {
        let value = Some(announcement.value.into());
        let record = Record { key: announcement.id, value };
        follow::announce(entry, &record, now, Source::Peer);
    }
    entry.readings.borrow_mut().record_merged_peer_state();
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
