//! Prompt parts that crash targets: which part is refused, which are not, and
//! that all entry processes refuse the same.

use cowsliproad::{
    admission::quarantine::{
        Admission, CRASH_THRESHOLD, CrashId, CrashLedger, Fingerprint,
        QuarantineVerdict, SUSPECT_TTL, WorkDigest,
    },
    kernel::{
        clock::Millis,
        gossip::{self, CrashSuspectRequests},
    },
};
use cowsliproad_bench::experiment::prompt_parts::{Policy, SIZES, play};
use proptest::prelude::*;

const NOW: Millis = Millis(1_000_000);

fn crash(number: u64) -> CrashId {
    CrashId::new(&format!("i-{number}"), 0)
}

/// A request that no other is like, with shared parts.
fn request(number: u64, parts: &[&str]) -> Fingerprint {
    let work = WorkDigest::new(&[&number.to_be_bytes()]);
    Fingerprint::new(work).with_prompt_parts(parts)
}

fn record_crash(
    ledger: &mut CrashLedger,
    fingerprint: &Fingerprint,
    crash: CrashId,
    now: Millis,
) {
    ledger.record_crash(fingerprint.request, crash, now);
    for part in &*fingerprint.prompt_parts {
        ledger.record_crash(*part, crash, now);
    }
}

fn record_answer(
    ledger: &mut CrashLedger,
    fingerprint: &Fingerprint,
    now: Millis,
) {
    for part in &*fingerprint.prompt_parts {
        ledger.record_survived_request(*part, now);
    }
}

fn is_refused(ledger: &CrashLedger, parts: &[&str], now: Millis) -> bool {
    let verdict = ledger.verdict_on_request(&request(9_999, parts), now);
    verdict != QuarantineVerdict::Allowed
}

/// Counts crashes against requests that have `parts`, one request each.
fn crash_with(ledger: &mut CrashLedger, parts: &[&str], numbers: &[u64]) {
    for number in numbers {
        let request = request(*number, parts);
        record_crash(ledger, &request, crash(*number), NOW);
    }
}

/// Guards against taking each request with the part for new.
#[test]
fn a_part_is_refused_whatever_request_has_it() {
    let mut ledger = CrashLedger::new();
    record_answer(&mut ledger, &request(0, &["a", "c"]), NOW);
    for number in 1..CRASH_THRESHOLD as u64 {
        crash_with(&mut ledger, &["a", "dead", "c"], &[number]);
        assert!(!is_refused(&ledger, &["x", "dead"], NOW), "{number}");
    }
    crash_with(&mut ledger, &["a", "dead", "c"], &[3]);
    assert!(is_refused(&ledger, &["x", "dead"], NOW));
    assert!(is_refused(&ledger, &["a", "DEAD", "c"], NOW));
    assert!(!is_refused(&ledger, &["a", "c"], NOW));
    assert!(!is_refused(&ledger, &[], NOW));
}

/// Guards against refusing the company of the part, which many requests have,
/// when many crash their targets at the same moment.
#[test]
fn many_crashes_at_once_blame_no_part_that_was_answered() {
    let mut ledger = CrashLedger::new();
    record_answer(&mut ledger, &request(0, &["a", "b"]), NOW);
    let numbers: Vec<u64> = (1..=14).collect();
    crash_with(&mut ledger, &["a", "dead", "b"], &numbers);
    assert!(is_refused(&ledger, &["dead"], NOW));
    assert!(!is_refused(&ledger, &["a", "b"], NOW));
}

/// Guards against refusing parts that never ran without the one at fault.
#[test]
fn parts_that_always_crashed_together_are_refused_together_only() {
    let mut ledger = CrashLedger::new();
    crash_with(&mut ledger, &["new", "dead"], &[1, 2, 3]);
    assert!(is_refused(&ledger, &["new", "dead"], NOW));
    assert!(!is_refused(&ledger, &["new"], NOW));
    assert!(!is_refused(&ledger, &["dead"], NOW));
    // One crash without the other tells them apart.
    crash_with(&mut ledger, &["dead"], &[4]);
    assert!(is_refused(&ledger, &["dead"], NOW));
    assert!(!is_refused(&ledger, &["new"], NOW));
}

/// Guards against an answer that clears only the part's case, while another
/// part stays refused in its place.
#[test]
fn an_answer_leaves_the_blame_with_the_other_part() {
    let mut ledger = CrashLedger::new();
    crash_with(&mut ledger, &["new", "dead"], &[1, 2, 3]);
    record_answer(&mut ledger, &request(4, &["new"]), NOW);
    assert!(is_refused(&ledger, &["dead"], NOW));
    assert!(!is_refused(&ledger, &["new"], NOW));
}

