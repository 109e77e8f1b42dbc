//! How many requests a second a target takes from all VMs together.
//!
//! A target says so in its answers, for as long as it holds. Two questions
//! are decided here:
//!
//! * *What holds now* ([`CurrentLimit`]). Answers overtake one another, wait at VMs
//!   that stand still, and are told on by others. What allows less counts
//!   from when it was read. What allows more, or lifts the limit, counts only
//!   from when its request was sent: an answer that was on its way when the
//!   target began to name a limit says nothing against it.
//! * *Who may send* ([`Limiter`]). Shares of a limit don't work: of one request
//!   a second, a hundred entries would each have one in a hundred seconds, and
//!   the target would be idle before the one that has callers. So for each
//!   target one entry keeps the pace, and the others ask it for a permit each
//!   time. Whoever keeps the pace anew begins as if a permit had just been
//!   given, and gives out no larger part of the limit than the part of all
//!   entries that it reaches, so the parts that a cut leaves make up one limit.

use cowsliproad_kernel::clock::Millis;

/// A target that takes less than this is asked all the same, once in ten
/// seconds by all together: only its answer tells that the limit is over.
const MIN_RATE: f64 = 0.1;

/// How far back a permit may count that nobody asked for in time. A permit is
/// asked for when a request comes, some time after it is free.
const LATENESS_MS: f64 = 250.0;

/// After so long, and so many times from one permit to the next, without a
/// question somebody else may have kept the pace.
const RESUMPTION_TIMEOUT: Millis = Millis(1_000);
const ASKED_INTERVALS: f64 = 2.0;

/// What is known of the last answer of a target is no older than this where
/// entries reach one another.
const NEWS_MS: f64 = 4_000.0;

/// The longest text that is taken for a number.
const MAX_DIGITS: usize = 24;

/// Requests a second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(f64);

impl Rate {
    /// A rate, unless it is no number or less than nothing.
    pub fn new(per_second: f64) -> Option<Rate> {
        let sound = per_second.is_finite() && per_second >= 0.0;
        sound.then_some(Rate(per_second))
    }

    /// Reads a decimal number: digits, and maybe a point and more of them.
    pub fn parse(text: &[u8]) -> Option<Rate> {
        let text = std::str::from_utf8(text).ok()?.trim();
        let (whole, part) = text.split_once('.').unwrap_or((text, "0"));
        let digits = |it: &str| {
            !it.is_empty() && it.bytes().all(|it| it.is_ascii_digit())
        };
        if text.len() > MAX_DIGITS || !digits(whole) || !digits(part) {
            return None;
        }
        Rate::new(text.parse().ok()?)
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// The time from one request to the next in microseconds.
    pub fn interval_us(self) -> u32 {
        (self.interval_ms(1.0) * 1_000.0) as u32
    }

    /// The time from one request to the next in milliseconds, for whoever
    /// keeps a share of the rate.
    fn interval_ms(self, share: f64) -> f64 {
        1_000.0 / (self.0.max(MIN_RATE) * share)
    }
}

/// What was last said of a target's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// The limit; `None` once the target names none any more.
    pub rate: Option<Rate>,
    /// For how long this has counted.
    pub age: Millis,
}

/// What is known of a target's limit.
#[derive(Clone, Copy, Debug, Default)]
pub struct CurrentLimit {
    word: Option<Held>,
    /// When it last became another limit.
    changed: Millis,
    /// Whether the last answer named something that is no number.
    unreadable: bool,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    rate: Option<Rate>,
    /// Since when it counts, in milliseconds; before 0 if it was told by
    /// somebody who knew it before this process began.
    since: i64,
}

/// What a piece of news changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitChange {
    /// Nothing.
    None,
    /// The limit is new or lower.
    Tightened,
    /// The limit is higher or gone.
    Loosened,
}

/// What an answer brought.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitUpdate {
    /// What it changed.
    pub change: LimitChange,
    /// Whether the target names what is no number, and didn't before.
    pub newly_invalid: bool,
}

impl CurrentLimit {
    /// The limit in force.
    pub fn rate(&self) -> Option<Rate> {
        self.word?.rate
    }

    /// What was last said, for others. A target that never named a limit has
    /// no word.
    pub fn report(&self, now: Millis) -> Option<LimitReport> {
        let Held { rate, since } = self.word?;
        let age = Millis((now.0 as i64 - since).max(0) as u64);
        Some(LimitReport { rate, age })
    }

    /// When the limit last became another one.
    pub fn changed_at(&self) -> Millis {
        self.changed
    }

