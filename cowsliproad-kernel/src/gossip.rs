//! The datagrams between entries and agents that stand beside targets.
//!
//! What they carry is repeated or corrected within a second, so a lost one
//! costs little, a peer that is gone costs nothing, and no connection can
//! fall silent. Each is one CBOR value. What must arrive whole and is large,
//! the configuration, goes over HTTP between entries.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::{Name, clock::Millis, position::Era};

/// Encodes a message. All of ours encode.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    let encoded = ciborium::into_writer(message, &mut bytes);
    debug_assert!(encoded.is_ok());
    bytes
}

/// Decodes a message; `None` for anything that is none.
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}

/// A number for a list of engines, never 0. Lists are told once and named
/// from then on: 72 engines to 72 agents from 31 entries each second were
/// nearly all bytes that went between availability zones.
pub fn list_of(targets: &[SocketAddr]) -> u64 {
    let mut hasher = DefaultHasher::new();
    targets.hash(&mut hasher);
    hasher.finish().max(1)
}

/// The largest datagram that is read.
pub const MAX_BYTES: usize = 60_000;

/// What entries take.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Datagram {
    /// From another entry.
    #[serde(rename = "d")]
    Digest(Digest),
    /// From an agent.
    #[serde(rename = "l")]
    Load(Load),
    /// From an agent whose engine's process is gone.
    #[serde(rename = "x")]
    Lost(Lost),
    /// From an entry that has a request for a target with a limit.
    #[serde(rename = "p")]
    Ask(Ask),
    /// The answer to that.
    #[serde(rename = "r")]
    Reply(Reply),
}

/// A message between entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    /// The sender's VM.
    #[serde(rename = "v")]
    pub vm: Name,
    /// Where the sender takes datagrams and calls of other entries.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// The version of the configuration that it uses; 0 for none.
    #[serde(rename = "c")]
    pub version: u64,
    /// The newest era of the platform's log that the sender knows of.
    #[serde(rename = "y", default)]
    pub era: Era,
    /// How long ago the targets were last read in that era, by the sender or
    /// by an entry that it heard of; in milliseconds.
    #[serde(rename = "r")]
    pub read_ms: u64,
    /// The offset of the last change of the targets in that era that the
    /// sender knows of.
    #[serde(rename = "n")]
    pub changed: u64,
    /// Targets that it saw leave for good in the last seconds, and when they
    /// had started.
    #[serde(rename = "l")]
    pub left: Vec<(Name, u64)>,
    /// Those whose entries went, when they had started, and the number of
    /// their last announcement.
    #[serde(rename = "w")]
    pub withdrawn: Vec<(Name, u64, u64)>,
    /// Other entries that it heard from lately.
    #[serde(rename = "p")]
    pub peers: Vec<SocketAddr>,
    /// The sender's availability zone.
    #[serde(rename = "z", default = "nowhere")]
    pub zone: Name,
    /// Work that targets ended under: what is refused, and news.
    #[serde(rename = "q", default, skip_serializing_if = "Suspects::is_none")]
    pub suspects: Suspects,
    /// Ends of targets that were none.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub lives: Vec<u64>,
    /// Limits that targets named, and that they lately ceased to name.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<Limit>,
}

/// What a target was last heard to say of how much it takes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Limit {
    /// The target.
    #[serde(rename = "t")]
    pub target: Name,
    /// When it had started, as a Unix millisecond; 0 where it doesn't say.
    #[serde(rename = "b", default)]
    pub start: u64,
    /// Requests a second from all VMs together, if it names a limit.
    #[serde(rename = "r")]
    pub rate: Option<f64>,
    /// How long ago that counted from, in milliseconds.
    #[serde(rename = "i")]
    pub age: Millis,
}

/// May a request be sent to a target that names a limit?
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ask {
    /// Names the question in the answer.
    #[serde(rename = "n")]
    pub number: u64,
    /// The target, and its limit as whoever asks knows it.
    #[serde(rename = "l")]
    pub limit: Limit,
    /// How long the request can wait, in milliseconds.
    #[serde(rename = "w")]
    pub patience: Millis,
    /// How often the question may be passed on.
    #[serde(rename = "h")]
    pub relays: u8,
}

/// An answer to [`Ask`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Reply {
    /// The question that this answers.
    #[serde(rename = "n")]
    pub number: u64,
    /// The target, and its limit as whoever answers knows it.
    #[serde(rename = "l")]
    pub limit: Limit,
    /// Whether there is a place.
    #[serde(rename = "g")]
    pub given: bool,
    /// When it may be used, or when one may be free; in milliseconds.
    #[serde(rename = "w")]
    pub after: Millis,
}