/// Guards against two parts at fault of which one hides the other.
#[test]
fn several_parts_are_refused_at_the_same_time() {
    let mut ledger = CrashLedger::new();
    record_answer(&mut ledger, &request(0, &["a"]), NOW);
    crash_with(&mut ledger, &["a", "dead"], &[1, 3, 5, 7]);
    crash_with(&mut ledger, &["a", "doom"], &[2, 4, 6]);
    // One target ran both.
    crash_with(&mut ledger, &["a", "dead", "doom"], &[8]);
    assert!(is_refused(&ledger, &["dead"], NOW));
    assert!(is_refused(&ledger, &["doom"], NOW));
    assert!(!is_refused(&ledger, &["a"], NOW));
}

/// Guards against refusing a part for good that ran beside several parts at
/// fault, more often than beside any single one.
#[test]
fn the_company_of_several_parts_at_fault_is_served() {
    let mut ledger = CrashLedger::new();
    crash_with(&mut ledger, &["dead", "new"], &[1, 7]);
    crash_with(&mut ledger, &["doom", "new"], &[2]);
    crash_with(&mut ledger, &["feed", "new"], &[5]);
    crash_with(&mut ledger, &["dead"], &[4]);
    crash_with(&mut ledger, &["doom"], &[8, 9]);
    crash_with(&mut ledger, &["feed"], &[6, 10]);
    assert!(!is_refused(&ledger, &["new", "other"], NOW));
    assert!(is_refused(&ledger, &["new", "dead"], NOW));
    record_answer(&mut ledger, &request(11, &["new", "other"]), NOW);
    for part in ["dead", "doom", "feed"] {
        assert!(is_refused(&ledger, &[part], NOW), "{part}");
    }
}

/// Guards against refusing a part for good that ran beside the part at fault
/// and on a target that was killed.
#[test]
fn a_kill_beside_the_crashes_leaves_the_company_in_use() {
    let mut ledger = CrashLedger::new();
    crash_with(&mut ledger, &["dead", "new"], &[1, 2]);
    crash_with(&mut ledger, &["new"], &[3]);
    crash_with(&mut ledger, &["dead"], &[4]);
    assert!(is_refused(&ledger, &["dead", "new"], NOW));
    assert!(!is_refused(&ledger, &["new"], NOW));
    record_answer(&mut ledger, &request(5, &["new"]), NOW);
    assert!(is_refused(&ledger, &["dead"], NOW));
}

/// Guards against clearing parts at fault whose crashes their company explains
/// together.
#[test]
fn parts_at_fault_are_refused_though_their_company_covers_them() {
    let mut ledger = CrashLedger::new();
    let parts = ["dead", "doom", "feed"];
    for number in 0..12_u64 {
        let part = parts[number as usize % 3];
        let company = format!("new-{}", number as usize / 3);
        crash_with(&mut ledger, &[part, &company], &[number]);
    }
    for part in parts {
        assert!(is_refused(&ledger, &[part, "other"], NOW), "{part}");
    }
    for company in ["new-0", "new-1", "new-2", "new-3"] {
        assert!(!is_refused(&ledger, &[company], NOW), "{company}");
    }
}

/// Guards against clearing a part at fault since parts that were answered lately
/// ran at its crashes, and at others too.
#[test]
fn parts_that_were_answered_clear_no_part_at_fault() {
    let mut ledger = CrashLedger::new();
    record_answer(&mut ledger, &request(0, &["all"]), NOW);
    crash_with(&mut ledger, &["all", "dead"], &[1, 2, 3]);
    crash_with(&mut ledger, &["all"], &[4, 5, 6, 7, 8, 9]);
    assert!(is_refused(&ledger, &["dead"], NOW));
}

/// Guards against a part that is blamed for a request which crashes its targets
/// each time it comes again.
#[test]
fn a_request_that_comes_again_is_blamed_before_its_parts() {
    let mut ledger = CrashLedger::new();
    let again = request(1, &["new"]);
    for number in 1..=3 {
        record_crash(&mut ledger, &again, crash(number), NOW);
    }
    let verdict = ledger.verdict_on_request(&again, NOW);
    assert_ne!(verdict, QuarantineVerdict::Allowed);
    assert!(!is_refused(&ledger, &["new"], NOW));
    // Another request with the part shows that the part is at fault.
    crash_with(&mut ledger, &["new"], &[4]);
    assert!(is_refused(&ledger, &["new"], NOW));
}

