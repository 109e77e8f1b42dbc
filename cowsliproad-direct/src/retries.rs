//! The retry budget of this entry process, and its reports.
//!
//! A retry is reported before it is sent, to a few other entry processes and
//! agents that keep the latest report for the next process at this address. A
//! process that starts asks all that it meets for the report of the process
//! before, and inherits its windows; see
//! [`cowsliproad_admission::retry_report`].

use std::net::SocketAddr;

use cowsliproad_admission::{
    shared_budget::{
        MAX_ENTRY_KEEPERS, Owner, RetryDecision, SharedBudget, Start,
        choose_keepers,
    },
    window::{RetryWindowConfig, Spending},
};
use cowsliproad_kernel::{
    Name,
    clock::Millis,
    gossip::{self, Datagram, GossipDigest, RetryHistory, RetryReport},
};
use slog::{debug, info};

use crate::{
    entry::Entry,
    settings::{RetryBudgetSettings, Settings},
};

/// Agents that keep the reports of one entry process, since all entry processes
/// may end at once.
const MAX_AGENT_KEEPERS: usize = 2;

/// Agents that a process that starts asks: it may know other targets than the
/// process before.
const MAX_ASKED_AGENTS: usize = 4;

/// Creates the retry budgets of a process that starts.
pub fn new_budget(settings: &Settings, incarnation: u64) -> SharedBudget {
    let start = match settings.first_start {
        true => Start::First,
        false => Start::Later,
    };
    let address = settings.own_peer_address();
    let owner = Owner { address, incarnation, start };
    SharedBudget::new(owner, window_config(&settings.retries))
}

/// The size of the retry budget in the settings.
pub fn window_config(retries: &RetryBudgetSettings) -> RetryWindowConfig {
    RetryWindowConfig::new(
        retries.retries_per_request,
        retries.extra_retries,
        retries.window_ms,
    )
}

impl Entry {
    /// Records a request in its service's retry budget.
    pub fn record_request_in_budget(&self, service: &Name, now: Millis) {
        self.retry_budget.borrow_mut().record_request(service, now);
    }

    /// Whether a service's retry budget has a retry left.
    pub fn has_retry_left(&self, service: &Name, now: Millis) -> bool {
        self.retry_budget.borrow_mut().allows_retry(service, now)
    }

    /// Spends a retry of a service's retry budget; false if the budget is
    /// exhausted.
    pub fn try_spend_retry(
        &self,
        request_id: &str,
        service: &Name,
        now: Millis,
    ) -> bool {
        let decision =
            self.retry_budget.borrow_mut().try_spend_retry(service, now);
        if let Some(report) = &decision.report {
            self.send_retry_report(report, now);
        }
        self.log_retry(request_id, service, &decision);
        decision.spending != Spending::Denied
    }

    fn log_retry(
        &self,
        request_id: &str,
        service: &Name,
        decision: &RetryDecision,
    ) {
        let RetryDecision { spending, usage, share, .. } = decision;
        let outcome = match spending {
            Spending::Denied => "denied",
            Spending::Reported | Spending::Unreported => "spent",
        };
        self.metrics.record_retry(service, outcome, *usage);
        let window = self.settings().retries.window_ms;
        info!(self.log, "retry"; "request" => request_id,
            "service" => &**service, "outcome" => outcome,
            "spent" => usage.spent, "inherited" => usage.inherited,
            "allowed" => usage.allowed as u64,
            "requests" => usage.requests,
            "known_for" => share.known_for.min(window).0,
            "process_age" => Millis::now().0, "extra" => ?share.extra,
            "debt" => share.debt as u64, "entries" => share.entry_count,
            "entries_met" => self.peers.borrow().met_entry_process_count());
    }

