//! Names of work and of ends of targets that all entries agree on.

use std::fmt;

/// What tells a piece of work from others, whatever its id: 64 bits of a
/// digest, shared by all entries. Two different pieces are alike by chance
/// once in 10^11 pairs of a million.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkDigest(pub u64);

impl WorkDigest {
    /// The work of a request, by everything that a target could run
    /// differently: its parts in a fixed order, such as who asks, the method,
    /// the path and the body.
    pub fn new(parts: &[&[u8]]) -> WorkDigest {
        WorkDigest(digest(parts))
    }

    /// The work of a submission, as agents and entries both know it.
    pub fn submitted(
        organisation: &str,
        request_type: &str,
        body: &[u8],
    ) -> WorkDigest {
        let parts = [organisation.as_bytes(), request_type.as_bytes(), body];
        WorkDigest::new(&parts)
    }

    /// The same work at one of several services that don't know of others.
    pub fn within(self, service: &str) -> WorkDigest {
        WorkDigest(digest(&[service.as_bytes(), &self.0.to_be_bytes()]))
    }
}

/// One start of a target, as entries tell one another of its end.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CrashId(pub u64);

impl CrashId {
    /// The end of what started at `start` under a name.
    pub fn new(target: &str, start: u64) -> CrashId {
        CrashId(digest(&[target.as_bytes(), &start.to_be_bytes()]))
    }

    /// The next end of the same start, once this one was taken back.
    pub(super) fn next(self) -> CrashId {
        CrashId(digest(&[&self.0.to_be_bytes()]))
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

impl fmt::Display for WorkDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for WorkDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Debug for CrashId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
