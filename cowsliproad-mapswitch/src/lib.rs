//! How all ranks of a group change to a new expert map in the same step.
//!
//! The coordinator proposes a map with the step from which it is to be used,
//! the boundary. A [`Member`] votes once for each proposal, and its vote is
//! for good:
//!
//! * yes only while it has not reached the boundary and has the map's
//!   weights, and from then on it holds at the boundary until it knows the
//!   verdict;
//! * no in every other case, also when it is asked about a proposal that it
//!   has not heard of.
//!
//! The verdict is "commit" exactly when all members voted yes. It follows
//! from the votes alone, so any member can establish it by asking the
//! others, and the coordinator is not needed after it has proposed. No two
//! members can use different maps in a step: if one uses the new map, all
//! voted yes, so every other holds at the boundary until it learns the same.
//!
//! A member that died leaves those that voted yes holding. They are freed by
//! a new generation, which comes through the platform's log and whose number
//! is the offset of its record. Steps belong to a generation; a member that
//! has moved on takes no message of the old one, so a paused member or
//! coordinator of it can do no harm.
//!
//! Weighed and not chosen: a coordinator's word (two maps when it dies
//! between two members), a lease on coordination (it can lapse while its
//! holder is paused), and a quorum (a member outside it would go on with the
//! old map).

#![forbid(unsafe_code)]

pub mod order;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The place of a member in its group.
pub type Rank = u8;

/// A generation: the offset of the log record that made it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Generation(pub u64);

/// An expert map, named by whoever planned it.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub struct Version(pub u64);

/// A proposal to change maps.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Proposal {
    /// The generation that it is for.
    pub generation: Generation,
    /// The map that it replaces.
    pub base: Version,
    /// The new map.
    pub version: Version,
    /// The first step of the new map.
    pub boundary: u64,
}

/// A vote.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Vote {
    /// The member will use the new map from the boundary if all do.
    Yes,
    /// It never will.
    No,
}

/// What members say to one another.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Message {
    /// Vote on this.
    Ask(Proposal),
    /// A member's vote.
    Cast(Proposal, Rank, Vote),
}

/// Whether the weights of a proposed map are loaded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Weights {
    /// Beside the old ones, ready for use.
    Loaded,
    /// Not, or not in time.
    Missing,
}

/// Whether the next step can be run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// With this map.
    Run(Version),
    /// Not before the verdict on this proposal is known.
    Hold(Proposal),
}

/// One member of a group in one generation.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Member {
    rank: Rank,
    ranks: Rank,
    generation: Generation,
    map: Version,
    step: u64,
    /// Own votes, which are for good.
    cast: BTreeMap<Proposal, Vote>,
    /// What is known of all votes on the proposal that it voted yes on.
    pending: Option<Ballot>,
}

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Ballot {
    proposal: Proposal,
    votes: BTreeMap<Rank, Vote>,
}

impl Member {
    /// A member at the first step of a generation.
    pub fn new(
        rank: Rank,
        ranks: Rank,
        generation: Generation,
        map: Version,
    ) -> Member {
        Member {
            rank,
            ranks,
            generation,
            map,
            step: 0,
            cast: BTreeMap::new(),
            pending: None,
        }
    }

    /// Its generation.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// The number of its next step.
    pub fn step(&self) -> u64 {
        self.step
    }

    /// The map in use.
    pub fn map(&self) -> Version {
        self.map
    }

    /// Whether and with which map the next step can be run.
    pub fn next_step(&self) -> NextStep {
        match &self.pending {
            Some(ballot) if self.step >= ballot.proposal.boundary => {
                NextStep::Hold(ballot.proposal)
            }
            _ => NextStep::Run(self.map),
        }
    }

    /// Runs the next step, unless it has to hold.
    pub fn run_step(&mut self) -> Option<Version> {
        match self.next_step() {
            NextStep::Run(map) => {
                self.step += 1;
                // A verdict that is known already takes effect here.
                self.settle();
                Some(map)
            }
            NextStep::Hold(_) => None,
        }
    }

    /// Votes on a proposal, or repeats the vote.
    pub fn vote(&mut self, proposal: Proposal, weights: Weights) -> Vote {
        if let Some(vote) = self.cast.get(&proposal) {
            return *vote;
        }
        let fits = proposal.generation == self.generation
            && proposal.base == self.map
            && self.step < proposal.boundary
            && self.pending.is_none()
            && weights == Weights::Loaded;
        let vote = if fits { Vote::Yes } else { Vote::No };
        self.forget_lapsed();
        self.cast.insert(proposal, vote);
        if vote == Vote::Yes {
            let votes = BTreeMap::from([(self.rank, vote)]);
            self.pending = Some(Ballot { proposal, votes });
            self.settle();
        }
        vote
    }

    /// Takes a message in; the answer, if any, goes to all members.
    pub fn handle(
        &mut self,
        message: Message,
        weights: Weights,
    ) -> Option<Message> {
        match message {
            Message::Ask(proposal) => {
                if proposal.generation != self.generation {
                    return None;
                }
                let vote = self.vote(proposal, weights);
                Some(Message::Cast(proposal, self.rank, vote))
            }
            Message::Cast(proposal, rank, vote) => {
                if let Some(ballot) = &mut self.pending
                    && ballot.proposal == proposal
                {
                    ballot.votes.insert(rank, vote);
                    self.settle();
                }
                None
            }
        }
    }

    /// What to ask the others while a verdict is open.
    pub fn vote_request(&self) -> Option<Message> {
        let ballot = self.pending.as_ref()?;
        Some(Message::Ask(ballot.proposal))
    }

    /// Moves on to a newer generation, whose first step is 0.
    pub fn join_generation(&mut self, generation: Generation, map: Version) {
        if generation > self.generation {
            *self = Member::new(self.rank, self.ranks, generation, map);
        }
    }

    /// Applies the verdict once it is known and due.
    fn settle(&mut self) {
        let Some(ballot) = &self.pending else { return };
        let refused = ballot.votes.values().any(|vote| *vote == Vote::No);
        if refused {
            self.pending = None;
            return;
        }
        let all = ballot.votes.len() == usize::from(self.ranks);
        if all && self.step >= ballot.proposal.boundary {
            let proposal = ballot.proposal;
            self.map = proposal.version;
            self.pending = None;
            // All voted yes on this, so all have settled what came before,
            // and nobody will ask for it again.
            self.cast = BTreeMap::from([(proposal, Vote::Yes)]);
        }
    }

    /// Drops noes past their boundary: a new vote would be no again.
    fn forget_lapsed(&mut self) {
        let step = self.step;
        self.cast.retain(|proposal, vote| {
            *vote == Vote::Yes || proposal.boundary > step
        });
    }
}
