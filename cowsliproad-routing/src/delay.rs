//! How long ago a received message was sent.
//!
//! A message may wait in a socket while its receiver stands still, or in the
//! network. Its contents are then older than they seem, and each age in the
//! message has to be raised by the delay.
//!
//! Clocks of different processes count from different times, so a message
//! states its sender's clock, and the receiver compares the difference to its
//! own clock with the least difference that it has seen. The first message of a
//! sender counts as not delayed.

use cowsliproad_kernel::clock::Millis;

/// The clocks of two VMs may drift apart by one millisecond in this time.
const DRIFT_MS_INTERVAL: u64 = 2_000;

/// Estimates the delays of one sender's messages.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DelayEstimator {
    /// Identifies the process of the sender, whose clock starts with it.
    incarnation: u64,
    /// The least difference of the receiver's clock to the sender's, in
    /// milliseconds, raised by the possible drift since.
    least_difference: i64,
    updated_at: Millis,
}

impl DelayEstimator {
    /// Creates the estimator from the first message of a process, which was
    /// sent at `sent_at` by its own clock.
    pub fn new(
        incarnation: u64,
        sent_at: Millis,
        now: Millis,
    ) -> DelayEstimator {
        DelayEstimator {
            incarnation,
            least_difference: difference(sent_at, now),
            updated_at: now,
        }
    }

    /// Returns the delay of a message that has just been received.
    pub fn observe(
        &mut self,
        incarnation: u64,
        sent_at: Millis,
        now: Millis,
    ) -> Millis {
        if incarnation != self.incarnation {
            *self = DelayEstimator::new(incarnation, sent_at, now);
            return Millis(0);
        }
        let drift = now.since(self.updated_at).0 / DRIFT_MS_INTERVAL;
        if drift > 0 {
            self.least_difference += drift as i64;
            self.updated_at = now;
        }
        let difference = difference(sent_at, now);
        self.least_difference = self.least_difference.min(difference);
        Millis((difference - self.least_difference) as u64)
    }
}

fn difference(sent_at: Millis, now: Millis) -> i64 {
    now.0 as i64 - sent_at.0 as i64
}
