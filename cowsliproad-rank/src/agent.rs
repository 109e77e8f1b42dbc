//! The loop of an agent: look at the engine, do what is due, tell the others.
//!
//! The coordinator is whoever leads with the highest fencing number. Rank 0
//! takes the lead when nobody does; when it is silent, the next ranks in
//! turn wait a little longer each, so that mostly one of them takes over.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::SocketAddr,
};

use cowsliproad_kernel::{
    Name,
    clock::Millis,
    gossip::{self, Subscribe},
    position::{Era, Position},
};
use cowsliproad_mapswitch::order::{
    self, Aim, Directive, Epoch, GroupState, Report,
};
use cowsliproad_platform::engine::EngineState;
use cowsliproad_routing::cooldown::Cooldown;
use slog::{Logger, info, warn};
use tokio::{
    net::UdpSocket,
    task::JoinHandle,
    time::{Instant, sleep_until},
};

use self::chair::candidate;
use crate::{
    engine::Engine,
    lead::Lead,
    plan::{Plan, Sheet},
    rota::Rota,
    settings::Settings,
    wire::{Envelope, Message, News},
};

mod chair;
mod orders;
mod readings;
mod words;

/// How often the engine is looked at while nothing is going on.
const CALM_TIME: Millis = Millis(50);

/// How often while a change of map is under way: less than a pass takes.
const BUSY_TIME: Millis = Millis(30);

/// How often the holder looks while the hold is on its way: the group may
/// stand from then on until all are armed.
const HOLD_TIME: Millis = Millis(6);

/// How often entries are told of the load.
const LOAD_TIME: Millis = Millis(400);

/// Ranks up to which words are repeated every [`BUSY_TIME`].
const BUSY_RANKS: u64 = 16;

/// The longest that a stopping agent stays for a change of the map. One takes
/// half a second at 72 ranks; the platform gives a process some seconds.
const STOP_TIME: Millis = Millis(2_000);

/// Entries that haven't asked for so long get no more reports.
const FORGET_TIME: Millis = Millis(4_000);

/// A fencing number on its way from the platform's log.
type Candidacy = JoinHandle<Option<Position>>;

/// An agent.
pub struct Agent {
    settings: Settings,
    log: Logger,
    engine: Engine,
    entries_socket: UdpSocket,
    agents_socket: UdpSocket,
    own: SocketAddr,
    /// Entries that asked for reports, and when.
    entries: BTreeMap<SocketAddr, Millis>,
    /// What entries say of the service.
    shape: Option<Subscribe>,
    state: Option<EngineState>,
    /// Which start of the engine all below is of.
    start: Option<u64>,
    /// Whether the engine's process is known to be gone.
    engine_ended: Ended,
    /// What engines of others asked for in a formation of the group.
    distant: BTreeMap<SocketAddr, (Epoch, Cooldown)>,
    /// The group that the engine last named.
    group: Option<Name>,
    /// Engines of the service that are of other groups.
    strangers: BTreeSet<SocketAddr>,
    experts: Option<(Epoch, order::Version, Vec<Vec<u16>>)>,
    counts: Option<(Epoch, Vec<Vec<u64>>)>,
    rota: Option<Rota>,
    plan: Option<Plan>,
    /// The coordinator's last word, where it is, and when it came.
    word: Option<(Directive, SocketAddr, Millis)>,
    /// The pass for which it last heard that the coordinator's rank arms.
    sealed: Option<(Epoch, u64)>,
    /// The highest fencing number met.
    fence: u64,
    /// The newest era of the platform's log that is known of.
    era: Era,
    lead: Option<Lead>,
    /// A number that is being fetched from the platform's log.
    candidacy: Option<Candidacy>,
    begun: Millis,
    /// The formation and the pass that the engine first reported.
    first: Option<(Epoch, u64)>,
    /// Since when it is to stop.
    stopping: Option<Millis>,
    /// Whether the engine is to be looked at without a pause.
    prompt: bool,
    last: Times,
}

/// Whether an engine's process is gone. One that doesn't answer may live.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ended {
    Yes,
    No,
}

/// An *arm* without an answer.
#[derive(Clone, Copy)]
struct Unanswered {
    epoch: Epoch,
    /// The pass that it is for.
    step: u64,
    at: Millis,
}

/// When things were done last.
#[derive(Default)]
struct Times {
    load: Millis,
    status: Millis,
    speech: Millis,
    candidacy: Option<Millis>,
    said: Option<Directive>,
    /// The last *arm* that went unanswered.
    unanswered_arm: Option<Unanswered>,
    /// The word for which a hold was ordered last, and when.
    hold: Option<Directive>,
    held: Millis,
    /// What the coordinator was told last.
    told: Option<News>,
    /// The plan that was handed out last, and when.
    planned: Option<order::Version>,
    handed: Millis,
    /// When an engine was asked from afar, and how often.
    reach: Millis,
    reached: usize,
    /// The aim for which an order was taken last, and when.
    taken: Option<(Directive, Millis)>,
}

