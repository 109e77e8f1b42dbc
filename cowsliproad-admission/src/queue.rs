//! The order of waiting work at an agent.
//!
//! The most urgent class that has work goes first. Within a class each
//! piece of work has a rank, fixed when it arrives: the arrival time plus a
//! penalty for the work of the same class that its organisation already has
//! waiting, lowest first. The penalty spaces out a flooding organisation as
//! if it had its share of the slots to itself, and leaves the others alone.
//!
//! So that drafts never starve, one turn in [`AGED_TURN_INTERVAL`] goes to the work
//! that has waited longest beyond its class's patience, whatever its class.
//! Ageing by adding the patience to the rank would have urgent work wait
//! behind drafts, as under lasting overload every draft is older than that.
//!
//! Work that can't meet its deadline any more is refused on arrival, and
//! work whose deadline passes while it waits is given back at once by
//! [`Queue::lapsed`]. When the queue is full the worst rank goes.

use std::collections::{BTreeMap, HashMap};

use cowsliproad_kernel::{Name, clock::Millis, wire::Urgency};

/// One turn in so many goes to aged work, so that at least this share of the
/// slots is open to it.
pub const AGED_TURN_INTERVAL: u64 = 16;

/// What the queue needs to know of a piece of work.
#[derive(Clone, Debug)]
pub struct Item<T> {
    /// Who asks.
    pub organisation: Name,
    /// The organisation's weight, from 1.
    pub weight: u32,
    /// How soon it is needed.
    pub urgency: Urgency,
    /// When its answer has lost its use.
    pub deadline: Millis,
    /// The work.
    pub work: T,
}

impl<T> Item<T> {
    /// What its share is counted by.
    fn class(&self) -> (Name, Urgency) {
        (self.organisation.clone(), self.urgency)
    }
}

/// Limits of a queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueConfig {
    capacity: usize,
    normal_patience: Millis,
    background_patience: Millis,
}

impl QueueConfig {
    /// The usual limits.
    pub fn new() -> QueueConfig {
        QueueConfig {
            capacity: 4096,
            normal_patience: Millis(2_000),
            background_patience: Millis(30_000),
        }
    }

    /// Limits the number of waiting items.
    pub fn with_capacity(self, capacity: usize) -> QueueConfig {
        QueueConfig { capacity, ..self }
    }

    /// How long work may wait before it gets aged turns.
    pub fn aging_delay(&self, urgency: Urgency) -> Millis {
        match urgency {
            Urgency::Urgent => Millis(0),
            Urgency::Normal => self.normal_patience,
            Urgency::Background => self.background_patience,
        }
    }
}

impl Default for QueueConfig {
    fn default() -> QueueConfig {
        QueueConfig::new()
    }
}

/// How fast the queue empties.
#[derive(Clone, Copy, Debug)]
pub struct ServiceRate {
    /// Items served at once.
    pub slots: u32,
    /// Mean time an item holds a slot, in microseconds.
    pub service_us: u32,
    /// The least time from one item's start to the next one's, in
    /// microseconds, where the target takes only so many; else 0.
    pub start_interval_us: u32,
    /// The time until the next item may start for all that, in microseconds.
    pub next_start_us: u32,
}

/// What became of an arriving item.
#[derive(Debug)]
pub enum PushOutcome<T> {
    /// It waits.
    Queued,
    /// It waits, and this item was given up for it.
    Displaced(Item<T>, Millis),
    /// It is refused; come back after the given time.
    Refused(Item<T>, Millis),
}

type Rank = (Urgency, Millis, u64);

/// Waiting work.
#[derive(Debug)]
pub struct Queue<T> {
    config: QueueConfig,
    arrivals: u64,
    items: BTreeMap<Rank, Item<T>>,
    deadlines: BTreeMap<(Millis, u64), Rank>,
    /// When each item's patience ends.
    patience: BTreeMap<(Millis, u64), Rank>,
    ends: HashMap<u64, Millis>,
    turns: u64,
    waiting: HashMap<(Name, Urgency), u32>,
}

impl<T> Queue<T> {
    /// An empty queue.
    pub fn new(config: QueueConfig) -> Queue<T> {
        Queue {
            config,
            arrivals: 0,
            items: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            patience: BTreeMap::new(),
            ends: HashMap::new(),
            turns: 0,
            waiting: HashMap::new(),
        }
    }

    /// The number of waiting items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Takes an item in, or refuses it.
    pub fn push(
        &mut self,
        item: Item<T>,
        pace: ServiceRate,
        now: Millis,
    ) -> PushOutcome<T> {
        let rank = self.rank(&item, pace, now);
        let ahead = self.items.range(..rank).count() as u64;
        let wait = pace.wait(ahead);
        let finish = now + wait + pace.service();
        if finish > item.deadline {
            return PushOutcome::Refused(item, self.retry_after(pace));
        }
        if self.items.len() < self.config.capacity {
            self.insert(rank, item, now);
            return PushOutcome::Queued;
        }
        let back_off = self.retry_after(pace);
        match self.items.last_key_value() {
            Some((worst, _)) if *worst > rank => {}
            _ => return PushOutcome::Refused(item, back_off),
        }
        let displaced = self.remove_last();
        self.insert(rank, item, now);
        match displaced {
            Some(displaced) => PushOutcome::Displaced(displaced, back_off),
            None => PushOutcome::Queued,
        }
    }

