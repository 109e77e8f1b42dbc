//! Orders of an agent: to its own engine, and from afar where an agent is
//! silent or the hold must not be its own.

use std::net::SocketAddr;

use cowsliproad_kernel::clock::Millis;
use cowsliproad_mapswitch::order::{
    self, Aim, ArmOrderStatus, Directive, Epoch, MAX_BOUNDARY_LEAD,
    OrderResult, Report, SealStatus,
};
use cowsliproad_routing::cooldown::Cooldown;
use slog::info;

use super::{Agent, Unanswered};
use crate::{engine::Engine, wire::Status};

/// How long an order that was taken is given to show in the report before it
/// is repeated, which does no harm where copies take longer.
const TAKEN_TIME: Millis = Millis(120);

/// The longest time after which an unanswered order was seen carried out, and
/// some more.
const LATE_TIME: Millis = Millis(13_000);

/// How often an engine whose agent is silent is asked from afar.
const REACH_TIME: Millis = Millis(100);

impl Agent {
    /// Gives the order that is due, if any, and says whether it gave one.
    pub(super) async fn carry_out(&mut self, word: Directive) -> bool {
        let plan = self.plan.as_ref();
        let plan = plan.filter(|it| it.epoch == word.epoch);
        let plan = plan.map(|it| (it.version, &it.experts));
        let Some(due) =
            self.report().and_then(|it| order::next_order(&word, it, plan))
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
            Ok(OrderResult::Taken) => {
                self.last.taken = Some((word, Millis::now()));
                info!(self.log, "order_taken"; "order" => name,
                    "aim" => ?word.aim);
            }
            Ok(OrderResult::Unfit) => {
                info!(self.log, "order_refused"; "order" => name,
                    "aim" => ?word.aim, "report" => ?self.report());
            }
            Ok(OrderResult::Fenced) => {
                info!(self.log, "order_fenced"; "order" => name,
                    "fence" => word.fence);
                self.word = None;
                if self.lead.is_some() {
                    self.step_down(word.fence);
                }
            }
            Err(error) => {
                if let order::Order::Arm(_, step) = due {
                    let (epoch, at) = (word.epoch, Millis::now());
                    let arm = Unanswered { epoch, step, at };
                    self.last.unanswered_arm = Some(arm);
                }
                info!(self.log, "order_unanswered"; "order" => name,
                    "aim" => ?word.aim, "error" => %error);
            }
        }
        true
    }

    /// Does an agent's work for it, while it is silent and the group may stand
    /// still for it. Calls from afar are dear and hold the caller up, so one
    /// VM is reached at a time.
    pub(super) async fn reach_silent(&mut self, now: Millis) {
        let (Some(lead), Some(shape)) = (&self.lead, &self.shape) else {
            return;
        };
        let calm = lead.directive().aim == Aim::Rest;
        if calm || now.since(self.last.reach) < REACH_TIME {
            return;
        }
        let silent = |it: &&SocketAddr| {
            !self.strangers.contains(it) && lead.is_silent(it.ip(), now)
        };
        let silent: Vec<SocketAddr> =
            shape.targets.iter().filter(silent).copied().collect();
        let count = silent.len().max(1);
        let Some(target) = silent.get(self.last.reached % count) else {
            return;
        };
        self.last.reached += 1;
        self.last.reach = now;
        let (target, epoch) = (*target, lead.directive().epoch);
        let mut engine = self.distant(target, epoch);
        let state = engine.state().await;
        self.note_distant(target, epoch, &engine);
        let state = match state {
            Ok(state) => state,
            Err(error) => {
                info!(self.log, "engine_out_of_reach"; "target" => %target,
                    "error" => %error);
                return;
            }
        };
        // An order of this group would give another's rank a map that no other
        // rank of it has.
        if state.group.as_ref() != self.group() {
            self.strangers.insert(target);
            return;
        }
        let Some(report) = state.report else { return };
        let Some(lead) = &self.lead else { return };
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
        let due = order::next_order(&word, &report, plan).or(again);
        let mut fence = 0;
        if let Some(due) = due {
            match self.order_from_afar(&mut engine, target, &due, word).await {
                Some(OrderResult::Fenced) => return,
                Some(OrderResult::Taken) => fence = word.fence,
                Some(OrderResult::Unfit) | None => {}
            }
        }
        let status = Status {
            agent: SocketAddr::new(target.ip(), self.settings.agent_port),
            fence,
            plan: None,
            experts: None,
            pace: state.slowdown_factor as f32,
            arms: ArmOrderStatus::InDoubt,
            seal: SealStatus::Unknown,
            report,
        };
        if let Some(lead) = &mut self.lead {
            lead.take(status, Millis::now());
            lead.advance(self.shape.as_ref(), Millis::now());
        }
    }

    /// Whether an *arm* of this agent, or of its process before this one, may
    /// still be carried out. Those for passes that were begun can't, and the
    /// process before ordered none for passes farther than
    /// [`MAX_BOUNDARY_LEAD`] from the first that this one saw. Without that
    /// bound a group whose coordinator froze stood for 3.9 s: five agents had
    /// been restarted two seconds before, and nothing could be called off for
    /// thirteen.
    pub(super) fn arms(&self, report: &Report) -> ArmOrderStatus {
        let now = Millis::now();
        let recent = |at: Millis| now.since(at) < LATE_TIME;
        let open = self.last.unanswered_arm.is_some_and(|arm| {
            arm.epoch == report.epoch
                && arm.step > report.step
                && recent(arm.at)
        });
        let inherited = recent(self.begun) && self.inherits(report);
        if open || inherited {
            ArmOrderStatus::InDoubt
        } else {
            ArmOrderStatus::Answered
        }
    }

    /// Whether the group is still at the passes that the process before this
    /// one had to do with.
    fn inherits(&self, report: &Report) -> bool {
        self.first.is_none_or(|(epoch, step)| {
            epoch == report.epoch && report.step <= step + MAX_BOUNDARY_LEAD
        })
    }

    /// Whether it heard that the coordinator's rank arms, as far as it knows.
    pub(super) fn seal(&self, report: &Report) -> SealStatus {
        match self.sealed {
            Some((epoch, step)) if epoch == report.epoch => {
                SealStatus::Received(step)
            }
            _ if self.inherits(report) => SealStatus::Unknown,
            _ => SealStatus::NotReceived,
        }
    }

    /// Orders the hold, which another rank's engine has to take from afar.
    pub(super) async fn order_hold(&mut self) {
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
        let mut engine = self.distant(target, word.epoch);
        self.order_from_afar(&mut engine, target, &due, word).await;
    }

    /// A client of another's engine, with what that asked for in this
    /// formation. One that starts again takes part in a later one.
    fn distant(&self, target: SocketAddr, epoch: Epoch) -> Engine {
        let known = self.distant.get(&target);
        let known = known.filter(|it| it.0 == epoch);
        let cooldown = known.map_or(Cooldown::default(), |it| it.1);
        Engine::new(target).with_cooldown(cooldown)
    }

    fn note_distant(
        &mut self,
        target: SocketAddr,
        epoch: Epoch,
        engine: &Engine,
    ) {
        let now = Millis::now();
        self.distant.retain(|_, it| it.1.cooldown_end(now).is_some());
        if engine.cooldown().cooldown_end(now).is_some() {
            self.distant.insert(target, (epoch, engine.cooldown()));
        }
    }

    /// Gives an order to another's engine, and steps down if a higher number
    /// was seen there. Without an answer nobody knows.
    async fn order_from_afar(
        &mut self,
        engine: &mut Engine,
        target: SocketAddr,
        due: &order::Order,
        word: Directive,
    ) -> Option<OrderResult> {
        let given = engine.order(due, word.epoch, word.fence).await.ok();
        self.note_distant(target, word.epoch, engine);
        info!(self.log, "order_from_afar"; "order" => name(due),
            "aim" => ?word.aim, "target" => %target, "outcome" => ?given);
        if given == Some(OrderResult::Fenced) {
            self.step_down(word.fence);
        }
        given
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
