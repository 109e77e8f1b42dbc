//! An entry process's view of the targets: which exist, where they are, and
//! which take new requests.
//!
//! Updates come from the platform's log, from other entry processes and from
//! the entry process's own requests, in any order:
//!
//! * An incarnation that announced its departure stays departed: neither an
//!   old or repeated announcement nor a slow peer brings it back.
//! * A target may restart under its name, with a later
//!   [`ProcessStartUnixMs`]. State of the earlier process, including its
//!   departure, doesn't apply to the later process, and late updates about the
//!   earlier process are ignored.
//! * The position in the log decides between an announcement and a withdrawal,
//!   whichever arrives first and from whom: a withdrawal ends only
//!   announcements before it, and only an announcement after it brings the
//!   target back. After the log came back from an older copy, an announcement
//!   may be listed again that was withdrawn before, so there it must also have
//!   a higher sequence number, until the log has had time to drop the records
//!   of targets that don't renew them.
//! * A withdrawal takes effect at once while the log has been read without a
//!   gap. After a gap the withdrawal may be an expiry, since targets that
//!   couldn't renew their records drop out of the log too. Such a target stays
//!   in use for [`TargetFleetConfig::with_record_renewal_grace`], within which
//!   a live target renews its record.
//! * While the log is unreachable, no target is withdrawn. What the entry
//!   process observes itself (another process at the address) takes effect all
//!   the same, until the target announces itself again.

use std::{cmp::Ordering, collections::BTreeMap, net::SocketAddr};

use cowsliproad_kernel::{Name, clock::Millis, position::LogPosition};

/// Whether a target takes new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetState {
    /// The target takes new requests.
    Ready,
    /// The target finishes its requests and takes no new ones.
    Draining,
}

/// The time at which a target's process started, in Unix milliseconds, which
/// distinguishes the processes under one name; zero where targets don't state
/// their start time.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct ProcessStartUnixMs(pub u64);

/// A target as announced in the platform's log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The name of the target.
    pub id: Name,
    /// The start time of the target's process.
    pub start: ProcessStartUnixMs,
    /// The name of the service that the target belongs to.
    pub service: Name,
    /// The address that the target listens on.
    pub address: SocketAddr,
    /// The availability zone of the target.
    pub zone: Name,
    /// The number of requests that the target runs at once.
    pub slots: u32,
    /// Whether the target takes new requests.
    pub state: TargetState,
    /// The number of the announcement, counted from the start of the target's
    /// process.
    pub announcement_sequence: u64,
}

/// How an incarnation of a target departed, in the form that entry processes
/// gossip.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GossipedDeparture {
    /// The target announced the departure of the process with this start time.
    /// Only a process with a later start time brings the target back.
    Announced(ProcessStartUnixMs),
    /// The target's record disappeared from the log. The record may just have
    /// expired, and a later announcement restores the target.
    Withdrawn(Withdrawal),
}

/// The disappearance of a target's record from the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Withdrawal {
    /// The start time in the target's last announcement.
    pub start: ProcessStartUnixMs,
    /// The sequence number of the target's last announcement.
    pub last_sequence: u64,
    /// The position in the log after the withdrawal.
    pub end_position: LogPosition,
}

/// A complete list of the targets in the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetList {
    /// The position up to which the list holds all changes.
    pub end_position: LogPosition,
    /// Whether the list can hold targets that have departed.
    pub state: ListState,
}

/// Whether a list of the log's targets can hold targets that have departed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListState {
    /// The log came back from an older copy a moment ago, and may list targets
    /// that departed since the copy was made.
    Restored,
    /// The log has had time to drop the records of targets that don't renew
    /// them.
    Settled,
}

/// Where the log holds the news by which a target departed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DeparturePositions {
    /// The position of the announcement that the departure ended.
    pub announced_at: LogPosition,
    /// The position after the withdrawal of the target's record; the start of
    /// the log if the target announced its departure.
    pub end_position: LogPosition,
}

/// The effect of an update on a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetChange {
    /// The update changed nothing about the target.
    None,
    /// The target is new, or came back after a departure.
    Joined,
    /// A new process of a known target started: the state of the earlier
    /// process no longer applies.
    Restarted,
    /// The target takes no new requests from now on.
    Left,
    /// The pending withdrawal of the target was cancelled.
    Returned,
}

/// Settings of the [`TargetFleet`].
#[derive(Clone, Copy, Debug)]
pub struct TargetFleetConfig {
    record_renewal_grace: Millis,
}

