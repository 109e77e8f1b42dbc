//! The data that an agent reads from its engine.

use std::io;

use cowsliproad_kernel::clock::Millis;
use cowsliproad_placement::growth::CountGrowth;
use slog::info;

use super::{Agent, EngineProcessState, SelectionCountReading};
use crate::{
    rota::{
        MAX_REPORTED_COUNTING_WINDOW, SelectionCountReportAction,
        SelectionCountReportSchedule,
    },
    wire::{AgentMessage, SelectionCountIncrease},
};

/// The rate at which agents send selection counts to a coordinator, in bytes
/// per millisecond: 1 Mbit/s, an eighth of a VM's smallest link.
const MAX_SELECTION_COUNT_BYTES_PER_MS: u64 = 125;

impl Agent {
    /// Reads the engine's report, and the engine's expert lists if the map is
    /// new.
    pub(super) async fn read_engine_state(&mut self) {
        match self.engine_client.fetch_engine_state().await {
            Ok(state) => {
                self.discard_data_of_previous_engine_process(
                    state.start_unix_ms,
                );
                self.engine_process = EngineProcessState::NotKnownEnded;
                self.engine_group =
                    state.group.clone().or(self.engine_group.take());
                self.engine_state = Some(state);
            }
            Err(error) => {
                if self.engine_state.take().is_some() {
                    let cooldown = self
                        .engine_client
                        .requested_cooldown()
                        .remaining_cooldown_time(Millis::now());
                    info!(self.log, "engine_lost"; "error" => %error,
                        "cooldown" => cooldown.0);
                }
                self.record_engine_exit_if_refused(&error);
                return;
            }
        }
        let Some(report) = self.engine_report() else { return };
        let (epoch, map, step) =
            (report.epoch, report.map, report.latest_begun_pass);
        self.first_reported_epoch_and_pass.get_or_insert((epoch, step));
        let known =
            self.expert_lists_of_map_in_use.as_ref().map(|it| (it.0, it.1));
        if known != Some((epoch, map)) {
            match self.engine_client.fetch_expert_lists().await {
                Ok(lists) => {
                    self.expert_lists_of_map_in_use =
                        Some((epoch, lists.map_version, lists.experts_by_set));
                }
                Err(error) => {
                    info!(self.log, "no_lists"; "error" => %error);
                }
            }
        }
    }

    /// Records that the engine's process has ended if the engine's address
    /// refused the connection, and makes the agent report this to entry
    /// processes at once, because entry processes look for the request that
    /// ended the engine's process.
    fn record_engine_exit_if_refused(&mut self, error: &io::Error) {
        let gone = error.kind() == io::ErrorKind::ConnectionRefused;
        if gone && self.engine_process == EngineProcessState::NotKnownEnded {
            self.engine_process = EngineProcessState::Ended;
            self.last_actions.load_report_time = Millis(0);
        }
    }

    /// Discards the data of the engine's previous process if the engine has
    /// restarted: the new process has none of the earlier maps, orders and
    /// counts.
    fn discard_data_of_previous_engine_process(&mut self, start_unix_ms: u64) {
        let before = self.engine_start_unix_ms.replace(start_unix_ms);
        if before.is_none_or(|it| it == start_unix_ms) {
            return;
        }
        info!(self.log, "engine_restarted"; "start" => start_unix_ms);
        self.expert_lists_of_map_in_use = None;
        self.last_selection_counts = None;
        self.first_reported_epoch_and_pass = None;
        self.last_actions.unanswered_arm_order = None;
        self.last_actions.accepted_order = None;
    }

    /// Reads the selection counts if the schedule requires this, and sends
    /// their increase to the coordinator.
    pub(super) async fn report_selection_count_increase(
        &mut self,
        now: Millis,
    ) {
        let (Some(shape), Some(report)) =
            (&self.service_shape, self.engine_report())
        else {
            return;
        };
        let experts = usize::from(shape.experts_per_layer_set);
        let numbers = u64::from(shape.layer_set_count)
            * u64::from(shape.experts_per_layer_set);
        let round_duration = Millis(
            numbers * u64::from(report.ranks)
                / MAX_SELECTION_COUNT_BYTES_PER_MS,
        );
        let Some((_, to, _)) = self.last_directive else { return };
        let (rank, ranks) = (report.rank, report.ranks);
        let new = || {
            SelectionCountReportSchedule::new(now, round_duration, rank, ranks)
        };
        let due = self
            .selection_count_report_schedule
            .get_or_insert_with(new)
            .advance_count_report_schedule(now, round_duration);
        if due == SelectionCountReportAction::Nothing {
            return;
        }
        let requested_at = Millis::now();
        let reading =
            match self.engine_client.fetch_selection_counts(experts).await {
                Ok(counts) => SelectionCountReading {
                    requested_at,
                    epoch: counts.epoch,
                    counts: counts.selections_by_set,
                },
                Err(error) => {
                    info!(self.log, "no_counts"; "error" => %error);
                    return;
                }
            };
        let before = self.last_selection_counts.replace(reading.clone());
        let Some(before) = before.filter(|it| {
            due == SelectionCountReportAction::ReportIncrease
                && it.epoch == reading.epoch
        }) else {
            return;
        };
        let window = Millis::now().since(before.requested_at);
        if window > MAX_REPORTED_COUNTING_WINDOW {
            info!(self.log, "old_counts_dropped"; "window" => window.0);
            return;
        }
        let growth = CountGrowth::from_counts(&before.counts, &reading.counts);
        let Some(CountGrowth {
            counts_per_unit: scale,
            quantized_growth_by_layer_and_expert: units,
        }) = growth
        else {
            return;
        };
        let reported_increase = SelectionCountIncrease {
            selections_per_increase_unit: scale,
            increase_units_by_expert: units,
        };
        match &mut self.coordinator {
            Some(coordinator) => coordinator
                .add_selection_count_increase(reported_increase, experts),
            None => {
                self.send_message_to_agents(
                    &AgentMessage::SelectionCountIncrease(reported_increase),
                    &[to],
                )
                .await
            }
        }
    }
}
