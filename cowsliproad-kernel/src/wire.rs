//! The messages between entries and agents.
//!
//! One websocket message carries one [`Frame`] in CBOR. Field names are kept
//! to a letter because they travel with every token. A stream of answer bytes
//! belongs to one attempt; its frames carry a sequence number, and its last
//! frame carries the length and the BLAKE3 digest of the whole, so a receiver
//! can tell a whole answer from a cut or mixed one whatever the links did.

use serde::{Deserialize, Serialize};

use crate::{
    Name,
    clock::Millis,
    code::{Code, Ran},
    gossip::Suspect,
    id,
};

/// The largest message a link accepts, in bytes.
pub const MAX_MESSAGE: usize = 16 << 20;

/// Answer bytes an agent may send ahead of the entry's acknowledgement.
pub const WINDOW: u64 = 256 << 10;

/// The length of a BLAKE3 digest in bytes.
pub const DIGEST: usize = 32;

/// One message on a link.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// The listener asks for proof of the shared key.
    #[serde(rename = "ch")]
    Challenge(Challenge),
    /// The dialler names itself and proves the key.
    #[serde(rename = "he")]
    Hello(Hello),
    /// The listener takes the dialler in.
    #[serde(rename = "we")]
    Welcome(Beat),
    /// Work for the target.
    #[serde(rename = "su")]
    Submit(Box<Submit>),
    /// A kept answer is asked for.
    #[serde(rename = "rc")]
    Reclaim(Reclaim),
    /// The attempt's frames are no longer wanted.
    #[serde(rename = "de")]
    Detach(id::Attempt),
    /// The caller gave up the request.
    #[serde(rename = "ca")]
    Cancel(Cancel),
    /// Bytes were passed on to the caller.
    #[serde(rename = "ak")]
    Ack(Ack),
    /// The agent recorded the work and will answer for it.
    #[serde(rename = "ac")]
    Accepted(Accepted),
    /// A piece of the answer.
    #[serde(rename = "d")]
    Data(Data),
    /// The answer is whole.
    #[serde(rename = "en")]
    End(End),
    /// The attempt ended without an answer.
    #[serde(rename = "re")]
    Refusal(Refusal),
    /// Heartbeat with load.
    #[serde(rename = "be")]
    Beat(Beat),
    /// Log records, in offset order and without a gap.
    #[serde(rename = "cr")]
    Records(Records),
    /// A folded configuration.
    #[serde(rename = "cs")]
    Snapshot(Snapshot),
    /// The sender asks for the receiver's folded configuration.
    #[serde(rename = "cp")]
    Pull(u64),
    /// Work that ended the agent's target.
    #[serde(rename = "sp")]
    Suspects(Vec<Suspect>),
    /// A stopping agent's ticket records and kept answers.
    #[serde(rename = "ho")]
    Handover(Box<Handover>),
    /// The peer has everything that was handed over.
    #[serde(rename = "hd")]
    HandoverDone(id::Incarnation),
}

/// A random value that the dialler must sign.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Challenge {
    /// The value.
    #[serde(with = "serde_bytes")]
    pub nonce: Vec<u8>,
}

/// What sort of process is at the other end.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Role {
    /// An entry.
    Entry,
    /// An agent.
    Agent,
}

/// The dialler's introduction.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Hello {
    /// What dials.
    pub role: Role,
    /// Its name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// The keyed hash of the nonce and the name.
    #[serde(with = "serde_bytes")]
    pub proof: Vec<u8>,
}

/// Where an agent or entry is in its life.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Phase {
    /// It takes new work.
    Serving,
    /// It finishes what it has.
    Leaving,
}

/// Whether the process of an agent's target is there.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
pub enum Presence {
    /// It is, as far as the agent knows.
    #[default]
    Here,
    /// Nobody listens at its address.
    Gone,
}

impl Presence {
    fn is_here(&self) -> bool {
        *self == Presence::Here
    }
}

