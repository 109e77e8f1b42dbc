//! Decisions of an entry that forwards straight to targets: the route, the
//! target, the retry budget, the cut of events.

use cowsliproad::{
    admission::window::{
        RetryShare, RetryWindow, RetryWindowConfig, Spending,
    },
    kernel::clock::Millis,
    relay::events::EventSplitter,
    routing::{
        catalog::{
            Organisation, Route, RouteAccess, RouteError, RouteKind,
            RoutingCatalogBuilder, ServiceShare,
        },
        formation::GroupFormation,
        pick::{
            self, ServiceLatency, TargetCandidate, TargetLocality, TargetStats,
        },
    },
};
use proptest::prelude::*;

fn route(prefix: &str, access: RouteAccess) -> Route {
    Route {
        name: prefix.into(),
        host: "Host.example".into(),
        path_prefix: prefix.into(),
        kind: RouteKind::NonIdempotent,
        response_timeout: None,
        latency_goal: None,
        caller_idle_timeout: None,
        priority: 1,
        service_shares: vec![
            ServiceShare {
                service: "a".into(),
                relative_traffic_weight: 90.0,
            },
            ServiceShare {
                service: "b".into(),
                relative_traffic_weight: 10.0,
            },
        ],
        max_attempts: 1,
        access,
    }
}

#[test]
fn host_prefix_and_key_decide() {
    let mut made = RoutingCatalogBuilder::new(3);
    made.add_route(route("/a/", RouteAccess::KeyRequired));
    made.add_route(route("/a/b/", RouteAccess::Public));
    made.require_caller_keys();
    let harju = Organisation { name: "harju".into(), priority_override: None };
    made.add_organisation(harju, vec!["key".into()]);
    let catalog = made.build();
    let find = |host: &str, path: &str, key: Option<&str>| {
        catalog.find_route(host, path, key).map(|it| it.route.name.to_string())
    };
    let key = Some("key");
    assert_eq!(find("host.example:80", "/a/x", key), Ok("/a/".into()));
    assert_eq!(find("HOST.example", "/a/b/x", None), Ok("/a/b/".into()));
    assert_eq!(find("host.example", "/a/bx", None), Err(RouteError::BadKey));
    assert_eq!(find("host.example", "/ab", key), Err(RouteError::NoRoute));
    assert_eq!(find("other", "/a/x", key), Err(RouteError::NoRoute));
}

#[test]
fn shares_of_a_route_are_kept() {
    let route = route("/a/", RouteAccess::Public);
    let at = |draw: f64| route.choose_service(draw).map(|it| it.to_string());
    assert_eq!(at(0.0).as_deref(), Some("a"));
    assert_eq!(at(0.89).as_deref(), Some("a"));
    assert_eq!(at(0.91).as_deref(), Some("b"));
    assert_eq!(at(1.0).as_deref(), Some("b"));
}

fn cost(
    stats: &TargetStats,
    locality: TargetLocality,
    service_time_percent_of_normal: u32,
    now: Millis,
) -> f64 {
    let latency_ms =
        ServiceLatency::new([known()].iter()).target_latency_ms(stats, now);
    let candidate = TargetCandidate {
        stats,
        slots: 8,
        locality,
        service_time_percent_of_normal,
        latency_ms,
    };
    pick::expected_request_cost_ms(&candidate, now)
}

/// The stats of a target that answers in 20 ms.
fn known() -> TargetStats {
    let mut stats = TargetStats::new();
    stats.record_success(Millis(20), Millis(0));
    stats
}

/// Access and towing calls: a few a second, none of which may be sent to a
/// target that has just failed one while another is well.
#[test]
fn one_failure_moves_the_next_call_elsewhere_and_is_forgiven() {
    let well = known();
    let mut failing = known();
    failing.record_failure(Millis(100));
    let near = |stats: &TargetStats, now| {
        cost(stats, TargetLocality::SameZone, 100, Millis(now))
    };
    let far = cost(&well, TargetLocality::OtherZone, 100, Millis(150));
    assert!(near(&failing, 150) > far, "also a far one is better");
    let forgiven = near(&failing, 15_100) - near(&well, 15_100);
    assert!(forgiven < 4.0, "forgiven to {forgiven} ms");
}

#[test]
fn a_target_that_was_never_asked_is_tried() {
    let (new, known) = (TargetStats::new(), known());
    let now = Millis(0);
    let new = cost(&new, TargetLocality::SameZone, 100, now);
    assert!(new <= cost(&known, TargetLocality::SameZone, 100, now));
}