/// Guards against a part that stays refused though targets crashed for another
/// reason, and against trials by all entry processes at once.
#[test]
fn a_refused_part_is_tried_once_in_a_long_while() {
    let mut ledger = CrashLedger::new();
    crash_with(&mut ledger, &["rare"], &[1, 2, 3]);
    let trials = |ledger: &mut CrashLedger, from: Millis, to: Millis| {
        let mut trials = Vec::new();
        let mut now = from;
        while now < to {
            let request = request(now.0, &["rare"]);
            ledger.count_request();
            // Most requests don't have the part.
            (0..20).for_each(|_| ledger.count_request());
            let stagger = Millis(1_000);
            let (_, admission) = ledger.admit_request(&request, stagger, now);
            if admission == Admission::Trial {
                trials.push(now);
            }
            now = now + Millis(1_000);
        }
        trials
    };
    let hour = Millis(50 * 60_000);
    let begun = trials(&mut ledger, NOW, NOW + hour);
    assert!((1..=5).contains(&begun.len()), "{begun:?}");
    assert!(begun[0] >= NOW + SUSPECT_TTL, "{begun:?}");
    // A failed trial postpones the next one, also where another entry process
    // made it.
    let failed_at = *begun.last().expect("a trial") + Millis(500);
    let mut other = CrashLedger::new();
    tell(&ledger, &mut other, failed_at);
    crash_with_at(&mut ledger, &["rare"], 4, failed_at);
    tell(&ledger, &mut other, failed_at);
    let later = failed_at + SUSPECT_TTL;
    assert!(trials(&mut other, failed_at, later).is_empty());
    // An answer frees the part everywhere.
    record_answer(&mut other, &request(5, &["rare"]), later);
    tell(&other, &mut ledger, later);
    assert!(!is_refused(&ledger, &["rare"], later));
    assert!(!is_refused(&other, &["rare"], later));
}

/// Guards against an outage: all targets are killed before a part that all
/// requests have was answered once.
#[test]
fn a_part_that_most_requests_have_is_tried_at_once() {
    let mut ledger = CrashLedger::new();
    crash_with(&mut ledger, &["all"], &[1, 2, 3, 4, 5]);
    assert!(is_refused(&ledger, &["all"], NOW));
    let mut tried_at = None;
    for number in 0..400 {
        let now = NOW + Millis(number * 10);
        ledger.count_request();
        let request = request(number, &["all"]);
        let (_, admission) = ledger.admit_request(&request, Millis(200), now);
        if admission == Admission::Trial {
            tried_at = tried_at.or(Some(now));
        }
    }
    let tried_at = tried_at.expect("a trial");
    assert!(tried_at.since(NOW) < Millis(2_000), "{tried_at}");
    record_answer(&mut ledger, &request(1, &["all"]), tried_at);
    assert!(!is_refused(&ledger, &["all"], tried_at));
}

/// Guards against a trial of a part at fault that many callers ask for again
/// and again, though most requests are served without it.
#[test]
fn a_part_that_half_of_the_requests_have_is_not_tried_at_once() {
    let mut ledger = CrashLedger::new();
    crash_with(&mut ledger, &["dead"], &[1, 2, 3]);
    for number in 0..4_000 {
        let now = NOW + Millis(number * 10);
        ledger.count_request();
        ledger.count_request();
        let request = request(number, &["dead"]);
        let (_, admission) = ledger.admit_request(&request, Millis(0), now);
        assert_eq!(admission, Admission::Regular, "{now}");
    }
}

/// Guards against memory and messages that grow with the number of parts.
#[test]
fn what_is_kept_and_told_of_parts_is_bounded() {
    let mut ledger = CrashLedger::new();
    crash_with(&mut ledger, &["dead"], &[1, 2, 3]);
    for number in 0..10_000_u64 {
        let parts = [format!("p{number}"), format!("q{}", number / 2)];
        let parts: Vec<&str> = parts.iter().map(|it| &**it).collect();
        let request = request(number, &parts);
        record_answer(&mut ledger, &request, NOW);
        record_crash(&mut ledger, &request, crash(10 + number / 20), NOW);
    }
    assert!(ledger.case_count() <= 4_096, "{}", ledger.case_count());
    let told = ledger.broadcast_suspects(NOW);
    let bytes =
        gossip::encode(&CrashSuspectRequests::pack(told.clone())).len();
    assert!(bytes < gossip::MAX_DATAGRAM_BYTES / 3, "{bytes}");
    assert!(is_refused(&ledger, &["dead"], NOW));
    let many: Vec<String> = (0..1_000).map(|it| format!("{it}")).collect();
    let many: Vec<&str> = many.iter().map(|it| &**it).collect();
    assert!(request(1, &many).prompt_parts.len() <= 64);
}

