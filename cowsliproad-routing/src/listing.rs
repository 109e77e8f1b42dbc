//! Schedules full reads of the targets in the platform's log, which show
//! whether this entry process knows all targets that the log lists.
//!
//! Reads of what is new show each change once. If an entry process loses a
//! change, or drops a target wrongly, no later record has to mention that
//! target: records change only when more than their sequence number does. So
//! each entry process compares what it knows with the whole list from time to
//! time. A full read counts as a read of what is new, so it mostly takes the
//! place of one.
//!
//! When the list contradicts what an entry process has read before, others may
//! have lost the same targets, since entry processes pass departures on. So
//! the position of such a list is gossiped, and every other entry process
//! reads the list soon, not only when its own turn comes.

use cowsliproad_kernel::{clock::Millis, position::LogPosition};

/// The shortest time between two full reads by one entry process.
const MIN_LISTING_INTERVAL: Millis = Millis(10_000);

/// The time between two pages of full reads by all entry processes together.
const LISTING_TIME_PER_PAGE: Millis = Millis(500);

/// The same for full reads after a contradiction, which may have cost callers
/// their targets.
const REQUESTED_LISTING_TIME_PER_PAGE: Millis = Millis(10);

/// The most targets that the log returns in one page.
const MAX_TARGETS_PER_PAGE: u64 = 500;

/// How long an entry process waits after a failed full read. Reads of what is
/// new go on meanwhile.
const LISTING_RETRY_INTERVAL: Millis = Millis(2_000);

/// What the list of the log's targets showed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListingOutcome {
    /// The list agrees with what this entry process knew.
    Agreed,
    /// The list has targets that this entry process had dropped, or had missed
    /// in an earlier read.
    Contradicted,
}

/// Decides when this entry process reads all targets that the log lists.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListingSchedule {
    next_listing_at: Millis,
    /// The end of this entry process's latest list.
    own_list_end: LogPosition,
    /// The end of the latest list that contradicted an entry process.
    last_contradiction: Option<LogPosition>,
    /// When to read the list because it contradicted another entry process.
    requested_at: Option<Millis>,
}

impl ListingSchedule {
    /// A schedule before the first full read.
    pub fn new() -> ListingSchedule {
        ListingSchedule::default()
    }

    /// The time between two full reads by one of so many entry processes.
    pub fn interval(entry_count: usize, target_count: usize) -> Millis {
        let turn = LISTING_TIME_PER_PAGE;
        let all = time_for_pages(turn, entry_count, target_count);
        MIN_LISTING_INTERVAL.max(all)
    }

    /// The time over which so many entry processes spread the full reads that
    /// follow a contradiction.
    pub fn request_spread(entry_count: usize, target_count: usize) -> Millis {
        let turn = REQUESTED_LISTING_TIME_PER_PAGE;
        time_for_pages(turn, entry_count, target_count)
    }

    /// When the next full read is due.
    pub fn next_listing_at(&self) -> Millis {
        let requested_at = self.requested_at.unwrap_or(self.next_listing_at);
        self.next_listing_at.min(requested_at)
    }

    /// The end of the latest list that contradicted an entry process.
    pub fn last_contradiction(&self) -> Option<LogPosition> {
        self.last_contradiction
    }

    /// Records a full read of the log, and when the next one is due.
    pub fn record_listing(
        &mut self,
        list_end: LogPosition,
        outcome: ListingOutcome,
        next_listing_at: Millis,
    ) {
        let was_requested = self.requested_at.take().is_some();
        self.next_listing_at = next_listing_at;
        self.own_list_end = list_end;
        // The contradiction that led to a requested read is gossiped already.
        if outcome == ListingOutcome::Contradicted && !was_requested {
            self.last_contradiction = Some(list_end);
        }
    }

    /// Postpones a full read that failed.
    pub fn record_failed_listing(&mut self, now: Millis) {
        let retry_at = now + LISTING_RETRY_INTERVAL;
        self.next_listing_at = self.next_listing_at.max(retry_at);
        self.requested_at = self.requested_at.map(|at| at.max(retry_at));
    }

    /// Merges the end of a list that contradicted another entry process. A
    /// full read at `list_at` follows unless this entry process has read a
    /// later list.
    pub fn merge_peer_contradiction(
        &mut self,
        list_end: LogPosition,
        list_at: Millis,
    ) {
        if self.last_contradiction >= Some(list_end) {
            return;
        }
        self.last_contradiction = Some(list_end);
        if self.own_list_end < list_end {
            self.requested_at.get_or_insert(list_at);
        }
    }
}

fn time_for_pages(
    time_per_page: Millis,
    entry_count: usize,
    target_count: usize,
) -> Millis {
    let pages = (target_count as u64).div_ceil(MAX_TARGETS_PER_PAGE).max(1);
    Millis(time_per_page.0 * pages * entry_count as u64)
}
