//! What an agent tells entries, the coordinator and, as coordinator, all.

use std::net::SocketAddr;

use cowsliproad_kernel::{
    clock::Millis,
    gossip::{self, Datagram, EngineExit, EngineLoad},
};
use cowsliproad_mapswitch::order::{self, Aim, GroupState};
use slog::info;

use super::{Agent, Ended, send};
use crate::{
    lead::Lead,
    plan::Plan,
    wire::{Message, Status},
};

/// Agents that the coordinator sends a plan to itself.
const FAN_OUT: usize = 16;

/// How often the coordinator speaks, and agents report to it, in calm times.
const SPEAK_TIME: Millis = Millis(400);

/// Without a word for so long an agent tells all others that it is there.
const SEEK_TIME: Millis = Millis(900);

impl Agent {
    pub(super) async fn tell_entries(&mut self) {
        let Some(state) = &self.state else {
            return self.tell_loss().await;
        };
        let report = state.report.as_ref();
        let load = Datagram::Load(EngineLoad {
            target: self.settings.engine,
            running: state.running_requests,
            queued: state.queued_requests,
            pace_percent: (state.slowdown_factor * 100.0) as u32,
            group: state.group.clone().unwrap_or_else(|| "".into()),
            group_epoch: report.map_or(0, |it| it.epoch.0),
            forward_pass: report.map_or(0, |it| it.step),
            group_accepts_requests: report
                .is_none_or(|it| it.standing == GroupState::Open),
            list_id: self.list(),
            start_unix_ms: state.start_unix_ms,
            leaving: self.engine.is_leaving(),
        });
        self.say_to_entries(&load).await;
    }

    /// Tells entries that the engine's process is gone, while it is.
    async fn tell_loss(&self) {
        let (Some(start), Ended::Yes) = (self.start, self.engine_ended) else {
            return;
        };
        let target = self.settings.engine;
        self.say_to_entries(&Datagram::EngineExit(EngineExit {
            target,
            start_unix_ms: start,
        }))
        .await;
    }

    async fn say_to_entries(&self, word: &Datagram) {
        let bytes = gossip::encode(word);
        for entry in self.entries.keys() {
            send(&self.log, &self.entries_socket, &bytes, *entry).await;
        }
    }

    pub(super) async fn tell_coordinator(&mut self, now: Millis) {
        let Some((word, to, heard)) = self.word else {
            return self.seek_coordinator(now).await;
        };
        if self.lead.is_none() && now.since(heard) > SEEK_TIME {
            return self.seek_coordinator(now).await;
        }
        let busy = word.aim != Aim::Rest;
        let time = if busy { self.busy_time() } else { SPEAK_TIME };
        let Some(status) = self.status() else { return };
        let news = status.news();
        let new = self.last.told.as_ref() != Some(&news);
        if !new && now.since(self.last.status) < time {
            return;
        }
        self.last.status = now;
        self.last.told = Some(news);
        if let Some(lead) = &mut self.lead {
            lead.take(status, now);
            lead.advance(self.shape.as_ref(), now);
            self.speak(now).await;
            return;
        }
        self.tell(&Message::Status(Box::new(status)), &[to]).await;
    }

    /// Tells all agents that it hears from no coordinator. One that was
    /// frozen or cut off may be missing in the coordinator's list.
    async fn seek_coordinator(&mut self, now: Millis) {
        if now.since(self.last.status) < SPEAK_TIME {
            return;
        }
        let Some(status) = self.status() else { return };
        self.last.status = now;
        let others = self.agents().filter(|it| *it != self.own);
        let others: Vec<SocketAddr> = others.collect();
        self.tell(&Message::Status(Box::new(status)), &others).await;
    }

    fn status(&self) -> Option<Status> {
        let report = self.report()?.clone();
        let epoch = report.epoch;
        let experts = self.experts.as_ref();
        let experts =
            experts.filter(|it| it.0 == epoch && self.is_asked(it.1));
        Some(Status {
            agent: self.own,
            fence: self.fence,
            plan: self.plan.as_ref().map(|it| it.version),
            experts: experts.map(|it| (it.1, it.2.clone())),
            pace: self
                .state
                .as_ref()
                .map_or(1.0, |it| it.slowdown_factor as f32),
            arms: self.arms(&report),
            seal: self.seal(&report),
            report,
        })
    }

    /// Whether the coordinator needs the lists of the map in use: it plans
    /// from them unless it made that map itself. They are most of a status,
    /// and at 72 ranks reading them took its VM longer than a change.
    fn is_asked(&self, map: order::Version) -> bool {
        let plan = self.plan.as_ref();
        let knows = plan.is_some_and(|plan| {
            plan.version == map && plan.fence == self.fence
        });
        let rests = self.word.as_ref().is_none_or(|it| it.0.aim == Aim::Rest);
        rests && !knows
    }

    /// Says the coordinator's word, if this agent is it.
    pub(super) async fn speak(&mut self, now: Millis) {
        let Some(lead) = &self.lead else { return };
        let word = lead.directive();
        let new = self.last.said != Some(word);
        let busy = word.aim != Aim::Rest;
        let time = if busy { self.busy_time() } else { SPEAK_TIME };
        if !new && now.since(self.last.speech) < time {
            return;
        }
        self.last.speech = now;
        self.last.said = Some(word);
        if let Some(plan) = lead.plan().cloned() {
            self.hand_out(plan, now).await;
        }
        let mut agents: Vec<SocketAddr> = self.agents().collect();
        if let Some(lead) = &self.lead {
            let known = lead.agents().filter(|it| !agents.contains(it));
            agents.extend(known.collect::<Vec<_>>());
        }
        agents.retain(|it| *it != self.own);
        let message = Message::Directive(word, self.own);
        self.tell(&message, &agents).await;
        self.note_seal(&word);
        self.word = Some((word, self.own, now));
        if new {
            self.prompt = self.carry_out(word).await;
        }
        self.order_hold().await;
    }

    /// Sends a plan to those that lack it, and to most of them through
    /// others: whole to 72 ranks it would take the own link half a second.
    /// What was lost is sent again with the next word; one rank without the
    /// plan holds the change up for all.
    async fn hand_out(&mut self, plan: Plan, now: Millis) {
        let again = self.busy_time();
        let new = self.last.planned != Some(plan.version);
        if !new && now.since(self.last.handed) < again {
            return;
        }
        self.last.planned = Some(plan.version);
        self.last.handed = now;
        self.plan = Some(plan);
        let sheets = self.lead.as_ref().map(Lead::sheets);
        for (sheet, mut agents) in sheets.unwrap_or_default() {
            agents.retain(|it| *it != self.own);
            let size = agents.len().div_ceil(FAN_OUT).max(1);
            for chunk in agents.chunks(size) {
                let sheet = sheet.with_pass_on(&chunk[1..]);
                self.tell(&Message::Plan(sheet), &chunk[..1]).await;
            }
        }
    }

    /// Lets others know at once that nobody leads.
    pub(super) async fn say_farewell(&mut self) {
        let Some(lead) = self.lead.take() else { return };
        info!(self.log, "says_farewell"; "fence" => lead.fence());
        let others = self.agents().filter(|it| *it != self.own);
        let others: Vec<SocketAddr> = others.collect();
        self.tell(&Message::Farewell(lead.fence()), &others).await;
    }
}
