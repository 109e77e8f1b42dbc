//! Requests that crash their targets: who is refused, who is not, and that all
//! entries come to the same whatever they hear when.

use cowsliproad::{
    admission::quarantine::{
        CRASH_THRESHOLD, CrashId, CrashLedger, QuarantineChange,
        QuarantineVerdict, REFUSAL_TTL, SURVIVED_REQUEST_CRASH_THRESHOLD,
        SUSPECT_TTL, SUSPENSION_TTL, WorkDigest,
    },
    kernel::{
        clock::Millis,
        gossip::{self, CrashSuspectRequest, CrashSuspectRequests},
    },
};
use cowsliproad_bench::experiment::quarantine::{Policy, SIZES, play};
use proptest::prelude::*;

const NOW: Millis = Millis(1_000_000);

fn end(number: u64) -> CrashId {
    CrashId::new(&format!("i-{number}"), 0)
}

fn work(body: &str) -> WorkDigest {
    WorkDigest::new(&[b"harju", b"/draft/", body.as_bytes()])
}

/// A ledger in which so many targets ended under work.
fn after(ends: u64, work: WorkDigest) -> CrashLedger {
    let mut ledger = CrashLedger::new();
    for number in 0..ends {
        ledger.record_crash(work, end(number), NOW);
    }
    ledger
}

fn is_refused(ledger: &CrashLedger, work: WorkDigest, now: Millis) -> bool {
    ledger.verdict(work, now) != QuarantineVerdict::Allowed
}

#[test]
fn it_is_refused_from_the_third_end_on() {
    let deadly = work("deadly");
    for ends in 0..CRASH_THRESHOLD as u64 {
        assert!(!is_refused(&after(ends, deadly), deadly, NOW), "{ends}");
    }
    let mut ledger = after(CRASH_THRESHOLD as u64 - 1, deadly);
    assert_eq!(
        ledger.record_crash(deadly, end(7), NOW),
        QuarantineChange::Refused
    );
    assert!(is_refused(&ledger, deadly, NOW));
}

/// Guards against a group that work crashes again as soon as it has formed.
#[test]
fn what_crashed_a_rank_is_suspended_for_longer_each_time() {
    let poison = work("poison");
    let mut ledger = CrashLedger::new();
    let mut now = NOW;
    for (ends, time) in [(1, SUSPENSION_TTL.0), (2, 2 * SUSPENSION_TTL.0)] {
        ledger.record_crash(poison, end(ends), now);
        assert_eq!(
            ledger.suspend_request(poison, now),
            QuarantineChange::Suspended
        );
        let left = |it: &CrashLedger, now| it.verdict(poison, now);
        let time = Millis(time);
        assert_eq!(left(&ledger, now), QuarantineVerdict::Suspended(time));
        assert!(is_refused(&ledger, poison, now + time - Millis(1)));
        now = now + time;
        assert_eq!(left(&ledger, now), QuarantineVerdict::Allowed);
    }
    assert_eq!(
        ledger.record_crash(poison, end(3), now),
        QuarantineChange::Refused
    );
}

/// Guards against rejecting innocent work for a crash that it ran beside.
#[test]
fn what_some_target_outlives_is_not_suspended() {
    let common = work("common");
    let mut ledger = after(1, common);
    assert_eq!(
        ledger.suspend_request(common, NOW),
        QuarantineChange::Suspended
    );
    assert_eq!(
        ledger.record_survived_request(common, NOW),
        QuarantineChange::Freed
    );
    assert!(!is_refused(&ledger, common, NOW));
    ledger.record_crash(common, end(1), NOW);
    assert_eq!(ledger.suspend_request(common, NOW), QuarantineChange::None);
    // An end that was none suspends nothing.
    let rare = work("rare");
    ledger.record_crash(rare, end(2), NOW);
    ledger.suspend_request(rare, NOW);
    assert_eq!(ledger.retract_crash(end(2), NOW), [rare]);
    assert!(!is_refused(&ledger, rare, NOW));
}

