//! Targets at whose address another process answers.

use cowsliproad_platform::log::TARGETS_TOPIC;
use cowsliproad_platform_standin::target::Announcement;
use http::StatusCode;

use crate::{
    harness::{KEY, Plant, until},
    scripted::Scripted,
};

/// Guards against one misdirected answer that ends a target for good at all
/// entries, although the target goes on renewing its record.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_renews_its_record_is_used_after_a_misdirected_answer() {
    let mut plant = Plant::start().await;
    let target = Scripted::start(&mut plant, "i-1").await;
    let entry = plant.entry().await;
    let asking = entry.status("/once/a", KEY);
    let answering = async {
        until("the request arrives", async || target.arrivals() == 1).await;
        target
            .answer("421 Misdirected Request", "x-not-executed: 1\r\n")
            .await;
    };
    let (status, ()) = tokio::join!(asking, answering);
    assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert_eq!(entry.metric("targets").await, Some(0.0));
    let renewed = Announcement {
        service: "plain",
        listen_address: target.address(),
        zone: "a",
        state: "ready",
        sequence: 2,
        start_unix_ms: Some(1),
    };
    let text = renewed.to_json();
    plant.log.put(TARGETS_TOPIC, "i-1", Some(text.as_bytes()));
    until("the target is used again", async || {
        entry.metric("targets").await == Some(1.0)
    })
    .await;
}
