//! Work that ends the targets that run it.
//!
//! A caller's tries have ids of their own and go to any entry, so work that
//! ends its target is new to each of them, and ends one target after the
//! other, unless it is known by what it is: [`Work`]. Each entry notes under
//! which work a target ended and tells the others ([`Suspect`]). Once
//! [`ENDS`] targets have ended under one piece of work, all entries refuse
//! it ([`Ledger::verdict`]).
//!
//! Where targets go in lock-step, the end of one stops its whole group, and
//! three would stop it three times. So what a rank ran at its end and had not
//! begun to answer is suspended at once ([`Ledger::suspend`]): not sent
//! anywhere for [`SUSPENSION_TTL`], and twice as long after each further end.
//! That rejects, for so long, requests that ran there by chance; it is bounded
//! by what one rank runs, and what some target outlived is not suspended.
//!
//! Others work beside it, and targets end for other reasons, so that alone
//! proves little, and what it can prove wrongly is kept small:
//!
//! * a target that outlives work excuses it of all ends that were known then,
//!   at all entries, and from then on it takes [`PROVEN_ENDS`] more: what
//!   comes often is at many targets that are killed, and outlived all along;
//! * an end that was none is taken back everywhere once the target shows
//!   life ([`Ledger::lives`]): a target that is cut off looks like one that
//!   ended. Its next end is another ([`Ledger::end_of`]), and counts;
//! * all of it is forgotten [`SUSPECT_TTL`] after the work came last, and
//!   [`REJECT_TTL`] after it was first refused, so that targets that were
//!   mended get it again. Trying it sooner would cost a target each time.
//!
//! What entries tell one another only ever grows (ends, excuses, lives), so it
//! may be heard late, twice and in any order, and all come to the same.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap, HashSet},
};

use cowsliproad_kernel::{clock::Millis, gossip::Suspect};

use self::case::Case;
pub use self::work::{End, Work};

mod case;
mod work;

/// Targets that may end under work that none is known to have outlived.
/// Fewer would refuse what was there by chance when two targets were killed.
pub const ENDS: usize = 3;

/// The same for work that some target outlived in the last minutes, counted
/// anew each time that one does.
pub const PROVEN_ENDS: usize = 6;

/// How long work is suspected after it came last, by any entry's clock.
pub const SUSPECT_TTL: Millis = Millis(10 * 60 * 1_000);

/// How long it is refused at most. Three targets an hour are the price of
/// finding out whether it still ends them.
pub const REJECT_TTL: Millis = Millis(60 * 60 * 1_000);

/// How long work is suspended under which a rank of a group ended.
pub const SUSPENSION_TTL: Millis = Millis(30_000);

/// How long own news is told: eight digests, of which seven may be lost.
const BROADCAST_TTL: Millis = Millis(4_000);

/// How long what was heard is passed on, for entries that whoever learnt it
/// doesn't reach: two digests. Only from the second end on, as otherwise all
/// that runs on killed targets would be passed on.
const RELAY_TTL: Millis = Millis(1_000);
const PASSED_ON_ENDS: usize = 2;

/// Pieces of work that are told of at a time, 8 to 35 bytes each: a third of
/// the largest datagram.
const MAX_UPDATES: usize = 512;

/// Pieces of work that are suspected, 350 bytes each. What a target ran and
/// had waiting at its end is some 50.
const MAX_CASES: usize = 4_096;

/// Ends that are held against one piece of work, and those that it is excused
/// of.
const MAX_ENDS: usize = 8;
const MAX_EXCUSED: usize = 16;

/// Ends that were none. Those of a whole availability zone that was cut off.
const MAX_LIVES: usize = 1_024;

/// Ends of one start of a target that may be taken back. One that is cut off
/// more often in an hour is no longer believed to have ended.
const MAX_RETURNS: usize = 16;

/// Outlived work that is remembered, 9 bytes each, and for how long.
const MAX_OUTLIVED: usize = 4_096;
const OUTLIVED_TTL: Millis = Millis(5 * 60 * 1_000);

/// What a word may take on its way, and be older than it says. Each telling
/// of one another would keep work in mind for that much longer.
const MAX_LATENCY: Millis = Millis(1_000);

