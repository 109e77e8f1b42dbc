//! Refuses crash-inducing requests.
//!
//! Each agent reports to every entry process that links to it the work under
//! which its targets ended. Entry processes need no gossip of their own for
//! this: a restarted entry process gets the reports from the agents, and an
//! entry process in an availability zone that is cut off counts the crashes of
//! the targets that it can reach.

use cowsliproad_admission::quarantine::{
    QuarantineChange, QuarantineVerdict, WorkDigest,
};
use cowsliproad_kernel::{
    clock::Millis,
    code::{ExecutionStatus, ResultCode},
    gossip::CrashSuspectRequest,
    sync::lock,
    wire::RequestFailure,
};
use slog::info;

use crate::{EntryState, forward::WorkRequest, target::Target, view::Service};

/// The digest of a request's work, which does not depend on the request id.
/// Agents compute the digest without the service.
pub fn compute_work_digest(
    service: &Service,
    organisation: &str,
    request_type: &str,
    body: &[u8],
) -> WorkDigest {
    WorkDigest::digest_submission(organisation, request_type, body)
        .combine_with_service(&service.name)
}

/// Merges the crash reports of an agent.
pub fn merge_suspected_requests(
    shared: &EntryState,
    target: &Target,
    suspects: Vec<CrashSuspectRequest>,
) {
    let now = Millis::now();
    let mut ledger = lock(&shared.crash_ledger);
    ledger.evict_expired_cases(now);
    for suspect in suspects {
        let work = WorkDigest(suspect.request_hash)
            .combine_with_service(&target.service);
        let suspect = CrashSuspectRequest { request_hash: work.0, ..suspect };
        let change = ledger.merge_remote_suspect(&suspect, now);
        if matches!(
            change,
            QuarantineChange::Refused | QuarantineChange::Freed
        ) {
            info!(shared.logger, "work_judged"; "work" => %work,
                "change" => ?change, "ends" => ledger.crash_count(work),
                "target" => %target.name);
        }
    }
}

/// Records that a target completed a request without crashing.
pub fn record_crash_free_request(
    shared: &EntryState,
    work_request: &WorkRequest,
) {
    lock(&shared.crash_ledger)
        .record_survived_request(work_request.work_digest, Millis::now());
}

/// The quarantine verdict for a request: allowed, or refused or suspended with
/// the time after which the caller may retry.
pub fn check_quarantine(
    shared: &EntryState,
    work_request: &WorkRequest,
) -> QuarantineVerdict {
    let (now, work) = (Millis::now(), work_request.work_digest);
    let mut ledger = lock(&shared.crash_ledger);
    let verdict = ledger.verdict(work, now);
    if verdict != QuarantineVerdict::Allowed {
        ledger.record_arrival(work, now);
    }
    verdict
}

/// Logs the refusal of a quarantined request and returns its failure.
pub fn refuse_quarantined(
    shared: &EntryState,
    work_request: &WorkRequest,
    ran: ExecutionStatus,
    retry_after: Millis,
) -> RequestFailure {
    info!(shared.logger, "refused"; "request" => %work_request.request_id,
        "work" => %work_request.work_digest, "after" => retry_after.0);
    RequestFailure::new(ResultCode::Quarantined, ran)
        .with_retry_after(retry_after)
}
