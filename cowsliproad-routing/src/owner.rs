//! Chooses the entry that owns the rate limiter of a target.
//!
//! A target may limit the requests that it takes from all entries together.
//! The owner of the target grants the permits for it. All entries choose the
//! owner by the same rendezvous hash, so they exchange no messages about it.
//! Entries in the target's availability zone have priority: an entry that is
//! cut off from them usually can't reach the target either. Within the zone
//! the hash gives each target a different owner. Entries that know different
//! peers may choose different owners; an entry that knows a better owner
//! forwards a permit request to it.

use std::hash::{DefaultHasher, Hash, Hasher};

use cowsliproad_kernel::{Name, clock::Millis};

use crate::fleet::Target;

/// The entry that owns the rate limiter of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Owner<A> {
    /// The local entry.
    Local,
    /// The local entry, in place of an unresponsive entry with a higher
    /// weight.
    Substitute,
    /// Another entry, with its address.
    Remote(A),
}

/// An entry that may own the rate limiter of a target.
#[derive(Clone, Copy, Debug)]
pub struct Member<'a, A> {
    /// The address of the entry.
    pub address: A,
    /// The availability zone of the entry.
    pub zone: &'a Name,
    /// Whether the entry sends digests and answers permit requests.
    pub liveness: Liveness,
}

/// Whether an entry can be asked for permits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// The entry sends digests and answers permit requests.
    Responsive,
    /// The entry may have stopped, be hanging or be cut off.
    Unresponsive,
}

/// Chooses the owner of a target's rate limiter, as seen by the entry `own`.
pub fn choose_owner<'a, A: Copy + Eq + Hash>(
    target: &Target,
    own: Member<A>,
    others: impl Iterator<Item = Member<'a, A>>,
) -> Owner<A> {
    let own_weight = rendezvous_weight(target, own.address, own.zone);
    let mut owner = Owner::Local;
    let mut highest_weight = own_weight;
    for other in others {
        let weight = rendezvous_weight(target, other.address, other.zone);
        if weight <= own_weight {
            continue;
        }
        if other.liveness == Liveness::Unresponsive {
            if owner == Owner::Local {
                owner = Owner::Substitute;
            }
        } else if weight > highest_weight {
            highest_weight = weight;
            owner = Owner::Remote(other.address);
        }
    }
    owner
}

/// How long an entry may be silent before it counts as unresponsive, if each
/// entry sends digests to `fanout` of its `peer_count` peers at a time.
pub fn silence_timeout(peer_count: usize, fanout: usize) -> Millis {
    let rounds = (peer_count / fanout.max(1)).max(1) as u64;
    Millis(BASE_SILENCE_TIMEOUT.0 * rounds)
}

/// The time of three missing digests, if each digest goes to all peers.
const BASE_SILENCE_TIMEOUT: Millis = Millis(1_600);

fn rendezvous_weight<A: Hash>(
    target: &Target,
    address: A,
    zone: &Name,
) -> (bool, u64) {
    let mut hasher = DefaultHasher::new();
    (address, &*target.id, target.start.0).hash(&mut hasher);
    (*zone == target.zone, hasher.finish())
}
