//! The choice of a target, and its log line.

use std::sync::{Arc, atomic::Ordering};

use cowsliproad_kernel::{Name, clock::Millis};
use cowsliproad_routing::{
    choice::{self, Choice},
    health::Admission,
};
use slog::info;

use crate::{Shared, forward::Order, target::Target, view::Service};

/// Chooses the target of an attempt, leaving out those tried before.
pub fn target(
    shared: &Shared,
    order: &Order,
    tried: &[Name],
) -> Option<Arc<Target>> {
    let targets = &order.service.targets;
    let now = Millis::now();
    if let Some(key) = &order.key {
        let open = targets.iter().filter(|it| is_usable(it, tried, now));
        let steered =
            open.max_by_key(|it| steer(&order.organisation, key, &it.name));
        log(shared, order, steered, "idempotency_key", None);
        return steered.cloned();
    }
    let found = best(shared, &order.service, tried);
    let chosen = found.map(|it| &targets[it.chosen_index]);
    log(shared, order, chosen, "score", found);
    chosen.cloned()
}

/// The best of a few sampled targets of a service. When more targets are
/// left out for their failures than can be believed, none is.
pub fn best(
    shared: &Shared,
    service: &Service,
    tried: &[Name],
) -> Option<Choice> {
    let now = Millis::now();
    let targets = &service.targets;
    let is_out = |target: &Target| target.admits(now) == Admission::Deny;
    let believe = !service.ejections_doubted.load(Ordering::Relaxed);
    let score = |index: usize| {
        let target = &targets[index];
        if !is_usable(target, tried, now) || (believe && is_out(target)) {
            return None;
        }
        let near = target.zone == shared.settings.zone;
        let distance = if near { 0 } else { shared.settings.zone_us };
        Some(target.score(distance))
    };
    choice::choose_target(targets.len(), &mut rand::rng(), score)
}

fn is_usable(target: &Target, tried: &[Name], now: Millis) -> bool {
    is_open(target, tried) && target.cooldown_end(now).is_none()
}

fn is_open(target: &Target, tried: &[Name]) -> bool {
    target.is_open() && !tried.contains(&target.name)
}

/// Of the targets that asked to be left alone the one that takes work again
/// first, if that is before `deadline`. Otherwise how long none does; nothing
/// where none asked.
pub fn first_to_return(
    service: &Service,
    tried: &[Name],
    deadline: Millis,
) -> Result<Arc<Target>, Option<Millis>> {
    let now = Millis::now();
    let open = service.targets.iter().filter(|it| is_open(it, tried));
    let ends = open.filter_map(|it| Some((it, it.cooldown_end(now)?)));
    match ends.min_by_key(|it| it.1) {
        Some((target, end)) if end < deadline => Ok(target.clone()),
        first => Err(first.map(|it| it.1.since(now))),
    }
}

/// The weight of a target for an idempotency key: resends of one request go
/// to the same target through any entry.
fn steer(organisation: &str, key: &str, target: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for part in [organisation, key, target] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    *hasher.finalize().as_bytes()
}

fn log(
    shared: &Shared,
    order: &Order,
    chosen: Option<&Arc<Target>>,
    why: &str,
    choice: Option<Choice>,
) {
    let targets = &order.service.targets;
    let second = choice.and_then(|it| it.runner_up);
    info!(shared.log, "route";
        "request" => %order.request,
        "type" => %order.request_type.name,
        "target" => chosen.map_or("none", |it| &*it.name),
        "why" => why,
        "score_us" => choice.map_or(0, |it| it.score_us),
        "runner_up" => second.map_or("none", |it| &*targets[it.0].name),
        "runner_up_us" => second.map_or(0, |it| it.1));
}
