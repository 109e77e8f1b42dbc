//! What an agent reads at its engine.

use std::io;

use cowsliproad_kernel::clock::Millis;
use cowsliproad_placement::growth::CountGrowth;
use slog::info;

use super::{Agent, Ended};
use crate::{
    rota::{Due, Rota},
    wire::{Choices, Message},
};

/// Bytes of counts that a coordinator is sent in a millisecond: 1 Mbit/s, an
/// eighth of the smallest link of a VM.
const COUNT_RATE: u64 = 125;

impl Agent {
    /// Reads the engine's report, and its lists where the map is new.
    pub(super) async fn refresh(&mut self) {
        match self.engine.state().await {
            Ok(state) => {
                self.note_start(state.start_unix_ms);
                self.engine_ended = Ended::No;
                self.group = state.group.clone().or(self.group.take());
                self.state = Some(state);
            }
            Err(error) => {
                if self.state.take().is_some() {
                    let cooldown = self
                        .engine
                        .cooldown()
                        .remaining_cooldown_time(Millis::now());
                    info!(self.log, "engine_lost"; "error" => %error,
                        "cooldown" => cooldown.0);
                }
                self.note_loss(&error);
                return;
            }
        }
        let Some(report) = self.report() else { return };
        let (epoch, map, step) = (report.epoch, report.map, report.step);
        self.first.get_or_insert((epoch, step));
        let known = self.experts.as_ref().map(|it| (it.0, it.1));
        if known != Some((epoch, map)) {
            match self.engine.lists().await {
                Ok(lists) => {
                    self.experts =
                        Some((epoch, lists.map_version, lists.experts_by_set));
                }
                Err(error) => {
                    info!(self.log, "no_lists"; "error" => %error);
                }
            }
        }
    }

    /// Sees from a failed call whether nobody listens any more, and tells
    /// entries at once, which ask under which work the engine ended.
    fn note_loss(&mut self, error: &io::Error) {
        let gone = error.kind() == io::ErrorKind::ConnectionRefused;
        if gone && self.engine_ended == Ended::No {
            self.engine_ended = Ended::Yes;
            self.last.load = Millis(0);
        }
    }

    /// Forgets what was of another start of the engine: it holds no map, no
    /// order and no counts of before.
    fn note_start(&mut self, start: u64) {
        let before = self.start.replace(start);
        if before.is_none_or(|it| it == start) {
            return;
        }
        info!(self.log, "engine_restarted"; "start" => start);
        self.experts = None;
        self.counts = None;
        self.first = None;
        self.last.unanswered_arm = None;
        self.last.taken = None;
    }

    /// Reads what was chosen when it is the rank's turn, and says so.
    pub(super) async fn count(&mut self, now: Millis) {
        let (Some(shape), Some(report)) = (&self.shape, self.report()) else {
            return;
        };
        let experts = usize::from(shape.experts_per_layer_set);
        let numbers = u64::from(shape.layer_set_count)
            * u64::from(shape.experts_per_layer_set);
        let round = Millis(numbers * u64::from(report.ranks) / COUNT_RATE);
        let Some((_, to, _)) = self.word else { return };
        let (rank, ranks) = (report.rank, report.ranks);
        let new = || Rota::new(now, round, rank, ranks);
        let due = self.rota.get_or_insert_with(new).turn(now, round);
        if due == Due::Nothing {
            return;
        }
        let choices = match self.engine.choices(experts).await {
            Ok(choices) => (choices.epoch, choices.selections_by_set),
            Err(error) => {
                info!(self.log, "no_counts"; "error" => %error);
                return;
            }
        };
        let before = self.counts.replace(choices.clone());
        let growth = before
            .filter(|it| due == Due::Say && it.0 == choices.0)
            .and_then(|it| CountGrowth::from_counts(&it.1, &choices.1));
        let Some(CountGrowth {
            counts_per_unit: scale,
            growth_in_units: units,
        }) = growth
        else {
            return;
        };
        let choices = Choices { scale, units };
        match &mut self.lead {
            Some(lead) => lead.count(choices, experts),
            None => self.tell(&Message::Choices(choices), &[to]).await,
        }
    }
}
