//! Requests that crash their targets are refused.
//!
//! Agents tell every entry that links to them under which work their targets
//! ended. Entries need not speak to one another for it: one that starts anew
//! hears it from the agents, and one in a zone that is cut off counts the ends
//! of the targets that it can reach.

use cowsliproad_admission::quarantine::{
    QuarantineChange, QuarantineVerdict, WorkDigest,
};
use cowsliproad_kernel::{
    clock::Millis,
    code::{Code, ExecutionStatus},
    gossip::SuspectedRequest,
    sync::lock,
    wire::RequestFailure,
};
use slog::info;

use crate::{Shared, forward::Order, target::Target, view::Service};

/// What a request is, whatever its id. Agents know it without its service.
pub fn work_of(
    service: &Service,
    organisation: &str,
    request_type: &str,
    body: &[u8],
) -> WorkDigest {
    WorkDigest::of_submission(organisation, request_type, body)
        .for_service(&service.name)
}

/// Takes in what an agent tells.
pub fn hear(
    shared: &Shared,
    target: &Target,
    suspects: Vec<SuspectedRequest>,
) {
    let now = Millis::now();
    let mut ledger = lock(&shared.quarantine);
    ledger.evict_expired(now);
    for suspect in suspects {
        let work =
            WorkDigest(suspect.request_hash).for_service(&target.service);
        let suspect = SuspectedRequest { request_hash: work.0, ..suspect };
        let change = ledger.merge_remote_suspect(&suspect, now);
        if matches!(
            change,
            QuarantineChange::Refused | QuarantineChange::Freed
        ) {
            info!(shared.log, "work_judged"; "work" => %work,
                "change" => ?change, "ends" => ledger.crash_count(work),
                "target" => %target.name);
        }
    }
}

/// Notes that a target outlived a request.
pub fn outlived(shared: &Shared, order: &Order) {
    lock(&shared.quarantine).record_survival(order.work, Millis::now());
}

/// Whether a request may run now, and when it may come back if not.
pub fn verdict(shared: &Shared, order: &Order) -> QuarantineVerdict {
    let (now, work) = (Millis::now(), order.work);
    let mut ledger = lock(&shared.quarantine);
    let verdict = ledger.verdict(work, now);
    if verdict != QuarantineVerdict::Allowed {
        ledger.record_arrival(work, now);
    }
    verdict
}

/// The final answer to a request of such work.
pub fn refusal(
    shared: &Shared,
    order: &Order,
    ran: ExecutionStatus,
    after: Millis,
) -> RequestFailure {
    info!(shared.log, "refused"; "request" => %order.request,
        "work" => %order.work, "after" => after.0);
    RequestFailure::new(Code::Quarantined, ran).with_retry_after(after)
}
