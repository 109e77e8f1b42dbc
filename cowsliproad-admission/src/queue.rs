//! The order of queued work at an agent.
//!
//! The most urgent class that has queued work is served first. Within a class,
//! work is served in the order of its rank, lowest first. A rank is fixed on
//! arrival: the arrival time plus a penalty for the work of the same class
//! that its organisation has already queued. The penalty spaces out the work
//! of a flooding organisation as if the organisation had its share of the
//! slots to itself, and leaves the work of other organisations unaffected.
//!
//! To prevent starvation of background work, one turn in
//! [`SERVED_ITEMS_PER_AGED_TURN`] serves the work that has exceeded the aging
//! delay of its class by the longest time, whatever its class. Aging by adding
//! the delay to the rank would make urgent work wait behind background work:
//! under lasting overload, all queued background work exceeds its delay.
//!
//! Work that can't meet its deadline is refused on arrival. Work whose
//! deadline passes while it is queued is handed back at once by
//! [`Queue::remove_expired_item`]. When the queue is full, the work with the
//! worst rank is removed.

use std::collections::{BTreeMap, HashMap};

use cowsliproad_kernel::{Name, clock::Millis, wire::Urgency};

/// One in this many items that the queue hands out is an aged item, if an aged
/// item is queued, so that aged work gets at least that fraction of the slots.
pub const SERVED_ITEMS_PER_AGED_TURN: u64 = 16;

/// A queued request with the properties that decide its place in the queue.
#[derive(Clone, Debug)]
pub struct QueueItem<T> {
    /// The organisation that sent the request.
    pub organisation: Name,
    /// The organisation's weight for fair sharing, at least 1.
    pub organisation_weight: u32,
    /// The urgency class of the request.
    pub urgency: Urgency,
    /// When the answer to the request becomes useless.
    pub deadline: Millis,
    /// The memory that the request takes while it is queued.
    pub bytes: usize,
    /// The queued request itself.
    pub work: T,
}

impl<T> QueueItem<T> {
    /// Returns the key by which queued items are counted for fair sharing.
    fn fair_share_key(&self) -> (Name, Urgency) {
        (self.organisation.clone(), self.urgency)
    }
}

/// The capacity and the aging delays of a queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueConfig {
    capacity: usize,
    byte_capacity: usize,
    normal_aging_delay: Millis,
    background_aging_delay: Millis,
}

impl QueueConfig {
    /// Returns the default capacity and aging delays of a queue.
    pub fn new() -> QueueConfig {
        QueueConfig {
            capacity: 4096,
            byte_capacity: 64 << 20,
            normal_aging_delay: Millis(2_000),
            background_aging_delay: Millis(30_000),
        }
    }

    /// Sets the maximum number of queued items.
    pub fn with_capacity(self, capacity: usize) -> QueueConfig {
        QueueConfig { capacity, ..self }
    }

    /// Sets the maximum memory of all queued items.
    pub fn with_byte_capacity(self, byte_capacity: usize) -> QueueConfig {
        QueueConfig { byte_capacity, ..self }
    }

    /// Returns how long work of an urgency class is queued before aged turns
    /// may serve the work.
    pub fn aging_delay(&self, urgency: Urgency) -> Millis {
        match urgency {
            Urgency::Urgent => Millis(0),
            Urgency::Normal => self.normal_aging_delay,
            Urgency::Background => self.background_aging_delay,
        }
    }
}

impl Default for QueueConfig {
    fn default() -> QueueConfig {
        QueueConfig::new()
    }
}

/// The rate at which a target serves the queue.
#[derive(Clone, Copy, Debug)]
pub struct ServiceRate {
    /// The number of items that the target serves concurrently.
    pub slots: u32,
    /// The mean time for which an item holds a slot, in microseconds.
    pub mean_service_us: u32,
    /// The minimum time between the starts of two items, in microseconds, if
    /// the target has a rate limit; else 0.
    pub min_start_interval_us: u32,
    /// The time until the target's rate limit lets the next item start, in
    /// microseconds.
    pub next_start_delay_us: u32,
}

/// The result of pushing an item onto the queue.
#[derive(Debug)]
pub enum PushOutcome<T> {
    /// The pushed item is queued.
    Queued,
    /// The pushed item is queued. The item given here was removed to make
    /// room, and its sender may retry after the given time.
    Displaced(QueueItem<T>, Millis),
    /// The pushed item is refused; its sender may retry after the given time.
    Refused(QueueItem<T>, Millis),
}

