//! Choice of the target for a request, by cost, from this entry's state of all
//! targets.

use std::{cell::RefCell, rc::Rc};

use cowsliproad_kernel::clock::Millis;
use cowsliproad_routing::{
    fleet::Target,
    pick::{self, Candidate, Distance, Record, Usual},
};

use super::{Choice, Endpoint, Entry, Group, Recovery, groups::AGENT_TIMEOUT};

/// Snapshot of the usable targets of a service, scored by cost, at one moment.
pub struct Candidates {
    seen: Vec<Seen>,
    at: Millis,
    usual: Usual,
    /// Estimated requests of other entries that no agent's report includes
    /// yet.
    unseen: f64,
    /// Requests a second that each target would get if all targets got equally
    /// many.
    part: f64,
    /// Eligible targets, including those that can't be used now.
    fitting: usize,
    /// Eligible, working targets in a cooldown that they requested with
    /// Retry-After.
    cooling: usize,
    /// When the first cooldown ends, or the first probe of a recovering target
    /// times out.
    cooldown_end: Option<Millis>,
}

/// A target that could get the request, if the target's rate limit allows it.
struct Seen {
    choice: Choice,
    /// The earliest time to request a permit, if the target's rate limit
    /// demands one.
    free: Option<Millis>,
}

/// When targets that now decline requests by a rate limit or a cooldown take
/// requests again.
#[derive(Clone, Copy, Debug)]
pub struct Shortage {
    /// When the first rate-limited target may grant a permit.
    pub limit_end: Option<Millis>,
    /// When the first target's cooldown ends.
    pub cooldown_end: Option<Millis>,
    /// Whether every eligible target is rate-limited or in a cooldown, so that
    /// no other target may become usable before.
    pub is_complete: bool,
}

impl Shortage {
    /// The shortage in snapshots of targets; None if no target declines
    /// requests by a rate limit or a cooldown.
    pub fn new<'a>(
        looks: impl Iterator<Item = &'a Candidates>,
    ) -> Option<Shortage> {
        let mut shortage = Shortage {
            limit_end: None,
            cooldown_end: None,
            is_complete: true,
        };
        for look in looks {
            let limited = look.seen.iter().filter_map(|it| it.free);
            let limit_end = shortage.limit_end.into_iter().chain(limited);
            shortage.limit_end = limit_end.min();
            let ends = shortage.cooldown_end.into_iter();
            shortage.cooldown_end = ends.chain(look.cooldown_end).min();
            let kept = look.seen.len() + look.cooling;
            shortage.is_complete &= kept == look.fitting;
        }
        shortage.end().map(|_| shortage)
    }

    /// When the first target may take a request again.
    pub fn end(&self) -> Option<Millis> {
        self.limit_end.into_iter().chain(self.cooldown_end).min()
    }
}

/// Whether a request may wait for permits at rate-limited targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Asks {
    /// Only for a permit that is free now; otherwise the request goes to
    /// another target.
    Now,
    /// For a permit that becomes free within this time.
    Ahead(Millis),
    /// The request doesn't ask for permits.
    Never,
}

impl Candidates {
    /// Chooses the target with the least cost or, where agents report, one of
    /// the cheapest at random; see [`pick::spread`]. A target whose rate limit
    /// is below its equal share is preferred at the same or lower cost, so
    /// that its limit is used up. `draw` is a random number from 0 to 1.
    pub fn choose(&self, asks: Asks, draw: f64) -> Option<Choice> {
        let usable = self.seen.iter().filter(|it| self.is_usable(it, asks));
        let usable: Vec<&Choice> = usable.map(|it| &it.choice).collect();
        let costs: Vec<f64> = usable.iter().map(|it| it.cost).collect();
        let slots = usable.iter().map(|it| it.target.slots).max()?;
        let step = self.usual.in_step() / f64::from(slots);
        let place = pick::spread(&costs, step, self.unseen, draw)?;
        let binds = |it: &Choice| {
            it.limit.is_some_and(|it| it.per_second() < self.part)
        };
        let scarce =
            usable.iter().filter(|it| binds(it) && it.cost <= costs[place]);
        let scarce = scarce.min_by(|a, b| a.cost.total_cmp(&b.cost));
        Some((*scarce.unwrap_or(&usable[place])).clone())
    }

    fn is_usable(&self, seen: &Seen, asks: Asks) -> bool {
        let Some(free) = seen.free else { return true };
        match asks {
            Asks::Now => {
                free <= self.at && !seen.choice.endpoint.borrow().asking
            }
            Asks::Ahead(patience) => free <= self.at + patience,
            Asks::Never => false,
        }
    }
}

impl Endpoint {
    /// When the probe of a recovering target times out, while one is in
    /// flight. Until then no other request is sent to the target.
    fn probe_end(&self, now: Millis) -> Option<Millis> {
        match self.recovery {
            Recovery::Probed(at) => Some(at + PROBE_TIMEOUT),
            Recovery::Done | Recovery::Pending => None,
        }
        .filter(|end| *end > now)
    }

    /// Records that a request is about to be sent, which makes the request a
    /// probe if the target is recovering.
    pub fn probe(&mut self, now: Millis) {
        if self.recovery != Recovery::Done {
            self.recovery = Recovery::Probed(now);
        }
    }
}

