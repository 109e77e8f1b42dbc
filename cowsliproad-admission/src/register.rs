//! An agent's record of the tickets it has seen.
//!
//! Invariant: a ticket gets [`SubmitVerdict::Run`] at most once in the life of a
//! register, and never after a refusal. The record is made before the target
//! is called. A record outlives its ticket by [`RECORD_RETENTION`], so
//! that a late question about it still gets a true answer, and it is dropped
//! only when the ticket is too old to be taken at all.
//!
//! When the agent stops, [`TicketRegister::seal`] makes a register that a peer
//! answers from: it runs nothing more, and what it never saw is truly not
//! run, because the agent took in nothing after sealing.

use std::collections::{BTreeSet, HashMap};

use cowsliproad_kernel::{clock::Millis, id};
use serde::{Deserialize, Serialize};

use crate::ticket::Ticket;

/// How long a ticket may be submitted after it was made.
pub const TICKET_TTL: Millis = Millis(10 * 60 * 1000);

/// How long a record is kept after its ticket's expiry.
pub const RECORD_RETENTION: Millis = Millis(60 * 60 * 1000);

/// What is known of a ticket.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Mark {
    /// Its work was taken in; the target may have been called.
    Taken,
    /// It was refused and stays refused.
    Burned,
}

/// What to do with a submitted ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SubmitVerdict {
    /// Take the work in; it is recorded now.
    Run,
    /// The work was taken in before: answer from what is kept of it.
    Seen,
    /// It was refused before: not run, for good.
    Burned,
    /// It has lapsed unseen: not run, for good.
    Expired,
    /// It is too old for the records: nobody knows.
    TooOld,
    /// There is no room for another record. Nothing was recorded, so this
    /// says nothing of later attempts.
    Full,
}

/// The records of one agent process.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TicketRegister {
    capacity: usize,
    marks: HashMap<id::Request, Mark>,
    expiries: BTreeSet<(Millis, id::Request)>,
    sealed: bool,
}

impl TicketRegister {
    /// An empty register for at most `capacity` records.
    pub fn new(capacity: usize) -> TicketRegister {
        TicketRegister {
            capacity,
            marks: HashMap::new(),
            expiries: BTreeSet::new(),
            sealed: false,
        }
    }

    /// Judges a ticket and records it.
    pub fn submit(&mut self, ticket: &Ticket, now: Millis) -> SubmitVerdict {
        self.forget(now);
        match self.marks.get(&ticket.request) {
            Some(Mark::Taken) => return SubmitVerdict::Seen,
            Some(Mark::Burned) => return SubmitVerdict::Burned,
            None => {}
        }
        if ticket.expiry + RECORD_RETENTION <= now {
            return SubmitVerdict::TooOld;
        }
        if ticket.expiry <= now {
            return SubmitVerdict::Expired;
        }
        if self.sealed {
            // The sealed state itself refuses every further submission, so
            // a record is not needed for the refusal to be permanent.
            return SubmitVerdict::Burned;
        }
        if self.marks.len() >= self.capacity {
            return SubmitVerdict::Full;
        }
        self.record(ticket, Mark::Taken);
        SubmitVerdict::Run
    }

    /// Refuses a ticket for good, unless its work was taken in before.
    pub fn refuse(&mut self, ticket: &Ticket, now: Millis) -> SubmitVerdict {
        match self.submit(ticket, now) {
            SubmitVerdict::Run => {
                self.marks.insert(ticket.request, Mark::Burned);
                SubmitVerdict::Burned
            }
            other => other,
        }
    }

    /// Turns taken work that provably never reached the target into refused
    /// work.
    pub fn refuse_unsent(&mut self, request: id::Request) {
        if let Some(mark) = self.marks.get_mut(&request) {
            *mark = Mark::Burned;
        }
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    /// Stops taking work in, for good.
    pub fn seal(&mut self) {
        self.sealed = true;
    }

    fn record(&mut self, ticket: &Ticket, mark: Mark) {
        self.marks.insert(ticket.request, mark);
        self.expiries.insert((ticket.expiry, ticket.request));
    }

    fn forget(&mut self, now: Millis) {
        while let Some(&(expiry, request)) = self.expiries.first() {
            if expiry + RECORD_RETENTION > now {
                return;
            }
            self.expiries.pop_first();
            self.marks.remove(&request);
        }
    }
}
