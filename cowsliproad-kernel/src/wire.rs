//! The messages between entry processes and agents.
//!
//! Each websocket message carries one [`Frame`] in CBOR. Field names are a
//! single letter on the wire because every token of an answer is sent with
//! them. A stream of answer bytes belongs to one attempt. Its frames carry
//! sequence numbers, and its last frame carries the length and the BLAKE3
//! digest of the whole answer. The receiver can therefore detect a truncated
//! answer, or one mixed from several attempts, regardless of link failures.

use serde::{Deserialize, Serialize};

use crate::{
    Name,
    clock::Millis,
    code::{ExecutionStatus, ResultCode},
    gossip::CrashSuspectRequest,
    id,
};

/// The largest websocket message that a link accepts.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Flow control: answer bytes that an agent may send before the entry process
/// acknowledges these bytes.
pub const SEND_WINDOW_BYTES: u64 = 256 << 10;

/// The length of a BLAKE3 digest.
pub const BLAKE3_DIGEST_BYTES: usize = 32;

/// A message between an entry process and an agent; each websocket message
/// carries one frame.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// The listener asks the dialling process to prove that it has the shared
    /// key.
    #[serde(rename = "ch")]
    Challenge(Challenge),
    /// The dialling process sends its name and the proof that it has the
    /// shared key.
    #[serde(rename = "he")]
    Hello(Hello),
    /// The listener accepts the dialling process and sends its first
    /// heartbeat.
    #[serde(rename = "we")]
    Welcome(Heartbeat),
    /// The entry process submits a request for the target.
    #[serde(rename = "su")]
    SubmitRequest(Box<SubmitRequest>),
    /// The entry process asks for a stored answer.
    #[serde(rename = "rc")]
    FetchAnswerRequest(FetchAnswerRequest),
    /// The entry process needs no more frames of the given attempt.
    #[serde(rename = "de")]
    Detach(id::Attempt),
    /// The caller cancelled its request.
    #[serde(rename = "ca")]
    CancelRequest(CancelRequest),
    /// The entry process has forwarded answer bytes to the caller.
    #[serde(rename = "ak")]
    AnswerAck(AnswerAck),
    /// The agent has recorded the request and is responsible for its answer.
    #[serde(rename = "ac")]
    RequestAccepted(RequestAccepted),
    /// A chunk of the answer.
    #[serde(rename = "d")]
    Data(AnswerData),
    /// The answer is complete.
    #[serde(rename = "en")]
    End(AnswerEnd),
    /// The attempt ended without an answer.
    #[serde(rename = "re")]
    AttemptRefusal(AttemptRefusal),
    /// A heartbeat with the sender's load.
    #[serde(rename = "be")]
    Heartbeat(Heartbeat),
    /// Configuration log records, in offset order and without a gap.
    #[serde(rename = "cr")]
    ConfigRecords(ConfigRecords),
    /// The configuration after all log records up to an offset were applied.
    #[serde(rename = "cs")]
    ConfigSnapshot(ConfigSnapshot),
    /// The sender requests the receiver's configuration, starting at the given
    /// offset of the configuration log.
    #[serde(rename = "cp")]
    PullConfig(u64),
    /// Requests that are suspected of crashing the agent's target.
    #[serde(rename = "sp")]
    CrashSuspectRequests(Vec<CrashSuspectRequest>),
    /// Ticket records and stored answers of an agent that is shutting down.
    #[serde(rename = "ho")]
    Handover(Box<Handover>),
    /// The peer has received the complete handover of the given agent process.
    #[serde(rename = "hd")]
    HandoverDone(id::Incarnation),
}

/// A random nonce that the dialling process must authenticate with the shared
/// key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Challenge {
    /// The random bytes that the proof must cover.
    #[serde(with = "serde_bytes")]
    pub nonce: Vec<u8>,
}

/// The kind of process that dials a link.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ProcessRole {
    /// An entry process, which accepts requests from callers.
    Entry,
    /// An agent, which forwards requests to the target on its VM.
    Agent,
}

