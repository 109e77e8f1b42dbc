//! Crowds of callers that don't behave, at an entry process of the product's
//! own path and the agents behind it. See `cowsliproad-direct/tests/crowds` for
//! those of the users' platform, which has the bounds that the checks share.

#[path = "../../cowsliproad-direct/tests/crowds/callers.rs"]
#[expect(dead_code, reason = "shared with the other crowds")]
mod callers;

#[path = "../processes/harness.rs"]
#[expect(dead_code, reason = "shared with the tests of processes")]
mod processes;

#[path = "../../cowsliproad-direct/tests/crowds/usage.rs"]
mod usage;

/// What the shared callers need to know.
mod harness {
    use std::time::Duration;

    /// The key of an organisation.
    pub const KEY: &str = "key-of-harju-hangars";

    /// How long anything may take that has no bound of its own.
    pub const PATIENCE: Duration = Duration::from_secs(20);
}

use std::net::SocketAddr;

use cowsliproad_config::{
    ConfigObject,
    object::{RequestRepeatability, RequestType},
};
use cowsliproad_ctl::{
    apply::{self, Others},
    client::Mode,
};
use cowsliproad_kernel::{clock::Millis, wire::Urgency};
use cowsliproad_net::client::Client;
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::sync::{Mutex, MutexGuard};

use crate::{
    callers::{Body, Crowd, head},
    harness::{KEY, PATIENCE},
    processes::Plant,
    usage::Usage,
};

/// The memory of each VM.
const MEMORY_MB: usize = 256;

/// The largest body of the crowds' type.
const MAX_BODY: usize = 1 << 20;

/// Callers whose bodies together are more than the memory of a VM.
const CALLERS: usize = 410;

/// The path of the crowds' type.
const PATH: &str = "/v1/access/crowd";

/// One crowd at a time.
static ALONE: Mutex<()> = Mutex::const_new(());

/// An entry process and an agent, each on a small VM.
struct Scene {
    plant: Plant,
    entry: Usage,
    agent: Usage,
    _alone: MutexGuard<'static, ()>,
}