/// Guards against suspensions that entries prolong by telling one another, also
/// by words that waited in a process that stood still.
#[test]
fn a_suspension_ends_at_all_entries_at_once() {
    let poison = work("poison");
    let mut ledgers =
        [after(1, poison), CrashLedger::new(), CrashLedger::new()];
    ledgers[0].suspend_request(poison, NOW);
    let first = ledgers[0].broadcast_and_suspended_suspects(NOW);
    let over = NOW + SUSPENSION_TTL;
    let mut now = NOW;
    while now < over {
        for from in 0..ledgers.len() {
            let told = CrashSuspectRequests::pack(
                ledgers[from].broadcast_and_suspended_suspects(now),
            );
            now = now + Millis(20);
            for ledger in &mut ledgers {
                told.unpack().chain(first.clone()).for_each(|it| {
                    ledger.merge_remote_suspect(&it, now);
                });
            }
        }
        let all = ledgers.iter().all(|it| is_refused(it, poison, now));
        assert!(all || now >= over);
        now = now + Millis(500);
    }
    let late = over + Millis(100);
    for ledger in &mut ledgers {
        first.iter().for_each(|it| {
            ledger.merge_remote_suspect(it, late);
        });
        assert!(!is_refused(ledger, poison, late));
    }
    // A further end counts anew.
    assert_eq!(
        ledgers[1].record_crash(poison, end(7), late),
        QuarantineChange::Suspected
    );
    ledgers[1].suspend_request(poison, late);
    for told in ledgers[1].broadcast_suspects(late) {
        ledgers[2].merge_remote_suspect(&told, late);
    }
    assert!(is_refused(&ledgers[2], poison, late + SUSPENSION_TTL));
}

/// Several requests of one target tell of the same end.
#[test]
fn one_end_counts_once_however_often_it_is_told() {
    let deadly = work("deadly");
    let mut ledger = CrashLedger::new();
    for _ in 0..20 {
        ledger.record_crash(deadly, end(0), NOW);
    }
    assert!(!is_refused(&ledger, deadly, NOW));
}

#[test]
fn a_target_that_starts_again_under_its_name_may_end_again() {
    assert_ne!(CrashId::new("i-1", 1), CrashId::new("i-1", 2));
}

#[test]
fn parts_of_work_do_not_run_into_one_another() {
    assert_ne!(
        WorkDigest::new(&[b"ab", b"c"]),
        WorkDigest::new(&[b"a", b"bc"])
    );
    assert_ne!(WorkDigest::new(&[b"ab", b""]), WorkDigest::new(&[b"ab"]));
}

#[test]
fn what_looks_alike_runs() {
    let ledger = after(3, work("deadly"));
    assert!(!is_refused(&ledger, work("deadly."), NOW));
    let other = WorkDigest::new(&[b"other", b"/draft/", b"deadly"]);
    assert!(!is_refused(&ledger, other, NOW));
}

/// Three targets of a service are killed in a row, and the lookup that
/// everybody sends was at each.
#[test]
fn work_that_was_outlived_lately_is_refused_later() {
    let common = work("common");
    let mut ledger = CrashLedger::new();
    ledger.record_survived_request(common, NOW);
    for number in 0..SURVIVED_REQUEST_CRASH_THRESHOLD as u64 - 1 {
        ledger.record_crash(common, end(number), NOW);
    }
    assert!(!is_refused(&ledger, common, NOW));
    ledger.record_crash(common, end(99), NOW);
    assert!(is_refused(&ledger, common, NOW));
}

/// Targets are killed all day, and the lookup that everybody sends is at one
/// in ten of them, beside all those that outlive it.
#[test]
fn work_that_targets_outlive_all_along_is_never_refused() {
    let common = work("common");
    let mut ledger = CrashLedger::new();
    for number in 0..200 {
        let now = NOW + Millis(number * 3_000);
        ledger.record_crash(common, end(number), now);
        assert!(!is_refused(&ledger, common, now), "{number}");
        ledger.record_survived_request(common, now + Millis(1_000));
    }
}

