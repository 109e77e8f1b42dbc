//! Which target a request goes to, from what the entry believes of all.

use std::{cell::RefCell, rc::Rc};

use cowsliproad_kernel::clock::Millis;
use cowsliproad_routing::{
    fleet::Target,
    pick::{
        self, ServiceLatency, TargetCandidate, TargetLocality, TargetStats,
    },
};

use super::{Choice, Endpoint, Entry, Group, Recovery, groups::AGENT_TIMEOUT};

/// The targets of a service that work, as an entry sees them at a moment.
pub struct Candidates {
    seen: Vec<Seen>,
    at: Millis,
    usual: ServiceLatency,
    /// Requests of others that no report shows.
    unseen: f64,
    /// Requests a second that a target would get if all were sent as many.
    part: f64,
    /// Targets that fit, also those that don't work.
    fitting: usize,
    /// Those of them that work and asked to be left alone.
    cooling: usize,
    /// When the first of these takes requests again, or one that is being
    /// probed may get another request.
    cooldown_end: Option<Millis>,
}

/// A target that a request could go to, or could but for its limit.
struct Seen {
    choice: Choice,
    /// When a permit there may be asked for, if one has to be.
    free: Option<Millis>,
}

/// When targets take a request again that take none now by their own word.
#[derive(Clone, Copy, Debug)]
pub struct Shortage {
    /// When one that names a limit may have a permit.
    pub limit_end: Option<Millis>,
    /// When one that asked to be left alone takes requests again.
    pub cooldown_end: Option<Millis>,
    /// Whether there is no other target that may be usable before.
    pub is_complete: bool,
}

impl Shortage {
    /// What the targets lack that were seen at a moment; nothing where none
    /// is kept from use by its own word.
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

    /// When the first target may take a request.
    pub fn end(&self) -> Option<Millis> {
        self.limit_end.into_iter().chain(self.cooldown_end).min()
    }
}

/// Whether a request may ask for permits at targets that name limits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Asks {
    /// For one that is free now; it goes elsewhere if there is none.
    Now,
    /// For one that is free within this time.
    Ahead(Millis),
    /// It may not.
    Never,
}

impl Candidates {
    /// The target with the least cost, or, where agents report, one of those
    /// with little cost; see [`pick::choose_target_by_cost`]. One that takes
    /// fewer requests than its part is chosen whenever it costs no more, so
    /// that it gets what it takes. `draw` is a random number from 0 to 1.
    pub fn choose(&self, asks: Asks, draw: f64) -> Option<Choice> {
        let usable = self.seen.iter().filter(|it| self.is_usable(it, asks));
        let usable: Vec<&Choice> = usable.map(|it| &it.choice).collect();
        let costs: Vec<f64> = usable.iter().map(|it| it.cost).collect();
        let slots = usable.iter().map(|it| it.target.slots).max()?;
        let step = self.usual.lockstep_rank_latency_ms() / f64::from(slots);
        let place =
            pick::choose_target_by_cost(&costs, step, self.unseen, draw)?;
        let binds = |it: &Choice| {
            it.limit.is_some_and(|it| it.requests_per_second() < self.part)
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
    /// Until when only one request is under way there, if that is so.
    fn probe_end(&self, now: Millis) -> Option<Millis> {
        match self.recovery {
            Recovery::Probed(at) => Some(at + PROBE_TIMEOUT),
            Recovery::Done | Recovery::Pending => None,
        }
        .filter(|end| *end > now)
    }

    /// Notes that a request is about to be sent there.
    pub fn probe(&mut self, now: Millis) {
        if self.recovery != Recovery::Done {
            self.recovery = Recovery::Probed(now);
        }
    }
}

impl Entry {
    /// Looks at the targets of a service that `fits` lets through. Cooldowns
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
        let own = fleet.ready_targets().filter(|it| &*it.service == service);
        let endpoints: Vec<(&Target, Rc<RefCell<Endpoint>>)> =
            own.map(|it| (it, self.endpoint(&it.id))).collect();
        // Where most agents report, a target whose agent is silent is not
        // idle but unknown: its VM may be frozen, or it may be the slow one.
        let known = |group: &Option<Group>| {
            let heard = group.as_ref().map(|it| now.since(it.heard));
            heard.is_some_and(|age| age < AGENT_TIMEOUT)
        };
        let heard = endpoints.iter().filter(|it| known(&it.1.borrow().group));
        let reported = heard.count() * 2 > endpoints.len();
        let records: Vec<TargetStats> =
            endpoints.iter().map(|it| it.1.borrow().record).collect();
        let usual = ServiceLatency::new(records.iter());
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
            let locality = if near {
                TargetLocality::SameZone
            } else {
                TargetLocality::OtherZone
            };
            let latency_ms = match group {
                Some(_) => usual.lockstep_rank_latency_ms(),
                None => usual.target_latency_ms(&held.record, now),
            };
            let candidate = TargetCandidate {
                stats: &held.record,
                slots: target.slots,
                locality,
                service_time_percent_of_normal: group
                    .map_or(100, |it| it.pace),
                latency_ms,
            };
            let cost = pick::expected_request_cost_ms(&candidate, now);
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

    /// Requests a second that a target of a service would get if all were
    /// sent as many.
    fn part(&self, service: &str, targets: usize, now: Millis) -> f64 {
        let entries = self.peers.borrow().entries() as f64;
        let budgets = self.budgets.borrow();
        let usual = budgets.get(service);
        let usual = usual.map_or(0.0, |it| it.estimate_requests(SECOND, now));
        usual * entries / targets.max(1) as f64
    }

    /// Requests that other entries send to a service without a report that
    /// shows them. Entries see much the same, so they send what this one does:
    /// as often as usual, and in a moment what it sent in a moment.
    fn unseen(
        &self,
        service: &str,
        records: &[TargetStats],
        now: Millis,
    ) -> f64 {
        let others = (self.peers.borrow().entries() - 1) as f64;
        let sent: u32 =
            records.iter().map(TargetStats::requests_sent_since_report).sum();
        let budgets = self.budgets.borrow();
        let usual = budgets.get(service);
        let usual =
            usual.map_or(0.0, |it| it.estimate_requests(UNSEEN_INTERVAL, now));
        usual.max(f64::from(sent)) * others
    }

    /// Connections that this entry may have to one target of a service.
    fn connections(&self, service: &str) -> usize {
        let catalog = self.catalog.borrow();
        let service = catalog.as_ref().and_then(|it| it.0.service(service));
        let Some(most) = service.and_then(|it| it.max_connections_per_target)
        else {
            return usize::MAX;
        };
        let entries = self.peers.borrow().entries();
        (most as usize / entries).max(MIN_CONNECTIONS)
    }
}

const SECOND: Millis = Millis(1_000);

/// How long the first request after a cooldown is waited for before another
/// one is sent.
const PROBE_TIMEOUT: Millis = Millis(400);

/// The time for which requests of others are allowed for: two reports of an
/// agent. `cowsliproad-bench routing` compares it with others.
const UNSEEN_INTERVAL: Millis = Millis(800);

/// Connections to a target that an entry may have however many entries there
/// are.
const MIN_CONNECTIONS: usize = 1;
