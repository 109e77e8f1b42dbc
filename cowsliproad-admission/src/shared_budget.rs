//! One entry process's part of the retry budgets that all share.
//!
//! Brings together the windows of all services ([`crate::window`]), the reports
//! that processes keep for one another ([`crate::retry_report`]) and the entry
//! processes that share the budgets ([`crate::members`]). The caller sends the
//! reports: that of a retry before the retry itself.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
};

use cowsliproad_kernel::{
    Name,
    clock::Millis,
    gossip::{
        ReporterState, RetryHistory, RetryReport, SenderTime, ServiceRetries,
    },
};

use crate::{
    members::Members,
    retry_report::{
        HistorySearch, PeerContact, REPORT_INTERVAL, RetryReports,
    },
    window::{
        RetryShare, RetryUsage, RetryWindow, RetryWindowConfig, Spending,
    },
};

/// Entry processes that keep the reports of one entry process.
pub const MAX_ENTRY_KEEPERS: usize = 5;

/// The process that a [`SharedBudget`] belongs to.
#[derive(Clone, Copy, Debug)]
pub struct Owner {
    /// The address at which the process receives messages.
    pub address: SocketAddr,
    /// Identifies the process among those at its address.
    pub incarnation: u64,
    /// Whether the whole system starts with the process.
    pub start: Start,
}

/// Whether there can have been processes before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Start {
    /// The whole system starts for the first time.
    First,
    /// Others may have run, at this address too.
    Later,
}

/// The part of one entry process in the retry budgets of all services.
#[derive(Clone, Debug)]
pub struct SharedBudget {
    owner: Owner,
    config: RetryWindowConfig,
    /// Entry processes that are taken to share the budget, known or not.
    min_entry_count: usize,
    windows: HashMap<Name, RetryWindow>,
    /// When the inherited window of each service was reported; negative before
    /// the start of this process.
    inherited_at: HashMap<Name, i64>,
    search: HistorySearch,
    reports: RetryReports,
    members: Members,
    reported_at: Option<Millis>,
}

/// The outcome of a wish to retry.
#[derive(Clone, Debug)]
pub struct RetryDecision {
    /// Whether the retry may be sent.
    pub spending: Spending,
    /// What has been used of the process's part.
    pub usage: RetryUsage,
    /// The process's part.
    pub share: RetryShare,
    /// The report that has to be sent before the retry, if any.
    pub report: Option<RetryReport>,
}

/// What a process that starts has learned from an answer.
#[derive(Clone, Copy, Debug)]
pub struct Inheritance {
    /// Whether the windows in the answer count from now on.
    pub is_inherited: bool,
    /// For how long all retries from this address are known.
    pub known_for: Millis,
}

impl SharedBudget {
    /// Creates the state of a process that starts.
    pub fn new(owner: Owner, config: RetryWindowConfig) -> SharedBudget {
        let search = match owner.start {
            Start::First => HistorySearch::first_start(),
            Start::Later => HistorySearch::restart(),
        };
        SharedBudget {
            owner,
            config,
            min_entry_count: 1,
            windows: HashMap::new(),
            inherited_at: HashMap::new(),
            search,
            reports: RetryReports::default(),
            members: Members::new(owner.address),
            reported_at: None,
        }
    }

    /// Changes the size of the budget; what was spent still counts.
    pub fn set_config(&mut self, config: RetryWindowConfig) {
        self.config = config;
        self.windows.values_mut().for_each(|it| it.set_config(config));
    }

    /// Sets how many entry processes there are at least, known or not.
    pub fn set_min_entry_count(&mut self, count: usize) {
        self.min_entry_count = count;
    }

    /// The window of a service, if it got a request or a retry.
    pub fn window(&self, service: &str) -> Option<&RetryWindow> {
        self.windows.get(service)
    }

    /// The entry processes that share the budgets.
    pub fn members_mut(&mut self) -> &mut Members {
        &mut self.members
    }

    /// Counts a request that is not a retry.
    pub fn record_request(&mut self, service: &Name, now: Millis) {
        self.window_or_insert(service).record_request(now);
    }

    /// Whether this process's part allows a retry of a service now.
    pub fn allows_retry(&mut self, service: &Name, now: Millis) -> bool {
        let share = self.share_of_service(service, now);
        self.window_or_insert(service).allows_retry(&share, now)
    }

    /// Spends a retry of a service if this process's part allows one.
    pub fn try_spend_retry(
        &mut self,
        service: &Name,
        now: Millis,
    ) -> RetryDecision {
        let share = self.share_of_service(service, now);
        let window = self.window_or_insert(service);
        let spending = window.try_spend_retry(&share, now);
        let usage = window.usage(&share, now);
        let report = match spending {
            Spending::Unreported => window.report(service, now),
            Spending::Reported | Spending::Denied => None,
        };
        let report = report.map(|it| self.report(vec![it], now));
        RetryDecision { spending, usage, share, report }
    }

    /// Counts a retry as spent when it was sent, which may be long after it was
    /// allowed.
    pub fn postpone_retry(
        &mut self,
        service: &Name,
        spent_at: Millis,
        now: Millis,
    ) {
        self.window_or_insert(service).postpone_retry(spent_at, now);
    }

