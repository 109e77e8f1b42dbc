//! The loop of an agent: read the engine's state, send the orders that are
//! needed and notify the other agents.
//!
//! The coordinator is the agent that leads with the highest fencing number.
//! Rank 0 takes over if the group has no coordinator. If rank 0 is silent,
//! each following rank waits slightly longer than the rank before, so that
//! usually only one of them takes over.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::SocketAddr,
};

use cowsliproad_admission::{
    members::EarlierProcess, retry_report::RetryReports,
};
use cowsliproad_kernel::{
    Name,
    clock::Millis,
    gossip::{self, Datagram, LoadSubscription, RetryReport},
    position::{LogEra, LogPosition},
};
use cowsliproad_mapswitch::order::{
    self, DesiredState, Directive, Epoch, GroupState, RankReport,
};
use cowsliproad_net::{tcp, timer::sleep_until};
use cowsliproad_platform::engine::EngineState;
use cowsliproad_routing::cooldown::Cooldown;
use slog::{Logger, debug, info, warn};
use tokio::{net::UdpSocket, task::JoinHandle};

use self::chair::wait_for_fencing_number_record;
use crate::{
    engine::EngineClient,
    lead::GroupCoordinator,
    plan::{MapPlan, PlanUpdate},
    rota::SelectionCountReportSchedule,
    settings::Settings,
    wire::{AgentMessage, GroupMessage, UrgentRankStatus},
};

mod chair;
mod orders;
mod readings;
mod words;

/// The interval at which the agent polls its engine while no switch is in
/// progress.
const ENGINE_POLL_INTERVAL_WITHOUT_MAP_SWITCH: Millis = Millis(50);

/// The interval at which an agent polls its engine while a switch of maps is
/// in progress: shorter than a pass.
const ENGINE_POLL_INTERVAL_DURING_MAP_SWITCH: Millis = Millis(30);

/// The interval at which an agent polls its engine while the directive
/// requires this engine to hold the group: the group may be stopped until all
/// ranks are armed.
const ENGINE_POLL_INTERVAL_DURING_HOLD: Millis = Millis(6);

/// The interval at which the agent reports the engine's load to entry
/// processes.
const LOAD_REPORT_INTERVAL: Millis = Millis(400);

/// The number of ranks up to which messages are repeated every
/// [`ENGINE_POLL_INTERVAL_DURING_MAP_SWITCH`].
const MAX_RANKS_AT_SHORTEST_MESSAGE_INTERVAL: u64 = 16;

/// How long a stopping agent waits at most for a switch of maps to end. A
/// switch takes half a second at 72 ranks; the platform gives a process some
/// seconds to stop.
const AGENT_STOP_TIMEOUT: Millis = Millis(2_000);

/// The time after which the subscription of an entry process expires unless
/// renewed.
const LOAD_SUBSCRIPTION_TTL: Millis = Millis(4_000);

/// A task that acquires a fencing number from the platform's log.
type FencingNumberTask = JoinHandle<Option<LogPosition>>;

