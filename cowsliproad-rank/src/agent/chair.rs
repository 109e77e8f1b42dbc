//! Election of the coordinator: when an agent takes over the role and when it
//! steps down.

use std::net::SocketAddr;

use cowsliproad_kernel::{
    Name,
    clock::Millis,
    position::{LogEra, LogPosition},
};
use cowsliproad_mapswitch::order::{
    DesiredState, Directive, GroupState, fence,
};
use cowsliproad_platform::log::{COORDINATORS_TOPIC, Client};
use slog::{Logger, info, warn};

use super::{Agent, FencingNumberTask};
use crate::lead::{CoordinatorParameters, GroupCoordinator};

/// How long rank 0 waits for a first directive before it becomes the
/// coordinator.
const FIRST_DIRECTIVE_TIMEOUT: Millis = Millis(250);

/// How long a rank waits without a directive before it takes over as the
/// coordinator, plus a delay per rank. Three lost directives cause no change
/// of coordinator.
const DIRECTIVE_TIMEOUT: Millis = Millis(1_300);
const TAKEOVER_DELAY_PER_RANK: Millis = Millis(400);

/// How long rank 0 waits for a directive during a switch, when directives
/// arrive every 30 ms and the group may be held.
const DIRECTIVE_TIMEOUT_DURING_MAP_SWITCH: Millis = Millis(350);

/// The pause before the agent asks the platform's log for a fencing number
/// again.
const FENCING_NUMBER_RETRY_INTERVAL: Millis = Millis(1_000);

/// The most records that an agent appends for one fencing number. Another
/// record is needed if the log turns out to be in a later era.
const MAX_RECORDS_PER_FENCING_NUMBER: usize = 3;

impl Agent {
    /// Becomes the coordinator with the fencing number of a record, unless the
    /// group has a coordinator by now.
    pub(super) async fn become_coordinator(
        &mut self,
        record: Option<LogPosition>,
    ) {
        let now = Millis::now();
        if let Some(record) = record {
            self.record_log_era(record.era);
        }
        let Some(fencing_number) = record.and_then(fence::fencing_number)
        else {
            info!(self.log, "no_fencing_number"; "record" => ?record);
            return;
        };
        let is_stopping = self.stop_request_time.is_some();
        if is_stopping
            || fencing_number <= self.max_known_fencing_number
            || !self.has_lost_coordinator(now)
        {
            info!(self.log, "number_unused"; "fence" => fencing_number);
            return;
        }
        info!(self.log, "leads"; "fence" => fencing_number);
        self.max_known_fencing_number = fencing_number;
        let price = self.settings.expert_move_cost;
        let Some(coordinator_rank) = self.engine_report().map(|it| it.rank)
        else {
            return;
        };
        let before = self.last_directive.as_ref();
        let predecessor_vm_and_fencing_number =
            before.map(|it| (it.1.ip(), it.0.fencing_number));
        let start = CoordinatorParameters {
            fencing_number,
            coordinator_rank,
            predecessor_vm_and_fencing_number,
        };
        self.coordinator =
            Some(GroupCoordinator::new(start, price, self.log.clone()));
        self.broadcast_directive(now).await;
    }

    /// Returns whether the group is complete and has received no directive for
    /// too long.
    pub(super) fn has_lost_coordinator(&self, now: Millis) -> bool {
        let Some(report) = self.engine_report() else { return false };
        if report.group_state == GroupState::Broken
            || self.service_shape.is_none()
        {
            return false;
        }
        let busy = |it: &Directive| it.desired_state != DesiredState::Rest;
        let timeout = match (report.rank, &self.last_directive) {
            (0, None) => FIRST_DIRECTIVE_TIMEOUT,
            (rank, Some((directive, _, _))) if busy(directive) => {
                DIRECTIVE_TIMEOUT_DURING_MAP_SWITCH
                    + Millis(TAKEOVER_DELAY_PER_RANK.0 * u64::from(rank) / 4)
            }
            (rank, _) => {
                DIRECTIVE_TIMEOUT
                    + Millis(TAKEOVER_DELAY_PER_RANK.0 * u64::from(rank))
            }
        };
        let last_received =
            self.last_directive.as_ref().map_or(self.agent_start, |it| it.2);
        now.since(last_received) > timeout
    }

