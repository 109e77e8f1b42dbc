//! Conversions between the schema's messages and configuration objects.

use cowsliproad_config::object::{
    Backend, ConfigObject, DrainOrder, Organisation, RankGroup,
    RequestRepeatability, RequestType, Service, Target,
};
use cowsliproad_kernel::{Name, clock::Millis, wire::Urgency};
use pilota::FastStr;

use crate::message::{self, object::Kind};

/// The message for an object.
pub fn to_message(object: &ConfigObject) -> message::Object {
    let kind = match object {
        ConfigObject::Organisation(it) => {
            Kind::Organisation(message::Organisation {
                name: text(&it.name),
                keys: texts(&it.api_key_hashes),
                share: it.capacity_weight,
                max_in_flight: it.max_in_flight,
            })
        }
        ConfigObject::Service(it) => Kind::Service(message::Service {
            name: text(&it.name),
            backend: match it.backend {
                Backend::Engine => message::Backend::ENGINE,
                Backend::Plain => message::Backend::PLAIN,
            },
        }),
        ConfigObject::RequestType(it) => {
            Kind::RequestType(message::RequestType {
                service: text(&it.service),
                name: text(&it.name),
                urgency: match it.urgency {
                    Urgency::Urgent => message::Urgency::URGENT,
                    Urgency::Normal => message::Urgency::NORMAL,
                    Urgency::Background => message::Urgency::BACKGROUND,
                },
                deadline_ms: it.deadline_ms.0,
                repeat: match it.repeat {
                    RequestRepeatability::Repeatable => {
                        message::Repeat::REPEATABLE
                    }
                    RequestRepeatability::Never => message::Repeat::NEVER,
                },
                senders: texts(&it.allowed_organisations),
                max_body: it.max_body_bytes,
            })
        }
        ConfigObject::Target(it) => Kind::Target(message::Target {
            name: text(&it.name),
            service: text(&it.service),
            zone: text(&it.zone),
            agent: it.agent_address.to_string().into(),
        }),
        ConfigObject::Group(it) => Kind::Group(message::Group {
            name: text(&it.name),
            service: text(&it.service),
            ranks: texts(&it.rank_targets),
            skew_weight: it.step_time_skew_weight,
            move_weight: it.expert_move_weight,
        }),
        ConfigObject::Drain(it) => {
            Kind::Drain(message::Drain { target: text(&it.target) })
        }
    };
    message::Object { kind: Some(kind) }
}

/// The object in a message, or what is wrong with the message.
pub fn from_message(object: message::Object) -> Result<ConfigObject, String> {
    let kind = object.kind.ok_or("object: one kind is needed")?;
    Ok(match kind {
        Kind::Organisation(it) => ConfigObject::Organisation(Organisation {
            name: name(&it.name),
            api_key_hashes: names(&it.keys),
            capacity_weight: it.share,
            max_in_flight: it.max_in_flight,
        }),
        Kind::Service(it) => ConfigObject::Service(Service {
            name: name(&it.name),
            backend: backend(it.backend)?,
        }),
        Kind::RequestType(it) => ConfigObject::RequestType(RequestType {
            service: name(&it.service),
            name: name(&it.name),
            urgency: urgency(it.urgency)?,
            deadline_ms: Millis(it.deadline_ms),
            repeat: repeat(it.repeat)?,
            allowed_organisations: names(&it.senders),
            max_body_bytes: it.max_body,
        }),
        Kind::Target(it) => ConfigObject::Target(Target {
            name: name(&it.name),
            service: name(&it.service),
            zone: name(&it.zone),
            agent_address: it.agent.parse().map_err(|_| {
                format!("agent {:?}: an IP address and a port", it.agent)
            })?,
        }),
        Kind::Group(it) => ConfigObject::Group(RankGroup {
            name: name(&it.name),
            service: name(&it.service),
            rank_targets: names(&it.ranks),
            step_time_skew_weight: it.skew_weight,
            expert_move_weight: it.move_weight,
        }),
        Kind::Drain(it) => {
            ConfigObject::Drain(DrainOrder { target: name(&it.target) })
        }
    })
}

fn backend(value: message::Backend) -> Result<Backend, String> {
    match value {
        message::Backend::ENGINE => Ok(Backend::Engine),
        message::Backend::PLAIN => Ok(Backend::Plain),
        other => Err(format!("backend {}: no such number", other.inner())),
    }
}

fn urgency(value: message::Urgency) -> Result<Urgency, String> {
    match value {
        message::Urgency::URGENT => Ok(Urgency::Urgent),
        message::Urgency::NORMAL => Ok(Urgency::Normal),
        message::Urgency::BACKGROUND => Ok(Urgency::Background),
        other => Err(format!("urgency {}: no such number", other.inner())),
    }
}

fn repeat(value: message::Repeat) -> Result<RequestRepeatability, String> {
    match value {
        message::Repeat::REPEATABLE => Ok(RequestRepeatability::Repeatable),
        message::Repeat::NEVER => Ok(RequestRepeatability::Never),
        other => Err(format!("repeat {}: no such number", other.inner())),
    }
}

fn text(name: &Name) -> FastStr {
    FastStr::from_string(name.to_string())
}

fn texts(names: &[Name]) -> Vec<FastStr> {
    names.iter().map(text).collect()
}

fn name(text: &FastStr) -> Name {
    Name::from(text.as_str())
}

fn names(texts: &[FastStr]) -> Vec<Name> {
    texts.iter().map(name).collect()
}
