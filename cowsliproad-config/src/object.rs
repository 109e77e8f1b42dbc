//! The objects that operators declare.
//!
//! `cowsliproad-ctl apply` reads and `get` prints a [`ConfigObject`] in its JSON
//! form; the log and the snapshots store the same types.

use std::{fmt, net::SocketAddr, str::FromStr};

use cowsliproad_kernel::{Name, clock::Millis, wire::Urgency};
use serde::{Deserialize, Serialize};

/// An object of the configuration, such as a service or a target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum ConfigObject {
    /// A customer.
    Organisation(Organisation),
    /// A service that callers send requests to.
    Service(Service),
    /// A type of request that a service accepts.
    RequestType(RequestType),
    /// A back end with its agent.
    Target(Target),
    /// An expert-parallel group of a service.
    Group(RankGroup),
    /// An operator's order to drain a target.
    Drain(DrainOrder),
}

/// A customer, whose callers identify themselves with keys.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The name of the organisation.
    pub name: Name,
    /// BLAKE3 hashes, in hexadecimal, of the keys that the organisation's
    /// callers present.
    #[serde(rename = "keys")]
    pub api_key_hashes: Vec<Name>,
    /// The weight by which the organisation gets capacity when capacity is
    /// short, at least 1.
    #[serde(rename = "share", default = "default_capacity_weight")]
    pub capacity_weight: u32,
    /// The largest number of the organisation's requests in flight through one
    /// entry process.
    #[serde(default = "default_max_in_flight_requests")]
    pub max_in_flight: u32,
}

/// The kind of back end that the targets of a service are.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Backend {
    /// A model engine with chat completions.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// A service that callers send requests to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name of the service.
    pub name: Name,
    /// The kind of back end of the service's targets.
    pub backend: Backend,
}

/// Whether the requests of a type may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestRepeatability {
    /// A request of the type may safely run more than once.
    Repeatable,
    /// A request of the type must never run more than once.
    Never,
}

/// A type of request that a service accepts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RequestType {
    /// The name of the service that accepts the request type.
    pub service: Name,
    /// The name of the request type within the service.
    pub name: Name,
    /// The urgency of the requests of this type.
    pub urgency: Urgency,
    /// The time after which the response is useless, in milliseconds from the
    /// request.
    pub deadline_ms: Millis,
    /// Whether a request of this type may run more than once.
    pub repeat: RequestRepeatability,
    /// The organisations that may send the request type; all if empty.
    #[serde(rename = "senders", default)]
    pub allowed_organisations: Vec<Name>,
    /// The largest request body, in bytes.
    #[serde(rename = "max_body", default = "default_max_body_bytes")]
    pub max_body_bytes: u32,
}

/// A back end with its agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The name of the target and of its VM.
    pub name: Name,
    /// The name of the service that the target belongs to.
    pub service: Name,
    /// The availability zone of the target.
    pub zone: Name,
    /// The address at which the target's agent accepts links from entry
    /// processes.
    #[serde(rename = "agent", with = "address")]
    pub agent_address: SocketAddr,
}

/// An expert-parallel group of targets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RankGroup {
    /// The name of the group.
    pub name: Name,
    /// The name of the service that the group belongs to.
    pub service: Name,
    /// The names of the targets that hold the group's ranks, starting with
    /// rank 0.
    #[serde(rename = "ranks")]
    pub rank_targets: Vec<Name>,
    /// The weight of the step-time skew between the ranks in the cost of an
    /// expert placement.
    #[serde(rename = "skew_weight")]
    pub step_time_skew_weight: f64,
    /// The weight of moving experts to other ranks in the cost of an expert
    /// placement.
    #[serde(rename = "move_weight")]
    pub expert_move_weight: f64,
}

/// An operator's order to drain a target: the target gets no new requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DrainOrder {
    /// The name of the target to drain.
    pub target: Name,
}

/// The kind of a configuration object.
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
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// The kind of an [`Organisation`].
    Organisation,
    /// The kind of a [`Service`].
    Service,
    /// The kind of a [`RequestType`].
    RequestType,
    /// The kind of a [`Target`].
    Target,
    /// The kind of a [`RankGroup`].
    Group,
    /// The kind of a [`DrainOrder`].
    Drain,
}

/// The key that identifies a configuration object.
#[derive(
    Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ObjectKey {
    /// The kind of the object that the key identifies.
    pub kind: ObjectKind,
    /// The name of the object that the key identifies; `service/type` for a
    /// request type.
    pub name: Name,
}

impl ObjectKey {
    /// Creates the key for a kind and a name.
    pub fn new(kind: ObjectKind, name: &str) -> ObjectKey {
        ObjectKey { kind, name: name.into() }
    }
}

