//! Digests of requests and ids of target crashes, which all entry processes
//! compute alike.

use std::{fmt, sync::Arc};

/// The digest of a request's content or of one part of a prompt. It doesn't
/// depend on the request id and is the same at all entry processes. The
/// highest bit tells the two kinds apart. Among a million different requests,
/// about 5 * 10^11 pairs, the probability that two requests have the same
/// digest is below 10^-7.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkDigest(pub u64);

/// The bit that is set in the digests of prompt parts.
const PROMPT_PART_BIT: u64 = 1 << 63;

impl WorkDigest {
    /// Computes the digest of a request from everything that could change what
    /// a target runs: its parts in a fixed order, such as the caller, the
    /// method, the path and the body.
    pub fn new(parts: &[&[u8]]) -> WorkDigest {
        WorkDigest(hash_parts(parts) & !PROMPT_PART_BIT)
    }

    /// Computes the same digest as [`WorkDigest::new`] with one more part, which
    /// is in pieces.
    pub fn new_with_body<'a>(
        parts: &[&[u8]],
        body: impl Iterator<Item = &'a [u8]> + Clone,
    ) -> WorkDigest {
        let mut hasher = hasher_of_parts(parts);
        let length: usize = body.clone().map(<[u8]>::len).sum();
        hasher.update(&(length as u64).to_be_bytes());
        for piece in body {
            hasher.update(piece);
        }
        WorkDigest(first_bytes(&hasher) & !PROMPT_PART_BIT)
    }

    /// Computes the digest of a part of a prompt, whichever request has it.
    pub fn digest_prompt_part(part_id: &str) -> WorkDigest {
        let part_id = part_id.to_ascii_lowercase();
        WorkDigest(hash_parts(&[part_id.as_bytes()]) | PROMPT_PART_BIT)
    }

    /// Whether this is the digest of a prompt part, not of a request.
    pub fn is_prompt_part(self) -> bool {
        self.0 & PROMPT_PART_BIT != 0
    }

    /// Computes the digest of a submitted request, which is the same at agents
    /// and at entry processes.
    pub fn digest_submission(
        organisation: &str,
        request_type: &str,
        body: &[u8],
    ) -> WorkDigest {
        let parts = [organisation.as_bytes(), request_type.as_bytes(), body];
        WorkDigest::new(&parts)
    }

    /// Combines the digest of a request with a service name, because the
    /// digests that agents report don't include the service.
    pub fn combine_with_service(self, service: &str) -> WorkDigest {
        WorkDigest::new(&[service.as_bytes(), &self.0.to_be_bytes()])
    }
}

/// What may crash a target that runs a request: the request as a whole, or one
/// part of its prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fingerprint {
    /// The digest of the request's content.
    pub request: WorkDigest,
    /// The digests of the parts of the prompt that other requests may have
    /// too, without repetitions.
    pub prompt_parts: Arc<[WorkDigest]>,
}

/// The maximum number of prompt parts that are observed per request.
const MAX_PROMPT_PARTS: usize = 64;

impl Fingerprint {
    /// Creates the fingerprint of a request without shared prompt parts.
    pub fn new(request: WorkDigest) -> Fingerprint {
        Fingerprint { request, prompt_parts: Arc::new([]) }
    }

    /// Sets the shared parts of the request's prompt.
    pub fn with_prompt_parts(self, part_ids: &[&str]) -> Fingerprint {
        let mut digests: Vec<WorkDigest> = part_ids
            .iter()
            .take(MAX_PROMPT_PARTS)
            .map(|it| WorkDigest::digest_prompt_part(it))
            .collect();
        digests.sort();
        digests.dedup();
        Fingerprint { prompt_parts: digests.into(), ..self }
    }
}

/// Lists the digests of prompt parts, separated by commas.
#[derive(Debug)]
pub struct PartList<'a>(pub &'a [WorkDigest]);

impl fmt::Display for PartList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, part) in self.0.iter().enumerate() {
            let comma = if number > 0 { "," } else { "" };
            write!(f, "{comma}{part}")?;
        }
        Ok(())
    }
}

/// Identifies one crash of a target; all entry processes compute the same id.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CrashId(pub u64);

impl CrashId {
    /// Computes the id of the first crash of a target that started at
    /// `target_start_time`.
    pub fn new(target: &str, target_start_time: u64) -> CrashId {
        CrashId(hash_parts(&[
            target.as_bytes(),
            &target_start_time.to_be_bytes(),
        ]))
    }

    /// Computes the id of the next crash of the same target start, once the
    /// crash with this id was retracted.
    pub(super) fn crash_id_after_retraction(self) -> CrashId {
        CrashId(hash_parts(&[&self.0.to_be_bytes()]))
    }
}

fn hash_parts(parts: &[&[u8]]) -> u64 {
    first_bytes(&hasher_of_parts(parts))
}

fn hasher_of_parts(parts: &[&[u8]]) -> blake3::Hasher {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        // Each part is hashed with its length, so that moving bytes from one
        // part to the next changes the digest.
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher
}

fn first_bytes(hasher: &blake3::Hasher) -> u64 {
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_be_bytes(prefix)
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
