//! Checks of the long poll for the configuration that entries share.

use cowsliproad::{
    kernel::{clock::Millis, position::LogEra},
    routing::confirmation::{CheckTiming, ConfigConfirmation},
};

const TIMING: CheckTiming =
    CheckTiming { interval: Millis(1_000), takeover_age: Millis(1_300) };
const ERA: LogEra = LogEra(1);

fn checked_at(at: u64) -> ConfigConfirmation {
    let mut confirmation = ConfigConfirmation::new();
    confirmation.record_check(Millis(at), ERA);
    confirmation
}

#[track_caller]
fn check_wait(confirmation: &ConfigConfirmation, now: u64, wait: u64) {
    let left = confirmation.time_until_check(TIMING, Millis(now));
    assert_eq!(left, Millis(wait));
}

#[test]
fn a_check_is_due_before_any_answer() {
    check_wait(&ConfigConfirmation::new(), 5, 0);
}

#[test]
fn the_entry_that_checked_last_checks_again_and_others_wait_for_it() {
    let own = checked_at(1_000);
    check_wait(&own, 1_100, 900);
    check_wait(&own, 2_000, 0);
    let mut other = ConfigConfirmation::new();
    other.merge_peer_read(Millis(1_000), ERA);
    check_wait(&other, 1_100, 1_200);
    check_wait(&other, 2_300, 0);
}

#[test]
fn its_own_answer_told_back_spares_no_check() {
    let mut own = checked_at(1_000);
    own.merge_peer_read(Millis(1_020), ERA);
    check_wait(&own, 1_100, 900);
}

#[test]
fn another_entrys_check_spares_an_own_one() {
    let mut own = checked_at(1_000);
    own.merge_peer_read(Millis(1_600), ERA);
    check_wait(&own, 1_700, 1_200);
    // An older answer changes nothing.
    own.merge_peer_read(Millis(1_200), ERA);
    check_wait(&own, 1_700, 1_200);
}

#[test]
fn a_full_read_of_all_makes_nobody_check_at_once() {
    let mut own = checked_at(1_000);
    own.record_full_read(Millis(1_900), ERA);
    check_wait(&own, 1_900, 1_300);
}

#[test]
fn a_requested_check_is_due_until_the_log_answers() {
    let mut own = checked_at(1_000);
    own.request_check();
    check_wait(&own, 1_001, 0);
    own.merge_peer_read(Millis(1_001), ERA);
    check_wait(&own, 1_002, 0);
    own.record_check(Millis(1_003), ERA);
    check_wait(&own, 1_003, 1_000);
    own.request_check();
    assert!(own.take_check_request());
    check_wait(&own, 1_004, 999);
}

#[test]
fn an_answer_of_an_earlier_era_confirms_nothing() {
    let mut own = checked_at(1_000);
    own.merge_peer_read(Millis(900), LogEra(2));
    assert_eq!(own.confirmed_at(), Some(Millis(900)));
    own.record_check(Millis(1_100), ERA);
    assert_eq!(own.confirmed_at(), Some(Millis(900)));
    check_wait(&own, 1_100, 1_100);
}

#[test]
fn reads_told_while_an_entry_stood_still_are_not_taken_for_new() {
    let mut own = checked_at(1_000);
    own.merge_peer_read(Millis(4_000), ERA);
    own.forget_reads(Millis(4_500));
    check_wait(&own, 4_010, 0);
    own.merge_peer_read(Millis(4_020), ERA);
    check_wait(&own, 4_030, 0);
    own.merge_peer_read(Millis(4_500), ERA);
    check_wait(&own, 4_510, 1_290);
}