/// The dialling process's identity and its proof of the shared key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Hello {
    /// The kind of the dialling process.
    pub role: ProcessRole,
    /// The name of the dialling process.
    pub name: Name,
    /// The availability zone of the dialling process.
    pub zone: Name,
    /// The hash of the challenge's nonce and the name, keyed with the shared
    /// key.
    #[serde(rename = "proof", with = "serde_bytes")]
    pub key_proof: Vec<u8>,
}

/// Whether an agent or entry process accepts new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ProcessPhase {
    /// The process accepts new requests.
    Serving,
    /// The process is draining: it only finishes requests that it accepted.
    Leaving,
}

/// Whether the process of an agent's target is running.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
pub enum TargetProcessState {
    /// The target's process is running, as far as the agent knows.
    #[default]
    Here,
    /// No process listens at the target's address.
    Gone,
}

impl TargetProcessState {
    fn is_running(&self) -> bool {
        *self == TargetProcessState::Here
    }
}

/// A heartbeat with the identity, the state and the load of its sender.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender's name.
    #[serde(rename = "n")]
    pub sender_name: Name,
    /// Identifies the sender's process; a restarted sender has a new
    /// incarnation.
    #[serde(rename = "i")]
    pub incarnation: id::Incarnation,
    /// The sender's monotonic clock.
    #[serde(rename = "t")]
    pub sender_clock: Millis,
    /// Whether the sender accepts new requests.
    #[serde(rename = "p")]
    pub phase: ProcessPhase,
    /// The sender's load.
    #[serde(rename = "l")]
    pub load: AgentLoad,
    /// Whether the process of the sender's target is running.
    #[serde(
        rename = "x",
        default,
        skip_serializing_if = "TargetProcessState::is_running"
    )]
    pub presence: TargetProcessState,
    /// For how long from now the target asked to receive no requests; zero
    /// without a cooldown.
    #[serde(rename = "c", default, skip_serializing_if = "is_zero")]
    pub target_cooldown_remaining: Millis,
    /// Earlier agent processes that handed their tickets over to the sender
    /// when they stopped.
    #[serde(rename = "h")]
    pub taken_over_incarnations: Vec<id::Incarnation>,
    /// The next offset of the configuration log that the sender needs.
    #[serde(rename = "o")]
    pub next_config_offset: u64,
}

fn is_zero(time: &Millis) -> bool {
    time.0 == 0
}

/// An agent's own load.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct AgentLoad {
    /// Requests that wait in the agent's queue.
    #[serde(rename = "q")]
    pub queued_requests: u32,
    /// Requests that the target is processing.
    #[serde(rename = "r")]
    pub running_requests: u32,
    /// The number of requests that the target processes at the same time.
    #[serde(rename = "s")]
    pub target_request_slots: u32,
    /// The mean time that a request occupies a slot, in microseconds.
    #[serde(rename = "u")]
    pub mean_service_time_us: u32,
    /// The number of requests accepted since the agent's process started.
    #[serde(rename = "c")]
    pub accepted_requests_total: u64,
}

/// The priority class of a request.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Urgency {
    /// People are held up until the answer comes: at a gate, a tug or a plate.
    Urgent,
    /// Normal urgency: a user waits interactively for the answer.
    Normal,
    /// The request may wait, but must not be lost.
    Background,
}

