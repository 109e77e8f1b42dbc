//! Gossip datagrams between entries, and between entries and the agents on
//! the VMs of targets.
//!
//! Datagrams are repeated or corrected within a second, so a lost datagram
//! costs little and a stopped peer costs nothing, and there is no connection
//! that can hang. Each datagram is one CBOR value. The configuration is large
//! and must arrive complete, so entries fetch it from one another over HTTP.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::{Name, clock::Millis, position::Era};

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
/// sending the lists of 72 engines to 72 agents from 31 entries every second
/// made up nearly all traffic between availability zones.
pub fn list_of(targets: &[SocketAddr]) -> u64 {
    let mut hasher = DefaultHasher::new();
    targets.hash(&mut hasher);
    hasher.finish().max(1)
}

/// The largest datagram that is received.
pub const MAX_BYTES: usize = 60_000;

/// A datagram that an entry can receive.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Datagram {
    /// State that another entry broadcasts.
    #[serde(rename = "d")]
    Digest(Digest),
    /// The load report of an engine, sent by its agent.
    #[serde(rename = "l")]
    Load(Load),
    /// The report of an agent that its engine's process is gone.
    #[serde(rename = "x")]
    Lost(Lost),
    /// The request of an entry for a permit to send to a rate-limited target.
    #[serde(rename = "p")]
    Ask(Ask),
    /// The reply to a request for a permit.
    #[serde(rename = "r")]
    Reply(Reply),
}

/// The gossip message that entries broadcast to one another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    /// The name of the sender's VM.
    #[serde(rename = "v")]
    pub vm: Name,
    /// The address at which the sender receives datagrams and HTTP requests
    /// from other entries.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// The version of the configuration that the sender uses; 0 for none.
    #[serde(rename = "c")]
    pub version: u64,
    /// The highest era of the platform's log that the sender has observed.
    #[serde(rename = "y", default)]
    pub era: Era,
    /// The time since the targets were last read from the log in that era, by
    /// the sender or by an entry whose digests reached it, in milliseconds.
    #[serde(rename = "r")]
    pub read_ms: u64,
    /// The highest log offset in that era at which the sender knows that the
    /// targets changed.
    #[serde(rename = "n")]
    pub changed: u64,
    /// Targets that the sender recently saw leave for good, each with its
    /// start time as a Unix millisecond.
    #[serde(rename = "l")]
    pub left: Vec<(Name, u64)>,
    /// Targets whose announcements recently expired or were deleted in the
    /// log, each with its start time as a Unix millisecond and the sequence
    /// number of its last announcement.
    #[serde(rename = "w")]
    pub withdrawn: Vec<(Name, u64, u64)>,
    /// Other entries whose digests recently reached the sender.
    #[serde(rename = "p")]
    pub peers: Vec<SocketAddr>,
    /// The sender's availability zone.
    #[serde(rename = "z", default = "nowhere")]
    pub zone: Name,
    /// Quarantined requests, and recent changes to what the sender knows about
    /// crash-inducing requests.
    #[serde(rename = "q", default, skip_serializing_if = "Suspects::is_none")]
    pub suspects: Suspects,
    /// Identifiers of reported target crashes that turned out to be false.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub lives: Vec<u64>,
    /// Rate limits of targets, including limits that were recently lifted.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<Limit>,
}

/// The rate limit that a target last stated.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Limit {
    /// The name of the target.
    #[serde(rename = "t")]
    pub target: Name,
    /// When the target started, as a Unix millisecond; 0 if the target doesn't
    /// report its start time.
    #[serde(rename = "b", default)]
    pub start: u64,
    /// The limit in requests per second from all VMs together; `None` if the
    /// target states no limit.
    #[serde(rename = "r")]
    pub rate: Option<f64>,
    /// For how long the limit has been in force, in milliseconds.
    #[serde(rename = "i")]
    pub age: Millis,
}

/// Asks another entry for a permit to send a request to a rate-limited target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ask {
    /// Identifies the permit request; the reply repeats the same number.
    #[serde(rename = "n")]
    pub number: u64,
    /// The target, with its limit as the asking entry knows it.
    #[serde(rename = "l")]
    pub limit: Limit,
    /// How long the caller's request can wait for the permit, in milliseconds.
    #[serde(rename = "w")]
    pub patience: Millis,
    /// How many more times the permit request may be forwarded to another
    /// entry.
    #[serde(rename = "h")]
    pub relays: u8,
}

/// The reply to a request for a permit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Reply {
    /// Identifies the permit request that this is the reply to.
    #[serde(rename = "n")]
    pub number: u64,
    /// The target, with its limit as the replying entry knows it.
    #[serde(rename = "l")]
    pub limit: Limit,
    /// Whether the permit is granted.
    #[serde(rename = "g")]
    pub given: bool,
    /// The wait in milliseconds until a granted permit may be used, or until a
    /// rejected permit request may be retried.
    #[serde(rename = "w")]
    pub after: Millis,
}

fn nowhere() -> Name {
    "".into()
}

