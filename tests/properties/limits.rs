//! Limits that targets name: what holds, who may send, who keeps the pace.
//!
//! The load is that of a target in need: callers want twice as much of it as
//! it takes, in fleets of 7 to 100 entries of which one is killed each one to
//! three seconds and one stands still.

use cowsliproad::{
    admission::limit::{
        CurrentLimit, LimitChange, LimitReport, Limiter, Permit,
        PermitDecision, RequestRate,
    },
    kernel::clock::Millis,
};
use cowsliproad_bench::experiment::limits::{Policy, SIZES, play};
use proptest::prelude::*;

fn rate(a_second: f64) -> RequestRate {
    RequestRate::new(a_second).expect("a rate")
}

#[test]
fn together_entries_keep_a_limit_and_use_it() {
    for size in SIZES {
        let unread = play(size, Policy::Unread, 3);
        let shares = play(size, Policy::Shares, 3);
        let kept = play(size, Policy::Kept, 3);
        assert!(unread.worst > 2.0, "the load no longer shows it: {unread:?}");
        assert!(kept.worst <= 1.5, "{kept:?} at {size:?}");
        assert!(kept.used > shares.used, "{kept:?}, {shares:?} at {size:?}");
    }
}

/// Guards against a target that is left idle after a cut: permits granted for
/// the part of a cut-off entry process come at long intervals, and the next one
/// kept its time when all entry processes were back.
#[test]
fn a_permit_of_a_small_part_delays_none_of_the_whole_limit() {
    let now = Millis(10_000);
    let one = rate(1.0);
    let mut limiter = Limiter::new(one, Millis(0), now);
    let granted = limiter.grant_permit(one, 0.1, Millis(2_000), now);
    assert_eq!(granted, PermitDecision::Permit(Millis(1_000)));
    let cut = now + Millis(1_500);
    let later = limiter.grant_permit(one, 0.1, Millis(0), cut);
    assert_eq!(later, PermitDecision::Later(Millis(9_500)));
    let back = now + Millis(2_000);
    let later = limiter.grant_permit(one, 1.0, Millis(0), back);
    assert_eq!(later, PermitDecision::Later(Millis(1_000)));
    // Parts that change again and again delay no permit, nor add one.
    for at in (2_100..3_000).step_by(100).map(Millis) {
        let part = if at.0 % 200 == 0 { 1.0 } else { 0.1 };
        let wait = now + Millis(3_000) - (now + at);
        let later = limiter.grant_permit(one, part, Millis(0), now + at);
        assert_eq!(later, PermitDecision::Later(wait));
    }
    let free = limiter.grant_permit(one, 1.0, Millis(0), now + Millis(3_000));
    assert_eq!(free, PermitDecision::Permit(Millis(0)));
}

#[test]
fn numbers_are_read_and_nothing_else() {
    for (text, read) in [("1", 1.0), ("1.2", 1.2), (" 0 ", 0.0), ("007", 7.0)]
    {
        assert_eq!(
            RequestRate::parse(text.as_bytes()),
            Some(rate(read)),
            "{text:?}"
        );
    }
    for text in ["", " ", ".", "1.", ".5", "-1", "+1", "1e3", "nan", "inf"] {
        assert_eq!(RequestRate::parse(text.as_bytes()), None, "{text:?}");
    }
}

#[test]
fn an_answer_that_was_on_its_way_lifts_no_limit() {
    let mut known = CurrentLimit::default();
    let named = Some(rate(1.0));
    let (sent, later) = (Millis(900), Millis(1_100));
    assert_eq!(
        known.observe_response_limit(named, sent, Millis(1_000)),
        LimitChange::Tightened
    );
    assert_eq!(
        known.observe_response_limit(None, sent, Millis(1_050)),
        LimitChange::None
    );
    let more = Some(rate(5.0));
    assert_eq!(
        known.observe_response_limit(more, sent, Millis(1_060)),
        LimitChange::None
    );
    assert_eq!(known.rate(), named);
    // One that was sent since then does.
    assert_eq!(
        known.observe_response_limit(more, later, Millis(1_200)),
        LimitChange::Loosened
    );
    assert_eq!(
        known.observe_response_limit(None, Millis(1_300), Millis(1_400)),
        LimitChange::Loosened
    );
    assert_eq!(known.rate(), None);
}

#[test]
fn who_heard_of_a_limit_before_this_process_began_is_believed_by_age() {
    let mut known = CurrentLimit::default();
    let now = Millis(1_000);
    let old =
        LimitReport { rate: Some(rate(1.0)), rate_limit_age: Millis(60_000) };
    let over = LimitReport { rate: None, rate_limit_age: Millis(30_000) };
    assert_eq!(known.merge_limit_report(old, now), LimitChange::Tightened);
    assert_eq!(known.merge_limit_report(over, now), LimitChange::Loosened);
    assert_eq!(known.merge_limit_report(old, now), LimitChange::None);
    assert_eq!(known.rate(), None);
    let never = LimitReport { rate: None, rate_limit_age: Millis(u64::MAX) };
    assert_eq!(known.merge_limit_report(never, now), LimitChange::None);
}