fn crash_with_at(
    ledger: &mut CrashLedger,
    parts: &[&str],
    number: u64,
    now: Millis,
) {
    record_crash(ledger, &request(number, parts), crash(number), now);
}

fn tell(from: &CrashLedger, to: &mut CrashLedger, now: Millis) {
    for retracted in from.recently_retracted_crash_ids(now) {
        to.retract_crash(CrashId(retracted), now);
    }
    for told in from.broadcast_suspects(now) {
        to.merge_remote_suspect(&told, now);
    }
}

/// What one entry process observes.
#[derive(Clone, Debug)]
enum Fact {
    /// A target crashed that ran a request with these parts.
    Crashed(Vec<u8>, u8),
    /// A target began to answer a request with these parts.
    Answered(u8),
    /// A target that was taken for crashed is alive.
    Lives(u8),
}

fn fact() -> impl Strategy<Value = Fact> {
    let parts = proptest::collection::vec(0..4_u8, 1..3);
    prop_oneof![
        6 => (parts, 0..8_u8).prop_map(|it| Fact::Crashed(it.0, it.1)),
        1 => (0..4_u8).prop_map(Fact::Answered),
        1 => (0..8_u8).prop_map(Fact::Lives),
    ]
}

fn name(part: u8) -> String {
    format!("part-{part}")
}

fn learn(ledger: &mut CrashLedger, fact: &Fact, now: Millis) {
    match fact {
        Fact::Crashed(parts, target) => {
            let crash = ledger.crash_id(&target.to_string(), 0);
            for part in parts {
                let part = WorkDigest::digest_prompt_part(&name(*part));
                ledger.record_crash(part, crash, now);
            }
        }
        Fact::Answered(part) => {
            let part = WorkDigest::digest_prompt_part(&name(*part));
            ledger.record_survived_request(part, now);
        }
        Fact::Lives(target) => {
            ledger.retract_crash(ledger.crash_id(&target.to_string(), 0), now);
        }
    }
}

proptest! {
    #![proptest_config(super::config(200))]

    /// Guards against entry processes that refuse different requests for good,
    /// after messages that were lost, late, repeated or out of order.
    #[test]
    fn entries_that_tell_one_another_refuse_the_same_parts(
        facts in proptest::collection::vec((0..3_usize, fact()), 0..40),
        told in proptest::collection::vec((0..3_usize, 0..3_usize), 0..20),
    ) {
        let mut ledgers = [CrashLedger::new(), CrashLedger::new(), CrashLedger::new()];
        let mut now = NOW;
        let mut words = told.into_iter();
        for (entry, fact) in facts {
            now = now + Millis(10);
            learn(&mut ledgers[entry], &fact, now);
            if let Some((from, to)) = words.next() && from != to {
                exchange(&mut ledgers, from, to, now);
            }
        }
        for _ in 0..2 {
            now = now + Millis(500);
            for from in 0..3 {
                for to in (0..3).filter(|it| *it != from) {
                    exchange(&mut ledgers, from, to, now);
                }
            }
        }
        // All requests with one, two or three of the parts.
        for chosen in 1..16_u8 {
            let parts = (0..4).filter(|it| chosen & 1 << it != 0);
            let parts: Vec<String> = parts.map(name).collect();
            let parts: Vec<&str> = parts.iter().map(|it| &**it).collect();
            let refused =
                ledgers.each_ref().map(|it| is_refused(it, &parts, now));
            prop_assert!(
                refused == [true; 3] || refused == [false; 3],
                "{parts:?}: {refused:?}"
            );
        }
    }
}

fn exchange(
    ledgers: &mut [CrashLedger; 3],
    from: usize,
    to: usize,
    now: Millis,
) {
    let (low, high) = ledgers.split_at_mut(from.max(to));
    if from < to {
        tell(&low[from], &mut high[0], now);
    } else {
        tell(&high[0], &mut low[to], now);
    }
}

/// Guards against a fleet in which each request with the part is new to all
/// entries: on a group, on targets that work alone, and with many subjects.
#[test]
fn a_fleet_refuses_the_part_and_nothing_else() {
    for size in &SIZES[..4] {
        let before = play(*size, Policy::ByRequest, 1);
        assert!(before.crashes > 5, "{before:?}");
        for seed in 1..3 {
            let score = play(*size, Policy::ByPart, seed);
            assert!(score.late <= 3, "{size:?}: {score:?}");
            assert!(score.refused * 10 <= score.sound, "{size:?}: {score:?}");
            assert!(
                score.known_ms.is_some_and(|it| it < 3_000),
                "{size:?}: {score:?}"
            );
        }
    }
}
