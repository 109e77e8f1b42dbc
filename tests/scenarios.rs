//! Scripted scenarios in `testdata/scenarios`, which drive the real
//! decisions under a manual clock. Run with `UPDATE_GOLDENFILES=1` after a
//! wanted change, and read the difference.

use std::{collections::BTreeMap, error::Error, path::Path, str::FromStr};

use cowsliproad::{
    admission::{
        queue::{PushOutcome, Queue, QueueConfig, QueueItem, ServiceRate},
        register::TicketRegister,
        ticket::{Ticket, TokenPurpose},
    },
    config::{
        ConfigObject, ConfigState,
        fold::{ConfigChange, ConfigRecord, encode_record},
        object::Organisation,
    },
    kernel::{clock::Millis, id, wire::Urgency},
    mapswitch::{
        Generation, Member, Proposal, Version, VoteMessage, WeightsStatus,
    },
};
use goldenscript::{Command, Context, Runner};

/// How fast the scripted target works.
const PACE: ServiceRate = ServiceRate {
    slots: 1,
    mean_service_us: 100_000,
    min_start_interval_us: 0,
    next_start_delay_us: 0,
};

/// Everything that a script can touch.
struct World {
    now: Millis,
    agent: TicketRegister,
    tickets: BTreeMap<String, Ticket>,
    queue: Queue<String>,
    log: Vec<Vec<u8>>,
    replicas: BTreeMap<String, ConfigState>,
    group: Vec<Member>,
    network: Vec<VoteMessage>,
}

impl World {
    fn new() -> World {
        let member = |rank| Member::new(rank, 3, Generation(1), Version(0));
        World {
            now: Millis(0),
            agent: TicketRegister::new(100),
            tickets: BTreeMap::new(),
            queue: Queue::new(QueueConfig::new()),
            log: Vec::new(),
            replicas: BTreeMap::new(),
            group: (0..3).map(member).collect(),
            network: Vec::new(),
        }
    }

    /// `ticket NAME`: an entry makes a ticket for this agent.
    fn ticket(&mut self, name: &str) -> String {
        let ticket = Ticket {
            purpose: TokenPurpose::Ticket,
            organisation: "harju".into(),
            service: "access".into(),
            request_type: "tow-call".into(),
            target: "access-1".into(),
            incarnation: id::Incarnation(1),
            request: id::Request(self.tickets.len() as u64),
            expiry: self.now + cowsliproad::admission::register::TICKET_TTL,
        };
        self.tickets.insert(name.into(), ticket);
        String::new()
    }

    /// `queue NAME URGENCY deadline=MS`: work arrives at the agent.
    fn arrive(&mut self, name: &str, urgency: &str, deadline: u64) -> String {
        let item = QueueItem {
            organisation: name.split('-').next().unwrap_or(name).into(),
            organisation_weight: 1,
            urgency: match urgency {
                "urgent" => Urgency::Urgent,
                "normal" => Urgency::Normal,
                _ => Urgency::Background,
            },
            deadline: self.now + Millis(deadline),
            bytes: 0,
            work: name.into(),
        };
        match self.queue.push(item, PACE, self.now) {
            PushOutcome::Queued => "waits".into(),
            PushOutcome::Displaced(it, _) => {
                format!("waits, {} shed", it.work)
            }
            PushOutcome::Refused(_, wait) => {
                format!("refused, back in {wait}")
            }
        }
    }

    /// `put COMMAND base=N share=N`: an operator appends a change.
    fn append(&mut self, command: u64, base: u64, share: u32) -> String {
        let object = ConfigObject::Organisation(Organisation {
            name: "harju".into(),
            api_key_hashes: Vec::new(),
            capacity_weight: share,
            max_in_flight: 1,
        });
        let change = ConfigChange::Put { base_revision: base, object };
        let command = id::Command(command);
        self.log.push(encode_record(&ConfigRecord { command, change }));
        format!("offset {}", self.log.len())
    }

    /// `read REPLICA to=N`: a replica folds the log up to an offset.
    fn read(&mut self, name: &str, to: usize) -> String {
        let state = self.replicas.entry(name.into());
        let state = state.or_default();
        let from = state.next_offset() as usize;
        let mut text = Vec::new();
        for offset in from..=to.min(self.log.len()) {
            let verdict =
                state.apply_record(offset as u64, &self.log[offset - 1]);
            text.push(format!("{offset}: {verdict:?}"));
        }
        text.join("\n")
    }

    /// `take FROM BY`: a replica takes over another's state.
    fn take(&mut self, from: &str, by: &str) -> String {
        let state = self.replicas.get(from).cloned().unwrap_or_default();
        let own = self.replicas.entry(by.into()).or_default();
        format!(
            "{:?}, next {}",
            own.adopt_newer_peer_state(state),
            own.next_offset()
        )
    }

