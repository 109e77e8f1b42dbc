//! Which target a request goes to, from what the entry believes of all.

use std::{cell::RefCell, rc::Rc};

use cowsliproad_kernel::clock::Millis;
use cowsliproad_routing::{
    fleet::Target,
    pick::{self, Candidate, Distance, Record, Usual},
};

use super::{Choice, Entry, Group, Seat, groups::SILENT_TIME};

impl Entry {
    /// A target among those of a service that `fits` lets through: the one
    /// with the least cost, or, where agents report, one of those with little
    /// cost; see [`pick::spread`].
    pub fn choose(
        &self,
        service: &str,
        now: Millis,
        fits: impl Fn(&Target) -> bool,
    ) -> Option<Choice> {
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
        let mut choices: Vec<Choice> = Vec::new();
        let mut slots = 1;
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
            drop(held);
            slots = slots.max(target.slots);
            choices.push(Choice { target: target.clone(), seat, cost });
        }
        let costs: Vec<f64> = choices.iter().map(|it| it.cost).collect();
        let unseen =
            if reported { self.unseen(service, &records, now) } else { 0.0 };
        let step = usual.in_step() / f64::from(slots);
        let place = pick::spread(&costs, step, unseen, self.draw())?;
        Some(choices.swap_remove(place))
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

/// The time for which requests of others are allowed for: two reports of an
/// agent. Behind 31 entries 0.2% of the requests then find no free slot at
/// one of 72 ranks, 0.5% with one report, and 38% with nothing allowed for
/// (`cowsliproad-bench routing`).
const UNSEEN_TIME: Millis = Millis(800);

/// Connections to a target that an entry may have however many entries there
/// are: one that is busy and one for the next request.
const LEAST_CONNECTIONS: usize = 2;