    /// Updates what is known of other entry processes, and returns a report if
    /// one is due. An entry process that sent nothing for `silence_timeout` may
    /// have ended or be cut off.
    pub fn update(
        &mut self,
        silence_timeout: Millis,
        now: Millis,
    ) -> Option<RetryReport> {
        let window = self.config.window_length();
        self.members.evict(window, now);
        let has_met_nobody =
            self.min_entry_count > 1 && self.members.count() == 1;
        let contact = match has_met_nobody
            || self.members.has_silent_member(silence_timeout, now)
        {
            true => PeerContact::SomeSilent,
            false => PeerContact::All,
        };
        self.search.update(contact, now);
        let is_due = self.is_asking(now)
            || self
                .reported_at
                .is_none_or(|it| now.since(it) >= REPORT_INTERVAL);
        is_due.then(|| {
            self.reported_at = Some(now);
            self.report(self.service_retries(now), now)
        })
    }

    /// Whether this process asks all others what was spent before its start.
    pub fn is_asking(&self, now: Millis) -> bool {
        self.search.is_asking(self.config.window_length(), now)
    }

    /// The last report of a process that has sent its last retry.
    pub fn stop_report(&self, now: Millis) -> RetryReport {
        let report = self.report(self.service_retries(now), now);
        RetryReport { state: ReporterState::Stopped, ..report }
    }

    /// Keeps the report of another entry process. Returns the answer if that
    /// process asks for the history of its address.
    pub fn merge_report(
        &mut self,
        report: RetryReport,
        now: Millis,
    ) -> Option<RetryHistory> {
        let sender = report.sender_address;
        let incarnation = report.sent_at.incarnation;
        let earlier = self.members.earlier_process(sender, incarnation);
        match report.state {
            ReporterState::Stopped => {
                self.members.record_stopped(sender, incarnation, now)
            }
            ReporterState::Starting | ReporterState::Running => {
                self.members.record_heard(sender, incarnation, now)
            }
        }
        let watched_for = match self.owner.start {
            Start::First => self.search.known_for(now),
            Start::Later => now,
        };
        self.reports.merge(report, earlier, watched_for, now)
    }

    /// Merges an answer to this process's question for the history of its
    /// address; `None` if an earlier process asked, or the answer is that there
    /// was none.
    pub fn merge_history(
        &mut self,
        history: &RetryHistory,
        now: Millis,
    ) -> Option<Inheritance> {
        if history.incarnation != self.owner.incarnation {
            return None;
        }
        let is_inherited = self.search.merge(history, now);
        let earlier = history.earlier.as_ref()?;
        if is_inherited {
            for (age, retries) in &earlier.services {
                self.inherit(retries, *age, now);
            }
        }
        let known_for =
            self.search.known_for(now).min(self.config.window_length());
        Some(Inheritance { is_inherited, known_for })
    }

    /// Inherits a service's window, unless a newer report of it was inherited.
    fn inherit(&mut self, retries: &ServiceRetries, age: Millis, now: Millis) {
        let reported_at = now.0 as i64 - age.0 as i64;
        let newest = self.inherited_at.get(&retries.service);
        if newest.is_some_and(|it| *it >= reported_at) {
            return;
        }
        self.inherited_at.insert(retries.service.clone(), reported_at);
        self.window_or_insert(&retries.service).inherit(retries, age, now);
    }

    /// This process's part of a service's budget.
    fn share_of_service(&self, service: &Name, now: Millis) -> RetryShare {
        let mut share = self.share(now);
        let keepers = MAX_ENTRY_KEEPERS.min(share.entry_count - 1);
        share.debt =
            self.reports.debt(service, &self.config, &share, keepers, now);
        share
    }

    fn share(&self, now: Millis) -> RetryShare {
        let entry_count = self.members.count().max(self.min_entry_count);
        self.search.share(entry_count, self.config.window_length(), now)
    }

    fn report(
        &self,
        services: Vec<ServiceRetries>,
        now: Millis,
    ) -> RetryReport {
        let share = self.share(now);
        let state = match self.is_asking(now) {
            true => ReporterState::Starting,
            false => ReporterState::Running,
        };
        RetryReport {
            sender_address: self.owner.address,
            sent_at: SenderTime {
                incarnation: self.owner.incarnation,
                clock: now,
            },
            state,
            known_for: share.known_for,
            entry_count: share.entry_count as u32,
            services,
        }
    }

    fn service_retries(&self, now: Millis) -> Vec<ServiceRetries> {
        let windows = self.windows.iter();
        windows.filter_map(|(name, it)| it.report(name, now)).collect()
    }

    fn window_or_insert(&mut self, service: &Name) -> &mut RetryWindow {
        let config = self.config;
        self.windows
            .entry(service.clone())
            .or_insert_with(|| RetryWindow::new(config))
    }
}

/// Chooses the processes that keep the reports of the process at an address:
/// much the same ones, whoever else is known.
pub fn choose_keepers(
    own: SocketAddr,
    mut known: Vec<SocketAddr>,
    most: usize,
) -> Vec<SocketAddr> {
    if known.len() > most {
        known.sort_by_cached_key(|it| {
            let mut hasher = DefaultHasher::new();
            (own, it).hash(&mut hasher);
            hasher.finish()
        });
        known.truncate(most);
    }
    known
}