/// The longest suspension, before what is suspended is refused.
const MAX_SUSPENSION: Millis = Millis(SUSPENSION_TTL.0 << (ENDS - 2));

/// How often what is due is looked for.
const SWEEP_INTERVAL: Millis = Millis(10_000);

/// Times before the start of the process, as others tell them, are counted
/// from so long before it.
const BEFORE: Millis = Millis(24 * 60 * 60 * 1_000);

/// What becomes of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It may run.
    Free,
    /// It is refused, and may be tried again after this time.
    Refused(Millis),
    /// It is suspended for this time.
    Suspended(Millis),
}

/// How news changed what is known of a piece of work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Not at all.
    None,
    /// It is suspected, or less so.
    Suspected,
    /// It is suspended.
    Suspended,
    /// It is refused from now on.
    Refused,
    /// It is refused no longer.
    Freed,
}

/// What an entry knows of work that targets ended under.
#[derive(Debug, Default)]
pub struct Ledger {
    cases: HashMap<Work, Case>,
    /// Ends that were none, and when that was last heard.
    lives: HashMap<End, Millis>,
    outlived: Outlived,
    swept: Millis,
}

/// Work that targets outlived, of the time before and the one before that.
#[derive(Debug, Default)]
struct Outlived {
    newer: HashSet<Work>,
    older: HashSet<Work>,
    since: Millis,
}

impl Ledger {
    /// Nothing known.
    pub fn new() -> Ledger {
        Ledger::default()
    }

    /// Whether work may run now.
    pub fn verdict(&self, work: Work, now: Millis) -> Verdict {
        if self.cases.is_empty() {
            return Verdict::Free;
        }
        let now = now + BEFORE;
        let case = self.cases.get(&work).filter(|it| !it.is_over(now));
        let Some(case) = case else { return Verdict::Free };
        if let Some(since) = case.since {
            let longest = (since + REJECT_TTL).since(now);
            return Verdict::Refused(SUSPECT_TTL.min(longest));
        }
        case.suspension(now).map_or(Verdict::Free, Verdict::Suspended)
    }

    /// Suspends work under which a rank of a group ended, unless some target
    /// is known to have outlived it.
    pub fn suspend(&mut self, work: Work, now: Millis) -> Change {
        let now = now + BEFORE;
        let Some(case) = self.cases.get_mut(&work) else {
            return Change::None;
        };
        if case.proven || case.ends.is_empty() || case.since.is_some() {
            return Change::None;
        }
        let doublings = case.ends.len() as u32 - 1;
        case.suspended_until =
            Some(now + Millis(SUSPENSION_TTL.0 << doublings));
        case.told_until = now + BROADCAST_TTL;
        Change::Suspended
    }

    /// Notes that refused work came again.
    pub fn sighted(&mut self, work: Work, now: Millis) {
        if let Some(case) = self.cases.get_mut(&work) {
            case.seen = now + BEFORE;
        }
    }

    /// Notes that a target ended under work.
    pub fn ended(&mut self, work: Work, end: End, now: Millis) -> Change {
        let seen = Suspect {
            work_digest: work.0,
            crashes: vec![end.0],
            excused_crashes: Vec::new(),
            survived: false,
            since_last_seen: Millis(0),
            rejected_for: None,
            suspended_for: None,
        };
        self.learn(&seen, BROADCAST_TTL, now)
    }

    /// Notes that a target outlived work.
    pub fn outlived(&mut self, work: Work, now: Millis) -> Change {
        self.outlived.note(work, now);
        let now = now + BEFORE;
        let Some(case) = self.cases.get_mut(&work) else {
            return Change::None;
        };
        if case.proven && case.ends.is_empty() {
            return Change::None;
        }
        case.proven = true;
        for end in std::mem::take(&mut case.ends) {
            case.excuse(end);
        }
        case.told_until = now + BROADCAST_TTL;
        match case.judge(now) {
            Change::None => Change::Suspected,
            change => change,
        }
    }

    /// Takes in what another entry, or one before this process, knows.
    pub fn hear(&mut self, told: &Suspect, now: Millis) -> Change {
        self.learn(told, RELAY_TTL, now)
    }

