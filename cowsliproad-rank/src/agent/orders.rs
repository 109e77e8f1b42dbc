//! The orders that an agent sends: to its own engine, and as the coordinator
//! over the network to the engines of silent agents and to the engine that has
//! to hold the group.

use std::net::SocketAddr;

use cowsliproad_kernel::clock::Millis;
use cowsliproad_mapswitch::order::{
    self, ArmOrderStatus, CoordinatorArmingNotice, DesiredState, Directive,
    Epoch, MAX_PASSES_UNTIL_SWITCH, OrderResult, RankReport,
};
use cowsliproad_routing::cooldown::Cooldown;
use slog::info;

use super::{Agent, UnansweredArmOrder};
use crate::{engine::EngineClient, wire::RankStatus};

/// How long an accepted order may take to appear in the engine's report before
/// the order is repeated. Repeating an order is harmless if the copies of
/// experts that the order requires take longer.
const ORDER_REPEAT_INTERVAL: Millis = Millis(120);

/// How long an engine may still execute an order after the call that sent the
/// order failed, with a margin.
const LATE_ORDER_EXECUTION_TIMEOUT: Millis = Millis(13_000);

/// The interval at which the coordinator calls the engines of silent agents.
const SILENT_AGENT_ENGINE_CALL_INTERVAL: Millis = Millis(100);

impl Agent {
    /// Sends the order that a directive requires of the agent's own engine, if
    /// any, and returns whether an order was sent.
    pub(super) async fn send_order_required_by_directive(
        &mut self,
        directive: Directive,
    ) -> bool {
        let plan = self.held_plan.as_ref();
        let plan = plan.filter(|it| it.group_epoch == directive.epoch);
        let plan = plan.map(|it| (it.map_version, &it.experts));
        let Some(due) = self
            .engine_report()
            .and_then(|it| order::next_order(&directive, it, plan))
        else {
            return false;
        };
        if let Some((taken, at)) = self.last_actions.accepted_order
            && taken == directive
            && Millis::now().since(at) < ORDER_REPEAT_INTERVAL
        {
            return false;
        }
        let given = self
            .engine_client
            .send_order(&due, directive.epoch, directive.fencing_number)
            .await;
        let name = order_name(&due);
        match given {
            Ok(OrderResult::Taken) => {
                self.last_actions.accepted_order =
                    Some((directive, Millis::now()));
                info!(self.log, "order_taken"; "order" => name,
                    "aim" => ?directive.desired_state);
            }
            Ok(OrderResult::Unfit) => {
                info!(self.log, "order_refused"; "order" => name,
                    "aim" => ?directive.desired_state,
                    "report" => ?self.engine_report());
            }
            Ok(OrderResult::Fenced) => {
                info!(self.log, "order_fenced"; "order" => name,
                    "fence" => directive.fencing_number);
                self.last_directive = None;
                if self.coordinator.is_some() {
                    self.step_down_as_coordinator(directive.fencing_number);
                }
            }
            Err(error) => {
                if let order::Order::Arm(_, switch_pass) = due {
                    let (epoch, order_time) = (directive.epoch, Millis::now());
                    let arm =
                        UnansweredArmOrder { epoch, switch_pass, order_time };
                    self.last_actions.unanswered_arm_order = Some(arm);
                }
                info!(self.log, "order_unanswered"; "order" => name,
                    "aim" => ?directive.desired_state, "error" => %error);
            }
        }
        true
    }

