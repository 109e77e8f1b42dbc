//! Switches all ranks of a group to a new expert map in the same step.
//!
//! The coordinator proposes a map together with its boundary, the first step
//! that uses the map. A [`Member`] votes once on each proposal, and the vote
//! is final:
//!
//! * yes only while the member has not reached the boundary and has loaded
//!   the map's weights; from then on it holds (runs no step) at the boundary
//!   until it knows the decision;
//! * no in every other case, also when another member asks for a vote on a
//!   proposal that this one has not received.
//!
//! The decision is "commit" exactly when all members voted yes. It follows
//! from the votes alone, so any member can establish it by asking the other
//! members, and the coordinator is not needed after it has proposed. No two
//! members can use different maps in one step: if one member uses the new
//! map, all voted yes, so every other member holds at the boundary until it
//! learns the same decision.
//!
//! When a member crashes, the members that voted yes keep holding. A new
//! generation releases them: it is announced through the platform's log, and
//! its number is the offset of its log record. Steps belong to a generation.
//! A member that has joined a newer generation ignores messages of the old
//! one, so a paused member or coordinator of the old generation can do no
//! harm.
//!
//! Rejected alternatives: a decision by the coordinator (two maps if it
//! crashes between notifying two members), a coordinator lease (it can expire
//! while its holder is paused), and a quorum (a member outside the quorum
//! would continue with the old map).

#![forbid(unsafe_code)]

pub mod order;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The index of a member within its group.
pub type Rank = u8;

/// A generation of a group, numbered by the offset of the log record that
/// started it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Generation(pub u64);

/// The version number of an expert map, assigned by its planner.
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

/// A proposal to switch a group to a new expert map.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Proposal {
    /// The generation for which the proposal is valid.
    pub generation: Generation,
    /// The version of the map to be replaced.
    pub base: Version,
    /// The version of the new map.
    pub version: Version,
    /// The boundary: the first step that uses the new map.
    pub boundary: u64,
}

/// A member's final vote on a proposal.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Vote {
    /// The member will use the new map from the proposal's boundary on if all
    /// members vote yes.
    Yes,
    /// The member will never use the proposed map.
    No,
}

/// A message between members of a group.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum VoteMessage {
    /// Asks the receiver to vote on a proposal.
    VoteRequest(Proposal),
    /// Tells the receiver how the member of this rank voted on a proposal.
    Cast(Proposal, Rank, Vote),
}

/// Whether a member has loaded the weights of a proposed map.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WeightsStatus {
    /// The new weights are ready for use, beside the old ones.
    Loaded,
    /// The new weights are not loaded, or were not loaded in time.
    Missing,
}

/// Whether a member of a group can run its next step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberAction {
    /// The step can run with this map.
    Run(Version),
    /// The step must wait until the decision on this proposal is known.
    Hold(Proposal),
}

/// The voting state of one member of a group in one generation.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Member {
    rank: Rank,
    rank_count: Rank,
    generation: Generation,
    map: Version,
    step: u64,
    /// The member's own votes, which are final.
    votes_cast: BTreeMap<Proposal, Vote>,
    /// The votes received so far on the undecided proposal for which this
    /// member voted yes.
    undecided_ballot: Option<Ballot>,
}

/// The votes received on one proposal, by rank.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Ballot {
    proposal: Proposal,
    votes: BTreeMap<Rank, Vote>,
}

impl Member {
    /// Creates a member at the first step of a generation.
    pub fn new(
        rank: Rank,
        rank_count: Rank,
        generation: Generation,
        map: Version,
    ) -> Member {
        Member {
            rank,
            rank_count,
            generation,
            map,
            step: 0,
            votes_cast: BTreeMap::new(),
            undecided_ballot: None,
        }
    }

    /// The member's current generation.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// The number of the member's next step.
    pub fn next_step_number(&self) -> u64 {
        self.step
    }

    /// The version of the expert map that the member uses.
    pub fn map_version(&self) -> Version {
        self.map
    }

