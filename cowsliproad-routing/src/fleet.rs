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
//! * A withdrawal takes effect at once while the log has been read without a
//!   gap. After a gap the withdrawal may be an expiry, since targets that
//!   couldn't renew their records drop out of the log too. Such a target stays
//!   in use for [`TargetFleetConfig::with_record_renewal_grace`], within which
//!   a live target renews its record.
//! * While the log is unreachable, no target is withdrawn. What the entry
//!   process observes itself (another incarnation at the address) takes effect
//!   all the same.

use std::{collections::BTreeMap, net::SocketAddr};

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
    /// When the pending withdrawal of the target takes effect; `None` if no
    /// withdrawal is pending.
    withdrawal_due_at: Option<Millis>,
    /// The position after the pending withdrawal.
    withdrawal_end: LogPosition,
}

#[derive(Clone, Copy, Debug)]
struct TargetTombstone {
    start: ProcessStartUnixMs,
    last_sequence: u64,
    removed_at: Millis,
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
        if let Some(tombstone) = self.tombstones.get(&target.id)
            && (target.start < tombstone.start
                || target.start == tombstone.start
                    && (tombstone.kind == DepartureKind::Announced
                        || target.announcement_sequence
                            <= tombstone.last_sequence))
        {
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
                let withdrawal_due_at = known.withdrawal_due_at.take();
                known.target = target;
                known.announced_at = known.announced_at.max(position);
                return withdrawal_due_at
                    .map_or(TargetChange::None, |_| TargetChange::Returned);
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
            withdrawal_due_at: None,
            withdrawal_end: LogPosition::default(),
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

    /// Merges the removal of a target's record from the log. During the grace
    /// period for record renewals, the target stays in use and is withdrawn at
    /// the end of the period unless its record was renewed.
    pub fn merge_target_withdrawal(
        &mut self,
        target_id: &str,
        end_position: LogPosition,
        now: Millis,
    ) -> TargetChange {
        if now < self.record_renewal_grace_until {
            if let Some(known) = self.targets.get_mut(target_id) {
                known.withdrawal_end = known.withdrawal_end.max(end_position);
                known
                    .withdrawal_due_at
                    .get_or_insert(self.record_renewal_grace_until);
            }
            return TargetChange::None;
        }
        self.record_target_withdrawal(target_id, end_position, now)
    }

    /// Withdraws every target that a complete list of the log lacks, and
    /// returns the withdrawn targets. `listed_start` returns the start time of
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
        self.targets.values().filter_map(|it| it.withdrawal_due_at).min()
    }

    /// Applies the withdrawals that are due and returns the removed targets.
    /// An announcement cancels a withdrawal, so callers read the log first.
    pub fn apply_due_withdrawals(&mut self, now: Millis) -> Vec<Name> {
        let due = |it: &KnownTarget| {
            it.withdrawal_due_at.is_some_and(|at| at <= now)
        };
        let gone: Vec<(Name, LogPosition)> = self
            .targets
            .iter()
            .filter(|(_, target)| due(target))
            .map(|(id, target)| (id.clone(), target.withdrawal_end))
            .collect();
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
        let is_recent = move |it: &TargetTombstone| it.removed_at >= since;
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
        let known = self.targets.get(target_id).map(|it| &it.target);
        let is_newer = |start: ProcessStartUnixMs, last: u64| {
            known.is_some_and(|it| {
                (it.start, it.announcement_sequence) > (start, last)
            })
        };
        match departure {
            GossipedDeparture::Announced(start)
                if is_newer(start, u64::MAX) =>
            {
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
            GossipedDeparture::Withdrawn(it)
                if is_newer(it.start, it.last_sequence) =>
            {
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
        let same_process =
            known.as_ref().filter(|it| it.target.start == start);
        let known_sequence =
            same_process.map_or(0, |it| it.target.announcement_sequence);
        let last_sequence = last_sequence.max(known_sequence);
        let announced_at = known
            .as_ref()
            .map_or(LogPosition::default(), |it| it.announced_at);
        let positions = DeparturePositions { announced_at, end_position };
        let tombstone = TargetTombstone {
            start,
            last_sequence,
            removed_at: now,
            kind,
            positions,
        };
        let stored =
            self.tombstones.entry(target_id.into()).or_insert(tombstone);
        if start > stored.start {
            *stored = tombstone;
        } else if start == stored.start {
            if kind == DepartureKind::Announced {
                stored.kind = kind;
            }
            stored.last_sequence = stored.last_sequence.max(last_sequence);
            stored.positions.announced_at =
                stored.positions.announced_at.max(announced_at);
            stored.positions.end_position =
                stored.positions.end_position.max(end_position);
        }
        self.evict_oldest_tombstone();
        if known.is_some() { TargetChange::Left } else { TargetChange::None }
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