impl TargetFleetConfig {
    /// The default settings of the fleet.
    pub fn new() -> TargetFleetConfig {
        TargetFleetConfig {
            record_renewal_grace: DEFAULT_RECORD_RENEWAL_GRACE,
        }
    }

    /// Sets how long after a gap in the reads of the log a live target may
    /// take to renew its record in the log.
    pub fn with_record_renewal_grace(
        self,
        record_renewal_grace: Millis,
    ) -> TargetFleetConfig {
        TargetFleetConfig { record_renewal_grace }
    }
}

impl Default for TargetFleetConfig {
    fn default() -> TargetFleetConfig {
        TargetFleetConfig::new()
    }
}

/// The default renewal grace. Targets renew expired records within about two
/// seconds after the log returns, as its operators state; the rest allows for
/// the delay until an entry process reads the records.
const DEFAULT_RECORD_RENEWAL_GRACE: Millis = Millis(2_300);

/// The largest number of tombstones, at some 60 bytes each.
const MAX_TARGET_TOMBSTONES: usize = 2_048;

/// The targets that take new requests, and tombstones of departed targets.
#[derive(Clone, Debug)]
pub struct TargetFleet {
    config: TargetFleetConfig,
    targets: BTreeMap<Name, KnownTarget>,
    /// Departed incarnations of targets, with the last announcement sequence
    /// number of each.
    tombstones: BTreeMap<Name, TargetTombstone>,
    /// Until when a withdrawal may be the expiry of a live target's record.
    record_renewal_grace_until: Millis,
}

#[derive(Clone, Debug)]
struct KnownTarget {
    target: Target,
    /// The position of the target's last announcement in the log.
    announced_at: LogPosition,
    /// The position up to which no withdrawal follows the announcement: the
    /// announcement's own, or the end of a list that still held it.
    current_to: LogPosition,
    pending_withdrawal: Option<PendingWithdrawal>,
}

/// A withdrawal that takes effect unless the target renews its record.
#[derive(Clone, Copy, Debug)]
struct PendingWithdrawal {
    due_at: Millis,
    end_position: LogPosition,
}

#[derive(Clone, Copy, Debug)]
struct TargetTombstone {
    start: ProcessStartUnixMs,
    last_sequence: u64,
    /// When the departure was recorded; `None` if other entry processes aren't
    /// told, since a target that they know may yet renew its record.
    removed_at: Option<Millis>,
    kind: DepartureKind,
    positions: DeparturePositions,
}

/// How the target incarnation recorded in a tombstone departed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum DepartureKind {
    /// The target announced its departure: this incarnation never returns.
    Announced,
    /// The target's record disappeared from the log; a later announcement
    /// restores the target.
    Withdrawn,
}

impl TargetTombstone {
    /// Whether an announcement describes a process that departed.
    fn covers(&self, target: &Target, position: LogPosition) -> bool {
        if position < self.positions.end_position {
            return true;
        }
        match (target.start.cmp(&self.start), self.kind) {
            (Ordering::Less, _) => true,
            (Ordering::Greater, _) => false,
            (Ordering::Equal, DepartureKind::Announced) => true,
            (Ordering::Equal, DepartureKind::Withdrawn) => {
                position.era > self.positions.end_position.era
                    && target.announcement_sequence <= self.last_sequence
            }
        }
    }
}

impl TargetFleet {
    /// A fleet without targets.
    pub fn new(config: TargetFleetConfig) -> TargetFleet {
        TargetFleet {
            config,
            targets: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            record_renewal_grace_until: Millis(0),
        }
    }

