//! Work that ends the targets that run it.
//!
//! A caller's tries have ids of their own and go to any entry, so work that
//! ends its target is new each time, unless it is known by what it is:
//! [`Work`].

use std::fmt;

/// What tells a piece of work from others, whatever its id: 64 bits of a
/// digest, shared by all entries. Two different pieces are alike by chance
/// once in 10^11 pairs of a million.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Work(pub u64);

impl Work {
    /// The work of a request, by everything that a target could run
    /// differently: its parts in a fixed order, such as who asks, the method,
    /// the path and the body.
    pub fn new(parts: &[&[u8]]) -> Work {
        Work(digest(parts))
    }
}

/// One start of a target, as entries tell one another of its end.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct End(pub u64);

impl End {
    /// The end of what started at `start` under a name.
    pub fn new(target: &str, start: u64) -> End {
        End(digest(&[target.as_bytes(), &start.to_be_bytes()]))
    }
}

fn digest(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        // With its length, so that parts can't run into one another.
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_be_bytes(first)
}

impl fmt::Display for Work {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for Work {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Debug for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