/// An agent that reports the load of one model engine to entry processes and
/// sends the engine the orders of a switch of expert maps.
pub struct Agent {
    settings: Settings,
    log: Logger,
    engine_client: EngineClient,
    entry_process_socket: UdpSocket,
    agent_message_socket: UdpSocket,
    own_address: SocketAddr,
    /// The entry processes that subscribed to load reports, and when each last
    /// renewed its subscription.
    subscribed_entry_processes: BTreeMap<SocketAddr, Millis>,
    /// Retries that entry processes reported.
    retry_reports: RetryReports,
    /// The service's targets and expert layout, as last received from an entry
    /// process.
    service_shape: Option<LoadSubscription>,
    engine_state: Option<EngineState>,
    /// When the engine's process started. The state read from the engine
    /// belongs to this process.
    engine_start_unix_ms: Option<u64>,
    /// Whether the engine's process is known to have ended.
    engine_process: EngineProcessState,
    /// The cooldowns that the engines of other ranks requested, each with the
    /// epoch of the group in which the engine requested the cooldown.
    remote_engine_cooldowns: BTreeMap<SocketAddr, (Epoch, Cooldown)>,
    /// The group that the engine last named as its own.
    engine_group: Option<Name>,
    /// The engines of the service that belong to other groups.
    engines_of_other_groups: BTreeSet<SocketAddr>,
    expert_lists_of_map_in_use: Option<(Epoch, order::Version, Vec<Vec<u16>>)>,
    last_selection_counts: Option<SelectionCountReading>,
    selection_count_report_schedule: Option<SelectionCountReportSchedule>,
    held_plan: Option<MapPlan>,
    /// The last received directive, the address of the coordinator that sent
    /// the directive, and the time of receipt.
    last_directive: Option<(Directive, SocketAddr, Millis)>,
    /// The group's epoch and the pass for which the agent last received the
    /// announcement that the coordinator's own rank arms.
    announced_coordinator_arming_pass: Option<(Epoch, u64)>,
    /// The highest fencing number that the agent has received.
    max_known_fencing_number: u64,
    /// The newest known era of the platform's log.
    newest_log_era: LogEra,
    coordinator: Option<GroupCoordinator>,
    /// The task that acquires a fencing number, if one is running.
    fencing_number_task: Option<FencingNumberTask>,
    agent_start: Millis,
    /// The group's epoch and the pass in the engine's first report to this
    /// agent process.
    first_reported_epoch_and_pass: Option<(Epoch, u64)>,
    /// When the agent was asked to stop, if at all.
    stop_request_time: Option<Millis>,
    /// Whether the agent must poll the engine again without waiting for the
    /// interval.
    poll_engine_again_at_once: bool,
    last_actions: LastAgentActions,
}

/// Whether an engine's process has ended. A process that doesn't answer may
/// still run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EngineProcessState {
    Ended,
    NotKnownEnded,
}

/// The selection counts that the agent read from its engine.
#[derive(Clone)]
struct SelectionCountReading {
    /// When the agent requested the counts. The engine may have counted later
    /// selections, too, but none that were made before that time are missing.
    requested_at: Millis,
    epoch: Epoch,
    /// How often requests selected each expert, by layer set and expert.
    counts: Vec<Vec<u64>>,
}

/// An *arm* order that the engine didn't answer.
#[derive(Clone, Copy)]
struct UnansweredArmOrder {
    epoch: Epoch,
    /// The pass at which the order was to switch maps.
    switch_pass: u64,
    order_time: Millis,
}

/// The time and content of the last action of each kind that an agent took.
#[derive(Default)]
struct LastAgentActions {
    load_report_time: Millis,
    status_time: Millis,
    directive_time: Millis,
    fencing_number_request_time: Option<Millis>,
    sent_directive: Option<Directive>,
    /// The last *arm* order that the engine didn't answer.
    unanswered_arm_order: Option<UnansweredArmOrder>,
    /// The directive for which the agent, as the coordinator, last sent the
    /// *hold* order to the engine that has to hold the group.
    hold_directive: Option<Directive>,
    hold_order_time: Millis,
    /// The urgent part of the status that the agent last sent to the
    /// coordinator.
    last_sent_urgent_rank_status: Option<UrgentRankStatus>,
    /// The version of the plan that the agent last distributed as coordinator.
    distributed_plan_version: Option<order::Version>,
    plan_distribution_time: Millis,
    /// When the agent last called the engine of a silent agent.
    silent_agent_engine_call_time: Millis,
    silent_agent_engine_call_count: usize,
    /// The directive for which the engine last accepted an order, and the time
    /// at which the engine accepted the order.
    accepted_order: Option<(Directive, Millis)>,
}