    /// Returns whether the member's next step can run, and with which map.
    pub fn next_action(&self) -> MemberAction {
        match &self.undecided_ballot {
            Some(ballot) if self.step >= ballot.proposal.boundary => {
                MemberAction::Hold(ballot.proposal)
            }
            _ => MemberAction::Run(self.map),
        }
    }

    /// Runs the member's next step and returns its map, or `None` if the step
    /// must wait for the decision on a proposal.
    pub fn run_step_and_get_map(&mut self) -> Option<Version> {
        match self.next_action() {
            MemberAction::Run(map) => {
                self.step += 1;
                // If all members are known to have voted yes, the member
                // switches maps when it reaches the proposal's boundary.
                self.apply_decision();
                Some(map)
            }
            MemberAction::Hold(_) => None,
        }
    }

    /// Votes on a proposal, or repeats the member's earlier vote on the
    /// proposal.
    pub fn vote(
        &mut self,
        proposal: Proposal,
        weights: WeightsStatus,
    ) -> Vote {
        if let Some(vote) = self.votes_cast.get(&proposal) {
            return *vote;
        }
        let acceptable = proposal.generation == self.generation
            && proposal.base == self.map
            && self.step < proposal.boundary
            && self.undecided_ballot.is_none()
            && weights == WeightsStatus::Loaded;
        let vote = if acceptable { Vote::Yes } else { Vote::No };
        self.forget_expired_rejections();
        self.votes_cast.insert(proposal, vote);
        if vote == Vote::Yes {
            let votes = BTreeMap::from([(self.rank, vote)]);
            self.undecided_ballot = Some(Ballot { proposal, votes });
            self.apply_decision();
        }
        vote
    }

    /// Handles a message of another member. The returned reply, if any, is to
    /// be sent to all members.
    pub fn handle_message(
        &mut self,
        message: VoteMessage,
        weights: WeightsStatus,
    ) -> Option<VoteMessage> {
        match message {
            VoteMessage::VoteRequest(proposal) => {
                if proposal.generation != self.generation {
                    return None;
                }
                let vote = self.vote(proposal, weights);
                Some(VoteMessage::Cast(proposal, self.rank, vote))
            }
            VoteMessage::Cast(proposal, rank, vote) => {
                if let Some(ballot) = &mut self.undecided_ballot
                    && ballot.proposal == proposal
                {
                    ballot.votes.insert(rank, vote);
                    self.apply_decision();
                }
                None
            }
        }
    }

    /// Returns the vote request to send to the other members while a proposal
    /// is undecided.
    pub fn vote_request(&self) -> Option<VoteMessage> {
        let ballot = self.undecided_ballot.as_ref()?;
        Some(VoteMessage::VoteRequest(ballot.proposal))
    }

    /// Joins a newer generation at step 0; ignores a generation that is not
    /// newer.
    pub fn join_generation(&mut self, generation: Generation, map: Version) {
        if generation > self.generation {
            *self = Member::new(self.rank, self.rank_count, generation, map);
        }
    }

    /// Drops the pending proposal once any member voted no, or switches maps
    /// at the boundary once all voted yes.
    fn apply_decision(&mut self) {
        let Some(ballot) = &self.undecided_ballot else { return };
        let any_no = ballot.votes.values().any(|vote| *vote == Vote::No);
        if any_no {
            self.undecided_ballot = None;
            return;
        }
        let all = ballot.votes.len() == usize::from(self.rank_count);
        if all && self.step >= ballot.proposal.boundary {
            let proposal = ballot.proposal;
            self.map = proposal.version;
            self.undecided_ballot = None;
            // All members voted yes on this proposal, so all have decided
            // every earlier proposal, and no member will ask again for votes
            // on earlier proposals.
            self.votes_cast = BTreeMap::from([(proposal, Vote::Yes)]);
        }
    }

    /// Forgets rejected proposals whose boundary has passed: the member would
    /// reject them again.
    fn forget_expired_rejections(&mut self) {
        let step = self.step;
        self.votes_cast.retain(|proposal, vote| {
            *vote == Vote::Yes || proposal.boundary > step
        });
    }
}
