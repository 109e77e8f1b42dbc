//! The bound on open connections of callers.
//!
//! A load balancer may send most new connections of a zone to one entry
//! process, and callers leave connections open. If these took all files that
//! the process may open, requests that were read would find no connection to a
//! target. So connections of callers take half of the files at most: the
//! longest idle ones are closed first, and when all are in use, a new
//! connection is closed before anything is read from it, so that its caller
//! tries another entry process at once.

use std::{cell::Cell, collections::BTreeMap, rc::Rc};

use cowsliproad_kernel::clock::Millis;
use rustix::process::{Resource, getrlimit};

use super::ConnectionActivity;

/// Open files that are not connections of callers or to targets: the log,
/// other entry processes, readiness checks.
const RESERVED_FILES: u64 = 200;

/// A process that may open few files reserves this share of them at most.
const MAX_RESERVED_SHARE: u64 = 4;

/// Files that a request needs: its caller's connection and one to a target.
const FILES_PER_REQUEST: u64 = 2;

/// Idle connections are closed in batches of this share of the bound, so that
/// not every new connection searches for one.
const IDLE_CLOSE_SHARE: usize = 16;

/// One part in so many of the memory is for bodies and answers. The rest is for
/// connections and the process itself.
const CALLER_BYTES_MEMORY_SHARE: usize = 4;

/// How the memory of a process is divided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryBudget {
    /// The bytes of bodies and answers that callers make the process hold.
    pub caller_bytes: usize,
}

impl MemoryBudget {
    /// Divides the memory of a VM.
    pub fn new(memory_mb: u64) -> MemoryBudget {
        let bytes = (memory_mb as usize).saturating_mul(1 << 20);
        MemoryBudget { caller_bytes: bytes / CALLER_BYTES_MEMORY_SHARE }
    }
}

/// The open connections of callers.
#[derive(Debug)]
pub struct CallerConnections {
    max_open: usize,
    open: BTreeMap<u64, Rc<ConnectionActivity>>,
    next_id: u64,
}

/// Whether a new connection may be served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Room {
    /// The connection is served as this number, and so many idle connections
    /// were closed for it.
    Given { id: u64, closed: usize },
    /// All connections are in use.
    None,
}

impl CallerConnections {
    /// Creates an empty set for a process that may have `max_open_files` files
    /// open, if that is stated.
    pub fn new(max_open_files: Option<u64>) -> CallerConnections {
        let limit = getrlimit(Resource::Nofile).current;
        let files = [max_open_files, limit].into_iter().flatten().min();
        CallerConnections {
            max_open: files.map_or(usize::MAX, max_caller_connections),
            open: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Adds a new connection, if there is room for it.
    pub(super) fn add(
        &mut self,
        activity: &Rc<ConnectionActivity>,
        now: Millis,
    ) -> Room {
        let closed = if self.is_full() { self.close_idle(now) } else { 0 };
        if self.is_full() {
            return Room::None;
        }
        let id = self.next_id;
        self.next_id += 1;
        self.open.insert(id, activity.clone());
        Room::Given { id, closed }
    }

    /// Removes a connection that has ended.
    pub(super) fn remove(&mut self, id: u64) {
        self.open.remove(&id);
    }

    /// The number of open connections.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    fn is_full(&self) -> bool {
        // Connections that were told to close are open for a moment longer.
        let closing = || self.open.values().filter(|it| it.is_closing());
        self.open.len() >= self.max_open
            && self.open.len() - closing().count() >= self.max_open
    }

    /// Has the longest idle connections closed, and returns how many.
    fn close_idle(&self, now: Millis) -> usize {
        let idle = self.open.values().filter(|it| it.is_idle());
        let mut idle: Vec<(Millis, &Rc<ConnectionActivity>)> =
            idle.map(|it| (now.since(it.idle_since.get()), it)).collect();
        idle.sort_by_key(|it| std::cmp::Reverse(it.0));
        idle.truncate(self.max_open / IDLE_CLOSE_SHARE + 1);
        for (_, activity) in &idle {
            activity.request_close();
        }
        idle.len()
    }
}

/// The connections that callers may have open.
fn max_caller_connections(open_files: u64) -> usize {
    let reserved = RESERVED_FILES.min(open_files / MAX_RESERVED_SHARE);
    ((open_files - reserved) / FILES_PER_REQUEST).max(1) as usize
}

/// Limits a log line to one a second, and counts what it leaves out.
#[derive(Debug, Default)]
pub struct LineLimit {
    last_line_at: Cell<Option<Millis>>,
    left_out: Cell<u64>,
}

/// The least time between two lines of a [`LineLimit`].
const MIN_LINE_INTERVAL: Millis = Millis(1_000);

impl LineLimit {
    /// Returns the number of events since the last line if a line is due.
    pub fn count(&self, now: Millis) -> Option<u64> {
        let last = self.last_line_at.get();
        self.left_out.set(self.left_out.get() + 1);
        if last.is_some_and(|it| now.since(it) < MIN_LINE_INTERVAL) {
            return None;
        }
        self.last_line_at.set(Some(now));
        Some(self.left_out.replace(0))
    }
}
