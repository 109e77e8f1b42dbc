//! An entry's view of the targets: which exist, where they are, and which take
//! new requests.
//!
//! Updates come from the platform's log, from other entries and from the
//! entry's own requests, in any order:
//!
//! * An incarnation that announced its departure stays departed: neither an
//!   old or repeated announcement nor a slow peer brings it back.
//! * A target may restart under its name, with a later [`StartTime`]. State of
//!   the earlier start, including its departure, doesn't apply to the later
//!   one, and late updates about the earlier start are ignored.
//! * A withdrawal takes effect at once while the log has been read without a
//!   gap. After a gap the withdrawal may be an expiry, since targets that
//!   couldn't renew their log entries drop out of the log too. Such a target
//!   stays in use for [`FleetConfig::with_renewal_grace`], within which a live
//!   target renews its log entry.
//! * While the log is unreachable, no target is withdrawn. What the entry
//!   observes itself (another incarnation at the address) takes effect all the
//!   same.

use std::{collections::BTreeMap, net::SocketAddr};

use cowsliproad_kernel::{Name, clock::Millis};

/// Whether a target takes new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetState {
    /// The target takes new requests.
    Ready,
    /// The target only finishes the requests that it has.
    Draining,
}

/// The time at which a target's process started, which distinguishes the
/// processes under one name; zero where targets don't state it.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StartTime(pub u64);

/// A target as announced in the platform's log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The name of the target.
    pub id: Name,
    /// The start of the target's process.
    pub start: StartTime,
    /// The service that the target belongs to.
    pub service: Name,
    /// The address that the target listens on.
    pub address: SocketAddr,
    /// The availability zone of the target.
    pub zone: Name,
    /// The number of requests that the target runs at once.
    pub slots: u32,
    /// Whether the target takes new requests.
    pub state: TargetState,
    /// The number of the announcement, counted from the target's start.
    pub sequence: u64,
}

/// How an incarnation of a target departed, as entries gossip it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Departure {
    /// The target announced its departure. Only a later start replaces it.
    Announced(StartTime),
    /// The target's log entry disappeared after the announcement with this
    /// sequence number. The entry may just have expired, and a later
    /// announcement restores the target.
    Withdrawn(StartTime, u64),
}

/// The effect of an update on a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetChange {
    /// The update changed nothing.
    None,
    /// The target is new, or has returned after its departure.
    Joined,
    /// A new process of a known target started: what was known of the earlier
    /// process no longer applies.
    Restarted,
    /// The target takes no new requests from now on.
    Left,
    /// A pending withdrawal of the target was cancelled.
    Returned,
}

/// Settings of the [`Fleet`].
#[derive(Clone, Copy, Debug)]
pub struct FleetConfig {
    renewal_grace: Millis,
}

impl FleetConfig {
    /// The default settings of the fleet.
    pub fn new() -> FleetConfig {
        FleetConfig { renewal_grace: RENEWAL_GRACE }
    }

    /// Sets how long after a gap in the reads of the log a live target may
    /// take to renew its log entry.
    pub fn with_renewal_grace(self, renewal_grace: Millis) -> FleetConfig {
        FleetConfig { renewal_grace }
    }
}

impl Default for FleetConfig {
    fn default() -> FleetConfig {
        FleetConfig::new()
    }
}

/// The default renewal grace. Targets renew expired log entries within about
/// two seconds after the log returns, as its operators state; the rest allows
/// for the delay until an entry reads them.
const RENEWAL_GRACE: Millis = Millis(2_300);

/// The largest number of tombstones, at some 60 bytes each.
const MAX_TOMBSTONES: usize = 2_048;

/// The targets that take new requests, and tombstones of departed ones.
#[derive(Clone, Debug)]
pub struct Fleet {
    config: FleetConfig,
    targets: BTreeMap<Name, KnownTarget>,
    /// Departed incarnations, with the last sequence number of each.
    tombstones: BTreeMap<Name, Tombstone>,
    /// Until when a withdrawal may be the expiry of a live target's log entry.
    grace_until: Millis,
}