impl ConfigObject {
    /// The key of the object.
    pub fn key(&self) -> ObjectKey {
        match self {
            ConfigObject::Organisation(it) => {
                ObjectKey::new(ObjectKind::Organisation, &it.name)
            }
            ConfigObject::Service(it) => {
                ObjectKey::new(ObjectKind::Service, &it.name)
            }
            ConfigObject::RequestType(it) => ObjectKey::new(
                ObjectKind::RequestType,
                &format!("{}/{}", it.service, it.name),
            ),
            ConfigObject::Target(it) => {
                ObjectKey::new(ObjectKind::Target, &it.name)
            }
            ConfigObject::Group(it) => {
                ObjectKey::new(ObjectKind::Group, &it.name)
            }
            ConfigObject::Drain(it) => {
                ObjectKey::new(ObjectKind::Drain, &it.target)
            }
        }
    }

    /// The keys of the objects that must exist before this object can be
    /// created.
    pub fn dependencies(&self) -> Vec<ObjectKey> {
        match self {
            ConfigObject::Organisation(_) | ConfigObject::Service(_) => {
                Vec::new()
            }
            ConfigObject::RequestType(it) => {
                vec![ObjectKey::new(ObjectKind::Service, &it.service)]
            }
            ConfigObject::Target(it) => {
                vec![ObjectKey::new(ObjectKind::Service, &it.service)]
            }
            ConfigObject::Group(it) => {
                let service = ObjectKey::new(ObjectKind::Service, &it.service);
                let targets = it
                    .rank_targets
                    .iter()
                    .map(|rank| ObjectKey::new(ObjectKind::Target, rank));
                std::iter::once(service).chain(targets).collect()
            }
            ConfigObject::Drain(it) => {
                vec![ObjectKey::new(ObjectKind::Target, &it.target)]
            }
        }
    }

    /// Checks the fields of the object, without regard to other objects; the
    /// error says which field is invalid.
    pub fn validate(&self) -> Result<(), String> {
        let key = self.key();
        if key.name.split('/').any(|part| !is_valid_name(part)) {
            return Err(format!(
                "name {:?}: must be 1 to 64 characters a-z, 0-9, '-' or '_'",
                key.name
            ));
        }
        match self {
            ConfigObject::Organisation(it) if it.capacity_weight == 0 => {
                Err("share: must be at least 1".into())
            }
            ConfigObject::Organisation(it)
                if !it.api_key_hashes.iter().all(is_key_hash) =>
            {
                Err("keys: must be BLAKE3 hashes of 64 hexadecimal digits"
                    .into())
            }
            ConfigObject::RequestType(it) if it.deadline_ms == Millis(0) => {
                Err("deadline_ms: must be at least 1".into())
            }
            ConfigObject::Group(it) if it.rank_targets.is_empty() => {
                Err("ranks: must name at least one target".into())
            }
            ConfigObject::Group(it) if !has_valid_weights(it) => {
                Err("skew_weight, move_weight: must be finite and at least 0"
                    .into())
            }
            _ => Ok(()),
        }
    }
}

impl ObjectKind {
    /// All kinds, in the order in which objects can be created.
    pub const ALL: [ObjectKind; 6] = [
        ObjectKind::Organisation,
        ObjectKind::Service,
        ObjectKind::RequestType,
        ObjectKind::Target,
        ObjectKind::Group,
        ObjectKind::Drain,
    ];

    /// The name of the kind of object in JSON and in commands.
    pub fn as_str(self) -> &'static str {
        match self {
            ObjectKind::Organisation => "organisation",
            ObjectKind::Service => "service",
            ObjectKind::RequestType => "request_type",
            ObjectKind::Target => "target",
            ObjectKind::Group => "group",
            ObjectKind::Drain => "drain",
        }
    }
}

impl FromStr for ObjectKind {
    type Err = String;

    fn from_str(text: &str) -> Result<ObjectKind, String> {
        ObjectKind::ALL
            .into_iter()
            .find(|kind| kind.as_str() == text)
            .ok_or_else(|| format!("unknown kind {text:?}"))
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind.as_str(), self.name)
    }
}

/// The longest name of a configuration object, in bytes.
const MAX_NAME_BYTES: usize = 64;

fn is_valid_name(text: &str) -> bool {
    let legal = |byte: u8| {
        byte.is_ascii_lowercase()
            || byte.is_ascii_digit()
            || matches!(byte, b'-' | b'_')
    };
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(legal)
}

fn is_key_hash(text: &Name) -> bool {
    text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

fn has_valid_weights(group: &RankGroup) -> bool {
    [group.step_time_skew_weight, group.expert_move_weight]
        .iter()
        .all(|weight| weight.is_finite() && *weight >= 0.0)
}

/// Serializes socket addresses as text in every codec. Serde buffers the
/// fields of a tagged enum, and a binary address can't be read back from that
/// buffer.
mod address {
    use std::net::SocketAddr;

    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) fn serialize<S: Serializer>(
        address: &SocketAddr,
        to: S,
    ) -> Result<S::Ok, S::Error> {
        to.collect_str(address)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        from: D,
    ) -> Result<SocketAddr, D::Error> {
        let text = String::deserialize(from)?;
        text.parse()
            .map_err(|_| Error::custom("expected an IP address and a port"))
    }
}

fn default_capacity_weight() -> u32 {
    1
}

fn default_max_in_flight_requests() -> u32 {
    10_000
}

fn default_max_body_bytes() -> u32 {
    64 << 10
}