    /// Reads the engine of a silent agent and sends the engine the order that
    /// is due, as the coordinator, while the group may be held because of that
    /// agent. Calls over the network are slow and block the caller, so only
    /// one VM is called at a time.
    pub(super) async fn call_engine_of_silent_agent(&mut self, now: Millis) {
        let (Some(coordinator), Some(shape)) =
            (&self.coordinator, &self.service_shape)
        else {
            return;
        };
        let calm = coordinator.current_directive().desired_state
            == DesiredState::Rest;
        if calm
            || now.since(self.last_actions.silent_agent_engine_call_time)
                < SILENT_AGENT_ENGINE_CALL_INTERVAL
        {
            return;
        }
        let silent = |it: &&SocketAddr| {
            !self.engines_of_other_groups.contains(it)
                && coordinator.is_agent_silent(it.ip(), now)
        };
        let silent: Vec<SocketAddr> =
            shape.targets.iter().filter(silent).copied().collect();
        let count = silent.len().max(1);
        let Some(target) = silent
            .get(self.last_actions.silent_agent_engine_call_count % count)
        else {
            return;
        };
        self.last_actions.silent_agent_engine_call_count += 1;
        self.last_actions.silent_agent_engine_call_time = now;
        let (target, epoch) = (*target, coordinator.current_directive().epoch);
        let mut engine = self.remote_engine_client(target, epoch);
        let state = engine.fetch_engine_state().await;
        self.record_remote_engine_cooldown(target, epoch, &engine);
        let state = match state {
            Ok(state) => state,
            Err(error) => {
                info!(self.log, "engine_out_of_reach"; "target" => %target,
                    "error" => %error);
                return;
            }
        };
        // An order of this group would give a rank of another group a map that
        // no other rank of that group has.
        if state.group.as_ref() != self.engine_group() {
            self.engines_of_other_groups.insert(target);
            return;
        }
        let Some(report) = state.report else { return };
        let Some(coordinator) = &self.coordinator else { return };
        let directive = coordinator.current_directive();
        let plan = coordinator
            .current_plan()
            .filter(|it| it.group_epoch == directive.epoch);
        let plan = plan.map(|it| (it.map_version, &it.experts));
        // An engine that accepted an order of this coordinator refuses orders
        // with lower fencing numbers, even if its agent still sends some. So
        // an engine that is already armed receives the *arm* order again.
        let again = match directive.desired_state {
            DesiredState::Armed { version, step, .. }
                if report.armed_map_and_pass == Some((version, step)) =>
            {
                Some(order::Order::Arm(version, step))
            }
            _ => None,
        };
        let due = order::next_order(&directive, &report, plan).or(again);
        let mut max_known_fencing_number = 0;
        if let Some(due) = due {
            match self
                .send_order_to_remote_engine(
                    &mut engine,
                    target,
                    &due,
                    directive,
                )
                .await
            {
                Some(OrderResult::Fenced) => return,
                Some(OrderResult::Taken) => {
                    max_known_fencing_number = directive.fencing_number
                }
                Some(OrderResult::Unfit) | None => {}
            }
        }
        let status = RankStatus {
            agent_address: SocketAddr::new(
                target.ip(),
                self.settings.agent_datagram_port,
            ),
            max_known_fencing_number,
            held_plan_version: None,
            map_version_and_experts_by_layer_set: None,
            slowdown_factor: state.slowdown_factor as f32,
            arm_order_status: ArmOrderStatus::InDoubt,
            coordinator_arming_notice_receipt:
                CoordinatorArmingNotice::Unknown,
            engine_report: report,
        };
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.merge_rank_status(status, Millis::now());
            coordinator.advance_map_switch(
                self.service_shape.as_ref(),
                Millis::now(),
            );
        }
    }

    /// Returns whether the engine may still execute an unanswered *arm* order
    /// that this agent process or the agent's previous process sent. An engine
    /// no longer executes an *arm* order for a pass that has begun. The
    /// previous process sent no *arm* order for a pass that is more than
    /// [`MAX_PASSES_UNTIL_SWITCH`] after the first pass reported to this
    /// process. Without this bound a group whose coordinator froze was held
    /// for 3.9 s: five agents had restarted two seconds before, so that no
    /// switch of maps could be cancelled for 13 s.
    pub(super) fn arm_order_status(
        &self,
        report: &RankReport,
    ) -> ArmOrderStatus {
        let now = Millis::now();
        let recent = |at: Millis| now.since(at) < LATE_ORDER_EXECUTION_TIMEOUT;
        let open = self.last_actions.unanswered_arm_order.is_some_and(|arm| {
            arm.epoch == report.epoch
                && arm.switch_pass > report.latest_begun_pass
                && recent(arm.order_time)
        });
        let inherited = recent(self.agent_start)
            && self.may_orders_of_previous_agent_process_apply(report);
        if open || inherited {
            ArmOrderStatus::InDoubt
        } else {
            ArmOrderStatus::Answered
        }
    }

    /// Returns whether the group is still at passes for which the agent's
    /// previous process may have sent orders.
    fn may_orders_of_previous_agent_process_apply(
        &self,
        report: &RankReport,
    ) -> bool {
        self.first_reported_epoch_and_pass.is_none_or(|(epoch, step)| {
            epoch == report.epoch
                && report.latest_begun_pass <= step + MAX_PASSES_UNTIL_SWITCH
        })
    }

    /// Returns whether the agent has received the announcement that the
    /// coordinator's own rank arms, as far as the agent knows.
    pub(super) fn coordinator_arming_notice_receipt(
        &self,
        report: &RankReport,
    ) -> CoordinatorArmingNotice {
        match self.announced_coordinator_arming_pass {
            Some((epoch, step)) if epoch == report.epoch => {
                CoordinatorArmingNotice::Received(step)
            }
            _ if self.may_orders_of_previous_agent_process_apply(report) => {
                CoordinatorArmingNotice::Unknown
            }
            _ => CoordinatorArmingNotice::NotReceived,
        }
    }

    /// Sends the *hold* order over the network to the engine that has to hold
    /// the group, which is another rank's engine.
    pub(super) async fn send_hold_order(&mut self) {
        let now = Millis::now();
        let Some((vm, due)) = self
            .coordinator
            .as_ref()
            .and_then(|it| it.recipient_vm_and_hold_order())
        else {
            return;
        };
        let directive =
            self.coordinator.as_ref().map(|it| it.current_directive());
        let target = self
            .service_shape
            .iter()
            .flat_map(|it| &it.targets)
            .find(|it| it.ip() == vm);
        let (Some(directive), Some(target)) = (directive, target.copied())
        else {
            return;
        };
        let again = self.last_actions.hold_directive == Some(directive)
            && now.since(self.last_actions.hold_order_time)
                < ORDER_REPEAT_INTERVAL;
        if again {
            return;
        }
        self.last_actions.hold_directive = Some(directive);
        self.last_actions.hold_order_time = now;
        let mut engine = self.remote_engine_client(target, directive.epoch);
        self.send_order_to_remote_engine(&mut engine, target, &due, directive)
            .await;
    }

    /// Returns a client of another rank's engine, with the cooldown that the
    /// engine requested in this epoch of the group. An engine that restarts
    /// belongs to a later epoch.
    fn remote_engine_client(
        &self,
        target: SocketAddr,
        epoch: Epoch,
    ) -> EngineClient {
        let known = self.remote_engine_cooldowns.get(&target);
        let known = known.filter(|it| it.0 == epoch);
        let cooldown = known.map_or(Cooldown::default(), |it| it.1);
        EngineClient::new(target).with_cooldown(cooldown)
    }

    fn record_remote_engine_cooldown(
        &mut self,
        target: SocketAddr,
        epoch: Epoch,
        engine: &EngineClient,
    ) {
        let now = Millis::now();
        self.remote_engine_cooldowns
            .retain(|_, it| it.1.cooldown_end(now).is_some());
        if engine.requested_cooldown().cooldown_end(now).is_some() {
            self.remote_engine_cooldowns
                .insert(target, (epoch, engine.requested_cooldown()));
        }
    }

    /// Sends an order to another rank's engine, and steps down if the engine
    /// has seen a higher fencing number. Returns `None` if the engine sent no
    /// answer, so that the outcome is unknown.
    async fn send_order_to_remote_engine(
        &mut self,
        engine: &mut EngineClient,
        target: SocketAddr,
        due: &order::Order,
        directive: Directive,
    ) -> Option<OrderResult> {
        let given = engine
            .send_order(due, directive.epoch, directive.fencing_number)
            .await
            .ok();
        self.record_remote_engine_cooldown(target, directive.epoch, engine);
        info!(self.log, "order_from_afar"; "order" => order_name(due),
            "aim" => ?directive.desired_state, "target" => %target,
            "outcome" => ?given);
        if given == Some(OrderResult::Fenced) {
            self.step_down_as_coordinator(directive.fencing_number);
        }
        given
    }
}

fn order_name(order: &order::Order) -> &'static str {
    match order {
        order::Order::Prepare(..) => "prepare",
        order::Order::Arm(..) => "arm",
        order::Order::Disarm(_) => "disarm",
        order::Order::Hold(_) => "hold",
        order::Order::Go(_) => "go",
    }
}