#[derive(Clone, Debug)]
struct KnownTarget {
    target: Target,
    /// When a pending withdrawal of the target takes effect.
    withdrawal_due: Option<Millis>,
}

#[derive(Clone, Copy, Debug)]
struct Tombstone {
    start: StartTime,
    sequence: u64,
    removed_at: Millis,
    kind: DepartureKind,
}

/// How the incarnation of a tombstone departed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum DepartureKind {
    /// The target announced its departure: this incarnation never returns.
    Announced,
    /// The target's log entry disappeared; a later announcement restores the
    /// target.
    Withdrawn,
}

impl Fleet {
    /// A fleet without targets.
    pub fn new(config: FleetConfig) -> Fleet {
        Fleet {
            config,
            targets: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            grace_until: Millis(0),
        }
    }

    /// Merges the announcement of a target; ignores an outdated announcement.
    pub fn announce(&mut self, target: Target, now: Millis) -> TargetChange {
        if let Some(tombstone) = self.tombstones.get(&target.id)
            && (target.start < tombstone.start
                || target.start == tombstone.start
                    && (tombstone.kind == DepartureKind::Announced
                        || target.sequence <= tombstone.sequence))
        {
            return TargetChange::None;
        }
        let mut change = TargetChange::Joined;
        if let Some(known) = self.targets.get_mut(&target.id) {
            let age = |it: &Target| (it.start, it.sequence);
            if age(&target) < age(&known.target) {
                return TargetChange::None;
            }
            if target.start > known.target.start {
                change = TargetChange::Restarted;
            } else if target.state == TargetState::Ready {
                let withdrawal_due = known.withdrawal_due.take();
                known.target = target;
                return withdrawal_due
                    .map_or(TargetChange::None, |_| TargetChange::Returned);
            }
        }
        if target.state == TargetState::Draining {
            let (start, last) = (target.start, target.sequence);
            return self.record_departure(
                &target.id,
                start,
                last,
                now,
                DepartureKind::Announced,
            );
        }
        self.tombstones.remove(&target.id);
        let id = target.id.clone();
        self.targets.insert(id, KnownTarget { target, withdrawal_due: None });
        change
    }

    /// Records that a target announced its own departure.
    pub fn announce_departure(
        &mut self,
        id: &str,
        start: StartTime,
        now: Millis,
    ) -> TargetChange {
        self.merge_departure(id, Departure::Announced(start), now)
    }

    /// Merges the removal of a target's log entry.
    pub fn withdraw(&mut self, id: &str, now: Millis) -> TargetChange {
        if now < self.grace_until {
            if let Some(known) = self.targets.get_mut(id) {
                known.withdrawal_due.get_or_insert(self.grace_until);
            }
            return TargetChange::None;
        }
        self.record_withdrawal(id, now)
    }

    /// Withdraws every target that a complete list of the log lacks. `listed`
    /// returns the start of a listed target; a target that is listed with an
    /// earlier start than the known one counts as missing.
    pub fn withdraw_unlisted(
        &mut self,
        listed: impl Fn(&str) -> Option<StartTime>,
        now: Millis,
    ) -> Vec<Name> {
        let is_missing = |it: &&Target| listed(&it.id) < Some(it.start);
        let missing: Vec<Name> =
            self.ready().filter(is_missing).map(|it| it.id.clone()).collect();
        let left = |id: &Name| self.withdraw(id, now) == TargetChange::Left;
        missing.into_iter().filter(left).collect()
    }

    /// Starts the renewal grace, because the log can be read again after a
    /// gap.
    pub fn start_grace_period(&mut self, now: Millis) {
        self.grace_until = now + self.config.renewal_grace;
    }

    /// When the next pending withdrawal takes effect, unless it is cancelled.
    pub fn next_withdrawal(&self) -> Option<Millis> {
        self.targets.values().filter_map(|it| it.withdrawal_due).min()
    }