impl Agent {
    /// An agent that has looked at nothing yet.
    pub async fn new(settings: Settings, log: Logger) -> io::Result<Agent> {
        let at = |port| SocketAddr::new(settings.address, port);
        let own = at(settings.agent_port);
        Ok(Agent {
            engine: Engine::new(settings.engine),
            entries_socket: UdpSocket::bind(at(settings.peer_port)).await?,
            agents_socket: UdpSocket::bind(own).await?,
            own,
            log,
            entries: BTreeMap::new(),
            shape: None,
            state: None,
            start: None,
            engine_ended: Ended::No,
            distant: BTreeMap::new(),
            group: None,
            strangers: BTreeSet::new(),
            experts: None,
            counts: None,
            rota: None,
            plan: None,
            word: None,
            sealed: None,
            fence: 0,
            era: Era::default(),
            lead: None,
            candidacy: None,
            begun: Millis::now(),
            first: None,
            stopping: None,
            prompt: false,
            last: Times::default(),
            settings,
        })
    }

    /// Runs until it is told to stop and no change of the map needs it.
    pub async fn run(
        mut self,
        stop: impl Future<Output = ()>,
    ) -> io::Result<()> {
        let mut stop = std::pin::pin!(stop);
        let mut from_entries = vec![0; gossip::MAX_DATAGRAM_BYTES];
        let mut from_agents = vec![0; gossip::MAX_DATAGRAM_BYTES];
        let mut next = Instant::now();
        loop {
            // Words of others go first: one that was frozen learns that it
            // no longer leads before it acts.
            tokio::select! {
                biased;
                () = &mut stop, if self.stopping.is_none() => {
                    self.stopping = Some(Millis::now());
                    if let Some(lead) = &mut self.lead {
                        lead.plan_no_more();
                    }
                }
                got = self.agents_socket.recv_from(&mut from_agents) => {
                    if let Ok((length, _)) = got {
                        self.hear(&from_agents[..length]).await;
                    }
                }
                got = self.entries_socket.recv_from(&mut from_entries) => {
                    if let Ok((length, from)) = got {
                        self.subscribe(&from_entries[..length], from);
                    }
                }
                number = candidate(&mut self.candidacy) => {
                    self.candidacy = None;
                    self.take_number(number).await;
                }
                () = sleep_until(next) => {
                    self.poll_engine().await;
                    next = Instant::now() + self.pause().duration();
                }
            }
            if self.may_end() {
                self.say_farewell().await;
                return Ok(());
            }
            // What was just ordered or heard shows in the next report.
            if std::mem::take(&mut self.prompt) {
                next = Instant::now();
            }
        }
    }

    /// Whether it was told to stop and a change of the map, which may hold
    /// the group, no longer needs it.
    fn may_end(&self) -> bool {
        let Some(since) = self.stopping else { return false };
        let aim = self.word.as_ref().map_or(Aim::Rest, |it| it.0.aim);
        aim == Aim::Rest || Millis::now().since(since) > STOP_TIME
    }

    fn pause(&self) -> Millis {
        let aim = self.word.as_ref().map_or(Aim::Rest, |it| it.0.aim);
        let rank = self.report().map(|it| it.rank);
        match aim {
            Aim::Rest => CALM_TIME,
            Aim::Held { holder, .. } if Some(holder) == rank => HOLD_TIME,
            _ => BUSY_TIME,
        }
    }

    fn subscribe(&mut self, bytes: &[u8], from: SocketAddr) {
        let Some(asked) = gossip::decode::<Subscribe>(bytes) else {
            warn!(self.log, "strange_datagram"; "from" => %from);
            return;
        };
        let now = Millis::now();
        self.learn_era(asked.log_era);
        if self.entries.insert(from, now).is_none() {
            info!(self.log, "entry_met"; "entry" => %from);
        }
        self.entries.retain(|_, heard| now.since(*heard) < FORGET_TIME);
        if !asked.targets.is_empty() {
            self.shape = Some(asked);
        } else if asked.list_id != self.list() {
            // The next report says so, and the entry tells all again.
            self.last.load = Millis(0);
        }
    }

