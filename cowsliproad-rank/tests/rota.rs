//! Tests of the schedule by which ranks report selection counts.

use cowsliproad_kernel::clock::Millis;
use cowsliproad_rank::rota::{
    MAX_SELECTION_COUNTING_WINDOW, MIN_SELECTION_COUNTING_WINDOW,
    SelectionCountReportAction, SelectionCountReportSchedule,
};

/// Returns the start and end of each counting window that a rank reports in 4
/// s, with the schedule checked every 20 ms.
fn reported_counting_windows(
    rank: u16,
    rank_count: u16,
    round_duration: Millis,
) -> Vec<(u64, u64)> {
    let mut schedule = SelectionCountReportSchedule::new(
        Millis(0),
        round_duration,
        rank,
        rank_count,
    );
    let mut window_start = 0;
    let mut windows = Vec::new();
    for now in (0..4_000).step_by(20) {
        match schedule
            .advance_count_report_schedule(Millis(now), round_duration)
        {
            SelectionCountReportAction::Nothing => {}
            SelectionCountReportAction::StartWindow => window_start = now,
            SelectionCountReportAction::ReportIncrease => {
                windows.push((window_start, now));
                window_start = now;
            }
        }
    }
    windows
}

#[test]
fn small_group_counts_selections_without_gaps() {
    for round_duration in
        [MIN_SELECTION_COUNTING_WINDOW, MAX_SELECTION_COUNTING_WINDOW]
    {
        let windows = reported_counting_windows(3, 16, round_duration);
        let least = 4_000 / (round_duration.0 + 25) as usize;
        assert!(windows.len() >= least, "{windows:?}");
        for pair in windows.windows(2) {
            assert_eq!(pair[0].1, pair[1].0);
        }
    }
}

#[test]
fn large_group_spreads_short_windows_over_the_round() {
    let round_duration = Millis(1_000);
    let all: Vec<_> = (0..72)
        .map(|it| reported_counting_windows(it, 72, round_duration))
        .collect();
    for windows in &all {
        assert!((3..=4).contains(&windows.len()), "{windows:?}");
        let short = |it: &(u64, u64)| {
            it.1 - it.0 <= MAX_SELECTION_COUNTING_WINDOW.0 + 20
        };
        assert!(windows.iter().all(short), "{windows:?}");
    }
    // About a quarter of the ranks report in every quarter of a second.
    for from in (1_000..3_000).step_by(250) {
        let within = |it: &&(u64, u64)| (from..from + 250).contains(&it.1);
        let said = all.iter().flatten().filter(within).count();
        assert!((12..=24).contains(&said), "{said} from {from} on");
    }
}
