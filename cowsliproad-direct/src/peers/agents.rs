//! Messages between entry processes and the agents on the VMs of model
//! engines.
//!
//! Agents report to every entry process that subscribes, so a new entry
//! process gets reports of all agents within a second, and no process keeps a
//! list of entry processes.

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

use super::send_datagram;
use crate::entry::{Entry, GroupReport, StateChangeSource};

/// In-flight requests are woken when a target's service time, in percent of
/// the usual time, crosses a multiple of this number.
const SERVICE_TIME_STEP_PERCENT: u32 = 100;

/// Asks all agents to report, and sends the list of targets to agents that
/// don't have the current one.
pub(super) async fn request_agent_reports(entry: &Entry, socket: &UdpSocket) {
    for full in build_agent_subscriptions(entry) {
        let without_targets =
            LoadSubscription { targets: Vec::new(), ..full.clone() };
        let (list, targets) = (full.target_list_id, full.targets.clone());
        let (full, without_targets) =
            (gossip::encode(&full), gossip::encode(&without_targets));
        for target in targets {
            let agent = agent_address(entry, target);
            let knows = entry.agent_target_list_ids.borrow().get(&target)
                == Some(&list);
            let message = if knows { &without_targets } else { &full };
            send_datagram(entry, socket, message, agent).await;
        }
    }
}

/// Sends the list of targets to an agent that has just started: the agent can
/// do nothing without the list.
pub(super) async fn send_target_list(
    entry: &Entry,
    socket: &UdpSocket,
    target: SocketAddr,
) {
    let mut subscriptions = build_agent_subscriptions(entry).into_iter();
    let full = subscriptions.find(|it| it.targets.contains(&target));
    if let Some(full) = full {
        let message = gossip::encode(&full);
        send_datagram(entry, socket, &message, agent_address(entry, target))
            .await;
    }
}

fn agent_address(entry: &Entry, target: SocketAddr) -> SocketAddr {
    SocketAddr::new(target.ip(), entry.settings().peer_port)
}

impl Entry {
    /// The addresses of the agents beside model engines.
    pub fn agent_addresses(&self) -> Vec<SocketAddr> {
        let Some(catalog) = self.catalog() else { return Vec::new() };
        let has_agent = |it: &&Target| {
            let service = catalog.service(&it.service);
            service.is_some_and(|it| it.expert_layout.is_some())
        };
        let fleet = self.fleet.borrow();
        let engines = fleet.ready_targets().filter(has_agent);
        engines.map(|it| agent_address(self, it.address)).collect()
    }
}

/// Builds the subscriptions that ask agents to report, one for each service
/// that runs model engines.
fn build_agent_subscriptions(entry: &Entry) -> Vec<LoadSubscription> {
    let Some(catalog) = entry.catalog() else { return Vec::new() };
    let fleet = entry.fleet.borrow();
    let subscription = |service: &Service| {
        let engine = service.expert_layout.as_ref()?;
        let own =
            fleet.ready_targets().filter(|it| it.service == service.name);
        let targets: Vec<SocketAddr> = own.map(|it| it.address).collect();
        Some(build_agent_subscription(
            engine,
            &targets,
            entry.rollbacks.newest_era(),
        ))
    };
    catalog.services().filter_map(subscription).collect()
}

fn build_agent_subscription(
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

/// Applies an agent's report on the load and the group of its model engine.
pub(super) fn apply_engine_load(entry: &Entry, load: &EngineLoad) {
    entry
        .agent_target_list_ids
        .borrow_mut()
        .insert(load.engine_address, load.target_list_id);
    let now = Millis::now();
    let Some(target) = target_at_address(
        entry,
        load.engine_address,
        load.engine_start_unix_ms,
    ) else {
        return;
    };
    entry.record_zone_contact(&target.zone, now);
    if let Some(skew_percent) = load.expert_map_skew_percent {
        entry.metrics.set_expert_map_skew(&load.group_name, skew_percent);
    }
    entry.retract_crash_on_agent_report(
        &target,
        ProcessStartUnixMs(load.engine_start_unix_ms),
        now,
    );
    if load.draining
        && target.start == ProcessStartUnixMs(load.engine_start_unix_ms)
    {
        info!(entry.log, "target_leaving"; "target" => &*target.id,
            "source" => ?StateChangeSource::Peer);
        return entry.mark_target_left(&target);
    }
    let id = target.id;
    let endpoint = entry.endpoint_or_insert(&id);
    let mut endpoint = endpoint.borrow_mut();
    let visible_state = |it: &GroupReport| {
        (
            it.group_formation_epoch,
            it.accepts_requests,
            it.service_time_percent_of_normal / SERVICE_TIME_STEP_PERCENT,
        )
    };
    let before = endpoint.group.as_ref().map(visible_state);
    endpoint.request_stats.record_load_report(
        load.running_requests.saturating_add(load.queued_requests),
        now,
    );
    endpoint.last_seen_alive = Some(now);
    endpoint.target_exit_reported_at = None;
    let group = GroupReport {
        group_name: load.group_name.clone(),
        group_formation_epoch: load.group_epoch,
        accepts_requests: load.group_accepts_requests,
        last_forward_pass: load.last_forward_pass,
        service_time_percent_of_normal: load.service_time_percent_of_normal,
        reported_at: now,
    };
    let after = visible_state(&group);
    entry.merge_formation(
        &group.group_name,
        group.group_formation_epoch,
        group.accepts_requests,
    );
    entry.record_forward_pass(
        &group.group_name,
        group.group_formation_epoch,
        group.last_forward_pass,
        now,
    );
    endpoint.group = Some(group);
    drop(endpoint);
    if before != Some(after) {
        info!(entry.log, "group"; "target" => &*id,
            "epoch" => load.group_epoch,
            "open" => load.group_accepts_requests,
            "step" => load.last_forward_pass,
            "pace" => load.service_time_percent_of_normal);
        entry.notify_target_change();
    }
}

/// Applies an agent's message that its engine's process is gone.
pub(super) fn apply_engine_exit(entry: &Entry, engine_exit: &EngineExit) {
    let now = Millis::now();
    let Some(target) = target_at_address(
        entry,
        engine_exit.engine_address,
        engine_exit.engine_start_unix_ms,
    ) else {
        return;
    };
    entry.record_zone_contact(&target.zone, now);
    let endpoint = entry.endpoint_or_insert(&target.id);
    let before = endpoint.borrow_mut().target_exit_reported_at.replace(now);
    if before.is_none() {
        info!(entry.log, "target_lost"; "target" => &*target.id);
        if let Some(group) = &endpoint.borrow().group {
            entry.record_rank_exit(group, now);
        }
        entry.notify_target_change();
    }
}

/// The target at an address whose start is the one that the agent reported, or
/// unknown. A target that replaces another at the address is announced before
/// the old one's lease ends, and another program's record may have the address
/// of an engine.
fn target_at_address(
    entry: &Entry,
    address: SocketAddr,
    start: u64,
) -> Option<Target> {
    let same = |it: &&Target| {
        it.address == address
            && (start == 0 || it.start.0 == 0 || it.start.0 == start)
    };
    let catalog = entry.catalog();
    let is_configured = |it: &Target| {
        catalog.as_ref().is_some_and(|all| all.service(&it.service).is_some())
    };
    let fleet = entry.fleet.borrow();
    let candidates = fleet.ready_targets().filter(same);
    candidates
        .max_by_key(|it| (it.start.0 == start, is_configured(it)))
        .cloned()
}