/// A heartbeat.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Beat {
    /// The sender's name.
    #[serde(rename = "n")]
    pub name: Name,
    /// The sender's process start.
    #[serde(rename = "i")]
    pub incarnation: id::Incarnation,
    /// The sender's monotonic clock.
    #[serde(rename = "t")]
    pub clock: Millis,
    /// Whether it takes new work.
    #[serde(rename = "p")]
    pub phase: Phase,
    /// Its load.
    #[serde(rename = "l")]
    pub load: Load,
    /// Whether the target's process is there.
    #[serde(rename = "x", default, skip_serializing_if = "Presence::is_here")]
    pub presence: Presence,
    /// How long the target asked to be left alone from now on.
    #[serde(rename = "c", default, skip_serializing_if = "is_zero")]
    pub cooldown: Millis,
    /// Earlier incarnations whose tickets it answers for.
    #[serde(rename = "h")]
    pub holds: Vec<id::Incarnation>,
    /// The configuration offset it has folded up to.
    #[serde(rename = "o")]
    pub offset: u64,
}

fn is_zero(time: &Millis) -> bool {
    time.0 == 0
}

/// What an agent knows of its own load.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Requests waiting.
    #[serde(rename = "q")]
    pub queued: u32,
    /// Requests at the target.
    #[serde(rename = "r")]
    pub running: u32,
    /// Requests the target takes at once.
    #[serde(rename = "s")]
    pub slots: u32,
    /// Mean time a request holds a slot, in microseconds.
    #[serde(rename = "u")]
    pub service_us: u32,
    /// Requests taken in since the process started.
    #[serde(rename = "c")]
    pub count: u64,
}

/// How soon work is needed.
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
    /// People wait for it at a gate, a tug or a plate.
    Urgent,
    /// A person waits for it at a desk.
    Normal,
    /// It may wait, but must not vanish.
    Background,
}

/// Work for the target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Submit {
    /// The attempt whose frames answer this.
    #[serde(rename = "a")]
    pub attempt: id::Attempt,
    /// The caller's request.
    #[serde(rename = "r")]
    pub request: id::Request,
    /// Who asks.
    #[serde(rename = "o")]
    pub organisation: Name,
    /// The request type.
    #[serde(rename = "k")]
    pub request_type: Name,
    /// How soon it is needed.
    #[serde(rename = "u")]
    pub urgency: Urgency,
    /// Time left until the deadline.
    #[serde(rename = "d")]
    pub budget: Millis,
    /// The ticket of work that must not be repeated.
    #[serde(rename = "t", with = "serde_bytes")]
    pub ticket: Option<Vec<u8>>,
    /// The caller's idempotency key.
    #[serde(rename = "i")]
    pub key: Option<Name>,
    /// Whether the work goes on when nobody listens.
    #[serde(rename = "w")]
    pub persistence: Persistence,
    /// The organisation's weight in the queue.
    #[serde(rename = "h")]
    pub share: u32,
    /// The caller's body.
    #[serde(rename = "b", with = "serde_bytes")]
    pub body: Vec<u8>,
    /// What the agent may do.
    #[serde(rename = "m", default)]
    pub permit: Permit,
}

/// What an agent may do with work that is submitted.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
pub enum Permit {
    /// Run it, unless it was taken in before.
    #[default]
    Run,
    /// Only tell what became of it, if it was taken in before. Otherwise it
    /// is refused for good: it ends the targets that run it.
    Recall,
}

/// What becomes of work whose last listener left.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Persistence {
    /// It goes on, and its answer is kept.
    Keep,
    /// It is cancelled if it has not started.
    Drop,
}

/// A kept answer is asked for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Reclaim {
    /// The attempt whose frames answer this.
    #[serde(rename = "a")]
    pub attempt: id::Attempt,
    /// The request that was answered.
    #[serde(rename = "r")]
    pub request: id::Request,
    /// Who asks.
    #[serde(rename = "o")]
    pub organisation: Name,
    /// The first byte wanted.
    #[serde(rename = "f")]
    pub from: u64,
}

/// The caller gave up the request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Cancel {
    /// The request.
    #[serde(rename = "r")]
    pub request: id::Request,
    /// Who asks.
    #[serde(rename = "o")]
    pub organisation: Name,
    /// The attempt whose frames answer this.
    #[serde(rename = "a")]
    pub attempt: id::Attempt,
}