    /// Takes something in that is told for a time.
    fn learn(
        &mut self,
        told: &Suspect,
        telling: Millis,
        now: Millis,
    ) -> Change {
        let now = now + BEFORE;
        let refused = told.rejected_for.unwrap_or_default();
        if told.since_last_seen >= SUSPECT_TTL || refused >= REJECT_TTL {
            return Change::None;
        }
        let work = Work(told.work_digest);
        if !self.cases.contains_key(&work) {
            self.make_room();
        }
        let outlived = self.outlived.holds(work);
        let case = self.cases.entry(work).or_insert_with(|| Case {
            ends: BTreeSet::new(),
            excused: Vec::new(),
            proven: outlived,
            seen: now - told.since_last_seen,
            since: None,
            suspended_until: None,
            told_until: now,
        });
        if case.is_over(now) {
            case.since = None;
            case.suspended_until = None;
            case.ends.clear();
        }
        if now.since(case.seen) > told.since_last_seen + MAX_LATENCY {
            case.seen = now - told.since_last_seen;
        }
        let before = (case.ends.len(), case.excused.len(), case.proven);
        // Whoever tells of proven work as of any other, or of an end that was
        // excused or none, hasn't heard it, and would soon refuse what
        // everybody sends.
        let mut misses = case.proven && !told.survived;
        case.proven |= told.survived;
        for end in told.excused_crashes.iter().map(|it| End(*it)) {
            case.excuse(end);
        }
        for end in told.crashes.iter().map(|it| End(*it)) {
            if let Some(heard) = self.lives.get_mut(&end) {
                *heard = now;
            } else if case.excused.contains(&end) {
                misses = true;
            } else if case.ends.len() < MAX_ENDS {
                case.ends.insert(end);
            }
        }
        let after = (case.ends.len(), case.excused.len(), case.proven);
        // Once for each end: later words of it may have waited in a process
        // that stood still.
        let may_extend = after.0 > before.0 || case.suspended_until.is_none();
        let suspends = may_extend && case.extend(told.suspended_for, now);
        let is_news = after != before || suspends;
        let is_passed_on =
            case.ends.len() >= PASSED_ON_ENDS || case.proven || suspends;
        if misses || is_news && (is_passed_on || telling == BROADCAST_TTL) {
            case.told_until = case.told_until.max(now + telling);
        }
        let change = case.judge(now);
        if let (Some(since), Some(_)) = (&mut case.since, told.rejected_for) {
            *since = (*since).min(now - refused);
        }
        match change {
            Change::None if suspends => Change::Suspended,
            Change::None if is_news => Change::Suspected,
            change => change,
        }
    }

    /// Notes that a target that was taken for ended lives. Returns the work
    /// that is refused no longer.
    pub fn lives(&mut self, end: End, now: Millis) -> Vec<Work> {
        let now = now + BEFORE;
        if self.took_back(end) {
            return Vec::new();
        }
        self.lives.insert(end, now);
        if self.lives.len() > MAX_LIVES {
            let oldest = self.lives.iter().min_by_key(|it| it.1);
            if let Some(oldest) = oldest.map(|it| *it.0) {
                self.lives.remove(&oldest);
            }
        }
        let mut freed = Vec::new();
        for (work, case) in &mut self.cases {
            if case.ends.remove(&end) && case.judge(now) == Change::Freed {
                freed.push(*work);
            }
        }
        freed
    }

    /// The end of what started at `start` under a name, as it is told of now:
    /// the first that was not taken back.
    pub fn end_of(&self, target: &str, start: u64) -> End {
        let mut end = End::new(target, start);
        for _ in 0..MAX_RETURNS {
            if !self.took_back(end) {
                break;
            }
            end = end.next();
        }
        end
    }

    /// Whether an end is known to have been none.
    pub fn took_back(&self, end: End) -> bool {
        self.lives.contains_key(&end)
    }

    /// Whether anything is known of a piece of work.
    pub fn knows(&self, work: Work) -> bool {
        self.cases.contains_key(&work)
    }