#[test]
fn a_place_holds_under_the_limit_that_it_was_given_under() {
    let permit = Permit {
        rate: rate(5.0),
        valid_from: Millis(10),
        valid_until: Millis(20),
    };
    assert!(permit.is_valid(rate(5.0), Millis(15)));
    assert!(permit.is_valid(rate(8.0), Millis(15)));
    assert!(!permit.is_valid(rate(1.0), Millis(15)));
    assert!(!permit.is_valid(rate(5.0), Millis(9)));
    assert!(!permit.is_valid(rate(5.0), Millis(21)));
}

/// An entry that stands in for the limiter of a target that takes few, and is
/// asked as seldom, would begin anew each time and give no permit.
#[test]
fn who_is_asked_as_seldom_as_places_come_goes_on_with_the_pace() {
    let rate = rate(0.5);
    let limiter = Limiter::new(rate, Millis(0), Millis(1_000));
    assert!(!limiter.is_stale(1.0, Millis(4_000)));
    assert!(!limiter.is_stale(0.5, Millis(8_000)));
    assert!(limiter.is_stale(1.0, Millis(7_000)));
}

/// Seen: a target that had taken nothing named 3 a second, and while entries
/// were killed none of the limiters that followed one another asked it.
#[test]
fn keepers_that_follow_one_another_ask_a_target_that_takes_nothing() {
    let rate = rate(0.0);
    let mut permits = 0;
    for change in 0..6 {
        // Each keeps the pace for five seconds and knows how long nobody has
        // heard from the target.
        let begun = Millis(change * 5_000);
        let mut limiter = Limiter::new(rate, begun, begun);
        for step in 0..50 {
            let now = begun + Millis(step * 100);
            let verdict = limiter.grant_permit(rate, 1.0, Millis(0), now);
            permits += u32::from(verdict == PermitDecision::Permit(Millis(0)));
        }
        if permits > 0 {
            assert!(begun >= Millis(5_000), "{begun}: too early");
            return;
        }
    }
    panic!("it is never asked");
}

proptest! {
    #![proptest_config(super::config(256))]

    /// However questions fall, no span has more permits than the limit allows,
    /// one at its end and what may be made up for.
    #[test]
    fn no_span_has_more_places_than_the_limit(
        a_second in 0.2..40.0_f64,
        share in 0.1..=1.0_f64,
        questions in prop::collection::vec((0..400_u64, 0..800_u64), 1..200),
        span in 500..8_000_u64,
    ) {
        let rate = rate(a_second);
        let mut limiter = Limiter::new(rate, Millis(0), Millis(0));
        let mut now = 0;
        let mut permits = Vec::new();
        for (pause, patience) in questions {
            now += pause;
            let verdict = limiter.grant_permit(
                rate,
                share,
                Millis(patience),
                Millis(now),
            );
            match verdict {
                PermitDecision::Permit(after) => {
                    prop_assert!(after <= Millis(patience));
                    permits.push(now + after.0);
                }
                PermitDecision::Later(after) => {
                    prop_assert!(after > Millis(patience));
                }
            }
        }
        for (first, from) in permits.iter().enumerate() {
            let within =
                permits[first..].iter().filter(|it| **it < from + span).count();
            let seconds = (span + 250) as f64 / 1_000.0;
            let most = a_second * share * seconds + 2.0;
            prop_assert!(within as f64 <= most, "{within} of {most}");
        }
    }

    /// However late news comes, the limit is what the target named last, once
    /// an answer to what was sent after that has come.
    #[test]
    fn the_last_that_was_named_holds(
        named in prop::collection::vec(
            (prop::option::of(0.1..20.0_f64), 1..500_u64, 0..900_u64),
            1..40,
        ),
    ) {
        // Requests one after the other, whose answers come out of order.
        let mut answers = Vec::new();
        let mut sent = 0;
        for (limit, pause, way) in &named {
            sent += pause;
            answers.push((sent + way, sent, limit.map(rate)));
        }
        let last = named.last().and_then(|it| it.0).map(rate);
        answers.push((sent + 2_000, sent + 1_500, last));
        answers.sort_by_key(|it| it.0);
        let mut known = CurrentLimit::default();
        for (come, sent, limit) in answers {
            known.observe_response_limit(limit, Millis(sent), Millis(come));
        }
        prop_assert_eq!(known.rate(), last);
    }
}
