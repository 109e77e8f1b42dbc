//! What the entry believes of the groups that targets are ranks of.

use cowsliproad_kernel::{Name, clock::Millis};
use cowsliproad_routing::formation::GroupFormation;
use slog::info;

use super::{Choice, Entry, Group};

impl Entry {
    /// Notes that a target called its group broken. All of its ranks refuse
    /// then, and it opens in a new formation, so nothing is sent to any of
    /// them before an agent reports one. Each would refuse a request that
    /// can wait here, and draw on the retry budget.
    pub fn note_broken(&self, choice: &Choice) {
        let endpoint = choice.endpoint.borrow();
        let Some(group) = &endpoint.group else { return };
        self.note_formation(&group.name, group.epoch, false);
    }

    /// Notes what a rank says of its group. A group that is open is so at all
    /// ranks: were each waited for, the first to say so would be sent all
    /// that waited.
    pub fn note_formation(&self, group: &Name, epoch: u64, open: bool) {
        let mut formations = self.formations.borrow_mut();
        let new = GroupFormation::new(epoch, open);
        let known = formations.entry(group.clone()).or_insert(new);
        if known.merge_rank_report(epoch, open) {
            info!(self.log, "group_stands"; "group" => &**group,
                "epoch" => epoch, "open" => open);
        }
    }

    /// Notes that a rank's process is gone. Passes need all ranks, so the
    /// others begin nothing, though their engines say so only once they have
    /// waited for it in vain.
    pub fn note_lost_rank(&self, group: &Group, now: Millis) {
        let mut formations = self.formations.borrow_mut();
        let Some(known) = formations.get_mut(&group.name) else { return };
        if known.halt_for_lost_rank(group.epoch, now) {
            info!(self.log, "group_halted"; "group" => &*group.name,
                "epoch" => group.epoch);
        }
    }

    /// Notes a pass that a rank reports. A group that goes on has lost none.
    pub fn note_step(&self, group: &Name, epoch: u64, step: u64, now: Millis) {
        let mut formations = self.formations.borrow_mut();
        let Some(known) = formations.get_mut(group) else { return };
        if known.record_rank_step_report(epoch, step, now) {
            info!(self.log, "group_goes_on"; "group" => &**group,
                "epoch" => epoch, "step" => step);
        }
    }

    /// Whether a group takes requests, as far as is known.
    pub(super) fn is_open(&self, group: &Group, now: Millis) -> bool {
        let formations = self.formations.borrow();
        let newest = formations.get(&group.name);
        newest.map_or(group.open, |it| it.accepts_requests(now))
    }

    /// Whether the agent beside a target spoke lately.
    pub fn hears_of(&self, choice: &Choice) -> bool {
        let now = Millis::now();
        let endpoint = choice.endpoint.borrow();
        let group = endpoint.group.as_ref();
        group.is_some_and(|it| now.since(it.heard) < AGENT_TIMEOUT)
    }

    /// The last pass that any group of a service is known to have begun.
    pub fn step_of(&self, service: &str) -> u64 {
        let mut last = 0;
        self.each_group(service, |group| {
            last = last.max(group.map_or(0, |it| it.step));
        });
        last
    }

    /// Looks at what is known of the group of each of a service's targets.
    /// Streams ask with each event, so nothing is copied.
    pub fn each_group(
        &self,
        service: &str,
        mut look: impl FnMut(Option<&Group>),
    ) {
        let (fleet, endpoints) =
            (self.fleet.borrow(), self.endpoints.borrow());
        for target in
            fleet.ready_targets().filter(|it| &*it.service == service)
        {
            match endpoints.get(&target.id) {
                Some(endpoint) => look(endpoint.borrow().group.as_ref()),
                None => look(None),
            }
        }
    }
}

/// An agent that two reports are missing of is silent.
pub(super) const AGENT_TIMEOUT: Millis = Millis(1_000);
