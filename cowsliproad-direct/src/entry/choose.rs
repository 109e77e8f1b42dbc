//! Which target a request goes to, from what the entry believes of all.

use std::{cell::RefCell, rc::Rc};

use cowsliproad_kernel::clock::Millis;
use cowsliproad_routing::{
    fleet::Target,
    pick::{self, Candidate, Distance, Record, Usual},
};

use super::{Choice, Entry, Group, Seat, groups::SILENT_TIME};

/// What a request wishes of a target.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    /// The service.
    pub service: &'a str,
    /// When it is chosen.
    pub now: Millis,
    /// How long the request can wait for a place at a target that names a
    /// limit; 0 if it goes elsewhere then.
    pub patience: Millis,
    /// Whether it may ask for such a place.
    pub asks: bool,
}

/// How long targets that name limits have no place.
#[derive(Clone, Copy, Debug)]
pub struct Shortage {
    /// When one may have.
    pub until: Millis,
    /// Whether there is no other target that may be usable before.
    pub by_limits_alone: bool,
}

/// A target that a request could go to, or could but for its limit.
struct Seen {
    choice: Choice,
    slots: u32,
    /// When a place there may be asked for, if one has to be.
    free: Option<Millis>,
}

impl Entry {
    /// A target among those of a service that `fits` lets through: the one
    /// with the least cost, or, where agents report, one of those with little
    /// cost; see [`pick::spread`]. One that takes fewer requests than its part
    /// is chosen whenever it costs no more, so that it gets what it takes.
    pub fn choose(
        &self,
        wish: Wish,
        fits: impl Fn(&Target) -> bool,
    ) -> Option<Choice> {
        let Wish { service, now, patience, asks } = wish;
        let (mut seen, view) = self.look_at(service, now, fits);
        seen.retain(|it| {
            let seat = it.choice.seat.borrow();
            it.free.is_none_or(|free| {
                let idle = patience > Millis(0) || !seat.asking;
                asks && idle && free <= now + patience
            })
        });
        let costs: Vec<f64> = seen.iter().map(|it| it.choice.cost).collect();
        let slots = seen.iter().map(|it| it.slots).max().unwrap_or(1);
        let step = view.usual.in_step() / f64::from(slots);
        let place = pick::spread(&costs, step, view.unseen, self.draw())?;
        let binds =
            |it: &Choice| it.limit.is_some_and(|it| it.a_second() < view.part);
        let scarce = seen.iter().map(|it| &it.choice);
        let scarce = scarce
            .enumerate()
            .filter(|(_, it)| binds(it) && it.cost <= costs[place])
            .min_by(|(_, a), (_, b)| a.cost.total_cmp(&b.cost))
            .map(|it| it.0);
        Some(seen.swap_remove(scarce.unwrap_or(place)).choice)
    }

    /// When a place may be free at a target that a request could go to but
    /// for its limit, and whether limits are all that keeps it from targets.
    pub fn full_until(
        &self,
        service: &str,
        now: Millis,
        fits: impl Fn(&Target) -> bool,
    ) -> Option<Shortage> {
        let (seen, _) = self.look_at(service, now, &fits);
        let until = seen.iter().filter_map(|it| it.free).min()?;
        let fleet = self.fleet.borrow();
        let own = fleet.ready().filter(|it| &*it.service == service);
        let all = own.filter(|it| fits(it)).count();
        Some(Shortage { until, by_limits_alone: seen.len() == all })
    }

