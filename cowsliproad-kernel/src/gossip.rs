//! Gossip datagrams between entry processes, and between entry processes and
//! the agents on the VMs of targets.
//!
//! Datagrams are repeated or corrected within a second, so a lost datagram
//! costs little and a stopped peer costs nothing, and there is no connection
//! that can hang. Each datagram is one CBOR value. The configuration is large
//! and must arrive complete, so entry processes fetch the configuration from
//! one another over HTTP.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::{
    Name,
    clock::Millis,
    position::{LogEra, LogPosition},
};

/// Encodes a message as CBOR. Every message type of this project can be
/// encoded.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    let encoded = ciborium::into_writer(message, &mut bytes);
    debug_assert!(encoded.is_ok());
    bytes
}

/// Decodes a message from CBOR; returns `None` for invalid bytes.
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}

/// Returns an identifier for a list of targets, which is never 0. An agent
/// receives each list once, and later messages carry only its identifier:
/// sending the lists of 72 engines to 72 agents from 31 entry processes every
/// second made up nearly all traffic between availability zones.
pub fn target_list_id(targets: &[SocketAddr]) -> u64 {
    let mut hasher = DefaultHasher::new();
    targets.hash(&mut hasher);
    hasher.finish().max(1)
}

/// The largest datagram that is received.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;

/// A datagram that an entry process can receive.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Datagram {
    /// The gossip message of another entry process.
    #[serde(rename = "d")]
    Digest(Box<GossipDigest>),
    /// The load report of an engine, sent by its agent.
    #[serde(rename = "l")]
    Load(EngineLoad),
    /// The report of an agent that its engine's process is gone.
    #[serde(rename = "x")]
    EngineExit(EngineExit),
    /// The request of another entry process for a permit to send to a
    /// rate-limited target.
    #[serde(rename = "p")]
    PermitRequest(PermitRequest),
    /// The reply to a request for a permit.
    #[serde(rename = "r")]
    PermitReply(PermitReply),
    /// The retries that another entry process has spent.
    #[serde(rename = "s")]
    RetryReport(RetryReport),
    /// The retries that an earlier process at the receiver's address spent.
    #[serde(rename = "h")]
    RetryHistory(RetryHistory),
}

/// The gossip message that entry processes broadcast to one another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GossipDigest {
    /// The name of the sender's VM.
    #[serde(rename = "v")]
    pub sender_vm: Name,
    /// The address at which the sender receives datagrams and HTTP requests
    /// from other entry processes.
    #[serde(rename = "a")]
    pub sender_address: SocketAddr,
    /// When the sender sent the message, by its own clock; `None` from senders
    /// that don't say.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub sent_at: Option<SenderTime>,
    /// The version of the configuration that the sender uses; 0 for none.
    #[serde(rename = "c")]
    pub config_version: u64,
    /// The highest era of the platform's log that the sender has observed. The
    /// era is raised each time the log comes back from an older copy.
    #[serde(rename = "y", default)]
    pub log_era: LogEra,
    /// The time since the sender, or an entry process whose gossip reached the
    /// sender, last read the targets from the log in the era `log_era`, in
    /// milliseconds.
    #[serde(rename = "r")]
    pub targets_read_age_ms: u64,
    /// The log offset, in the era `log_era`, of the latest change of a target
    /// that the sender knows of.
    #[serde(rename = "n")]
    pub last_target_change_offset: u64,
    /// The position up to which the sender knows the targets in the log.
    #[serde(rename = "f", default)]
    pub targets_read_position: LogPosition,
    /// The end of the latest complete list of the log's targets that
    /// contradicted what some entry process knew.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub last_contradiction: Option<LogPosition>,
    /// The time since the latest read of the configuration in the era
    /// `log_era`, by the sender or an entry process whose gossip reached the
    /// sender, in milliseconds; `None` before any read. The log had no newer
    /// version than `config_version` then.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub config_confirmed_age_ms: Option<u64>,
    /// Targets that the sender recently saw leave for good, each with its
    /// start time as a Unix millisecond.
    #[serde(rename = "l")]
    pub departed_targets_with_start_unix_ms: Vec<(Name, u64)>,
    /// Targets whose announcements recently expired or were deleted in the
    /// log, each with its start time as a Unix millisecond and the sequence
    /// number of its last announcement.
    #[serde(rename = "w")]
    pub withdrawn_targets_with_start_and_sequence: Vec<(Name, u64, u64)>,
    /// For each of these targets, in the same order, the position in the log
    /// after the withdrawal of its announcement. Empty from senders that don't
    /// state positions.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub withdrawal_end_positions: Vec<LogPosition>,
    /// Other entry processes whose gossip recently reached the sender.
    #[serde(rename = "p")]
    pub peers: Vec<SocketAddr>,
    /// The sender's availability zone.
    #[serde(rename = "z", default = "unreported_zone")]
    pub sender_zone: Name,
    /// Quarantined requests, and recent changes to what the sender knows about
    /// crash-inducing requests.
    #[serde(
        rename = "q",
        default,
        skip_serializing_if = "CrashSuspectRequests::is_empty"
    )]
    pub suspected_requests: CrashSuspectRequests,
    /// Identifiers of reported target crashes that turned out to be false.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub retracted_crash_ids: Vec<u64>,
    /// Rate limits of targets, including limits that were recently lifted.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub rate_limits: Vec<RateLimit>,
}

