//! Delays of messages whose senders have clocks of their own.

use cowsliproad::{kernel::clock::Millis, routing::delay::DelayEstimator};
use proptest::prelude::*;

use crate::config;

#[test]
fn a_message_that_waited_counts_as_sent_before() {
    let mut delays = DelayEstimator::new(1, Millis(500), Millis(10_000));
    let delay = delays.observe(1, Millis(1_000), Millis(13_500));
    // Less what the clocks may have drifted apart in 3.5 s.
    assert_eq!(delay, Millis(2_999));
}

#[test]
fn a_first_message_that_waited_raises_no_later_ages_for_long() {
    let mut delays = DelayEstimator::new(1, Millis(500), Millis(13_000));
    assert_eq!(delays.observe(1, Millis(900), Millis(10_400)), Millis(0));
    let delay = delays.observe(1, Millis(1_400), Millis(11_900));
    assert_eq!(delay, Millis(1_000));
}

#[test]
fn a_sender_that_starts_again_is_not_late() {
    let mut delays = DelayEstimator::new(1, Millis(90_000), Millis(90_000));
    let delay = delays.observe(2, Millis(10), Millis(95_000));
    assert_eq!(delay, Millis(0));
}

proptest! {
    #![proptest_config(config(500))]

    /// Guards against delays that are too high, which would make what is new
    /// seem old, over drifting clocks.
    #[test]
    fn a_delay_is_never_above_that_of_the_network(
        waits in prop::collection::vec(0_u64..3_000, 1..60),
        drift_ppm in 0_u64..400,
    ) {
        let mut sent_at = 1_000;
        let sender_clock = |at: u64| Millis(at - at * drift_ppm / 1_000_000);
        let mut delays: Option<DelayEstimator> = None;
        for wait in waits {
            sent_at += 500;
            let now = Millis(sent_at + wait);
            let sent = sender_clock(sent_at);
            let delay = match &mut delays {
                Some(it) => it.observe(1, sent, now),
                None => {
                    delays = Some(DelayEstimator::new(1, sent, now));
                    Millis(0)
                }
            };
            prop_assert!(delay <= Millis(wait + 1), "{delay} of {wait}");
        }
    }
}