    /// Merges the announcement of a target; ignores an outdated announcement.
    pub fn merge_target_announcement(
        &mut self,
        target: Target,
        position: LogPosition,
        now: Millis,
    ) -> TargetChange {
        let tombstone = self.tombstones.get(&target.id);
        if tombstone.is_some_and(|it| it.covers(&target, position)) {
            return TargetChange::None;
        }
        let mut change = TargetChange::Joined;
        if let Some(known) = self.targets.get_mut(&target.id) {
            let age = |it: &Target| (it.start, it.announcement_sequence);
            if age(&target) < age(&known.target) {
                return TargetChange::None;
            }
            if target.start > known.target.start {
                change = TargetChange::Restarted;
            } else if target.state == TargetState::Ready {
                known.target = target;
                known.announced_at = known.announced_at.max(position);
                known.current_to = known.current_to.max(position);
                let is_renewed =
                    |it: &mut PendingWithdrawal| position >= it.end_position;
                return match known.pending_withdrawal.take_if(is_renewed) {
                    Some(_) => TargetChange::Returned,
                    None => TargetChange::None,
                };
            }
        }
        if target.state == TargetState::Draining {
            let (start, last) = (target.start, target.announcement_sequence);
            return self.record_target_departure(
                &target.id,
                start,
                last,
                LogPosition::default(),
                now,
                DepartureKind::Announced,
            );
        }
        self.tombstones.remove(&target.id);
        let id = target.id.clone();
        let known = KnownTarget {
            target,
            announced_at: position,
            current_to: position,
            pending_withdrawal: None,
        };
        self.targets.insert(id, known);
        change
    }

    /// Records that a target announced its own departure.
    pub fn record_announced_departure(
        &mut self,
        target_id: &str,
        start: ProcessStartUnixMs,
        now: Millis,
    ) -> TargetChange {
        self.merge_gossiped_departure(
            target_id,
            GossipedDeparture::Announced(start),
            now,
        )
    }

    /// Records that another process answered at the address of a target. Its
    /// next announcement restores the target: a process that goes on announcing
    /// itself has not ended.
    pub fn record_displacement(
        &mut self,
        target_id: &str,
        start: ProcessStartUnixMs,
        now: Millis,
    ) -> TargetChange {
        match self.targets.get(target_id) {
            Some(known) if known.target.start == start => {
                let end_position = known.announced_at.successor();
                self.record_target_withdrawal(target_id, end_position, now)
            }
            _ => TargetChange::None,
        }
    }

    /// Merges the announcement of a target that a complete list of the log
    /// holds. A target that the list can't hold after a departure is restored
    /// if it counts as withdrawn.
    pub fn merge_listed_announcement(
        &mut self,
        target: Target,
        position: LogPosition,
        list: TargetList,
        now: Millis,
    ) -> TargetChange {
        let is_refuted = |it: &TargetTombstone| {
            let end = it.positions.end_position;
            it.kind == DepartureKind::Withdrawn
                && it.start <= target.start
                && end <= list.end_position
                && (end.era == list.end_position.era
                    || list.state == ListState::Settled)
        };
        if self.tombstones.get(&target.id).is_some_and(is_refuted) {
            self.tombstones.remove(&target.id);
        }
        let id = target.id.clone();
        let change = self.merge_target_announcement(target, position, now);
        if list.state == ListState::Settled
            && let Some(known) = self.targets.get_mut(&id)
        {
            known.current_to = known.current_to.max(list.end_position);
        }
        change
    }

    /// Merges the removal of a target's record from the log; `end_position` is
    /// the position after the removal. Ignores a removal before the target's
    /// last announcement, or before a list that held the target. During the grace period for record renewals, the
    /// target stays in use and is withdrawn at the end of the period unless
    /// its record was renewed.
    pub fn merge_target_withdrawal(
        &mut self,
        target_id: &str,
        end_position: LogPosition,
        now: Millis,
    ) -> TargetChange {
        let in_grace = now < self.record_renewal_grace_until;
        let Some(known) = self.targets.get_mut(target_id) else {
            let removed_at = (!in_grace).then_some(now);
            self.bury_target(target_id, end_position, removed_at);
            return TargetChange::None;
        };
        if end_position <= known.current_to {
            return TargetChange::None;
        }
        if in_grace {
            let pending =
                known.pending_withdrawal.get_or_insert(PendingWithdrawal {
                    due_at: self.record_renewal_grace_until,
                    end_position,
                });
            pending.end_position = pending.end_position.max(end_position);
            return TargetChange::None;
        }
        self.record_target_withdrawal(target_id, end_position, now)
    }

    /// Withdraws every target that a complete list of the log, up to
    /// `end_position`, lacks, and returns the withdrawn targets. `listed_start` returns the start time of
    /// a listed target; a target that is listed with an earlier start time
    /// than the known one counts as missing.
    pub fn withdraw_unlisted_targets(
        &mut self,
        listed_start: impl Fn(&str) -> Option<ProcessStartUnixMs>,
        end_position: LogPosition,
        now: Millis,
    ) -> Vec<Name> {
        let is_missing = |it: &&Target| listed_start(&it.id) < Some(it.start);
        let missing: Vec<Name> = self
            .ready_targets()
            .filter(is_missing)
            .map(|it| it.id.clone())
            .collect();
        let left = |id: &Name| {
            self.merge_target_withdrawal(id, end_position, now)
                == TargetChange::Left
        };
        missing.into_iter().filter(left).collect()
    }

