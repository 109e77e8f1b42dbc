//! How long targets are left alone that asked for it.

use std::time::{Duration, SystemTime};

use cowsliproad::{
    kernel::clock::Millis,
    routing::{
        cooldown::{Cooldown, Cooldowns},
        fleet::{ProcessStartUnixMs, Target, TargetState},
    },
};
use cowsliproad_net::retry_after::{self, RetryAfter};
use http::{HeaderMap, HeaderValue, StatusCode, header};
use proptest::prelude::*;

fn target(id: &str, start: u64) -> Target {
    Target {
        id: id.into(),
        start: ProcessStartUnixMs(start),
        service: "plain".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        slots: 8,
        state: TargetState::Ready,
        announcement_sequence: 1,
    }
}

proptest! {
    /// Whatever a target states and in whatever order, it is left alone until
    /// the last of all those times is over, and not for longer.
    #[test]
    fn the_longest_stated_time_is_kept(
        stated in prop::collection::vec((0_u64..5_000, 0_u64..9_000), 1..20)
    ) {
        let mut stated = stated;
        stated.sort();
        let mut cooldown = Cooldown::default();
        let mut end = 0;
        for (at, wait) in stated {
            cooldown.apply_retry_after(Millis(wait), Millis(at));
            if wait > 0 {
                end = end.max(at + wait);
            }
            let kept = cooldown.cooldown_end(Millis(at));
            prop_assert_eq!(kept, (end > at).then_some(Millis(end)));
        }
        prop_assert_eq!(cooldown.cooldown_end(Millis(end)), None);
    }

    /// Only the start that stated a time is left alone.
    #[test]
    fn another_start_inherits_nothing(
        first in 0_u64..4, second in 0_u64..4, wait in 1_u64..1_000_000,
    ) {
        let mut cooldowns = Cooldowns::new();
        cooldowns.apply_retry_after(
            &target("i-1", first),
            Millis(wait),
            Millis(0),
        );
        let end = cooldowns.cooldown_end(&target("i-1", second), Millis(0));
        prop_assert_eq!(end.is_some(), first == second);
        prop_assert_eq!(
            cooldowns.cooldown_end(&target("i-2", first), Millis(0)),
            None
        );
    }
}

/// An answer that was under way when its target started again.
#[test]
fn a_late_answer_of_an_earlier_start_takes_nothing_back() {
    let mut cooldowns = Cooldowns::new();
    cooldowns.apply_retry_after(&target("i-1", 2), Millis(1_000), Millis(0));
    cooldowns.apply_retry_after(&target("i-1", 1), Millis(9_000), Millis(0));
    let end = cooldowns.cooldown_end(&target("i-1", 2), Millis(0));
    assert_eq!(end, Some(Millis(1_000)));
    assert_eq!(cooldowns.cooldown_end(&target("i-1", 1), Millis(0)), None);
}

#[test]
fn what_is_over_is_forgotten_and_nothing_else() {
    let mut cooldowns = Cooldowns::new();
    for (id, wait) in [("i-1", 1_000), ("i-2", 2_000)] {
        cooldowns.apply_retry_after(&target(id, 1), Millis(wait), Millis(0));
    }
    cooldowns.remove_expired_cooldowns(Millis(1_500));
    assert_eq!(cooldowns.active_cooldown_count(Millis(0)), 1);
    assert!(
        cooldowns.cooldown_end(&target("i-2", 1), Millis(1_500)).is_some()
    );
}

fn read(
    status: StatusCode,
    values: &[&str],
    date: Option<SystemTime>,
    now: SystemTime,
) -> RetryAfter {
    let mut headers = HeaderMap::new();
    for value in values {
        let value = HeaderValue::from_str(value).expect("a value");
        headers.append(header::RETRY_AFTER, value);
    }
    if let Some(date) = date {
        let date = httpdate::fmt_http_date(date);
        let value = HeaderValue::from_str(&date).expect("a date");
        headers.insert(header::DATE, value);
    }
    retry_after::parse_header(status, &headers, || now)
}

#[test]
fn a_retry_after_is_read_as_stated() {
    let now = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000_000);
    // What was stated within a millisecond ends within one.
    let wait =
        |ms: u64| RetryAfter::Wait(Millis(if ms > 0 { ms + 1 } else { 0 }));
    let refused = StatusCode::SERVICE_UNAVAILABLE;
    let cases: [(&[&str], RetryAfter); 12] = [
        (&[], RetryAfter::None),
        (&["3"], wait(3_000)),
        (&["0"], wait(0)),
        (&["0.0004"], wait(1)),
        (&["2.5"], wait(2_500)),
        (&["1e9"], wait(1_000_000_000_000)),
        (&["1", "4", "x"], wait(4_000)),
        (&["-1"], RetryAfter::Unreadable),
        (&["+1"], RetryAfter::Unreadable),
        (&[""], RetryAfter::Unreadable),
        (&["infinity"], RetryAfter::Unreadable),
        (&["Mon, 01 Jan 1990 00:00:00 GMT"], wait(0)),
    ];
    for (values, expected) in cases {
        assert_eq!(read(refused, values, None, now), expected, "{values:?}");
    }
    let served = read(StatusCode::OK, &["3"], None, now);
    assert_eq!(served, RetryAfter::None);
    let limited = read(StatusCode::TOO_MANY_REQUESTS, &["3"], None, now);
    assert_eq!(limited, wait(3_000));
}

/// The time of day of this VM may differ from the target's.
#[test]
fn a_date_counts_from_the_answers_own() {
    let now = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000_000);
    let theirs = now + Duration::from_secs(3_600);
    let until = httpdate::fmt_http_date(theirs + Duration::from_secs(5));
    let refused = StatusCode::SERVICE_UNAVAILABLE;
    let stated = read(refused, &[&until], Some(theirs), now);
    assert_eq!(stated, RetryAfter::Wait(Millis(5_001)));
}