impl Agent {
    /// Creates an agent that has not polled its engine yet.
    pub async fn new(settings: Settings, log: Logger) -> io::Result<Agent> {
        let at = |port| SocketAddr::new(settings.vm_address, port);
        let own_address = at(settings.agent_datagram_port);
        Ok(Agent {
            engine_client: EngineClient::new(settings.engine_address),
            entry_process_socket: tcp::bind_udp(
                &log,
                at(settings.entry_datagram_port),
            )
            .await?,
            agent_message_socket: tcp::bind_udp(&log, own_address).await?,
            own_address,
            log,
            retry_reports: RetryReports::default(),
            subscribed_entry_processes: BTreeMap::new(),
            service_shape: None,
            engine_state: None,
            engine_start_unix_ms: None,
            engine_process: EngineProcessState::NotKnownEnded,
            remote_engine_cooldowns: BTreeMap::new(),
            engine_group: None,
            engines_of_other_groups: BTreeSet::new(),
            expert_lists_of_map_in_use: None,
            last_selection_counts: None,
            selection_count_report_schedule: None,
            held_plan: None,
            last_directive: None,
            announced_coordinator_arming_pass: None,
            max_known_fencing_number: 0,
            newest_log_era: LogEra::default(),
            coordinator: None,
            fencing_number_task: None,
            agent_start: Millis::now(),
            first_reported_epoch_and_pass: None,
            stop_request_time: None,
            poll_engine_again_at_once: false,
            last_actions: LastAgentActions::default(),
            settings,
        })
    }

    /// Runs the agent until it is asked to stop and no switch of maps needs
    /// it.
    pub async fn run_until_stopped(
        mut self,
        stop: impl Future<Output = ()>,
    ) -> io::Result<()> {
        let mut stop = std::pin::pin!(stop);
        let mut from_entries = vec![0; gossip::MAX_DATAGRAM_BYTES];
        let mut from_agents = vec![0; gossip::MAX_DATAGRAM_BYTES];
        let mut next_poll = Millis::now();
        loop {
            // Messages of other agents come first: an agent that was frozen
            // has to learn that it was replaced as coordinator before it acts.
            tokio::select! {
                biased;
                () = &mut stop, if self.stop_request_time.is_none() => {
                    self.stop_request_time = Some(Millis::now());
                    if let Some(coordinator) = &mut self.coordinator {
                        coordinator.prevent_further_map_switches();
                    }
                }
                got = self.agent_message_socket
                    .recv_from(&mut from_agents) => {
                    if let Ok((length, _)) = got {
                        self.handle_agent_message(&from_agents[..length])
                            .await;
                    }
                }
                got = self.entry_process_socket
                    .recv_from(&mut from_entries) => {
                    if let Ok((length, from)) = got {
                        self.handle_subscription(
                            &from_entries[..length], from);
                    }
                }
                record = wait_for_fencing_number_record(
                    &mut self.fencing_number_task) => {
                    self.fencing_number_task = None;
                    self.become_coordinator(record).await;
                }
                () = sleep_until(next_poll) => {
                    self.poll_engine().await;
                    next_poll =
                        Millis::now() + self.engine_poll_interval();
                }
            }
            if self.can_agent_stop() {
                self.broadcast_coordinator_stop().await;
                return Ok(());
            }
            // The next report shows the effect of an order or directive.
            if std::mem::take(&mut self.poll_engine_again_at_once) {
                next_poll = Millis::now();
            }
        }
    }

    /// Returns whether the agent was asked to stop and no switch of maps,
    /// which may hold the group, needs the agent any more.
    fn can_agent_stop(&self) -> bool {
        let Some(since) = self.stop_request_time else { return false };
        let aim = self
            .last_directive
            .as_ref()
            .map_or(DesiredState::Rest, |it| it.0.desired_state);
        aim == DesiredState::Rest
            || Millis::now().since(since) > AGENT_STOP_TIMEOUT
    }

    fn engine_poll_interval(&self) -> Millis {
        let aim = self
            .last_directive
            .as_ref()
            .map_or(DesiredState::Rest, |it| it.0.desired_state);
        let rank = self.engine_report().map(|it| it.rank);
        match aim {
            DesiredState::Rest => ENGINE_POLL_INTERVAL_WITHOUT_MAP_SWITCH,
            DesiredState::Held { holder, .. } if Some(holder) == rank => {
                ENGINE_POLL_INTERVAL_DURING_HOLD
            }
            _ => ENGINE_POLL_INTERVAL_DURING_MAP_SWITCH,
        }
    }