/// A request for the target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SubmitRequest {
    /// The attempt that frames with the answer refer to.
    #[serde(rename = "a")]
    pub attempt: id::Attempt,
    /// The identifier of the caller's request.
    #[serde(rename = "r")]
    pub request: id::Request,
    /// The organisation that sent the request.
    #[serde(rename = "o")]
    pub organisation: Name,
    /// The request type.
    #[serde(rename = "k")]
    pub request_type: Name,
    /// The request's priority class.
    #[serde(rename = "u")]
    pub urgency: Urgency,
    /// The time left until the request's deadline.
    #[serde(rename = "d")]
    pub time_left: Millis,
    /// The ticket of a non-repeatable request: a signed token that permits one
    /// run of the request.
    #[serde(rename = "t", with = "serde_bytes")]
    pub ticket: Option<Vec<u8>>,
    /// The caller's idempotency key.
    #[serde(rename = "i")]
    pub idempotency_key: Option<Name>,
    /// Whether the request continues when no caller waits for its answer.
    #[serde(rename = "w")]
    pub persistence: RequestPersistence,
    /// The organisation's weight in the fair queue.
    #[serde(rename = "h")]
    pub queue_weight: u32,
    /// The request body.
    #[serde(rename = "b", with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Whether the agent may run the request.
    #[serde(rename = "m", default)]
    pub mode: SubmitMode,
}

/// Whether an agent may run a submitted request.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
pub enum SubmitMode {
    /// Run the request, unless the agent accepted it before.
    #[default]
    Run,
    /// Report the outcome if the agent accepted the request before. Otherwise
    /// reject the request for good, because the request crashes the targets
    /// that run it.
    #[serde(rename = "Recall")]
    ReportOnly,
}

/// What happens to a request when no caller waits for its answer any more.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RequestPersistence {
    /// The request continues without a caller, and its answer is stored.
    Keep,
    /// When its last caller leaves, the request is cancelled unless it has
    /// started.
    Drop,
}

/// Asks for a stored answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FetchAnswerRequest {
    /// The attempt that frames with the answer refer to.
    #[serde(rename = "a")]
    pub attempt: id::Attempt,
    /// The identifier of the request whose answer is stored.
    #[serde(rename = "r")]
    pub request: id::Request,
    /// The organisation that asks for the answer.
    #[serde(rename = "o")]
    pub organisation: Name,
    /// The offset in the answer of the first byte to send.
    #[serde(rename = "f")]
    pub first_byte_offset: u64,
}

/// The caller cancelled its request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CancelRequest {
    /// The cancelled request.
    #[serde(rename = "r")]
    pub request: id::Request,
    /// The organisation that cancelled the request.
    #[serde(rename = "o")]
    pub organisation: Name,
    /// The attempt that the agent names in the frames that report the outcome
    /// of the cancelled request.
    #[serde(rename = "a")]
    pub attempt: id::Attempt,
}

/// Acknowledges answer bytes that were forwarded to the caller.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct AnswerAck {
    /// The attempt whose answer is acknowledged.
    #[serde(rename = "a")]
    pub attempt: id::Attempt,
    /// The number of answer bytes forwarded to the caller so far.
    #[serde(rename = "n")]
    pub delivered_bytes: u64,
}

/// The agent has recorded the request.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct RequestAccepted {
    /// The attempt whose request was recorded.
    #[serde(rename = "a")]
    pub attempt: id::Attempt,
    /// The identifier of the request under which the answer is stored: an
    /// earlier request if the agent has already received the same idempotency
    /// key or the same ticket of a request that must not run twice.
    #[serde(rename = "r")]
    pub request: id::Request,
}

/// A chunk of an answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AnswerData {
    /// The attempt that the chunk belongs to.
    #[serde(rename = "a")]
    pub attempt: id::Attempt,
    /// The sequence number of the data frame within the attempt, from zero.
    #[serde(rename = "s")]
    pub frame_sequence: u32,
    /// The answer bytes of this chunk.
    #[serde(rename = "b", with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// The format of an answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AnswerFormat {
    /// Text generated by a model.
    Text,
    /// A single JSON value.
    Json,
}

/// The last frame of an answer, which marks the answer as complete.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AnswerEnd {
    /// The attempt that completed.
    #[serde(rename = "a")]
    pub attempt: id::Attempt,
    /// The number of data frames that the attempt sent before this frame.
    #[serde(rename = "s")]
    pub data_frame_count: u32,
    /// The format of the answer.
    #[serde(rename = "f")]
    pub format: AnswerFormat,
    /// The length of the complete answer in bytes.
    #[serde(rename = "l")]
    pub answer_bytes_total: u64,
    /// The BLAKE3 digest of the complete answer.
    #[serde(rename = "d", with = "serde_bytes")]
    pub answer_blake3_digest: Vec<u8>,
}