    /// The next item to serve.
    pub fn pop(&mut self, now: Millis) -> Option<Item<T>> {
        let first = *self.items.first_key_value()?.0;
        self.turns += 1;
        let aged = self.patience.first_key_value();
        let aged = aged.filter(|(end, _)| end.0 <= now);
        let rank = match aged {
            Some((_, rank))
                if self.turns.is_multiple_of(AGED_TURN_INTERVAL) =>
            {
                *rank
            }
            _ => first,
        };
        self.remove(rank)
    }

    /// Takes out an item that could not finish by its deadline any more.
    pub fn remove_expired(
        &mut self,
        pace: ServiceRate,
        now: Millis,
    ) -> Option<Item<T>> {
        let (&(deadline, _), &rank) = self.deadlines.first_key_value()?;
        if now + pace.service() <= deadline {
            return None;
        }
        self.remove(rank)
    }

    /// Takes out all that could not finish by their deadlines at this pace,
    /// which is slower than the one that they came in at.
    pub fn remove_late(
        &mut self,
        pace: ServiceRate,
        now: Millis,
    ) -> Vec<Item<T>> {
        let mut ahead = 0;
        let mut late = Vec::new();
        for (rank, item) in &self.items {
            if now + pace.wait(ahead) + pace.service() > item.deadline {
                late.push(*rank);
            } else {
                ahead += 1;
            }
        }
        late.into_iter().filter_map(|rank| self.remove(rank)).collect()
    }

    /// Takes out the first item that matches.
    pub fn remove_first(
        &mut self,
        mut matches: impl FnMut(&T) -> bool,
    ) -> Option<Item<T>> {
        let found = self.items.iter().find(|(_, it)| matches(&it.work));
        let rank = *found?.0;
        self.remove(rank)
    }

    fn rank(
        &mut self,
        item: &Item<T>,
        pace: ServiceRate,
        now: Millis,
    ) -> Rank {
        self.arrivals += 1;
        // Less urgent work doesn't count: an organisation's drafts must not
        // hold up its own tow calls.
        let waiting = self.waiting.get(&item.class()).copied();
        let ahead = u64::from(waiting.unwrap_or(0));
        let penalty = pace.wait(ahead).0 / u64::from(item.weight.max(1));
        (item.urgency, now + Millis(penalty), self.arrivals)
    }

    fn insert(&mut self, rank: Rank, item: Item<T>, now: Millis) {
        *self.waiting.entry(item.class()).or_default() += 1;
        self.deadlines.insert((item.deadline, rank.2), rank);
        let end = now + self.config.aging_delay(item.urgency);
        self.patience.insert((end, rank.2), rank);
        self.ends.insert(rank.2, end);
        self.items.insert(rank, item);
    }

    fn remove_last(&mut self) -> Option<Item<T>> {
        let rank = *self.items.last_key_value()?.0;
        self.remove(rank)
    }

    fn remove(&mut self, rank: Rank) -> Option<Item<T>> {
        let item = self.items.remove(&rank)?;
        self.deadlines.remove(&(item.deadline, rank.2));
        if let Some(end) = self.ends.remove(&rank.2) {
            self.patience.remove(&(end, rank.2));
        }
        let class = item.class();
        let waiting = self.waiting.get_mut(&class)?;
        *waiting -= 1;
        if *waiting == 0 {
            self.waiting.remove(&class);
        }
        Some(item)
    }

    /// When the work that waits now will have been served, roughly.
    pub fn retry_after(&self, pace: ServiceRate) -> Millis {
        pace.wait(self.items.len() as u64).max(pace.service()).max(MIN_WAIT)
    }
}

/// The shortest time a refused caller is told to stay away.
const MIN_WAIT: Millis = Millis(50);

impl ServiceRate {
    /// The time until `ahead` items have got a slot.
    pub fn wait(self, ahead: u64) -> Millis {
        let slots = u64::from(self.slots.max(1));
        let by_slots = ahead * u64::from(self.service_us) / slots;
        let by_gaps = u64::from(self.next_start_us)
            + ahead * u64::from(self.start_interval_us);
        Millis(by_slots.max(by_gaps) / 1000)
    }

    /// The time for which each item would hold a slot if slots alone made the
    /// queue as slow as it is, in microseconds.
    pub fn effective_us(self) -> u32 {
        self.service_us.max(self.start_interval_us.saturating_mul(self.slots))
    }

    /// The mean time an item holds a slot.
    pub fn service(self) -> Millis {
        Millis(u64::from(self.service_us) / 1000)
    }
}
