//! An agent's record of the tickets that were submitted to it.
//!
//! Invariant: a ticket gets [`SubmitVerdict::Run`] at most once in the
//! lifetime of a register, and never after a refusal. The record is made
//! before the target is called. A record is kept for
//! [`TICKET_RECORD_RETENTION`] after its ticket expires, so that a late
//! resubmission still gets a correct answer. A record is removed only when its
//! ticket is too old to be accepted at all.
//!
//! When the agent stops, [`TicketRegister::seal`] turns the register into one
//! that a peer can answer from: a sealed register accepts no more work. A
//! ticket that a sealed register has no record of never ran, because the agent
//! accepted nothing after sealing.

use std::collections::{BTreeSet, HashMap};

use cowsliproad_kernel::{clock::Millis, id};
use serde::{Deserialize, Serialize};

use crate::ticket::Ticket;

/// How long a ticket may be submitted after it was issued.
pub const TICKET_TTL: Millis = Millis(10 * 60 * 1000);

/// How long the record of a ticket is kept after the ticket expires.
pub const TICKET_RECORD_RETENTION: Millis = Millis(60 * 60 * 1000);

/// The recorded state of a ticket.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TicketState {
    /// The ticket's work was accepted; the target may have been called.
    #[serde(rename = "Taken")]
    Accepted,
    /// The ticket was refused permanently.
    #[serde(rename = "Burned")]
    Refused,
}

/// What an agent does with a submitted ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SubmitVerdict {
    /// The ticket's work is accepted and recorded now, and is to be run.
    Run,
    /// The ticket's work was accepted before: the kept answer is returned.
    Duplicate,
    /// The ticket was refused before: its work never runs.
    Refused,
    /// The ticket expired without a record: its work never runs.
    Expired,
    /// The ticket's record may have been removed: whether its work ran is
    /// unknown.
    TooOld,
    /// The register is full. Nothing was recorded, so a later submission of
    /// the ticket may still be accepted.
    RegisterFull,
}

/// The ticket records of one agent process.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TicketRegister {
    /// The maximum number of ticket records.
    capacity: usize,
    #[serde(rename = "marks")]
    states: HashMap<id::Request, TicketState>,
    /// The expiry of each recorded ticket, earliest first.
    expiries: BTreeSet<(Millis, id::Request)>,
    /// Whether the register is sealed: no more tickets are accepted.
    sealed: bool,
}

impl TicketRegister {
    /// Creates an empty register for at most `capacity` records.
    pub fn new(capacity: usize) -> TicketRegister {
        TicketRegister {
            capacity,
            states: HashMap::new(),
            expiries: BTreeSet::new(),
            sealed: false,
        }
    }

    /// Decides what to do with a submitted ticket; records the ticket if its
    /// work is to be run.
    pub fn submit(&mut self, ticket: &Ticket, now: Millis) -> SubmitVerdict {
        self.remove_expired_records(now);
        match self.states.get(&ticket.request) {
            Some(TicketState::Accepted) => return SubmitVerdict::Duplicate,
            Some(TicketState::Refused) => return SubmitVerdict::Refused,
            None => {}
        }
        if ticket.expiry + TICKET_RECORD_RETENTION <= now {
            return SubmitVerdict::TooOld;
        }
        if ticket.expiry <= now {
            return SubmitVerdict::Expired;
        }
        if self.sealed {
            // A sealed register refuses every further submission, so the
            // refusal is permanent without a record.
            return SubmitVerdict::Refused;
        }
        if self.states.len() >= self.capacity {
            return SubmitVerdict::RegisterFull;
        }
        self.record_ticket_state(ticket, TicketState::Accepted);
        SubmitVerdict::Run
    }

    /// Refuses a ticket permanently, unless its work was accepted before.
    pub fn refuse(&mut self, ticket: &Ticket, now: Millis) -> SubmitVerdict {
        match self.submit(ticket, now) {
            SubmitVerdict::Run => {
                self.states.insert(ticket.request, TicketState::Refused);
                SubmitVerdict::Refused
            }
            other => other,
        }
    }

    /// Changes an accepted ticket to a refused one; for tickets whose work
    /// provably never reached the target.
    pub fn refuse_unsent_ticket(&mut self, request: id::Request) {
        if let Some(state) = self.states.get_mut(&request) {
            *state = TicketState::Refused;
        }
    }

    /// Returns the number of ticket records.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether the register has no ticket records.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Seals the register, which permanently stops accepting tickets.
    pub fn seal(&mut self) {
        self.sealed = true;
    }

    fn record_ticket_state(&mut self, ticket: &Ticket, state: TicketState) {
        self.states.insert(ticket.request, state);
        self.expiries.insert((ticket.expiry, ticket.request));
    }

    /// Removes the ticket records whose retention time is over.
    fn remove_expired_records(&mut self, now: Millis) {
        while let Some(&(expiry, request)) = self.expiries.first() {
            if expiry + TICKET_RECORD_RETENTION > now {
                return;
            }
            self.expiries.pop_first();
            self.states.remove(&request);
        }
    }
}