/// A request that is suspected of crashing the targets that run it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspect {
    /// Identifies the request's content: a digest of the sender, the path and
    /// the body.
    #[serde(rename = "w")]
    pub work: u64,
    /// Target crashes attributed to the request, each identified by a digest
    /// of the target's name and start time.
    #[serde(rename = "e")]
    pub ends: Vec<u64>,
    /// Crashes that no longer count against the request, because some target
    /// completed it after they happened.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub excused: Vec<u64>,
    /// Whether some target is known to have completed the request without a
    /// crash.
    #[serde(rename = "s")]
    pub proven: bool,
    /// The time since the request was last received from a caller, in
    /// milliseconds.
    #[serde(rename = "i")]
    pub idle: Millis,
    /// For how long the request has been rejected, in milliseconds; `None` if
    /// it is accepted.
    #[serde(rename = "r")]
    pub refused: Option<Millis>,
    /// How much longer the request is suspended, in milliseconds; `None` if it
    /// isn't.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub suspended: Option<Millis>,
}

/// Asks an agent to send load reports to the entry that sends this.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Subscribe {
    /// The engines of the service, each with an agent on its VM. Empty if the
    /// agent has reported that it has this list.
    #[serde(rename = "t")]
    pub targets: Vec<SocketAddr>,
    /// The identifier of the list of engines; see [`list_of`].
    #[serde(rename = "l")]
    pub list: u64,
    /// The number of sets of layers that have their own expert map.
    #[serde(rename = "s")]
    pub sets: u16,
    /// The number of experts in each set of layers.
    #[serde(rename = "e")]
    pub experts: u16,
    /// The number of expert slots on each rank in each set of layers.
    #[serde(rename = "p")]
    pub places: u16,
    /// The number of experts in each set of layers that one map change may add
    /// to a rank.
    #[serde(rename = "n")]
    pub spare: u16,
    /// How long a rank takes to copy an expert, in milliseconds.
    #[serde(rename = "c")]
    pub copy_ms: u64,
    /// The highest era of the platform's log that the sender has observed.
    #[serde(rename = "y", default)]
    pub era: Era,
}

/// An agent's report to entries on the state of its engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// The address at which the engine listens.
    #[serde(rename = "a")]
    pub target: SocketAddr,
    /// The number of requests in the engine's current batch.
    #[serde(rename = "r")]
    pub running: u32,
    /// The number of requests that wait in the engine's queue.
    #[serde(rename = "q")]
    pub queued: u32,
    /// How long the engine takes for its work, in percent of the usual time.
    #[serde(rename = "p")]
    pub pace: u32,
    /// The name of the engine's group.
    #[serde(rename = "g")]
    pub group: Name,
    /// The number of the group's current formation.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// The number of the last forward pass that the engine began.
    #[serde(rename = "s")]
    pub step: u64,
    /// Whether the engine's group accepts requests.
    #[serde(rename = "o")]
    pub open: bool,
    /// The identifier of the list of engines that the agent has; 0 for none.
    #[serde(rename = "l")]
    pub list: u64,
    /// When the engine started, as a Unix millisecond; 0 if the engine doesn't
    /// report its start time.
    #[serde(rename = "b", default)]
    pub start: u64,
    /// Whether the engine is draining, according to its last reply to the
    /// agent.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    pub leaving: bool,
}

fn is_false(value: &bool) -> bool {
    !value
}

/// Suspected requests, encoded compactly. Most often one target crashed while
/// it ran many requests and nothing else is known of these: each such request
/// takes 8 bytes instead of about 35.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspects {
    /// Requests to which one crash is attributed, as concatenated digests
    /// keyed by the identifier of the crash.
    #[serde(rename = "o")]
    once: Vec<(u64, ByteBuf)>,
    /// All other suspected requests.
    #[serde(rename = "m")]
    more: Vec<Suspect>,
}

/// The encoded size of the digest that identifies a request.
const WORK_BYTES: usize = 8;

/// Whether nothing is known of a request but the crashes attributed to it.
fn is_plain(suspect: &Suspect) -> bool {
    !suspect.proven && suspect.refused.is_none() && suspect.suspended.is_none()
}

impl Suspects {
    /// Encodes suspected requests compactly.
    pub fn pack(suspects: Vec<Suspect>) -> Suspects {
        let mut once: BTreeMap<u64, ByteBuf> = BTreeMap::new();
        let mut more = Vec::new();
        for suspect in suspects {
            match suspect.ends[..] {
                [end] if is_plain(&suspect) => {
                    let works = once.entry(end).or_default();
                    works.extend_from_slice(&suspect.work.to_be_bytes());
                }
                _ => more.push(suspect),
            }
        }
        Suspects { once: once.into_iter().collect(), more }
    }

    /// Whether there are no suspected requests.
    pub fn is_none(&self) -> bool {
        self.once.is_empty() && self.more.is_empty()
    }

    /// Decodes the suspected requests. A compactly encoded request counts as
    /// received just now, because it is broadcast for only a few seconds.
    pub fn unpack(&self) -> impl Iterator<Item = Suspect> {
        let once = self.once.iter().flat_map(|(end, works)| {
            works.chunks_exact(WORK_BYTES).map(|work| Suspect {
                work: work
                    .iter()
                    .fold(0, |it, byte| it << 8 | u64::from(*byte)),
                ends: vec![*end],
                excused: Vec::new(),
                proven: false,
                idle: Millis(0),
                refused: None,
                suspended: None,
            })
        });
        once.chain(self.more.iter().cloned())
    }
}

/// An agent's report to entries that its engine's process is gone. The agent
/// runs on the same VM and reports this only when no process listens on the
/// engine's port, so a network failure is not mistaken for a crash.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Lost {
    /// The address at which the engine listened.
    #[serde(rename = "a")]
    pub target: SocketAddr,
    /// When the engine had started, as a Unix millisecond; 0 if the engine
    /// didn't report its start time.
    #[serde(rename = "b")]
    pub start: u64,
}