    /// Takes in an answer to a request that was sent at `sent`, as it came.
    /// What is no number names no limit.
    pub fn observe_header(
        &mut self,
        named: Option<&[u8]>,
        sent: Millis,
        now: Millis,
    ) -> LimitUpdate {
        let rate = named.and_then(Rate::parse);
        let unreadable = named.is_some() && rate.is_none();
        let before = std::mem::replace(&mut self.unreadable, unreadable);
        let change = self.observe_response(rate, sent, now);
        LimitUpdate { change, newly_invalid: unreadable && !before }
    }

    /// Takes in an answer to a request that was sent at `sent`.
    pub fn observe_response(
        &mut self,
        rate: Option<Rate>,
        sent: Millis,
        now: Millis,
    ) -> LimitChange {
        let loosens = loosens(self.rate(), rate);
        let age = if loosens { now.since(sent) } else { Millis(0) };
        self.merge_report(LimitReport { rate, age }, now)
    }

    /// Takes in what another entry was told.
    pub fn merge_report(
        &mut self,
        word: LimitReport,
        now: Millis,
    ) -> LimitChange {
        let LimitReport { rate, age } = word;
        let since = now.0 as i64 - age.0.min(i64::MAX as u64 / 2) as i64;
        let Some(known) = self.word else {
            if rate.is_none() {
                return LimitChange::None;
            }
            self.word = Some(Held { rate, since });
            self.changed = now;
            return LimitChange::Tightened;
        };
        if since <= known.since {
            return LimitChange::None;
        }
        self.word = Some(Held { rate, since });
        if known.rate == rate {
            return LimitChange::None;
        }
        self.changed = now;
        match loosens(known.rate, rate) {
            true => LimitChange::Loosened,
            false => LimitChange::Tightened,
        }
    }
}

/// Whether a limit allows more than the one before.
fn loosens(before: Option<Rate>, after: Option<Rate>) -> bool {
    match (before, after) {
        (None, _) => false,
        (Some(_), None) => true,
        (Some(before), Some(after)) => after > before,
    }
}

/// What whoever asks for a permit is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PermitDecision {
    /// A request may be sent after this time.
    Permit(Millis),
    /// None is free before this time is over.
    Later(Millis),
}

/// The pace of requests to a target that names a limit.
#[derive(Clone, Copy, Debug)]
pub struct Limiter {
    rate: Rate,
    /// When the next permit is free, in milliseconds.
    next: f64,
    asked: Millis,
}

impl Limiter {
    /// A pace that is kept from now on. Whoever kept it before may have given
    /// a permit just now. `idle` is for how long nobody is known to have heard
    /// from the target: of one that takes few, a new limiter that waited for a
    /// whole interval would never give a permit where limiters change often.
    pub fn new(rate: Rate, idle: Millis, now: Millis) -> Limiter {
        let interval = rate.interval_ms(1.0);
        let least = interval.min(NEWS_MS);
        let wait = (interval - idle.0 as f64).clamp(least, interval);
        let next = now.0 as f64 + wait;
        Limiter { rate, next, asked: now }
    }

    /// Whether nobody has asked here for so long that others may have kept the
    /// pace meanwhile. Where few requests are taken, few are asked for.
    pub fn is_stale(&self, share: f64, now: Millis) -> bool {
        let asks = ASKED_INTERVALS * self.rate.interval_ms(share);
        now.since(self.asked) > RESUMPTION_TIMEOUT + Millis(asks as u64)
    }

    /// How long no permit is free.
    pub fn permit_wait(&self, now: Millis) -> Millis {
        Millis((self.next - now.0 as f64).max(0.0).ceil() as u64)
    }

    /// Asks for a permit that is free within `patience`. `share` is the part
    /// of the limit that may be given out here, over 0 to 1.
    pub fn acquire(
        &mut self,
        rate: Rate,
        share: f64,
        patience: Millis,
        now: Millis,
    ) -> PermitDecision {
        let interval = rate.interval_ms(share);
        let now_ms = now.0 as f64;
        // Permits that were promised under another limit don't bind this one.
        if rate > self.rate {
            self.next = self.next.min(now_ms + interval);
        } else if rate < self.rate {
            self.next = self.next.max(now_ms + interval);
        }
        self.rate = rate;
        self.asked = now;
        let wait = self.permit_wait(now);
        if wait > patience {
            return PermitDecision::Later(wait);
        }
        self.next = self.next.max(now_ms - LATENESS_MS) + interval;
        PermitDecision::Permit(wait)
    }
}

/// A permit at a target, as whoever asked for it holds it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Permit {
    /// The limit that it was given under.
    pub rate: Rate,
    /// When it may be used.
    pub valid_from: Millis,
    /// When it lapses.
    pub valid_until: Millis,
}

impl Permit {
    /// Whether a request may still be sent for it under the limit in force.
    pub fn is_valid(&self, rate: Rate, now: Millis) -> bool {
        self.valid_from <= now && now <= self.valid_until && self.rate <= rate
    }
}