/// The position of an item in the queue: the item's urgency class, virtual
/// arrival time and arrival number.
type QueueRank = (Urgency, Millis, u64);

/// A queue of requests that wait for a slot at one target.
#[derive(Debug)]
pub struct Queue<T> {
    config: QueueConfig,
    /// The number of items that have arrived at the queue.
    arrival_count: u64,
    items: BTreeMap<QueueRank, QueueItem<T>>,
    /// The memory of all items.
    queued_bytes: usize,
    /// The ranks of all items by deadline and arrival number.
    ranks_by_deadline: BTreeMap<(Millis, u64), QueueRank>,
    /// The ranks of all items by the time from which aged turns may serve the
    /// item, and by arrival number.
    ranks_by_aging_time: BTreeMap<(Millis, u64), QueueRank>,
    /// The time from which aged turns may serve an item, by the item's arrival
    /// number.
    aging_time_by_arrival_number: HashMap<u64, Millis>,
    /// The number of items that the queue has handed out to be served.
    served_count: u64,
    /// The number of queued items by organisation and urgency class.
    queued_counts: HashMap<(Name, Urgency), u32>,
}

impl<T> Queue<T> {
    /// Creates a queue without items.
    pub fn new(config: QueueConfig) -> Queue<T> {
        Queue {
            config,
            arrival_count: 0,
            items: BTreeMap::new(),
            queued_bytes: 0,
            ranks_by_deadline: BTreeMap::new(),
            ranks_by_aging_time: BTreeMap::new(),
            aging_time_by_arrival_number: HashMap::new(),
            served_count: 0,
            queued_counts: HashMap::new(),
        }
    }

    /// Returns the number of queued items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether the queue has no items.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the memory of all queued items.
    pub fn queued_bytes(&self) -> usize {
        self.queued_bytes
    }

    /// Queues an item, or refuses it if it would miss its deadline or has the
    /// worst rank in a full queue. A queue is full by its number of items or
    /// by their memory; the item with the worst rank is removed if that makes
    /// enough room.
    pub fn push(
        &mut self,
        item: QueueItem<T>,
        service_rate: ServiceRate,
        now: Millis,
    ) -> PushOutcome<T> {
        let rank = self.compute_rank(&item, service_rate, now);
        let ahead = self.items.range(..rank).count() as u64;
        let wait = service_rate.queue_wait(ahead);
        let finish = now + wait + service_rate.mean_service_time();
        if finish > item.deadline {
            return PushOutcome::Refused(
                item,
                self.estimate_retry_after(service_rate),
            );
        }
        let bytes = self.queued_bytes + item.bytes;
        let fits = bytes <= self.config.byte_capacity;
        if self.items.len() < self.config.capacity && fits {
            self.insert(rank, item, now);
            return PushOutcome::Queued;
        }
        let retry_after = self.estimate_retry_after(service_rate);
        match self.items.last_key_value() {
            Some((worst, last))
                if *worst > rank
                    && bytes - last.bytes <= self.config.byte_capacity => {}
            _ => return PushOutcome::Refused(item, retry_after),
        }
        let displaced = self.remove_last_item();
        self.insert(rank, item, now);
        match displaced {
            Some(displaced) => PushOutcome::Displaced(displaced, retry_after),
            None => PushOutcome::Queued,
        }
    }

    /// Removes and returns the next item to serve.
    pub fn pop(&mut self, now: Millis) -> Option<QueueItem<T>> {
        let first = *self.items.first_key_value()?.0;
        self.served_count += 1;
        let aged = self.ranks_by_aging_time.first_key_value();
        let aged = aged.filter(|(aged_from, _)| aged_from.0 <= now);
        let rank = match aged {
            Some((_, rank))
                if self
                    .served_count
                    .is_multiple_of(SERVED_ITEMS_PER_AGED_TURN) =>
            {
                *rank
            }
            _ => first,
        };
        self.remove(rank)
    }

    /// Removes an item that would miss its deadline even if it started now.
    pub fn remove_expired_item(
        &mut self,
        service_rate: ServiceRate,
        now: Millis,
    ) -> Option<QueueItem<T>> {
        let (&(deadline, _), &rank) =
            self.ranks_by_deadline.first_key_value()?;
        if now + service_rate.mean_service_time() <= deadline {
            return None;
        }
        self.remove(rank)
    }

