//! The loop of an agent: look at the engine, do what is due, tell the others.
//!
//! The coordinator is whoever leads with the highest fencing number. Rank 0
//! takes the lead when nobody does; when it is silent, the next ranks in
//! turn wait a little longer each, so that mostly one of them takes over.

use std::{collections::BTreeMap, io, net::SocketAddr};

use cowsliproad_kernel::{
    clock::Millis,
    gossip::{self, Datagram, Load, Subscribe},
};
use cowsliproad_mapswitch::order::{
    self, Aim, Arms, Directive, Epoch, Report, Standing, Verdict,
};
use cowsliproad_platform::{
    engine::State,
    log::{COORDINATORS, Client},
};
use slog::{Logger, info, warn};
use tokio::{
    net::UdpSocket,
    task::JoinHandle,
    time::{Instant, sleep_until},
};

use crate::{
    engine::Engine,
    lead::{Lead, Start},
    settings::Settings,
    wire::{Message, Plan, Status},
};

/// How often the engine is looked at while nothing is going on.
const CALM_TIME: Millis = Millis(200);

/// How often while a change of map is under way: less than a pass takes.
const BUSY_TIME: Millis = Millis(30);

/// How long an order that was taken is given to show in the report before it
/// is repeated. Copies of two experts take 80 ms.
const TAKEN_TIME: Millis = Millis(120);

/// How often entries are told of the load.
const LOAD_TIME: Millis = Millis(400);

/// How often the counts are read; see [`cowsliproad_placement::demand`].
const COUNT_TIME: Millis = Millis(200);

/// How often the coordinator speaks, and agents report to it, in calm times.
const SPEAK_TIME: Millis = Millis(400);

/// Without a word for so long an agent tells all others that it is there.
const SEEK_TIME: Millis = Millis(900);

/// Entries that haven't asked for so long get no more reports.
const FORGET_TIME: Millis = Millis(4_000);

/// How long rank 0 waits for another coordinator before it leads.
const FIRST_PATIENCE: Millis = Millis(250);

/// How long rank 1 waits, and each next rank more. Three words may be lost.
const NEXT_PATIENCE: Millis = Millis(1_300);
const RANK_PATIENCE: Millis = Millis(400);

/// How long rank 0 waits in the middle of a change, when a word comes every
/// 30 ms and the group may stand still.
const BUSY_PATIENCE: Millis = Millis(350);

/// The longest time after which an unanswered order was seen carried out, and
/// some more.
const LATE_TIME: Millis = Millis(13_000);

/// How often an engine whose agent is silent is asked from afar.
const REACH_TIME: Millis = Millis(100);

/// The pause before the platform's log is asked for a number again.
const AGAIN_TIME: Millis = Millis(1_000);

/// A fencing number on its way from the platform's log.
type Candidacy = JoinHandle<Option<u64>>;

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
    state: Option<State>,
    experts: Option<(Epoch, order::Version, Vec<Vec<u16>>)>,
    counts: Option<(Epoch, Vec<Vec<u64>>)>,
    plan: Option<Plan>,
    /// The coordinator's last word, where it is, and when it came.
    word: Option<(Directive, SocketAddr, Millis)>,
    /// The highest fencing number met.
    fence: u64,
    lead: Option<Lead>,
    /// A number that is being fetched from the platform's log.
    candidacy: Option<Candidacy>,
    begun: Millis,
    last: Times,
}

