//! Load, Retry-After and leaving headers that targets send with their answers.
//!
//! Answers of another process at a target's address, and late answers to other
//! requests, say nothing about the target and are not passed to this module.

use std::time::SystemTime;

use cowsliproad_kernel::clock::Millis;
use cowsliproad_net::retry_after::{self, RetryAfter};
use cowsliproad_platform::header;
use cowsliproad_routing::fleet::Target;
use http::{HeaderMap, header::RETRY_AFTER, response};
use slog::{info, warn};

use crate::entry::{
    ChosenTarget, CooldownRecovery, Entry, StateChangeSource, TargetNews,
};

impl Entry {
    /// Applies the load, Retry-After and leaving headers of a target's answer.
    pub fn update_target_from_headers(
        &self,
        choice: &ChosenTarget,
        request: &str,
        head: &response::Parts,
    ) {
        record_load_header(choice, &head.headers);
        self.start_cooldown_from_retry_after(choice, request, head);
        self.apply_leaving_header(choice, request, head);
    }

    fn apply_leaving_header(
        &self,
        choice: &ChosenTarget,
        request: &str,
        head: &response::Parts,
    ) {
        let stated = head.headers.get(&header::LEAVING);
        let leaves = stated.is_some_and(header::is_flag_set);
        if leaves && self.is_ready_target(&choice.target) {
            info!(self.log, "target_leaving"; "request" => request,
                "target" => &*choice.target.id,
                "status" => head.status.as_u16());
            self.mark_target_left(&choice.target);
        }
    }

    /// Marks a target as taking no new requests, and broadcasts that to other
    /// entry processes.
    pub fn mark_target_left(&self, target: &Target) {
        let (id, start) = (&target.id, target.start);
        let now = Millis::now();
        let change =
            self.fleet.borrow_mut().record_announced_departure(id, start, now);
        let news = TargetNews::new(StateChangeSource::Own);
        self.apply_target_change(id, change, &news);
    }

    /// Marks a target as taking no new requests until it announces itself again,
    /// because another process answered at its address.
    pub fn mark_target_displaced(&self, target: &Target) {
        let (id, start) = (&target.id, target.start);
        let change = self.fleet.borrow_mut().record_displacement(
            id,
            start,
            Millis::now(),
        );
        let news = TargetNews::new(StateChangeSource::Own);
        self.apply_target_change(id, change, &news);
    }

    /// Whether a target still accepts new requests and hasn't restarted since
    /// it was looked up.
    pub fn is_ready_target(&self, target: &Target) -> bool {
        let fleet = self.fleet.borrow();
        fleet.get(&target.id).is_some_and(|it| it.start == target.start)
    }

    fn start_cooldown_from_retry_after(
        &self,
        choice: &ChosenTarget,
        request: &str,
        head: &response::Parts,
    ) {
        let stated = head.headers.get(RETRY_AFTER);
        let read = retry_after::parse_header(
            head.status,
            &head.headers,
            SystemTime::now,
        );
        let target = &choice.target;
        let wait = match read {
            RetryAfter::Wait(wait) if wait.0 > 0 => wait,
            RetryAfter::None | RetryAfter::Wait(_) => {
                return self.record_target_recovery(choice);
            }
            RetryAfter::Unreadable => {
                let mut endpoint = choice.endpoint.borrow_mut();
                if !std::mem::replace(
                    &mut endpoint.last_retry_after_header_invalid,
                    true,
                ) {
                    warn!(self.log, "retry_after_refused";
                        "request" => request, "target" => &*target.id,
                        "stated" => ?stated);
                }
                drop(endpoint);
                return self.record_target_recovery(choice);
            }
        };
        let now = Millis::now();
        let before = self.cooldown_end(target, now);
        if !self.cooldowns.borrow_mut().apply_retry_after(target, wait, now) {
            return;
        }
        let mut endpoint = choice.endpoint.borrow_mut();
        endpoint.last_retry_after_header_invalid = false;
        endpoint.cooldown_recovery = CooldownRecovery::Pending;
        drop(endpoint);
        info!(self.log, "cooldown"; "request" => request,
            "target" => &*target.id, "status" => head.status.as_u16(),
            "stated" => ?stated, "wait" => wait.0,
            "left_before" => before.map(|it| it.since(now).0));
        self.metrics.record_cooldown();
        // Requests that wait for this target now choose another one.
        self.notify_target_change();
        self.connection_freed.notify_waiters();
    }

    /// Marks a target as recovered when an answer without Retry-After arrives
    /// after the cooldown.
    fn record_target_recovery(&self, choice: &ChosenTarget) {
        if choice.endpoint.borrow().cooldown_recovery == CooldownRecovery::Done
        {
            return;
        }
        if self.cooldown_end(&choice.target, Millis::now()).is_none() {
            choice.endpoint.borrow_mut().cooldown_recovery =
                CooldownRecovery::Done;
            self.connection_freed.notify_waiters();
        }
    }

    /// The end of the cooldown that a target requested with Retry-After, if it
    /// is in one.
    pub fn cooldown_end(
        &self,
        target: &Target,
        now: Millis,
    ) -> Option<Millis> {
        self.cooldowns.borrow().cooldown_end(target, now)
    }

    /// Waits until a target is in a cooldown.
    pub async fn wait_until_in_cooldown(&self, target: &Target) {
        loop {
            let changed = self.targets_changed.notified();
            if self.cooldown_end(target, Millis::now()).is_some() {
                return;
            }
            changed.await;
        }
    }
}

fn record_load_header(choice: &ChosenTarget, headers: &HeaderMap) {
    let text = headers.get(&header::LOAD).and_then(|it| it.to_str().ok());
    let Some(text) = text else { return };
    let mut numbers = text.split(',').map(|it| it.trim().parse::<u32>());
    if let (Some(Ok(running)), Some(Ok(waiting))) =
        (numbers.next(), numbers.next())
    {
        let requests = running.saturating_add(waiting);
        choice
            .endpoint
            .borrow_mut()
            .request_stats
            .record_load_report(requests, Millis::now());
    }
}
