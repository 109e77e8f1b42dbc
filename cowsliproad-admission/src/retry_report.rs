//! Reports of retries that processes keep for one another.
//!
//! An entry process that ends takes its retry windows with it, while targets
//! still count what it sent. So it reports each retry to several other
//! processes before sending it, and they keep the latest report of each
//! address. The next process at that address asks for the report and inherits
//! the windows in it. A report holds the whole window, so one keeper of the
//! latest report suffices, however long it has run itself.
//!
//! A report is complete if its sender stopped as planned, or was heard from
//! shortly before the next process asks. Otherwise the sender may have been cut
//! off and have spent retries that nobody here knows of.

use std::{collections::HashMap, net::SocketAddr};

use cowsliproad_kernel::{
    Name,
    clock::Millis,
    gossip::{
        EarlierReport, ReporterState, RetryHistory, RetryReport,
        ServiceRetries,
    },
};

use crate::{
    members::{EarlierProcess, SILENT_MEMBER_TTL},
    window::{ExtraShare, RetryShare, RetryWindowConfig},
};

/// The interval of an entry process's reports to the processes that keep them,
/// beside those of retries.
pub const REPORT_INTERVAL: Millis = Millis(1_000);

/// A process that was heard from within this time was not cut off before it
/// ended. Two reports may be lost.
const MAX_REPORT_GAP: Millis = Millis(2_500);

/// How long reports of an address that is silent are kept.
const REPORT_TTL: Millis = Millis(120_000);

/// Addresses whose reports are kept, several times the entry processes of a
/// large fleet that choose the same keeper.
const MAX_REPORTERS: usize = 1_024;

/// Services whose windows are kept of one address.
const MAX_REPORTED_SERVICES: usize = 64;

/// The latest reports of the entry processes at other addresses.
#[derive(Clone, Debug, Default)]
pub struct RetryReports {
    reporters: HashMap<SocketAddr, Reporter>,
}

/// What the processes at one address reported.
#[derive(Clone, Debug)]
struct Reporter {
    current: KeptReport,
    /// The last report of the process before, while its successor asks for it.
    earlier: Option<KeptReport>,
}

/// The latest report of one process.
#[derive(Clone, Debug)]
struct KeptReport {
    incarnation: u64,
    state: ReporterState,
    heard_at: Millis,
    known_for: Millis,
    entry_count: u32,
    /// When the window of each service was reported, by the sender's clock and
    /// by the clock of this process.
    services: HashMap<Name, (Millis, Millis, ServiceRetries)>,
}

impl RetryReports {
    /// Merges a report. Returns the history of the sender's address if the
    /// sender asks for it; `watched_for` is how long this process has kept
    /// reports, and `known_process` whether it knows of an earlier process
    /// there, maybe without its reports.
    pub fn merge(
        &mut self,
        report: RetryReport,
        known_process: EarlierProcess,
        watched_for: Millis,
        now: Millis,
    ) -> Option<RetryHistory> {
        self.evict_expired(now);
        let address = report.sender_address;
        let incarnation = report.sent_at.incarnation;
        let asks = report.state == ReporterState::Starting;
        let has_room = self.reporters.len() < MAX_REPORTERS;
        match self.reporters.get_mut(&address) {
            Some(kept) if kept.current.incarnation == incarnation => {
                kept.current.update(report, now);
            }
            Some(kept) => {
                let new = KeptReport::new(report, now);
                kept.earlier = Some(std::mem::replace(&mut kept.current, new));
            }
            None if has_room => {
                let current = KeptReport::new(report, now);
                let reporter = Reporter { current, earlier: None };
                self.reporters.insert(address, reporter);
            }
            None => {}
        }
        let kept = self.reporters.get_mut(&address)?;
        if !asks {
            kept.earlier = None;
            return None;
        }
        let earlier = match (&kept.earlier, known_process) {
            (Some(earlier), _) => Some(earlier.encode(now)),
            (None, EarlierProcess::None) => None,
            (None, EarlierProcess::Known) => Some(unreported_process()),
            (None, EarlierProcess::Unclear) => return None,
        };
        Some(RetryHistory { incarnation, watched_for, earlier })
    }

    /// Returns this process's part of what other processes spent of a service's
    /// budget beyond what their requests still allow. The `keeper_count`
    /// processes that keep a report share it.
    pub fn debt(
        &self,
        service: &str,
        config: &RetryWindowConfig,
        share: &RetryShare,
        keeper_count: usize,
        now: Millis,
    ) -> f64 {
        let overspent = |kept: &KeptReport| {
            let Some((_, reported_at, retries)) = kept.services.get(service)
            else {
                return 0.0;
            };
            let age = now.since(*reported_at);
            config.overspent(retries, share.entry_count, age)
        };
        let reporters = self.reporters.values();
        let overspent = reporters.map(|it| {
            let earlier = it.earlier.as_ref().map_or(0.0, overspent);
            earlier.max(overspent(&it.current))
        });
        // Up to half of the keepers may have ended, too.
        overspent.sum::<f64>() / (keeper_count as f64 / 2.0).max(1.0)
    }

    fn evict_expired(&mut self, now: Millis) {
        if self.reporters.len() >= MAX_REPORTERS {
            self.reporters
                .retain(|_, it| now.since(it.current.heard_at) < REPORT_TTL);
        }
    }
}

impl KeptReport {
    fn new(report: RetryReport, now: Millis) -> KeptReport {
        let mut kept = KeptReport {
            incarnation: report.sent_at.incarnation,
            state: report.state,
            heard_at: now,
            known_for: report.known_for,
            entry_count: report.entry_count,
            services: HashMap::new(),
        };
        kept.update(report, now);
        kept
    }