/// What a late word says of an end that was excused is corrected.
#[test]
fn an_excuse_goes_before_what_is_told_late() {
    let common = work("common");
    let mut ledger = after(2, common);
    let late = ledger.broadcast_suspects(NOW);
    ledger.record_survived_request(common, NOW);
    let later = NOW + Millis(10_000);
    assert!(ledger.broadcast_suspects(later).is_empty());
    ledger.merge_remote_suspect(&late[0], later);
    assert_eq!(ledger.crash_count(common), 0);
    let corrected = ledger.broadcast_suspects(later);
    let mut other = after(2, common);
    other.merge_remote_suspect(&corrected[0], later);
    assert_eq!(other.crash_count(common), 0);
}

#[test]
fn work_that_another_entry_saw_outlived_is_freed() {
    let common = work("common");
    let mut ledger = after(3, common);
    let mut other = CrashLedger::new();
    other.record_survived_request(common, NOW);
    // It hears that three ended, and knows better.
    for told in ledger.broadcast_suspects(NOW) {
        other.merge_remote_suspect(&told, NOW);
    }
    assert!(!is_refused(&other, common, NOW));
    let told = other.broadcast_suspects(NOW);
    let changes: Vec<QuarantineChange> =
        told.iter().map(|it| ledger.merge_remote_suspect(it, NOW)).collect();
    assert_eq!(changes, [QuarantineChange::Freed]);
}

/// A cut looks like an end until the target is heard from again.
#[test]
fn an_end_that_was_none_is_taken_back_everywhere() {
    let innocent = work("innocent");
    let mut ledger = after(3, innocent);
    let mut other = CrashLedger::new();
    for told in ledger.broadcast_suspects(NOW) {
        other.merge_remote_suspect(&told, NOW);
    }
    assert!(is_refused(&other, innocent, NOW));
    assert_eq!(ledger.retract_crash(end(1), NOW), [innocent]);
    assert!(!is_refused(&ledger, innocent, NOW));
    for lives in ledger.recently_retracted_crash_ids(NOW) {
        other.retract_crash(CrashId(lives), NOW);
    }
    assert!(!is_refused(&other, innocent, NOW));
    // One who hasn't heard it tells of the end again.
    let late = CrashSuspectRequest {
        request_hash: innocent.0,
        crash_ids: vec![end(1).0],
        excused_crash_ids: Vec::new(),
        completed_without_crash: false,
        since_last_received: Millis(0),
        rejected_for: None,
        suspension_left: None,
        failed_trials: 0,
    };
    other.merge_remote_suspect(&late, NOW + Millis(8_000));
    assert!(!is_refused(&other, innocent, NOW + Millis(8_000)));
    assert_eq!(
        other.recently_retracted_crash_ids(NOW + Millis(8_000)),
        [end(1).0]
    );
}

/// A zone is cut off and its targets are taken for ended, and later they end
/// under deadly work. What was taken back once hid all later ends of these.
#[test]
fn targets_that_were_taken_for_ended_may_end_after_all() {
    let (innocent, deadly) = (work("innocent"), work("deadly"));
    let mut ledger = CrashLedger::new();
    let mut other = CrashLedger::new();
    let targets = ["i-0", "i-1", "i-2"];
    for target in targets {
        for _ in 0..3 {
            let end = ledger.crash_id(target, 0);
            ledger.record_crash(innocent, end, NOW);
            ledger.retract_crash(end, NOW);
        }
    }
    tell(&ledger, &mut other, NOW);
    for (number, target) in targets.iter().enumerate() {
        assert!(!is_refused(&ledger, deadly, NOW), "{number}");
        let end = other.crash_id(target, 0);
        assert_eq!(end, ledger.crash_id(target, 0));
        other.record_crash(deadly, end, NOW);
        tell(&other, &mut ledger, NOW);
    }
    for ledger in [&ledger, &other] {
        assert!(is_refused(ledger, deadly, NOW));
        assert!(!is_refused(ledger, innocent, NOW));
    }
}