/// A time by the clock of a message's sender.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SenderTime {
    /// Identifies the sender's process. The clock starts with the process.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// The reading of the clock, in milliseconds.
    #[serde(rename = "c")]
    pub clock: Millis,
}

/// The most recent rate limit that a target reported.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RateLimit {
    /// The name of the target.
    #[serde(rename = "t")]
    pub target: Name,
    /// When the target started, as a Unix millisecond; 0 if the target doesn't
    /// report its start time.
    #[serde(rename = "b", default)]
    pub target_start_unix_ms: u64,
    /// The limit in requests per second from all VMs together; `None` if the
    /// target states no limit.
    #[serde(rename = "r")]
    pub requests_per_second: Option<f64>,
    /// For how long the rate limit has been in force, in milliseconds.
    #[serde(rename = "i")]
    pub rate_limit_age: Millis,
}

/// Asks another entry process for a permit to send a request to a rate-limited
/// target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PermitRequest {
    /// Identifies the permit request; the reply repeats the same number.
    #[serde(rename = "n")]
    pub request_id: u64,
    /// The rate limit of the target, as last known to the entry process that
    /// requests the permit.
    #[serde(rename = "l")]
    pub rate_limit: RateLimit,
    /// How long the caller's request can wait for the permit, in milliseconds.
    #[serde(rename = "w")]
    pub max_permit_wait: Millis,
    /// How many more times the permit request may be forwarded to another
    /// entry process.
    #[serde(rename = "h")]
    pub forwards_left: u8,
}

/// The reply to a request for a permit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PermitReply {
    /// Identifies the permit request that this is the reply to.
    #[serde(rename = "n")]
    pub request_id: u64,
    /// The rate limit of the target, as last known to the entry process that
    /// replies.
    #[serde(rename = "l")]
    pub rate_limit: RateLimit,
    /// Whether the permit to send a request to the target is granted.
    #[serde(rename = "g")]
    pub permit_granted: bool,
    /// A wait in milliseconds. If the permit is granted: until the request may
    /// be sent to the target. If it is not: until the permit may be requested
    /// again.
    #[serde(rename = "w")]
    pub wait_before_send_or_retry: Millis,
}

/// The retries that an entry process has spent within the window of the retry
/// budget, and those that it may spend before its next report. The receivers
/// keep the latest report for the next process at the sender's address.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RetryReport {
    /// The address at which the sender receives messages.
    #[serde(rename = "a")]
    pub sender_address: SocketAddr,
    /// When the sender sent the report, by its own clock.
    #[serde(rename = "t")]
    pub sent_at: SenderTime,
    /// Whether the sender asks for its own address's history, or ends.
    #[serde(rename = "p")]
    pub state: ReporterState,
    /// For how long the sender knows all retries from its address, in
    /// milliseconds.
    #[serde(rename = "k")]
    pub known_for: Millis,
    /// The number of entry processes that share the budget, as the sender
    /// counts them.
    #[serde(rename = "n")]
    pub entry_count: u32,
    /// The windows that hold retries; only the changed one in the report of a
    /// retry.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<ServiceRetries>,
}

/// What the sender of a retry report is doing.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReporterState {
    /// The process doesn't know yet what was spent before its start, and asks
    /// for it.
    #[serde(rename = "s")]
    Starting,
    /// The process serves.
    #[serde(rename = "r")]
    Running,
    /// The process ends after this report.
    #[serde(rename = "e")]
    Stopped,
}

/// The retries of one service within the window of the retry budget.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceRetries {
    /// The name of the service.
    #[serde(rename = "s")]
    pub service: Name,
    /// Retries that the sender may spend before its next report.
    #[serde(rename = "r")]
    pub reserved: u32,
    /// The counts within the window.
    #[serde(rename = "b")]
    pub buckets: Vec<RetryBucket>,
}

/// Requests and retries within a time of [`RETRY_BUCKET`], encoded as three
/// numbers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(u16, u32, u32)", into = "(u16, u32, u32)")]
pub struct RetryBucket {
    /// The age of the bucket's end, in buckets.
    pub age: u16,
    /// Requests that are no retries.
    pub requests: u32,
    /// Retries spent.
    pub retries: u32,
}

