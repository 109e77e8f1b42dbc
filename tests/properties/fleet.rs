//! What an entry believes of the targets, whatever order news comes in.

use cowsliproad::{
    kernel::clock::Millis,
    routing::fleet::{Change, Config, Fleet, Parting, State, Target},
};
use proptest::prelude::*;

fn target(sequence: u64, state: State) -> Target {
    Target {
        id: "i-1".into(),
        service: "access".into(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: "a".into(),
        slots: 4,
        state,
        sequence,
    }
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(Config::new());
    fleet.announce(target(1, State::Ready), Millis(0));
    fleet
}

#[test]
fn a_withdrawal_counts_at_once_while_the_log_is_read() {
    let mut fleet = fleet();
    assert_eq!(fleet.withdraw("i-1", Millis(10)), Change::Left);
    assert!(!fleet.is_ready("i-1"));
}

#[test]
fn a_lapse_after_an_outage_is_given_two_seconds() {
    let mut fleet = fleet();
    fleet.regained(Millis(10_000));
    assert_eq!(fleet.withdraw("i-1", Millis(10_050)), Change::None);
    assert!(fleet.tick(Millis(11_900)).is_empty());
    assert!(fleet.is_ready("i-1"));
    fleet.announce(target(2, State::Ready), Millis(12_000));
    assert!(fleet.tick(Millis(20_000)).is_empty());
    assert!(fleet.is_ready("i-1"));
}

#[test]
fn what_is_missing_two_seconds_after_an_outage_is_gone() {
    let mut fleet = fleet();
    fleet.regained(Millis(10_000));
    fleet.withdraw("i-1", Millis(10_050));
    assert_eq!(fleet.tick(Millis(12_400)), ["i-1".into()]);
    assert!(!fleet.is_ready("i-1"));
}

#[test]
fn one_that_lapsed_comes_back_and_one_that_left_does_not() {
    let mut fleet = fleet();
    fleet.withdraw("i-1", Millis(10));
    let old = fleet.announce(target(1, State::Ready), Millis(20));
    assert_eq!(old, Change::None);
    let back = fleet.announce(target(2, State::Ready), Millis(30));
    assert_eq!(back, Change::Joined);
    fleet.announce(target(3, State::Leaving), Millis(40));
    let again = fleet.announce(target(4, State::Ready), Millis(50));
    assert_eq!(again, Change::None);
    assert!(!fleet.is_ready("i-1"));
}

/// A piece of news and when it comes.
#[derive(Clone, Debug)]
enum News {
    Announce(u64),
    Leaving(u64),
    Withdraw,
    FromPeer,
    Regained,
    Tick,
}

fn news() -> impl Strategy<Value = News> {
    prop_oneof![
        (1_u64..9).prop_map(News::Announce),
        (1_u64..9).prop_map(News::Leaving),
        Just(News::Withdraw),
        Just(News::FromPeer),
        Just(News::Regained),
        Just(News::Tick),
    ]
}

proptest! {
    #![proptest_config(super::config(512))]

    /// After it was heard to leave, from the log or a peer, nothing brings an
    /// incarnation back.
    #[test]
    fn leaving_is_for_good(all in prop::collection::vec(news(), 1..30)) {
        let mut fleet = fleet();
        let mut left = false;
        for (step, news) in all.into_iter().enumerate() {
            let now = Millis(step as u64 * 400);
            match news {
                News::Announce(sequence) => {
                    fleet.announce(target(sequence, State::Ready), now);
                }
                News::Leaving(sequence) => {
                    let before = fleet.get("i-1").map(|it| it.sequence);
                    fleet.announce(target(sequence, State::Leaving), now);
                    left |= before.is_some_and(|it| it <= sequence);
                }
                News::Withdraw => {
                    fleet.withdraw("i-1", now);
                }
                News::FromPeer => {
                    fleet.leave("i-1", 0, now);
                    left = true;
                }
                News::Regained => fleet.regained(now),
                News::Tick => {
                    fleet.tick(now);
                }
            }
            prop_assert!(!left || !fleet.is_ready("i-1"));
        }
    }
}

#[test]
fn what_another_entry_saw_go_comes_back_and_what_left_does_not() {
    let mut fleet = fleet();
    let gone = fleet.hear_parting("i-1", Parting::After(1), Millis(10));
    assert_eq!(gone, Change::Left);
    let back = fleet.announce(target(2, State::Ready), Millis(20));
    assert_eq!(back, Change::Joined);
    // The same word, heard again, is older than what is known here.
    let again = fleet.hear_parting("i-1", Parting::After(1), Millis(30));
    assert_eq!(again, Change::None);
    fleet.hear_parting("i-1", Parting::ForGood, Millis(40));
    let late = fleet.announce(target(3, State::Ready), Millis(50));
    assert_eq!(late, Change::None);
}
