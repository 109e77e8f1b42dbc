//! What entries and the agents beside model engines tell one another.
//!
//! Agents report to whoever asks them to, so a new entry hears from all of
//! them within a second, and nobody keeps a list.

use std::net::SocketAddr;

use cowsliproad_kernel::{
    clock::Millis,
    gossip::{self, EngineExit, EngineLoad, LoadSubscription},
    position::LogEra,
};
use cowsliproad_routing::{
    catalog::{ExpertLayout, Service},
    fleet::{ProcessStartUnixMs, Target},
};
use slog::info;
use tokio::net::UdpSocket;

use super::send;
use crate::entry::{Entry, Group, Source};

/// Steps of a target's pace that are news to requests under way, in percent.
const NEWS_PERCENT: u32 = 100;

/// Asks all agents to report.
pub(super) async fn ask_agents(entry: &Entry, socket: &UdpSocket) {
    for whole in subscriptions(entry) {
        let named = LoadSubscription { targets: Vec::new(), ..whole.clone() };
        let (list, targets) = (whole.target_list_id, whole.targets.clone());
        let (whole, named) = (gossip::encode(&whole), gossip::encode(&named));
        for target in targets {
            let agent = agent_of(entry, target);
            let knows = entry.lists.borrow().get(&target) == Some(&list);
            let message = if knows { &named } else { &whole };
            send(entry, socket, message, agent).await;
        }
    }
}

/// Tells an agent that has just started of the others: it can do nothing
/// before it knows them.
pub(super) async fn introduce(
    entry: &Entry,
    socket: &UdpSocket,
    target: SocketAddr,
) {
    let mut subscriptions = subscriptions(entry).into_iter();
    let whole = subscriptions.find(|it| it.targets.contains(&target));
    if let Some(whole) = whole {
        let message = gossip::encode(&whole);
        send(entry, socket, &message, agent_of(entry, target)).await;
    }
}

fn agent_of(entry: &Entry, target: SocketAddr) -> SocketAddr {
    SocketAddr::new(target.ip(), entry.settings().peer_port)
}

/// What the agents of each service of engines are told.
fn subscriptions(entry: &Entry) -> Vec<LoadSubscription> {
    let Some(catalog) = entry.catalog() else { return Vec::new() };
    let fleet = entry.fleet.borrow();
    let subscription = |service: &Service| {
        let engine = service.expert_layout.as_ref()?;
        let own =
            fleet.ready_targets().filter(|it| it.service == service.name);
        let targets: Vec<SocketAddr> = own.map(|it| it.address).collect();
        Some(subscribe(engine, &targets, entry.rollbacks.era()))
    };
    catalog.services().filter_map(subscription).collect()
}

fn subscribe(
    engine: &ExpertLayout,
    targets: &[SocketAddr],
    era: LogEra,
) -> LoadSubscription {
    LoadSubscription {
        target_list_id: gossip::target_list_id(targets),
        targets: targets.to_vec(),
        layer_set_count: engine.layer_set_count as u16,
        experts_per_layer_set: engine.experts_per_layer_set as u16,
        expert_slots_per_layer_set: engine.experts_per_rank as u16,
        max_experts_added_to_rank_per_layer_set: engine
            .max_experts_added_to_rank_per_layer_set
            as u16,
        expert_copy_ms: engine.expert_copy_time.0,
        log_era: era,
    }
}

/// Takes an agent's report in.
pub(super) fn take_load(entry: &Entry, load: &EngineLoad) {
    entry.lists.borrow_mut().insert(load.engine_address, load.target_list_id);
    let now = Millis::now();
    let Some(target) =
        target_at(entry, load.engine_address, load.engine_start_unix_ms)
    else {
        return;
    };
    entry.heard_from(&target.zone, now);
    entry.note_report(
        &target,
        ProcessStartUnixMs(load.engine_start_unix_ms),
        now,
    );
    if load.draining
        && target.start == ProcessStartUnixMs(load.engine_start_unix_ms)
    {
        info!(entry.log, "target_leaving"; "target" => &*target.id,
            "source" => ?Source::Peer);
        return entry.note_left(&target);
    }
    let id = target.id;
    let endpoint = entry.endpoint(&id);
    let mut endpoint = endpoint.borrow_mut();
    let stands = |it: &Group| (it.epoch, it.open, it.pace / NEWS_PERCENT);
    let before = endpoint.group.as_ref().map(stands);
    endpoint.record.record_load_report(
        load.running_requests.saturating_add(load.queued_requests),
        now,
    );
    endpoint.lived = Some(now);
    endpoint.lost = None;
    let group = Group {
        name: load.group_name.clone(),
        epoch: load.group_epoch,
        open: load.group_accepts_requests,
        step: load.last_forward_pass,
        pace: load.service_time_percent,
        heard: now,
    };
    let after = stands(&group);
    entry.note_formation(&group.name, group.epoch, group.open);
    entry.note_step(&group.name, group.epoch, group.step, now);
    endpoint.group = Some(group);
    drop(endpoint);
    if before != Some(after) {
        info!(entry.log, "group"; "target" => &*id,
            "epoch" => load.group_epoch,
            "open" => load.group_accepts_requests,
            "step" => load.last_forward_pass, "pace" => load.service_time_percent);
        entry.tell_news();
    }
}

/// Takes in that an agent finds no process of its engine.
pub(super) fn take_lost(entry: &Entry, lost: &EngineExit) {
    let now = Millis::now();
    let Some(target) =
        target_at(entry, lost.engine_address, lost.engine_start_unix_ms)
    else {
        return;
    };
    entry.heard_from(&target.zone, now);
    let endpoint = entry.endpoint(&target.id);
    let before = endpoint.borrow_mut().lost.replace(now);
    if before.is_none() {
        info!(entry.log, "target_lost"; "target" => &*target.id);
        if let Some(group) = &endpoint.borrow().group {
            entry.note_lost_rank(group, now);
        }
        entry.tell_news();
    }
}

/// The target that listens at an address, of the start that its agent saw.
/// One that took the place of another is announced before that one lapses.
fn target_at(
    entry: &Entry,
    address: SocketAddr,
    start: u64,
) -> Option<Target> {
    let same = |it: &Target| {
        it.address == address
            && (start == 0 || it.start.0 == 0 || it.start.0 == start)
    };
    entry.fleet.borrow().ready_targets().find(|it| same(it)).cloned()
}