    /// Applies the withdrawals that are due and returns the removed targets.
    /// An announcement cancels a withdrawal, so callers read the log first.
    pub fn apply_due_withdrawals(&mut self, now: Millis) -> Vec<Name> {
        let due =
            |it: &KnownTarget| it.withdrawal_due.is_some_and(|at| at <= now);
        let gone: Vec<Name> = self
            .targets
            .iter()
            .filter(|(_, target)| due(target))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.record_withdrawal(id, now);
        }
        gone
    }

    /// Whether new requests may be sent to an incarnation.
    pub fn is_ready(&self, id: &str) -> bool {
        self.targets.contains_key(id)
    }

    /// The target with this name, if it takes new requests.
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.targets.get(id).map(|it| &it.target)
    }

    /// The targets that take new requests.
    pub fn ready(&self) -> impl Iterator<Item = &Target> {
        self.targets.values().map(|it| &it.target)
    }

    /// The departures recorded since a point in time, for other entries.
    pub fn departures_since(
        &self,
        since: Millis,
    ) -> impl Iterator<Item = (&Name, Departure)> {
        let fresh = move |it: &Tombstone| it.removed_at >= since;
        let fresh = self.tombstones.iter().filter(move |it| fresh(it.1));
        fresh.map(|(id, it)| match it.kind {
            DepartureKind::Announced => (id, Departure::Announced(it.start)),
            DepartureKind::Withdrawn => {
                (id, Departure::Withdrawn(it.start, it.sequence))
            }
        })
    }

    /// Merges a departure that another entry reports; ignores it if this entry
    /// knows a later announcement of the target.
    pub fn merge_departure(
        &mut self,
        id: &str,
        departure: Departure,
        now: Millis,
    ) -> TargetChange {
        let known = self.targets.get(id).map(|it| &it.target);
        let newer = |start: StartTime, last: u64| {
            known.is_some_and(|it| (it.start, it.sequence) > (start, last))
        };
        match departure {
            Departure::Announced(start) if newer(start, u64::MAX) => {
                TargetChange::None
            }
            Departure::Announced(start) => self.record_departure(
                id,
                start,
                0,
                now,
                DepartureKind::Announced,
            ),
            Departure::Withdrawn(start, last) if newer(start, last) => {
                TargetChange::None
            }
            Departure::Withdrawn(start, last) => self.record_departure(
                id,
                start,
                last,
                now,
                DepartureKind::Withdrawn,
            ),
        }
    }

    /// Records that the log entry of a target disappeared.
    fn record_withdrawal(&mut self, id: &str, now: Millis) -> TargetChange {
        self.record_departure(
            id,
            self.newest_start(id),
            0,
            now,
            DepartureKind::Withdrawn,
        )
    }

    /// The newest known start under a name, including departed incarnations.
    fn newest_start(&self, id: &str) -> StartTime {
        let known = self.targets.get(id).map(|it| it.target.start);
        let left = self.tombstones.get(id).map(|it| it.start);
        known.max(left).unwrap_or_default()
    }

    fn record_departure(
        &mut self,
        id: &str,
        start: StartTime,
        sequence: u64,
        now: Millis,
        kind: DepartureKind,
    ) -> TargetChange {
        let known = self.targets.remove(id);
        let same = known.as_ref().filter(|it| it.target.start == start);
        let before = same.map_or(0, |it| it.target.sequence);
        let sequence = sequence.max(before);
        let tombstone = Tombstone { start, sequence, removed_at: now, kind };
        let stored = self.tombstones.entry(id.into()).or_insert(tombstone);
        if start > stored.start {
            *stored = tombstone;
        } else if start == stored.start {
            if kind == DepartureKind::Announced {
                stored.kind = kind;
            }
            stored.sequence = stored.sequence.max(sequence);
        }
        self.evict_oldest_tombstone();
        if known.is_some() { TargetChange::Left } else { TargetChange::None }
    }

    fn evict_oldest_tombstone(&mut self) {
        if self.tombstones.len() <= MAX_TOMBSTONES {
            return;
        }
        let oldest = self.tombstones.iter().min_by_key(|it| it.1.removed_at);
        if let Some(id) = oldest.map(|it| it.0.clone()) {
            self.tombstones.remove(&id);
        }
    }
}