    /// `propose VERSION boundary=N rank=N`: a member hears a proposal.
    fn propose(&mut self, version: u64, boundary: u64, rank: usize) -> String {
        let proposal = Proposal {
            generation: Generation(1),
            base: Version(0),
            version: Version(version),
            boundary,
        };
        let ask = VoteMessage::VoteRequest(proposal);
        let answer =
            self.group[rank].handle_message(ask, WeightsStatus::Loaded);
        self.network.extend(answer);
        format!("{answer:?}")
    }

    /// `deliver rank=N`: a member gets all votes so far.
    fn deliver(&mut self, rank: usize) -> String {
        for message in self.network.clone() {
            self.group[rank].handle_message(message, WeightsStatus::Loaded);
        }
        format!("{:?}", self.group[rank].next_action())
    }
}

impl Runner for World {
    type Command = Command;

    fn run(
        &mut self,
        command: &Command,
        _: &Context,
    ) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let output = match command.name.as_str() {
            "wait" => {
                let time: u64 = args.next_pos().ok_or("ms")?.parse()?;
                self.now = self.now + Millis(time);
                format!("now {}", self.now)
            }
            "ticket" => {
                let name = args.next_pos().ok_or("name")?;
                self.ticket(name)
            }
            "submit" | "refuse" => {
                let name = args.next_pos().ok_or("name")?;
                let ticket = self.tickets.get(name).ok_or("no ticket")?;
                let verdict = match command.name.as_str() {
                    "submit" => self.agent.submit(ticket, self.now),
                    _ => self.agent.refuse(ticket, self.now),
                };
                format!("{verdict:?}")
            }
            "seal" => {
                self.agent.seal();
                String::new()
            }
            "queue" => {
                let name = args.next_pos().ok_or("name")?.to_string();
                let urgency = args.next_pos().ok_or("urgency")?.to_string();
                let deadline = number(args.take_key("deadline"), 60_000)?;
                self.arrive(&name, &urgency, deadline)
            }
            "serve" => match self.queue.pop(self.now) {
                Some(item) => item.work,
                None => "nothing".into(),
            },
            "lapse" => match self.queue.remove_expired_item(PACE, self.now) {
                Some(item) => format!("{} not run", item.work),
                None => "nothing".into(),
            },
            "put" => {
                let name = args.next_pos().ok_or("command")?.parse()?;
                let base = number(args.take_key("base"), 0)?;
                let share = number(args.take_key("share"), 1)?;
                self.append(name, base, share)
            }
            "read" => {
                let name = args.next_pos().ok_or("replica")?.to_string();
                let to = number(args.take_key("to"), self.log.len())?;
                self.read(&name, to)
            }
            "take" => {
                let from = args.next_pos().ok_or("from")?.to_string();
                let by = args.next_pos().ok_or("by")?.to_string();
                self.take(&from, &by)
            }
            "propose" => {
                let version = args.next_pos().ok_or("version")?.parse()?;
                let boundary = number(args.take_key("boundary"), 1)?;
                let rank = number(args.take_key("rank"), 0)?;
                self.propose(version, boundary, rank)
            }
            "step" => {
                let rank = number(args.take_key("rank"), 0)?;
                format!("{:?}", self.group[rank].run_step_and_get_map())
            }
            "deliver" => {
                let rank = number(args.take_key("rank"), 0)?;
                self.deliver(rank)
            }
            "renew" => {
                let rank = number(args.take_key("rank"), 0)?;
                self.group[rank].join_generation(Generation(2), Version(0));
                String::new()
            }
            other => return Err(format!("no command {other}").into()),
        };
        args.reject_next()?;
        Ok(output)
    }
}

/// The number given for a key, or the usual one.
fn number<T: FromStr>(
    given: Option<&str>,
    usual: T,
) -> Result<T, Box<dyn Error>>
where
    T::Err: Error + 'static,
{
    match given {
        Some(text) => Ok(text.parse()?),
        None => Ok(usual),
    }
}

fn check(name: &str) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let path = root.join("testdata/scenarios").join(name);
    goldenscript::run(&mut World::new(), path).expect("it plays as written");
}

#[test]
fn tow_call_once() {
    check("tow_call_once");
}

#[test]
fn planned_restart() {
    check("planned_restart");
}

#[test]
fn busy_evening() {
    check("busy_evening");
}

#[test]
fn racing_operators() {
    check("racing_operators");
}

#[test]
fn entry_replaced_with_the_log_down() {
    check("entry_replaced_with_the_log_down");
}

#[test]
fn paused_rank_and_new_generation() {
    check("paused_rank_and_new_generation");
}