    /// The targets of a service that work and that `fits` lets through.
    fn look_at(
        &self,
        service: &str,
        now: Millis,
        fits: impl Fn(&Target) -> bool,
    ) -> (Vec<Seen>, View) {
        let fleet = self.fleet.borrow();
        let most = self.connections(service);
        let zone = &self.settings().zone;
        let own = fleet.ready().filter(|it| &*it.service == service);
        let seated: Vec<(&Target, Rc<RefCell<Seat>>)> =
            own.map(|it| (it, self.seat(&it.id))).collect();
        // Where most agents report, a target whose agent is silent is not
        // idle but unknown: its VM may be frozen, or it may be the slow one.
        let known = |group: &Option<Group>| {
            let heard = group.as_ref().map(|it| now.since(it.heard));
            heard.is_some_and(|age| age < SILENT_TIME)
        };
        let heard = seated.iter().filter(|it| known(&it.1.borrow().group));
        let reported = heard.count() * 2 > seated.len();
        let records: Vec<Record> =
            seated.iter().map(|it| it.1.borrow().record).collect();
        let usual = Usual::new(records.iter());
        let unseen =
            if reported { self.unseen(service, &records, now) } else { 0.0 };
        let part = self.part(service, seated.len(), now);
        let mut seen: Vec<Seen> = Vec::new();
        for (target, seat) in seated {
            let held = seat.borrow();
            let group = held.group.as_ref();
            let closed = group.is_some_and(|it| !self.is_open(it));
            if closed
                || reported && !known(&held.group)
                || held.open >= most && held.pool.is_empty()
                || !fits(target)
            {
                continue;
            }
            let near = target.zone == *zone;
            let distance = if near { Distance::Near } else { Distance::Far };
            let usual_ms = match group {
                Some(_) => usual.in_step(),
                None => usual.alone(&held.record),
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
            let needs = limit.filter(|it| !held.has_place(*it, now));
            let free = needs.map(|_| held.full_until);
            drop(held);
            let target = target.clone();
            let slots = target.slots;
            let choice = Choice {
                target,
                seat,
                cost,
                connections: most,
                limit,
                place: None,
            };
            seen.push(Seen { choice, slots, free });
        }
        (seen, View { usual, unseen, part })
    }

    /// Requests a second that a target of a service would get if all were
    /// sent as many.
    fn part(&self, service: &str, targets: usize, now: Millis) -> f64 {
        let entries = self.peers.borrow().entries() as f64;
        let budgets = self.budgets.borrow();
        let usual = budgets.get(service);
        let usual = usual.map_or(0.0, |it| it.usual(SECOND, now));
        usual * entries / targets.max(1) as f64
    }

    /// Requests that other entries send to a service without a report that
    /// shows them. Entries see much the same, so they send what this one does:
    /// as often as usual, and in a moment what it sent in a moment.
    fn unseen(&self, service: &str, records: &[Record], now: Millis) -> f64 {
        let others = (self.peers.borrow().entries() - 1) as f64;
        let sent: u32 = records.iter().map(Record::unreported).sum();
        let budgets = self.budgets.borrow();
        let usual = budgets.get(service);
        let usual = usual.map_or(0.0, |it| it.usual(UNSEEN_TIME, now));
        usual.max(f64::from(sent)) * others
    }

    /// Connections that this entry may have to one target of a service.
    fn connections(&self, service: &str) -> usize {
        let catalog = self.catalog.borrow();
        let service = catalog.as_ref().and_then(|it| it.0.service(service));
        let Some(most) = service.and_then(|it| it.connections) else {
            return usize::MAX;
        };
        let entries = self.peers.borrow().entries();
        (most as usize / entries).max(LEAST_CONNECTIONS)
    }
}

/// What an entry sees of a service.
struct View {
    usual: Usual,
    /// Requests of others that no report shows.
    unseen: f64,
    /// Requests a second that a target would get if all were sent as many.
    part: f64,
}

const SECOND: Millis = Millis(1_000);

/// The time for which requests of others are allowed for: two reports of an
/// agent. Behind 31 entries 0.2% of the requests then find no free slot at
/// one of 72 ranks, 0.5% with one report, and 38% with nothing allowed for
/// (`cowsliproad-bench routing`).
const UNSEEN_TIME: Millis = Millis(800);

/// Connections to a target that an entry may have however many entries there
/// are.
const LEAST_CONNECTIONS: usize = 1;