impl From<(u16, u32, u32)> for RetryBucket {
    fn from((age, requests, retries): (u16, u32, u32)) -> RetryBucket {
        RetryBucket { age, requests, retries }
    }
}

impl From<RetryBucket> for (u16, u32, u32) {
    fn from(bucket: RetryBucket) -> (u16, u32, u32) {
        (bucket.age, bucket.requests, bucket.retries)
    }
}

/// The length of a bucket in a retry report.
pub const RETRY_BUCKET: Millis = Millis(500);

/// Answers a process that asks what was spent at its address before its start.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RetryHistory {
    /// Identifies the process that asked.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// For how long the sender has kept reports, in milliseconds.
    #[serde(rename = "w")]
    pub watched_for: Millis,
    /// The last report of the process before; `None` if the sender has none.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub earlier: Option<EarlierReport>,
}

/// The last report of a process that has ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EarlierReport {
    /// The time since the process was last heard from, in milliseconds.
    #[serde(rename = "a")]
    pub heard_age: Millis,
    /// Whether the process can have spent nothing that it didn't report.
    #[serde(rename = "c")]
    pub is_complete: bool,
    /// For how long that process knew all retries from its address, in
    /// milliseconds.
    #[serde(rename = "k")]
    pub known_for: Millis,
    /// The number of entry processes that it counted.
    #[serde(rename = "n")]
    pub entry_count: u32,
    /// Its windows, each with the time since it was reported.
    #[serde(rename = "s")]
    pub services: Vec<(Millis, ServiceRetries)>,
}

/// Returns the empty name, which stands for the availability zone of a sender
/// that reports none.
fn unreported_zone() -> Name {
    "".into()
}

/// A request, or a part of prompts, that is suspected of crashing the targets
/// that run it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashSuspectRequest {
    /// Identifies the request's content, by a hash of the caller, the path and
    /// the body, or the part, by a hash of its id with the highest bit set.
    #[serde(rename = "w")]
    pub request_hash: u64,
    /// Target crashes attributed to the request, each identified by a hash of
    /// the target's name and start time.
    #[serde(rename = "e")]
    pub crash_ids: Vec<u64>,
    /// Crashes that no longer count against the suspected request, because
    /// some target completed the request after these crashes.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub excused_crash_ids: Vec<u64>,
    /// Whether some target is known to have survived the request, that is,
    /// completed the request without a crash.
    #[serde(rename = "s")]
    pub completed_without_crash: bool,
    /// The time since the suspected request was last received from a caller,
    /// in milliseconds.
    #[serde(rename = "i")]
    pub since_last_received: Millis,
    /// For how long the suspected request has been rejected, in milliseconds;
    /// `None` if the request is accepted.
    #[serde(rename = "r")]
    pub rejected_for: Option<Millis>,
    /// For how much longer the suspected request is suspended, in
    /// milliseconds; `None` if the request isn't suspended.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub suspension_left: Option<Millis>,
    /// How many trials of the refused prompt part crashed their targets.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub failed_trials: u32,
}

/// Asks an agent to send load reports to the entry process that sends this
/// message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadSubscription {
    /// The addresses of the service's engines, each with an agent on its VM.
    /// Empty if the receiving agent has reported that it already has this list.
    #[serde(rename = "t")]
    pub targets: Vec<SocketAddr>,
    /// The identifier of the list of targets; see [`target_list_id`].
    #[serde(rename = "l")]
    pub target_list_id: u64,
    /// The number of sets of layers that have their own expert map.
    #[serde(rename = "s")]
    pub layer_set_count: u16,
    /// The number of experts in each set of layers.
    #[serde(rename = "e")]
    pub experts_per_layer_set: u16,
    /// The number of expert slots on each rank in each set of layers.
    #[serde(rename = "p")]
    pub expert_slots_per_layer_set: u16,
    /// The number of experts in each set of layers that one map change may add
    /// to a rank.
    #[serde(rename = "n")]
    pub max_experts_added_to_rank_per_layer_set: u16,
    /// How long a rank takes to copy an expert, in milliseconds.
    #[serde(rename = "c")]
    pub expert_copy_ms: u64,
    /// The highest era of the platform's log that the sender has observed. The
    /// era is raised each time the log comes back from an older copy.
    #[serde(rename = "y", default)]
    pub log_era: LogEra,
}