    /// Removes all items that would miss their deadlines after the service
    /// rate has dropped to `service_rate`.
    pub fn remove_items_missing_deadline(
        &mut self,
        service_rate: ServiceRate,
        now: Millis,
    ) -> Vec<QueueItem<T>> {
        let mut ahead = 0;
        let mut late = Vec::new();
        for (rank, item) in &self.items {
            if now
                + service_rate.queue_wait(ahead)
                + service_rate.mean_service_time()
                > item.deadline
            {
                late.push(*rank);
            } else {
                ahead += 1;
            }
        }
        late.into_iter().filter_map(|rank| self.remove(rank)).collect()
    }

    /// Removes the first queued item whose work matches a predicate.
    pub fn remove_first_matching(
        &mut self,
        mut matches: impl FnMut(&T) -> bool,
    ) -> Option<QueueItem<T>> {
        let found = self.items.iter().find(|(_, it)| matches(&it.work));
        let rank = *found?.0;
        self.remove(rank)
    }

    /// Computes the rank of an arriving item.
    fn compute_rank(
        &mut self,
        item: &QueueItem<T>,
        service_rate: ServiceRate,
        now: Millis,
    ) -> QueueRank {
        self.arrival_count += 1;
        // Queued work of other classes adds no penalty: an organisation's
        // background work must not delay its own urgent work.
        let queued = self.queued_counts.get(&item.fair_share_key()).copied();
        let ahead = u64::from(queued.unwrap_or(0));
        let penalty = service_rate.queue_wait(ahead).0
            / u64::from(item.organisation_weight.max(1));
        (item.urgency, now + Millis(penalty), self.arrival_count)
    }

    fn insert(&mut self, rank: QueueRank, item: QueueItem<T>, now: Millis) {
        *self.queued_counts.entry(item.fair_share_key()).or_default() += 1;
        self.ranks_by_deadline.insert((item.deadline, rank.2), rank);
        let aged_from = now + self.config.aging_delay(item.urgency);
        self.ranks_by_aging_time.insert((aged_from, rank.2), rank);
        self.aging_time_by_arrival_number.insert(rank.2, aged_from);
        self.queued_bytes += item.bytes;
        self.items.insert(rank, item);
    }

    fn remove_last_item(&mut self) -> Option<QueueItem<T>> {
        let rank = *self.items.last_key_value()?.0;
        self.remove(rank)
    }

    fn remove(&mut self, rank: QueueRank) -> Option<QueueItem<T>> {
        let item = self.items.remove(&rank)?;
        self.queued_bytes -= item.bytes;
        self.ranks_by_deadline.remove(&(item.deadline, rank.2));
        if let Some(aged_from) =
            self.aging_time_by_arrival_number.remove(&rank.2)
        {
            self.ranks_by_aging_time.remove(&(aged_from, rank.2));
        }
        let key = item.fair_share_key();
        let queued = self.queued_counts.get_mut(&key)?;
        *queued -= 1;
        if *queued == 0 {
            self.queued_counts.remove(&key);
        }
        Some(item)
    }

    /// Estimates the time until all items that are queued now have got a slot:
    /// the time after which the sender of a refused item is asked to retry.
    pub fn estimate_retry_after(&self, service_rate: ServiceRate) -> Millis {
        service_rate
            .queue_wait(self.items.len() as u64)
            .max(service_rate.mean_service_time())
            .max(MIN_RETRY_AFTER)
    }
}

/// The shortest time after which the sender of a refused request is asked to
/// retry.
const MIN_RETRY_AFTER: Millis = Millis(50);

impl ServiceRate {
    /// Returns the time until `items_ahead` items have got a slot.
    pub fn queue_wait(self, items_ahead: u64) -> Millis {
        let slots = u64::from(self.slots.max(1));
        let slot_wait_us =
            items_ahead * u64::from(self.mean_service_us) / slots;
        let limit_wait_us = u64::from(self.next_start_delay_us)
            + items_ahead * u64::from(self.min_start_interval_us);
        Millis(slot_wait_us.max(limit_wait_us) / 1000)
    }

    /// Returns the service time, in microseconds, with which the slots alone
    /// would make the queue as slow as the slots and the target's rate limit
    /// together do.
    pub fn effective_service_us(self) -> u32 {
        self.mean_service_us
            .max(self.min_start_interval_us.saturating_mul(self.slots))
    }

    /// Returns the mean time for which an item holds a slot.
    pub fn mean_service_time(self) -> Millis {
        Millis(u64::from(self.mean_service_us) / 1000)
    }
}