/// Guards against a target that is left idle for good after one slow answer,
/// and against callers who wait since slow targets are measured often.
#[test]
fn a_slow_target_is_measured_again_by_one_request_at_a_time() {
    let quick = known();
    for (took, interval) in [(21, 100), (120, 10_000), (1_020, 100_000)] {
        let mut slow = TargetStats::new();
        slow.record_success(Millis(took), Millis(0));
        let least = |stats: &TargetStats, now| {
            let usual = ServiceLatency::new([quick, *stats].iter());
            usual.target_latency_ms(stats, Millis(now))
        };
        assert_eq!(least(&slow, interval), took as f64);
        assert_eq!(least(&slow, interval + 1), 20.0);
        slow.record_sent_request();
        assert_eq!(least(&slow, interval + 1), took as f64);
        slow.record_completed_request();
        let mut failed = slow;
        failed.record_failure(Millis(interval + 1));
        assert_eq!(least(&failed, 2 * interval), took as f64);
        slow.record_success(Millis(20), Millis(60_000));
        assert!(least(&slow, 60_000) < 20.1, "the old time is forgotten");
    }
}

/// A group is back and some 200 requests go to its ranks at once.
#[test]
fn ranks_in_step_are_filled_evenly_whatever_their_answers_took() {
    let (mut short, mut long) = (known(), TargetStats::new());
    long.record_success(Millis(60), Millis(0));
    let latency_ms = ServiceLatency::new([short, long].iter())
        .expected_rank_response_time_ms();
    let now = Millis(0);
    for _ in 0..20 {
        let cost = |stats: &TargetStats| {
            let (locality, service_time_percent_of_normal) =
                (TargetLocality::SameZone, 100);
            let candidate = TargetCandidate {
                stats,
                slots: 12,
                locality,
                service_time_percent_of_normal,
                latency_ms,
            };
            pick::expected_request_cost_ms(&candidate, now)
        };
        let next =
            if cost(&short) <= cost(&long) { &mut short } else { &mut long };
        next.record_sent_request();
    }
    assert_eq!((short.in_flight(), long.in_flight()), (10, 10));
}

#[test]
fn a_slow_rank_gets_nothing_while_others_have_room() {
    let mut busy = known();
    (0..7).for_each(|_| busy.record_sent_request());
    let idle = known();
    let now = Millis(0);
    let slow = cost(&idle, TargetLocality::SameZone, 1_200, now);
    assert!(slow > cost(&busy, TargetLocality::OtherZone, 100, now));
}

#[test]
fn own_sends_since_a_report_count() {
    let mut stats = known();
    let now = Millis(5_000);
    stats.record_load_report(3, now);
    stats.record_sent_request();
    stats.record_sent_request();
    assert_eq!(stats.estimated_request_count(now), 5);
    stats.record_completed_request();
    assert_eq!(stats.estimated_request_count(now), 4);
    stats.record_load_report(9, now);
    assert_eq!(stats.estimated_request_count(now), 9);
}

#[test]
fn an_old_report_fades_and_own_requests_do_not() {
    let mut stats = known();
    stats.record_load_report(200, Millis(5_000));
    stats.record_sent_request();
    assert_eq!(stats.estimated_request_count(Millis(6_000)), 201);
    assert_eq!(stats.estimated_request_count(Millis(6_500)), 101);
    assert_eq!(stats.estimated_request_count(Millis(20_000)), 1);
    stats.record_load_report(u32::MAX, Millis(20_000));
    assert_eq!(stats.estimated_request_count(Millis(20_000)), 1);
}