/// An agent's report to entry processes on the state of its engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineLoad {
    /// The address at which the engine listens.
    #[serde(rename = "a")]
    pub engine_address: SocketAddr,
    /// The number of requests in the engine's current batch.
    #[serde(rename = "r")]
    pub running_requests: u32,
    /// The number of requests that wait in the engine's queue.
    #[serde(rename = "q")]
    pub queued_requests: u32,
    /// How long the engine takes for its work, in percent of the usual time.
    #[serde(rename = "p")]
    pub service_time_percent_of_normal: u32,
    /// The name of the engine's group.
    #[serde(rename = "g")]
    pub group_name: Name,
    /// The number of the group's current formation.
    #[serde(rename = "e")]
    pub group_epoch: u64,
    /// The number of the last forward pass that the engine began.
    #[serde(rename = "s")]
    pub last_forward_pass: u64,
    /// Whether the engine's group accepts requests.
    #[serde(rename = "o")]
    pub group_accepts_requests: bool,
    /// The identifier of the list of engines that the agent has; 0 for none.
    #[serde(rename = "l")]
    pub target_list_id: u64,
    /// When the engine started, as a Unix millisecond; 0 if the engine doesn't
    /// report its start time.
    #[serde(rename = "b", default)]
    pub engine_start_unix_ms: u64,
    /// Whether the engine is draining, according to its last reply to the
    /// agent.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    pub draining: bool,
    /// The step time of the group under the expert map in use, in percent of
    /// the step time under perfect balance, as the group's coordinator
    /// estimates it; `None` from all other agents.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub expert_map_skew_percent: Option<u32>,
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

fn is_false(value: &bool) -> bool {
    !value
}

/// Suspected requests, encoded compactly. Most often one target crashed while
/// it ran many requests, and nothing else is known of these requests. Each such
/// request takes 8 bytes instead of about 35.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashSuspectRequests {
    /// Requests of which only one crash is known: for each crash, its
    /// identifier and the concatenated hashes of the requests.
    #[serde(rename = "o")]
    single_crash_requests: Vec<(u64, ByteBuf)>,
    /// All other suspected requests.
    #[serde(rename = "m")]
    other_requests: Vec<CrashSuspectRequest>,
}

/// The encoded size of the hash that identifies a suspected request.
const REQUEST_HASH_BYTES: usize = 8;

/// Whether nothing is known of a suspected request but the crashes attributed
/// to it.
fn has_only_crash_ids(request: &CrashSuspectRequest) -> bool {
    !request.completed_without_crash
        && request.rejected_for.is_none()
        && request.suspension_left.is_none()
        && request.failed_trials == 0
}

impl CrashSuspectRequests {
    /// Encodes suspected requests compactly.
    pub fn pack(requests: Vec<CrashSuspectRequest>) -> CrashSuspectRequests {
        let mut single_crash_requests: BTreeMap<u64, ByteBuf> =
            BTreeMap::new();
        let mut other_requests = Vec::new();
        for request in requests {
            match request.crash_ids[..] {
                [crash] if has_only_crash_ids(&request) => {
                    let hashes =
                        single_crash_requests.entry(crash).or_default();
                    hashes.extend_from_slice(
                        &request.request_hash.to_be_bytes(),
                    );
                }
                _ => other_requests.push(request),
            }
        }
        CrashSuspectRequests {
            single_crash_requests: single_crash_requests.into_iter().collect(),
            other_requests,
        }
    }

    /// Whether there are no suspected requests.
    pub fn is_empty(&self) -> bool {
        self.single_crash_requests.is_empty() && self.other_requests.is_empty()
    }

    /// Decodes the suspected requests. A compactly encoded request counts as
    /// received just now, because such requests are broadcast for only a few
    /// seconds.
    pub fn unpack(&self) -> impl Iterator<Item = CrashSuspectRequest> {
        let single_crash_requests =
            self.single_crash_requests.iter().flat_map(|(crash, hashes)| {
                hashes.chunks_exact(REQUEST_HASH_BYTES).map(|hash| {
                    CrashSuspectRequest {
                        request_hash: hash.iter().fold(0, |value, byte| {
                            value << 8 | u64::from(*byte)
                        }),
                        crash_ids: vec![*crash],
                        excused_crash_ids: Vec::new(),
                        completed_without_crash: false,
                        since_last_received: Millis(0),
                        rejected_for: None,
                        suspension_left: None,
                        failed_trials: 0,
                    }
                })
            });
        single_crash_requests.chain(self.other_requests.iter().cloned())
    }
}

/// An agent's report to entry processes that its engine's process is gone. The
/// agent runs on the same VM and sends this report only when no process listens
/// on the engine's port, so a network failure is not mistaken for a crash.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineExit {
    /// The address at which the engine listened.
    #[serde(rename = "a")]
    pub engine_address: SocketAddr,
    /// When the engine had started, as a Unix millisecond; 0 if the engine
    /// didn't report its start time.
    #[serde(rename = "b")]
    pub engine_start_unix_ms: u64,
}
