//! Streams that waited while their group stood: who starts when it opens,
//! and who is told to come back.

use cowsliproad::{
    admission::patience::{CallerAttempt, PendingStream, StreamAdmission},
    kernel::clock::Millis,
};
use proptest::prelude::*;

/// Callers of the departure boards: 8 s, a first event in half a second, and
/// two seconds without one.
const MOST: Millis = Millis(8_000);
const SILENCE: Millis = Millis(2_000);
const AIM: Millis = Millis(500);

fn asked(waited: u64, caller_try: CallerAttempt) -> (PendingStream, Millis) {
    let arrived = Millis(10_000);
    let time_to_deadline = MOST.since(Millis(waited));
    let asked = PendingStream {
        arrived_at: arrived,
        silence_timeout: SILENCE,
        expected_first_event_delay: AIM,
        time_to_deadline,
        caller_try,
    };
    (asked, arrived + Millis(waited))
}

fn start(waited: u64, caller_try: CallerAttempt) -> StreamAdmission {
    let (asked, now) = asked(waited, caller_try);
    asked.decide_admission(now, 0.5)
}

#[test]
fn whoever_stays_long_enough_for_a_first_event_starts() {
    for waited in [0, 200, 1_000, 1_500] {
        assert_eq!(
            start(waited, CallerAttempt::First),
            StreamAdmission::Now,
            "{waited}"
        );
    }
}

/// A group that stood for six seconds opens: of those that came in the two
/// seconds before, a quarter would leave before their first event.
#[test]
fn whoever_would_leave_before_it_comes_back() {
    for waited in [1_501, 1_700, 1_890] {
        let start = start(waited, CallerAttempt::First);
        assert!(
            matches!(start, StreamAdmission::RetryAfter(_)),
            "{waited}: {start:?}"
        );
    }
}

#[test]
fn whoever_came_back_before_is_sent_on() {
    assert_eq!(start(1_890, CallerAttempt::Return), StreamAdmission::Now);
}

#[test]
fn a_later_try_shows_in_what_its_caller_has_left() {
    assert_eq!(
        CallerAttempt::classify_by_time_to_deadline(Millis(7_998), MOST),
        CallerAttempt::First
    );
    assert_eq!(
        CallerAttempt::classify_by_time_to_deadline(Millis(7_750), MOST),
        CallerAttempt::First
    );
    assert_eq!(
        CallerAttempt::classify_by_time_to_deadline(Millis(4_070), MOST),
        CallerAttempt::Return
    );
    // Nobody was seen to have more.
    assert_eq!(
        CallerAttempt::classify_by_time_to_deadline(
            Millis(4_070),
            Millis(4_070)
        ),
        CallerAttempt::First
    );
}

proptest! {
    #![proptest_config(super::config(256))]

    /// A return is soon, and within the third of its time that a caller
    /// waits at most.
    #[test]
    fn returns_are_spread_over_what_callers_wait(
        waited in 1_501_u64..7_900, draw in 0.0..1.0_f64,
    ) {
        let (asked, now) = asked(waited, CallerAttempt::First);
        match asked.decide_admission(now, draw) {
            StreamAdmission::RetryAfter(after) => {
                prop_assert!(after <= Millis(asked.time_to_deadline.0 / 3));
                prop_assert!((100..=1_100).contains(&after.0));
            }
            StreamAdmission::Now => {
                prop_assert!(asked.time_to_deadline.0 / 3 < 100)
            }
        }
    }
}
