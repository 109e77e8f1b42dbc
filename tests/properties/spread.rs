//! Many entries that hear the same reports: 31 of them before a group of 72
//! ranks, as at the users' grown sites, with reports 400 ms apart.

use cowsliproad::routing::pick;
use cowsliproad_bench::experiment::routing::{Policy, SIZES, play};
use proptest::prelude::*;

#[test]
fn a_rank_that_looks_idle_is_not_sent_everything() {
    for size in SIZES {
        let least = play(size, Policy::Least, 7);
        let spread = play(size, Policy::Spread, 7);
        assert!(spread.waited < 0.01, "{spread:?} at {size:?}");
        assert!(spread.waited <= least.waited, "{spread:?}, {least:?}");
        assert!(spread.busiest < least.busiest, "{spread:?}, {least:?}");
    }
    let crowd = play(SIZES[1], Policy::Least, 7);
    assert!(crowd.waited > 0.1, "the load no longer shows it: {crowd:?}");
}

proptest! {
    #![proptest_config(super::config(256))]

    /// The least cost is never left out, what lies above the level is never
    /// chosen, and with nothing unseen the least is chosen.
    #[test]
    fn what_is_chosen_lies_below_the_level(
        costs in prop::collection::vec(1.0..500.0_f64, 1..40),
        unseen in 0.0..60.0_f64,
        draw in 0.0..1.0_f64,
    ) {
        let step = 10.0;
        let least = costs.iter().copied().fold(f64::INFINITY, f64::min);
        let place = pick::choose_target_by_cost(&costs, step, unseen, draw);
        let place = place.expect("there are some");
        let bound = least + step * (unseen + 1.0);
        prop_assert!(costs[place] <= bound);
        let lowest = pick::choose_target_by_cost(&costs, step, unseen, 0.0);
        prop_assert_eq!(lowest.map(|it| costs[it]), Some(least));
    }
}

#[test]
fn without_targets_nothing_is_chosen() {
    assert_eq!(pick::choose_target_by_cost(&[], 10.0, 3.0, 0.5), None);
}
