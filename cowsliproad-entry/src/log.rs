//! Reads and appends to the platform's append-only log over HTTP.
//!
//! An append either took effect at an offset, did not happen, or has an
//! unknown outcome. An unknown outcome is resolved by reading on: once the
//! record of a command is read back, the fold gives the verdict of the
//! command.

use std::{sync::Arc, time::Duration};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use cowsliproad_config::{
    State,
    fold::{self, Change, Record},
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

/// The timeout of one append to the log.
const APPEND: Duration = Duration::from_secs(2);

/// How long the log holds a read open for new records, in milliseconds.
const READ_WAIT_MS: u64 = 1_000;

/// The timeout of one read of the log.
const READ: Duration = Duration::from_secs(3);

/// The backoff after a failed read of the log.
const READ_AGAIN: Duration = Duration::from_millis(200);

/// The maximum size of an HTTP response of the log, in bytes.
const MAX_READ: usize = 64 << 20;

/// The minimum number of records between two snapshots. At 40,000 changes a
/// day there is a snapshot every two and a half hours.
pub const SNAPSHOT_EVERY: u64 = 4_096;

/// The outcome of an append to the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Append {
    /// The record was appended at this offset.
    Done(u64),
    /// The log refused the record or could not be reached.
    NotDone,
    /// The response of the log was lost or could not be read.
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

/// Appends a record to the log.
pub async fn append(shared: &Shared, record: &Record) -> Append {
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

/// Reads the log while the entry process runs.
pub async fn tail(shared: Arc<Shared>) {
    let mut snapshots = Snapshots::new(&shared);
    loop {
        let next = shared.published.load().state.next_offset();
        let page = read(&shared, next, READ_WAIT_MS).await;
        note(&shared, page.is_some());
        match page {
            None => sleep(READ_AGAIN).await,
            Some(page) if page.first_offset > next => {
                restore(&shared, page).await;
            }
            Some(page) => {
                let next = page.first_offset + page.records.len() as u64;
                if !page.records.is_empty() {
                    shared.control.tell(Event::Records(page)).await;
                    settle(&shared, next).await;
                }
                snapshots.offer(&shared).await;
            }
        }
    }
}

/// Reads a page of records from an offset on. Returns `None` if the read
/// failed.
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
    let records = records.ok()?.into_iter().map(ByteBuf::from).collect();
    Some(ConfigRecords { first_offset: page.first, records })
}

/// Searches the log for a snapshot when the records that come next are no
/// longer in the log. A peer or an agent may send a snapshot meanwhile, so a
/// search that finds none is simply repeated.
async fn restore(shared: &Shared, mut page: ConfigRecords) {
    let oldest = page.first_offset;
    warn!(shared.log, "log_trimmed"; "first" => oldest);
    while !page.records.is_empty() {
        let states = page.records.iter().filter_map(|it| snapshot_in(it));
        let usable = states.filter(|it| it.next_offset() >= oldest);
        if let Some(state) = usable.max_by_key(|it| it.next_offset()) {
            let next = state.next_offset();
            let state = fold::encode_state(&state);
            let snapshot = ConfigSnapshot { next_offset: next, state };
            shared.control.tell(Event::Snapshot(snapshot)).await;
            return settle(shared, next).await;
        }
        let next = page.first_offset + page.records.len() as u64;
        match read(shared, next, 0).await {
            Some(following) => page = following,
            None => break,
        }
    }
    sleep(READ_AGAIN).await;
}

fn snapshot_in(record: &[u8]) -> Option<Box<State>> {
    match fold::decode_record(record)?.change {
        Change::Snapshot(state) => Some(state),
        _ => None,
    }
}

/// Waits until the records before offset `next` are in force, so that the next
/// read starts after them.
async fn settle(shared: &Shared, next: u64) {
    let mut published = shared.published.subscribe();
    let wait = published.wait_for(|it| *it >= next);
    let _ = tokio::time::timeout(Duration::from_millis(500), wait).await;
}

/// Decides when this entry process writes a snapshot to the log.
struct Snapshots {
    seen: u64,
    since: Millis,
    records: u64,
    time: Millis,
}

impl Snapshots {
    fn new(shared: &Shared) -> Snapshots {
        // Random thresholds make it likely that one entry process writes
        // first; the others see its snapshot and wait again. Two snapshots at
        // once do no harm.
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

    /// Writes a snapshot if enough records or enough time passed since the
    /// latest snapshot.
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
        let change = Change::Snapshot(Box::new((*state).clone()));
        let record = Record { command: id::Command::random(), change };
        let outcome = append(shared, &record).await;
        info!(shared.log, "snapshot"; "next" => next, "outcome" => ?outcome);
        if outcome != Append::NotDone {
            shared.published.set_snapshot(next);
        }
    }
}

/// Records whether the log can be read, and logs a change.
fn note(shared: &Shared, up: bool) {
    if shared.published.set_log_up(up) != up {
        let state = if up { "up" } else { "down" };
        info!(shared.log, "log_service"; "state" => state);
    }
}