    /// Handles the message of a stopping coordinator: the first successor
    /// takes over without waiting for its timeout.
    pub(super) fn handle_coordinator_stop(&mut self, fencing_number: u64) {
        if let Some((directive, _, last_received)) = &mut self.last_directive
            && directive.fencing_number == fencing_number
        {
            info!(self.log, "coordinator_stops"; "fence" => fencing_number);
            *last_received = *last_received - DIRECTIVE_TIMEOUT;
            self.poll_engine_again_at_once = true;
        }
    }

    /// Continues as the coordinator, or starts to acquire a fencing number if
    /// the group has no coordinator.
    pub(super) async fn act_as_coordinator_or_candidate(
        &mut self,
        now: Millis,
    ) {
        if self.coordinator.is_some() {
            self.call_engine_of_silent_agent(now).await;
            self.broadcast_directive(now).await;
            return;
        }
        let is_stopping = self.stop_request_time.is_some();
        if is_stopping
            || self.fencing_number_task.is_some()
            || !self.has_lost_coordinator(now)
        {
            return;
        }
        let again = |at: Millis| now.since(at) > FENCING_NUMBER_RETRY_INTERVAL;
        if self.last_actions.fencing_number_request_time.is_none_or(again) {
            self.last_actions.fencing_number_request_time = Some(now);
            info!(self.log, "asks_for_number";
                "standing" => ?self.group_epoch_and_state());
            let (log, vm) = (
                self.settings.platform_log_address,
                self.settings.vm_name.clone(),
            );
            let task = append_fencing_number_record(
                log,
                vm,
                self.newest_log_era,
                self.log.clone(),
            );
            self.fencing_number_task = Some(tokio::task::spawn_local(task));
        }
    }

    /// Records the era of the platform's log. The fencing numbers of a later
    /// era are higher than all earlier ones.
    pub(super) fn record_log_era(&mut self, era: LogEra) {
        if era > self.newest_log_era {
            info!(self.log, "log_era"; "era" => era.0,
                "before" => self.newest_log_era.0);
            self.newest_log_era = era;
        }
    }

    pub(super) fn step_down_as_coordinator(&mut self, fencing_number: u64) {
        info!(self.log, "steps_down"; "fence" => fencing_number);
        self.max_known_fencing_number =
            self.max_known_fencing_number.max(fencing_number);
        self.coordinator = None;
        self.last_actions.sent_directive = None;
    }
}

/// Appends a record with the VM's name to the platform's log. The record's
/// position determines a fencing number.
async fn append_fencing_number_record(
    log_address: SocketAddr,
    vm_name: Name,
    mut era: LogEra,
    logger: Logger,
) -> Option<LogPosition> {
    let mut client = Client::new(log_address);
    for _ in 0..MAX_RECORDS_PER_FENCING_NUMBER {
        client.raise_era(era);
        match client.append(COORDINATORS_TOPIC, vm_name.as_bytes()).await {
            Ok(record) if fence::is_position_unique(record, era) => {
                return Some(record);
            }
            Ok(record) => {
                info!(logger, "record_of_later_era"; "era" => record.era.0,
                    "before" => era.0);
                era = record.era;
            }
            Err(error) => {
                warn!(logger, "log_lost"; "error" => %error);
                return None;
            }
        }
    }
    None
}

/// Waits for the record of a running fencing number task; never returns if no
/// task runs.
pub(super) async fn wait_for_fencing_number_record(
    fencing_number_task: &mut Option<FencingNumberTask>,
) -> Option<LogPosition> {
    match fencing_number_task {
        Some(task) => task.await.ok().flatten(),
        None => std::future::pending().await,
    }
}
