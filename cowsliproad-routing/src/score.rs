//! Predicts the time to the first token at a target.
//!
//! A load report is stale by the time it is used, and every entry process gets
//! the same report. An entry process corrects the report by the requests that
//! it sent and completed itself since the report. Without the correction, all
//! entry processes send to the target that looked idle until the next report
//! arrives.

use cowsliproad_kernel::wire::AgentLoad;

/// The inputs of the predicted time to the first token at one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetCandidate {
    /// The last load report of the target.
    pub reported_load: AgentLoad,
    /// Requests that this entry process sent to the target since the last load
    /// report.
    pub requests_sent_since_report: u32,
    /// Requests of this entry process that the target completed since the last
    /// load report.
    pub requests_completed_since_report: u32,
    /// Requests of this entry process that are in flight at the target.
    pub in_flight: u32,
    /// The round trip to the target's availability zone, in microseconds.
    pub zone_rtt_us: u32,
    /// The share of the prompt that the target's prefix cache likely holds, in
    /// percent.
    pub cached_prompt_percent: u32,
    /// The time to process the whole prompt without a cached prefix, in
    /// microseconds.
    pub full_prompt_prefill_us: u32,
}

/// The service time assumed before the first load report, in microseconds.
const DEFAULT_SERVICE_TIME_US: u64 = 50_000;

impl TargetCandidate {
    /// The estimated number of requests at the target, from all entry
    /// processes.
    pub fn estimated_request_count(&self) -> u64 {
        let reported = u64::from(
            self.reported_load.queued_requests
                + self.reported_load.running_requests,
        );
        let estimate = (reported + u64::from(self.requests_sent_since_report))
            .saturating_sub(u64::from(self.requests_completed_since_report));
        estimate.max(u64::from(self.in_flight))
    }

    /// The predicted time to the first token at the target, in microseconds.
    pub fn predicted_first_token_us(&self) -> u64 {
        let slots = u64::from(self.reported_load.target_request_slots.max(1));
        let service_us =
            match u64::from(self.reported_load.mean_service_time_us) {
                0 => DEFAULT_SERVICE_TIME_US,
                known => known,
            };
        let occupancy = self.estimated_request_count();
        let queue_us =
            (occupancy + 1).saturating_sub(slots) * service_us / slots;
        // Requests at the same target slow one another down even before all
        // slots are in use, so an idle target is preferred to a busy one. With
        // all slots in use, the delay is an eighth of a service time.
        let sharing_us = occupancy.min(slots) * service_us / slots / 8;
        let uncached_percent =
            u64::from(100 - self.cached_prompt_percent.min(100));
        let prompt_us =
            u64::from(self.full_prompt_prefill_us) * uncached_percent / 100;
        queue_us + sharing_us + prompt_us + u64::from(self.zone_rtt_us)
    }
}