    fn update(&mut self, report: RetryReport, now: Millis) {
        self.heard_at = now;
        if self.state != ReporterState::Stopped {
            self.state = report.state;
        }
        self.known_for = report.known_for;
        self.entry_count = report.entry_count;
        let clock = report.sent_at.clock;
        for retries in report.services {
            let newer = self
                .services
                .get(&retries.service)
                .is_none_or(|it| it.0 <= clock);
            if newer && self.services.len() < MAX_REPORTED_SERVICES {
                let service = retries.service.clone();
                self.services.insert(service, (clock, now, retries));
            }
        }
    }

    fn encode(&self, now: Millis) -> EarlierReport {
        let heard_age = now.since(self.heard_at);
        let services = self.services.values();
        let services = services.map(|(_, heard_at, retries)| {
            (now.since(*heard_at), retries.clone())
        });
        EarlierReport {
            heard_age,
            is_complete: self.state == ReporterState::Stopped
                || heard_age <= MAX_REPORT_GAP,
            known_for: self.known_for,
            entry_count: self.entry_count,
            services: services.collect(),
        }
    }
}

/// What is told of a process whose reports others keep.
fn unreported_process() -> EarlierReport {
    EarlierReport {
        heard_age: Millis(0),
        is_complete: false,
        known_for: Millis(0),
        entry_count: 0,
        services: Vec::new(),
    }
}

/// What a process that starts has learned of the retries spent before it at its
/// address.
#[derive(Clone, Debug)]
pub struct HistorySearch {
    /// For how long before the start of this process all retries are known.
    known_before_start: Millis,
    /// Whether an earlier process at this address was reported, so that others
    /// have counted this address.
    has_earlier_process: bool,
    /// When a process answered first.
    first_answer_at: Option<Millis>,
    /// The longest time for which a process that answered has kept reports.
    watched_before_start: Millis,
    /// Since when this address counts as joined; later while some entry
    /// process that shares the budget is silent.
    joined_at: Millis,
    /// The number of entry processes that the earlier process counted.
    reported_entry_count: usize,
}

/// How long after the first answer a process that starts waits for one that
/// kept reports of an earlier process, and for others to count as silent.
const ANSWERS_TIME: Millis = Millis(2_500);

/// The time in which all entry processes count one that has joined.
const JOIN_TIME: Millis = Millis(12_000);

/// The history before a process that is the first at its address.
const ALWAYS: Millis = Millis(u64::MAX / 4);

impl HistorySearch {
    /// A process with none before it.
    pub fn first_start() -> HistorySearch {
        HistorySearch {
            known_before_start: ALWAYS,
            has_earlier_process: true,
            ..HistorySearch::restart()
        }
    }

    /// A process that may follow another one at its address.
    pub fn restart() -> HistorySearch {
        HistorySearch {
            known_before_start: Millis(0),
            has_earlier_process: false,
            first_answer_at: None,
            watched_before_start: Millis(0),
            joined_at: Millis(0),
            reported_entry_count: 0,
        }
    }

    /// For how long all retries from this address are known.
    pub fn known_for(&self, now: Millis) -> Millis {
        now + self.known_before_start
    }

    /// Whether other processes are still asked for the history: it is not known
    /// for a whole window.
    pub fn is_asking(&self, window: Millis, now: Millis) -> bool {
        self.known_for(now) <= window + REPORT_INTERVAL
    }

    /// Merges an answer. Returns whether the windows in it are to be inherited.
    pub fn merge(&mut self, history: &RetryHistory, now: Millis) -> bool {
        self.first_answer_at.get_or_insert(now);
        let before_start = |time: Millis| time.since(now);
        let Some(earlier) = &history.earlier else {
            self.watched_before_start = self
                .watched_before_start
                .max(before_start(history.watched_for));
            return false;
        };
        self.has_earlier_process = true;
        if !earlier.is_complete {
            return false;
        }
        self.reported_entry_count =
            self.reported_entry_count.max(earlier.entry_count as usize);
        self.known_before_start = self
            .known_before_start
            .max(before_start(earlier.heard_age + earlier.known_for));
        true
    }

    /// Decides that there was no earlier process at this address once those
    /// that would have kept its reports have answered. An address that has
    /// joined gets its equal part only after all others can have counted it.
    pub fn update(&mut self, contact: PeerContact, now: Millis) {
        if self.has_earlier_process {
            return;
        }
        if contact == PeerContact::SomeSilent {
            self.joined_at = now;
        }
        // A silent process may have ended with what it had spent, while its
        // callers come here.
        let settled = contact == PeerContact::All
            && self
                .first_answer_at
                .is_some_and(|it| now.since(it) >= ANSWERS_TIME);
        if settled {
            self.known_before_start =
                self.known_before_start.max(self.watched_before_start);
        }
    }

    /// The part of a budget that this process may use, where `entry_count`
    /// processes are counted that share the budget.
    pub fn share(
        &self,
        entry_count: usize,
        window: Millis,
        now: Millis,
    ) -> RetryShare {
        let joined_for = now.since(self.joined_at);
        let extra = match self.has_earlier_process
            || joined_for >= window + JOIN_TIME
        {
            true => ExtraShare::Equal,
            false => ExtraShare::Reserve(joined_for),
        };
        // Processes that are silent here may be known to others.
        let reported_entry_count = match now < SILENT_MEMBER_TTL {
            true => self.reported_entry_count,
            false => 0,
        };
        RetryShare {
            entry_count: entry_count.max(reported_entry_count),
            known_for: self.known_for(now),
            extra,
            debt: 0.0,
        }
    }
}

/// Whether a process hears from the others that share its budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerContact {
    /// All were heard from lately.
    All,
    /// Some are silent, or none has been heard from yet.
    SomeSilent,
}
