//! State of the groups whose ranks the targets are.

use cowsliproad_kernel::{Name, clock::Millis};
use cowsliproad_routing::formation::Formation;
use slog::info;

use super::{Choice, Entry, Group};

impl Entry {
    /// Records that a target called its group broken. All ranks of a broken
    /// group refuse requests until the group forms again, so nothing is sent
    /// to any rank before an agent reports a new formation. Each rank would
    /// refuse a request that can wait here, and each refusal would draw on the
    /// retry budget.
    pub fn note_broken(&self, choice: &Choice) {
        let endpoint = choice.endpoint.borrow();
        let Some(group) = &endpoint.group else { return };
        self.note_formation(&group.name, group.epoch, false);
    }

    /// Merges a rank's report on its group. A group that accepts requests does
    /// so at all ranks: if each rank's report were awaited, the first rank to
    /// report would get all waiting requests.
    pub fn note_formation(&self, group: &Name, epoch: u64, open: bool) {
        let mut formations = self.formations.borrow_mut();
        let new = Formation::new(epoch, open);
        let known = formations.entry(group.clone()).or_insert(new);
        if known.learn(epoch, open) {
            info!(self.log, "group_stands"; "group" => &**group,
                "epoch" => epoch, "open" => open);
        }
    }

    /// Records that a rank's process is gone. A forward pass needs all ranks,
    /// so the other ranks begin nothing, though their engines report it only
    /// after waiting in vain for the lost rank.
    pub fn note_lost_rank(&self, group: &Group, now: Millis) {
        let mut formations = self.formations.borrow_mut();
        let Some(known) = formations.get_mut(&group.name) else { return };
        if known.halt(group.epoch, now) {
            info!(self.log, "group_halted"; "group" => &*group.name,
                "epoch" => group.epoch);
        }
    }

    /// Records a forward pass that a rank reports. A group that goes on with
    /// passes has lost no rank.
    pub fn note_step(&self, group: &Name, epoch: u64, step: u64, now: Millis) {
        let mut formations = self.formations.borrow_mut();
        let Some(known) = formations.get_mut(group) else { return };
        if known.step(epoch, step, now) {
            info!(self.log, "group_goes_on"; "group" => &**group,
                "epoch" => epoch, "step" => step);
        }
    }

    /// Whether a group accepts requests, by the newest known formation.
    pub(super) fn is_open(&self, group: &Group, now: Millis) -> bool {
        let formations = self.formations.borrow();
        let newest = formations.get(&group.name);
        newest.map_or(group.open, |it| it.is_open(now))
    }

    /// Whether the agent on a target's VM has reported recently.
    pub fn hears_of(&self, choice: &Choice) -> bool {
        let now = Millis::now();
        let endpoint = choice.endpoint.borrow();
        let group = endpoint.group.as_ref();
        group.is_some_and(|it| now.since(it.heard) < AGENT_TIMEOUT)
    }

    /// The highest forward pass that any group of a service is known to have
    /// begun.
    pub fn step_of(&self, service: &str) -> u64 {
        let mut last = 0;
        self.each_group(service, |group| {
            last = last.max(group.map_or(0, |it| it.step));
        });
        last
    }

    /// Calls `look` with the known group, if any, of each target of a service.
    /// Streams call this for each event, so nothing is copied.
    pub fn each_group(
        &self,
        service: &str,
        mut look: impl FnMut(Option<&Group>),
    ) {
        let (fleet, endpoints) =
            (self.fleet.borrow(), self.endpoints.borrow());
        for target in fleet.ready().filter(|it| &*it.service == service) {
            match endpoints.get(&target.id) {
                Some(endpoint) => look(endpoint.borrow().group.as_ref()),
                None => look(None),
            }
        }
    }
}

/// An agent counts as silent after two missing reports.
pub(super) const AGENT_TIMEOUT: Millis = Millis(1_000);
