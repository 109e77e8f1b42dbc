//! Configuration through the log: what operators are told and what lasts.

use std::time::Duration;

use cowsliproad_bench::plant::{Config, Plant};
use cowsliproad_config::{
    ConfigObject,
    object::{ObjectKey, ObjectKind, Organisation},
};
use cowsliproad_ctl::client::{Client, Mode};
use cowsliproad_kernel::{code::ResultCode, id};
use cowsliproad_standin::fault::Fault;

fn organisation(share: u32) -> ConfigObject {
    ConfigObject::Organisation(Organisation {
        name: "new".into(),
        api_key_hashes: Vec::new(),
        capacity_weight: share,
        max_in_flight: 5,
    })
}

fn key() -> ObjectKey {
    ObjectKey::new(ObjectKind::Organisation, "new")
}

async fn plant() -> (Plant, Client) {
    let plant = Plant::start(Config::new()).await.expect("it starts");
    let client = plant.operator().expect("an entry is up");
    (plant, client)
}

async fn put(
    client: &Client,
    command: id::Command,
    base: u64,
    share: u32,
) -> Result<u64, Option<ResultCode>> {
    let object = organisation(share);
    let outcome = client.put(command, base, &object, Mode::Commit).await;
    outcome.map_err(|error| error.code())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stale_base_is_refused() {
    let (_plant, client) = plant().await;
    let first = put(&client, id::Command::random(), 0, 1).await;
    let first = first.expect("it is accepted");
    let stale = put(&client, id::Command::random(), 0, 2).await;
    assert_eq!(stale, Err(Some(ResultCode::StaleBase)));
    let next = put(&client, id::Command::random(), first, 3).await;
    assert!(next.is_ok());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_resolved_and_the_command_is_safe_to_repeat() {
    let (plant, client) = plant().await;
    plant.log.lose_every(1);
    let command = id::Command::random();
    let first = put(&client, command, 0, 1).await.expect("it is read back");
    let appends = plant.log.appends();
    let again = put(&client, command, 0, 1).await;
    assert_eq!(again, Ok(first));
    assert_eq!(plant.log.appends(), appends);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_refuses_truthfully_and_reading_goes_on() {
    let (plant, client) = plant().await;
    let first = put(&client, id::Command::random(), 0, 1).await;
    let first = first.expect("it is accepted");
    plant.log.switch.set(Fault::Error);
    let refused = put(&client, id::Command::random(), first, 2).await;
    assert_eq!(refused, Err(Some(ResultCode::LogUnavailable)));
    let held = client.get(&key()).await.expect("it is still there");
    assert_eq!(held.revision, first);
    plant.log.switch.set(Fault::None);
    let next = put(&client, id::Command::random(), first, 3).await;
    assert!(next.is_ok());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_while_the_log_is_down_asks_its_peers() {
    let (mut plant, client) = plant().await;
    let first = put(&client, id::Command::random(), 0, 1).await;
    let first = first.expect("it is accepted");
    plant.log.switch.set(Fault::Error);
    plant.kill_entry(1).await;
    plant.start_entry(1).await.expect("it starts");
    plant.settle().await.expect("it has its links");
    let entry = plant.gateways[1].entry.as_ref().expect("it is up");
    let client = Client::new(entry.handle.admin_address);
    let held = client.get(&key()).await.expect("it was told");
    assert_eq!(held.revision, first);
}

#[tokio::test(flavor = "multi_thread")]
async fn all_entries_replaced_with_the_log_down_ask_the_agents() {
    let (mut plant, client) = plant().await;
    let first = put(&client, id::Command::random(), 0, 1).await;
    let first = first.expect("it is accepted");
    // The agents hear of it with their next reports.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    plant.log.switch.set(Fault::Error);
    plant.kill_entry(0).await;
    plant.kill_entry(1).await;
    plant.start_entry(0).await.expect("it starts");
    plant.settle().await.expect("it has its links");
    let client = plant.operator().expect("it is up");
    let held = client.get(&key()).await.expect("it was told");
    assert_eq!(held.revision, first);
}
