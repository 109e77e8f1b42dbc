//! What an entry believes of the targets: which there are, where, and which
//! may get new requests.
//!
//! News comes from the platform's log, from other entries and from what the
//! entry meets itself, in no certain order:
//!
//! * an incarnation that was seen leaving stays so: an older entry of it, a
//!   repeated one or a slow peer never brings it back;
//! * a target may start again under its name. What was known of it, its
//!   leaving included, was of an earlier [`Start`] and says nothing of this
//!   one, and nothing that is said of the earlier one later counts;
//! * a withdrawal counts at once while the log has been read without a gap.
//!   After a gap it may be a lapse, since targets that couldn't renew their
//!   entries drop out of the log too. Then the target stays in use for
//!   [`Config::with_return_time`], in which a live one is back;
//! * while the log is away nothing is withdrawn. What the entry meets itself
//!   (another incarnation at the address) counts all the same.

use std::{collections::BTreeMap, net::SocketAddr};

use cowsliproad_kernel::{Name, clock::Millis};

/// Whether a target takes new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It does.
    Ready,
    /// It finishes what it has.
    Leaving,
}

/// Which of the starts under one name a target is of, by the time of the
/// start; zero where targets don't state it.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Start(pub u64);

/// A target as it announced itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Its name.
    pub id: Name,
    /// Its start under that name.
    pub start: Start,
    /// The service that it belongs to.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: State,
    /// Counts the announcements of this start.
    pub sequence: u64,
}

/// How an incarnation left, as entries tell one another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Parting {
    /// It said so. Only a later start is another matter.
    ForGood(Start),
    /// Its entry went after this announcement. It may have lapsed, and a
    /// later announcement brings it back.
    After(Start, u64),
}

/// What a piece of news changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing.
    None,
    /// The target is new, or back.
    Joined,
    /// The target is new under a name that was known: nothing that was known
    /// of it holds.
    Restarted,
    /// The target gets nothing new from now on.
    Left,
    /// The target was about to count as gone, and is back.
    Returned,
}

/// Times of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    return_time: Millis,
}

impl Config {
    /// The usual times.
    pub fn new() -> Config {
        Config { return_time: RETURN_TIMEOUT }
    }

    /// How long after a gap a live target needs to be in the log again.
    pub fn with_return_time(self, return_time: Millis) -> Config {
        Config { return_time }
    }
}

impl Default for Config {
    fn default() -> Config {
        Config::new()
    }
}

/// Targets renew lapsed entries within about two seconds of the log's
/// return, as its operators say; some more for the way to us.
const RETURN_TIMEOUT: Millis = Millis(2_300);

/// Incarnations whose leaving is remembered. One entry each is some 60 bytes.
const REMEMBERED: usize = 2_048;

/// The targets.
#[derive(Clone, Debug)]
pub struct Fleet {
    config: Config,
    targets: BTreeMap<Name, Belief>,
    /// Incarnations that left, with their last sequence.
    left: BTreeMap<Name, Departure>,
    /// Until when a withdrawal may be a lapse.
    doubtful_until: Millis,
}

#[derive(Clone, Debug)]
struct Belief {
    target: Target,
    /// When its withdrawal counts, if it was withdrawn.
    lapsing: Option<Millis>,
}

#[derive(Clone, Copy, Debug)]
struct Departure {
    start: Start,
    sequence: u64,
    at: Millis,
    way: Way,
}

/// How an incarnation left.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    /// It said so: it never comes back.
    Announced,
    /// Its entry went; a later announcement brings it back.
    Withdrawn,
}

impl Fleet {
    /// No targets yet.
    pub fn new(config: Config) -> Fleet {
        Fleet {
            config,
            targets: BTreeMap::new(),
            left: BTreeMap::new(),
            doubtful_until: Millis(0),
        }
    }

    /// Takes an announcement in.
    pub fn announce(&mut self, target: Target, now: Millis) -> Change {
        if let Some(departure) = self.left.get(&target.id)
            && (target.start < departure.start
                || target.start == departure.start
                    && (departure.way == Way::Announced
                        || target.sequence <= departure.sequence))
        {
            return Change::None;
        }
        let mut change = Change::Joined;
        if let Some(known) = self.targets.get_mut(&target.id) {
            let age = |it: &Target| (it.start, it.sequence);
            if age(&target) < age(&known.target) {
                return Change::None;
            }
            if target.start > known.target.start {
                change = Change::Restarted;
            } else if target.state == State::Ready {
                let lapsing = known.lapsing.take();
                known.target = target;
                return lapsing.map_or(Change::None, |_| Change::Returned);
            }
        }
        if target.state == State::Leaving {
            let (start, last) = (target.start, target.sequence);
            return self.depart(&target.id, start, last, now, Way::Announced);
        }
        self.left.remove(&target.id);
        let id = target.id.clone();
        self.targets.insert(id, Belief { target, lapsing: None });
        change
    }

    /// Notes that a start of a target leaves for good, as it said itself.
    pub fn leave(&mut self, id: &str, start: Start, now: Millis) -> Change {
        self.hear_parting(id, Parting::ForGood(start), now)
    }