    /// Keeps an entry process's report of its retries for the next process at
    /// that address, and answers one that asks for it. All entry processes may
    /// end at once, so agents keep reports too.
    fn keep_retry_report(&mut self, report: RetryReport, sender: SocketAddr) {
        let now = Millis::now();
        // An agent hears only from the entry processes that chose it.
        let earlier = EarlierProcess::Unclear;
        let history = self.retry_reports.merge(report, earlier, now, now);
        let Some(history) = history else { return };
        let answer = gossip::encode(&Datagram::RetryHistory(history));
        if let Err(error) =
            self.entry_process_socket.try_send_to(&answer, sender)
        {
            debug!(self.log, "not_told"; "entry" => %sender,
                "error" => %error);
        }
    }

    fn handle_subscription(&mut self, datagram: &[u8], sender: SocketAddr) {
        let Some(subscription) = gossip::decode::<LoadSubscription>(datagram)
        else {
            match gossip::decode::<Datagram>(datagram) {
                Some(Datagram::RetryReport(report)) => {
                    self.keep_retry_report(report, sender)
                }
                _ => {
                    warn!(self.log, "strange_datagram"; "from" => %sender)
                }
            }
            return;
        };
        let now = Millis::now();
        self.record_log_era(subscription.log_era);
        if self.subscribed_entry_processes.insert(sender, now).is_none() {
            info!(self.log, "entry_met"; "entry" => %sender);
        }
        self.subscribed_entry_processes.retain(|_, last_received| {
            now.since(*last_received) < LOAD_SUBSCRIPTION_TTL
        });
        if !subscription.targets.is_empty() {
            self.service_shape = Some(subscription);
        } else if subscription.target_list_id != self.target_list_id() {
            // The load report names the list of targets that the agent has,
            // and the entry process then sends the full list again.
            self.last_actions.load_report_time = Millis(0);
        }
    }

    /// Handles a datagram from another agent.
    async fn handle_agent_message(&mut self, datagram: &[u8]) {
        let now = Millis::now();
        let decoded = gossip::decode::<GroupMessage<AgentMessage>>(datagram);
        let Some(GroupMessage { group_name, agent_message }) = decoded else {
            warn!(self.log, "strange_datagram");
            return;
        };
        // The ranks of another group have their own maps and passes.
        if self.engine_group() != Some(&group_name) {
            return;
        }
        match agent_message {
            AgentMessage::Status(status) => {
                if let Some(coordinator) = &mut self.coordinator {
                    if status.max_known_fencing_number
                        > coordinator.fencing_number()
                    {
                        self.step_down_as_coordinator(
                            status.max_known_fencing_number,
                        );
                        return;
                    }
                    coordinator.merge_rank_status(*status, now);
                    coordinator
                        .advance_map_switch(self.service_shape.as_ref(), now);
                    self.broadcast_directive(now).await;
                }
            }
            AgentMessage::Directive(directive, from) => {
                if directive.fencing_number < self.max_known_fencing_number {
                    return;
                }
                self.max_known_fencing_number = directive.fencing_number;
                if self.coordinator.as_ref().is_some_and(|it| {
                    it.fencing_number() < directive.fencing_number
                }) {
                    self.step_down_as_coordinator(directive.fencing_number);
                }
                let before = self.last_directive.as_ref().map(|it| it.0);
                self.record_coordinator_arming_announcement(&directive);
                self.last_directive = Some((directive, from, now));
                if before != Some(directive) {
                    self.poll_engine().await;
                    self.poll_engine_again_at_once = matches!(
                        directive.desired_state,
                        DesiredState::Held { .. }
                    );
                }
            }
            AgentMessage::SelectionCountIncrease(increase) => {
                let shape = self.service_shape.as_ref();
                let experts_per_set =
                    shape.map_or(0, |it| it.experts_per_layer_set.into());
                if let Some(coordinator) = &mut self.coordinator {
                    coordinator.add_selection_count_increase(
                        increase,
                        experts_per_set,
                    );
                }
            }
            AgentMessage::CoordinatorStop(fencing_number) => {
                self.handle_coordinator_stop(fencing_number)
            }
            AgentMessage::Plan(update) => {
                self.accept_and_forward_plan(update).await
            }
        }
    }

