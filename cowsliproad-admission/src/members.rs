//! The entry processes that share a budget.
//!
//! An entry process that is silent may serve on behind a network partition, so
//! it counts for a while after it was last heard from. One that stops as
//! planned counts until the budget's window has passed.

use std::{collections::HashMap, net::SocketAddr};

use cowsliproad_kernel::clock::Millis;

/// How long an entry process counts that is silent.
pub const SILENT_MEMBER_TTL: Millis = Millis(120_000);

/// The other entry processes by address.
#[derive(Clone, Debug)]
pub struct Members {
    own: SocketAddr,
    members: HashMap<SocketAddr, Member>,
}

#[derive(Clone, Copy, Debug)]
struct Member {
    heard_at: Millis,
    /// Identifies the process that was last heard from; `None` if others heard
    /// from it only.
    incarnation: Option<u64>,
    /// Whether another process was heard from at the address before.
    has_earlier_process: bool,
    /// When the process at this address stopped as planned, if it did.
    stopped_at: Option<Millis>,
}

impl Members {
    /// Creates the state of a process at `own` that has heard from nobody.
    pub fn new(own: SocketAddr) -> Members {
        Members { own, members: HashMap::new() }
    }

    /// Records a message from an entry process.
    pub fn record_heard(
        &mut self,
        address: SocketAddr,
        incarnation: u64,
        at: Millis,
    ) {
        let member = self.members.entry(address).or_insert(Member {
            heard_at: at,
            incarnation: Some(incarnation),
            has_earlier_process: false,
            stopped_at: None,
        });
        member.heard_at = member.heard_at.max(at);
        let last = member.incarnation.replace(incarnation);
        if last.is_some_and(|it| it != incarnation) {
            member.has_earlier_process = true;
            member.stopped_at = None;
        }
    }

    /// Records entry processes that another one heard from at `since` or
    /// later.
    pub fn record_heard_of(
        &mut self,
        addresses: &[SocketAddr],
        since: Millis,
    ) {
        for address in addresses.iter().filter(|it| **it != self.own) {
            self.members.entry(*address).or_insert(Member {
                heard_at: since,
                incarnation: None,
                has_earlier_process: false,
                stopped_at: None,
            });
        }
    }

    /// Records that an entry process ends after its last message.
    pub fn record_stopped(
        &mut self,
        address: SocketAddr,
        incarnation: u64,
        at: Millis,
    ) {
        self.record_heard(address, incarnation, at);
        if let Some(member) = self.members.get_mut(&address) {
            member.stopped_at = Some(at);
        }
    }

    /// Whether another process than this one was known at an address.
    pub fn earlier_process(
        &self,
        address: SocketAddr,
        incarnation: u64,
    ) -> EarlierProcess {
        let Some(member) = self.members.get(&address) else {
            return EarlierProcess::None;
        };
        match member.incarnation {
            _ if member.has_earlier_process => EarlierProcess::Known,
            Some(last) if last != incarnation => EarlierProcess::Known,
            Some(_) => EarlierProcess::None,
            None => EarlierProcess::Unclear,
        }
    }

    /// Removes processes that no longer count for a budget with a window of
    /// this length.
    pub fn evict(&mut self, window: Millis, now: Millis) {
        self.members.retain(|_, it| match it.stopped_at {
            Some(at) => now.since(at) <= window,
            None => now.since(it.heard_at) < SILENT_MEMBER_TTL,
        });
    }

    /// The number of entry processes that share the budget, including this one.
    pub fn count(&self) -> usize {
        self.members.len() + 1
    }

    /// Whether some entry process was silent for this time and may serve on.
    pub fn has_silent_member(&self, silence: Millis, now: Millis) -> bool {
        let members = self.members.values();
        let mut running = members.filter(|it| it.stopped_at.is_none());
        running.any(|it| now.since(it.heard_at) >= silence)
    }
}

/// Whether there was a process at an address before the present one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EarlierProcess {
    /// None was heard from.
    None,
    /// One was heard from.
    Known,
    /// Others heard from some process there, maybe from the present one.
    Unclear,
}
