//! The messages of an agent to entry processes, to the coordinator and, as
//! coordinator, to all agents.

use std::net::SocketAddr;

use cowsliproad_kernel::{
    clock::Millis,
    gossip::{self, Datagram, EngineExit, EngineLoad},
};
use cowsliproad_mapswitch::order::{self, DesiredState, GroupState};
use slog::info;

use super::{Agent, EngineProcessState, send_datagram};
use crate::{
    lead::GroupCoordinator,
    plan::MapPlan,
    wire::{AgentMessage, RankStatus},
};

/// The maximum number of agents to which the coordinator itself sends a plan.
/// These agents forward the plan to the other agents.
const MAX_DIRECT_PLAN_RECIPIENTS: usize = 16;

/// The interval of the coordinator's directives, and of the agents' statuses,
/// while no switch is in progress.
const MESSAGE_INTERVAL_WITHOUT_MAP_SWITCH: Millis = Millis(400);

/// The time without a directive after which an agent sends its status to all
/// agents.
const COORDINATOR_SILENCE_TIMEOUT: Millis = Millis(900);

impl Agent {
    pub(super) async fn report_load_to_entry_processes(&mut self) {
        let Some(state) = &self.engine_state else {
            return self.report_engine_exit_to_entry_processes().await;
        };
        let report = state.report.as_ref();
        let load = Datagram::Load(EngineLoad {
            engine_address: self.settings.engine_address,
            running_requests: state.running_requests,
            queued_requests: state.queued_requests,
            service_time_percent_of_normal: (state.slowdown_factor * 100.0)
                as u32,
            group_name: state.group.clone().unwrap_or_else(|| "".into()),
            group_epoch: report.map_or(0, |it| it.epoch.0),
            last_forward_pass: report.map_or(0, |it| it.latest_begun_pass),
            group_accepts_requests: report
                .is_none_or(|it| it.group_state == GroupState::Open),
            target_list_id: self.target_list_id(),
            engine_start_unix_ms: state.start_unix_ms,
            draining: self.engine_client.is_engine_leaving(),
            expert_map_skew_percent: self
                .coordinator
                .as_ref()
                .and_then(GroupCoordinator::expert_map_skew_percent),
        });
        self.send_to_entry_processes(&load).await;
    }

    /// Reports to entry processes that the engine's process has ended, until
    /// the engine answers again.
    async fn report_engine_exit_to_entry_processes(&self) {
        let (Some(start), EngineProcessState::Ended) =
            (self.engine_start_unix_ms, self.engine_process)
        else {
            return;
        };
        let engine_address = self.settings.engine_address;
        self.send_to_entry_processes(&Datagram::EngineExit(EngineExit {
            engine_address,
            engine_start_unix_ms: start,
        }))
        .await;
    }

    async fn send_to_entry_processes(&self, datagram: &Datagram) {
        let bytes = gossip::encode(datagram);
        for entry in self.subscribed_entry_processes.keys() {
            send_datagram(
                &self.log,
                &self.entry_process_socket,
                &bytes,
                *entry,
            )
            .await;
        }
    }

