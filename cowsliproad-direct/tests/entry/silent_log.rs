//! Connections to the platform's log that stay open and carry nothing any
//! more, while new ones work, and a log that takes calls and answers none for
//! a moment.

use std::{
    fs,
    net::SocketAddr,
    time::{Duration, Instant},
};

use cowsliproad_kernel::{
    clock::Millis,
    gossip::{GossipDigest, SenderTime},
};
use cowsliproad_platform_standin::{
    catalog::RouteKind,
    log::Fault,
    proxy::{LinkState, Proxy},
};
use http::StatusCode;
use rustix::process::Signal;
use tokio::{net::TcpListener, time::sleep};

use crate::{
    harness::{Entry, KEY, Plant, digest, tell, tell_version, until},
    processes::LOG_PORT,
};

/// The time in which a change is in force (`config_apply_ms`, `drain_ms`).
const BOUND: Duration = Duration::from_millis(2_000);

/// How long entries need to send their next long poll.
const POLL_SENT: Duration = Duration::from_millis(800);

/// How long the log needs at most to answer a read.
const READ_ANSWERED: Duration = Duration::from_millis(50);

/// How long an entry that starts waits for the digests of its seeds.
const START_WAIT: Duration = Duration::from_millis(400);

/// Entries that reach the log each through a link of its own.
struct Fleet {
    plant: Plant,
    entries: Vec<Entry>,
    links: Vec<Proxy>,
}

impl Fleet {
    async fn start(count: usize) -> Fleet {
        let mut plant = Plant::start().await;
        plant.target("i-1", "plain").await;
        let mut links = Vec::new();
        let mut entries: Vec<Entry> = Vec::new();
        for _ in 0..count {
            let seeds: Vec<&Entry> = entries.iter().take(3).collect();
            let mut settings = plant.settings(&seeds);
            let listen = settings.caller_listen_address.ip();
            let link =
                Proxy::start((listen, LOG_PORT).into(), plant.log_address);
            let link = link.await.expect("a proxy");
            settings.log_address = link.listen_address();
            links.push(link);
            entries.push(Entry::start(settings));
        }
        for entry in &entries {
            entry.until_ready().await;
        }
        until("they have met", async || {
            for entry in &entries {
                let peers = entry.metric("peers").await;
                if peers != Some((count - 1) as f64) {
                    return false;
                }
            }
            true
        })
        .await;
        Fleet { plant, entries, links }
    }

    fn silence(&self, cut: LinkState) {
        for link in &self.links {
            link.silence_open_connections(cut);
        }
    }

    /// Publishes a configuration with one more route, and waits until every
    /// entry serves it.
    async fn check_new_route(&mut self, path: &str) {
        self.publish_route(path);
        self.check_route_in_force(path).await;
    }

    fn publish_route(&mut self, path: &str) {
        let catalog = self.plant.catalog.clone();
        self.plant.catalog =
            catalog.with_route(path, RouteKind::Idempotent, "plain", 1_000);
        self.plant.catalog.publish(&self.plant.log);
    }

    async fn check_route_in_force(&self, path: &str) {
        let published = Instant::now();
        for (number, entry) in self.entries.iter().enumerate() {
            until("the route is served", async || {
                entry.status(path, KEY).await == Some(StatusCode::OK)
            })
            .await;
            let took = published.elapsed();
            assert!(took < BOUND, "entry {number}: {took:?}");
        }
    }
}

/// Guards against long polls whose silence is noticed only after their hold:
/// all entries then miss a configuration for seconds.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_is_in_force_though_all_polls_went_silent() {
    for cut in
        [LinkState::Cut, LinkState::CutFromServer, LinkState::CutToServer]
    {
        let mut fleet = Fleet::start(3).await;
        sleep(POLL_SENT).await;
        fleet.silence(cut);
        fleet.check_new_route("/new/").await;
        fleet.silence(cut);
        fleet.check_new_route("/newer/").await;
    }
}

/// Guards against entries that rely on others to hear of a configuration.
#[tokio::test(flavor = "multi_thread")]
async fn a_lone_entry_whose_poll_went_silent_learns_of_a_configuration() {
    let mut fleet = Fleet::start(1).await;
    sleep(POLL_SENT).await;
    fleet.silence(LinkState::Cut);
    fleet.check_new_route("/new/").await;
}

/// Guards against polls that were sent as the log took calls and answered
/// none, and that wait on when it answers all others.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_is_in_force_after_the_log_was_silent_for_a_moment() {
    for fault in [Fault::Silent, Fault::LosingAnswers] {
        let mut fleet = Fleet::start(3).await;
        sleep(POLL_SENT).await;
        fleet.plant.log.set_fault(fault);
        fleet.publish_route("/missed/");
        sleep(Duration::from_millis(300)).await;
        fleet.plant.log.set_fault(Fault::None);
        sleep(Duration::from_millis(2_500)).await;
        fleet.check_new_route("/new/").await;
    }
}

