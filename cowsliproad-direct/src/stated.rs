//! What targets state of themselves in the headers of their answers.
//!
//! It concerns the process that answers, whichever request the answer is to.
//! The answer of another process at a target's address says nothing of the
//! target and never comes here.

use std::time::SystemTime;

use cowsliproad_kernel::clock::Millis;
use cowsliproad_net::retry_after::{self, RetryAfter};
use cowsliproad_platform::header;
use cowsliproad_routing::fleet::Target;
use http::{HeaderMap, header::RETRY_AFTER, response};
use slog::{info, warn};

use crate::entry::{Choice, Entry, Recovery, Source};

impl Entry {
    /// Takes in what a target states with its answer to a request.
    pub fn note_stated(
        &self,
        choice: &Choice,
        request: &str,
        head: &response::Parts,
    ) {
        note_load(choice, &head.headers);
        self.note_retry_after(choice, request, head);
        self.note_leaving(choice, request, head);
    }

    fn note_leaving(
        &self,
        choice: &Choice,
        request: &str,
        head: &response::Parts,
    ) {
        let stated = head.headers.get(&header::LEAVING);
        let leaves = stated.is_some_and(header::is_flag_set);
        if leaves && self.is_ready_target(&choice.target) {
            info!(self.log, "target_leaving"; "request" => request,
                "target" => &*choice.target.id,
                "status" => head.status.as_u16());
            self.note_left(&choice.target);
        }
    }

    /// Notes that a target takes nothing new, and tells other entries.
    pub fn note_left(&self, target: &Target) {
        let (id, start) = (&target.id, target.start);
        let now = Millis::now();
        let change =
            self.fleet.borrow_mut().record_announced_departure(id, start, now);
        self.changed(id, change, Source::Own);
    }

    /// Whether this start of a target takes new requests.
    pub fn is_ready_target(&self, target: &Target) -> bool {
        let fleet = self.fleet.borrow();
        fleet.get(&target.id).is_some_and(|it| it.start == target.start)
    }

    fn note_retry_after(
        &self,
        choice: &Choice,
        request: &str,
        head: &response::Parts,
    ) {
        let stated = head.headers.get(RETRY_AFTER);
        let read =
            retry_after::read(head.status, &head.headers, SystemTime::now);
        let target = &choice.target;
        let wait = match read {
            RetryAfter::Wait(wait) if wait.0 > 0 => wait,
            RetryAfter::None | RetryAfter::Wait(_) => {
                return self.note_recovered(choice);
            }
            RetryAfter::Unreadable => {
                let mut endpoint = choice.endpoint.borrow_mut();
                if !std::mem::replace(&mut endpoint.unreadable, true) {
                    warn!(self.log, "retry_after_refused";
                        "request" => request, "target" => &*target.id,
                        "stated" => ?stated);
                }
                drop(endpoint);
                return self.note_recovered(choice);
            }
        };
        let now = Millis::now();
        let before = self.cooldown_end(target, now);
        if !self.cooldowns.borrow_mut().apply_retry_after(target, wait, now) {
            return;
        }
        let mut endpoint = choice.endpoint.borrow_mut();
        endpoint.unreadable = false;
        endpoint.recovery = Recovery::Pending;
        drop(endpoint);
        info!(self.log, "cooldown"; "request" => request,
            "target" => &*target.id, "status" => head.status.as_u16(),
            "stated" => ?stated, "wait" => wait.0,
            "left_before" => before.map(|it| it.since(now).0));
        self.measure.cooled_down();
        // Requests that wait for this target go elsewhere.
        self.tell_news();
        self.freed.notify_waiters();
    }

    /// Notes an answer that asks for nothing.
    fn note_recovered(&self, choice: &Choice) {
        if choice.endpoint.borrow().recovery == Recovery::Done {
            return;
        }
        if self.cooldown_end(&choice.target, Millis::now()).is_none() {
            choice.endpoint.borrow_mut().recovery = Recovery::Done;
            self.freed.notify_waiters();
        }
    }

    /// When a target takes requests again that asked to be left alone.
    pub fn cooldown_end(
        &self,
        target: &Target,
        now: Millis,
    ) -> Option<Millis> {
        self.cooldowns.borrow().cooldown_end(target, now)
    }

    /// Waits until a target asks to be left alone.
    pub async fn until_cooldown(&self, target: &Target) {
        loop {
            let news = self.news.notified();
            if self.cooldown_end(target, Millis::now()).is_some() {
                return;
            }
            news.await;
        }
    }
}

fn note_load(choice: &Choice, headers: &HeaderMap) {
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
            .record
            .record_load_report(requests, Millis::now());
    }
}