    /// Starts the renewal grace, because the log can be read again after a
    /// gap.
    pub fn start_record_renewal_grace(&mut self, now: Millis) {
        self.record_renewal_grace_until =
            now + self.config.record_renewal_grace;
    }

    /// When the next pending withdrawal takes effect, unless it is cancelled.
    pub fn next_withdrawal_due_at(&self) -> Option<Millis> {
        let pending = self.targets.values();
        pending.filter_map(|it| Some(it.pending_withdrawal?.due_at)).min()
    }

    /// Applies the withdrawals that are due and returns the removed targets.
    /// An announcement cancels a withdrawal, so callers read the log first.
    pub fn apply_due_withdrawals(&mut self, now: Millis) -> Vec<Name> {
        let due = |(id, target): (&Name, &KnownTarget)| {
            let pending = target.pending_withdrawal?;
            (pending.due_at <= now).then(|| (id.clone(), pending.end_position))
        };
        let gone: Vec<(Name, LogPosition)> =
            self.targets.iter().filter_map(due).collect();
        for (id, end_position) in &gone {
            self.record_target_withdrawal(id, *end_position, now);
        }
        gone.into_iter().map(|it| it.0).collect()
    }

    /// Whether a target takes new requests.
    pub fn is_target_ready(&self, target_id: &str) -> bool {
        self.targets.contains_key(target_id)
    }

    /// The target with this name, if it takes new requests.
    pub fn get(&self, target_id: &str) -> Option<&Target> {
        self.targets.get(target_id).map(|it| &it.target)
    }

