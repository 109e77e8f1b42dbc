//! Checks of the long poll for the configuration.
//!
//! A check reads the records from the poll's position on without waiting. Each
//! check opens a connection of its own: the connections that are open may all
//! have gone silent at the same moment. When a check is due is decided in
//! [`cowsliproad_routing::confirmation`].

use std::ops::RangeInclusive;

use cowsliproad_kernel::{clock::Millis, position::LogPosition};
use cowsliproad_net::timer::sleep;
use cowsliproad_platform::log::{Client, Error, Page};
use cowsliproad_routing::confirmation::CheckTiming;
use slog::warn;

use super::{LogCallStatus, draw_percent_of};
use crate::entry::{Entry, StateChangeSource};

/// The time between two checks of the entry process that makes them, in
/// percent of the time in which a new configuration must be in force. Entry
/// processes need the rest to pass a version on. If two of them make checks,
/// the one that draws the shorter time goes on.
const CHECK_INTERVAL_PERCENT: RangeInclusive<u64> = 45..=50;

/// The same for an entry process that knows no others.
const LONE_CHECK_INTERVAL_PERCENT: u64 = 80;

/// How old the latest check may get before another entry process takes
/// the checks over, in percent of the same time. Each draws its own, so that
/// mostly one takes over.
const TAKEOVER_AGE_PERCENT: RangeInclusive<u64> = 57..=67;

/// The timeout of a check, in percent of the same time.
const CHECK_TIMEOUT_PERCENT: u64 = 20;

/// How long the poll may take to return records that the log has, or to be
/// refused. Without an answer by then its connection may be silent.
const POLL_ANSWER_DELAY: Millis = Millis(50);

/// Waits until a check finds records that the pending long poll of a topic,
/// from `position` on, hasn't returned.
pub(super) async fn wait_for_missed_records(
    entry: &Entry,
    topic: &'static str,
    position: LogPosition,
) -> Result<Page, Error> {
    let polled_at = Millis::now();
    let mut contact = LogCallStatus::new(topic, "check");
    sleep(POLL_ANSWER_DELAY.duration()).await;
    loop {
        wait_until_check_is_due(entry).await;
        let asked_at = Millis::now();
        match read_without_hold(entry, topic, position).await {
            Ok(page) if page.records.is_empty() => {
                contact.record_success(entry);
                entry
                    .config_confirmation
                    .borrow_mut()
                    .record_check(asked_at, page.next_position.era);
                // The digest spares other entry processes their checks.
                entry.digest_wakeup.notify_one();
            }
            Ok(page) => {
                // Another entry process has read the records some time ago if
                // the check was requested.
                let was_requested = entry
                    .config_confirmation
                    .borrow_mut()
                    .take_check_request();
                if !was_requested {
                    sleep(POLL_ANSWER_DELAY.duration()).await;
                }
                warn!(entry.log, "poll_silent"; "topic" => topic,
                    "records" => page.records.len(),
                    "polled" => Millis::now().since(polled_at).0);
                entry.metrics.record_silent_poll();
                return Ok(page);
            }
            Err(error @ (Error::Expired | Error::RolledBack)) => {
                return Err(error);
            }
            Err(error) => contact.back_off_after_failure(entry, &error).await,
        }
    }
}

async fn wait_until_check_is_due(entry: &Entry) {
    let bound = entry.settings().config_apply_ms;
    let shared = CheckTiming {
        interval: draw_percent_of(bound, CHECK_INTERVAL_PERCENT),
        takeover_age: draw_percent_of(bound, TAKEOVER_AGE_PERCENT),
    };
    let lone_interval = percent_of(bound, LONE_CHECK_INTERVAL_PERCENT);
    let lone =
        CheckTiming { interval: lone_interval, takeover_age: lone_interval };
    loop {
        let timing = match entry.peers.borrow().is_empty() {
            true => lone,
            false => shared,
        };
        let wait = entry
            .config_confirmation
            .borrow()
            .time_until_check(timing, Millis::now());
        if wait == Millis(0) {
            return;
        }
        tokio::select! {
            () = sleep(wait.duration()) => {}
            () = entry.config_check_wakeup.notified() => {}
        }
    }
}

async fn read_without_hold(
    entry: &Entry,
    topic: &str,
    position: LogPosition,
) -> Result<Page, Error> {
    let settings = entry.settings();
    let timeout = percent_of(settings.config_apply_ms, CHECK_TIMEOUT_PERCENT);
    let mut client =
        Client::new(settings.log_address).with_response_timeout(timeout);
    client.raise_era(entry.rollbacks.newest_era());
    let read = client.read(topic, position, Millis(0)).await;
    entry.observe_log_era(client.era(), StateChangeSource::Log);
    read
}

fn percent_of(time: Millis, percent: u64) -> Millis {
    Millis(time.0 * percent / 100)
}