impl Scene {
    async fn start(name: &str) -> Scene {
        let alone = ALONE.lock().await;
        let plant = Plant::start_with(name, 1, 2, |settings| {
            settings.memory_mb = MEMORY_MB as u64;
            settings.body_timeout = Millis(600_000);
        })
        .await;
        let crowd_type = ConfigObject::RequestType(RequestType {
            service: "access".into(),
            name: "crowd".into(),
            urgency: Urgency::Background,
            deadline_ms: Millis(60_000),
            repeat: RequestRepeatability::Repeatable,
            allowed_organisations: Vec::new(),
            max_body_bytes: MAX_BODY as u32,
        });
        let found = apply::differences(&[crowd_type], &[], Others::Keep);
        let applied =
            apply::apply(&plant.operator(0), &found, Mode::Commit).await;
        applied.expect("the type is accepted");
        let entry = Usage::watch(plant.entries[0].program.process_id());
        let agent = Usage::watch(plant.sites[1].agent.process_id());
        let scene = Scene { plant, entry, agent, _alone: alone };
        while scene.send("{}".into()).await != Some(StatusCode::OK) {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        scene
    }

    fn address(&self) -> SocketAddr {
        self.plant.entries[0].settings.caller_address
    }

    /// The status of the answer to a body.
    async fn send(&self, body: String) -> Option<StatusCode> {
        let request =
            Request::post(format!("http://{}{PATH}", self.address()))
                .header(http::header::AUTHORIZATION, format!("Bearer {KEY}"))
                .body(Full::from(body))
                .expect("a request");
        let answer = Client::new().call(request, 4 << 20, PATIENCE).await;
        answer.ok().map(|it| it.status())
    }

    /// Checks that both processes lived within their VMs, and that callers who
    /// behave are answered: an ordinary one, and one with the largest body.
    async fn check(&mut self, crowd: &str) {
        let ordinary = self.send("{\"id\":\"a\"}".into()).await;
        assert_eq!(ordinary, Some(StatusCode::OK), "{crowd}: ordinary");
        let large = format!("\"{}\"", "x".repeat(MAX_BODY - 2));
        let mut status = None;
        for _ in 0..10 {
            status = self.send(large.clone()).await;
            if status != Some(StatusCode::SERVICE_UNAVAILABLE) {
                break;
            }
            tokio::time::sleep(std::time::Duration::from_secs(1)).await;
        }
        assert_eq!(status, Some(StatusCode::OK), "{crowd}: large");
        assert!(self.plant.entries[0].program.is_running(), "{crowd}");
        assert!(self.plant.sites[1].agent.is_running(), "{crowd}");
        for (name, usage) in [("entry", &self.entry), ("agent", &self.agent)] {
            let (bytes, files) = usage.peak();
            let megabytes = |bytes| bytes as f64 / f64::from(1 << 20);
            let (peak, now) = (megabytes(bytes), megabytes(usage.resident()));
            eprintln!(
                "{crowd}: {name}: peak {peak:.1} MB, now {now:.1} MB, \
                 {files} files"
            );
            assert!(bytes <= MEMORY_MB << 20, "{crowd}: {name}: {bytes}");
        }
    }
}

/// Has a crowd send bodies, and checks while its connections are open and once
/// they are gone.
async fn check(name: &str, body: Body, count: usize) {
    let mut scene = Scene::start(&name.replace(' ', "-")).await;
    let bodies = vec![body.to(PATH); count];
    let crowd = Crowd::start(scene.address(), bodies).await;
    scene.entry.until_at_rest(&crowd).await;
    scene.check(name).await;
    drop(crowd);
    scene.check(name).await;
}

/// Guards against bodies that nothing sums.
#[tokio::test(flavor = "multi_thread")]
async fn own_path_bodies_that_stop_short_of_their_end() {
    let body = Body::with_length(MAX_BODY, MAX_BODY - 1);
    check("own stopping short", body, CALLERS).await;
}

/// Guards against a cost of each chunk far above its bytes.
#[tokio::test(flavor = "multi_thread")]
async fn own_path_very_small_chunks() {
    let body = Body::in_chunks(4, MAX_BODY - 1);
    check("own small chunks", body, CALLERS / 4).await;
}

/// Guards against reading up to the limit what is known to be beyond it.
#[tokio::test(flavor = "multi_thread")]
async fn own_path_bodies_far_beyond_the_limit() {
    let body = Body::with_length(100 * MAX_BODY, 8 * MAX_BODY);
    check("own beyond the limit", body, CALLERS).await;
}

/// Guards against whole bodies that are kept more than once on their way, here
/// and at the agent.
#[tokio::test(flavor = "multi_thread")]
async fn own_path_whole_bodies_at_once() {
    let mut scene = Scene::start("own-whole").await;
    let text = format!("\"{}\"", "x".repeat(MAX_BODY - 2));
    let length = format!("Content-Length: {MAX_BODY}");
    let bytes = head(PATH, &length) + &text;
    let writes = bytes.as_bytes().chunks(64 << 10).map(Into::into);
    let requests = vec![writes.collect(); CALLERS];
    let crowd = Crowd::send(scene.address(), requests).await;
    scene.entry.until_at_rest(&crowd).await;
    scene.check("own whole").await;
    crowd.check_answers(&[200, 503]);
}

/// Guards against unfinished heads that are awaited without a bound.
#[tokio::test(flavor = "multi_thread")]
async fn own_path_unfinished_heads() {
    let mut scene = Scene::start("own-heads").await;
    let text = head(PATH, &format!("X-Long: {}", "x".repeat(12 << 10)));
    let start: std::sync::Arc<[u8]> = text.as_bytes()[..12 << 10].into();
    let requests = vec![vec![start]; 12_000];
    let crowd = Crowd::send(scene.address(), requests).await;
    scene.entry.until_at_rest(&crowd).await;
    scene.check("own unfinished heads").await;
    drop(crowd);
}