/// When things were done last.
#[derive(Default)]
struct Times {
    load: Millis,
    count: Millis,
    status: Millis,
    speech: Millis,
    candidacy: Option<Millis>,
    said: Option<Directive>,
    /// When an *arm* went unanswered.
    unanswered_arm: Option<Millis>,
    /// The word for which a hold was ordered last, and when.
    hold: Option<Directive>,
    held: Millis,
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
            experts: None,
            counts: None,
            plan: None,
            word: None,
            fence: 0,
            lead: None,
            candidacy: None,
            begun: Millis::now(),
            last: Times::default(),
            settings,
        })
    }

    /// Runs until the process ends.
    pub async fn run(mut self) -> io::Result<()> {
        let mut from_entries = vec![0; gossip::MOST_BYTES];
        let mut from_agents = vec![0; gossip::MOST_BYTES];
        let mut next = Instant::now();
        loop {
            // Words of others go first: one that was frozen learns that it
            // no longer leads before it acts.
            tokio::select! {
                biased;
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
                    self.look().await;
                    next = Instant::now() + self.pause().duration();
                }
            }
        }
    }

    fn pause(&self) -> Millis {
        match &self.word {
            Some((word, _, _)) if word.aim != Aim::Rest => BUSY_TIME,
            _ => CALM_TIME,
        }
    }

    fn subscribe(&mut self, bytes: &[u8], from: SocketAddr) {
        let Some(asked) = gossip::decode::<Subscribe>(bytes) else {
            warn!(self.log, "strange_datagram"; "from" => %from);
            return;
        };
        let now = Millis::now();
        if self.entries.insert(from, now).is_none() {
            info!(self.log, "entry_met"; "entry" => %from);
        }
        self.entries.retain(|_, heard| now.since(*heard) < FORGET_TIME);
        if !asked.targets.is_empty() {
            self.shape = Some(asked);
        }
    }

    /// Takes a word of another agent in.
    async fn hear(&mut self, bytes: &[u8]) {
        let now = Millis::now();
        match gossip::decode::<Message>(bytes) {
            Some(Message::Status(status)) => {
                if let Some(lead) = &mut self.lead {
                    if status.fence > lead.fence() {
                        self.step_down(status.fence);
                        return;
                    }
                    lead.take(*status, now);
                    lead.look(self.shape.as_ref(), now);
                    self.speak(now).await;
                }
            }
            Some(Message::Directive(word, from)) => {
                if word.fence < self.fence {
                    return;
                }
                self.fence = word.fence;
                if self.lead.as_ref().is_some_and(|it| it.fence() < word.fence)
                {
                    self.step_down(word.fence);
                }
                let before = self.word.as_ref().map(|it| it.0);
                self.word = Some((word, from, now));
                if before != Some(word) {
                    self.look().await;
                }
            }
            Some(Message::Plan(plan)) => {
                if plan.fence >= self.fence {
                    self.fence = plan.fence;
                    self.plan = Some(plan);
                }
            }
            None => warn!(self.log, "strange_datagram"),
        }
    }

    fn step_down(&mut self, fence: u64) {
        info!(self.log, "steps_down"; "fence" => fence);
        self.fence = self.fence.max(fence);
        self.lead = None;
        self.last.said = None;
    }

    /// Looks at the engine, does what is due and tells the others.
    async fn look(&mut self) {
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

    async fn refresh(&mut self) {
        match self.engine.state().await {
            Ok(state) => self.state = Some(state),
            Err(error) => {
                if self.state.take().is_some() {
                    info!(self.log, "engine_lost"; "error" => %error);
                }
                return;
            }
        }
        let Some(report) = self.report() else { return };
        let (epoch, map) = (report.epoch, report.map);
        let known = self.experts.as_ref().map(|it| (it.0, it.1));
        if known != Some((epoch, map)) {
            match self.engine.lists().await {
                Ok(lists) => {
                    self.experts = Some((epoch, lists.version, lists.experts));
                }
                Err(error) => {
                    info!(self.log, "no_lists"; "error" => %error);
                }
            }
        }
    }

    fn report(&self) -> Option<&Report> {
        self.state.as_ref()?.report.as_ref()
    }

    fn standing(&self) -> Option<(Epoch, Standing)> {
        self.report().map(|it| (it.epoch, it.standing))
    }

    /// Gives the order that is due, if any, and says whether it gave one.
    async fn carry_out(&mut self, word: Directive) -> bool {
        let plan = self.plan.as_ref();
        let plan = plan.filter(|it| it.epoch == word.epoch);
        let plan = plan.map(|it| (it.version, &it.experts));
        let Some(due) =
            self.report().and_then(|it| order::due(&word, it, plan))
        else {
            return false;
        };
        if let Some((taken, at)) = self.last.taken
            && taken == word
            && Millis::now().since(at) < TAKEN_TIME
        {
            return false;
        }
        let given = self.engine.order(&due, word.epoch, word.fence).await;
        let name = name(&due);
        match given {
            Ok(Verdict::Taken) => {
                self.last.taken = Some((word, Millis::now()));
                info!(self.log, "order_taken"; "order" => name,
                    "aim" => ?word.aim);
            }
            Ok(Verdict::Unfit) => {
                info!(self.log, "order_refused"; "order" => name,
                    "aim" => ?word.aim, "report" => ?self.report());
            }
            Ok(Verdict::Fenced) => {
                info!(self.log, "order_fenced"; "order" => name,
                    "fence" => word.fence);
                self.word = None;
                if self.lead.is_some() {
                    self.step_down(word.fence);
                }
            }
            Err(error) => {
                if matches!(due, order::Order::Arm(..)) {
                    self.last.unanswered_arm = Some(Millis::now());
                }
                info!(self.log, "order_unanswered"; "order" => name,
                    "aim" => ?word.aim, "error" => %error);
            }
        }
        true
    }

    async fn tell_entries(&mut self) {
        let Some(state) = &self.state else { return };
        let report = state.report.as_ref();
        let load = Datagram::Load(Load {
            target: self.settings.engine,
            running: state.running,
            queued: state.queued,
            pace: (state.pace * 100.0) as u32,
            epoch: report.map_or(0, |it| it.epoch.0),
            step: report.map_or(0, |it| it.step),
            open: report.is_none_or(|it| it.standing == Standing::Open),
        });
        let bytes = gossip::encode(&load);
        for entry in self.entries.keys() {
            send(&self.log, &self.entries_socket, &bytes, *entry).await;
        }
    }

    async fn count(&mut self, now: Millis) {
        if now.since(self.last.count) < COUNT_TIME || self.word.is_none() {
            return;
        }
        let Some(shape) = &self.shape else { return };
        self.last.count = now;
        match self.engine.choices(usize::from(shape.experts)).await {
            Ok(choices) => self.counts = Some((choices.epoch, choices.counts)),
            Err(error) => info!(self.log, "no_counts"; "error" => %error),
        }
        self.last.status = Millis(0);
    }

    async fn tell_coordinator(&mut self, now: Millis) {
        let Some((word, to, heard)) = self.word else {
            return self.seek_coordinator(now).await;
        };
        if self.lead.is_none() && now.since(heard) > SEEK_TIME {
            return self.seek_coordinator(now).await;
        }
        let busy = word.aim != Aim::Rest;
        if !busy && now.since(self.last.status) < SPEAK_TIME {
            return;
        }
        let with_counts = self.last.status == Millis(0);
        let Some(status) = self.status(with_counts) else { return };
        self.last.status = now;
        if let Some(lead) = &mut self.lead {
            lead.take(status, now);
            lead.look(self.shape.as_ref(), now);
            self.speak(now).await;
            return;
        }
        let bytes = gossip::encode(&Message::Status(Box::new(status)));
        send(&self.log, &self.agents_socket, &bytes, to).await;
    }

    /// Tells all agents that it hears from no coordinator. One that was
    /// frozen or cut off may be missing in the coordinator's list.
    async fn seek_coordinator(&mut self, now: Millis) {
        if now.since(self.last.status) < SPEAK_TIME {
            return;
        }
        let Some(status) = self.status(false) else { return };
        self.last.status = now;
        let bytes = gossip::encode(&Message::Status(Box::new(status)));
        for agent in self.agents().filter(|it| *it != self.own) {
            send(&self.log, &self.agents_socket, &bytes, agent).await;
        }
    }

    fn status(&self, with_counts: bool) -> Option<Status> {
        let report = self.report()?.clone();
        let epoch = report.epoch;
        let experts = self.experts.as_ref().filter(|it| it.0 == epoch);
        let counts = self.counts.as_ref().filter(|it| it.0 == epoch);
        let counts = counts.filter(|_| with_counts);
        Some(Status {
            agent: self.own,
            fence: self.fence,
            plan: self.plan.as_ref().map(|it| it.version),
            experts: experts.map(|it| (it.1, it.2.clone())),
            counts: counts.map(|it| it.1.clone()),
            pace: self.state.as_ref().map_or(1.0, |it| it.pace as f32),
            arms: self.arms(),
            report,
        })
    }

    /// Does an agent's work for it, while it is silent and the group may stand
    /// still for it. Calls from afar are dear and hold the caller up, so one
    /// VM is reached at a time.
    async fn reach_silent(&mut self, now: Millis) {
        let (Some(lead), Some(shape)) = (&self.lead, &self.shape) else {
            return;
        };
        let calm = lead.directive().aim == Aim::Rest;
        if calm || now.since(self.last.reach) < REACH_TIME {
            return;
        }
        let silent = |it: &&SocketAddr| lead.is_silent(it.ip(), now);
        let silent: Vec<SocketAddr> =
            shape.targets.iter().filter(silent).copied().collect();
        let count = silent.len().max(1);
        let Some(target) = silent.get(self.last.reached % count) else {
            return;
        };
        self.last.reached += 1;
        self.last.reach = now;
        let mut engine = Engine::new(*target);
        let state = match engine.state().await {
            Ok(state) => state,
            Err(error) => {
                info!(self.log, "engine_out_of_reach"; "target" => %target,
                    "error" => %error);
                return;
            }
        };
        let Some(report) = state.report else { return };
        let word = lead.directive();
        let plan = lead.plan().filter(|it| it.epoch == word.epoch);
        let plan = plan.map(|it| (it.version, &it.experts));
        // An engine that took an order of ours refuses those with lower
        // numbers, whatever its agent may yet do. So one that is armed is
        // armed once more.
        let again = match word.aim {
            Aim::Armed { version, step, .. }
                if report.armed == Some((version, step)) =>
            {
                Some(order::Order::Arm(version, step))
            }
            _ => None,
        };
        let due = order::due(&word, &report, plan).or(again);
        let mut fence = 0;
        if let Some(due) = due {
            let given = engine.order(&due, word.epoch, word.fence).await;
            info!(self.log, "order_from_afar"; "order" => name(&due),
                "aim" => ?word.aim, "target" => %target,
                "outcome" => ?given.as_ref().ok());
            match given {
                Ok(Verdict::Fenced) => {
                    self.step_down(word.fence);
                    return;
                }
                Ok(Verdict::Taken) => fence = word.fence,
                Ok(Verdict::Unfit) | Err(_) => {}
            }
        }
        let status = Status {
            agent: SocketAddr::new(target.ip(), self.settings.agent_port),
            fence,
            plan: None,
            experts: None,
            counts: None,
            pace: state.pace as f32,
            arms: Arms::InDoubt,
            report,
        };
        if let Some(lead) = &mut self.lead {
            lead.take(status, Millis::now());
            lead.look(self.shape.as_ref(), Millis::now());
        }
    }

    /// Whether an *arm* of this agent may still be carried out.
    fn arms(&self) -> Arms {
        let now = Millis::now();
        let unsure = [Some(self.begun), self.last.unanswered_arm];
        let recent = |at: &Millis| now.since(*at) < LATE_TIME;
        if unsure.iter().flatten().any(recent) {
            Arms::InDoubt
        } else {
            Arms::Answered
        }
    }

    /// Orders the hold, which another rank's engine has to take from afar.
    async fn order_hold(&mut self) {
        let now = Millis::now();
        let Some((vm, due)) = self.lead.as_ref().and_then(|it| it.hold())
        else {
            return;
        };
        let word = self.lead.as_ref().map(|it| it.directive());
        let target = self
            .shape
            .iter()
            .flat_map(|it| &it.targets)
            .find(|it| it.ip() == vm);
        let (Some(word), Some(target)) = (word, target.copied()) else {
            return;
        };
        let again = self.last.hold == Some(word)
            && now.since(self.last.held) < TAKEN_TIME;
        if again {
            return;
        }
        self.last.hold = Some(word);
        self.last.held = now;
        let mut engine = Engine::new(target);
        let given = engine.order(&due, word.epoch, word.fence).await;
        info!(self.log, "order_from_afar"; "order" => name(&due),
            "aim" => ?word.aim, "target" => %target,
            "outcome" => ?given.as_ref().ok());
        if matches!(given, Ok(Verdict::Fenced)) {
            self.step_down(word.fence);
        }
    }

    /// Says the coordinator's word, if this agent is it.
    async fn speak(&mut self, now: Millis) {
        let Some(lead) = &self.lead else { return };
        let word = lead.directive();
        let new = self.last.said != Some(word);
        let busy = word.aim != Aim::Rest;
        let time = if busy { BUSY_TIME } else { SPEAK_TIME };
        if !new && now.since(self.last.speech) < time {
            return;
        }
        self.last.speech = now;
        self.last.said = Some(word);
        if let Some(plan) = lead.plan() {
            self.plan = Some(plan.clone());
            let bytes = gossip::encode(&Message::Plan(plan.clone()));
            for agent in lead.lacking().filter(|it| *it != self.own) {
                send(&self.log, &self.agents_socket, &bytes, agent).await;
            }
        }
        let bytes = gossip::encode(&Message::Directive(word, self.own));
        let mut agents: Vec<SocketAddr> = self.agents().collect();
        let known = lead.agents().filter(|it| !agents.contains(it));
        agents.extend(known.collect::<Vec<_>>());
        for agent in agents.into_iter().filter(|it| *it != self.own) {
            send(&self.log, &self.agents_socket, &bytes, agent).await;
        }
        self.word = Some((word, self.own, now));
        if new {
            self.carry_out(word).await;
        }
        self.order_hold().await;
    }

    fn agents(&self) -> impl Iterator<Item = SocketAddr> {
        let port = self.settings.agent_port;
        let agents = self.shape.iter().flat_map(|it| &it.targets);
        agents.map(move |it| SocketAddr::new(it.ip(), port))
    }

    /// Takes the lead when nobody has it.
    async fn consider_leading(&mut self, now: Millis) {
        if self.lead.is_some() {
            self.reach_silent(now).await;
            self.speak(now).await;
            return;
        }
        if self.candidacy.is_some() || !self.misses_coordinator(now) {
            return;
        }
        let again = |at: Millis| now.since(at) > AGAIN_TIME;
        if self.last.candidacy.is_none_or(again) {
            self.last.candidacy = Some(now);
            info!(self.log, "asks_for_number";
                "standing" => ?self.standing());
            let (log, vm) = (self.settings.log, self.settings.vm.clone());
            let task = number(log, vm.to_string(), self.log.clone());
            self.candidacy = Some(tokio::task::spawn_local(task));
        }
    }

    /// Leads, if nobody else does by now.
    async fn take_number(&mut self, number: Option<u64>) {
        let now = Millis::now();
        let Some(fence) = number else {
            info!(self.log, "no_fencing_number");
            return;
        };
        if fence <= self.fence || !self.misses_coordinator(now) {
            info!(self.log, "number_unused"; "fence" => fence);
            return;
        }
        info!(self.log, "leads"; "fence" => fence);
        self.fence = fence;
        let price = self.settings.move_price;
        let Some(rank) = self.report().map(|it| it.rank) else { return };
        let predecessor = self.word.as_ref().map(|it| it.1.ip());
        let start = Start { fence, rank, predecessor };
        self.lead = Some(Lead::new(start, price, self.log.clone()));
        self.speak(now).await;
    }

    /// Whether the group is open and nobody has led it for too long.
    fn misses_coordinator(&self, now: Millis) -> bool {
        let Some(report) = self.report() else { return false };
        if report.standing == Standing::Broken || self.shape.is_none() {
            return false;
        }
        let busy = |it: &Directive| it.aim != Aim::Rest;
        let patience = match (report.rank, &self.word) {
            (0, None) => FIRST_PATIENCE,
            (rank, Some((word, _, _))) if busy(word) => {
                BUSY_PATIENCE + Millis(RANK_PATIENCE.0 * u64::from(rank) / 4)
            }
            (rank, _) => {
                NEXT_PATIENCE + Millis(RANK_PATIENCE.0 * u64::from(rank))
            }
        };
        let heard = self.word.as_ref().map_or(self.begun, |it| it.2);
        now.since(heard) > patience
    }
}

/// A fencing number: one more than the offset of a record of ours, so that
/// it is never 0 and always higher than all before.
async fn number(log: SocketAddr, vm: String, logger: Logger) -> Option<u64> {
    match Client::new(log).append(COORDINATORS, vm.as_bytes()).await {
        Ok(offset) => Some(offset + 1),
        Err(error) => {
            warn!(logger, "log_lost"; "error" => %error);
            None
        }
    }
}

async fn send(log: &Logger, socket: &UdpSocket, bytes: &[u8], to: SocketAddr) {
    if let Err(error) = socket.send_to(bytes, to).await {
        slog::debug!(log, "not_told"; "peer" => %to, "error" => %error);
    }
}

fn name(order: &order::Order) -> &'static str {
    match order {
        order::Order::Prepare(..) => "prepare",
        order::Order::Arm(..) => "arm",
        order::Order::Disarm(_) => "disarm",
        order::Order::Hold(_) => "hold",
        order::Order::Go(_) => "go",
    }
}

/// The number that was asked for, once it has come.
async fn candidate(candidacy: &mut Option<Candidacy>) -> Option<u64> {
    match candidacy {
        Some(task) => task.await.ok().flatten(),
        None => std::future::pending().await,
    }
}