    pub(super) async fn report_status_to_coordinator(&mut self, now: Millis) {
        let Some((directive, to, last_received)) = self.last_directive else {
            return self.broadcast_rank_status(now).await;
        };
        if self.coordinator.is_none()
            && now.since(last_received) > COORDINATOR_SILENCE_TIMEOUT
        {
            return self.broadcast_rank_status(now).await;
        }
        let busy = directive.desired_state != DesiredState::Rest;
        let time = if busy {
            self.message_interval_during_map_switch()
        } else {
            MESSAGE_INTERVAL_WITHOUT_MAP_SWITCH
        };
        let Some(status) = self.rank_status() else { return };
        let urgent_rank_status = status.urgent_rank_status();
        let new = self.last_actions.last_sent_urgent_rank_status.as_ref()
            != Some(&urgent_rank_status);
        if !new && now.since(self.last_actions.status_time) < time {
            return;
        }
        self.last_actions.status_time = now;
        self.last_actions.last_sent_urgent_rank_status =
            Some(urgent_rank_status);
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.merge_rank_status(status, now);
            coordinator.advance_map_switch(self.service_shape.as_ref(), now);
            self.broadcast_directive(now).await;
            return;
        }
        self.send_message_to_agents(
            &AgentMessage::Status(Box::new(status)),
            &[to],
        )
        .await;
    }

    /// Sends the status to all agents when no directive arrives. The
    /// coordinator may not know an agent that was frozen or cut off.
    async fn broadcast_rank_status(&mut self, now: Millis) {
        if now.since(self.last_actions.status_time)
            < MESSAGE_INTERVAL_WITHOUT_MAP_SWITCH
        {
            return;
        }
        let Some(status) = self.rank_status() else { return };
        self.last_actions.status_time = now;
        let others =
            self.agent_addresses().filter(|it| *it != self.own_address);
        let others: Vec<SocketAddr> = others.collect();
        self.send_message_to_agents(
            &AgentMessage::Status(Box::new(status)),
            &others,
        )
        .await;
    }

    fn rank_status(&self) -> Option<RankStatus> {
        let report = self.engine_report()?.clone();
        let epoch = report.epoch;
        let experts = self.expert_lists_of_map_in_use.as_ref();
        let experts = experts.filter(|it| {
            it.0 == epoch && self.coordinator_needs_expert_lists(it.1)
        });
        Some(RankStatus {
            agent_address: self.own_address,
            max_known_fencing_number: self.max_known_fencing_number,
            held_plan_version: self
                .held_plan
                .as_ref()
                .map(|it| it.map_version),
            map_version_and_experts_by_layer_set: experts
                .map(|it| (it.1, it.2.clone())),
            slowdown_factor: self
                .engine_state
                .as_ref()
                .map_or(1.0, |it| it.slowdown_factor as f32),
            arm_order_status: self.arm_order_status(&report),
            coordinator_arming_notice_receipt: self
                .coordinator_arming_notice_receipt(&report),
            engine_report: report,
        })
    }

    /// Returns whether the coordinator needs the expert lists of the map in
    /// use. The coordinator plans from the lists unless it made that map
    /// itself. The lists are most of a status: at 72 ranks, reading all of
    /// them took the coordinator's VM longer than a switch.
    fn coordinator_needs_expert_lists(
        &self,
        map_version: order::Version,
    ) -> bool {
        let plan = self.held_plan.as_ref();
        let knows = plan.is_some_and(|plan| {
            plan.map_version == map_version
                && plan.fencing_number == self.max_known_fencing_number
        });
        let rests = self
            .last_directive
            .as_ref()
            .is_none_or(|it| it.0.desired_state == DesiredState::Rest);
        rests && !knows
    }

    /// Sends the coordinator's directive to all agents, if this agent is the
    /// coordinator.
    pub(super) async fn broadcast_directive(&mut self, now: Millis) {
        let Some(coordinator) = &self.coordinator else { return };
        let directive = coordinator.current_directive();
        let new = self.last_actions.sent_directive != Some(directive);
        let busy = directive.desired_state != DesiredState::Rest;
        let time = if busy {
            self.message_interval_during_map_switch()
        } else {
            MESSAGE_INTERVAL_WITHOUT_MAP_SWITCH
        };
        if !new && now.since(self.last_actions.directive_time) < time {
            return;
        }
        self.last_actions.directive_time = now;
        self.last_actions.sent_directive = Some(directive);
        if let Some(plan) = coordinator.current_plan().cloned() {
            self.distribute_plan(plan, now).await;
        }
        let mut agents: Vec<SocketAddr> = self.agent_addresses().collect();
        if let Some(coordinator) = &self.coordinator {
            let known = coordinator
                .reporting_agent_addresses()
                .filter(|it| !agents.contains(it));
            agents.extend(known.collect::<Vec<_>>());
        }
        agents.retain(|it| *it != self.own_address);
        let message = AgentMessage::Directive(directive, self.own_address);
        self.send_message_to_agents(&message, &agents).await;
        self.record_coordinator_arming_announcement(&directive);
        self.last_directive = Some((directive, self.own_address, now));
        if new {
            self.poll_engine_again_at_once =
                self.send_order_required_by_directive(directive).await;
        }
        self.send_hold_order().await;
    }

    /// Sends the plan to the agents that lack it, to most of them through
    /// other agents: sending the whole plan to 72 ranks would occupy the
    /// coordinator's link for half a second. A lost plan is sent again with
    /// the next directive, since a single rank without the plan delays the
    /// switch for all.
    async fn distribute_plan(&mut self, plan: MapPlan, now: Millis) {
        let again = self.message_interval_during_map_switch();
        let new = self.last_actions.distributed_plan_version
            != Some(plan.map_version);
        if !new && now.since(self.last_actions.plan_distribution_time) < again
        {
            return;
        }
        self.last_actions.distributed_plan_version = Some(plan.map_version);
        self.last_actions.plan_distribution_time = now;
        self.held_plan = Some(plan);
        let updates = self
            .coordinator
            .as_ref()
            .map(GroupCoordinator::plan_updates_with_recipients);
        for (update, mut agents) in updates.unwrap_or_default() {
            agents.retain(|it| *it != self.own_address);
            let size =
                agents.len().div_ceil(MAX_DIRECT_PLAN_RECIPIENTS).max(1);
            for chunk in agents.chunks(size) {
                let update = update.with_forwarding_to(&chunk[1..]);
                self.send_message_to_agents(
                    &AgentMessage::Plan(update),
                    &chunk[..1],
                )
                .await;
            }
        }
    }

    /// Notifies the other agents that this coordinator stops, so that they
    /// don't wait for a timeout.
    pub(super) async fn broadcast_coordinator_stop(&mut self) {
        let Some(coordinator) = self.coordinator.take() else { return };
        info!(self.log, "says_farewell";
            "fence" => coordinator.fencing_number());
        let others =
            self.agent_addresses().filter(|it| *it != self.own_address);
        let others: Vec<SocketAddr> = others.collect();
        self.send_message_to_agents(
            &AgentMessage::CoordinatorStop(coordinator.fencing_number()),
            &others,
        )
        .await;
    }
}