proptest! {
    #![proptest_config(super::config(256))]

    /// However requests and wishes to retry fall, all entries together stay
    /// within the budget in any span.
    #[test]
    fn entries_keep_the_budget_together(
        seed in prop::collection::vec((0_u64..400, 0_usize..4, 0_u8..4), 400),
    ) {
        let (ratio, slack, span) = (0.2, 40.0, Millis(10_000));
        let config = RetryWindowConfig::new(ratio, slack, span);
        let mut entries: Vec<RetryWindow> =
            (0..4).map(|_| RetryWindow::new(config)).collect();
        let share = RetryShare::equal(4);
        let mut now = Millis(0);
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for (pause, entry, kind) in seed {
            now = now + Millis(pause / 4);
            let window = &mut entries[entry];
            if kind == 0 {
                window.record_request(now);
                requests.push(now);
            } else if window.try_spend_retry(&share, now) != Spending::Denied {
                retries.push(now);
            }
        }
        for end in &retries {
            let within = |at: &&Millis| **at <= *end && end.since(**at) < span;
            let spent = retries.iter().filter(within).count() as f64;
            let asked = requests.iter().filter(within).count() as f64;
            // A step of the window may reach a little beyond the span.
            prop_assert!(spent <= ratio * asked + slack + 1.0);
        }
    }

    /// However the bytes of a stream are cut up, the same events come out.
    #[test]
    fn events_come_out_however_bytes_come_in(
        cuts in prop::collection::vec(1_usize..9, 1..200),
        count in 1_u64..20,
    ) {
        let mut stream = Vec::new();
        for id in 1..=count {
            let end = if id % 3 == 0 { "\r\n\r\n" } else { "\n\n" };
            let event = format!("id: {id}\ndata: a b{end}");
            stream.extend_from_slice(event.as_bytes());
        }
        let mut splitter = EventSplitter::new();
        let mut ids = Vec::new();
        let mut bytes = Vec::new();
        let mut rest = &stream[..];
        let mut cuts = cuts.into_iter().cycle();
        while !rest.is_empty() {
            let length = cuts.next().unwrap_or(1).min(rest.len());
            splitter.push_bytes(&rest[..length]);
            rest = &rest[length..];
            while let Some(event) = splitter.pop_event() {
                ids.extend(event.id);
                bytes.extend_from_slice(&event.bytes);
            }
        }
        prop_assert_eq!(ids, (1..=count).collect::<Vec<_>>());
        prop_assert_eq!(bytes, stream);
        prop_assert!(!splitter.has_partial_event());
    }
}

#[test]
fn a_broken_off_event_stays_inside() {
    let mut splitter = EventSplitter::new();
    splitter.push_bytes(b"id: 1\ndata: x\n\nid: 2\nda");
    assert_eq!(splitter.pop_event().and_then(|it| it.id), Some(1));
    assert_eq!(splitter.pop_event(), None);
    assert!(splitter.has_partial_event());
}

/// Guards against a group that is closed for good by one refusal, or by the last
/// report of agents that are gone, though its ranks would answer.
#[test]
fn a_closed_group_is_tried_again_unless_ranks_report_it_broken() {
    let now = Millis(10_000);
    let mut refused = GroupFormation::new(1, true, now);
    assert!(refused.merge_rank_report(1, false, now));
    assert!(!refused.accepts_requests(now + Millis(2_400)));
    assert!(refused.accepts_requests(now + Millis(2_500)));
    assert!(refused.merge_rank_report(1, false, now + Millis(2_600)));
    assert!(!refused.accepts_requests(now + Millis(5_000)));
    let first_report = GroupFormation::new(1, false, now);
    assert!(!first_report.accepts_requests(now));
    assert!(first_report.accepts_requests(now + Millis(2_500)));
}

/// Guards against a group that is taken for halted for good by a wrong word,
/// and against requests to one that waits for a rank that is gone.
#[test]
fn a_halted_group_opens_again_by_passes_a_formation_or_time() {
    let now = Millis(10_000);
    let halted = |epoch| {
        let mut group = GroupFormation::new(1, true, now);
        assert!(group.accepts_requests(now));
        assert_eq!(group.halt_for_lost_rank(epoch, now), epoch == 1);
        group
    };
    assert!(halted(2).accepts_requests(now), "a rank of another formation");
    let mut group = halted(1);
    assert!(!group.accepts_requests(now));
    assert!(!group.halt_for_lost_rank(1, now), "it is halted once");
    // Reports from before the end, and the pass that was under way.
    for (after, step) in [(50, 900), (150, 40), (200, 41), (900, 41)] {
        assert!(
            !group.record_rank_step_report(1, step, now + Millis(after)),
            "{after}"
        );
    }
    assert!(group.record_rank_step_report(1, 42, now + Millis(1_000)));
    assert!(group.accepts_requests(now + Millis(1_000)));
    let mut group = halted(1);
    assert!(group.merge_rank_report(1, false, now));
    for after in (400..60_000).step_by(400).map(Millis) {
        let changed = group.merge_rank_report(1, false, now + after);
        assert!(!changed, "it is broken all along");
        assert!(!group.accepts_requests(now + after + Millis(2_000)));
        assert!(
            !group.merge_rank_report(1, true, now + after),
            "it stays broken in its formation"
        );
        assert!(!group.accepts_requests(now + after + Millis(2_000)));
    }
    assert!(group.merge_rank_report(2, true, now));
    assert!(group.accepts_requests(now));
    // A wrong word that nothing refuted doesn't hide a later one.
    let mut group = halted(1);
    let later = now + Millis(60_000);
    assert!(group.accepts_requests(later));
    assert!(group.halt_for_lost_rank(1, later));
    assert!(!group.accepts_requests(later));
}
