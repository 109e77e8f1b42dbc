//! The platform's append-only log, over HTTP.
//!
//! An append either took effect at an offset, did not happen, or nobody
//! knows. The last is resolved by reading on: the fold tells the verdict of
//! a command once its record is read back.

use std::{sync::Arc, time::Duration};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use cowsliproad_config::{
    ConfigState,
    fold::{self, ConfigChange, ConfigRecord},
};
use cowsliproad_kernel::{
    clock::Millis,
    id,
    wire::{ConfigRecords, ConfigSnapshot},
};
use cowsliproad_net::client::Error;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::Deserialize;
use serde_bytes::ByteBuf;
use slog::{info, warn};
use tokio::time::sleep;

use crate::{Shared, control::Event};

/// How long one append may take.
const APPEND: Duration = Duration::from_secs(2);

/// How long the log holds a read open for new records.
const READ_WAIT_MS: u64 = 1_000;

/// How long one read may take.
const READ: Duration = Duration::from_secs(3);

/// The wait after a failed read.
const READ_AGAIN: Duration = Duration::from_millis(200);

/// The largest answer of the log, in bytes.
const MAX_READ: usize = 64 << 20;

/// Records after which a snapshot is due. At 40,000 changes a day that is
/// every two and a half hours.
pub const SNAPSHOT_EVERY: u64 = 4_096;

/// What became of an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Append {
    /// The record has this offset.
    Done(u64),
    /// The log refused it or can't be reached.
    NotDone,
    /// The answer was lost.
    Unknown,
}

#[derive(Deserialize)]
struct Appended {
    offset: u64,
}

#[derive(Deserialize)]
struct Page {
    first: u64,
    records: Vec<String>,
}

/// Appends a record.
pub async fn append(shared: &Shared, record: &ConfigRecord) -> Append {
    let body = Full::new(Bytes::from(fold::encode_record(record)));
    let uri = format!("http://{}/records", shared.settings.log_service);
    let Ok(request) = Request::post(uri).body(body) else {
        return Append::NotDone;
    };
    match shared.client.call(request, MAX_READ, APPEND).await {
        Err(Error::Connect(_) | Error::Refused(_)) => Append::NotDone,
        Err(_) => Append::Unknown,
        Ok(answer) if answer.status() == StatusCode::OK => {
            match serde_json::from_slice::<Appended>(answer.body()) {
                Ok(appended) => Append::Done(appended.offset),
                Err(_) => Append::Unknown,
            }
        }
        Ok(answer) if answer.status() == StatusCode::SERVICE_UNAVAILABLE => {
            Append::NotDone
        }
        Ok(_) => Append::Unknown,
    }
}

/// Reads the log for as long as the entry runs.
pub async fn tail(shared: Arc<Shared>) {
    let mut snapshots = Snapshots::new(&shared);
    loop {
        let next = shared.published.load().state.next_offset();
        let page = read(&shared, next, READ_WAIT_MS).await;
        note(&shared, page.is_some());
        match page {
            None => sleep(READ_AGAIN).await,
            Some(page) if page.first_record_offset > next => {
                restore(&shared, page).await;
            }
            Some(page) => {
                let next = page.first_record_offset
                    + page.encoded_records.len() as u64;
                if !page.encoded_records.is_empty() {
                    shared.control.tell(Event::Records(page)).await;
                    settle(&shared, next).await;
                }
                snapshots.offer(&shared).await;
            }
        }
    }
}

async fn read(
    shared: &Shared,
    from: u64,
    wait_ms: u64,
) -> Option<ConfigRecords> {
    let uri = format!(
        "http://{}/records?from={from}&wait_ms={wait_ms}",
        shared.settings.log_service
    );
    let request = Request::get(uri).body(Full::default()).ok()?;
    let answer = shared.client.call(request, MAX_READ, READ).await.ok()?;
    if answer.status() != StatusCode::OK {
        return None;
    }
    let page: Page = serde_json::from_slice(answer.body()).ok()?;
    let decoded = page.records.iter().map(|it| STANDARD.decode(it));
    let records: Result<Vec<_>, _> = decoded.collect();
    let encoded_records =
        records.ok()?.into_iter().map(ByteBuf::from).collect();
    Some(ConfigRecords { first_record_offset: page.first, encoded_records })
}

/// Finds a snapshot when the records that come next have left the log. A
/// peer or an agent may send one meanwhile, so a search that finds nothing
/// is simply made again.
async fn restore(shared: &Shared, mut page: ConfigRecords) {
    let oldest = page.first_record_offset;
    warn!(shared.log, "log_trimmed"; "first" => oldest);
    while !page.encoded_records.is_empty() {
        let states =
            page.encoded_records.iter().filter_map(|it| snapshot_in(it));
        let usable = states.filter(|it| it.next_offset() >= oldest);
        if let Some(state) = usable.max_by_key(|it| it.next_offset()) {
            let next = state.next_offset();
            let encoded_config = fold::encode_state(&state);
            let snapshot =
                ConfigSnapshot { next_offset: next, encoded_config };
            shared.control.tell(Event::Snapshot(snapshot)).await;
            return settle(shared, next).await;
        }
        let next =
            page.first_record_offset + page.encoded_records.len() as u64;
        match read(shared, next, 0).await {
            Some(following) => page = following,
            None => break,
        }
    }
    sleep(READ_AGAIN).await;
}

fn snapshot_in(record: &[u8]) -> Option<Box<ConfigState>> {
    match fold::decode_record(record)?.change {
        ConfigChange::Snapshot(state) => Some(state),
        _ => None,
    }
}

/// Waits until what was read is in force, so that the next read starts
/// behind it.
async fn settle(shared: &Shared, next: u64) {
    let mut published = shared.published.subscribe();
    let wait = published.wait_for(|it| *it >= next);
    let _ = tokio::time::timeout(Duration::from_millis(500), wait).await;
}

/// When this entry writes a snapshot.
struct Snapshots {
    seen: u64,
    since: Millis,
    records: u64,
    time: Millis,
}

impl Snapshots {
    fn new(shared: &Shared) -> Snapshots {
        // Random parts make it likely that one entry is first, and the
        // others then see its snapshot and wait on. Equal ones do no harm.
        let most = shared.settings.snapshot_ms.0;
        Snapshots {
            seen: 0,
            since: Millis::now(),
            records: rand::random_range(
                SNAPSHOT_EVERY..SNAPSHOT_EVERY * 3 / 2,
            ),
            time: Millis(rand::random_range(most / 2..=most)),
        }
    }

    async fn offer(&mut self, shared: &Shared) {
        let now = Millis::now();
        let seen = shared.published.snapshot();
        if seen != self.seen {
            self.seen = seen;
            self.since = now;
        }
        let state = shared.published.load().state.clone();
        let next = state.next_offset();
        let many = next >= self.seen + self.records;
        let long = next > 1 && now.since(self.since) >= self.time;
        if !many && !long {
            return;
        }
        self.since = now;
        let change = ConfigChange::Snapshot(Box::new((*state).clone()));
        let record = ConfigRecord { command: id::Command::random(), change };
        let outcome = append(shared, &record).await;
        info!(shared.log, "snapshot"; "next" => next, "outcome" => ?outcome);
        if outcome != Append::NotDone {
            shared.published.set_snapshot(next);
        }
    }
}

fn note(shared: &Shared, up: bool) {
    if shared.published.set_log_up(up) != up {
        let state = if up { "up" } else { "down" };
        info!(shared.log, "log_service"; "state" => state);
    }
}
