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
    ConfigState,
    fold::{self, ConfigChange, ConfigRecord},
};
use cowsliproad_kernel::{
    clock::Millis,
    id,
    wire::{ConfigRecords, ConfigSnapshot},
};
use cowsliproad_net::{
    client::Error,
    timer::{self, sleep},
};
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::Deserialize;
use serde_bytes::ByteBuf;
use slog::{info, warn};

use crate::{EntryState, control::ControlEvent};

/// The timeout of one append to the log.
const LOG_APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the log holds a read open for new records, in milliseconds.
const LONG_POLL_WAIT_MS: u64 = 1_000;

/// The timeout of one read of the log.
const LOG_READ_TIMEOUT: Duration = Duration::from_secs(3);

/// The backoff after a failed read of the log.
const LOG_READ_RETRY_BACKOFF: Duration = Duration::from_millis(200);

/// The maximum size of an HTTP response of the log, in bytes.
const MAX_LOG_RESPONSE_BYTES: usize = 64 << 20;

/// The minimum number of records between two snapshots. At 40,000 changes a
/// day there is a snapshot every two and a half hours.
pub const MIN_RECORDS_BETWEEN_SNAPSHOTS: u64 = 4_096;

/// The outcome of an append to the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendOutcome {
    /// The record was appended at this offset.
    Done(u64),
    /// The log refused the record or could not be reached.
    NotDone,
    /// The response of the log was lost or could not be read.
    Unknown,
}

#[derive(Deserialize)]
struct AppendReply {
    offset: u64,
}

#[derive(Deserialize)]
struct LogPage {
    #[serde(rename = "first")]
    first_record_offset: u64,
    records: Vec<String>,
}

/// Appends a record to the log.
pub async fn append_record(
    shared: &EntryState,
    record: &ConfigRecord,
) -> AppendOutcome {
    let body = Full::new(Bytes::from(fold::encode_record(record)));
    let uri =
        format!("http://{}/records", shared.settings.log_service_address);
    let Ok(request) = Request::post(uri).body(body) else {
        return AppendOutcome::NotDone;
    };
    match shared
        .platform_client
        .call(request, MAX_LOG_RESPONSE_BYTES, LOG_APPEND_TIMEOUT)
        .await
    {
        Err(Error::Connect(_) | Error::Refused(_)) => AppendOutcome::NotDone,
        Err(_) => AppendOutcome::Unknown,
        Ok(answer) if answer.status() == StatusCode::OK => {
            match serde_json::from_slice::<AppendReply>(answer.body()) {
                Ok(appended) => AppendOutcome::Done(appended.offset),
                Err(_) => AppendOutcome::Unknown,
            }
        }
        Ok(answer) if answer.status() == StatusCode::SERVICE_UNAVAILABLE => {
            AppendOutcome::NotDone
        }
        Ok(_) => AppendOutcome::Unknown,
    }
}

/// Reads the log while the entry process runs.
pub async fn follow_log(shared: Arc<EntryState>) {
    let mut snapshot_schedule = SnapshotSchedule::new(&shared);
    loop {
        let next =
            shared.published_view.current_view().config_state.next_offset();
        let page = read_page(&shared, next, LONG_POLL_WAIT_MS).await;
        record_log_reachability(&shared, page.is_some());
        match page {
            None => sleep(LOG_READ_RETRY_BACKOFF).await,
            Some(page) if page.first_record_offset > next => {
                restore_from_snapshot(&shared, page).await;
            }
            Some(page) => {
                let next = page.first_record_offset
                    + page.encoded_records.len() as u64;
                if !page.encoded_records.is_empty() {
                    shared
                        .control_queue
                        .send_event(ControlEvent::Records(page))
                        .await;
                    wait_until_published(&shared, next).await;
                }
                snapshot_schedule.write_snapshot_if_due(&shared).await;
            }
        }
    }
}

/// Reads a page of records from an offset on. Returns `None` if the read
/// failed.
async fn read_page(
    shared: &EntryState,
    from: u64,
    wait_ms: u64,
) -> Option<ConfigRecords> {
    let uri = format!(
        "http://{}/records?from={from}&wait_ms={wait_ms}",
        shared.settings.log_service_address
    );
    let request = Request::get(uri).body(Full::default()).ok()?;
    let answer = shared
        .platform_client
        .call(request, MAX_LOG_RESPONSE_BYTES, LOG_READ_TIMEOUT)
        .await
        .ok()?;
    if answer.status() != StatusCode::OK {
        return None;
    }
    let page: LogPage = serde_json::from_slice(answer.body()).ok()?;
    let decoded = page.records.iter().map(|it| STANDARD.decode(it));
    let records: Result<Vec<_>, _> = decoded.collect();
    let encoded_records =
        records.ok()?.into_iter().map(ByteBuf::from).collect();
    Some(ConfigRecords {
        first_record_offset: page.first_record_offset,
        encoded_records,
    })
}