/// Guards against a large configuration that reaches entries with silent polls
/// later than a small one.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_configuration_is_in_force_though_all_polls_went_silent() {
    let mut fleet = Fleet::start(4).await;
    sleep(POLL_SENT).await;
    for number in 0..1_650 {
        let path = format!("/large{number}/");
        let catalog = fleet.plant.catalog.clone();
        fleet.plant.catalog =
            catalog.with_route(&path, RouteKind::Idempotent, "plain", 1_000);
    }
    fleet.silence(LinkState::Cut);
    fleet.check_new_route("/new/").await;
}

/// Guards against checks of long polls that every entry makes for itself.
#[tokio::test(flavor = "multi_thread")]
async fn entries_check_their_polls_for_one_another() {
    let fleet = Fleet::start(6).await;
    sleep(POLL_SENT).await;
    let calls = fleet.plant.log.call_count();
    sleep(Duration::from_secs(6)).await;
    let calls = fleet.plant.log.call_count() - calls;
    // Ten reads of the targets and seven checks, and half as many for entries
    // that read at the same moment.
    assert!(calls <= 25, "{calls} calls");
}

/// Guards against waiting for a seed that is gone before each version.
#[tokio::test(flavor = "multi_thread")]
async fn a_seed_that_is_gone_delays_no_configuration() {
    let mut plant = Plant::start().await;
    plant.target("i-1", "plain").await;
    let mut settings = plant.settings(&[]);
    let gone = SocketAddr::from((plant.vm(), LOG_PORT));
    settings.seed_addresses.push(gone);
    let entry = Entry::start(settings);
    entry.until_ready().await;
    sleep(POLL_SENT).await;
    plant.catalog = plant.catalog.clone().with_organisation("harju", &["k"]);
    plant.catalog.publish(&plant.log);
    let published = Instant::now();
    until("the key is good", async || {
        entry.status("/many/a", "k").await == Some(StatusCode::OK)
    })
    .await;
    let took = published.elapsed();
    assert!(took < START_WAIT, "{took:?}");
}

/// Guards against waiting for an entry that told of a new configuration and
/// was frozen or cut off then, while others have it too.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_entry_delays_no_configuration_for_one_cut_off_from_the_log()
{
    let mut plant = Plant::start().await;
    plant.target("i-1", "plain").await;
    let first = plant.entry().await;
    let second = start_without_log(&mut plant, &[&first]);
    second.until_ready().await;
    // It accepts connections and sends nothing.
    let frozen = SocketAddr::from((plant.vm(), LOG_PORT));
    let _listener = TcpListener::bind(frozen).await.expect("a listener");
    let told = second.settings.own_peer_address();
    let telling = tokio::spawn(async move {
        loop {
            tell_version(frozen, 1_000, told).await;
            sleep(Duration::from_millis(100)).await;
        }
    });
    sleep(Duration::from_millis(300)).await;
    check_new_key(&mut plant, &second).await;
    telling.abort();
}

/// Guards against several frozen entries that announced the newest version and
/// hold one up that is cut off from the log, while another one has it too.
#[tokio::test(flavor = "multi_thread")]
async fn three_frozen_entries_delay_no_configuration_for_one_cut_off() {
    let mut plant = Plant::start().await;
    plant.target("i-1", "plain").await;
    let first = plant.entry().await;
    let second = start_without_log(&mut plant, &[&first]);
    second.until_ready().await;
    // They accept connections and send nothing, and no more digests.
    for _ in 0..3 {
        let frozen = SocketAddr::from((plant.vm(), LOG_PORT));
        let listener = TcpListener::bind(frozen).await.expect("a listener");
        std::mem::forget(listener);
        tell_version(frozen, 1_000, second.settings.own_peer_address()).await;
    }
    sleep(Duration::from_millis(300)).await;
    check_new_key(&mut plant, &second).await;
}

/// Guards against an entry that starts with the outdated configuration of a
/// peer that the log doesn't answer, though another one has the newest.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_takes_no_outdated_state_of_a_peer() {
    let mut plant = Plant::start().await;
    plant.target("i-1", "plain").await;
    let newest = plant.entry().await;
    let mut settings = plant.settings(&[]);
    let ip = settings.caller_listen_address.ip();
    let link = Proxy::start((ip, LOG_PORT).into(), plant.log_address);
    let link = link.await.expect("a proxy");
    settings.log_address = link.listen_address();
    let outdated = Entry::start(settings);
    outdated.until_ready().await;
    link.set_link_state(LinkState::Closed);
    plant.catalog = plant.catalog.clone().with_organisation("harju", &["k"]);
    plant.catalog.publish(&plant.log);
    until("the key is good", async || {
        newest.status("/many/a", "k").await == Some(StatusCode::OK)
    })
    .await;
    newest.signal(Signal::STOP);
    sleep(BOUND).await;
    let starting = start_without_log(&mut plant, &[&outdated, &newest]);
    let waking = async {
        sleep(Duration::from_millis(900)).await;
        newest.signal(Signal::CONT);
    };
    let serving = until("it knows a configuration", async || {
        let status = starting.status("/many/a", KEY).await;
        assert_ne!(status, Some(StatusCode::OK), "the key was withdrawn");
        status == Some(StatusCode::UNAUTHORIZED)
    });
    tokio::join!(waking, serving);
}

