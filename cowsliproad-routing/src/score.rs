//! The predicted time to the first token at a target.
//!
//! A load report is stale by the time it is used, and every entry sees the
//! same one. An entry corrects it by what it knows for certain, its own
//! submissions and completions since the report. Without the correction all
//! entries send to the target that looked idle until the next report comes.

use cowsliproad_kernel::wire::AgentLoad;

/// What an entry knows of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Candidate {
    /// The last load report.
    pub load: AgentLoad,
    /// Own submissions since that report.
    pub sent_since: u32,
    /// Own completions since that report.
    pub done_since: u32,
    /// Own requests in flight there now.
    pub in_flight: u32,
    /// The round trip to its availability zone, in microseconds.
    pub distance_us: u32,
    /// The share of the prompt that its prefix cache likely holds, in
    /// percent.
    pub prefix_percent: u32,
    /// What reading the whole prompt anew would cost, in microseconds.
    pub prompt_us: u32,
}

/// The service time assumed before the first report, in microseconds.
const FIRST_GUESS_US: u64 = 50_000;

impl Candidate {
    /// Requests at the target now, as far as this entry can tell.
    pub fn occupancy(&self) -> u64 {
        let reported =
            u64::from(self.load.queued_requests + self.load.running_requests);
        let now = (reported + u64::from(self.sent_since))
            .saturating_sub(u64::from(self.done_since));
        now.max(u64::from(self.in_flight))
    }

    /// The predicted time to the first token, in microseconds.
    pub fn first_token_us(&self) -> u64 {
        let slots = u64::from(self.load.target_slots.max(1));
        let service = match u64::from(self.load.mean_service_time_us) {
            0 => FIRST_GUESS_US,
            known => known,
        };
        let ahead = self.occupancy();
        let queue = (ahead + 1).saturating_sub(slots) * service / slots;
        // Requests that share the target slow one another even before its
        // slots are full, so an idle target goes before a busy one.
        let sharing = ahead.min(slots) * service / slots / 8;
        let miss = u64::from(100 - self.prefix_percent.min(100));
        let prompt = u64::from(self.prompt_us) * miss / 100;
        queue + sharing + prompt + u64::from(self.distance_us)
    }
}