#[test]
fn it_is_forgotten_once_it_stays_away_and_after_an_hour() {
    let deadly = work("deadly");
    let mut ledger = after(3, deadly);
    let later = NOW + SUSPECT_TTL - Millis(1);
    assert!(is_refused(&ledger, deadly, later));
    ledger.record_arrival(deadly, later);
    assert!(is_refused(&ledger, deadly, later + SUSPECT_TTL - Millis(1)));
    assert!(!is_refused(&ledger, deadly, later + SUSPECT_TTL));
    let mut now = NOW;
    while now < NOW + REFUSAL_TTL {
        assert!(is_refused(&ledger, deadly, now), "{now}");
        ledger.record_arrival(deadly, now);
        now = now + SUSPECT_TTL - Millis(1);
    }
    assert!(!is_refused(&ledger, deadly, NOW + REFUSAL_TTL));
    assert_eq!(ledger.evict_expired_cases(NOW + REFUSAL_TTL), [deadly]);
    assert_eq!(ledger.crash_count(deadly), 0);
}

/// Entries tell one another for ever, and none keeps it alive for the others.
#[test]
fn telling_keeps_nothing_alive() {
    let deadly = work("deadly");
    let mut ledgers = [after(3, deadly), CrashLedger::new()];
    ledgers[0].retract_crash(end(9), NOW);
    let mut now = NOW;
    while now < NOW + SUSPECT_TTL + Millis(2_000) {
        for (from, to) in [(0, 1), (1, 0)] {
            for told in ledgers[from].broadcast_suspects(now) {
                ledgers[to].merge_remote_suspect(&told, now + Millis(5));
            }
            for lives in ledgers[from].recently_retracted_crash_ids(now) {
                ledgers[to].retract_crash(CrashId(lives), now + Millis(5));
            }
        }
        now = now + Millis(500);
    }
    for ledger in &ledgers {
        assert!(!is_refused(ledger, deadly, now));
        assert!(ledger.broadcast_suspects(now).is_empty());
        assert!(ledger.recently_retracted_crash_ids(now).is_empty());
    }
}

/// An entry that has just started hears what is older than itself.
#[test]
fn a_young_entry_does_not_make_it_last_longer() {
    let deadly = work("deadly");
    let mut old = after(3, deadly);
    let idle = SUSPECT_TTL - Millis(2_000);
    let mut young = CrashLedger::new();
    for told in old.broadcast_suspects(NOW + idle) {
        // Its clock began a second ago.
        young.merge_remote_suspect(&told, Millis(1_000));
    }
    assert!(is_refused(&young, deadly, Millis(2_900)));
    assert!(!is_refused(&young, deadly, Millis(3_000)));
    for told in young.broadcast_suspects(Millis(2_900)) {
        old.merge_remote_suspect(&told, NOW + idle + Millis(1_900));
    }
    assert!(!is_refused(&old, deadly, NOW + SUSPECT_TTL));
}

/// A whole fleet's targets are killed, with 50 pieces of work on each.
#[test]
fn what_is_kept_and_told_is_bounded() {
    let deadly = work("deadly");
    let mut ledger = after(3, deadly);
    for number in 0..20_000_u64 {
        let work = WorkDigest::new(&[&number.to_be_bytes()]);
        ledger.record_survived_request(work, NOW);
        ledger.record_crash(work, end(number / 50), NOW);
    }
    let told = ledger.broadcast_suspects(NOW);
    assert!(told.len() <= 512, "{}", told.len());
    let bytes =
        gossip::encode(&CrashSuspectRequests::pack(told.clone())).len();
    assert!(bytes < gossip::MAX_DATAGRAM_BYTES / 3, "{bytes}");
    assert_eq!(told[0].request_hash, deadly.0);
    assert!(ledger.case_count() <= 4_096, "{}", ledger.case_count());
    assert!(is_refused(&ledger, deadly, NOW));
}

#[test]
fn what_is_packed_is_unpacked() {
    let mut ledger = after(3, work("deadly"));
    ledger.record_survived_request(work("proven"), NOW);
    for (piece, target) in [("a", 1), ("b", 1), ("c", 2), ("proven", 2)] {
        ledger.record_crash(work(piece), end(target), NOW);
    }
    let mut told = ledger.broadcast_suspects(NOW);
    let packed = gossip::encode(&CrashSuspectRequests::pack(told.clone()));
    let packed: CrashSuspectRequests =
        gossip::decode(&packed).expect("suspects");
    let mut unpacked: Vec<CrashSuspectRequest> = packed.unpack().collect();
    told.sort_by_key(|it| it.request_hash);
    unpacked.sort_by_key(|it| it.request_hash);
    assert_eq!(told, unpacked);
}

