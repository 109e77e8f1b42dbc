//! When a rank counts, so that what the coordinator hears is fresh and no
//! more than its link bears.
//!
//! A rank counts for a short window and says what it counted. In a small
//! group the windows follow one another. In a large one each rank has its
//! turn once a round, and the turns are spread over it: at any moment some
//! ranks speak for all, of the last moments. Were each to say at its turn
//! what it counted since the last one, a shift of demand would show only
//! after a whole round, a second at 72 ranks.

use cowsliproad_kernel::clock::Millis;

/// How long a rank counts, where its turn doesn't come sooner. Twenty samples
/// of 200 ms tell a shift from chance; see [`cowsliproad_placement::demand`].
pub const LONGEST: Millis = Millis(200);

/// The shortest that it counts: an engine counts once a pass, and passes of
/// a busy group take 50 ms and more.
pub const SHORTEST: Millis = Millis(45);

/// A rank's turns.
#[derive(Clone, Copy, Debug)]
pub struct Rota {
    /// When its window began, if it counts.
    begun: Option<Millis>,
    /// When its next turn is.
    next: Millis,
}

/// What is due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Due {
    /// Nothing.
    Nothing,
    /// The counts are to be read and kept.
    Begin,
    /// They are to be read again, and what they grew by is to be said.
    Say,
}

impl Rota {
    /// The turns of a rank among others, the first within a round.
    pub fn new(now: Millis, round: Millis, rank: u16, ranks: u16) -> Rota {
        let offset = round.0 * u64::from(rank) / u64::from(ranks.max(1));
        Rota { begun: None, next: now + Millis(offset) }
    }

    /// What is due now, which is taken as done.
    pub fn turn(&mut self, now: Millis, round: Millis) -> Due {
        match self.begun {
            None if now < self.next => Due::Nothing,
            None => {
                self.begun = Some(now);
                Due::Begin
            }
            Some(begun) if now.since(begun) < window(round) => Due::Nothing,
            Some(begun) => {
                self.next = begun + round;
                self.begun = (round <= LONGEST).then_some(now);
                Due::Say
            }
        }
    }
}

/// How long a rank counts at a time. As long as the turns allow it, windows
/// follow one another.
pub fn window(round: Millis) -> Millis {
    round.clamp(SHORTEST, LONGEST)
}