    /// Whether an end is held against any work.
    pub fn holds(&self, end: End) -> bool {
        self.cases.values().any(|it| it.ends.contains(&end))
    }

    /// How many ends are held against work.
    pub fn ends(&self, work: Work) -> usize {
        self.cases.get(&work).map_or(0, |it| it.ends.len())
    }

    /// Pieces of work that are kept.
    pub fn cases(&self) -> usize {
        self.cases.len()
    }

    /// What is known of a piece of work, to be told or kept.
    pub fn suspect(&self, work: Work, now: Millis) -> Option<Suspect> {
        let now = now + BEFORE;
        self.cases.get(&work).map(|it| it.suspect(work, now))
    }

    /// What others are told: what is refused, and news.
    pub fn updates(&self, now: Millis) -> Vec<Suspect> {
        self.told(now, |case, now| case.is_news(now))
    }

    /// The same, and what is suspended, for others that may have missed it.
    pub fn renewals(&self, now: Millis) -> Vec<Suspect> {
        self.told(now, |case, now| {
            case.is_news(now) || case.suspension(now).is_some()
        })
    }

    fn told(
        &self,
        now: Millis,
        is_told: impl Fn(&Case, Millis) -> bool,
    ) -> Vec<Suspect> {
        let now = now + BEFORE;
        let mut told: Vec<(&Work, &Case)> =
            self.cases.iter().filter(|it| is_told(it.1, now)).collect();
        // Own news lasts longer than what is passed on.
        told.sort_by_key(|(_, case)| {
            let ends = Reverse(case.ends.len());
            (case.since.is_none(), ends, Reverse(case.told_until))
        });
        told.truncate(MAX_UPDATES);
        told.into_iter().map(|it| it.1.suspect(*it.0, now)).collect()
    }

    /// All that is known, for a peer that was out of reach.
    pub fn known(&self, now: Millis) -> Vec<Suspect> {
        let now = now + BEFORE;
        let kept = self.cases.iter().filter(|it| !it.1.is_over(now));
        let mut kept: Vec<Suspect> =
            kept.map(|it| it.1.suspect(*it.0, now)).collect();
        kept.sort_by_key(|it| (Reverse(it.crashes.len()), it.since_last_seen));
        kept.truncate(MAX_UPDATES);
        kept
    }

    /// Ends that were none, as far as that is news.
    pub fn taken_back(&self, now: Millis) -> Vec<u64> {
        let now = now + BEFORE;
        let news = |at: Millis| now.since(at) < BROADCAST_TTL;
        let told = self.lives.iter().filter(|it| news(*it.1));
        told.take(MAX_UPDATES).map(|it| it.0.0).collect()
    }

    /// Forgets what is over, and says which work that was.
    pub fn sweep(&mut self, now: Millis) -> Vec<Work> {
        if now.since(self.swept) < SWEEP_INTERVAL {
            return Vec::new();
        }
        self.swept = now;
        let now = now + BEFORE;
        self.lives.retain(|_, at| now.since(*at) < REJECT_TTL);
        let is_over = |it: &Case| it.is_over(now);
        let over = self.cases.iter().filter(|it| is_over(it.1));
        let over: Vec<Work> = over.map(|it| *it.0).collect();
        for work in &over {
            self.cases.remove(work);
        }
        over
    }

    /// Drops what is least worth keeping: not refused, the fewest ends, the
    /// longest unseen.
    fn make_room(&mut self) {
        if self.cases.len() < MAX_CASES {
            return;
        }
        let worth = |it: &Case| (it.since.is_some(), it.ends.len(), it.seen);
        let least = self.cases.iter().min_by_key(|it| worth(it.1));
        if let Some(least) = least.map(|it| *it.0) {
            self.cases.remove(&least);
        }
    }
}

impl Outlived {
    fn note(&mut self, work: Work, now: Millis) {
        let is_old = now.since(self.since) >= OUTLIVED_TTL;
        if is_old || self.newer.len() >= MAX_OUTLIVED {
            self.older = std::mem::take(&mut self.newer);
            self.since = now;
        }
        self.newer.insert(work);
    }

    fn holds(&self, work: Work) -> bool {
        self.newer.contains(&work) || self.older.contains(&work)
    }
}