/// Searches the log for a snapshot when the records that come next are no
/// longer in the log. A peer or an agent may send a snapshot meanwhile, so a
/// search that finds none is simply repeated.
async fn restore_from_snapshot(shared: &EntryState, mut page: ConfigRecords) {
    let oldest = page.first_record_offset;
    warn!(shared.logger, "log_trimmed"; "first" => oldest);
    while !page.encoded_records.is_empty() {
        let states =
            page.encoded_records.iter().filter_map(|it| decode_snapshot(it));
        let usable = states.filter(|it| it.next_offset() >= oldest);
        if let Some(state) = usable.max_by_key(|it| it.next_offset()) {
            let next = state.next_offset();
            let encoded_config = fold::encode_state(&state);
            let snapshot =
                ConfigSnapshot { next_offset: next, encoded_config };
            shared
                .control_queue
                .send_event(ControlEvent::Snapshot(snapshot))
                .await;
            return wait_until_published(shared, next).await;
        }
        let next =
            page.first_record_offset + page.encoded_records.len() as u64;
        match read_page(shared, next, 0).await {
            Some(following) => page = following,
            None => break,
        }
    }
    sleep(LOG_READ_RETRY_BACKOFF).await;
}

fn decode_snapshot(record: &[u8]) -> Option<Box<ConfigState>> {
    match fold::decode_record(record)?.change {
        ConfigChange::Snapshot(state) => Some(state),
        _ => None,
    }
}

/// Waits until the records before `next_offset` are in force, so that the next
/// read starts after them.
async fn wait_until_published(shared: &EntryState, next_offset: u64) {
    let mut published = shared.published_view.subscribe_offsets();
    let wait = published.wait_for(|it| *it >= next_offset);
    let _ = timer::timeout(Duration::from_millis(500), wait).await;
}

/// Decides when this entry process writes a snapshot to the log.
struct SnapshotSchedule {
    snapshot_offset: u64,
    snapshot_seen_at: Millis,
    record_threshold: u64,
    age_threshold: Millis,
}

impl SnapshotSchedule {
    fn new(shared: &EntryState) -> SnapshotSchedule {
        // Random thresholds make it likely that one entry process writes
        // first; the others see its snapshot and wait again. Two snapshots at
        // once do no harm.
        let max_interval = shared.settings.max_snapshot_interval.0;
        SnapshotSchedule {
            snapshot_offset: 0,
            snapshot_seen_at: Millis::now(),
            record_threshold: rand::random_range(
                MIN_RECORDS_BETWEEN_SNAPSHOTS
                    ..MIN_RECORDS_BETWEEN_SNAPSHOTS * 3 / 2,
            ),
            age_threshold: Millis(rand::random_range(
                max_interval / 2..=max_interval,
            )),
        }
    }

    /// Writes a snapshot if enough records or enough time passed since the
    /// latest snapshot.
    async fn write_snapshot_if_due(&mut self, shared: &EntryState) {
        let now = Millis::now();
        let seen = shared.published_view.snapshot_offset();
        if seen != self.snapshot_offset {
            self.snapshot_offset = seen;
            self.snapshot_seen_at = now;
        }
        let state = shared.published_view.current_view().config_state.clone();
        let next = state.next_offset();
        let enough_records =
            next >= self.snapshot_offset + self.record_threshold;
        let enough_time =
            next > 1 && now.since(self.snapshot_seen_at) >= self.age_threshold;
        if !enough_records && !enough_time {
            return;
        }
        self.snapshot_seen_at = now;
        let change = ConfigChange::Snapshot(Box::new((*state).clone()));
        let record = ConfigRecord { command: id::Command::random(), change };
        let outcome = append_record(shared, &record).await;
        info!(shared.logger, "snapshot"; "next" => next, "outcome" => ?outcome);
        if outcome != AppendOutcome::NotDone {
            shared.published_view.record_snapshot_offset(next);
        }
    }
}

/// Records whether the log can be read, and logs a change.
fn record_log_reachability(shared: &EntryState, reachable: bool) {
    if shared.published_view.set_log_reachable(reachable) != reachable {
        let state = if reachable { "up" } else { "down" };
        info!(shared.logger, "log_service"; "state" => state);
    }
}