    /// Records a digest of another entry process, which lists those that it
    /// heard from within `since`.
    pub fn record_budget_members(
        &self,
        digest: &GossipDigest,
        sent_at: Millis,
        since: Millis,
    ) {
        let mut budget = self.retry_budget.borrow_mut();
        let members = budget.members_mut();
        if let Some(sender) = digest.sent_at {
            let address = digest.sender_address;
            members.record_heard(address, sender.incarnation, sent_at);
        }
        members.record_heard_of(&digest.peers, sent_at - since);
    }

    /// Reports the retries of all services when that is due, or asks for those
    /// of the process before this one.
    pub fn update_retry_budget(&self, now: Millis) {
        let silence_timeout = self.peers.borrow().digest_silence_timeout();
        let report =
            self.retry_budget.borrow_mut().update(silence_timeout, now);
        if let Some(report) = report {
            self.send_retry_report(&report, now);
        }
    }

    fn send_retry_report(&self, report: &RetryReport, now: Millis) {
        let is_asking = self.retry_budget.borrow().is_asking(now);
        let own = self.settings().own_peer_address();
        let known = self.peers.borrow().known_addresses();
        let agents = self.agent_addresses();
        let recipients = match is_asking {
            true => {
                [known, choose_keepers(own, agents, MAX_ASKED_AGENTS)].concat()
            }
            false => [
                choose_keepers(own, known, MAX_ENTRY_KEEPERS),
                choose_keepers(own, agents, MAX_AGENT_KEEPERS),
            ]
            .concat(),
        };
        self.send_retry_report_to(&recipients, report);
    }

    /// Tells all that know this process that it ends and what it has spent.
    pub fn report_stop(&self) {
        let report = self.retry_budget.borrow().stop_report(Millis::now());
        let own = self.settings().own_peer_address();
        let known = self.peers.borrow().known_addresses();
        let agents = self.agent_addresses();
        let agents = choose_keepers(own, agents, MAX_AGENT_KEEPERS);
        self.send_retry_report_to(&[known, agents].concat(), &report);
    }

    fn send_retry_report_to(
        &self,
        recipients: &[SocketAddr],
        report: &RetryReport,
    ) {
        let bytes = gossip::encode(&Datagram::RetryReport(report.clone()));
        self.metrics.record_retry_report(recipients.len(), bytes.len());
        for recipient in recipients {
            self.send_datagram_now(&bytes, *recipient);
        }
    }

    /// Hands a datagram to the operating system without waiting, so that it
    /// leaves before whatever this process sends next.
    fn send_datagram_now(&self, bytes: &[u8], to: SocketAddr) {
        let Some(socket) = self.limits.borrow().peer_socket() else { return };
        if let Err(error) = socket.try_send_to(bytes, to) {
            debug!(self.log, "not_told"; "peer" => %to, "error" => %error);
        }
    }

    /// Keeps the report of another entry process, and answers if that process
    /// asks for the history of its address.
    pub fn merge_retry_report(&self, report: RetryReport, now: Millis) {
        let sender = report.sender_address;
        let history = self.retry_budget.borrow_mut().merge_report(report, now);
        let Some(history) = history else { return };
        if let Some(earlier) = &history.earlier {
            info!(self.log, "retry_history_told"; "peer" => %sender,
                "heard_age" => earlier.heard_age.0,
                "complete" => earlier.is_complete,
                "services" => earlier.services.len());
        }
        let bytes = gossip::encode(&Datagram::RetryHistory(history));
        self.send_datagram_now(&bytes, sender);
    }

    /// Inherits the windows of the process before this one.
    pub fn merge_retry_history(
        &self,
        history: &RetryHistory,
        from: SocketAddr,
        now: Millis,
    ) {
        let inheritance =
            self.retry_budget.borrow_mut().merge_history(history, now);
        let (Some(inheritance), Some(earlier)) =
            (inheritance, &history.earlier)
        else {
            return;
        };
        info!(self.log, "retry_history"; "peer" => %from,
            "inherited" => inheritance.is_inherited,
            "heard_age" => earlier.heard_age.0,
            "known_for" => inheritance.known_for.0,
            "services" => earlier.services.len(),
            "entries" => earlier.entry_count);
    }
}
