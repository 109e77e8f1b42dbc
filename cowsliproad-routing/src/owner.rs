//! Which entry keeps the pace of a target that names a limit.
//!
//! All entries choose by the same ranks, so they need no word about it.
//! Entries of the target's availability zone go first: whoever is cut off from
//! them mostly doesn't reach the target either. Among these each target has
//! another owner. Where entries know different ones of the others they may
//! choose different owners; a question for a permit is passed on by whoever
//! knows of a better one.

use std::hash::{DefaultHasher, Hash, Hasher};

use cowsliproad_kernel::{Name, clock::Millis};

use crate::fleet::Target;

/// Which entry keeps the pace of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Owner<A> {
    /// This one.
    Own,
    /// This one, in place of one that isn't heard from.
    Substitute,
    /// Another one.
    Other(A),
}

/// Another entry.
#[derive(Clone, Copy, Debug)]
pub struct Member<'a, A> {
    /// Where it is reached.
    pub address: A,
    /// Its availability zone.
    pub zone: &'a Name,
    /// Whether it is heard from and answers.
    pub presence: Presence,
}

/// Whether an entry can be asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Presence {
    /// It is heard from and answers.
    Heard,
    /// It may be gone, stand still or be cut off.
    Silent,
}

/// Chooses the entry that keeps the pace of a target, as one of them sees it.
pub fn owner<'a, A: Copy + Eq + Hash>(
    target: &Target,
    own: Member<A>,
    others: impl Iterator<Item = Member<'a, A>>,
) -> Owner<A> {
    let own = rank(target, own.address, own.zone);
    let mut found = Owner::Own;
    let mut best = own;
    for other in others {
        let rank = rank(target, other.address, other.zone);
        if rank <= own {
            continue;
        }
        if other.presence == Presence::Silent {
            if found == Owner::Own {
                found = Owner::Substitute;
            }
        } else if rank > best {
            best = rank;
            found = Owner::Other(other.address);
        }
    }
    found
}

/// After so long without a word an entry is taken for silent, where each tells
/// `told` of the `known` others at a time.
pub fn silence(known: usize, told: usize) -> Millis {
    let rounds = (known / told.max(1)).max(1) as u64;
    Millis(SILENCE_TIMEOUT.0 * rounds)
}

/// Three digests missing.
const SILENCE_TIMEOUT: Millis = Millis(1_600);

fn rank<A: Hash>(target: &Target, address: A, zone: &Name) -> (bool, u64) {
    let mut hasher = DefaultHasher::new();
    (address, &*target.id, target.start.0).hash(&mut hasher);
    (*zone == target.zone, hasher.finish())
}