    /// The targets that take new requests.
    pub fn ready_targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.values().map(|it| &it.target)
    }

    /// The departures recorded since a point in time, for other entry
    /// processes.
    pub fn target_departures_since(
        &self,
        since: Millis,
    ) -> impl Iterator<Item = (&Name, GossipedDeparture)> {
        let is_recent = move |it: &TargetTombstone| {
            it.removed_at.is_some_and(|at| at >= since)
        };
        let recent = self.tombstones.iter().filter(move |it| is_recent(it.1));
        recent.map(|(id, it)| match it.kind {
            DepartureKind::Announced => {
                (id, GossipedDeparture::Announced(it.start))
            }
            DepartureKind::Withdrawn => {
                let withdrawal = Withdrawal {
                    start: it.start,
                    last_sequence: it.last_sequence,
                    end_position: it.positions.end_position,
                };
                (id, GossipedDeparture::Withdrawn(withdrawal))
            }
        })
    }

    /// The processes whose announced departures are known.
    pub fn announced_departures(
        &self,
    ) -> impl Iterator<Item = (&Name, ProcessStartUnixMs)> {
        let announced = self.tombstones.iter();
        let announced =
            announced.filter(|it| it.1.kind == DepartureKind::Announced);
        announced.map(|(id, it)| (id, it.start))
    }

    /// Where the log holds the news by which a target departed; `None` if the
    /// target isn't known to have departed.
    pub fn departure_positions(
        &self,
        target_id: &str,
    ) -> Option<DeparturePositions> {
        self.tombstones.get(target_id).map(|it| it.positions)
    }

    /// The position in the log of the last announcement of a target that takes
    /// new requests.
    pub fn announcement_position(
        &self,
        target_id: &str,
    ) -> Option<LogPosition> {
        self.targets.get(target_id).map(|it| it.announced_at)
    }

    /// Merges a departure that another entry process reports; ignores the
    /// departure if a later announcement of the target is known.
    pub fn merge_gossiped_departure(
        &mut self,
        target_id: &str,
        departure: GossipedDeparture,
        now: Millis,
    ) -> TargetChange {
        let known = self.targets.get(target_id);
        let is_restarted = |start: ProcessStartUnixMs| {
            known.is_some_and(|it| it.target.start > start)
        };
        // The records of an earlier era that the log has lost are written
        // again, so the sender may not have read the newest announcement.
        let is_renewed = |withdrawal: &Withdrawal| {
            known.is_some_and(|it| {
                let own = (it.target.start, it.target.announcement_sequence);
                let is_of_earlier_era =
                    it.announced_at.era < withdrawal.end_position.era;
                it.current_to >= withdrawal.end_position
                    || is_of_earlier_era
                        && own > (withdrawal.start, withdrawal.last_sequence)
            })
        };
        match departure {
            GossipedDeparture::Announced(start) if is_restarted(start) => {
                TargetChange::None
            }
            GossipedDeparture::Announced(start) => self
                .record_target_departure(
                    target_id,
                    start,
                    0,
                    LogPosition::default(),
                    now,
                    DepartureKind::Announced,
                ),
            GossipedDeparture::Withdrawn(it) if is_renewed(&it) => {
                TargetChange::None
            }
            GossipedDeparture::Withdrawn(it) => self.record_target_departure(
                target_id,
                it.start,
                it.last_sequence,
                it.end_position,
                now,
                DepartureKind::Withdrawn,
            ),
        }
    }

    /// Records that the record of a target disappeared from the log.
    fn record_target_withdrawal(
        &mut self,
        target_id: &str,
        end_position: LogPosition,
        now: Millis,
    ) -> TargetChange {
        self.record_target_departure(
            target_id,
            self.newest_start_time(target_id),
            0,
            end_position,
            now,
            DepartureKind::Withdrawn,
        )
    }

    /// The newest known start time of a target, including departed processes.
    fn newest_start_time(&self, target_id: &str) -> ProcessStartUnixMs {
        let known = self.targets.get(target_id).map(|it| it.target.start);
        let left = self.tombstones.get(target_id).map(|it| it.start);
        known.max(left).unwrap_or_default()
    }

    fn record_target_departure(
        &mut self,
        target_id: &str,
        start: ProcessStartUnixMs,
        last_sequence: u64,
        end_position: LogPosition,
        now: Millis,
        kind: DepartureKind,
    ) -> TargetChange {
        let known = self.targets.remove(target_id);
        let has_left = known.is_some();
        // A withdrawal ends every earlier announcement, whichever process it
        // describes.
        let start = match (kind, &known) {
            (DepartureKind::Withdrawn, Some(it)) => start.max(it.target.start),
            _ => start,
        };
        let same_process =
            known.as_ref().filter(|it| it.target.start == start);
        let known_sequence =
            same_process.map_or(0, |it| it.target.announcement_sequence);
        let last_sequence = last_sequence.max(known_sequence);
        let announced_at = known
            .as_ref()
            .map_or(LogPosition::default(), |it| it.announced_at);
        let positions = DeparturePositions { announced_at, end_position };
        self.merge_tombstone(
            target_id,
            TargetTombstone {
                start,
                last_sequence,
                removed_at: Some(now),
                kind,
                positions,
            },
        );
        if has_left { TargetChange::Left } else { TargetChange::None }
    }

    /// Records the withdrawal of a target that isn't in use.
    fn bury_target(
        &mut self,
        target_id: &str,
        end_position: LogPosition,
        removed_at: Option<Millis>,
    ) {
        let positions = DeparturePositions {
            end_position,
            ..DeparturePositions::default()
        };
        let tombstone = TargetTombstone {
            start: self.newest_start_time(target_id),
            last_sequence: 0,
            removed_at,
            kind: DepartureKind::Withdrawn,
            positions,
        };
        self.merge_tombstone(target_id, tombstone);
    }

    fn merge_tombstone(&mut self, target_id: &str, new: TargetTombstone) {
        let stored = self.tombstones.entry(target_id.into()).or_insert(new);
        let positions = DeparturePositions {
            announced_at: stored
                .positions
                .announced_at
                .max(new.positions.announced_at),
            end_position: stored
                .positions
                .end_position
                .max(new.positions.end_position),
        };
        if new.start > stored.start {
            *stored = new;
        } else if new.start == stored.start {
            if new.kind == DepartureKind::Announced {
                stored.kind = new.kind;
            }
            stored.last_sequence = stored.last_sequence.max(new.last_sequence);
            stored.removed_at = stored.removed_at.or(new.removed_at);
        }
        stored.positions = positions;
        self.evict_oldest_tombstone();
    }

    fn evict_oldest_tombstone(&mut self) {
        if self.tombstones.len() <= MAX_TARGET_TOMBSTONES {
            return;
        }
        let oldest = self.tombstones.iter().min_by_key(|it| it.1.removed_at);
        if let Some(id) = oldest.map(|it| it.0.clone()) {
            self.tombstones.remove(&id);
        }
    }
}
