//! Chooses the target of an attempt and logs the choice.

use std::sync::{Arc, atomic::Ordering};

use cowsliproad_kernel::{Name, clock::Millis};
use cowsliproad_routing::{
    choice::{self, TargetChoice},
    health::AttemptAdmission,
};
use slog::info;

use crate::{EntryState, forward::WorkRequest, target::Target, view::Service};

/// Chooses the target of an attempt. Targets in `tried_targets` are left out.
pub fn choose_attempt_target(
    shared: &EntryState,
    work_request: &WorkRequest,
    tried_targets: &[Name],
) -> Option<Arc<Target>> {
    let targets = &work_request.service.targets;
    let now = Millis::now();
    if let Some(key) = &work_request.idempotency_key {
        let usable_targets = targets
            .iter()
            .filter(|it| is_usable_target(it, tried_targets, now));
        let preferred = usable_targets.max_by_key(|it| {
            rendezvous_hash(&work_request.organisation, key, &it.name)
        });
        log_choice(shared, work_request, preferred, "idempotency_key", None);
        return preferred.cloned();
    }
    let found =
        best_sampled_target(shared, &work_request.service, tried_targets);
    let chosen = found.map(|it| &targets[it.chosen_index]);
    log_choice(shared, work_request, chosen, "score", found);
    chosen.cloned()
}

/// Chooses the target with the best score from a few sampled targets of a
/// service. Ejected targets are left out, unless so many targets of the
/// service are ejected that the ejections are ignored.
pub fn best_sampled_target(
    shared: &EntryState,
    service: &Service,
    tried_targets: &[Name],
) -> Option<TargetChoice> {
    let now = Millis::now();
    let targets = &service.targets;
    let is_ejected = |target: &Target| {
        target.health_admission(now) == AttemptAdmission::Deny
    };
    let heeds_ejections = !service.ignores_ejections.load(Ordering::Relaxed);
    let score = |index: usize| {
        let target = &targets[index];
        if !is_usable_target(target, tried_targets, now)
            || (heeds_ejections && is_ejected(target))
        {
            return None;
        }
        let same_zone = target.zone == shared.settings.zone;
        let zone_rtt_us =
            if same_zone { 0 } else { shared.settings.zone_rtt_us };
        Some(target.predicted_first_token_us(zone_rtt_us))
    };
    choice::choose_target(targets.len(), &mut rand::rng(), score)
}

/// Whether a target accepts new work, is not in `tried_targets` and is not in
/// a cooldown.
fn is_usable_target(
    target: &Target,
    tried_targets: &[Name],
    now: Millis,
) -> bool {
    is_untried_and_accepting(target, tried_targets)
        && target.cooldown_end(now).is_none()
}

/// Whether a target accepts new work and is not in `tried_targets`. Cooldowns
/// are ignored.
fn is_untried_and_accepting(target: &Target, tried_targets: &[Name]) -> bool {
    target.accepts_new_work() && !tried_targets.contains(&target.name)
}

/// Returns the target whose cooldown ends first, if the cooldown ends before
/// `deadline`. Otherwise the error is the time until the first cooldown ends,
/// or `None` if no target is in a cooldown.
pub fn earliest_target_out_of_cooldown(
    service: &Service,
    tried_targets: &[Name],
    deadline: Millis,
) -> Result<Arc<Target>, Option<Millis>> {
    let now = Millis::now();
    let usable_targets = service
        .targets
        .iter()
        .filter(|it| is_untried_and_accepting(it, tried_targets));
    let cooldown_ends =
        usable_targets.filter_map(|it| Some((it, it.cooldown_end(now)?)));
    match cooldown_ends.min_by_key(|it| it.1) {
        Some((target, end)) if end < deadline => Ok(target.clone()),
        first => Err(first.map(|it| it.1.since(now))),
    }
}

/// The rendezvous hash of a target for an idempotency key. The target with the
/// highest hash is chosen, so resends of a request go to the same target
/// through any entry process.
fn rendezvous_hash(organisation: &str, key: &str, target: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for part in [organisation, key, target] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    *hasher.finalize().as_bytes()
}

/// Logs the chosen target of an attempt, how the target was selected, and the
/// runner-up.
fn log_choice(
    shared: &EntryState,
    work_request: &WorkRequest,
    chosen: Option<&Arc<Target>>,
    method: &str,
    choice: Option<TargetChoice>,
) {
    let targets = &work_request.service.targets;
    let second = choice.and_then(|it| it.runner_up_index_and_score_us);
    info!(shared.logger, "route";
        "request" => %work_request.request_id,
        "type" => %work_request.request_type.name,
        "target" => chosen.map_or("none", |it| &*it.name),
        "why" => method,
        "score_us" => choice.map_or(0, |it| it.chosen_score_us),
        "runner_up" => second.map_or("none", |it| &*targets[it.0].name),
        "runner_up_us" => second.map_or(0, |it| it.1));
}