/// Guards against digests that were received late and count as new, so that
/// nobody checks a silent poll.
#[tokio::test(flavor = "multi_thread")]
async fn digests_that_come_late_confirm_no_configuration() {
    let mut fleet = Fleet::start(1).await;
    sleep(POLL_SENT).await;
    let sender = SocketAddr::from((fleet.plant.vm(), LOG_PORT));
    let told = fleet.entries[0].settings.own_peer_address();
    let late = Duration::from_secs(5);
    let begun = Instant::now();
    tell(confirming_digest(sender, begun.elapsed()), told).await;
    let telling = tokio::spawn(async move {
        loop {
            let sent = begun.elapsed().saturating_sub(late);
            tell(confirming_digest(sender, sent), told).await;
            sleep(Duration::from_millis(100)).await;
        }
    });
    sleep(late).await;
    fleet.silence(LinkState::Cut);
    fleet.check_new_route("/new/").await;
    telling.abort();
}

/// Guards against long polls of any topic that wait for a VM which no longer
/// responds.
#[tokio::test(flavor = "multi_thread")]
async fn connections_to_the_log_are_probed_while_they_wait() {
    let mut plant = Plant::start().await;
    plant.target("i-1", "plain").await;
    let _entry = plant.entry().await;
    let log = plant.log_address;
    until("the polls of both topics and a read are open", async || {
        probed_and_all_connections_to(log).1 >= 3
    })
    .await;
    until("all of them are probed", async || {
        let (probed, all) = probed_and_all_connections_to(log);
        probed == all
    })
    .await;
}

/// An entry that knows others and that the log turns away.
fn start_without_log(plant: &mut Plant, seeds: &[&Entry]) -> Entry {
    let mut settings = plant.settings(seeds);
    // Nobody listens there.
    settings.log_address.set_port(1);
    Entry::start(settings)
}

/// Publishes a configuration with another key, and checks that an entry has it
/// in force in time.
async fn check_new_key(plant: &mut Plant, entry: &Entry) {
    plant.catalog = plant.catalog.clone().with_organisation("harju", &["k"]);
    plant.catalog.publish(&plant.log);
    let published = Instant::now();
    until("the key is good", async || {
        entry.status("/many/a", "k").await == Some(StatusCode::OK)
    })
    .await;
    let took = published.elapsed();
    assert!(took < BOUND, "{took:?}");
}

/// A digest that was sent at a time of its sender's clock, and whose sender had
/// just read the configuration then.
fn confirming_digest(sender: SocketAddr, sent: Duration) -> GossipDigest {
    let clock = Millis(sent.as_millis() as u64);
    GossipDigest {
        sent_at: Some(SenderTime { incarnation: 1, clock }),
        config_confirmed_age_ms: Some(0),
        ..digest(sender, 1)
    }
}

/// The number of established connections to an address of this network that
/// have a timer for keepalive probes, and of all of them.
fn probed_and_all_connections_to(server: SocketAddr) -> (usize, usize) {
    let SocketAddr::V4(server) = server else { return (0, 0) };
    let address = u32::from_ne_bytes(server.ip().octets());
    let remote = format!("{address:08X}:{:04X}", server.port());
    let table = fs::read_to_string("/proc/net/tcp").expect("a table");
    let lines = table.lines().map(|it| it.split_whitespace());
    let established = lines.filter_map(|mut it| {
        let is_established =
            it.nth(2) == Some(&remote) && it.next() == Some("01");
        is_established.then(|| it.nth(1).unwrap_or_default())
    });
    let timers: Vec<&str> = established.collect();
    let probed = timers.iter().filter(|it| it.starts_with("02:")).count();
    (probed, timers.len())
}

/// Guards against silent connections that hide a target's leaving for longer
/// than it may get requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_target_gets_nothing_though_all_reads_went_silent() {
    let mut fleet = Fleet::start(1).await;
    let leaving = fleet.plant.target("i-2", "plain").await;
    let entry = &fleet.entries[0];
    until("the target is used", async || {
        entry.status("/many/a", KEY).await;
        leaving.arrival_count() > 0
    })
    .await;
    // The next read comes as late as possible after the target's record.
    let calls = fleet.plant.log.call_count();
    until("the targets are read", async || {
        fleet.plant.log.call_count() > calls
    })
    .await;
    sleep(READ_ANSWERED).await;
    fleet.silence(LinkState::Cut);
    leaving.announce(&fleet.plant.log, "draining");
    sleep(BOUND).await;
    let before = leaving.arrival_count();
    for _ in 0..20 {
        let status = entry.status("/many/a", KEY).await;
        assert_eq!(status, Some(StatusCode::OK));
    }
    assert_eq!(leaving.arrival_count(), before);
}
