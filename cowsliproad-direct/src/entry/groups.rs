//! State of the groups whose ranks the targets are.

use cowsliproad_kernel::{Name, clock::Millis};
use cowsliproad_routing::formation::GroupFormation;
use slog::info;

use super::{ChosenTarget, Entry, GroupReport};

impl Entry {
    /// The formation of a target's group that its agent last reported: the
    /// group's name and the formation's epoch.
    pub fn reported_formation(
        &self,
        choice: &ChosenTarget,
    ) -> Option<(Name, u64)> {
        let endpoint = choice.endpoint.borrow();
        let group = endpoint.group.as_ref()?;
        Some((group.group_name.clone(), group.group_formation_epoch))
    }

    /// Records that a target called its group broken in the formation that was
    /// known when the request was sent: the group may have formed again before
    /// the answer was read. All ranks of a broken group refuse requests until
    /// the group forms again, so nothing is sent to any rank before an agent
    /// reports a new formation, or as long as agents report this one broken.
    /// Each rank would refuse a request that can wait
    /// here, and each refusal would draw on the retry budget.
    pub fn record_broken_group(&self, formation: Option<&(Name, u64)>) {
        if let Some((group, epoch)) = formation {
            self.merge_formation(group, *epoch, false);
        }
    }

    /// Merges a rank's report on the formation of its group. A group that
    /// accepts requests does so at all ranks: if each rank's report were
    /// awaited, the first rank to report would get all waiting requests.
    pub fn merge_formation(
        &self,
        group: &Name,
        group_formation_epoch: u64,
        accepts_requests: bool,
    ) {
        let now = Millis::now();
        let mut formations = self.formations.borrow_mut();
        let new =
            GroupFormation::new(group_formation_epoch, accepts_requests, now);
        let known = formations.entry(group.clone()).or_insert(new);
        if known.merge_rank_report(
            group_formation_epoch,
            accepts_requests,
            now,
        ) {
            info!(self.log, "group_stands"; "group" => &**group,
                "epoch" => group_formation_epoch, "open" => accepts_requests);
        }
    }

    /// Records that a rank's process is gone. A forward pass needs all ranks,
    /// so the other ranks begin nothing, though their engines report the loss
    /// only after waiting for the lost rank.
    pub fn record_rank_exit(&self, group: &GroupReport, now: Millis) {
        let mut formations = self.formations.borrow_mut();
        let Some(known) = formations.get_mut(&group.group_name) else {
            return;
        };
        if known.halt_for_lost_rank(group.group_formation_epoch, now) {
            info!(self.log, "group_halted"; "group" => &*group.group_name,
                "epoch" => group.group_formation_epoch);
        }
    }

    /// Records a forward pass that a rank reports. A group that goes on with
    /// passes has lost no rank.
    pub fn record_forward_pass(
        &self,
        group: &Name,
        group_formation_epoch: u64,
        pass: u64,
        now: Millis,
    ) {
        let mut formations = self.formations.borrow_mut();
        let Some(known) = formations.get_mut(group) else { return };
        if known.record_rank_step_report(group_formation_epoch, pass, now) {
            info!(self.log, "group_goes_on"; "group" => &**group,
                "epoch" => group_formation_epoch, "step" => pass);
        }
    }

    /// Whether a group accepts requests, by its newest known formation: the
    /// latest epoch in which its ranks formed the group. Without a known
    /// formation, the given report decides.
    pub(super) fn group_accepts_requests(
        &self,
        group: &GroupReport,
        now: Millis,
    ) -> bool {
        let formations = self.formations.borrow();
        let newest = formations.get(&group.group_name);
        newest.map_or(group.accepts_requests, |it| it.accepts_requests(now))
    }

    /// Whether the agent on a target's VM has reported recently.
    pub fn has_recent_agent_report(&self, choice: &ChosenTarget) -> bool {
        let now = Millis::now();
        let endpoint = choice.endpoint.borrow();
        let group = endpoint.group.as_ref();
        group
            .is_some_and(|it| now.since(it.reported_at) < AGENT_REPORT_TIMEOUT)
    }

    /// The highest forward pass that any group of a service is known to have
    /// begun.
    pub fn highest_forward_pass(&self, service: &str) -> u64 {
        let mut last = 0;
        self.for_each_group(service, |group| {
            last = last.max(group.map_or(0, |it| it.last_forward_pass));
        });
        last
    }

    /// Calls `visit` with the last group report, if any, of each target of a
    /// service. Streams call this for each event, so nothing is copied.
    pub fn for_each_group(
        &self,
        service: &str,
        mut visit: impl FnMut(Option<&GroupReport>),
    ) {
        let (fleet, endpoints) =
            (self.fleet.borrow(), self.endpoints.borrow());
        for target in
            fleet.ready_targets().filter(|it| &*it.service == service)
        {
            match endpoints.get(&target.id) {
                Some(endpoint) => visit(endpoint.borrow().group.as_ref()),
                None => visit(None),
            }
        }
    }
}

/// An agent counts as silent after two missing reports.
pub(super) const AGENT_REPORT_TIMEOUT: Millis = Millis(1_000);
