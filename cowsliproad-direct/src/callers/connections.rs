//! The bound on open connections of callers.
//!
//! A load balancer may send most new connections of a zone to one entry
//! process, and callers leave connections open. If these took all files that
//! the process may open, requests that were read would find no connection to a
//! target. So connections of callers take half of the files at most: the
//! longest idle ones are closed first, and when all are in use, a new
//! connection is closed before anything is read from it, so that its caller
//! tries another entry process at once.
//!
//! A connection is in use while its request or answer is on its way. But a
//! request whose head or body is unfinished may never be whole, so its
//! connection gives way too: at once if it made no headway for a while, or else
//! after the idle ones, the one that has waited longest first.
//!
//! Each connection costs memory as well, so a small VM has fewer of them; see
//! [`MemoryBudget`].

use std::{cell::Cell, collections::BTreeMap, rc::Rc};

use cowsliproad_kernel::clock::Millis;
use cowsliproad_net::tcp::MAX_UNREAD_BYTES;
use rustix::process::{Resource, getrlimit};

use super::ConnectionActivity;

/// Open files that are not connections of callers or to targets: the log,
/// other entry processes, readiness checks.
const RESERVED_FILES: u64 = 200;

/// A process that may open few files reserves this share of them at most.
const MAX_RESERVED_SHARE: u64 = 4;

/// Files that a request needs: its caller's connection and one to a target.
const FILES_PER_REQUEST: u64 = 2;

/// Connections are closed in batches of this share of the bound, so that not
/// every new connection searches for one.
const CLOSE_BATCH_SHARE: usize = 16;

/// An unfinished request without headway for this long gives way before idle
/// connections do. Lost packets delay a request by less.
const MAX_UNFINISHED_WAIT: Millis = Millis(1_000);

/// What a connection costs besides bodies and unread bytes: its buffer for
/// heads, its tasks and the state of its request.
const CONNECTION_STATE_BYTES: usize = 32 << 10;

/// What a request costs besides bodies: a connection of its caller and one to a
/// target.
const CONNECTION_PAIR_BYTES: usize =
    2 * (CONNECTION_STATE_BYTES + MAX_UNREAD_BYTES);

/// One part in so many of the memory is for connections.
const CONNECTIONS_MEMORY_SHARE: usize = 2;

/// One part in so many of the memory is for bodies and answers. The rest is for
/// the process itself.
const CALLER_BYTES_MEMORY_SHARE: usize = 4;

/// How the memory of a process is divided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryBudget {
    /// The bytes of bodies and answers that callers make the process hold.
    pub caller_bytes: usize,
    /// The connections that callers may have open.
    pub max_connections: usize,
}

impl MemoryBudget {
    /// Divides the memory of a VM.
    pub fn new(memory_mb: u64) -> MemoryBudget {
        let bytes = (memory_mb as usize).saturating_mul(1 << 20);
        let for_connections = bytes / CONNECTIONS_MEMORY_SHARE;
        MemoryBudget {
            caller_bytes: bytes / CALLER_BYTES_MEMORY_SHARE,
            max_connections: for_connections / CONNECTION_PAIR_BYTES,
        }
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
    /// The connection is served as this number, and others were closed for it.
    Given { id: u64, closed: ClosedConnections },
    /// All connections are in use.
    None,
}

/// Connections that were closed to make room for a new one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct ClosedConnections {
    pub(super) idle: usize,
    pub(super) unfinished: usize,
}

impl CallerConnections {
    /// Creates an empty set for a process that may have `max_open_files` files
    /// open, if that is stated, and memory for `max_connections`.
    pub fn new(
        max_open_files: Option<u64>,
        max_connections: usize,
    ) -> CallerConnections {
        let limit = getrlimit(Resource::Nofile).current;
        let files = [max_open_files, limit].into_iter().flatten().min();
        let for_files = files.map_or(usize::MAX, max_caller_connections);
        CallerConnections {
            max_open: for_files.min(max_connections),
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
        let closed = if self.is_full() {
            self.make_room(now)
        } else {
            ClosedConnections::default()
        };
        if self.is_full() {
            return Room::None;
        }
        self.drop_closing_beyond_bound();
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

    /// Has connections closed that serve nobody: unfinished requests without
    /// headway, or else idle connections, or else the unfinished request that
    /// has waited longest.
    fn make_room(&self, now: Millis) -> ClosedConnections {
        let batch = self.max_open / CLOSE_BATCH_SHARE + 1;
        let unfinished = self.longest_waiting(|it| it.unfinished_since(), now);
        let stalled_count =
            unfinished.partition_point(|it| it.0 >= MAX_UNFINISHED_WAIT);
        if stalled_count > 0 {
            let count = close_first(&unfinished, stalled_count.min(batch));
            return ClosedConnections { idle: 0, unfinished: count };
        }
        let idle = self.longest_waiting(
            |it| it.is_idle().then(|| it.idle_since.get()),
            now,
        );
        if !idle.is_empty() {
            let count = close_first(&idle, batch);
            return ClosedConnections { idle: count, unfinished: 0 };
        }
        let count = close_first(&unfinished, 1);
        ClosedConnections { idle: 0, unfinished: count }
    }

    /// The connections that wait for their callers, and for how long, the
    /// longest waiting first.
    fn longest_waiting(
        &self,
        waiting_since: impl Fn(&ConnectionActivity) -> Option<Millis>,
        now: Millis,
    ) -> Vec<(Millis, &Rc<ConnectionActivity>)> {
        let waiting = self.open.values().filter_map(|it| {
            let since = waiting_since(it)?;
            Some((now.since(since), it))
        });
        let mut waiting: Vec<_> = waiting.collect();
        waiting.sort_by_key(|it| std::cmp::Reverse(it.0));
        waiting
    }

    /// Drops connections that were told to close and have not done so, as
    /// their callers don't read, if there are too many of them.
    fn drop_closing_beyond_bound(&self) {
        let allowed = self.max_open + self.max_open / CLOSE_BATCH_SHARE + 1;
        let excess = (self.open.len() + 1).saturating_sub(allowed);
        let closing = self.open.values().filter(|it| it.is_closing());
        for activity in closing.take(excess) {
            activity.request_drop();
        }
    }
}

fn close_first(
    connections: &[(Millis, &Rc<ConnectionActivity>)],
    count: usize,
) -> usize {
    let closed = &connections[..count.min(connections.len())];
    for (_, activity) in closed {
        activity.request_close();
    }
    closed.len()
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
