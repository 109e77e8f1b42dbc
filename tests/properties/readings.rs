//! Readings of the targets that entries share.

use cowsliproad::{
    kernel::{
        clock::Millis,
        position::{LogEra, LogPosition},
    },
    routing::readings::{LogReadContinuity, LogReadSchedule},
};

const PATIENCE: Millis = Millis(800);

/// A place in the era that most of these are of.
fn place(offset: u64) -> LogPosition {
    LogPosition::new(LogEra(1), offset)
}

fn readings() -> LogReadSchedule {
    LogReadSchedule::new(Millis(1_200))
}

#[test]
fn who_knows_nothing_reads_at_once() {
    assert_eq!(
        readings().time_until_next_log_read(PATIENCE, Millis(5)),
        Millis(0)
    );
}

#[test]
fn anothers_reading_spares_an_own_one() {
    let mut own = readings();
    own.record_own_log_read(Millis(1_000), place(7));
    own.merge_peer_log_read(Millis(1_500), place(0));
    assert_eq!(
        own.time_until_next_log_read(PATIENCE, Millis(1_900)),
        Millis(400)
    );
    // Older news changes nothing.
    own.merge_peer_log_read(Millis(1_200), place(0));
    assert_eq!(
        own.time_until_next_log_read(PATIENCE, Millis(1_900)),
        Millis(400)
    );
    assert_eq!(
        own.time_until_next_log_read(PATIENCE, Millis(2_300)),
        Millis(0)
    );
}

#[test]
fn a_change_that_was_not_read_is_read_at_once() {
    let mut own = readings();
    own.record_own_log_read(Millis(1_000), place(7));
    own.merge_peer_log_read(Millis(1_100), place(9));
    assert_eq!(
        own.time_until_next_log_read(PATIENCE, Millis(1_100)),
        Millis(0)
    );
    own.record_own_log_read(Millis(1_105), place(9));
    assert!(!own.has_unread_target_change());
    own.record_target_change();
    assert_eq!(own.last_target_change_log_position(), place(9));
    assert!(!own.has_unread_target_change(), "its own news is none to itself");
}

#[test]
fn another_entry_is_asked_where_the_log_says_nothing() {
    let mut own = readings();
    own.record_own_log_read(Millis(1_000), place(7));
    own.merge_peer_log_read(Millis(1_100), place(9));
    assert!(!own.needs_peer_state());
    own.mark_log_unreachable();
    assert!(own.needs_peer_state());
    own.record_merged_peer_state(place(9));
    assert!(!own.needs_peer_state());
}

/// Guards against a change that counts as read because the state of a peer was
/// merged that hadn't read the change either.
#[test]
fn the_state_of_a_peer_that_lags_leaves_a_change_unread() {
    let mut own = readings();
    own.record_own_log_read(Millis(1_000), place(7));
    own.merge_peer_log_read(Millis(1_100), place(12));
    own.mark_log_unreachable();
    assert!(!own.needs_peer_state_of(place(7)));
    assert!(own.needs_peer_state_of(place(8)));
    own.record_merged_peer_state(place(8));
    assert!(own.needs_peer_state());
    assert_eq!(own.read_position(), place(8));
    own.record_merged_peer_state(place(12));
    assert!(!own.needs_peer_state());
}

/// An entry lapses after three heartbeats without a sign of life, the first
/// of which may lie before the outage.
#[test]
fn only_a_gap_of_two_heartbeats_leaves_doubt() {
    let mut own = readings();
    assert_eq!(
        own.record_own_log_read(Millis(9_000), place(1)),
        LogReadContinuity::Continuous
    );
    assert_eq!(
        own.merge_peer_log_read(Millis(11_300), place(1)),
        LogReadContinuity::Continuous
    );
    assert_eq!(
        own.record_own_log_read(Millis(13_800), place(1)),
        LogReadContinuity::Gap
    );
}

/// Guards against a lower offset of a later era that counts as read.
#[test]
fn a_later_era_is_read_at_once() {
    let mut own = readings();
    own.record_own_log_read(Millis(1_000), place(900));
    own.merge_peer_log_read(Millis(1_100), LogPosition::new(LogEra(2), 3));
    assert!(own.has_unread_target_change());
    assert_eq!(
        own.time_until_next_log_read(PATIENCE, Millis(1_100)),
        Millis(0)
    );
    own.record_own_log_read(Millis(1_200), LogPosition::new(LogEra(2), 5));
    assert!(!own.has_unread_target_change());
}

/// Guards against an entry that stood still and brings the former era back.
#[test]
fn a_reading_of_an_earlier_era_says_nothing() {
    let mut own = readings();
    own.record_own_log_read(Millis(1_000), LogPosition::new(LogEra(2), 5));
    own.merge_peer_log_read(Millis(1_500), place(900));
    assert!(!own.has_unread_target_change());
    assert_eq!(
        own.last_target_change_log_position(),
        LogPosition::start_of(LogEra(2))
    );
    assert_eq!(
        own.time_until_next_log_read(PATIENCE, Millis(1_600)),
        Millis(200)
    );
    own.record_own_log_read(Millis(1_550), place(900));
    assert_eq!(
        own.time_until_next_log_read(PATIENCE, Millis(1_600)),
        Millis(200)
    );
}

#[test]
fn another_entry_tells_of_a_later_era() {
    let mut own = readings();
    own.record_own_log_read(Millis(1_000), place(900));
    own.mark_log_unreachable();
    own.enter_log_era(LogEra(2));
    assert!(own.needs_peer_state());
    own.record_merged_peer_state(LogPosition::new(LogEra(2), 0));
    assert!(!own.needs_peer_state());
}

#[test]
fn the_entry_that_read_last_is_known_though_its_read_is_told_back() {
    let margin = Millis(400);
    let mut own = readings();
    own.record_own_log_read(Millis(1_000), place(7));
    own.merge_peer_log_read(Millis(1_020), place(7));
    assert!(own.is_last_reader(margin));
    own.merge_peer_log_read(Millis(1_700), place(7));
    assert!(!own.is_last_reader(margin));
    let mut other = readings();
    other.merge_peer_log_read(Millis(1_000), place(7));
    assert!(!other.is_last_reader(margin));
}
