//! The schedule by which a rank reports its selection counts, so that the
//! counts are recent and the coordinator's link can carry them.
//!
//! A rank counts selections for a short window and reports them. In a small
//! group the windows follow each other without a gap. In a large group each
//! rank reports once a round, and the ranks are spread evenly over the round:
//! at any time a few ranks report their latest selections as a sample for all.
//! If each rank reported all selections since its last report, a shift of
//! demand would show only after a whole round, which is a second at 72 ranks.

use cowsliproad_kernel::clock::Millis;

/// The longest window in which a rank counts selections. Twenty samples of 200
/// ms distinguish a shift of demand from chance; see
/// [`cowsliproad_placement::demand`].
pub const MAX_SELECTION_COUNTING_WINDOW: Millis = Millis(200);

/// The shortest window in which a rank counts selections. An engine updates
/// its counts once a pass, and the passes of a busy group take 50 ms and more.
pub const MIN_SELECTION_COUNTING_WINDOW: Millis = Millis(45);

/// The longest time over which a rank reports an increase of its selection
/// counts. A rank that could not read its counts for longer, as after its VM
/// was frozen, starts a new window: the coordinator would take the counts of
/// an earlier demand for recent ones.
pub const MAX_REPORTED_COUNTING_WINDOW: Millis =
    Millis(2 * MAX_SELECTION_COUNTING_WINDOW.0);

/// The times at which a rank reads and reports its selection counts.
#[derive(Clone, Copy, Debug)]
pub struct SelectionCountReportSchedule {
    /// The start of the current counting window, or `None` between two
    /// windows.
    window_start: Option<Millis>,
    /// The start of the next counting window.
    next_window_start: Millis,
}

/// The action that the schedule requires of a rank at a given time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SelectionCountReportAction {
    /// The rank takes no action.
    Nothing,
    /// The rank reads the engine's selection counts at the start of a counting
    /// window.
    StartWindow,
    /// The rank reads the engine's selection counts, and reports their increase
    /// since the start of the counting window.
    ReportIncrease,
}

impl SelectionCountReportSchedule {
    /// Creates the schedule by which one rank counts and reports expert
    /// selections. The first counting window starts within the first round,
    /// which begins at `now`: after the share `rank / rank_count` of the
    /// round's duration.
    pub fn new(
        now: Millis,
        round_duration: Millis,
        rank: u16,
        rank_count: u16,
    ) -> SelectionCountReportSchedule {
        let offset =
            round_duration.0 * u64::from(rank) / u64::from(rank_count.max(1));
        SelectionCountReportSchedule {
            window_start: None,
            next_window_start: now + Millis(offset),
        }
    }

    /// Advances the schedule to the current time, and returns the action that
    /// the rank has to take now.
    pub fn advance_count_report_schedule(
        &mut self,
        now: Millis,
        round_duration: Millis,
    ) -> SelectionCountReportAction {
        match self.window_start {
            None if now < self.next_window_start => {
                SelectionCountReportAction::Nothing
            }
            None => {
                self.window_start = Some(now);
                SelectionCountReportAction::StartWindow
            }
            Some(window_start)
                if now.since(window_start)
                    < selection_counting_window_duration(round_duration) =>
            {
                SelectionCountReportAction::Nothing
            }
            Some(window_start) => {
                self.next_window_start = window_start + round_duration;
                self.window_start = (round_duration
                    <= MAX_SELECTION_COUNTING_WINDOW)
                    .then_some(now);
                SelectionCountReportAction::ReportIncrease
            }
        }
    }
}

/// Returns the length of a counting window: a whole round where the bounds
/// allow this, so that windows follow each other without a gap.
pub fn selection_counting_window_duration(round_duration: Millis) -> Millis {
    round_duration
        .clamp(MIN_SELECTION_COUNTING_WINDOW, MAX_SELECTION_COUNTING_WINDOW)
}
