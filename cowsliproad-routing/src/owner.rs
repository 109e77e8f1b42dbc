//! Chooses the entry process that owns the rate limiter of a target.
//!
//! A target may limit the requests that it takes from all entry processes
//! together. The owner of the target grants the permits for it. All entry
//! processes choose the owner by the same rendezvous hash, so they exchange no
//! messages about it. Entry processes in the target's availability zone have
//! priority: an entry process that is cut off from them usually can't reach
//! the target either. Within the zone the hash gives each target a different
//! owner. Entry processes that know different peers may choose different
//! owners; an entry process that knows a better owner forwards a permit
//! request to it.

use std::hash::{DefaultHasher, Hash, Hasher};

use cowsliproad_kernel::{Name, clock::Millis};

use crate::fleet::Target;

/// The entry process that owns the rate limiter of a target, as seen by the
/// local entry process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RateLimiterOwner<A> {
    /// The local entry process owns the rate limiter.
    Local,
    /// The local entry process owns the rate limiter in place of an
    /// unresponsive entry process with a higher rendezvous weight.
    Substitute,
    /// Another entry process, at this address, owns the rate limiter.
    Remote(A),
}

/// An entry process that may own the rate limiter of a target.
#[derive(Clone, Copy, Debug)]
pub struct RateLimiterOwnerCandidate<'a, A> {
    /// The address of the entry process.
    pub address: A,
    /// The availability zone of the entry process.
    pub zone: &'a Name,
    /// Whether the entry process sends digests and answers permit requests.
    pub liveness: EntryProcessLiveness,
}

/// Whether an entry process can be asked for permits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryProcessLiveness {
    /// The entry process sends digests and answers permit requests.
    Responsive,
    /// The entry process may have stopped, be hanging or be cut off.
    Unresponsive,
}

/// Chooses the owner of a target's rate limiter, as seen by the entry process
/// `own_entry`.
pub fn choose_limiter_owner<'a, A: Copy + Eq + Hash>(
    target: &Target,
    own_entry: RateLimiterOwnerCandidate<A>,
    other_entries: impl Iterator<Item = RateLimiterOwnerCandidate<'a, A>>,
) -> RateLimiterOwner<A> {
    let own_weight =
        rendezvous_weight(target, own_entry.address, own_entry.zone);
    let mut owner = RateLimiterOwner::Local;
    let mut highest_weight = own_weight;
    for other in other_entries {
        let weight = rendezvous_weight(target, other.address, other.zone);
        if weight <= own_weight {
            continue;
        }
        if other.liveness == EntryProcessLiveness::Unresponsive {
            if owner == RateLimiterOwner::Local {
                owner = RateLimiterOwner::Substitute;
            }
        } else if weight > highest_weight {
            highest_weight = weight;
            owner = RateLimiterOwner::Remote(other.address);
        }
    }
    owner
}

/// How long an entry process may send no gossip digest before the process
/// counts as unresponsive, if each entry process sends digests to `digest_fanout` of its
/// `peer_count` peers at a time.
pub fn gossip_silence_timeout(
    peer_count: usize,
    digest_fanout: usize,
) -> Millis {
    let rounds = (peer_count / digest_fanout.max(1)).max(1) as u64;
    Millis(MIN_GOSSIP_SILENCE_TIMEOUT.0 * rounds)
}

/// The gossip silence timeout if each gossip digest goes to all peers; three
/// digests are missing by then.
const MIN_GOSSIP_SILENCE_TIMEOUT: Millis = Millis(1_600);

fn rendezvous_weight<A: Hash>(
    target: &Target,
    address: A,
    zone: &Name,
) -> (bool, u64) {
    let mut hasher = DefaultHasher::new();
    (address, &*target.id, target.start.0).hash(&mut hasher);
    (*zone == target.zone, hasher.finish())
}