    /// Accepts a plan update and forwards it to the agents that the update
    /// names.
    async fn accept_and_forward_plan(&mut self, mut update: PlanUpdate) {
        if update.fencing_number < self.max_known_fencing_number {
            return;
        }
        self.max_known_fencing_number = update.fencing_number;
        let has = self.held_plan.as_ref().map(|it| it.map_version);
        if has == Some(update.map_version) {
            return;
        }
        match update.rebuild_plan(self.held_plan.as_ref()) {
            Ok(plan) => self.held_plan = Some(plan),
            Err(error) => info!(self.log, "plan_misfit";
                "version" => update.map_version.0, "why" => ?error,
                "has" => ?has),
        }
        let forward_to_agents = std::mem::take(&mut update.forward_to_agents);
        self.send_message_to_agents(
            &AgentMessage::Plan(update),
            &forward_to_agents,
        )
        .await;
    }

    /// Polls the engine, sends the order that the last directive requires and
    /// reports to entry processes and the coordinator.
    async fn poll_engine(&mut self) {
        let before = self.group_epoch_and_state();
        self.read_engine_state().await;
        if let Some((directive, _, _)) = self.last_directive
            && self.send_order_required_by_directive(directive).await
        {
            self.read_engine_state().await;
        }
        let now = Millis::now();
        let changed = self.group_epoch_and_state() != before;
        if changed {
            info!(self.log, "standing";
                "now" => ?self.group_epoch_and_state());
        }
        if changed
            || now.since(self.last_actions.load_report_time)
                >= LOAD_REPORT_INTERVAL
        {
            self.last_actions.load_report_time = now;
            self.report_load_to_entry_processes().await;
        }
        self.report_selection_count_increase(now).await;
        self.report_status_to_coordinator(now).await;
        self.act_as_coordinator_or_candidate(now).await;
    }

    fn record_coordinator_arming_announcement(
        &mut self,
        directive: &Directive,
    ) {
        if let Some(step) = order::announced_coordinator_arming_step(directive)
        {
            self.announced_coordinator_arming_pass =
                Some((directive.epoch, step));
        }
    }

    /// Returns the group to which the agent's engine belongs.
    fn engine_group(&self) -> Option<&Name> {
        self.engine_group.as_ref()
    }

    /// Returns the id of the list of the service's engines that the agent has;
    /// 0 without a list.
    fn target_list_id(&self) -> u64 {
        self.service_shape.as_ref().map_or(0, |it| it.target_list_id)
    }

    fn engine_report(&self) -> Option<&RankReport> {
        self.engine_state.as_ref()?.report.as_ref()
    }

    fn group_epoch_and_state(&self) -> Option<(Epoch, GroupState)> {
        self.engine_report().map(|it| (it.epoch, it.group_state))
    }

    async fn send_message_to_agents(
        &self,
        agent_message: &AgentMessage,
        agents: &[SocketAddr],
    ) {
        let Some(group_name) = self.engine_group().cloned() else { return };
        let bytes =
            gossip::encode(&GroupMessage { group_name, agent_message });
        for agent in agents {
            send_datagram(
                &self.log,
                &self.agent_message_socket,
                &bytes,
                *agent,
            )
            .await;
        }
    }

    /// Returns the interval at which messages are repeated while a switch is
    /// in progress. A larger group repeats them less often, to limit the load
    /// on the coordinator's link and processor.
    fn message_interval_during_map_switch(&self) -> Millis {
        let ranks = self.engine_report().map_or(0, |it| u64::from(it.ranks));
        Millis(
            ENGINE_POLL_INTERVAL_DURING_MAP_SWITCH.0
                * ranks
                    .div_ceil(MAX_RANKS_AT_SHORTEST_MESSAGE_INTERVAL)
                    .max(1),
        )
    }

    fn agent_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let port = self.settings.agent_datagram_port;
        let agents = self.service_shape.iter().flat_map(|it| &it.targets);
        agents.map(move |it| SocketAddr::new(it.ip(), port))
    }
}

async fn send_datagram(
    log: &Logger,
    socket: &UdpSocket,
    bytes: &[u8],
    receiver: SocketAddr,
) {
    if let Err(error) = socket.send_to(bytes, receiver).await {
        debug!(log, "not_told"; "peer" => %receiver, "error" => %error);
    }
}