    /// Takes a word of another agent in.
    async fn hear(&mut self, bytes: &[u8]) {
        let now = Millis::now();
        let heard = gossip::decode::<Envelope<Message>>(bytes);
        let Some(Envelope { group, message }) = heard else {
            warn!(self.log, "strange_datagram");
            return;
        };
        // Ranks of another group have maps and passes of their own.
        if self.group() != Some(&group) {
            return;
        }
        match message {
            Message::Status(status) => {
                if let Some(lead) = &mut self.lead {
                    if status.fence > lead.fence() {
                        self.step_down(status.fence);
                        return;
                    }
                    lead.take(*status, now);
                    lead.advance(self.shape.as_ref(), now);
                    self.speak(now).await;
                }
            }
            Message::Directive(word, from) => {
                if word.fence < self.fence {
                    return;
                }
                self.fence = word.fence;
                if self.lead.as_ref().is_some_and(|it| it.fence() < word.fence)
                {
                    self.step_down(word.fence);
                }
                let before = self.word.as_ref().map(|it| it.0);
                self.note_seal(&word);
                self.word = Some((word, from, now));
                if before != Some(word) {
                    self.poll_engine().await;
                    self.prompt = matches!(word.aim, Aim::Held { .. });
                }
            }
            Message::Choices(choices) => {
                let shape = self.shape.as_ref();
                let experts = shape.map_or(0, |it| it.experts_per_set.into());
                if let Some(lead) = &mut self.lead {
                    lead.count(choices, experts);
                }
            }
            Message::Farewell(fence) => self.hear_farewell(fence),
            Message::Plan(sheet) => self.take_plan(sheet).await,
        }
    }

    /// Takes a plan, and passes it on.
    async fn take_plan(&mut self, mut sheet: Sheet) {
        if sheet.fence < self.fence {
            return;
        }
        self.fence = sheet.fence;
        let has = self.plan.as_ref().map(|it| it.version);
        if has == Some(sheet.version) {
            return;
        }
        match sheet.plan(self.plan.as_ref()) {
            Ok(plan) => self.plan = Some(plan),
            Err(misfit) => info!(self.log, "plan_misfit";
                "version" => sheet.version.0, "why" => ?misfit,
                "has" => ?has),
        }
        let pass_on = std::mem::take(&mut sheet.pass_on);
        self.tell(&Message::Plan(sheet), &pass_on).await;
    }

    /// Looks at the engine, does what is due and tells the others.
    async fn poll_engine(&mut self) {
        let before = self.standing();
        self.refresh().await;
        if let Some((word, _, _)) = self.word
            && self.carry_out(word).await
        {
            self.refresh().await;
        }
        let now = Millis::now();
        let changed = self.standing() != before;
        if changed {
            info!(self.log, "standing"; "now" => ?self.standing());
        }
        if changed || now.since(self.last.load) >= LOAD_TIME {
            self.last.load = now;
            self.tell_entries().await;
        }
        self.count(now).await;
        self.tell_coordinator(now).await;
        self.consider_leading(now).await;
    }

    fn note_seal(&mut self, word: &Directive) {
        if let Some(step) = order::coordinator_arm_step(word) {
            self.sealed = Some((word.epoch, step));
        }
    }

    /// The group that its engine is a rank of.
    fn group(&self) -> Option<&Name> {
        self.group.as_ref()
    }

    /// The list of engines that it knows; 0 for none.
    fn list(&self) -> u64 {
        self.shape.as_ref().map_or(0, |it| it.list_id)
    }

    fn report(&self) -> Option<&Report> {
        self.state.as_ref()?.report.as_ref()
    }

    fn standing(&self) -> Option<(Epoch, GroupState)> {
        self.report().map(|it| (it.epoch, it.standing))
    }

    async fn tell(&self, message: &Message, agents: &[SocketAddr]) {
        let Some(group) = self.group().cloned() else { return };
        let bytes = gossip::encode(&Envelope { group, message });
        for agent in agents {
            send(&self.log, &self.agents_socket, &bytes, *agent).await;
        }
    }

    /// How often words are repeated while a change is under way. A larger
    /// group says them less often, so that the coordinator's link and
    /// processor bear it.
    fn busy_time(&self) -> Millis {
        let ranks = self.report().map_or(0, |it| u64::from(it.ranks));
        Millis(BUSY_TIME.0 * ranks.div_ceil(BUSY_RANKS).max(1))
    }

    fn agents(&self) -> impl Iterator<Item = SocketAddr> {
        let port = self.settings.agent_port;
        let agents = self.shape.iter().flat_map(|it| &it.targets);
        agents.map(move |it| SocketAddr::new(it.ip(), port))
    }
}

async fn send(log: &Logger, socket: &UdpSocket, bytes: &[u8], to: SocketAddr) {
    if let Err(error) = socket.send_to(bytes, to).await {
        slog::debug!(log, "not_told"; "peer" => %to, "error" => %error);
    }
}
