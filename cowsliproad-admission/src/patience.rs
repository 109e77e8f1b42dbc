//! Whether a stream that had to wait is still worth its start.
//!
//! A caller of a stream leaves when it has heard nothing for a while. One
//! that waited here while its group stood may have so little of that left
//! when the group opens that no first event can reach it: it leaves, the
//! work is for nobody, and the engine is kept from others that the same
//! moment brings. Told to come back, the caller stays as long again. They all
//! come from one moment, so their returns are spread; and a caller that came
//! back before mostly doesn't do so twice, so it is sent on whatever is left.

use cowsliproad_kernel::clock::Millis;

/// Which of a caller's tries a request is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerTry {
    /// The first.
    First,
    /// A later one.
    Return,
}

impl CallerTry {
    /// By what callers have left here and what they have at most: one that
    /// has much less has been somewhere before.
    pub fn new(left: Millis, most: Millis) -> CallerTry {
        if most.since(left) > ON_THE_WAY {
            CallerTry::Return
        } else {
            CallerTry::First
        }
    }
}

/// What a first try may have lost on its way here to packets sent again.
const ON_THE_WAY: Millis = Millis(300);

/// A stream that could start now.
#[derive(Clone, Copy, Debug)]
pub struct PendingStream {
    /// When it came.
    pub arrived: Millis,
    /// How long its caller stays without an event.
    pub silence_timeout: Millis,
    /// The time within which a first event is wanted, and usually comes also
    /// while a backlog is taken up.
    pub first_event_aim: Millis,
    /// What the caller has left in all.
    pub time_left: Millis,
    /// Which of its tries this is.
    pub caller_try: CallerTry,
}

/// What is best for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It starts.
    Now,
    /// The caller comes back after this time.
    RetryAfter(Millis),
}

impl PendingStream {
    /// Whether it should start now. `draw` is a random number from 0 to 1.
    pub fn decide(&self, now: Millis, draw: f64) -> Admission {
        let stays = (self.arrived + self.silence_timeout).since(now);
        let third = Millis(self.time_left.0 / 3);
        let hopeless = stays < self.first_event_aim
            && self.caller_try == CallerTry::First;
        if !hopeless || third < SOONEST {
            return Admission::Now;
        }
        let spread = third.min(LATEST).since(SOONEST);
        Admission::RetryAfter(
            SOONEST + Millis((spread.0 as f64 * draw) as u64),
        )
    }
}

/// When a caller comes back that is told of a moment, as others are. Their
/// returns are spread over a quarter of the time until then.
pub fn jittered_retry(wait: Millis, draw: f64) -> Millis {
    let spread = Millis(wait.0 / RETURN_SPREAD).max(MIN_SPREAD);
    wait + Millis((spread.0 as f64 * draw) as u64)
}

const RETURN_SPREAD: u64 = 4;
const MIN_SPREAD: Millis = Millis(100);

/// The soonest return, after those that can still start have been sent.
const SOONEST: Millis = Millis(100);

/// The latest. A backlog of two seconds' callers is spread over one, of which
/// each can then wait for as long as it could at first.
const LATEST: Millis = Millis(1_100);