fn nowhere() -> Name {
    "".into()
}

/// Work that targets ended under.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspect {
    /// What the work is: a digest of who asks, the path and the body.
    #[serde(rename = "w")]
    pub work: u64,
    /// The targets that this is held against, each as a digest of its name and
    /// its start.
    #[serde(rename = "e")]
    pub ends: Vec<u64>,
    /// Those of them that were before some target outlived it.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub excused: Vec<u64>,
    /// Whether some target is known to have outlived it.
    #[serde(rename = "s")]
    pub proven: bool,
    /// How long ago it came last, in milliseconds.
    #[serde(rename = "i")]
    pub idle: Millis,
    /// For how long it has been refused, in milliseconds, if it is.
    #[serde(rename = "r")]
    pub refused: Option<Millis>,
    /// For how long it is suspended, in milliseconds, if it is.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub suspended: Option<Millis>,
}

/// An entry's word to an agent: report to me.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Subscribe {
    /// The engines of the service, each with an agent on its VM; empty for
    /// an agent that has said that it knows them.
    #[serde(rename = "t")]
    pub targets: Vec<SocketAddr>,
    /// Which list of engines is meant; see [`list_of`].
    #[serde(rename = "l")]
    pub list: u64,
    /// Sets of layers with an expert map of their own.
    #[serde(rename = "s")]
    pub sets: u16,
    /// Experts in each set.
    #[serde(rename = "e")]
    pub experts: u16,
    /// Experts that a rank holds in each set.
    #[serde(rename = "p")]
    pub places: u16,
    /// Experts that may be new to a rank in one map, in each set.
    #[serde(rename = "n")]
    pub spare: u16,
    /// The time in which a rank copies an expert, in milliseconds.
    #[serde(rename = "c")]
    pub copy_ms: u64,
    /// The newest era of the platform's log that the sender knows of.
    #[serde(rename = "y", default)]
    pub era: Era,
}

/// An agent's word to entries: how its engine stands.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Where the engine listens.
    #[serde(rename = "a")]
    pub target: SocketAddr,
    /// Requests in its batch.
    #[serde(rename = "r")]
    pub running: u32,
    /// Requests that wait.
    #[serde(rename = "q")]
    pub queued: u32,
    /// How long its work takes, in percent of the usual.
    #[serde(rename = "p")]
    pub pace: u32,
    /// Its group.
    #[serde(rename = "g")]
    pub group: Name,
    /// The formation of its group.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// The last pass that was begun.
    #[serde(rename = "s")]
    pub step: u64,
    /// Whether its group takes requests.
    #[serde(rename = "o")]
    pub open: bool,
    /// The list of engines that the agent knows; 0 for none.
    #[serde(rename = "l")]
    pub list: u64,
    /// When the engine started, as a Unix millisecond; 0 where it doesn't say.
    #[serde(rename = "b", default)]
    pub start: u64,
    /// Whether it is leaving, by its last answer to the agent.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    pub leaving: bool,
}

fn is_false(value: &bool) -> bool {
    !value
}

/// Many pieces of work that targets ended under. Mostly one target ended
/// under all that it ran, and those take 8 bytes each instead of some 35.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspects {
    /// Work under which one target ended, by that end.
    #[serde(rename = "o")]
    once: Vec<(u64, ByteBuf)>,
    /// What more is known of.
    #[serde(rename = "m")]
    more: Vec<Suspect>,
}

/// The bytes that one piece of work takes.
const WORK_BYTES: usize = 8;

/// Whether all that is known of it is that one target ended under it.
fn is_plain(suspect: &Suspect) -> bool {
    !suspect.proven && suspect.refused.is_none() && suspect.suspended.is_none()
}

impl Suspects {
    /// Packs them.
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

    /// Whether there are none.
    pub fn is_none(&self) -> bool {
        self.once.is_empty() && self.more.is_empty()
    }

    /// Unpacks them. Those that were packed closely count as seen just now:
    /// they are told for some seconds only.
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

/// An agent's word to entries: its engine's process is gone. Nobody listens
/// on the VM that the agent itself runs on, so no cut is taken for an end.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Lost {
    /// Where the engine listened.
    #[serde(rename = "a")]
    pub target: SocketAddr,
    /// When it had started, as a Unix millisecond; 0 where it didn't say.
    #[serde(rename = "b")]
    pub start: u64,
}
