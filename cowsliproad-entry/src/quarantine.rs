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
    code::{Code, Execution},
    gossip::Suspect,
    sync::lock,
    wire::Failure,
};
use slog::info;

use crate::{Shared, forward::Order, target::Target, view::Service};

/// The digest of a request's work, which does not depend on the request id.
/// Agents compute the digest without the service.
pub fn work_of(
    service: &Service,
    organisation: &str,
    request_type: &str,
    body: &[u8],
) -> WorkDigest {
    WorkDigest::of_submission(organisation, request_type, body)
        .for_service(&service.name)
}

/// Merges the crash reports of an agent.
pub fn hear(shared: &Shared, target: &Target, suspects: Vec<Suspect>) {
    let now = Millis::now();
    let mut ledger = lock(&shared.quarantine);
    ledger.evict_expired(now);
    for suspect in suspects {
        let work =
            WorkDigest(suspect.work_digest).for_service(&target.service);
        let suspect = Suspect { work_digest: work.0, ..suspect };
        let change = ledger.merge(&suspect, now);
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

/// Records that a target completed a request without crashing.
pub fn outlived(shared: &Shared, order: &Order) {
    lock(&shared.quarantine).record_survival(order.work, Millis::now());
}

/// Whether a request may run now, and otherwise when the caller may retry.
pub fn verdict(shared: &Shared, order: &Order) -> QuarantineVerdict {
    let (now, work) = (Millis::now(), order.work);
    let mut ledger = lock(&shared.quarantine);
    let verdict = ledger.verdict(work, now);
    if verdict != QuarantineVerdict::Allowed {
        ledger.record_arrival(work, now);
    }
    verdict
}

/// Logs the refusal of a quarantined request and returns its failure.
pub fn refusal(
    shared: &Shared,
    order: &Order,
    ran: Execution,
    after: Millis,
) -> Failure {
    info!(shared.log, "refused"; "request" => %order.request,
        "work" => %order.work, "after" => after.0);
    Failure::new(Code::Quarantined, ran).with_retry_after(after)
}
