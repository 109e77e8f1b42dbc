//! Withdrawals of targets that an entry reads after it has learned of later
//! announcements.

use std::time::Duration;

use cowsliproad_kernel::position::{LogEra, LogPosition};
use cowsliproad_platform::log::TARGETS_TOPIC;
use cowsliproad_platform_standin::{
    proxy::{LinkState, Proxy},
    target::Target,
};
use http::StatusCode;
use tokio::time::sleep;

use crate::{
    harness::{Entry, KEY, Plant, digest, tell, until},
    processes::LOG_PORT,
};

/// The time in which news has to be in force.
const BOUND: Duration = Duration::from_millis(2_000);

/// An entry whose way to the log can be cut.
async fn entry_behind_link(
    plant: &mut Plant,
    seeds: &[&Entry],
) -> (Entry, Proxy) {
    let mut settings = plant.settings(seeds);
    let ip = settings.caller_listen_address.ip();
    let link = Proxy::start((ip, LOG_PORT).into(), plant.log_address);
    let link = link.await.expect("a proxy");
    settings.log_address = link.listen_address();
    let entry = Entry::start(settings);
    entry.until_ready().await;
    (entry, link)
}

async fn until_known(entry: &Entry, targets: usize) {
    until("the targets are known", async || {
        entry.metric("targets").await == Some(targets as f64)
    })
    .await;
}

/// Waits until an entry uses a target.
async fn until_used(entry: &Entry, target: &Target) {
    until("the target is used", async || {
        let before = target.arrival_count();
        entry.status("/many/a", KEY).await;
        target.arrival_count() > before
    })
    .await;
}

/// Guards against a withdrawal, read from the log after a peer's state brought
/// the later announcement, that ends the target for all entries for good.
#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawal_that_is_read_late_ends_no_later_announcement() {
    let mut plant = Plant::start().await;
    let lapsing = plant.target("i-1", "plain").await;
    plant.target("i-2", "plain").await;
    let leaving = plant.target("i-3", "plain").await;
    let first = plant.entry().await;
    let (second, link) = entry_behind_link(&mut plant, &[&first]).await;
    until_known(&first, 3).await;
    until_known(&second, 3).await;

    // The second entry learns of the lapse and the return from the first.
    link.set_link_state(LinkState::Closed);
    lapsing.withdraw_announcement(&plant.log);
    until_known(&second, 2).await;
    lapsing.announce(&plant.log, "ready");
    until_known(&second, 3).await;

    // A later change makes the second entry read the log itself.
    link.set_link_state(LinkState::Up);
    leaving.announce(&plant.log, "draining");
    until_known(&first, 2).await;
    until_known(&second, 2).await;
    sleep(BOUND).await;
    for entry in [&first, &second] {
        assert_eq!(entry.metric("targets").await, Some(2.0));
        until_used(entry, &lapsing).await;
    }
}

/// Guards against a target that an entry which is cut off from the log goes on
/// using, because the peer that it takes the targets over from never knew that
/// target and so tells of no departure.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_a_peers_newer_state_lacks_is_gone() {
    let mut plant = Plant::start().await;
    let gone = plant.target("i-1", "plain").await;
    plant.target("i-2", "plain").await;
    let first = plant.entry().await;
    let (second, link) = entry_behind_link(&mut plant, &[&first]).await;
    until_known(&second, 2).await;
    link.set_link_state(LinkState::Closed);
    drop(first);
    gone.withdraw_announcement(&plant.log);
    let third = Entry::start(plant.settings(&[&second]));
    until_known(&third, 1).await;
    until_known(&second, 1).await;
    let before = gone.arrival_count();
    for _ in 0..20 {
        let status = second.status("/many/a", KEY).await;
        assert_eq!(status, Some(StatusCode::OK));
    }
    assert_eq!(gone.arrival_count(), before);
}

/// Guards against a target that is gone for good where its entry came to the
/// wrong belief, since nothing writes its record again.
#[tokio::test(flavor = "multi_thread")]
async fn a_listed_target_that_was_dropped_wrongly_comes_back() {
    let mut plant = Plant::start().await;
    let dropped = plant.target("i-1", "plain").await;
    plant.target("i-2", "plain").await;
    let entries = plant.entries(2).await;
    for entry in &entries {
        until_known(entry, 2).await;
    }
    tell_withdrawal(&plant, "i-1", &entries).await;
    for entry in &entries {
        until("the list restored the target", async || {
            entry.metric("missed_targets").await == Some(1.0)
        })
        .await;
    }
    sleep(BOUND).await;
    for entry in &entries {
        assert_eq!(entry.metric("missed_targets").await, Some(1.0));
        assert_eq!(entry.metric("targets").await, Some(2.0));
        until_used(entry, &dropped).await;
    }
    // The log still has one record of each target.
    assert_eq!(plant.log.record_count(TARGETS_TOPIC), 2);
}

/// Tells entries of a withdrawal that the log doesn't have.
async fn tell_withdrawal(plant: &Plant, id: &str, entries: &[Entry]) {
    let records = plant.log.record_count(TARGETS_TOPIC) as u64;
    let end = LogPosition::new(LogEra::default(), records);
    for entry in entries {
        let address = entry.settings.own_peer_address();
        let mut told = digest(address, 0);
        told.sender_address.set_port(1);
        told.withdrawn_targets_with_start_and_sequence =
            vec![(id.into(), 0, u64::MAX)];
        told.withdrawal_end_positions = vec![end];
        tell(told, address).await;
    }
}