impl Entry {
    /// Scores the targets of a service for which `fits` is true. Cooldowns
    /// count as longer by `stagger`.
    pub fn candidates(
        &self,
        service: &str,
        now: Millis,
        stagger: Millis,
        fits: impl Fn(&Target) -> bool,
    ) -> Candidates {
        let fleet = self.fleet.borrow();
        let most = self.connections(service);
        let zone = &self.settings().zone;
        let own = fleet.ready().filter(|it| &*it.service == service);
        let endpoints: Vec<(&Target, Rc<RefCell<Endpoint>>)> =
            own.map(|it| (it, self.endpoint(&it.id))).collect();
        // Where most agents report, a target whose agent is silent is not idle
        // but unknown: the VM may be frozen or slow.
        let known = |group: &Option<Group>| {
            let heard = group.as_ref().map(|it| now.since(it.heard));
            heard.is_some_and(|age| age < AGENT_TIMEOUT)
        };
        let heard = endpoints.iter().filter(|it| known(&it.1.borrow().group));
        let reported = heard.count() * 2 > endpoints.len();
        let records: Vec<Record> =
            endpoints.iter().map(|it| it.1.borrow().record).collect();
        let usual = Usual::new(records.iter());
        let unseen =
            if reported { self.unseen(service, &records, now) } else { 0.0 };
        let targets = endpoints.len();
        let mut fitting = 0;
        let (mut cooling, mut cooldown_end) = (0, None);
        let mut seen: Vec<Seen> = Vec::new();
        for (target, endpoint) in endpoints {
            if !fits(target) {
                continue;
            }
            fitting += 1;
            let held = endpoint.borrow();
            let group = held.group.as_ref();
            let closed = group.is_some_and(|it| !self.is_open(it, now));
            if closed || reported && !known(&held.group) {
                continue;
            }
            if let Some(end) = self.cooldown_end(target, now - stagger) {
                cooling += 1;
                let end = end + stagger;
                cooldown_end = cooldown_end.into_iter().chain([end]).min();
                continue;
            }
            if let Some(end) = held.probe_end(now) {
                cooldown_end = cooldown_end.into_iter().chain([end]).min();
                continue;
            }
            if held.open >= most && held.pool.is_empty() {
                continue;
            }
            let near = target.zone == *zone;
            let distance = if near { Distance::Near } else { Distance::Far };
            let usual_ms = match group {
                Some(_) => usual.in_step(),
                None => usual.alone(&held.record, now),
            };
            let candidate = Candidate {
                record: &held.record,
                slots: target.slots,
                distance,
                pace: group.map_or(100, |it| it.pace),
                usual_ms,
            };
            let cost = pick::cost(&candidate, now);
            let limit = held.limit.rate();
            let needs = limit.filter(|it| !held.has_permit(*it, now));
            let free = needs.map(|_| held.full_until);
            drop(held);
            let choice = Choice {
                target: target.clone(),
                endpoint,
                cost,
                connections: most,
                limit,
                permit: None,
            };
            seen.push(Seen { choice, free });
        }
        let limited = seen.iter().any(|it| it.choice.limit.is_some());
        let part =
            if limited { self.part(service, targets, now) } else { 0.0 };
        Candidates {
            seen,
            at: now,
            usual,
            unseen,
            part,
            fitting,
            cooling,
            cooldown_end,
        }
    }

    /// Requests a second that each target of a service would get from all
    /// entries if all targets got equally many.
    fn part(&self, service: &str, targets: usize, now: Millis) -> f64 {
        let entries = self.peers.borrow().entries() as f64;
        let budgets = self.budgets.borrow();
        let usual = budgets.get(service);
        let usual = usual.map_or(0.0, |it| it.expected_requests(SECOND, now));
        usual * entries / targets.max(1) as f64
    }

    /// Estimates the requests that other entries sent to a service and that no
    /// report includes yet. Entries see much the same state, so they are taken
    /// to send what this entry does: its usual rate, or its latest burst if
    /// that is more.
    fn unseen(&self, service: &str, records: &[Record], now: Millis) -> f64 {
        let others = (self.peers.borrow().entries() - 1) as f64;
        let sent: u32 = records.iter().map(Record::unreported).sum();
        let budgets = self.budgets.borrow();
        let usual = budgets.get(service);
        let usual =
            usual.map_or(0.0, |it| it.expected_requests(UNSEEN_INTERVAL, now));
        usual.max(f64::from(sent)) * others
    }

    /// Connections that this entry may open to one target of a service: its
    /// part of the service's limit.
    fn connections(&self, service: &str) -> usize {
        let catalog = self.catalog.borrow();
        let service = catalog.as_ref().and_then(|it| it.0.service(service));
        let Some(most) = service.and_then(|it| it.connections) else {
            return usize::MAX;
        };
        let entries = self.peers.borrow().entries();
        (most as usize / entries).max(MIN_CONNECTIONS)
    }
}

const SECOND: Millis = Millis(1_000);

/// How long the probe after a cooldown is awaited before another request is
/// sent.
const PROBE_TIMEOUT: Millis = Millis(400);

/// The time for which requests of other entries are estimated: two report
/// intervals of an agent. `cowsliproad-bench routing` compares this interval
/// with others.
const UNSEEN_INTERVAL: Millis = Millis(800);

/// Connections to one target that every entry may open, however many entries
/// share the service's limit.
const MIN_CONNECTIONS: usize = 1;