    /// Takes a withdrawal from the log in.
    pub fn withdraw(&mut self, id: &str, now: Millis) -> Change {
        if now < self.doubtful_until {
            if let Some(known) = self.targets.get_mut(id) {
                known.lapsing.get_or_insert(self.doubtful_until);
            }
            return Change::None;
        }
        self.depart_known(id, now)
    }

    /// Withdraws all that a complete list does not hold. It tells the start of
    /// those that it holds; an older one doesn't count.
    pub fn keep_only(
        &mut self,
        listed: impl Fn(&str) -> Option<Start>,
        now: Millis,
    ) -> Vec<Name> {
        let is_missing = |it: &&Target| listed(&it.id) < Some(it.start);
        let missing: Vec<Name> =
            self.ready().filter(is_missing).map(|it| it.id.clone()).collect();
        let left = |id: &Name| self.withdraw(id, now) == Change::Left;
        missing.into_iter().filter(left).collect()
    }

    /// Notes that the log can be read again after a gap.
    pub fn regained(&mut self, now: Millis) {
        self.doubtful_until = now + self.config.return_time;
    }

    /// When the next withdrawal counts, unless its target is back by then.
    pub fn next_lapse(&self) -> Option<Millis> {
        self.targets.values().filter_map(|it| it.lapsing).min()
    }

    /// Lets withdrawals count whose time has come. What was announced by then
    /// has to be known, so the log is read before.
    pub fn tick(&mut self, now: Millis) -> Vec<Name> {
        let due = |it: &Belief| it.lapsing.is_some_and(|at| at <= now);
        let gone: Vec<Name> = self
            .targets
            .iter()
            .filter(|(_, belief)| due(belief))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.depart_known(id, now);
        }
        gone
    }

    /// Whether new requests may go to an incarnation.
    pub fn is_ready(&self, id: &str) -> bool {
        self.targets.contains_key(id)
    }

    /// A target that takes new requests.
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.targets.get(id).map(|it| &it.target)
    }

    /// The targets that take new requests.
    pub fn ready(&self) -> impl Iterator<Item = &Target> {
        self.targets.values().map(|it| &it.target)
    }

    /// Incarnations that left since a moment, for other entries.
    pub fn left_since(
        &self,
        since: Millis,
    ) -> impl Iterator<Item = (&Name, Parting)> {
        let fresh = move |it: &Departure| it.at >= since;
        let fresh = self.left.iter().filter(move |it| fresh(it.1));
        fresh.map(|(id, it)| match it.way {
            Way::Announced => (id, Parting::ForGood(it.start)),
            Way::Withdrawn => (id, Parting::After(it.start, it.sequence)),
        })
    }

    /// Takes in what another entry says of one that left. What it saw go
    /// may be back since, as this one knows.
    pub fn hear_parting(
        &mut self,
        id: &str,
        parting: Parting,
        now: Millis,
    ) -> Change {
        let known = self.targets.get(id).map(|it| &it.target);
        let newer = |start: Start, last: u64| {
            known.is_some_and(|it| (it.start, it.sequence) > (start, last))
        };
        match parting {
            Parting::ForGood(start) if newer(start, u64::MAX) => Change::None,
            Parting::ForGood(start) => {
                self.depart(id, start, 0, now, Way::Announced)
            }
            Parting::After(start, last) if newer(start, last) => Change::None,
            Parting::After(start, last) => {
                self.depart(id, start, last, now, Way::Withdrawn)
            }
        }
    }

    /// Notes that the entry of a target went.
    fn depart_known(&mut self, id: &str, now: Millis) -> Change {
        self.depart(id, self.start_of(id), 0, now, Way::Withdrawn)
    }

    /// The newest start under a name that is known, of one that left too.
    fn start_of(&self, id: &str) -> Start {
        let known = self.targets.get(id).map(|it| it.target.start);
        let left = self.left.get(id).map(|it| it.start);
        known.max(left).unwrap_or_default()
    }

    fn depart(
        &mut self,
        id: &str,
        start: Start,
        sequence: u64,
        now: Millis,
        way: Way,
    ) -> Change {
        let known = self.targets.remove(id);
        let same = known.as_ref().filter(|it| it.target.start == start);
        let before = same.map_or(0, |it| it.target.sequence);
        let sequence = sequence.max(before);
        let departure = Departure { start, sequence, at: now, way };
        let held = self.left.entry(id.into()).or_insert(departure);
        if start > held.start {
            *held = departure;
        } else if start == held.start {
            if way == Way::Announced {
                held.way = way;
            }
            held.sequence = held.sequence.max(sequence);
        }
        self.forget();
        if known.is_some() { Change::Left } else { Change::None }
    }

    fn forget(&mut self) {
        if self.left.len() <= REMEMBERED {
            return;
        }
        let oldest = self.left.iter().min_by_key(|it| it.1.at);
        if let Some(id) = oldest.map(|it| it.0.clone()) {
            self.left.remove(&id);
        }
    }
}