/// Bytes were passed on to the caller.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ack {
    /// The attempt.
    #[serde(rename = "a")]
    pub attempt: id::Attempt,
    /// The number of answer bytes passed on so far.
    #[serde(rename = "n")]
    pub bytes: u64,
}

/// The agent recorded the work.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Accepted {
    /// The attempt.
    #[serde(rename = "a")]
    pub attempt: id::Attempt,
    /// The request under which the answer is kept, which is an earlier one
    /// when the idempotency key or ticket was seen before.
    #[serde(rename = "r")]
    pub request: id::Request,
}

/// A piece of the answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Data {
    /// The attempt.
    #[serde(rename = "a")]
    pub attempt: id::Attempt,
    /// The number of the frame in the attempt, from zero.
    #[serde(rename = "s")]
    pub sequence: u32,
    /// The bytes.
    #[serde(rename = "b", with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// How the answer's bytes are to be read.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Format {
    /// Model text.
    Text,
    /// One JSON value.
    Json,
}

/// The answer is whole.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct End {
    /// The attempt.
    #[serde(rename = "a")]
    pub attempt: id::Attempt,
    /// The number of data frames before this one.
    #[serde(rename = "s")]
    pub sequence: u32,
    /// How to read the bytes.
    #[serde(rename = "f")]
    pub format: Format,
    /// The whole answer's length in bytes.
    #[serde(rename = "l")]
    pub length: u64,
    /// The whole answer's digest.
    #[serde(rename = "d", with = "serde_bytes")]
    pub digest: Vec<u8>,
}

/// The attempt ended without an answer.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Refusal {
    /// The attempt.
    #[serde(rename = "a")]
    pub attempt: id::Attempt,
    /// Why.
    #[serde(rename = "c")]
    pub code: Code,
    /// Whether the work ran.
    #[serde(rename = "r")]
    pub ran: Ran,
    /// When to come back.
    #[serde(rename = "w")]
    pub retry_after: Option<Millis>,
}

/// Log records.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Records {
    /// The offset of the first record.
    pub first: u64,
    /// The records, one for each offset.
    pub records: Vec<serde_bytes::ByteBuf>,
}

/// A folded configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// The offset after the last record folded in.
    pub next: u64,
    /// The state.
    #[serde(with = "serde_bytes")]
    pub state: Vec<u8>,
}

/// A stopping agent's ticket records and kept answers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Handover {
    /// The agent that stops.
    pub incarnation: id::Incarnation,
    /// How far the stopping agent's clock has come.
    pub clock: Millis,
    /// Its ticket records.
    #[serde(with = "serde_bytes")]
    pub tickets: Vec<u8>,
    /// Some of its kept answers.
    pub answers: Vec<Answer>,
    /// Whether more messages follow.
    pub more: bool,
}

/// A kept answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Answer {
    /// The request that it answers.
    pub request: id::Request,
    /// Whose it is.
    pub organisation: Name,
    /// The bytes, or why there are none.
    pub result: Result<Content, Failure>,
}

/// The content of a whole answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Content {
    /// How to read the bytes.
    pub format: Format,
    /// The bytes.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// Why work has no answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Failure {
    /// Why.
    pub code: Code,
    /// Whether the work ran.
    pub ran: Ran,
    /// When to come back.
    pub retry_after: Option<Millis>,
}

impl Failure {
    /// A failure without a time to come back.
    pub fn new(code: Code, ran: Ran) -> Failure {
        Failure { code, ran, retry_after: None }
    }

    /// The same failure with a time to come back.
    pub fn with_retry_after(self, wait: Millis) -> Failure {
        Failure { retry_after: Some(wait), ..self }
    }
}

/// Encodes a frame.
pub fn encode(frame: &Frame) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(128);
    ciborium::into_writer(frame, &mut bytes)
        .expect("frames have no value that CBOR lacks");
    bytes
}

/// Decodes a frame; `None` when the bytes are not one.
pub fn decode(bytes: &[u8]) -> Option<Frame> {
    ciborium::de::from_reader_with_recursion_limit(bytes, DEPTH).ok()
}

/// The deepest nesting that a frame has.
const DEPTH: usize = 16;
