//! Who leads: when an agent takes the lead, and when it gives it up.

use std::net::SocketAddr;

use cowsliproad_kernel::{
    Name,
    clock::Millis,
    position::{Era, Position},
};
use cowsliproad_mapswitch::order::{Aim, Directive, GroupState, fence};
use cowsliproad_platform::log::{COORDINATORS_TOPIC, Client};
use slog::{Logger, info, warn};

use super::{Agent, Candidacy};
use crate::lead::{Lead, Start};

/// How long rank 0 waits for another coordinator before it leads.
const FIRST_TIMEOUT: Millis = Millis(250);

/// How long rank 1 waits, and each next rank more. Three words may be lost.
const NEXT_TIMEOUT: Millis = Millis(1_300);
const RANK_STAGGER: Millis = Millis(400);

/// How long rank 0 waits in the middle of a change, when a word comes every
/// 30 ms and the group may stand still.
const BUSY_TIMEOUT: Millis = Millis(350);

/// The pause before the platform's log is asked for a number again.
const RETRY_INTERVAL: Millis = Millis(1_000);

/// Records that are appended for a number, where the log turns out to be in a
/// later era.
const MAX_RECORDS: usize = 3;

impl Agent {
    /// Leads, if nobody else does by now.
    pub(super) async fn take_number(&mut self, record: Option<Position>) {
        let now = Millis::now();
        if let Some(record) = record {
            self.learn_era(record.era);
        }
        let Some(fence) = record.and_then(fence::fencing_number) else {
            info!(self.log, "no_fencing_number"; "record" => ?record);
            return;
        };
        let stops = self.stopping.is_some();
        if stops || fence <= self.fence || !self.misses_coordinator(now) {
            info!(self.log, "number_unused"; "fence" => fence);
            return;
        }
        info!(self.log, "leads"; "fence" => fence);
        self.fence = fence;
        let price = self.settings.move_price;
        let Some(rank) = self.report().map(|it| it.rank) else { return };
        let before = self.word.as_ref();
        let predecessor = before.map(|it| (it.1.ip(), it.0.fence));
        let start = Start { fence, rank, predecessor };
        self.lead = Some(Lead::new(start, price, self.log.clone()));
        self.speak(now).await;
    }

    /// Whether the group is open and nobody has led it for too long.
    pub(super) fn misses_coordinator(&self, now: Millis) -> bool {
        let Some(report) = self.report() else { return false };
        if report.standing == GroupState::Broken || self.shape.is_none() {
            return false;
        }
        let busy = |it: &Directive| it.aim != Aim::Rest;
        let timeout = match (report.rank, &self.word) {
            (0, None) => FIRST_TIMEOUT,
            (rank, Some((word, _, _))) if busy(word) => {
                BUSY_TIMEOUT + Millis(RANK_STAGGER.0 * u64::from(rank) / 4)
            }
            (rank, _) => {
                NEXT_TIMEOUT + Millis(RANK_STAGGER.0 * u64::from(rank))
            }
        };
        let heard = self.word.as_ref().map_or(self.begun, |it| it.2);
        now.since(heard) > timeout
    }

    /// Takes in that a coordinator stops: the first in line need not wait
    /// until it is missed.
    pub(super) fn hear_farewell(&mut self, fence: u64) {
        if let Some((word, _, heard)) = &mut self.word
            && word.fence == fence
        {
            info!(self.log, "coordinator_stops"; "fence" => fence);
            *heard = *heard - NEXT_TIMEOUT;
            self.prompt = true;
        }
    }

    /// Takes the lead when nobody has it.
    pub(super) async fn consider_leading(&mut self, now: Millis) {
        if self.lead.is_some() {
            self.reach_silent(now).await;
            self.speak(now).await;
            return;
        }
        let stops = self.stopping.is_some();
        if stops || self.candidacy.is_some() || !self.misses_coordinator(now) {
            return;
        }
        let again = |at: Millis| now.since(at) > RETRY_INTERVAL;
        if self.last.candidacy.is_none_or(again) {
            self.last.candidacy = Some(now);
            info!(self.log, "asks_for_number";
                "standing" => ?self.standing());
            let (log, vm) = (self.settings.log, self.settings.vm.clone());
            let task = record(log, vm, self.era, self.log.clone());
            self.candidacy = Some(tokio::task::spawn_local(task));
        }
    }

    /// Takes in which era the platform's log is in. Fencing numbers of a later
    /// one are higher than all before.
    pub(super) fn learn_era(&mut self, era: Era) {
        if era > self.era {
            info!(self.log, "log_era"; "era" => era.0,
                "before" => self.era.0);
            self.era = era;
        }
    }

    pub(super) fn step_down(&mut self, fence: u64) {
        info!(self.log, "steps_down"; "fence" => fence);
        self.fence = self.fence.max(fence);
        self.lead = None;
        self.last.said = None;
    }
}

/// Appends a record of ours whose place in the log makes a fencing number.
async fn record(
    log: SocketAddr,
    vm: Name,
    mut era: Era,
    logger: Logger,
) -> Option<Position> {
    let mut client = Client::new(log);
    for _ in 0..MAX_RECORDS {
        client.raise_era(era);
        match client.append(COORDINATORS_TOPIC, vm.as_bytes()).await {
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

/// The record that was asked for, once it has come.
pub(super) async fn candidate(
    candidacy: &mut Option<Candidacy>,
) -> Option<Position> {
    match candidacy {
        Some(task) => task.await.ok().flatten(),
        None => std::future::pending().await,
    }
}