/// The attempt ended without an answer.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct AttemptRefusal {
    /// The attempt that ended.
    #[serde(rename = "a")]
    pub attempt: id::Attempt,
    /// The reason for the refusal.
    #[serde(rename = "c")]
    pub code: ResultCode,
    /// Whether the request ran.
    #[serde(rename = "r")]
    pub ran: ExecutionStatus,
    /// How long the caller should wait before it retries.
    #[serde(rename = "w")]
    pub retry_after: Option<Millis>,
}

/// Consecutive records of the configuration log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigRecords {
    /// The position in the configuration log of the first record in
    /// `encoded_records`.
    #[serde(rename = "first")]
    pub first_record_offset: u64,
    /// The encoded log records, one for each offset.
    #[serde(rename = "records")]
    pub encoded_records: Vec<serde_bytes::ByteBuf>,
}

/// The configuration after all log records up to an offset were applied.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigSnapshot {
    /// The offset in the configuration log after the last applied record.
    #[serde(rename = "next")]
    pub next_offset: u64,
    /// The encoded configuration.
    #[serde(rename = "state", with = "serde_bytes")]
    pub encoded_config: Vec<u8>,
}

/// Ticket records and stored answers of an agent that is shutting down.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Handover {
    /// The agent process that is shutting down.
    pub incarnation: id::Incarnation,
    /// The monotonic clock of the agent that is shutting down.
    #[serde(rename = "clock")]
    pub sender_clock: Millis,
    /// The encoded ticket records.
    #[serde(rename = "tickets", with = "serde_bytes")]
    pub encoded_tickets: Vec<u8>,
    /// A batch of the stored answers.
    #[serde(rename = "answers")]
    pub stored_answers: Vec<StoredAnswer>,
    /// Whether more handover messages follow.
    #[serde(rename = "more")]
    pub has_more: bool,
}

/// The outcome of a finished request, in the form in which a stopping agent
/// hands it over to a peer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// The request that was answered.
    pub request: id::Request,
    /// The organisation that owns the answer.
    pub organisation: Name,
    /// The content of the answer, or the reason why there is none.
    pub result: Result<AnswerContent, RequestFailure>,
}

/// The content of a complete answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AnswerContent {
    /// The format of the answer.
    pub format: AnswerFormat,
    /// The answer bytes.
    #[serde(rename = "bytes", with = "serde_bytes")]
    pub answer_bytes: Vec<u8>,
}

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestFailure {
    /// The reason for the failure.
    pub code: ResultCode,
    /// Whether the request ran.
    pub ran: ExecutionStatus,
    /// How long the caller should wait before it retries.
    pub retry_after: Option<Millis>,
}

impl RequestFailure {
    /// Creates a failure without a retry delay.
    pub fn new(
        code: ResultCode,
        execution: ExecutionStatus,
    ) -> RequestFailure {
        RequestFailure { code, ran: execution, retry_after: None }
    }

    /// Returns the same failure with a retry delay.
    pub fn with_retry_after(self, wait: Millis) -> RequestFailure {
        RequestFailure { retry_after: Some(wait), ..self }
    }
}

/// Encodes a frame as CBOR.
pub fn encode(frame: &Frame) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(128);
    ciborium::into_writer(frame, &mut bytes)
        .expect("every frame can be encoded as CBOR");
    bytes
}

/// Decodes a frame from CBOR; returns `None` for invalid bytes.
pub fn decode(bytes: &[u8]) -> Option<Frame> {
    ciborium::de::from_reader_with_recursion_limit(bytes, MAX_NESTING_DEPTH)
        .ok()
}

/// The deepest nesting that a valid frame can have; limits recursion on
/// hostile input.
const MAX_NESTING_DEPTH: usize = 16;