/// What one entry learns.
#[derive(Clone, Copy, Debug)]
enum Fact {
    Ended(u8, u8),
    Outlived(u8),
    Lives(u8),
}

fn fact() -> impl Strategy<Value = Fact> {
    prop_oneof![
        6 => (0..4_u8, 0..8_u8).prop_map(|it| Fact::Ended(it.0, it.1)),
        1 => (0..4_u8).prop_map(Fact::Outlived),
        1 => (0..8_u8).prop_map(Fact::Lives),
    ]
}

fn learn(ledger: &mut CrashLedger, fact: Fact, now: Millis) {
    match fact {
        Fact::Ended(piece, target) => {
            let end = ledger.crash_id(&target.to_string(), 0);
            ledger.record_crash(WorkDigest(piece.into()), end, now);
        }
        Fact::Outlived(piece) => {
            ledger.record_survived_request(WorkDigest(piece.into()), now);
        }
        Fact::Lives(target) => {
            ledger.retract_crash(ledger.crash_id(&target.to_string(), 0), now);
        }
    }
}

fn tell(from: &CrashLedger, to: &mut CrashLedger, now: Millis) {
    for lives in from.recently_retracted_crash_ids(now) {
        to.retract_crash(CrashId(lives), now);
    }
    for told in from.broadcast_suspects(now) {
        to.merge_remote_suspect(&told, now);
    }
}

proptest! {
    #![proptest_config(super::config(200))]

    /// Whoever learnt what, and whichever words were lost or came twice and
    /// in any order, after two rounds in which none is lost all entries
    /// refuse the same.
    #[test]
    fn entries_that_tell_one_another_come_to_the_same(
        facts in proptest::collection::vec((0..3_usize, fact()), 0..40),
        told in proptest::collection::vec((0..3_usize, 0..3_usize), 0..20),
    ) {
        let mut ledgers = [CrashLedger::new(), CrashLedger::new(), CrashLedger::new()];
        let mut now = NOW;
        let mut words = told.into_iter();
        for (entry, fact) in facts {
            now = now + Millis(10);
            learn(&mut ledgers[entry], fact, now);
            if let Some((from, to)) = words.next() && from != to {
                let (from, to) = pair(&mut ledgers, from, to);
                tell(from, to, now);
                tell(from, to, now);
            }
        }
        for _ in 0..2 {
            now = now + Millis(500);
            for from in 0..3 {
                for to in (0..3).filter(|it| *it != from) {
                    let (from, to) = pair(&mut ledgers, from, to);
                    tell(from, to, now);
                }
            }
        }
        for piece in 0..4 {
            let refused = ledgers.each_ref().map(|it| {
                is_refused(it, WorkDigest(piece), now)
            });
            prop_assert!(
                refused == [true; 3] || refused == [false; 3],
                "{piece}: {refused:?}"
            );
        }
    }
}

/// A caller sends such work every second through any of seven entries. Beside
/// it targets are killed, a zone is cut off and all entries restart in turn.
/// What may reach targets later than three seconds after the third end is
/// three times at most; the first policy is what was seen to break it.
#[test]
fn a_fleet_stops_it_and_refuses_nobody_else() {
    for seed in 1..4 {
        let before = play(SIZES[0], Policy::ByRequest, seed);
        assert!(before.late > 50, "{before:?}");
        for policy in [Policy::Told, Policy::Kept] {
            let score = play(SIZES[0], policy, seed);
            assert!(score.ends <= 6, "{score:?}");
            assert_eq!((score.late, score.refused), (0, 0), "{score:?}");
            assert!(score.known_ms < 1_000, "{score:?}");
        }
    }
}

fn pair(
    ledgers: &mut [CrashLedger; 3],
    from: usize,
    to: usize,
) -> (&CrashLedger, &mut CrashLedger) {
    let (low, high) = ledgers.split_at_mut(from.max(to));
    if from < to {
        (&low[from], &mut high[0])
    } else {
        (&high[0], &mut low[to])
    }
}
