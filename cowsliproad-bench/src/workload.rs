//! What both users declare and send.
//!
//! The hangar association and the label service share one plant in the
//! bench. Each request's body carries an id that the stand-ins count, and
//! its right answer follows from the body alone.

use cowsliproad_config::{
    ConfigObject,
    object::{
        Backend, Organisation, RequestRepeatability, RequestType, Service,
    },
};
use cowsliproad_kernel::{clock::Millis, wire::Urgency};
use cowsliproad_standin::{engine, plain};
use rand::{Rng, rngs::StdRng};
use serde_json::{Value, json};

/// A request type as the bench sends it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Kind {
    /// The service.
    pub service: &'static str,
    /// The type.
    pub name: &'static str,
    /// How soon it is needed.
    pub urgency: Urgency,
    /// Its deadline.
    pub deadline: Millis,
    /// Whether it may be repeated.
    pub repeat: RequestRepeatability,
    /// How many of a thousand requests are of this type.
    pub share: u32,
    /// The most tokens of an answer; 0 for plain services.
    pub tokens: u64,
}

const fn kind(
    service: &'static str,
    name: &'static str,
    urgency: Urgency,
    deadline: u64,
) -> Kind {
    Kind {
        service,
        name,
        urgency,
        deadline: Millis(deadline),
        repeat: RequestRepeatability::Repeatable,
        share: 0,
        tokens: 0,
    }
}

/// The request types of both users.
pub const KINDS: [Kind; 9] = [
    Kind {
        share: 60,
        tokens: 24,
        ..kind("drafting", "lease-draft", Urgency::Background, 60_000)
    },
    Kind {
        share: 90,
        tokens: 12,
        ..kind("drafting", "slot-summary", Urgency::Normal, 15_000)
    },
    Kind {
        share: 90,
        tokens: 12,
        ..kind("drafting", "damage-note", Urgency::Normal, 20_000)
    },
    Kind {
        share: 160,
        tokens: 16,
        ..kind("drafting", "label-draft", Urgency::Urgent, 15_000)
    },
    Kind {
        share: 200,
        ..kind("access", "gate-check", Urgency::Urgent, 5_000)
    },
    Kind {
        share: 150,
        repeat: RequestRepeatability::Never,
        ..kind("access", "tow-call", Urgency::Urgent, 8_000)
    },
    Kind {
        share: 100,
        repeat: RequestRepeatability::Never,
        ..kind("access", "label-print", Urgency::Urgent, 10_000)
    },
    Kind {
        share: 80,
        ..kind("access", "label-sheet", Urgency::Normal, 10_000)
    },
    Kind {
        share: 70,
        ..kind("access", "recipe-card", Urgency::Normal, 10_000)
    },
];

/// The organisations, of which the first two are large.
pub const ORGANISATIONS: [&str; 6] = [
    "harju-hangars",
    "wattleford",
    "lasnamae-hangar",
    "paldiski-hangar",
    "toowoomba-kitchen",
    "ipswich-catering",
];

/// One request to be sent.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its type.
    pub kind: &'static Kind,
    /// Who sends it.
    pub organisation: &'static str,
    /// Its number, which is unique in a run.
    pub number: u64,
}

impl Job {
    /// Draws a request.
    pub fn draw(number: u64, random: &mut StdRng) -> Job {
        let all: u32 = KINDS.iter().map(|kind| kind.share).sum();
        let mut left = random.random_range(0..all);
        let mut chosen = &KINDS[0];
        for kind in &KINDS {
            if left < kind.share {
                chosen = kind;
                break;
            }
            left -= kind.share;
        }
        Job { number, ..Job::of(chosen, random) }
    }

    /// A request of a type.
    pub fn of(kind: &'static Kind, random: &mut StdRng) -> Job {
        // Half of the traffic is from the two large organisations.
        let large = random.random_bool(0.5);
        let range = if large { 0..2 } else { 2..ORGANISATIONS.len() };
        let organisation = ORGANISATIONS[random.random_range(range)];
        Job { kind, organisation, number: 0 }
    }

    /// The id that the stand-ins count runs by. A new ticket gets a new id,
    /// so that a run under a refused ticket shows.
    pub fn run_id(&self, ticket: u32) -> String {
        let mark = match self.kind.repeat {
            RequestRepeatability::Never => "n",
            RequestRepeatability::Repeatable => "r",
        };
        format!("{mark}{}-{ticket}", self.number)
    }

    /// The body under the given id.
    pub fn body(&self, id: &str) -> Value {
        let text = format!("{} {}", self.kind.name, self.number);
        let messages = json!([{ "role": "user", "content": text }]);
        match self.kind.tokens {
            0 => json!({ "id": id, "request": text }),
            tokens => json!({
                "id": id,
                "messages": messages,
                "max_tokens": 1 + self.number % tokens,
            }),
        }
    }

    /// The right answer to a body.
    pub fn answer(&self, body: &Value) -> Value {
        match self.kind.tokens {
            0 => {
                let text = body.to_string();
                let answer = plain::answer(self.kind.name, text.as_bytes());
                serde_json::from_str(&answer).unwrap_or_default()
            }
            _ => json!({ "text": engine::answer(body) }),
        }
    }
}

/// The key of an organisation.
pub fn key(organisation: &str) -> String {
    format!("key-of-{organisation}")
}

/// The organisations, services and request types of both users.
pub fn objects() -> Vec<ConfigObject> {
    let mut objects = Vec::new();
    for (index, name) in ORGANISATIONS.iter().enumerate() {
        let hash = blake3::hash(key(name).as_bytes()).to_hex();
        objects.push(ConfigObject::Organisation(Organisation {
            name: (*name).into(),
            api_key_hashes: vec![hash.as_str().into()],
            capacity_weight: if index < 2 { 4 } else { 1 },
            max_in_flight: 10_000,
        }));
    }
    for (name, backend) in
        [("drafting", Backend::Engine), ("access", Backend::Plain)]
    {
        objects.push(ConfigObject::Service(Service {
            name: name.into(),
            backend,
        }));
    }
    for kind in &KINDS {
        objects.push(ConfigObject::RequestType(RequestType {
            service: kind.service.into(),
            name: kind.name.into(),
            urgency: kind.urgency,
            deadline_ms: kind.deadline,
            repeat: kind.repeat,
            allowed_organisations: Vec::new(),
            max_body_bytes: 64 << 10,
        }));
    }
    objects
}
